//! The clock that decisions are given.

use std::time::{Duration, Instant};

use burdock_decide::time::Time;
use nix::time::{ClockId, clock_gettime};

/// Microseconds that the clock starts at, so that times before the start can be written.
const START_US: u64 = 3_600_000_000;

/// A monotonic clock. It goes on while the process is paused and while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: since_boot() }
    }

    /// Now.
    #[must_use]
    pub fn now(&self) -> Time {
        let passed = u64::try_from(since_boot().saturating_sub(self.origin).as_micros()).unwrap_or(u64::MAX);
        Time(START_US + passed)
    }

    /// The same time for the runtime's timers.
    ///
    /// Those stand still while the machine is suspended, so the time left is counted from now.
    #[must_use]
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        let now = self.now();
        tokio::time::Instant::now() + time.since(now)
    }
}

// Time since the machine started, with the time that it was suspended.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or_else(|_unsupported| fallback(), Duration::from)
}

// The steady clock, where the system has no clock that counts suspended time.
fn fallback() -> Duration {
    static FIRST: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed()
}
