//! The settings that each level of the tree may set.

use serde::{Deserialize, Serialize};

use crate::units::{Millis, Rate, Size};

/// A level of the tree, from the outermost to the innermost.
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

/// What one level sets. What it leaves out is inherited from the level above.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LevelSettings {
    /// Requests a second of the organisation over the whole fleet. Fleet and organisation only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate: Option<Rate>,
    /// Requests the organisation may send at once. Fleet and organisation only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
    /// The organisation's weight in the admission queue. Fleet and organisation only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// The longest time a request may take.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout: Option<Millis>,
    /// The longest body.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_limit: Option<Size>,
    /// Further attempts after the first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retries: Option<u8>,
    /// When to send a second copy of a repeatable request; `0ms` for never.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hedge_after: Option<Millis>,
    /// Whether the organisation may use it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub allow: Option<bool>,
    /// Whether requests may go to another region.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spill: Option<bool>,
}

/// One value and the level it came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Sourced<T> {
    /// The value in force.
    pub value: T,
    /// Where it was set.
    pub from: Level,
}

/// Every setting with its source, after inheritance.
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
            allow: built_in(true),
            spill: built_in(true),
        }
    }
}

impl ResolvedSettings {
    /// Lays one level's settings over what is inherited.
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
            rate: over(self.rate, level.rate, from),
            burst: over(self.burst, level.burst, from),
            weight: over(self.weight, level.weight, from),
            timeout: over(self.timeout, level.timeout, from),
            body_limit: over(self.body_limit, level.body_limit, from),
            retries: over(self.retries, level.retries, from),
            hedge_after: over(self.hedge_after, level.hedge_after, from),
            allow: over(self.allow, level.allow, from),
            spill: over(self.spill, level.spill, from),
        }
    }
}

fn over<T: Copy>(inherited: Sourced<T>, set: Option<T>, from: Level) -> Sourced<T> {
    set.map_or(inherited, |value| Sourced { value, from })
}

const fn built_in<T>(value: T) -> Sourced<T> {
    Sourced { value, from: Level::Default }
}
