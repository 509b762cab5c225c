//! Limits on hedged requests: second copies of requests that are slow to be answered.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};
use crate::ids::ServiceName;

/// Maximum limit: the retry bound of operators, within which hedges count.
pub const MAX_HEDGE_LIMIT: f64 = 0.2;

const MILLIONTHS: f64 = 1e6;

/// Share of first attempts for which a second copy may be sent, between 0 (never) and [`MAX_HEDGE_LIMIT`].
///
/// ```
/// use burdock_model::hedging::HedgeLimit;
/// let limit: HedgeLimit = "0.05".parse().unwrap();
/// assert_eq!(limit.per_million(), 50_000);
/// assert!("0.3".parse::<HedgeLimit>().is_err());
/// assert!(HedgeLimit::new(f64::NAN).is_err());
/// assert_eq!(HedgeLimit::default(), HedgeLimit::new(0.0).unwrap());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct HedgeLimit(u32);

impl HedgeLimit {
    /// Limit of a settings tree that sets `hedge_after` without a limit: that of the retry budget, which alone
    /// bounded second copies before limits existed.
    pub const IMPLIED: Self = Self(100_000);

    /// Creates a limit from a fraction.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidSettings`] if it is not a number from 0 to [`MAX_HEDGE_LIMIT`].
    pub fn new(share: f64) -> Result<Self, Error> {
        if !(0.0..=MAX_HEDGE_LIMIT).contains(&share) {
            return Err(Error::new(
                ErrorKind::InvalidSettings,
                format!("a hedge limit of {share} is not between 0 and {MAX_HEDGE_LIMIT}"),
            )
            .hint("write the share of extra work as a fraction, such as 0.05"));
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the share is at most 0.2"
        )]
        let millionths = (share * MILLIONTHS).round() as u32;
        Ok(Self(millionths))
    }

    /// Returns the limit in millionths.
    #[must_use]
    pub const fn per_million(self) -> u32 {
        self.0
    }

    /// Returns the limit as a fraction.
    #[must_use]
    pub fn share(self) -> f64 {
        f64::from(self.0) / MILLIONTHS
    }

    /// Returns whether no second copies are allowed.
    #[must_use]
    pub const fn is_off(self) -> bool {
        self.0 == 0
    }
}

impl FromStr for HedgeLimit {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let share: f64 = text.parse().map_err(|_unparsed| {
            Error::new(ErrorKind::InvalidSettings, format!("`{text}` is not a number"))
                .hint("write the share of extra work as a fraction, such as 0.05")
        })?;
        Self::new(share)
    }
}

impl TryFrom<f64> for HedgeLimit {
    type Error = Error;

    fn try_from(share: f64) -> Result<Self, Error> {
        Self::new(share)
    }
}

impl From<HedgeLimit> for f64 {
    fn from(limit: HedgeLimit) -> Self {
        limit.share()
    }
}

impl fmt::Display for HedgeLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.share().fmt(f)
    }
}

/// Limits of a deployment that operators change while traffic runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HedgeLimits {
    /// Limit of services that are not listed. If left out, the one that the instance was started with.
    pub limit: Option<HedgeLimit>,
    /// Limits of single services.
    pub services: BTreeMap<ServiceName, HedgeLimit>,
}

impl HedgeLimits {
    /// Returns the limit of a service, where `default` holds if nothing is set.
    ///
    /// ```
    /// use burdock_model::hedging::{HedgeLimit, HedgeLimits};
    /// use burdock_model::ids::ServiceName;
    /// let text = r#"{"limit": 0.05, "services": {"slow": 0.1}}"#;
    /// let limits: HedgeLimits = serde_json::from_str(text).unwrap();
    /// let of = |name| limits.of_service(&ServiceName::new(name).unwrap(), HedgeLimit::default()).share();
    /// assert_eq!((of("slow"), of("other")), (0.1, 0.05));
    /// ```
    #[must_use]
    pub fn of_service(&self, service: &ServiceName, default: HedgeLimit) -> HedgeLimit {
        self.services.get(service).copied().or(self.limit).unwrap_or(default)
    }
}
