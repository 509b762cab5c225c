//! Settings that the levels of the tree can set, and their inheritance.

use serde::{Deserialize, Serialize};

use crate::hedging::HedgeLimit;
use crate::units::{Millis, Rate, Size};

/// Level of the tree, from the outermost to the innermost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Built into the program.
    Default,
    /// The whole fleet.
    Fleet,
    /// One organisation.
    Organisation,
    /// One service, for one organisation.
    Service,
    /// One route, for one organisation.
    Route,
}

/// Settings of one level. A setting left out is inherited from the level above.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LevelSettings {
    /// Request rate of the organisation over the whole fleet. Fleet and organisation levels only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate: Option<Rate>,
    /// Requests that the organisation may send at once. Fleet and organisation levels only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
    /// Weight of the organisation in the admission queue. Fleet and organisation levels only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Maximum time that a request may take.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout: Option<Millis>,
    /// Maximum size of a request body.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_limit: Option<Size>,
    /// Number of attempts after the first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retries: Option<u8>,
    /// Fixed delay before a hedged copy of a repeatable request is sent; with `0ms` it is learned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hedge_after: Option<Millis>,
    /// Share of requests for which a hedged copy may be sent; 0 disables hedging.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hedge_limit: Option<HedgeLimit>,
    /// Whether the organisation may use the route.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub allow: Option<bool>,
    /// Whether requests may spill over to another region.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spill: Option<bool>,
}

/// Value with the level that set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Sourced<T> {
    /// Value in force.
    pub value: T,
    /// Level that set the value.
    pub from: Level,
}

/// All settings after inheritance, each with its source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ResolvedSettings {
    /// See [`LevelSettings::rate`].
    pub rate: Sourced<Rate>,
    /// See [`LevelSettings::burst`].
    pub burst: Sourced<u32>,
    /// See [`LevelSettings::weight`].
    pub weight: Sourced<u32>,
    /// See [`LevelSettings::timeout`].
    pub timeout: Sourced<Millis>,
    /// See [`LevelSettings::body_limit`].
    pub body_limit: Sourced<Size>,
    /// See [`LevelSettings::retries`].
    pub retries: Sourced<u8>,
    /// See [`LevelSettings::hedge_after`].
    pub hedge_after: Sourced<Millis>,
    /// See [`LevelSettings::hedge_limit`].
    pub hedge_limit: Sourced<HedgeLimit>,
    /// See [`LevelSettings::allow`].
    pub allow: Sourced<bool>,
    /// See [`LevelSettings::spill`].
    pub spill: Sourced<bool>,
}

impl Default for ResolvedSettings {
    fn default() -> Self {
        Self {
            rate: built_in(Rate::per_second(100)),
            burst: built_in(100),
            weight: built_in(1),
            timeout: built_in(Millis(10_000)),
            body_limit: built_in(Size(4 << 20)),
            retries: built_in(2),
            hedge_after: built_in(Millis(0)),
            hedge_limit: built_in(HedgeLimit::default()),
            allow: built_in(true),
            spill: built_in(true),
        }
    }
}

impl ResolvedSettings {
    /// Returns the limit on hedged copies in force.
    #[must_use]
    pub fn effective_hedge_limit(&self) -> HedgeLimit {
        let is_implied = self.hedge_limit.from == Level::Default && self.hedge_after.value.0 > 0;
        if is_implied { HedgeLimit::IMPLIED } else { self.hedge_limit.value }
    }

    /// Overrides inherited settings with those of one level.
    ///
    /// ```
    /// use burdock_model::settings::{Level, LevelSettings, ResolvedSettings};
    /// let level = LevelSettings { retries: Some(0), ..LevelSettings::default() };
    /// let resolved = ResolvedSettings::default().overlay(&level, Level::Route);
    /// assert_eq!((resolved.retries.value, resolved.retries.from), (0, Level::Route));
    /// assert_eq!(resolved.spill.from, Level::Default);
    /// ```
    #[must_use]
    pub fn overlay(&self, level: &LevelSettings, from: Level) -> Self {
        Self {
            rate: overridden(self.rate, level.rate, from),
            burst: overridden(self.burst, level.burst, from),
            weight: overridden(self.weight, level.weight, from),
            timeout: overridden(self.timeout, level.timeout, from),
            body_limit: overridden(self.body_limit, level.body_limit, from),
            retries: overridden(self.retries, level.retries, from),
            hedge_after: overridden(self.hedge_after, level.hedge_after, from),
            hedge_limit: overridden(self.hedge_limit, level.hedge_limit, from),
            allow: overridden(self.allow, level.allow, from),
            spill: overridden(self.spill, level.spill, from),
        }
    }
}

fn overridden<T: Copy>(inherited: Sourced<T>, set: Option<T>, from: Level) -> Sourced<T> {
    set.map_or(inherited, |value| Sourced { value, from })
}

const fn built_in<T>(value: T) -> Sourced<T> {
    Sourced { value, from: Level::Default }
}
