//! Running a request: admission, choice of region and backend server, retries and hedging.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::pick::{BackendView, select_backend};
use burdock_decide::quarantine::{QuarantineDecision, STRIKES_TO_REFUSE};
use burdock_decide::retry::{RetryView, SendProgress, may_retry};
use burdock_decide::shift::sample_region;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::hash::stable_hash;

use crate::active_config::{RegionState, ServiceState};
use crate::forward::admission::Permit;
use crate::forward::attempt::{Answered, Failed, attempt};
use crate::forward::backends::BackendState;
use crate::forward::body::RequestBody;
use crate::forward::outbound::Outbound;
use crate::node::Node;
use crate::observe::counters::Counter;

/// The least time that an attempt is given.
const LEAST_ATTEMPT: Duration = Duration::from_millis(1);

/// An answer under way, with what must be held until its end.
#[derive(Debug)]
pub struct Running {
    /// The answer.
    pub answered: Answered,
    /// Leave to run.
    pub permit: Permit,
    /// The request is a suspect that runs alone.
    pub alone: bool,
}

/// Runs a request on a backend server and returns the head of its answer.
///
/// # Errors
/// A refusal that is true about whether the request ran.
pub async fn run(node: &Arc<Node>, outbound: &Outbound, body: RequestBody) -> Result<Running> {
    let alone = match node.quarantine.verdict(outbound.fingerprint, STRIKES_TO_REFUSE, node.clock.now()) {
        QuarantineDecision::Run => false,
        QuarantineDecision::RunAlone => true,
        QuarantineDecision::Refuse => {
            node.counters.add(Counter::Quarantined);
            return Err(Error::new(ErrorKind::Quarantined, "the request crashed several backend servers")
                .hint("change the request; it is held back for a minute after its last crash"));
        }
    };
    let service = service_of(outbound);
    let (lane, weight) = lane(outbound);
    let permit = service.admission.enter(lane, weight, outbound.deadline, node.clock).await?;
    let answered = attempts(node, outbound, service, body, alone).await?;
    Ok(Running { answered, permit, alone })
}

/// The service that a request's route leads to.
#[must_use]
pub fn service_of(outbound: &Outbound) -> &ServiceState {
    let route = &outbound.active_config.snapshot.routes[outbound.route];
    &outbound.active_config.services[route.service]
}

// Callers of open routes share one lane. The hash of the name outlives a change of configuration.
fn lane(outbound: &Outbound) -> (u64, u32) {
    match &outbound.organisation {
        Some((ix, name)) => (
            stable_hash(name.as_str().as_bytes(), 0),
            outbound.active_config.snapshot.organisations[*ix].weight,
        ),
        None => (0, 1),
    }
}

async fn attempts(
    node: &Arc<Node>,
    outbound: &Outbound,
    service: &ServiceState,
    body: RequestBody,
    alone: bool,
) -> Result<Answered> {
    earn_budget(node, outbound);
    let mut tried: Vec<Arc<BackendState>> = Vec::new();
    let mut body = Some(body);
    // What to say once an attempt may have run: whatever stops later attempts, "not run" is no longer true.
    let mut may_have_run: Option<Error> = None;
    loop {
        let copy = body.as_ref().and_then(RequestBody::copy);
        let Some(sent) = body.take() else {
            return Err(Error::from(ErrorKind::Internal));
        };
        let Some(backend) = choose(node, outbound, service, &tried, alone) else {
            return Err(may_have_run.unwrap_or_else(|| none_left(service)));
        };
        tried.push(Arc::clone(&backend));
        let result = hedged(node, outbound, service, &mut tried, &backend, sent, alone).await;
        let failed = match result {
            Ok(answered) => return Ok(answered),
            Err(failed) => failed,
        };
        note_failure(node, outbound, &backend, &failed);
        if !failed.progress.proves_not_run() {
            may_have_run.get_or_insert_with(|| failed.error.clone());
        }
        let error = may_have_run.clone().unwrap_or(failed.error);
        body = failed.body.or(copy);
        let retry = RetryView {
            progress: failed.progress,
            repeatable: outbound.repeatable,
            body_replayable: body.is_some(),
            attempts_made: u8::try_from(tried.len()).unwrap_or(u8::MAX),
            max_retries: outbound.policy.retries,
            now: node.clock.now(),
            deadline: outbound.deadline,
            min_attempt_time: LEAST_ATTEMPT,
        };
        if !may_retry(&retry) {
            return Err(error);
        }
        if !spend_budget(node, outbound) {
            node.counters.add(Counter::RetryBudgetSpent);
            return Err(error);
        }
        node.counters.add(Counter::Retries);
    }
}

