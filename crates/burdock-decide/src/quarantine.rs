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
    fingerprint_with_body(head_hash(identity), identity.body_hash)
}

/// Computes the part of a fingerprint that is known before the body is.
#[must_use]
pub fn head_hash(identity: &RequestIdentity<'_>) -> u64 {
    const SEED: u64 = 5;
    let mut hash = stable_hash(identity.organisation.as_bytes(), SEED);
    hash = stable_hash(identity.method.as_bytes(), hash);
    hash = stable_hash(identity.path.as_bytes(), hash);
    stable_hash(identity.idempotency_key.unwrap_or("").as_bytes(), hash)
}

/// Completes a fingerprint whose head has the given hash.
#[must_use]
pub fn fingerprint_with_body(head_hash: u64, body_hash: u64) -> u64 {
    stable_hash(&body_hash.to_le_bytes(), head_hash)
}

/// Length of the start of a body by which a request is recognised while the rest is unknown, in bytes.
pub const BODY_START_BYTES: usize = 64 << 10;

/// Fingerprints of a request whose body may be forwarded while it arrives.
///
/// A crash is recorded under each fingerprint that was known at the time. Requests that crash backend servers
/// come again at other instances, where the body may be held or forwarded as it arrives, so that the same
/// request must be recognised by its start alone and by its whole body.
///
/// The load that this addresses: a request with a body of 300,000 bytes that came once a second and crashed 34
/// to 37 backend servers, because a body that was forwarded as it arrived had no fingerprint.
///
/// ```
/// use burdock_decide::quarantine::BodyFingerprints;
/// let held = BodyFingerprints::new(1, Some(7), Some(3));
/// let arriving = BodyFingerprints::new(1, None, Some(3));
/// // A crash that ended a body before its whole was known refuses it however it comes again.
/// assert!(held.checked().any(|f| arriving.struck().any(|s| s == f)));
/// assert!(arriving.checked().any(|f| held.struck().any(|s| s == f)));
/// // Another body with the same start that is held whole is not refused for the crashes of this one.
/// let other = BodyFingerprints::new(1, Some(8), Some(3));
/// assert!(!other.checked().any(|f| held.struck().any(|s| s == f)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyFingerprints {
    whole: Option<u64>,
    start: Option<u64>,
    cut: Option<u64>,
}

impl BodyFingerprints {
    /// Computes the fingerprints from the hashes of the head, of the whole body if it is known, and of its
    /// first [`BODY_START_BYTES`] if it is longer.
    #[must_use]
    pub fn new(head_hash: u64, whole_body: Option<u64>, body_start: Option<u64>) -> Self {
        // Keep starts apart from whole bodies, and bodies that were cut off from others.
        const START_SEED: u64 = 11;
        const CUT_SEED: u64 = 12;
        let of_start = |seed| {
            let hash = stable_hash(&head_hash.to_le_bytes(), seed);
            body_start.map(|start| fingerprint_with_body(hash, start))
        };
        Self {
            whole: whole_body.map(|body| fingerprint_with_body(head_hash, body)),
            start: of_start(START_SEED),
            cut: of_start(CUT_SEED),
        }
    }

    /// Returns the fingerprints of which one in quarantine refuses the request. Without the whole body, crashes
    /// of any body with the same start count.
    pub fn checked(&self) -> impl Iterator<Item = u64> {
        let known = if self.whole.is_some() { self.cut } else { self.start };
        [self.whole, known].into_iter().flatten()
    }

    /// Returns the fingerprints that get a strike when a backend server crashes.
    pub fn struck(&self) -> impl Iterator<Item = u64> {
        let cut = if self.whole.is_some() { None } else { self.cut };
        [self.whole, self.start, cut].into_iter().flatten()
    }

    /// Returns the fingerprints that are cleared when the request is answered.
    pub fn cleared(&self) -> impl Iterator<Item = u64> {
        [self.whole, self.start, self.cut].into_iter().flatten()
    }
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
