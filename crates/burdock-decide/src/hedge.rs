//! Hedged requests: when a second copy of a slow request is sent, and how many are.
//!
//! Load pattern: on average a request takes half a second on a backend server that is warm for its object.
//! One in thirty takes seven times as long, and work on one backend server in seven takes two and a half
//! times as long for half a second at a time. Callers send further requests before the first is answered, so
//! each slow response also delays those behind it. A second copy at another backend server that is warm for
//! the object answers in the usual time, if it is sent early enough. Each copy is extra work, so a limit
//! bounds their share, and the delay follows from the limit: a copy is sent for the slowest requests only.

use std::time::Duration;

use burdock_model::hedging::HedgeLimit;
use hdrhistogram::Histogram;

use crate::time::Time;

/// Units of credit for one second copy.
const CREDIT_PER_HEDGE: u64 = 1_000_000;

/// Maximum credit. What an instance saves while no request is slow may be spent on a few slow ones at once,
/// such as those of one backend server, but not on a whole burst.
const MAX_CREDIT: u64 = 8 * CREDIT_PER_HEDGE;

/// Credit above which copies are sent that can't meet the latency target any more. They shorten the longest
/// times, while the others save requests from being late, so these go first.
const MIN_LATE_CREDIT: u64 = MAX_CREDIT / 2;

/// Range of the quantile of the recent times after which a response is unlikely to come soon.
const QUANTILE_RANGE: (f64, f64) = (0.90, 0.95);

/// Minimum delay before a copy is sent, relative to the expected time of the first. Up to then the usual
/// spread of times explains a missing response.
const MIN_DELAY_FACTOR: f64 = 1.5;

/// Minimum delay before a copy is sent: requests that take less are answered before a copy arrives.
const MIN_DELAY_MS: f64 = 10.0;

/// Time that is reserved before the latency target for the response to reach the caller.
const TARGET_MARGIN_MS: f64 = 30.0;

/// Time that is reserved for a second copy, relative to its expected time: most warm runs take less.
const SECOND_TIME_FACTOR: f64 = 1.25;

/// Number of samples from which quantiles are used: one that is exceeded by one sample in twenty.
const MIN_SAMPLES: u64 = 20;

/// Length of a window of samples. With two of them, times of an earlier load are forgotten after twice as
/// long, and a few requests a second suffice for [`MIN_SAMPLES`].
const WINDOW: Duration = Duration::from_secs(10);

/// Longest time that is told apart, in milliseconds: the longest time limit of a request.
const MAX_SAMPLE_MS: u64 = 60_000;

/// Significant decimal digits of recorded times.
const SAMPLE_DIGITS: u8 = 2;

/// Fraction of a service's slots in use above which no copies are sent, since they would make others wait.
pub const MAX_BUSY_FRACTION: f64 = 0.75;

/// Fraction of refused attempts above which no copies are sent.
pub const MAX_REFUSED_FRACTION: f64 = 0.02;

/// Half-life of counted attempts and refusals.
const REFUSAL_HALF_LIFE: Duration = Duration::from_secs(2);

/// Number of attempts that a refusal is at least related to, so that a single one does not stop hedging.
const MIN_ATTEMPTS: f64 = 60.0;

/// Service time relative to the usual one from which a backend server counts as slow. A single request that
/// takes seven times as long, as another instance measured it, raises the estimate to 1.6.
pub const SLOW_FACTOR: f64 = 1.75;

/// Number of times that a request is looked at again after its first delay.
pub const MAX_LOOKS: u32 = 5;

/// Shortest delay until a request is looked at again.
const MIN_LOOK_DELAY: Duration = Duration::from_millis(20);

/// Recent times of requests of one kind: those of the current window and of the one before.
#[derive(Clone, Debug)]
pub struct RecentTimes {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    window_ends_at: Time,
}

impl RecentTimes {
    /// Creates an empty record. Returns `None` if the histogram rejects its bounds, which are constants.
    #[must_use]
    pub fn new(now: Time) -> Option<Self> {
        let empty = Histogram::new_with_bounds(1, MAX_SAMPLE_MS, SAMPLE_DIGITS).ok()?;
        Some(Self { current: empty.clone(), previous: empty, window_ends_at: now + WINDOW })
    }

