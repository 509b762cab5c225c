//! At-most-once execution of requests that carry an idempotency key.
//!
//! Each key is owned by one incarnation of one instance. Either the key names it (`incarnation:rest`), or the
//! store holds a claim, created only if absent. Only the owner runs the request; if the owner is gone, no
//! instance does.

use burdock_model::hash::sha256;
use burdock_model::ids::InstanceIncarnation;

use crate::time::Time;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

/// How the owner of an idempotency key is determined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerSource {
    /// The key itself names its owner, so every attempt finds the same one.
    Named(InstanceIncarnation),
    /// A claim in the store names the owner. The caller may suggest an incarnation to claim the key.
    Claimed(Option<InstanceIncarnation>),
}

/// Determines where a key's owner is found, from the key and the caller's hint.
///
/// ```
/// use burdock_decide::once::{owner_source, OwnerSource};
/// assert!(matches!(owner_source("riga-1/1f:booking-7", None), OwnerSource::Named(_)));
/// assert!(matches!(owner_source("booking-7", Some("riga-1/1f")), OwnerSource::Claimed(Some(_))));
/// ```
#[must_use]
pub fn owner_source(key: &str, hint: Option<&str>) -> OwnerSource {
    let named = key.split_once(':').and_then(|(prefix, _)| InstanceIncarnation::parse(prefix));
    match named {
        Some(owner) => OwnerSource::Named(owner),
        None => OwnerSource::Claimed(hint.and_then(InstanceIncarnation::parse)),
    }
}

/// Identifies an organisation's idempotency key: the first 16 bytes of its SHA-256 hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OnceKey(pub [u8; 16]);

impl OnceKey {
    /// Hashes a key together with its organisation, so that equal keys of two organisations stay apart.
    #[must_use]
    pub fn new(organisation: &str, key: &str) -> Self {
        let mut text = organisation.as_bytes().to_vec();
        text.push(0);
        text.extend_from_slice(key.as_bytes());
        let mut hash = [0; 16];
        hash.copy_from_slice(&sha256(&text)[..16]);
        Self(hash)
    }
}

/// How far the owner has come with the request of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RunProgress<A> {
    /// The request has not been sent to a backend server.
    Reserved,
    /// The request may have been sent to a backend server.
    Started,
    /// The complete answer is stored.
    Finished(A),
    /// The attempt ended, and it is unknown whether the request ran.
    Unknown,
}

/// What the owner stores for one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyRecord<A> {
    /// Hash of method, path and body. A key must not be reused for another request.
    pub fingerprint: u64,
    /// How far the request has come.
    pub progress: RunProgress<A>,
    /// When the first attempt started.
    pub started_at: Time,
}

/// What the owner does with an attempt at a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptDecision<'a, A> {
    /// Run the request: this is the first attempt.
    Run,
    /// Wait for the attempt that is in flight, then decide again.
    Join,
    /// Send the stored answer again.
    Replay(&'a A),
    /// Do not run: it is unknown whether an earlier attempt ran.
    Unknown,
    /// Refuse: the key was used for another request.
    Reused,
}

/// Decides what to do with an attempt at a key that this instance owns, given the key's record.
///
/// ```
/// use burdock_decide::once::{AttemptDecision, KeyRecord, RunProgress, decide_attempt};
/// use burdock_decide::time::Time;
/// let done = KeyRecord { fingerprint: 1, progress: RunProgress::Finished("ok"), started_at: Time(0) };
/// assert_eq!(decide_attempt(Some(&done), 1), AttemptDecision::Replay(&"ok"));
/// assert_eq!(decide_attempt(Some(&done), 2), AttemptDecision::Reused);
/// assert_eq!(decide_attempt::<&str>(None, 1), AttemptDecision::Run);
/// ```
#[must_use]
pub const fn decide_attempt<A>(record: Option<&KeyRecord<A>>, fingerprint: u64) -> AttemptDecision<'_, A> {
    let Some(record) = record else {
        return AttemptDecision::Run;
    };
    if record.fingerprint != fingerprint {
        return AttemptDecision::Reused;
    }
    match &record.progress {
        RunProgress::Reserved | RunProgress::Started => AttemptDecision::Join,
        RunProgress::Finished(answer) => AttemptDecision::Replay(answer),
        RunProgress::Unknown => AttemptDecision::Unknown,
    }
}

/// Where an attempt is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptRoute<'a> {
    /// At this instance.
    Local,
    /// At its owner, another instance that is alive.
    Relay(&'a InstanceIncarnation),
    /// At the instance that took over the keys of the owner, which has left.
    Successor(&'a InstanceIncarnation),
    /// Nowhere: the owner is gone without a successor.
    OwnerGone,
}

/// Selects the instance that handles an attempt.
///
/// `owner_alive` tells whether the owner's very incarnation can be reached; `successor` is the incarnation
/// that took over the owner's keys.
#[must_use]
pub fn route_attempt<'a>(
    own: &InstanceIncarnation,
    owner: &'a InstanceIncarnation,
    owner_alive: bool,
    successor: Option<&'a InstanceIncarnation>,
) -> AttemptRoute<'a> {
    if owner == own {
        return AttemptRoute::Local;
    }
    match successor {
        Some(incarnation) if incarnation == own => AttemptRoute::Local,
        Some(incarnation) => AttemptRoute::Successor(incarnation),
        None if owner_alive => AttemptRoute::Relay(owner),
        None => AttemptRoute::OwnerGone,
    }
}
