//! Phases of an instance's process.

use std::sync::atomic::{AtomicU8, Ordering};

/// Phase of an instance's process, in the order that they follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// The instance has no configuration yet.
    Starting,
    /// The instance accepts requests.
    Ready,
    /// Steering answers no longer name the instance; it still accepts requests.
    Draining,
    /// The instance refuses new requests and finishes those in flight.
    Finishing,
}

/// A phase that several threads share. It only advances.
#[derive(Debug, Default)]
pub struct PhaseCell(AtomicU8);

impl PhaseCell {
    /// Returns the current phase.
    #[must_use]
    pub fn get(&self) -> Phase {
        match self.0.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Ready,
            2 => Phase::Draining,
            _ => Phase::Finishing,
        }
    }

    /// Advances to a phase. Returns whether that was a change; an earlier phase than the current one is not.
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
