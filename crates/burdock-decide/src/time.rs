//! Monotonic time that decisions take as an argument.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds on the monotonic clock of one process, from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time a number of milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the duration since an earlier time, or zero if that time is later.
    ///
    /// ```
    /// use burdock_decide::time::Time;
    /// use std::time::Duration;
    /// assert_eq!(Time(5000).since(Time(2000)), Duration::from_millis(3));
    /// assert_eq!(Time(2000).since(Time(5000)), Duration::ZERO);
    /// ```
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(micros(rhs)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(micros(rhs)))
    }
}

/// Returns a duration in whole microseconds, saturating at `u64::MAX`.
#[must_use]
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
