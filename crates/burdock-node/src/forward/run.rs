//! Running a request: admission, selection of region and backend server, and retries.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::answer::is_misleading;
use burdock_decide::pick::{BackendView, select_backend};
use burdock_decide::quarantine::{QuarantineDecision, STRIKES_TO_REFUSE};
use burdock_decide::retry::{RetryView, SendProgress, may_retry};
use burdock_decide::shift::sample_region;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::hash::stable_hash;

use crate::active_config::{RegionState, ServiceState};
use crate::forward::admission::Permit;
use crate::forward::attempt::{AttemptFailure, AttemptResponse, attempt};
use crate::forward::backends::BackendState;
use crate::forward::body::RequestBody;
use crate::forward::hedge::run_first_attempt;
use crate::forward::outbound::Outbound;
use crate::node::Node;
use crate::observe::counters::Counter;

/// Time that must remain before the deadline for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(1);

/// A request whose response has begun, with what is held until the response ends.
#[derive(Debug)]
pub struct RunningRequest {
    /// The response of the backend server.
    pub response: AttemptResponse,
    /// Permit of the admission queue.
    pub permit: Permit,
    /// Whether the request is suspected of crashes and so runs alone on its backend server.
    pub runs_alone: bool,
}

/// Runs a request on a backend server and returns the head of its response.
///
/// # Errors
/// Returns a refusal that states truthfully whether the request may have run.
pub async fn run_request(node: &Arc<Node>, outbound: &Outbound, body: RequestBody) -> Result<RunningRequest> {
    let runs_alone = match node.quarantine.decision(outbound.fingerprint, STRIKES_TO_REFUSE, node.clock.now())
    {
        QuarantineDecision::Run => false,
        QuarantineDecision::RunAlone => true,
        QuarantineDecision::Refuse => {
            node.counters.add(Counter::Quarantined);
            return Err(Error::new(ErrorKind::Quarantined, "the request crashed several backend servers")
                .hint("change the request; it is refused for a minute after its last crash"));
        }
    };
    let service = target_service(outbound);
    let (queue, weight) = organisation_queue(outbound);
    let permit = service.admission.admit(queue, weight, outbound.deadline, node.clock).await?;
    let response = run_attempts(node, outbound, service, body, runs_alone).await?;
    Ok(RunningRequest { response, permit, runs_alone })
}

/// Returns the service to which the route of a request leads.
#[must_use]
pub fn target_service(outbound: &Outbound) -> &ServiceState {
    let route = &outbound.active_config.snapshot.routes[outbound.route];
    &outbound.active_config.services[route.service]
}

// Returns the queue of a request's organisation and its weight. Callers of open routes share one queue. The
// queue is named by the hash of the organisation's name, which stays the same when the configuration changes.
fn organisation_queue(outbound: &Outbound) -> (u64, u32) {
    match &outbound.organisation {
        Some((ix, name)) => (
            stable_hash(name.as_str().as_bytes(), 0),
            outbound.active_config.snapshot.organisations[*ix].weight,
        ),
        None => (0, 1),
    }
}

async fn run_attempts(
    node: &Arc<Node>,
    outbound: &Outbound,
    service: &ServiceState,
    body: RequestBody,
    runs_alone: bool,
) -> Result<AttemptResponse> {
    deposit_retry(node, outbound);
    let mut tried: Vec<Arc<BackendState>> = Vec::new();
    let mut body = Some(body);
    // The error once an attempt may have run: from then on no refusal may claim "not run", whatever stops the
    // later attempts.
    let mut may_have_run: Option<Error> = None;
    loop {
        let copy = body.as_ref().and_then(RequestBody::try_clone);
        let Some(current_body) = body.take() else {
            return Err(Error::from(ErrorKind::Internal));
        };
        let Some(backend) = select_in_service(node, outbound, service, &tried, runs_alone) else {
            return Err(may_have_run.unwrap_or_else(|| no_backend_error(service)));
        };
        tried.push(Arc::clone(&backend));
        let result = if tried.len() == 1 {
            run_first_attempt(node, outbound, service, &mut tried, current_body, runs_alone).await
        } else {
            attempt(node, outbound, &backend, current_body, runs_alone).await.inspect_err(|failed| {
                record_failure(node, outbound, service, &backend, failed);
            })
        };
        let failed = match result {
            Ok(response) => return check_status(node, outbound, response),
            Err(failed) => failed,
        };
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
            min_attempt_time: MIN_ATTEMPT_TIME,
        };
        if !may_retry(&retry) {
            return Err(error);
        }
        if !withdraw_retry(node, outbound) {
            node.counters.add(Counter::RetryBudgetSpent);
            return Err(error);
        }
        node.counters.add(Counter::Retries);
    }
}

