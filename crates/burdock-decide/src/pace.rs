//! Pace of backend servers: how long work takes there now, as they state it with their responses.
//!
//! Load pattern: backend servers that share machines take 2.5 times as long for 15% of the time, in phases of
//! about 600 ms. A statement is some hundred milliseconds old when it is used, so that the phase may have ended.
//! The expected pace therefore returns to the usual one with the age of the statement, at a rate that is learned
//! from how long phases last. As it does so gradually, and at each instance by the age of its own news, work
//! comes back to a backend server bit by bit. An object leaves its preferred backend server only if the expected
//! pace makes a run there take longer than a cold one elsewhere.

use std::time::Duration;

use crate::time::Time;

/// Difference from the usual pace below which a backend server counts as usual.
const MIN_DIFFERENCE: f64 = 0.1;

/// Range of paces that are used. A backend server that states more is not worse off than one that is stuck.
const RANGE: (f64, f64) = (0.25, 20.0);

/// Age of a statement in phase lengths from which it says nothing more.
const MAX_PHASES: f64 = 4.0;

/// Longest time between two statements that tell how long a phase lasted. In a longer one it may have ended and
/// begun again.
const MAX_GAP: Duration = Duration::from_millis(1500);

/// Shortest time between two statements of a backend server that are told apart. News that comes back from other
/// instances seems newer by its time on the way.
const MIN_GAP: Duration = Duration::from_millis(100);

/// What is known of phases before any was seen, in seconds: one that lasted as long as this.
const INITIAL_LENGTH_S: f64 = 1.0;

/// Seconds of phases after which earlier ones count half.
const MEMORY_S: f64 = 60.0;

/// Range of learned lengths in seconds.
const LENGTH_RANGE_S: (f64, f64) = (0.1, 10.0);

/// What a backend server stated of its pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceStatement {
    /// Time that work takes relative to the usual time.
    pub factor: f64,
    /// When it was stated.
    pub at: Time,
}

impl PaceStatement {
    /// Returns whether work takes about as long as usual.
    #[must_use]
    pub fn is_usual(&self) -> bool {
        (self.factor - 1.0).abs() < MIN_DIFFERENCE
    }

    /// Returns whether this is newer than what is known, rather than the same statement told again.
    #[must_use]
    pub fn replaces(&self, known: Option<&Self>) -> bool {
        known.is_none_or(|known| self.at >= known.at + MIN_GAP)
    }
}

/// How long phases of another pace last, learned from statements.
#[derive(Clone, Copy, Debug)]
pub struct PhaseLength {
    // Time seen within phases, and how many of them ended.
    seen_s: f64,
    ended: f64,
}

impl Default for PhaseLength {
    fn default() -> Self {
        Self { seen_s: INITIAL_LENGTH_S, ended: 1.0 }
    }
}

impl PhaseLength {
    /// Returns the mean length of a phase.
    ///
    /// ```
    /// use burdock_decide::pace::{PaceStatement, PhaseLength};
    /// use burdock_decide::time::Time;
    /// let stated = |factor, ms| PaceStatement { factor, at: Time::from_millis(ms) };
    /// let mut length = PhaseLength::default();
    /// for _ in 0..200 {
    ///     length.record(stated(2.5, 0), stated(2.5, 200));
    ///     length.record(stated(2.5, 200), stated(1.0, 400));
    /// }
    /// assert!((length.mean().as_secs_f64() - 0.3).abs() < 0.05);
    /// ```
    #[must_use]
    pub fn mean(&self) -> Duration {
        let (min, max) = LENGTH_RANGE_S;
        Duration::from_secs_f64((self.seen_s / self.ended).clamp(min, max))
    }

    /// Learns from two successive statements of one backend server.
    pub fn record(&mut self, earlier: PaceStatement, later: PaceStatement) {
        let gap = later.at.since(earlier.at);
        if earlier.is_usual() || gap > MAX_GAP {
            return;
        }
        let has_ended = (later.factor - 1.0) / (earlier.factor - 1.0) < 0.5;
        // A phase that ended did so in the middle of the gap, on average.
        self.seen_s += gap.as_secs_f64() * if has_ended { 0.5 } else { 1.0 };
        self.ended += f64::from(u8::from(has_ended));
        if self.seen_s > MEMORY_S {
            self.seen_s /= 2.0;
            self.ended /= 2.0;
        }
    }
}

/// Returns the time that work is expected to take at a backend server now, relative to the usual time.
///
/// ```
/// use burdock_decide::pace::{PaceStatement, expected_pace};
/// use burdock_decide::time::Time;
/// use std::time::Duration;
/// let stated = PaceStatement { factor: 2.5, at: Time::from_millis(1000) };
/// let pace = |ms| expected_pace(Some(&stated), Duration::from_millis(600), Time::from_millis(ms));
/// assert_eq!((pace(1000), pace(9000)), (2.5, 1.0));
/// assert!(pace(1300) > pace(1600));
/// ```
#[must_use]
pub fn expected_pace(stated: Option<&PaceStatement>, phase_length: Duration, now: Time) -> f64 {
    let Some(stated) = stated else {
        return 1.0;
    };
    let phases = now.since(stated.at).as_secs_f64() / phase_length.as_secs_f64();
    if phases >= MAX_PHASES {
        return 1.0;
    }
    let (min, max) = RANGE;
    1.0 + (stated.factor.clamp(min, max) - 1.0) * (-phases).exp()
}

/// Returns the age from which a statement is forgotten.
#[must_use]
pub fn max_age(phase_length: Duration) -> Duration {
    phase_length.mul_f64(MAX_PHASES)
}
