//! Where an instance learns the store's changes from: its hub's relays, other instances, or the store.
//!
//! Load: a hub is cut off from the store while hundreds of small instances rely on its relays. A change of the
//! configuration must be in force everywhere within the operators' bound, and the instances must not all call
//! the store at the same moment.

use std::time::Duration;

/// Maximum age of the store's confirmation up to which an instance relies on its hub's relays and needs no
/// watch of its own. It covers a hub's long poll, a round trip to the store and two reports, one of them
/// between regions.
pub const MAX_RELAY_AGE: Duration = Duration::from_millis(1700);

/// Time that is reserved at the end of the bound for a call to the store. It covers the interval between two
/// checks, a connection and a call between regions, and a retransmission.
const STORE_CALL_RESERVE: Duration = Duration::from_millis(700);

/// Fraction of a short bound after which an instance no longer relies on its hub alone.
const MAX_RELAY_FRACTION: f64 = 0.5;

/// What an instance knows when it decides where to look for changes.
#[derive(Clone, Copy, Debug)]
pub struct RelayView {
    /// Age of the store's newest confirmation, `None` before the first.
    pub confirmed_age: Option<Duration>,
    /// Whether the instance has little capacity for calls of its own.
    pub is_small: bool,
    /// Time within which a change must be in force.
    pub apply_time: Duration,
    /// Random number from 0 to 1 that stays the same until the next call to the store.
    pub spread: f64,
}

/// Source of the store's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// The hub's answers to reports suffice.
    Relays,
    /// Another instance, which may see the store.
    Peers {
        /// Time until the store has to be called.
        time_left: Duration,
    },
    /// The store itself.
    Store,
}

/// Returns where an instance that is not a hub looks for changes. Small instances ask others first, and call the
/// store at moments that are spread over the time that the bound leaves.
///
/// ```
/// use burdock_decide::relay::{ChangeSource, RelayView, change_source};
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let view = |age| RelayView { confirmed_age: Some(ms(age)), is_small: true, apply_time: ms(3000), spread: 0.5 };
/// assert_eq!(change_source(&view(1000)), ChangeSource::Relays);
/// assert_eq!(change_source(&view(1600)), ChangeSource::Peers { time_left: ms(300) });
/// assert_eq!(change_source(&view(1900)), ChangeSource::Store);
/// ```
#[must_use]
pub fn change_source(view: &RelayView) -> ChangeSource {
    let Some(age) = view.confirmed_age else {
        return ChangeSource::Store;
    };
    let max_relay_age = MAX_RELAY_AGE.min(view.apply_time.mul_f64(MAX_RELAY_FRACTION));
    if age < max_relay_age {
        return ChangeSource::Relays;
    }
    if !view.is_small {
        return ChangeSource::Store;
    }
    let latest = view.apply_time.saturating_sub(STORE_CALL_RESERVE).max(max_relay_age);
    let call_at = max_relay_age + (latest - max_relay_age).mul_f64(view.spread.clamp(0.0, 1.0));
    if age < call_at { ChangeSource::Peers { time_left: call_at - age } } else { ChangeSource::Store }
}
