//! Whether a failed attempt may be followed by another.

use std::time::Duration;

use crate::time::Time;

/// Attempts that a budget holds when full, in thousandths.
const BUDGET_CAP: u32 = 10_000;

/// What each request adds to its organisation's budget, in thousandths of an attempt.
const BUDGET_PER_REQUEST: u32 = 100;

const ATTEMPT: u32 = 1000;

/// How far an attempt got before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendProgress {
    /// No byte was written: no connection, or it closed before use.
    NotWritten,
    /// The backend server answered that it did not run the request.
    Shed,
    /// Some of it may have reached the backend server.
    Written,
}

impl SendProgress {
    /// Whether the request certainly did not run.
    #[must_use]
    pub const fn proves_not_run(self) -> bool {
        matches!(self, Self::NotWritten | Self::Shed)
    }
}

/// Attempts beyond the first that an organisation may cause at one instance: a part of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    thousandths: u32,
    cap: u32,
    per_request: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { thousandths: BUDGET_CAP, cap: BUDGET_CAP, per_request: BUDGET_PER_REQUEST }
    }
}

impl RetryBudget {
    /// A full budget that holds `cap` attempts and gets a part of one for each request, both in thousandths.
    ///
    /// ```
    /// use burdock_decide::retry::RetryBudget;
    /// let mut budget = RetryBudget::new(1000, 500);
    /// assert!(budget.withdraw() && !budget.withdraw());
    /// budget.deposit();
    /// budget.deposit();
    /// assert!(budget.withdraw());
    /// ```
    #[must_use]
    pub const fn new(cap: u32, per_request: u32) -> Self {
        Self { thousandths: cap, cap, per_request }
    }

    /// Changes what it holds at most, as the number of instances changes.
    pub const fn set_cap(&mut self, cap: u32) {
        self.cap = cap;
        if self.thousandths > cap {
            self.thousandths = cap;
        }
    }

    /// Counts a request.
    pub const fn deposit(&mut self) {
        let sum = self.thousandths + self.per_request;
        self.thousandths = if sum > self.cap { self.cap } else { sum };
    }

    /// Takes one attempt if there is one.
    pub const fn withdraw(&mut self) -> bool {
        if self.thousandths < ATTEMPT {
            return false;
        }
        self.thousandths -= ATTEMPT;
        true
    }
}

/// What a retry is decided from.
#[derive(Clone, Copy, Debug)]
pub struct RetryView {
    /// How far the attempt got.
    pub progress: SendProgress,
    /// The request may run more than once.
    pub repeatable: bool,
    /// The body can be sent again: none of it was passed on, or all of it is held.
    pub body_replayable: bool,
    /// Attempts made.
    pub attempts_made: u8,
    /// Further attempts allowed after the first.
    pub max_retries: u8,
    /// Now.
    pub now: Time,
    /// When the caller's time is up.
    pub deadline: Time,
    /// The least time that another attempt takes.
    pub min_attempt_time: Duration,
}

/// Whether another attempt may be made, apart from the budget.
///
/// ```
/// use burdock_decide::retry::*;
/// use burdock_decide::time::Time;
/// use std::time::Duration;
/// let view = RetryView { progress: SendProgress::Written, repeatable: false, body_replayable: true,
///     attempts_made: 1, max_retries: 2, now: Time(0), deadline: Time::from_millis(100), min_attempt_time: Duration::from_millis(1) };
/// assert!(!may_retry(&view));
/// assert!(may_retry(&RetryView { progress: SendProgress::Shed, ..view }));
/// ```
#[must_use]
pub fn may_retry(view: &RetryView) -> bool {
    let safe = view.repeatable || view.progress.proves_not_run();
    let in_time = view.now + view.min_attempt_time < view.deadline;
    safe && in_time && view.body_replayable && view.attempts_made <= view.max_retries
}
