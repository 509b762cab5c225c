//! Quarantine of requests that crash the backend servers that run them.

use std::collections::BTreeSet;
use std::time::Duration;

use burdock_model::hash::stable_hash;
use burdock_model::ids::BackendId;

use crate::time::Time;

/// Number of distinct crashed backend servers at which a request is refused, where suspects run alone.
pub const STRIKES_TO_REFUSE: usize = 2;

/// The same threshold where suspects run beside other requests, which get strikes for the same crashes. Each
/// of those is cleared as soon as it is answered once.
pub const SHARED_STRIKES_TO_REFUSE: usize = 3;

/// How long a request is refused after its last strike.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(60);

/// Time to live of a strike. Until then a suspect runs alone.
pub const STRIKE_TTL: Duration = Duration::from_secs(120);

/// Identity of a request in quarantine: requests that agree in all fields count as the same.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Name of the organisation; empty on an open route.
    pub organisation: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Hash of the body where it is buffered, else of its length.
    pub body_hash: u64,
    /// Idempotency key, if the request has one.
    pub idempotency_key: Option<&'a str>,
}

/// Computes the fingerprint of a request.
///
/// ```
/// use burdock_decide::quarantine::{RequestIdentity, fingerprint};
/// let one = RequestIdentity {
///     organisation: "o", method: "GET", path: "/a", body_hash: 0, idempotency_key: None,
/// };
/// assert_eq!(fingerprint(&one), fingerprint(&one));
/// assert_ne!(fingerprint(&one), fingerprint(&RequestIdentity { path: "/b", ..one }));
/// ```
#[must_use]
pub fn fingerprint(identity: &RequestIdentity<'_>) -> u64 {
    const SEED: u64 = 5;
    let mut hash = stable_hash(identity.organisation.as_bytes(), SEED);
    hash = stable_hash(identity.method.as_bytes(), hash);
    hash = stable_hash(identity.path.as_bytes(), hash);
    hash = stable_hash(identity.idempotency_key.unwrap_or("").as_bytes(), hash);
    stable_hash(&identity.body_hash.to_le_bytes(), hash)
}

/// Strikes against one fingerprint: the backend servers that crashed while they ran the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Strikes {
    backends: BTreeSet<BackendId>,
    last_event_at: Time,
    cleared_at: Option<Time>,
}

/// How quarantine lets a request run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// As any other request.
    Run,
    /// On a backend server with no other request of this instance in flight, so that a crash has one suspect.
    RunAlone,
    /// Not at all for the time being.
    Refuse,
}

impl Strikes {
    /// Records that a backend server crashed while it ran the request. Returns whether the strike is new.
    ///
    /// A crash from before the request was cleared does not count, since another instance may report it late.
    /// If several requests were in flight at the backend server, each of them is a suspect and gets a strike.
    pub fn record_crash(&mut self, backend: &BackendId, at: Time) -> bool {
        if self.cleared_at.is_some_and(|cleared_at| at <= cleared_at) {
            return false;
        }
        self.expire_strikes(at);
        self.last_event_at = self.last_event_at.max(at);
        self.backends.insert(backend.clone())
    }

    /// Clears the strikes: the request ran without a crash of its backend server.
    pub fn clear(&mut self, now: Time) {
        self.backends.clear();
        self.cleared_at = Some(now);
        self.last_event_at = now;
    }

    /// Decides how the request may run now, if `threshold` strikes are enough to refuse it.
    ///
    /// ```
    /// use burdock_decide::quarantine::{QuarantineDecision, STRIKES_TO_REFUSE, Strikes};
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
    pub fn decision(&self, threshold: usize, now: Time) -> QuarantineDecision {
        let since = now.since(self.last_event_at);
        match self.backends.len() {
            0 => QuarantineDecision::Run,
            n if n >= threshold && since < QUARANTINE_TIME => QuarantineDecision::Refuse,
            _ if since < STRIKE_TTL => QuarantineDecision::RunAlone,
            _ => QuarantineDecision::Run,
        }
    }

    /// Returns whether all strikes have expired.
    #[must_use]
    pub fn is_stale(&self, now: Time) -> bool {
        now.since(self.last_event_at) >= STRIKE_TTL
    }

    /// When the last crash was recorded, or the request was cleared if that was later.
    #[must_use]
    pub const fn last_event_at(&self) -> Time {
        self.last_event_at
    }

    /// The backend servers that crashed while they ran the request.
    pub fn crashed_backends(&self) -> impl Iterator<Item = &BackendId> {
        self.backends.iter()
    }

    fn expire_strikes(&mut self, now: Time) {
        if self.is_stale(now) {
            self.backends.clear();
        }
    }
}
