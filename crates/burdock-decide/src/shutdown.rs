//! The stages of a graceful shutdown.

use std::time::Duration;

use crate::steer::ANSWER_TTL;

/// The longest that requests at work are waited for.
pub const FINISH_TIMEOUT: Duration = Duration::from_secs(30);

/// A stage of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShutdownStage {
    /// Out of steering answers, still serving callers that hold an older answer.
    Draining,
    /// New work is refused as not run; what runs is finished.
    Finishing,
    /// What must outlast the instance goes to its successor.
    HandingOver,
    /// Done.
    Done,
}

/// What a shutdown is decided from.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownView {
    /// Time since it was asked for.
    pub elapsed: Duration,
    /// Requests at work.
    pub in_flight: usize,
    /// Time since the last new request.
    pub idle_time: Duration,
    /// The hand-over is complete, or there is nobody to hand over to.
    pub handed_over: bool,
}

/// The stage a shutdown is in.
///
/// ```
/// use burdock_decide::shutdown::*;
/// use std::time::Duration;
/// let view = ShutdownView { elapsed: Duration::ZERO, in_flight: 1, idle_time: Duration::ZERO, handed_over: false };
/// assert_eq!(shutdown_stage(&view), ShutdownStage::Draining);
/// ```
#[must_use]
pub fn shutdown_stage(view: &ShutdownView) -> ShutdownStage {
    const QUIET: Duration = Duration::from_millis(1500);
    let draining = view.elapsed < ANSWER_TTL && (view.in_flight > 0 || view.idle_time < QUIET);
    if draining {
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
