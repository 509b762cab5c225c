//! Retries of failed attempts, and the budget that bounds them.

use std::time::Duration;

use crate::time::Time;

/// Maximum balance of a budget, in thousandths of a retry.
const MAX_MILLIRETRIES: u32 = 10_000;

/// What each request adds to its organisation's budget, in thousandths of a retry.
const DEPOSIT_MILLIRETRIES: u32 = 100;

const MILLIRETRIES_PER_RETRY: u32 = 1000;

/// How much of a request had been sent when its attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendProgress {
    /// Nothing: there was no connection, or it was closed before use.
    NotWritten,
    /// The backend server refused the request and states that it did not run it.
    Shed,
    /// Some of the request may have reached the backend server.
    Written,
}

impl SendProgress {
    /// Returns whether the request certainly did not run.
    #[must_use]
    pub const fn proves_not_run(self) -> bool {
        matches!(self, Self::NotWritten | Self::Shed)
    }
}

/// Retry budget at one instance: bounds retries to a fraction of the requests that it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    balance_milliretries: u32,
    max_milliretries: u32,
    deposit_milliretries: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_milliretries: MAX_MILLIRETRIES,
            max_milliretries: MAX_MILLIRETRIES,
            deposit_milliretries: DEPOSIT_MILLIRETRIES,
        }
    }
}

impl RetryBudget {
    /// Creates a full budget with a maximum balance and a deposit per request, in thousandths of a retry.
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
    pub const fn new(max_milliretries: u32, deposit_milliretries: u32) -> Self {
        Self { balance_milliretries: max_milliretries, max_milliretries, deposit_milliretries }
    }

    /// Changes the maximum balance, in thousandths of a retry, as the number of instances changes.
    pub const fn set_cap(&mut self, max_milliretries: u32) {
        self.max_milliretries = max_milliretries;
        if self.balance_milliretries > max_milliretries {
            self.balance_milliretries = max_milliretries;
        }
    }

    /// Adds the deposit for one request.
    pub const fn deposit(&mut self) {
        let sum = self.balance_milliretries + self.deposit_milliretries;
        self.balance_milliretries = if sum > self.max_milliretries { self.max_milliretries } else { sum };
    }

    /// Takes one retry from the budget. Returns whether the balance allowed it.
    pub const fn withdraw(&mut self) -> bool {
        if self.balance_milliretries < MILLIRETRIES_PER_RETRY {
            return false;
        }
        self.balance_milliretries -= MILLIRETRIES_PER_RETRY;
        true
    }

    /// Takes one attempt that is not a retry from the budget. Half of the budget is kept for retries; one too
    /// small for that must be full. Returns whether the balance allowed it.
    ///
    /// ```
    /// use burdock_decide::retry::RetryBudget;
    /// let mut budget = RetryBudget::new(4000, 500);
    /// assert!(budget.withdraw_spare() && budget.withdraw_spare());
    /// assert!(!budget.withdraw_spare() && budget.withdraw());
    /// ```
    pub const fn withdraw_spare(&mut self) -> bool {
        let needed = self.max_milliretries / 2 + MILLIRETRIES_PER_RETRY;
        let needed = if needed < self.max_milliretries { needed } else { self.max_milliretries };
        self.balance_milliretries >= needed && self.withdraw()
    }
}

/// What the decision about a retry depends on.
#[derive(Clone, Copy, Debug)]
pub struct RetryView {
    /// How much of the request the failed attempt had sent.
    pub progress: SendProgress,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the body can be sent again: none of it was forwarded, or all of it is buffered.
    pub body_replayable: bool,
    /// Attempts made so far, the failed one included.
    pub attempts_made: u8,
    /// Maximum attempts after the first.
    pub max_retries: u8,
    /// Current time.
    pub now: Time,
    /// The caller's deadline.
    pub deadline: Time,
    /// Minimum time that must remain for another attempt.
    pub min_attempt_time: Duration,
}

/// Decides whether another attempt may be made. The retry budget is checked separately.
///
/// ```
/// use burdock_decide::retry::*;
/// use burdock_decide::time::Time;
/// use std::time::Duration;
/// let view = RetryView {
///     progress: SendProgress::Written, repeatable: false, body_replayable: true,
///     attempts_made: 1, max_retries: 2, now: Time(0), deadline: Time::from_millis(100),
///     min_attempt_time: Duration::from_millis(1),
/// };
/// assert!(!may_retry(&view));
/// assert!(may_retry(&RetryView { progress: SendProgress::Shed, ..view }));
/// ```
#[must_use]
pub fn may_retry(view: &RetryView) -> bool {
    let is_safe = view.repeatable || view.progress.proves_not_run();
    let has_time = view.now + view.min_attempt_time < view.deadline;
    is_safe && has_time && view.body_replayable && view.attempts_made <= view.max_retries
}
