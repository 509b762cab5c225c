//! Holding back a request that crashes the backend servers that run it.

use std::collections::BTreeSet;
use std::time::Duration;

use burdock_model::hash::stable;
use burdock_model::ids::BackendId;

use crate::time::Time;

/// Crashes of distinct backend servers after which a request is refused, where suspects run alone.
pub const STRIKES_TO_REFUSE: usize = 2;

/// The same where suspects run beside other requests, which were at work in the same crashes. Each of those is cleared
/// as soon as it is answered once.
pub const SHARED_STRIKES_TO_REFUSE: usize = 3;

/// How long it is refused.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(60);

/// How long a strike is remembered.
pub const STRIKE_TTL: Duration = Duration::from_secs(120);

/// What makes two requests the same for this purpose.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The organisation, empty on an open route.
    pub organisation: &'a str,
    /// The method.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// Hash of the body where it is held, else of its length.
    pub body_hash: u64,
    /// The idempotency key, if any.
    pub idempotency_key: Option<&'a str>,
}

/// The fingerprint of a request.
///
/// ```
/// use burdock_decide::quarantine::{fingerprint, RequestIdentity};
/// let one = RequestIdentity { organisation: "o", method: "GET", path: "/a", body_hash: 0, idempotency_key: None };
/// assert_eq!(fingerprint(&one), fingerprint(&one));
/// assert_ne!(fingerprint(&one), fingerprint(&RequestIdentity { path: "/b", ..one }));
/// ```
#[must_use]
pub fn fingerprint(identity: &RequestIdentity<'_>) -> u64 {
    const SEED: u64 = 5;
    let mut hash = stable(identity.organisation.as_bytes(), SEED);
    hash = stable(identity.method.as_bytes(), hash);
    hash = stable(identity.path.as_bytes(), hash);
    hash = stable(identity.idempotency_key.unwrap_or("").as_bytes(), hash);
    stable(&identity.body_hash.to_le_bytes(), hash)
}

/// What is known against one fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Strikes {
    backends: BTreeSet<BackendId>,
    last: Time,
    cleared: Option<Time>,
}

/// How a request is to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// As any other.
    Run,
    /// On a backend server where nothing else of this instance runs, so that a crash has one suspect.
    RunAlone,
    /// Not at all for now.
    Refuse,
}

impl Strikes {
    /// Counts a crash of a backend server while it ran the request. Returns whether it was news. A crash from before
    /// the request was cleared, which another instance may tell late, does not count.
    ///
    /// With several requests at work there, each is a suspect.
    pub fn record_crash(&mut self, backend: &BackendId, at: Time) -> bool {
        if self.cleared.is_some_and(|cleared| at <= cleared) {
            return false;
        }
        self.forget(at);
        self.last = self.last.max(at);
        self.backends.insert(backend.clone())
    }

    /// The request ran and its backend server lived.
    pub fn clear(&mut self, now: Time) {
        self.backends.clear();
        self.cleared = Some(now);
        self.last = now;
    }

    /// How to run the request now, if so many crashes are enough to refuse it.
    ///
    /// ```
    /// use burdock_decide::quarantine::{STRIKES_TO_REFUSE, Strikes, QuarantineDecision};
    /// use burdock_decide::time::Time;
    /// use burdock_model::ids::BackendId;
    /// let mut strikes = Strikes::default();
    /// assert_eq!(strikes.decision(STRIKES_TO_REFUSE, Time(0)), QuarantineDecision::Run);
    /// strikes.record_crash(&BackendId::new("b1").unwrap(), Time(0));
    /// assert_eq!(strikes.decision(STRIKES_TO_REFUSE, Time(0)), QuarantineDecision::RunAlone);
    /// strikes.record_crash(&BackendId::new("b2").unwrap(), Time(0));
    /// assert_eq!(strikes.decision(STRIKES_TO_REFUSE, Time(0)), QuarantineDecision::Refuse);
    /// ```
    #[must_use]
    pub fn decision(&self, enough: usize, now: Time) -> QuarantineDecision {
        let since = now.since(self.last);
        match self.backends.len() {
            0 => QuarantineDecision::Run,
            n if n >= enough && since < QUARANTINE_TIME => QuarantineDecision::Refuse,
            _ if since < STRIKE_TTL => QuarantineDecision::RunAlone,
            _ => QuarantineDecision::Run,
        }
    }

    /// Whether nothing is held against the request any more.
    #[must_use]
    pub fn is_stale(&self, now: Time) -> bool {
        now.since(self.last) >= STRIKE_TTL
    }

    /// When the last crash was, or when the request was cleared.
    #[must_use]
    pub const fn last_event_at(&self) -> Time {
        self.last
    }

    /// The backend servers that crashed.
    pub fn crashed_backends(&self) -> impl Iterator<Item = &BackendId> {
        self.backends.iter()
    }

    fn forget(&mut self, now: Time) {
        if self.is_stale(now) {
            self.backends.clear();
        }
    }
}
