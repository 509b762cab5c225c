//! Durations, sizes and rates, each written with its unit.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// Number of millionths in one token or share: the resolution of rate arithmetic.
pub const MICROS_PER_UNIT: u64 = 1_000_000;

/// Maximum rate in requests per second.
pub const MAX_RATE: f64 = 1_000_000.0;

/// Duration in whole milliseconds, written like `250ms` or `3s`.
///
/// ```
/// use burdock_model::units::Millis;
/// assert_eq!(Millis::parse("250ms").unwrap().0, 250);
/// assert!(Millis::parse("250").is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Millis(pub u64);

impl Millis {
    /// Parses a duration with its unit.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidTree`] when the text has no unit or is not a duration.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let invalid = |_| invalid_value(text, "a duration such as `250ms`, `3s` or `1m`");
        let duration = humantime::parse_duration(text).map_err(invalid)?;
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Ok(Self(millis))
    }

    /// Converts to the standard library's duration.
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.duration()).to_string().replace(' ', "").fmt(f)
    }
}

impl TryFrom<String> for Millis {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        Self::parse(&text)
    }
}

impl From<Millis> for String {
    fn from(millis: Millis) -> Self {
        millis.to_string()
    }
}

/// Size in bytes, written like `4MiB`.
///
/// ```
/// use burdock_model::units::Size;
/// assert_eq!(Size::parse("4MiB").unwrap().0, 4 * 1024 * 1024);
/// assert!(Size::parse("4 apples").is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Size(pub u64);

impl Size {
    /// Parses a size with its unit.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidTree`] when the text has no unit or is not a size.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let expected = "a size such as `64KiB` or `4MiB`";
        if text.chars().all(|c| c.is_ascii_digit()) {
            return Err(invalid_value(text, expected));
        }
        let size: bytesize::ByteSize = text.parse().map_err(|_unparsed| invalid_value(text, expected))?;
        Ok(Self(size.as_u64()))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (unit, bytes) in [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)] {
            if self.0 >= bytes && self.0.is_multiple_of(bytes) {
                return write!(f, "{}{unit}", self.0 / bytes);
            }
        }
        write!(f, "{}B", self.0)
    }
}

impl TryFrom<String> for Size {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        Self::parse(&text)
    }
}

impl From<Size> for String {
    fn from(size: Size) -> Self {
        size.to_string()
    }
}

/// Request rate, written like `100/s` or `30/m` and stored in millionths of a request per second.
///
/// ```
/// use burdock_model::units::Rate;
/// assert_eq!(Rate::parse("100/s").unwrap().micros_per_second(), 100_000_000);
/// assert_eq!(Rate::parse("30/m").unwrap().to_string(), "0.5/s");
/// assert!(Rate::parse("100").is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(u64);

impl Rate {
    /// Creates a rate of a whole number of requests per second.
    #[must_use]
    pub const fn per_second(requests: u64) -> Self {
        Self(requests * MICROS_PER_UNIT)
    }

    /// Parses a rate with its unit.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidTree`] when the text has no unit, is not a number, is negative or exceeds
    /// [`MAX_RATE`].
    pub fn parse(text: &str) -> Result<Self, Error> {
        let expected = "a rate such as `100/s`, `30/m` or `10/h`, up to 1000000/s";
        let invalid = || invalid_value(text, expected);
        let (number, unit) = text.split_once('/').ok_or_else(invalid)?;
        let number: f64 = number.trim().parse().map_err(|_unparsed| invalid())?;
        let seconds = match unit.trim() {
            "s" => 1.0,
            "m" => 60.0,
            "h" => 3600.0,
            _ => return Err(invalid()),
        };
        let per_second = number / seconds;
        if !(0.0..=MAX_RATE).contains(&per_second) {
            return Err(invalid());
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "checked against MAX_RATE"
        )]
        let micros = (per_second * MICROS_PER_UNIT as f64).round() as u64;
        Ok(Self(micros))
    }

    /// Returns the rate in millionths of a request per second.
    #[must_use]
    pub const fn micros_per_second(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0 as f64 / MICROS_PER_UNIT as f64)
    }
}

impl TryFrom<String> for Rate {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        Self::parse(&text)
    }
}

impl From<Rate> for String {
    fn from(rate: Rate) -> Self {
        rate.to_string()
    }
}

fn invalid_value(found: &str, expected: &str) -> Error {
    Error::new(ErrorKind::InvalidTree, format!("invalid value `{found}`")).hint(format!("write {expected}"))
}
