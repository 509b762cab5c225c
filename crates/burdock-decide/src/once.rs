//! Running a request that may not be repeated at most once for its idempotency key.
//!
//! A key is owned by one life of one instance. Its name is part of the key (`life:rest`), or the store
//! holds a claim that was created if absent. Only the owner runs the request; if it is gone, nobody does.

use burdock_model::hash::sha256;
use burdock_model::ids::InstanceIncarnation;

use crate::time::Time;

/// The longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 200;

/// Where the owner of a key is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerSource {
    /// The key itself names it: every attempt finds the same one.
    Named(InstanceIncarnation),
    /// A claim in the store decides. The caller may hint at who should claim.
    Claimed(Option<InstanceIncarnation>),
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
    let named = key.split_once(':').and_then(|(life, _)| InstanceIncarnation::parse(life));
    match named {
        Some(life) => OwnerSource::Named(life),
        None => OwnerSource::Claimed(hint.and_then(InstanceIncarnation::parse)),
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
pub enum Progress<A> {
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
pub struct Record<A> {
    /// Hash of method, path and body: a key may not be reused for something else.
    pub fingerprint: u64,
    /// How far it got.
    pub progress: Progress<A>,
    /// When it began.
    pub began: Time,
}

/// What the owner does with an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt<'a, A> {
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
/// use burdock_decide::once::{attempt, Attempt, Progress, Record};
/// use burdock_decide::time::Time;
/// let done = Record { fingerprint: 1, progress: Progress::Finished("ok"), began: Time(0) };
/// assert_eq!(attempt(Some(&done), 1), Attempt::Replay(&"ok"));
/// assert_eq!(attempt(Some(&done), 2), Attempt::Reused);
/// assert_eq!(attempt::<&str>(None, 1), Attempt::Run);
/// ```
#[must_use]
pub const fn attempt<A>(record: Option<&Record<A>>, fingerprint: u64) -> Attempt<'_, A> {
    let Some(record) = record else {
        return Attempt::Run;
    };
    if record.fingerprint != fingerprint {
        return Attempt::Reused;
    }
    match &record.progress {
        Progress::Reserved | Progress::Started => Attempt::Join,
        Progress::Finished(answer) => Attempt::Replay(answer),
        Progress::Unknown => Attempt::Unknown,
    }
}

/// Who runs an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Runner<'a> {
    /// This instance.
    Here,
    /// Another instance that is there.
    Relay(&'a InstanceIncarnation),
    /// An instance that holds the table of the owner, which left.
    Successor(&'a InstanceIncarnation),
    /// Nobody: the owner is gone.
    Gone,
}

/// Decides who runs an attempt, given its owner and what is known of it.
///
/// `alive` tells whether that very life can be reached; `successor` who took its table over.
#[must_use]
pub fn runner<'a>(
    own: &InstanceIncarnation,
    owner: &'a InstanceIncarnation,
    alive: bool,
    successor: Option<&'a InstanceIncarnation>,
) -> Runner<'a> {
    if owner == own {
        return Runner::Here;
    }
    match successor {
        Some(life) if life == own => Runner::Here,
        Some(life) => Runner::Successor(life),
        None if alive => Runner::Relay(owner),
        None => Runner::Gone,
    }
}