    /// Records the time of one request in milliseconds. For a request that was cancelled, that is the time up
    /// to then: it exceeds the delay after which copies are sent, so the quantile for it stays right.
    pub fn record(&mut self, ms: f64, now: Time) {
        self.rotate(now);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float cast saturates"
        )]
        self.current.saturating_record(ms.max(1.0) as u64);
    }

    /// Returns a quantile of the recent times in milliseconds, `None` if there are too few samples.
    ///
    /// ```
    /// use burdock_decide::hedge::RecentTimes;
    /// use burdock_decide::time::Time;
    /// let mut times = RecentTimes::new(Time(0)).unwrap();
    /// assert_eq!(times.quantile_ms(0.9, Time(0)), None);
    /// (1..=100).for_each(|ms| times.record(f64::from(ms), Time(0)));
    /// assert_eq!(times.quantile_ms(0.9, Time(0)), Some(90.0));
    /// assert_eq!(times.quantile_ms(0.9, Time::from_millis(60_000)), None);
    /// ```
    pub fn quantile_ms(&mut self, quantile: f64, now: Time) -> Option<f64> {
        self.rotate(now);
        if self.current.len() + self.previous.len() < MIN_SAMPLES {
            return None;
        }
        let mut both = self.previous.clone();
        both.add(&self.current).ok()?;
        Some(both.value_at_quantile(quantile) as f64)
    }

    fn rotate(&mut self, now: Time) {
        if now < self.window_ends_at {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if now.since(self.window_ends_at) >= WINDOW {
            self.previous.reset();
        }
        self.window_ends_at = now + WINDOW;
    }
}

/// Credit of one instance for second copies at one service. Each first attempt adds the limit, so the sum over
/// instances keeps to the limit without messages between them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HedgeCredit {
    units: u64,
}

impl HedgeCredit {
    /// Adds the limit for one first attempt.
    ///
    /// ```
    /// use burdock_decide::hedge::HedgeCredit;
    /// use burdock_model::hedging::HedgeLimit;
    /// let mut credit = HedgeCredit::default();
    /// (0..20).for_each(|_| credit.deposit(HedgeLimit::new(0.05).unwrap()));
    /// assert!(credit.take() && !credit.take());
    /// ```
    pub fn deposit(&mut self, limit: HedgeLimit) {
        // A limit of zero also voids the credit: when hedging is turned on again, it starts from zero.
        self.units = match limit.is_off() {
            true => 0,
            false => (self.units + u64::from(limit.per_million())).min(MAX_CREDIT),
        };
    }

    /// Takes the credit for one second copy. Returns `false` if there is too little.
    pub const fn take(&mut self) -> bool {
        let has_credit = self.covers(false);
        if has_credit {
            self.units -= CREDIT_PER_HEDGE;
        }
        has_credit
    }

    /// Returns what [`Self::take`] took for a copy that was not sent.
    pub fn refund(&mut self) {
        self.units = (self.units + CREDIT_PER_HEDGE).min(MAX_CREDIT);
    }

    /// Returns whether there is credit for a second copy; for a late one, so much that some is left.
    #[must_use]
    pub const fn covers(&self, is_late: bool) -> bool {
        self.units >= if is_late { MIN_LATE_CREDIT } else { CREDIT_PER_HEDGE }
    }
}

/// Attempts and refusals of a service at one instance, of which older ones count less.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentRefusals {
    attempts: f64,
    refusals: f64,
    counted_at: Time,
}

impl RecentRefusals {
    /// Counts an attempt.
    pub fn record_attempt(&mut self, now: Time) {
        self.decay(now);
        self.attempts += 1.0;
    }

    /// Counts a request that was refused for lack of capacity.
    pub fn record_refusal(&mut self, now: Time) {
        self.decay(now);
        self.refusals += 1.0;
    }

    /// Returns the fraction of recent attempts that were refused.
    ///
    /// ```
    /// use burdock_decide::hedge::{MAX_REFUSED_FRACTION, RecentRefusals};
    /// use burdock_decide::time::Time;
    /// let mut refusals = RecentRefusals::default();
    /// refusals.record_refusal(Time(0));
    /// assert!(refusals.fraction(Time(0)) < MAX_REFUSED_FRACTION);
    /// refusals.record_refusal(Time(0));
    /// assert!(refusals.fraction(Time(0)) > MAX_REFUSED_FRACTION);
    /// assert!(refusals.fraction(Time::from_millis(10_000)) < MAX_REFUSED_FRACTION);
    /// ```
    #[must_use]
    pub fn fraction(&self, now: Time) -> f64 {
        let mut current = *self;
        current.decay(now);
        current.refusals / current.attempts.max(MIN_ATTEMPTS)
    }

    fn decay(&mut self, now: Time) {
        let half_lives = now.since(self.counted_at).as_secs_f64() / REFUSAL_HALF_LIFE.as_secs_f64();
        let remaining = 0.5_f64.powf(half_lives);
        self.attempts *= remaining;
        self.refusals *= remaining;
        self.counted_at = self.counted_at.max(now);
    }
}

