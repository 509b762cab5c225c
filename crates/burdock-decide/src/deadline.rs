//! Which requests can still be answered in the time that their callers have left.
//!
//! Load pattern: a burst in which refused callers return with what is left of their time limits. A run that
//! must end after its deadline takes a slot from requests that can be answered, and its caller gets nothing.

use std::time::Duration;

/// Answers after which the measured service time of a route counts. The estimate starts at a fraction of the
/// latency target, of which an eighth is left after this many shorter times.
const MIN_ANSWERS: u32 = 16;

/// Age from which a measured service time does not count any more. Otherwise an estimate that is too long
/// could refuse all requests that would correct it.
const MAX_MEASURED_AGE: Duration = Duration::from_secs(10);

/// Fraction of the warm service time below which a request can't be answered. Some work takes less than the
/// estimate.
const MIN_SERVICE_FRACTION: f64 = 0.5;

/// Service time of a route's requests with a warm cache, as measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasuredService {
    /// Estimated service time in milliseconds.
    pub warm_ms: f64,
    /// Number of answers that it follows from.
    pub answers: u32,
    /// Time since the last of them.
    pub age: Duration,
}

/// Returns whether a request can be answered in the time left by a backend server with a network round trip,
/// in milliseconds, without a queue. Without a recent measurement it counts as one that can.
///
/// ```
/// use burdock_decide::deadline::*;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let measured = Some(MeasuredService { warm_ms: 340.0, answers: 100, age: ms(50) });
/// assert!(can_be_answered(ms(200), 3.0, measured));
/// assert!(!can_be_answered(ms(200), 110.0, measured));
/// assert!(can_be_answered(ms(200), 110.0, None));
/// ```
#[must_use]
pub fn can_be_answered(time_left: Duration, round_trip_ms: f64, measured: Option<MeasuredService>) -> bool {
    let counts = |m: &MeasuredService| m.answers >= MIN_ANSWERS && m.age < MAX_MEASURED_AGE;
    let service_ms = measured.filter(counts).map(|m| m.warm_ms * MIN_SERVICE_FRACTION);
    service_ms.is_none_or(|service_ms| time_left.as_secs_f64() * 1e3 >= round_trip_ms + service_ms)
}
