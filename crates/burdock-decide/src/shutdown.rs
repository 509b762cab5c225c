//! Stages of a graceful shutdown.

use std::time::Duration;

use crate::steer::ANSWER_TTL;

/// Maximum time to wait for requests in flight once new ones are refused.
pub const FINISH_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns whether an attempt to run a request may begin that is expected to take so many milliseconds, given the
/// time until the process ends if it is stopping. A request that is cut at the end has an unknown outcome, while one
/// that was not sent can be refused as not run, so that its caller goes to another instance at once.
///
/// ```
/// use burdock_decide::shutdown::may_begin_attempt;
/// use std::time::Duration;
/// assert!(may_begin_attempt(None, 9000.0));
/// assert!(may_begin_attempt(Some(Duration::from_secs(2)), 300.0));
/// assert!(!may_begin_attempt(Some(Duration::from_millis(200)), 300.0));
/// ```
#[must_use]
pub fn may_begin_attempt(until_end: Option<Duration>, expected_ms: f64) -> bool {
    until_end.is_none_or(|left| left.as_secs_f64() * 1e3 >= expected_ms)
}

/// Stage of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShutdownStage {
    /// The instance is no longer in steering answers, but serves callers that hold an older answer.
    Draining,
    /// New requests are refused as not run; those in flight are finished.
    Finishing,
    /// State that must outlast the instance, such as its idempotency keys, is handed over to a successor.
    HandingOver,
    /// The instance can stop.
    Done,
}

/// What the stage of a shutdown depends on.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownView {
    /// Time since the shutdown was requested.
    pub elapsed: Duration,
    /// Number of requests in flight.
    pub in_flight: usize,
    /// Time since the last new request, or since the shutdown was requested if that is later.
    pub idle_time: Duration,
    /// Whether the hand-over is complete, or there is no successor.
    pub handed_over: bool,
}

/// Determines the stage of a shutdown.
///
/// ```
/// use burdock_decide::shutdown::*;
/// use std::time::Duration;
/// let view = ShutdownView {
///     elapsed: Duration::ZERO, in_flight: 1, idle_time: Duration::ZERO, handed_over: false,
/// };
/// assert_eq!(shutdown_stage(&view), ShutdownStage::Draining);
/// ```
#[must_use]
pub fn shutdown_stage(view: &ShutdownView) -> ShutdownStage {
    const MIN_IDLE_TIME: Duration = Duration::from_millis(1500);
    let is_draining = view.elapsed < ANSWER_TTL && (view.in_flight > 0 || view.idle_time < MIN_IDLE_TIME);
    if is_draining {
        return ShutdownStage::Draining;
    }
    if view.in_flight > 0 && view.elapsed < ANSWER_TTL + FINISH_TIMEOUT {
        return ShutdownStage::Finishing;
    }
    if !view.handed_over {
        return ShutdownStage::HandingOver;
    }
    ShutdownStage::Done
}