/// Returns the quantile of recent times at which a copy is sent. It leaves as many requests as the limit allows
/// copies, within the range where a late response is unusual.
///
/// ```
/// use burdock_decide::hedge::delay_quantile;
/// use burdock_model::hedging::HedgeLimit;
/// assert_eq!(delay_quantile(HedgeLimit::new(0.2).unwrap()), 0.9);
/// assert_eq!(delay_quantile(HedgeLimit::new(0.01).unwrap()), 0.95);
/// ```
#[must_use]
pub fn delay_quantile(limit: HedgeLimit) -> f64 {
    (1.0 - limit.share()).clamp(QUANTILE_RANGE.0, QUANTILE_RANGE.1)
}

/// What the delay before a second copy depends on. Times are from the start of the first attempt, in
/// milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct DelayView {
    /// Quantile of the recent times of such requests (see [`delay_quantile`]), if known.
    pub quantile_ms: Option<f64>,
    /// Expected time of the first attempt.
    pub expected_ms: f64,
    /// Expected time of a second copy at a warm backend server.
    pub second_ms: f64,
    /// Time until the latency target, if there is one.
    pub target_ms: Option<f64>,
}

/// When a second copy is sent, from the start of the first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeDelay {
    /// Delay after which a copy may be sent.
    pub delay: Duration,
    /// Delay up to which a copy is expected to meet the latency target; `None` if there is no target.
    pub latest: Option<Duration>,
}

impl HedgeDelay {
    /// Returns whether a copy sent `elapsed` after the first would be late; see [`HedgeCredit::covers`].
    #[must_use]
    pub fn is_late(&self, elapsed: Duration) -> bool {
        self.latest.is_some_and(|latest| elapsed > latest + LATEST_TOLERANCE)
    }
}

/// Time by which a copy may exceed the latest delay: timers fire a little late.
const LATEST_TOLERANCE: Duration = Duration::from_millis(20);

/// Returns the delay before a second copy, `None` while the usual times are unknown.
///
/// ```
/// use burdock_decide::hedge::{DelayView, hedge_delay};
/// let view = DelayView { quantile_ms: Some(800.0), expected_ms: 500.0, second_ms: 500.0, target_ms: None };
/// assert_eq!(hedge_delay(&view).unwrap().delay.as_millis(), 800);
/// // A copy that is sent after 800 ms would miss a target of 1,415 ms.
/// let early = hedge_delay(&DelayView { target_ms: Some(1415.0), ..view }).unwrap();
/// assert_eq!((early.delay.as_millis(), early.is_late(early.delay)), (760, false));
/// // One that can't meet the target in any case is sent at the quantile.
/// let late = hedge_delay(&DelayView { target_ms: Some(900.0), ..view }).unwrap();
/// assert!(late.delay.as_millis() == 800 && late.is_late(late.delay));
/// ```
#[must_use]
pub fn hedge_delay(view: &DelayView) -> Option<HedgeDelay> {
    let min_ms = (view.expected_ms * MIN_DELAY_FACTOR).max(MIN_DELAY_MS);
    let usual_ms = view.quantile_ms?.max(min_ms);
    let second_ms = view.second_ms * SECOND_TIME_FACTOR;
    let latest_ms = view.target_ms.map(|target_ms| target_ms - TARGET_MARGIN_MS - second_ms);
    let early_ms = latest_ms.filter(|ms| (min_ms..usual_ms).contains(ms));
    let duration = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1e3);
    Some(HedgeDelay { delay: duration(early_ms.unwrap_or(usual_ms)), latest: latest_ms.map(duration) })
}

/// Returns the time until a request is looked at again whose copy could not be sent after `delay`.
#[must_use]
pub fn look_again_delay(delay: Duration) -> Duration {
    (delay / 4).max(MIN_LOOK_DELAY)
}

/// Why no second copy is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeRefusal {
    /// The request may run only once, or its body can't be sent again.
    NotRepeatable,
    /// The request may have crashed a backend server.
    Suspect,
    /// The configuration has changed since the request was admitted.
    ConfigChanged,
    /// The response has begun.
    Answering,
    /// The route allows no further attempt.
    NoAttemptLeft,
    /// Too little time is left.
    TooLate,
    /// The service is under pressure.
    Pressure,
    /// There is no credit.
    Limit,
    /// The retry budget is kept for retries.
    RetryBudget,
    /// No other backend server is warm for the object, has a free slot and works at its usual speed.
    NoBackend,
}

