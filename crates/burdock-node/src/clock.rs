//! The monotonic clock of an instance, from which decisions get the current time.

use std::time::{Duration, Instant};

use burdock_decide::time::Time;
use nix::time::{ClockId, clock_gettime};

/// Reading of the clock at its start, in microseconds. It is above 0 so that earlier times can be expressed.
const START_US: u64 = 3_600_000_000;

/// A monotonic clock. It keeps running while the process is paused and while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Duration,
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self { started_at: since_boot() }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        let elapsed_us =
            u64::try_from(since_boot().saturating_sub(self.started_at).as_micros()).unwrap_or(u64::MAX);
        Time(START_US + elapsed_us)
    }

    /// Converts a time to an instant of the runtime's timers.
    ///
    /// These timers stop while the machine is suspended, so the remaining time is counted from now.
    #[must_use]
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        let now = self.now();
        tokio::time::Instant::now() + time.since(now)
    }
}

// Time since the machine booted, including the time for which it was suspended.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or_else(|_unsupported| since_first_call(), Duration::from)
}

// Replaces the clock above on systems without one that counts suspended time.
fn since_first_call() -> Duration {
    static FIRST_CALL: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    FIRST_CALL.get_or_init(Instant::now).elapsed()
}
