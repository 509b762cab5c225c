//! Exponential back-off with jitter.

use std::time::Duration;

/// Returns the delay after a number of consecutive failures (at least one). It starts at `initial`, doubles
/// with each failure up to `max`, and is spread between half and all of it by `random`, uniform over 0 to 1,
/// so that callers that failed together don't retry together.
///
/// ```
/// use burdock_decide::backoff::backoff_delay;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// assert_eq!(backoff_delay(1, ms(400), ms(2000), 1.0), ms(400));
/// assert_eq!(backoff_delay(3, ms(400), ms(2000), 0.0), ms(800));
/// assert_eq!(backoff_delay(99, ms(400), ms(2000), 1.0), ms(2000));
/// ```
#[must_use]
pub fn backoff_delay(failures: u32, initial: Duration, max: Duration, random: f64) -> Duration {
    const MAX_DOUBLINGS: u32 = 16;
    let doubled = initial * 2_u32.pow(failures.saturating_sub(1).min(MAX_DOUBLINGS));
    doubled.min(max).mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
}