impl HedgeRefusal {
    /// Returns whether the copy could be sent a little later.
    #[must_use]
    pub const fn is_temporary(self) -> bool {
        matches!(self, Self::Pressure | Self::Limit | Self::RetryBudget | Self::NoBackend)
    }

    /// Returns the reason for log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not repeatable",
            Self::Suspect => "suspected of crashes",
            Self::ConfigChanged => "configuration changed",
            Self::Answering => "response has begun",
            Self::NoAttemptLeft => "no attempt left",
            Self::TooLate => "too little time left",
            Self::Pressure => "service under pressure",
            Self::Limit => "limit",
            Self::RetryBudget => "retry budget",
            Self::NoBackend => "no other warm backend server",
        }
    }
}

/// What the decision about a second copy depends on, the backend server for it aside.
#[derive(Clone, Copy, Debug)]
pub struct HedgeView {
    /// Whether the request may run more than once and its body is held.
    pub repeatable: bool,
    /// Whether the request has any strike for a crash of a backend server.
    pub is_suspect: bool,
    /// Whether the configuration has changed since the request was admitted.
    pub config_changed: bool,
    /// Whether the head of the first response has arrived.
    pub is_answering: bool,
    /// Attempts made so far.
    pub attempts_made: usize,
    /// Maximum attempts, the first included.
    pub max_attempts: usize,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Expected time of the second copy.
    pub second_time: Duration,
    /// Fraction of the service's slots in use, as far as known.
    pub busy_fraction: f64,
    /// Fraction of the service's recent attempts that were refused.
    pub refused_fraction: f64,
    /// Whether the credit covers the copy.
    pub has_credit: bool,
}

/// Decides whether a second copy may be sent now. The retry budget and the backend server are checked
/// separately.
///
/// # Errors
/// Returns the first reason against it.
///
/// ```
/// use burdock_decide::hedge::{HedgeRefusal, HedgeView, may_hedge};
/// use std::time::Duration;
/// let view = HedgeView {
///     repeatable: true, is_suspect: false, config_changed: false, is_answering: false, attempts_made: 1,
///     max_attempts: 2, time_left: Duration::from_secs(2), second_time: Duration::from_millis(500),
///     busy_fraction: 0.3, refused_fraction: 0.0, has_credit: true,
/// };
/// assert_eq!(may_hedge(&view), Ok(()));
/// let late = HedgeView { time_left: Duration::from_millis(400), ..view };
/// assert_eq!(may_hedge(&late), Err(HedgeRefusal::TooLate));
/// ```
pub fn may_hedge(view: &HedgeView) -> Result<(), HedgeRefusal> {
    let refusals = [
        (!view.repeatable, HedgeRefusal::NotRepeatable),
        (view.is_suspect, HedgeRefusal::Suspect),
        (view.config_changed, HedgeRefusal::ConfigChanged),
        (view.is_answering, HedgeRefusal::Answering),
        (view.attempts_made >= view.max_attempts, HedgeRefusal::NoAttemptLeft),
        (view.time_left < view.second_time, HedgeRefusal::TooLate),
        (view.busy_fraction > MAX_BUSY_FRACTION, HedgeRefusal::Pressure),
        (view.refused_fraction > MAX_REFUSED_FRACTION, HedgeRefusal::Pressure),
        (!view.has_credit, HedgeRefusal::Limit),
    ];
    refusals.into_iter().find(|(holds, _)| *holds).map_or(Ok(()), |(_, refusal)| Err(refusal))
}

/// The backend server that would get a second copy.
#[derive(Clone, Copy, Debug)]
pub struct SecondView {
    /// Whether it is likely to have the object in its cache, or works equally fast on all.
    pub is_warm: bool,
    /// Whether it started recently and so has a limited rate of requests.
    pub is_cold: bool,
    /// Whether the copy would wait there for a slot.
    pub is_queued: bool,
    /// Measured service time relative to the usual one.
    pub slowness: f64,
}

/// Returns whether a backend server is fit for a second copy: the copy is likely to be answered in the usual
/// time and makes no other request wait.
///
/// ```
/// use burdock_decide::hedge::{SecondView, is_fit_for_hedge};
/// let view = SecondView { is_warm: true, is_cold: false, is_queued: false, slowness: 1.0 };
/// assert!(is_fit_for_hedge(&view));
/// assert!(!is_fit_for_hedge(&SecondView { slowness: 2.5, ..view }));
/// ```
#[must_use]
pub fn is_fit_for_hedge(view: &SecondView) -> bool {
    view.is_warm && !view.is_cold && !view.is_queued && view.slowness < SLOW_FACTOR
}
