//! How far an instance is in its life.

use std::sync::atomic::{AtomicU8, Ordering};

/// How far an instance is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// It has no configuration yet.
    Starting,
    /// It serves.
    Ready,
    /// It is out of steering answers and still serves.
    Draining,
    /// It refuses new work.
    Finishing,
}

/// A phase that several threads look at. It never goes back.
#[derive(Debug, Default)]
pub struct PhaseCell(AtomicU8);

impl PhaseCell {
    /// The phase.
    #[must_use]
    pub fn get(&self) -> Phase {
        match self.0.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Ready,
            2 => Phase::Draining,
            _ => Phase::Finishing,
        }
    }

    /// Goes on to a phase. Returns whether it was not reached before.
    ///
    /// ```
    /// use burdock_node::phase::{Phase, PhaseCell};
    /// let cell = PhaseCell::default();
    /// assert!(cell.advance(Phase::Draining));
    /// assert!(!cell.advance(Phase::Ready));
    /// assert_eq!(cell.get(), Phase::Draining);
    /// ```
    pub fn advance(&self, phase: Phase) -> bool {
        self.0.fetch_max(phase as u8, Ordering::AcqRel) < phase as u8
    }
}
