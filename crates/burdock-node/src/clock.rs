//! The clock that decisions are given.

use std::time::Instant;

use burdock_decide::time::Time;

/// Microseconds that the clock starts at, so that times before the start can be written.
const START_US: u64 = 3_600_000_000;

/// A monotonic clock. It goes on while the process is paused.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Now.
    #[must_use]
    pub fn now(&self) -> Time {
        let passed = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        Time(START_US + passed)
    }

    /// The same time for the runtime's timers.
    #[must_use]
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        let micros = time.0.saturating_sub(START_US);
        tokio::time::Instant::from_std(self.origin + std::time::Duration::from_micros(micros))
    }
}