// A second copy goes out when the first has no answer after a while. The first answer wins; the other
// attempt is dropped, which closes its connection and so cancels it.
async fn hedged(
    node: &Arc<Node>,
    outbound: &Outbound,
    service: &ServiceState,
    tried: &mut Vec<Arc<BackendState>>,
    backend: &Arc<BackendState>,
    body: RequestBody,
    alone: bool,
) -> std::result::Result<Answered, Failed> {
    let wait = outbound.policy.hedge_after.duration();
    let copy = body.copy().filter(|_| outbound.repeatable && !wait.is_zero() && !alone);
    let Some(copy) = copy else {
        return attempt(node, outbound, backend, body, alone).await;
    };
    let first = attempt(node, outbound, backend, body, alone);
    tokio::pin!(first);
    if let Ok(done) = tokio::time::timeout(wait, &mut first).await {
        return done;
    }
    let second = choose(node, outbound, service, tried, alone).filter(|_| spend_budget(node, outbound));
    let Some(second) = second else {
        return first.await;
    };
    node.counters.add(Counter::Hedges);
    tried.push(Arc::clone(&second));
    let other = attempt(node, outbound, &second, copy, alone);
    tokio::pin!(other);
    tokio::select! {
        done = &mut first => or_else(done, other).await,
        done = &mut other => or_else(done, first).await,
    }
}

// The answer of either copy. Where both fail, the failure that says more: the one that may have run.
async fn or_else(
    done: std::result::Result<Answered, Failed>,
    other: impl Future<Output = std::result::Result<Answered, Failed>>,
) -> std::result::Result<Answered, Failed> {
    let Err(failed) = done else {
        return done;
    };
    match other.await {
        Err(second) if failed.progress.proves_not_run() => Err(second),
        Err(_) => Err(failed),
        answered => answered,
    }
}

fn choose(
    node: &Node,
    outbound: &Outbound,
    service: &ServiceState,
    tried: &[Arc<BackendState>],
    alone: bool,
) -> Option<Arc<BackendState>> {
    let _span = outbound.trace.start_span("pick");
    let split = service.split.load();
    let drawn = sample_region(&split.per_million, rand::random());
    let home = service.regions.iter().position(|r| r.is_local);
    let ix = if outbound.policy.spill { drawn } else { home };
    let region = service.regions.get(ix?)?;
    choose_in(node, region, tried, alone)
}

fn choose_in(
    node: &Node,
    region: &RegionState,
    tried: &[Arc<BackendState>],
    alone: bool,
) -> Option<Arc<BackendState>> {
    let now = node.clock.now();
    let views: Vec<BackendView> = region.backends.iter().map(|b| view_for(b.view(now), alone)).collect();
    let is_tried = |b: &Arc<BackendState>| tried.iter().any(|t| t.id == b.id);
    let excluded: Vec<usize> = (0..views.len()).filter(|ix| is_tried(&region.backends[*ix])).collect();
    select_backend(&views, &excluded, rand::random(), now).map(|ix| Arc::clone(&region.backends[ix]))
}

// A suspect goes only where nothing else of this instance runs.
const fn view_for(view: BackendView, alone: bool) -> BackendView {
    let open = view.is_available && (!alone || view.own_in_flight == 0);
    BackendView { is_available: open, ..view }
}

fn none_left(service: &ServiceState) -> Error {
    Error::new(ErrorKind::NoBackend, format!("no backend server of `{}` takes work now", service.name))
        .hint("`burdockctl status` shows which are drained or out")
}

fn note_failure(node: &Node, outbound: &Outbound, backend: &BackendState, failed: &Failed) {
    let now = node.clock.now();
    // A shed answer is a sign of load, not of ill health; a slow one has used up the caller's time.
    let ill = match failed.progress {
        SendProgress::Shed => false,
        SendProgress::NotWritten => failed.error.kind != ErrorKind::DeadlineBefore,
        SendProgress::Written => failed.error.kind == ErrorKind::BadAnswer,
    };
    if ill && backend.outcome(false, now) {
        node.counters.add(Counter::Ejections);
        log::warn!("backend server {} ejected: {}", backend.id, failed.error.detail);
    }
    if failed.crashed && node.quarantine.crashed(outbound.fingerprint, &backend.id, now) {
        node.counters.add(Counter::Strikes);
        log::warn!("backend server {} died on request {:?}", backend.id, outbound.request_id);
    }
}

fn earn_budget(node: &Node, outbound: &Outbound) {
    node.limits.retry_budget(outbound.organisation_name(), |budget| budget.deposit());
}

fn spend_budget(node: &Node, outbound: &Outbound) -> bool {
    node.limits.retry_budget(outbound.organisation_name(), |budget| budget.withdraw())
}
