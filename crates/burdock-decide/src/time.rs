//! Time as the decisions see it.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds on a monotonic clock of one process. The origin has no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// A time this many milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// How long ago an earlier time was; zero for a later one.
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

/// A duration in whole microseconds.
#[must_use]
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
