//! Rate limiting of an organisation at one instance: token bucket and loans between share holders.

use std::time::Duration;

use burdock_model::units::{MICROS_PER_UNIT, Rate};

use crate::time::{Time, micros};

/// One token, in millionths of a token.
pub const TOKEN: u64 = MICROS_PER_UNIT;

/// A share of 100 %, in parts per million.
pub const FULL_SHARE_PPM: u64 = 1_000_000;

/// Time to live of borrowed tokens. Unused ones expire, so that a loan adds no burst.
pub const LOAN_TTL: Duration = Duration::from_millis(200);

/// How long a lender that had no token left is not asked again.
pub const LENDER_COOLDOWN: Duration = Duration::from_millis(50);

/// A share holder's part of its organisation's rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Allotment {
    /// Refill rate in millionths of a token per second.
    pub rate: u64,
    /// Capacity of the bucket in millionths of a token.
    pub cap: u64,
}

/// Computes the allotment of the quota share that spans the range `from..to` of [`FULL_SHARE_PPM`].
///
/// The allotments of adjoining shares that cover the full range add up to exactly the whole burst, and to no
/// more than the whole rate.
///
/// ```
/// use burdock_decide::limit::{allotment, TOKEN};
/// use burdock_model::units::Rate;
/// let low = allotment(Rate::per_second(10), 5, 0, 333_333);
/// let high = allotment(Rate::per_second(10), 5, 333_333, 1_000_000);
/// assert_eq!(low.cap + high.cap, 5 * TOKEN);
/// assert!(low.rate + high.rate <= 10 * TOKEN);
/// ```
#[must_use]
pub fn allotment(rate: Rate, burst: u32, from: u64, to: u64) -> Allotment {
    let tokens_below = |bound: u64| u64::from(burst) * bound / FULL_SHARE_PPM;
    let width = to.saturating_sub(from);
    let rate = u128::from(rate.micros_per_second()) * u128::from(width) / u128::from(FULL_SHARE_PPM);
    Allotment {
        rate: u64::try_from(rate).unwrap_or(u64::MAX),
        cap: (tokens_below(to) - tokens_below(from)) * TOKEN,
    }
}

/// A token bucket that starts empty, so that a new holder does not repeat a burst that the previous holder
/// granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bucket {
    allotment: Allotment,
    microtokens: u64,
    refilled_at: Time,
    borrowed_tokens: u32,
    borrowed_until: Time,
}

