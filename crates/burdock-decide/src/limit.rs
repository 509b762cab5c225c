//! An organisation's rate and burst at one instance: the token bucket and the lending of tokens.

use std::time::Duration;

use burdock_model::units::{MICROS, Rate};

use crate::time::{Time, micros};

/// One whole token in the bucket's unit.
pub const TOKEN: u64 = MICROS;

/// Parts of a whole share.
pub const FULL_SHARE_PPM: u64 = 1_000_000;

/// How long borrowed tokens may be used. What is left then is lost, so that lending adds no burst.
pub const LOAN_TTL: Duration = Duration::from_millis(200);

/// How long a holder that had nothing to lend is not asked again.
pub const LENDER_COOLDOWN: Duration = Duration::from_millis(50);

/// What one holder may give out: its part of the organisation's rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Allotment {
    /// Millionths of a token a second.
    pub rate: u64,
    /// The most tokens held at once, in millionths.
    pub cap: u64,
}

/// The part of an organisation's rate and burst for the share between two marks of a whole.
///
/// Marks are in parts of [`FULL_SHARE_PPM`]. Allotments of adjoining shares add up to the whole exactly
/// in burst, and to no more than the whole in rate.
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
    let tokens_below = |mark: u64| u64::from(burst) * mark / FULL_SHARE_PPM;
    let width = to.saturating_sub(from);
    let rate = u128::from(rate.micros_per_second()) * u128::from(width) / u128::from(FULL_SHARE_PPM);
    Allotment {
        rate: u64::try_from(rate).unwrap_or(u64::MAX),
        cap: (tokens_below(to) - tokens_below(from)) * TOKEN,
    }
}

/// A token bucket that starts empty, so that a new holder never repeats a burst the old one gave out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bucket {
    allotment: Allotment,
    tokens: u64,
    filled: Time,
    borrowed: u32,
    borrowed_until: Time,
}

impl Bucket {
    /// An empty bucket.
    #[must_use]
    pub const fn new(allotment: Allotment, now: Time) -> Self {
        Self { allotment, tokens: 0, filled: now, borrowed: 0, borrowed_until: now }
    }

    /// Changes the allotment. What is above a smaller cap is dropped; a larger cap fills over time.
    pub fn set_allotment(&mut self, allotment: Allotment, now: Time) {
        self.refill(now);
        self.allotment = allotment;
        self.tokens = self.tokens.min(allotment.cap);
    }

    /// Drops what is above the tokens of some time, for a holder that only stands by.
    ///
    /// ```
    /// use burdock_decide::limit::{Allotment, Bucket, TOKEN};
    /// use burdock_decide::time::Time;
    /// use std::time::Duration;
    /// let mut bucket = Bucket::new(Allotment { rate: 10 * TOKEN, cap: 50 * TOKEN }, Time(0));
    /// bucket.clamp_to_refill_time(Duration::from_millis(300), Time::from_millis(60_000));
    /// assert_eq!(bucket.whole_tokens(Time::from_millis(60_000)), 3);
    /// ```
    pub fn clamp_to_refill_time(&mut self, time: Duration, now: Time) {
        self.refill(now);
        let most = u128::from(self.allotment.rate) * time.as_micros() / u128::from(MICROS);
        self.tokens = self.tokens.min(u64::try_from(most).unwrap_or(u64::MAX));
    }

    /// Takes one token if there is one.
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
        if self.borrowed > 0 && now < self.borrowed_until {
            self.borrowed -= 1;
            return true;
        }
        self.refill(now);
        if self.tokens < TOKEN {
            return false;
        }
        self.tokens -= TOKEN;
        true
    }

    /// Whole tokens held.
    pub fn whole_tokens(&mut self, now: Time) -> u32 {
        self.refill(now);
        u32::try_from(self.tokens / TOKEN).unwrap_or(u32::MAX)
    }

    /// Gives away up to `wanted` whole tokens. They are gone from here before anyone else has them.
    ///
    /// The last token is kept for the holder's own callers unless it has seen none lately.
    pub fn lend(&mut self, wanted: u32, idle: bool, now: Time) -> u32 {
        let held = self.whole_tokens(now);
        let spare = if idle { held } else { held.saturating_sub(1) };
        let given = wanted.min(spare);
        self.tokens -= u64::from(given) * TOKEN;
        given
    }

    /// Adds tokens that another holder gave away. They can't be lent on.
    pub fn borrow(&mut self, tokens: u32, now: Time) {
        let kept = if now < self.borrowed_until { self.borrowed } else { 0 };
        self.borrowed = kept + tokens;
        self.borrowed_until = now + LOAN_TTL;
    }

    /// How long until the next whole token at this allotment; `None` for never.
    pub fn time_to_next_token(&mut self, now: Time) -> Option<Duration> {
        self.refill(now);
        let missing = TOKEN.saturating_sub(self.tokens);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if self.allotment.rate == 0 || self.allotment.cap < TOKEN {
            return None;
        }
        let wait = u128::from(missing) * u128::from(MICROS) / u128::from(self.allotment.rate);
        Some(Duration::from_micros(u64::try_from(wait).unwrap_or(u64::MAX)))
    }

    fn refill(&mut self, now: Time) {
        let elapsed = micros(now.since(self.filled));
        let gained = u128::from(self.allotment.rate) * u128::from(elapsed) / u128::from(MICROS);
        if gained == 0 {
            return;
        }
        let tokens = u128::from(self.tokens) + gained;
        self.tokens = u64::try_from(tokens.min(u128::from(self.allotment.cap))).unwrap_or(u64::MAX);
        self.filled = now;
    }
}

/// What an instance believes another holder has to lend.
#[derive(Clone, Copy, Debug)]
pub struct Lender {
    /// It is in the asker's region.
    pub local: bool,
    /// Tokens it said it had left when last asked; `None` when never asked.
    pub remaining_tokens: Option<u32>,
    /// When it was last asked.
    pub asked_at: Time,
    /// Its rate in millionths of a token a second.
    pub rate: u64,
}

/// The holder to ask for a token: one of the own region first, then the one that should have most.
///
/// Returns an index into `lenders`, or `None` when none can have a token yet.
#[must_use]
pub fn choose_lender(lenders: &[Lender], tried: &[usize], now: Time) -> Option<usize> {
    let candidates = lenders.iter().enumerate().filter(|(ix, _)| !tried.contains(ix));
    candidates
        .map(|(ix, lender)| (estimate(lender, now), lender.local, ix))
        .filter(|(tokens, _, _)| *tokens >= TOKEN)
        .max_by_key(|(tokens, local, ix)| (*local, *tokens, std::cmp::Reverse(*ix)))
        .map(|(_, _, ix)| ix)
}

/// Tokens to ask for: enough for the requests of the next moments, at least one.
#[must_use]
pub fn tokens_to_request(recent_per_second: u32) -> u32 {
    const MOMENTS_PER_SECOND: u32 = 20;
    const MOST: u32 = 16;
    (recent_per_second / MOMENTS_PER_SECOND).clamp(1, MOST)
}

fn estimate(lender: &Lender, now: Time) -> u64 {
    let Some(left) = lender.remaining_tokens else {
        return u64::MAX;
    };
    let since = now.since(lender.asked_at);
    if left == 0 && since < LENDER_COOLDOWN {
        return 0;
    }
    let gained = u128::from(lender.rate) * u128::from(micros(since)) / u128::from(MICROS);
    (u64::from(left) * TOKEN).saturating_add(u64::try_from(gained).unwrap_or(u64::MAX))
}
