//! How many requests of a connection may start behind one that is not answered yet.
//!
//! Load: callers send repeatable requests behind one with a long answer. HTTP/1.1 answers in order, and an answer
//! that is forwarded before it is whole can break off. Then the connection has to be closed, and every request
//! that was started behind it is lost although a sound backend server ran it.

use std::time::Duration;

use crate::time::Time;

/// Maximum number of requests of one connection that start before their turn: as many as callers pipeline in
/// practice. It bounds what one connection takes from others.
pub const MAX_EARLY_REQUESTS: usize = 8;

/// Maximum number of requests that start behind one of a route without a known answer. Callers accept that
/// three requests are lost.
const MAX_BEHIND_UNKNOWN: usize = 2;

/// Time for which a route counts as one with long answers after the last one. Downloads of the same route come
/// in different lengths.
const LONG_ANSWER_MEMORY: Duration = Duration::from_mins(10);

/// What an instance remembers of the answers of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteAnswers {
    has_whole: bool,
    streamed_at: Option<Time>,
}

impl RouteAnswers {
    /// Records an answer that was whole before any of it was forwarded.
    pub const fn record_whole(&mut self) {
        self.has_whole = true;
    }

    /// Records an answer that was forwarded before it was whole.
    pub const fn record_streamed(&mut self, now: Time) {
        self.streamed_at = Some(now);
    }

    /// Returns how many requests may start behind a request of the route.
    ///
    /// ```
    /// use burdock_decide::pipeline::RouteAnswers;
    /// use burdock_decide::time::Time;
    /// let mut answers = RouteAnswers::default();
    /// assert_eq!(answers.max_started_behind(Time(1)), 2);
    /// answers.record_whole();
    /// assert_eq!(answers.max_started_behind(Time(1)), 8);
    /// answers.record_streamed(Time(1));
    /// assert_eq!(answers.max_started_behind(Time(2)), 0);
    /// ```
    #[must_use]
    pub fn max_started_behind(&self, now: Time) -> usize {
        if self.streamed_at.is_some_and(|at| now.since(at) < LONG_ANSWER_MEMORY) {
            0
        } else if self.has_whole {
            MAX_EARLY_REQUESTS
        } else {
            MAX_BEHIND_UNKNOWN
        }
    }
}
