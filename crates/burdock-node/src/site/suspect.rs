//! Requests as quarantine sees them: by what identity they are recognised, and how crashes are recorded.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::quarantine::{
    BODY_START_BYTES, BodyFingerprints, QuarantineDecision, SHARED_STRIKES_TO_REFUSE,
};
use burdock_model::hash::stable_hash;

use crate::forward::body::{BodyDigest, EndCheck, RequestBody};
use crate::observe::counters::Counter;
use crate::site::SiteNode;
use crate::site::backend::Backend;
use crate::site::outbound::Outbound;

/// A request that is checked against quarantine and gets strikes.
#[derive(Clone, Debug)]
pub struct Suspect {
    head_hash: u64,
    start_hash: Option<u64>,
    body: BodyDigest,
}

/// What is needed to find out whether a backend server crashed and to record it.
#[derive(Clone, Debug)]
pub struct CrashReport {
    /// State of this instance.
    pub node: Arc<SiteNode>,
    /// Backend server that broke off an answer.
    pub backend: Arc<Backend>,
    /// Time for which it counts as cold once it is back.
    pub cold_time: Duration,
    /// Request that was at work there.
    pub suspect: Suspect,
}

impl Suspect {
    /// Creates a suspect of a request whose body was not forwarded yet. All of a body that is streamed must have
    /// arrived up to [`BODY_START_BYTES`].
    #[must_use]
    pub fn new(outbound: &Outbound<'_>, body: &RequestBody) -> Self {
        let start = body.start().get(..BODY_START_BYTES);
        Self {
            head_hash: outbound.head_hash(),
            start_hash: start.map(|start| stable_hash(start, 0)),
            body: body.digest(),
        }
    }

    /// Returns whether the request is in quarantine.
    #[must_use]
    pub fn is_refused(&self, node: &SiteNode) -> bool {
        self.decisions(node).any(|decision| decision == QuarantineDecision::Refuse)
    }

    /// Returns whether a crash of a backend server is held against the request.
    #[must_use]
    pub fn has_strikes(&self, node: &SiteNode) -> bool {
        self.decisions(node).any(|decision| decision != QuarantineDecision::Run)
    }

    /// Returns a check that a streamed body passes unless the whole of it shows that it is in quarantine.
    #[must_use]
    pub fn end_check(&self, node: &Arc<SiteNode>) -> EndCheck {
        let (node, suspect) = (Arc::clone(node), self.clone());
        EndCheck::new(move |_digest| !suspect.is_refused(&node))
    }

    /// Records that the request was answered.
    pub fn clear(&self, node: &SiteNode) {
        let now = node.clock.now();
        self.fingerprints().cleared().for_each(|fingerprint| node.quarantine.clear(fingerprint, now));
    }

    fn decisions(&self, node: &SiteNode) -> impl Iterator<Item = QuarantineDecision> {
        let now = node.clock.now();
        let fingerprints = self.fingerprints();
        fingerprints
            .checked()
            .map(move |fingerprint| node.quarantine.decision(fingerprint, SHARED_STRIKES_TO_REFUSE, now))
            .collect::<Vec<_>>()
            .into_iter()
    }

    fn fingerprints(&self) -> BodyFingerprints {
        BodyFingerprints::new(self.head_hash, self.body.get(), self.start_hash)
    }
}

impl CrashReport {
    /// Checks in the background whether the backend server crashed, so that the next attempt does not wait.
    pub fn spawn(self) {
        tokio::spawn(self.record_if_unreachable());
    }

    // A backend server that accepts no connection has died while it ran the request, which may or may not be
    // the cause. One that accepts connections may only have broken this answer.
    async fn record_if_unreachable(self) {
        let Self { node, backend, cold_time, suspect } = self;
        if backend.pool.accepts_connections().await {
            return;
        }
        let now = node.clock.now();
        backend.pool.close_idle();
        backend.record_unreachable(cold_time, now);
        let struck: Vec<u64> = suspect.fingerprints().struck().collect();
        log::info!(backend = backend.registered.id.as_str(), request:? = struck; "died while a request was at work there");
        let run_id = backend.run_id();
        let mut is_new = false;
        for fingerprint in struck {
            is_new |= node.quarantine.record_crash(fingerprint, &run_id, now);
        }
        if is_new {
            node.counters.add(Counter::Strikes);
        }
    }
}
