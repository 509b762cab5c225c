//! Decides whether an instance that may have lost contact with the rest of the fleet may still serve.
//!
//! The result works like a lease: a time until which the instance may serve. A process that was paused thus
//! sees that this time has passed as soon as it runs again, before it reads any message.

use std::time::Duration;

use crate::membership::suspect_timeout;
use crate::time::Time;

/// Maximum age of a confirmation of the store's state that counts as contact with the store.
pub const STORE_CONTACT_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long an instance that has lost contact continues to serve.
pub const ISOLATION_GRACE_TIME: Duration = Duration::from_millis(1000);

/// Maximum time from the announcement of a configuration change to its write to the store.
pub const CHANGE_TIMEOUT: Duration = Duration::from_millis(3000);

const TAKEOVER_MARGIN: Duration = Duration::from_millis(1000);

/// When an instance last had contact with the store and the other instances.
#[derive(Clone, Copy, Debug)]
pub struct ContactView {
    /// Current time.
    pub now: Time,
    /// When the store's state was last confirmed, directly or through another instance.
    pub store_confirmed_at: Option<Time>,
    /// Latest time since which more than half of all known instances, this one included, have confirmed that
    /// they run.
    pub majority_contact_at: Option<Time>,
    /// Number of known instances, this one included.
    pub members: usize,
    /// Whether this or a reachable instance knows of an announced configuration change that is not settled.
    pub change_pending: bool,
}

/// State of an instance's contact with the store and the other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Connectivity {
    /// The store's state is confirmed and recent.
    Connected,
    /// Neither the instance nor the majority it is in contact with reaches the store, so nobody has accepted
    /// a change.
    StoreOutage,
    /// Contact is lost, so others may act without this instance. It serves until its grace time ends.
    Isolating,
    /// The grace time has ended.
    Isolated,
}

/// State of an instance's contact, and until when it may serve if no further contact follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactStatus {
    /// State of the contact at the time of the evaluation.
    pub connectivity: Connectivity,
    /// Requests that need an API key, a quota share or an idempotency claim are only served before this time.
    pub serve_until: Time,
}

/// Evaluates the contact of an instance at `view.now`.
///
/// ```
/// use burdock_decide::connectivity::*;
/// use burdock_decide::time::Time;
/// let view = ContactView {
///     now: Time::from_millis(10_000), store_confirmed_at: None,
///     majority_contact_at: Some(Time::from_millis(9_000)), members: 3, change_pending: false,
/// };
/// assert_eq!(evaluate_contact(&view).connectivity, Connectivity::StoreOutage);
/// let pending = ContactView { change_pending: true, ..view };
/// assert_eq!(evaluate_contact(&pending).connectivity, Connectivity::Isolated);
/// let alone = ContactView { majority_contact_at: None, ..view };
/// assert_eq!(evaluate_contact(&alone).connectivity, Connectivity::Isolated);
/// ```
#[must_use]
pub fn evaluate_contact(view: &ContactView) -> ContactStatus {
    let store_contact_until = view.store_confirmed_at.map(|t| t + STORE_CONTACT_TIMEOUT);
    let majority_contact_until =
        view.majority_contact_at.filter(|_| !view.change_pending).map(|t| t + suspect_timeout(view.members));
    let contact_until = store_contact_until.max(majority_contact_until).unwrap_or_default();
    let serve_until =
        if contact_until == Time::default() { contact_until } else { contact_until + ISOLATION_GRACE_TIME };
    let holds = |until: Option<Time>| until.is_some_and(|t| view.now <= t);
    let connectivity = if holds(store_contact_until) {
        Connectivity::Connected
    } else if holds(majority_contact_until) {
        Connectivity::StoreOutage
    } else if view.now < serve_until {
        Connectivity::Isolating
    } else {
        Connectivity::Isolated
    };
    ContactStatus { connectivity, serve_until }
}

/// Returns whether an instance may accept a configuration change or take over what another instance held.
///
/// Contact with the store alone is not enough: the other instances may be a majority that continues without
/// the store.
#[must_use]
pub fn may_take_over(view: &ContactView) -> bool {
    let has_majority =
        view.majority_contact_at.is_some_and(|t| view.now <= t + suspect_timeout(view.members));
    has_majority && evaluate_contact(view).connectivity == Connectivity::Connected
}

/// Returns how long an instance must have been silent before another may take over what it held.
///
/// This exceeds the time after which the silent instance stops serving by itself, which fences it off.
#[must_use]
pub fn takeover_delay(members: usize) -> Duration {
    suspect_timeout(members) + STORE_CONTACT_TIMEOUT + ISOLATION_GRACE_TIME + TAKEOVER_MARGIN
}

/// Returns the latest time since which a majority of the instances, this one included, has been in contact.
///
/// `others` holds the time of the last contact with each other instance, and is sorted by this function.
///
/// ```
/// use burdock_decide::connectivity::majority_contact_at;
/// use burdock_decide::time::Time;
/// assert_eq!(majority_contact_at(Time(9), &mut [Some(Time(3)), Some(Time(5)), None]), Some(Time(3)));
/// assert_eq!(majority_contact_at(Time(9), &mut [Some(Time(5)), None, None]), None);
/// assert_eq!(majority_contact_at(Time(9), &mut []), Some(Time(9)));
/// ```
#[must_use]
pub fn majority_contact_at(now: Time, others: &mut [Option<Time>]) -> Option<Time> {
    others.sort_unstable_by_key(|contact_at| std::cmp::Reverse(*contact_at));
    let required_others = others.len().div_ceil(2);
    match required_others.checked_sub(1) {
        None => Some(now),
        Some(oldest) => others[oldest],
    }
}