// A status that means "not run" goes to the caller of a request that may run only once only if the backend
// server marked it. Its health is not at fault, since it may refuse a single organisation.
fn check_status(node: &Node, outbound: &Outbound, response: AttemptResponse) -> Result<AttemptResponse> {
    let status = response.resp.status();
    if !is_misleading(status.as_u16(), outbound.repeatable) {
        return Ok(response);
    }
    let backend = &response.in_flight.backend().id;
    let detail =
        format!("backend server `{backend}` answered {status} without stating that the request did not run");
    log::info!(backend = backend.as_str(), status = status.as_u16(); "{detail}");
    node.counters.add(Counter::MisleadingStatuses);
    Err(Error::new(ErrorKind::BadAnswer, detail))
}

/// Selects the backend server for the next attempt among those that have not been tried.
pub fn select_in_service(
    node: &Node,
    outbound: &Outbound,
    service: &ServiceState,
    tried: &[Arc<BackendState>],
    runs_alone: bool,
) -> Option<Arc<BackendState>> {
    let _span = outbound.trace.start_span("pick");
    let split = service.split.load();
    let sampled = sample_region(&split.per_million, rand::random());
    let local = service.regions.iter().position(|r| r.is_local);
    let ix = if outbound.policy.spill { sampled } else { local };
    let region = service.regions.get(ix?)?;
    select_in_region(node, region, tried, runs_alone)
}

fn select_in_region(
    node: &Node,
    region: &RegionState,
    tried: &[Arc<BackendState>],
    runs_alone: bool,
) -> Option<Arc<BackendState>> {
    let now = node.clock.now();
    let views: Vec<BackendView> =
        region.backends.iter().map(|b| restrict_view(b.view(now), runs_alone)).collect();
    let is_tried = |b: &Arc<BackendState>| tried.iter().any(|t| t.id == b.id);
    let excluded: Vec<usize> = (0..views.len()).filter(|ix| is_tried(&region.backends[*ix])).collect();
    select_backend(&views, &excluded, rand::random(), now).map(|ix| Arc::clone(&region.backends[ix]))
}

// A request that runs alone may only go to a backend server on which nothing else of this instance runs.
const fn restrict_view(view: BackendView, runs_alone: bool) -> BackendView {
    let is_usable = view.is_available && (!runs_alone || view.own_in_flight == 0);
    BackendView { is_available: is_usable, ..view }
}

fn no_backend_error(service: &ServiceState) -> Error {
    Error::new(ErrorKind::NoBackend, format!("no backend server of `{}` accepts requests", service.name))
        .hint("`burdockctl status` shows which are drained or unavailable")
}

/// Records what a failed attempt says of its backend server, service and request.
pub fn record_failure(
    node: &Node,
    outbound: &Outbound,
    service: &ServiceState,
    backend: &BackendState,
    failed: &AttemptFailure,
) {
    let now = node.clock.now();
    if failed.progress == SendProgress::Shed {
        node.hedging.record_refusal(&service.name, now);
    }
    // A shed request is a sign of load, not of bad health. A passed deadline only means that the
    // caller's time is used up.
    let is_unhealthy = match failed.progress {
        SendProgress::Shed => false,
        SendProgress::NotWritten => failed.error.kind != ErrorKind::DeadlineBefore,
        SendProgress::Written => failed.error.kind == ErrorKind::BadAnswer,
    };
    if is_unhealthy && backend.record_outcome(false, now) {
        node.counters.add(Counter::Ejections);
        log::warn!("backend server {} ejected: {}", backend.id, failed.error.detail);
    }
    if failed.crashed && node.quarantine.record_crash(outbound.fingerprint, &backend.id, now) {
        node.counters.add(Counter::Strikes);
        log::warn!("backend server {} died while running request {:?}", backend.id, outbound.request_id);
    }
}

fn deposit_retry(node: &Node, outbound: &Outbound) {
    node.limits.retry_budget(outbound.organisation_name(), |budget| budget.deposit());
}

fn withdraw_retry(node: &Node, outbound: &Outbound) -> bool {
    node.limits.retry_budget(outbound.organisation_name(), |budget| budget.withdraw())
}
