//! Running a request that may not be repeated at most once for its idempotency key.
//!
//! A key is owned by one life of one instance. Its name is part of the key (`life:rest`), or the store
//! holds a claim that was created if absent. Only the owner runs the request; if it is gone, nobody does.

use burdock_model::hash::sha256;
use burdock_model::ids::Life;

use crate::time::Time;

/// The longest idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

/// Where the owner of a key is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerSource {
    /// The key itself names it: every attempt finds the same one.
    Named(Life),
    /// A claim in the store decides. The caller may hint at who should claim.
    Claimed(Option<Life>),
}

/// Where to look for a key's owner.
///
/// ```
/// use burdock_decide::once::{owner_source, OwnerSource};
/// assert!(matches!(owner_source("riga-1/1f:booking-7", None), OwnerSource::Named(_)));
/// assert!(matches!(owner_source("booking-7", Some("riga-1/1f")), OwnerSource::Claimed(Some(_))));
/// ```
#[must_use]
pub fn owner_source(key: &str, hint: Option<&str>) -> OwnerSource {
    let named = key.split_once(':').and_then(|(life, _)| Life::parse(life));
    match named {
        Some(life) => OwnerSource::Named(life),
        None => OwnerSource::Claimed(hint.and_then(Life::parse)),
    }
}

/// What stands for an organisation's idempotency key: 16 bytes of a cryptographic hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OnceKey(pub [u8; 16]);

impl OnceKey {
    /// The hash for a key of an organisation. Organisations can't meet each other's keys.
    #[must_use]
    pub fn new(organisation: &str, key: &str) -> Self {
        let mut text = organisation.as_bytes().to_vec();
        text.push(0);
        text.extend_from_slice(key.as_bytes());
        let mut short = [0; 16];
        short.copy_from_slice(&sha256(&text)[..16]);
        Self(short)
    }
}

/// How far the owner got with a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RunProgress<A> {
    /// It has not passed the request on.
    Reserved,
    /// It may have passed the request on.
    Started,
    /// It has the whole answer.
    Finished(A),
    /// The attempt ended and whether it ran is unknown.
    Unknown,
}

/// What an owner holds for one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyRecord<A> {
    /// Hash of method, path and body: a key may not be reused for something else.
    pub fingerprint: u64,
    /// How far it got.
    pub progress: RunProgress<A>,
    /// When it began.
    pub started_at: Time,
}

/// What the owner does with an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptDecision<'a, A> {
    /// Run it: it is the first.
    Run,
    /// Wait for the attempt that is at work, then look again.
    Join,
    /// Answer as before.
    Replay(&'a A),
    /// Whether an earlier attempt ran is unknown; this one does not run.
    Unknown,
    /// The key came before with another request.
    Reused,
}

/// Decides what to do with an attempt at a key the instance owns.
///
/// ```
/// use burdock_decide::once::{decide_attempt, AttemptDecision, RunProgress, KeyRecord};
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

/// Who runs an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptRoute<'a> {
    /// This instance.
    Local,
    /// Another instance that is there.
    Relay(&'a Life),
    /// An instance that holds the table of the owner, which left.
    Successor(&'a Life),
    /// Nobody: the owner is gone.
    OwnerGone,
}

/// Decides who runs an attempt, given its owner and what is known of it.
///
/// `alive` tells whether that very life can be reached; `successor` who took its table over.
#[must_use]
pub fn route_attempt<'a>(
    own: &Life,
    owner: &'a Life,
    alive: bool,
    successor: Option<&'a Life>,
) -> AttemptRoute<'a> {
    if owner == own {
        return AttemptRoute::Local;
    }
    match successor {
        Some(life) if life == own => AttemptRoute::Local,
        Some(life) => AttemptRoute::Successor(life),
        None if alive => AttemptRoute::Relay(owner),
        None => AttemptRoute::OwnerGone,
    }
}