impl Bucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn new(allotment: Allotment, now: Time) -> Self {
        Self { allotment, microtokens: 0, refilled_at: now, borrowed_tokens: 0, borrowed_until: now }
    }

    /// Changes the allotment. Tokens above a smaller capacity are discarded; a larger one fills over time.
    pub fn set_allotment(&mut self, allotment: Allotment, now: Time) {
        self.refill(now);
        self.allotment = allotment;
        self.microtokens = self.microtokens.min(allotment.cap);
    }

    /// Discards tokens beyond what the bucket gains in `refill_time`, for a holder that is only a standby.
    ///
    /// ```
    /// use burdock_decide::limit::{Allotment, Bucket, TOKEN};
    /// use burdock_decide::time::Time;
    /// use std::time::Duration;
    /// let mut bucket = Bucket::new(Allotment { rate: 10 * TOKEN, cap: 50 * TOKEN }, Time(0));
    /// bucket.clamp_to_refill_time(Duration::from_millis(300), Time::from_millis(60_000));
    /// assert_eq!(bucket.whole_tokens(Time::from_millis(60_000)), 3);
    /// ```
    pub fn clamp_to_refill_time(&mut self, refill_time: Duration, now: Time) {
        self.refill(now);
        let max = u128::from(self.allotment.rate) * refill_time.as_micros() / u128::from(MICROS_PER_UNIT);
        self.microtokens = self.microtokens.min(u64::try_from(max).unwrap_or(u64::MAX));
    }

    /// Takes one token, a borrowed one first. Returns whether there was one.
    ///
    /// ```
    /// use burdock_decide::limit::{Allotment, Bucket, TOKEN};
    /// use burdock_decide::time::Time;
    /// let mut bucket = Bucket::new(Allotment { rate: 2 * TOKEN, cap: TOKEN }, Time(0));
    /// assert!(!bucket.take(Time(0)));
    /// assert!(bucket.take(Time::from_millis(500)));
    /// assert!(!bucket.take(Time::from_millis(500)));
    /// ```
    pub fn take(&mut self, now: Time) -> bool {
        if self.borrowed_tokens > 0 && now < self.borrowed_until {
            self.borrowed_tokens -= 1;
            return true;
        }
        self.refill(now);
        if self.microtokens < TOKEN {
            return false;
        }
        self.microtokens -= TOKEN;
        true
    }

    /// Number of whole tokens in the bucket, borrowed ones not included.
    pub fn whole_tokens(&mut self, now: Time) -> u32 {
        self.refill(now);
        u32::try_from(self.microtokens / TOKEN).unwrap_or(u32::MAX)
    }

    /// Lends up to `wanted` whole tokens and returns how many. They leave this bucket before the borrower
    /// has them.
    ///
    /// The last token is kept for the holder's own callers, unless it is `idle`: it had no calls recently.
    pub fn lend(&mut self, wanted: u32, idle: bool, now: Time) -> u32 {
        let available = self.whole_tokens(now);
        let spare = if idle { available } else { available.saturating_sub(1) };
        let granted = wanted.min(spare);
        self.microtokens -= u64::from(granted) * TOKEN;
        granted
    }

    /// Adds tokens lent by another holder. They can't be lent again.
    pub fn borrow(&mut self, tokens: u32, now: Time) {
        let unexpired = if now < self.borrowed_until { self.borrowed_tokens } else { 0 };
        self.borrowed_tokens = unexpired + tokens;
        self.borrowed_until = now + LOAN_TTL;
    }

    /// Time until the bucket has a whole token; `None` if the allotment never yields one.
    pub fn time_to_next_token(&mut self, now: Time) -> Option<Duration> {
        self.refill(now);
        let missing = TOKEN.saturating_sub(self.microtokens);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if self.allotment.rate == 0 || self.allotment.cap < TOKEN {
            return None;
        }
        let wait = u128::from(missing) * u128::from(MICROS_PER_UNIT) / u128::from(self.allotment.rate);
        Some(Duration::from_micros(u64::try_from(wait).unwrap_or(u64::MAX)))
    }

    fn refill(&mut self, now: Time) {
        let elapsed = micros(now.since(self.refilled_at));
        let gained = u128::from(self.allotment.rate) * u128::from(elapsed) / u128::from(MICROS_PER_UNIT);
        if gained == 0 {
            return;
        }
        let total = u128::from(self.microtokens) + gained;
        self.microtokens = u64::try_from(total.min(u128::from(self.allotment.cap))).unwrap_or(u64::MAX);
        self.refilled_at = now;
    }
}

/// What an instance knows of another share holder that may lend tokens.
#[derive(Clone, Copy, Debug)]
pub struct Lender {
    /// Whether it is in the borrower's region.
    pub local: bool,
    /// Whole tokens that it had left by its last reply; `None` if it was never asked.
    pub remaining_tokens: Option<u32>,
    /// When it was last asked.
    pub asked_at: Time,
    /// Its refill rate in millionths of a token per second.
    pub rate: u64,
}

/// Selects the lender to ask: one in the borrower's region first, then the one with most estimated tokens.
///
/// Returns an index into `lenders` that is not in `tried`, or `None` if no lender can have a token yet.
#[must_use]
pub fn choose_lender(lenders: &[Lender], tried: &[usize], now: Time) -> Option<usize> {
    let candidates = lenders.iter().enumerate().filter(|(ix, _)| !tried.contains(ix));
    candidates
        .map(|(ix, lender)| (estimated_microtokens(lender, now), lender.local, ix))
        .filter(|(microtokens, _, _)| *microtokens >= TOKEN)
        .max_by_key(|(microtokens, local, ix)| (*local, *microtokens, std::cmp::Reverse(*ix)))
        .map(|(_, _, ix)| ix)
}

/// Number of tokens to request in one loan: enough for 50 ms at the recent request rate, at least one.
#[must_use]
pub fn tokens_to_request(recent_per_second: u32) -> u32 {
    const LOANS_PER_SECOND: u32 = 20;
    const MAX_TOKENS: u32 = 16;
    (recent_per_second / LOANS_PER_SECOND).clamp(1, MAX_TOKENS)
}

fn estimated_microtokens(lender: &Lender, now: Time) -> u64 {
    let Some(remaining) = lender.remaining_tokens else {
        return u64::MAX;
    };
    let since = now.since(lender.asked_at);
    if remaining == 0 && since < LENDER_COOLDOWN {
        return 0;
    }
    let gained = u128::from(lender.rate) * u128::from(micros(since)) / u128::from(MICROS_PER_UNIT);
    (u64::from(remaining) * TOKEN).saturating_add(u64::try_from(gained).unwrap_or(u64::MAX))
}
