//! Whether an instance may act on what it holds, when it may have lost contact.
//!
//! The result is a time until which the instance may serve, so that a process that was paused sees on
//! waking that its time is over, before it looks at any message.

use std::time::Duration;

use crate::membership::suspect_timeout;
use crate::time::Time;

/// A confirmation of the store's state this old or younger counts as contact with the store.
pub const STORE_CONTACT_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long an instance out of contact still serves.
pub const ISOLATION_GRACE_TIME: Duration = Duration::from_millis(1000);

/// The longest that a configuration change may take from its announcement to its write.
pub const CHANGE_TIMEOUT: Duration = Duration::from_millis(3000);

const TAKEOVER_MARGIN: Duration = Duration::from_millis(1000);

/// What an instance knows of its contacts.
#[derive(Clone, Copy, Debug)]
pub struct ContactView {
    /// Now.
    pub now: Time,
    /// When the newest confirmation of the store's state was made, its own or relayed.
    pub store_confirmed_at: Option<Time>,
    /// When an instance was last heard of that made up a majority: of all known instances, itself
    /// included, more than half have been heard of since.
    pub majority_contact_at: Option<Time>,
    /// Instances that are known, itself included.
    pub members: usize,
    /// Some instance in touch knows of a configuration change that was announced and is not settled.
    pub change_pending: bool,
}

/// How an instance stands towards the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Connectivity {
    /// The store's state is confirmed.
    Connected,
    /// The store is out of reach for a majority, so nobody has accepted a change.
    StoreOutage,
    /// Others may act without it. It still serves for a grace.
    Isolating,
    /// The grace is over.
    Isolated,
}

/// How an instance stands, and until when it may serve if nothing more is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactStatus {
    /// How it stands.
    pub connectivity: Connectivity,
    /// Requests that need a key, a share or a claim are served before this time only.
    pub serve_until: Time,
}

/// Decides how an instance stands.
///
/// ```
/// use burdock_decide::connectivity::*;
/// use burdock_decide::time::Time;
/// let view = ContactView {
///     now: Time::from_millis(10_000), store_confirmed_at: None, majority_contact_at: Some(Time::from_millis(9_000)),
///     members: 3, change_pending: false,
/// };
/// assert_eq!(evaluate_contact(&view).connectivity, Connectivity::StoreOutage);
/// assert_eq!(evaluate_contact(&ContactView { change_pending: true, ..view }).connectivity, Connectivity::Isolated);
/// assert_eq!(evaluate_contact(&ContactView { majority_contact_at: None, ..view }).connectivity, Connectivity::Isolated);
/// ```
#[must_use]
pub fn evaluate_contact(view: &ContactView) -> ContactStatus {
    let by_store = view.store_confirmed_at.map(|t| t + STORE_CONTACT_TIMEOUT);
    let by_majority =
        view.majority_contact_at.filter(|_| !view.change_pending).map(|t| t + suspect_timeout(view.members));
    let best = by_store.max(by_majority).unwrap_or_default();
    let serve_until = if best == Time::default() { best } else { best + ISOLATION_GRACE_TIME };
    let reaches = |bound: Option<Time>| bound.is_some_and(|t| view.now <= t);
    let connectivity = if reaches(by_store) {
        Connectivity::Connected
    } else if reaches(by_majority) {
        Connectivity::StoreOutage
    } else if view.now < serve_until {
        Connectivity::Isolating
    } else {
        Connectivity::Isolated
    };
    ContactStatus { connectivity, serve_until }
}

/// Whether an instance may accept a change or take over what another held.
///
/// The store alone is not enough: the others might be a majority that works on without it.
#[must_use]
pub fn may_take_over(view: &ContactView) -> bool {
    let majority = view.majority_contact_at.is_some_and(|t| view.now <= t + suspect_timeout(view.members));
    majority && evaluate_contact(view).connectivity == Connectivity::Connected
}

/// How long an instance must have been silent before another may take over what it held.
///
/// It exceeds the time after which the silent instance has stopped by itself.
#[must_use]
pub fn takeover_delay(members: usize) -> Duration {
    suspect_timeout(members) + STORE_CONTACT_TIMEOUT + ISOLATION_GRACE_TIME + TAKEOVER_MARGIN
}

/// When a majority was last heard of, given when each other instance was.
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
    others.sort_unstable_by_key(|heard| std::cmp::Reverse(*heard));
    let needed_others = others.len().div_ceil(2);
    match needed_others.checked_sub(1) {
        None => Some(now),
        Some(last) => others[last],
    }
}
