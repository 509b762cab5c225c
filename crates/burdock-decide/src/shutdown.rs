//! The stages of a graceful shutdown.

use std::time::Duration;

use crate::steer::ANSWER_TTL;

/// The longest that requests at work are waited for.
pub const FINISH_BOUND: Duration = Duration::from_secs(30);

/// A stage of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
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
    pub quiet_for: Duration,
    /// The hand-over is complete, or there is nobody to hand over to.
    pub handed_over: bool,
}

/// The stage a shutdown is in.
///
/// ```
/// use burdock_decide::shutdown::*;
/// use std::time::Duration;
/// let view = ShutdownView { elapsed: Duration::ZERO, in_flight: 1, quiet_for: Duration::ZERO, handed_over: false };
/// assert_eq!(stage(&view), Stage::Draining);
/// ```
#[must_use]
pub fn stage(view: &ShutdownView) -> Stage {
    const QUIET: Duration = Duration::from_millis(1500);
    let draining = view.elapsed < ANSWER_TTL && (view.in_flight > 0 || view.quiet_for < QUIET);
    if draining {
        return Stage::Draining;
    }
    if view.in_flight > 0 && view.elapsed < ANSWER_TTL + FINISH_BOUND {
        return Stage::Finishing;
    }
    if !view.handed_over {
        return Stage::HandingOver;
    }
    Stage::Done
}
