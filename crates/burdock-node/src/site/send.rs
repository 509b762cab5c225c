//! Forwards a request to backend servers, with retries, until one answers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use burdock_decide::cold;
use burdock_decide::deadline::can_be_answered;
use burdock_decide::place::{Placement, PlacementView, local_weight, max_load_per_slot, place_request};
use burdock_decide::quarantine::QUARANTINE_TIME;
use burdock_decide::retry::{RetryView, SendProgress, may_retry};
use burdock_decide::shutdown::may_begin_attempt;
use burdock_decide::time::Time;
use burdock_model::prelude::*;
use burdock_model::site::{Service, SiteConfigIndex};
use http::Response;

use crate::forward::body::RequestBody;
use crate::observe::counters::Counter;
use crate::site::SiteNode;
use crate::site::admission::{Admission, Refusal, is_eligible};
use crate::site::attempt::{Attempt, AttemptFailure};
use crate::site::backend::Backend;
use crate::site::body::ResponseBody;
use crate::site::hedge::{HedgeResult, run_first_attempt};
use crate::site::outbound::Outbound;
use crate::site::suspect::Suspect;

/// Time that must remain before the deadline for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// A backend server's answer to a request.
#[derive(Debug)]
pub struct BackendAnswer {
    /// Response of the backend server, without hop-by-hop headers.
    pub resp: Response<ResponseBody>,
    /// Id of the backend server.
    pub backend: BackendId,
}

/// Why a request was not answered.
#[derive(Debug)]
pub struct RequestFailure {
    /// Error that the caller gets.
    pub error: Error,
    /// Time after which the caller may retry, `None` if the answer states none.
    pub retry_after: Option<Duration>,
}

/// Result of forwarding a request, and what its log line says of it.
#[derive(Debug)]
pub struct ForwardOutcome {
    /// Answer or error that the caller gets.
    pub result: Result<BackendAnswer, RequestFailure>,
    /// Backend servers that were tried, in order.
    pub tried: Vec<Arc<Backend>>,
    /// Placement of the last attempt, or of the one that answered.
    pub placement: Option<Placement>,
    /// How the second copy of the request ended, if one was sent.
    pub hedge: Option<HedgeResult>,
    /// Service that was selected for the request.
    pub service: ServiceName,
}

/// Forwards a request to backend servers of one of its route's services until one answers or no retry is
/// allowed.
pub async fn forward(
    node: &Arc<SiteNode>,
    config: &SiteConfigIndex,
    outbound: &Outbound<'_>,
    mut body: RequestBody,
) -> ForwardOutcome {
    let service = &config.published.services[node.select_service_ix(outbound.route)];
    let mut outcome = ForwardOutcome {
        result: Err(no_backend_failure()),
        tried: Vec::new(),
        placement: None,
        hedge: None,
        service: service.name.clone(),
    };
    let suspect = Suspect::new(outbound, &body);
    if suspect.is_refused(node) {
        outcome.result = Err(quarantine_failure(node));
        return outcome;
    }
    body.check_end(suspect.end_check(node));
    let mut body = Some(body);
    node.deposit_retry(&service.name);
    let weight = local_weight(node.mean_answer_bytes(outbound.route));
    node.plans.record_request(&service.name, node.warm_service_ms(outbound.route), weight);
    loop {
        let now = node.clock.now();
        let copy = body.as_ref().and_then(RequestBody::try_clone);
        let Some(current) = body.take() else {
            return outcome;
        };
        let Some((backend, placement)) = select_backend(node, outbound, service, &outcome.tried, now) else {
            if outcome.tried.is_empty() {
                outcome.result = Err(no_capacity_failure(node, &service.name, outbound));
            } else {
                node.hedging.record_refusal(&service.name, now);
            }
            return outcome;
        };
        if !may_begin_attempt(node.time_until_end(now), placement.expected_ms) {
            if outcome.tried.is_empty() {
                outcome.result = Err(leaving_failure());
            }
            return outcome;
        }
        outcome.tried.push(Arc::clone(&backend));
        outcome.placement = Some(placement);
        let attempt = Attempt {
            node,
            outbound,
            service,
            backend: &backend,
            placement: &placement,
            suspect: &suspect,
            has_head: &AtomicBool::new(false),
        };
        let result = if outcome.tried.len() == 1 {
            run_first_attempt(&attempt, config, current, &mut outcome).await
        } else {
            attempt.run(current).await.map_err(|failure| vec![failure])
        };
        let failures = match result {
            Ok(answer) => {
                outcome.result = Ok(answer);
                return outcome;
            }
            Err(failures) => failures,
        };
        let (mut progress, mut unsent_body) = (None, None);
        for failure in failures {
            if failure.progress == SendProgress::Shed {
                node.hedging.record_refusal(&service.name, node.clock.now());
            }
            progress = Some(combined_progress(progress, failure.progress));
            let AttemptFailure { error, body, answer, .. } = failure;
            unsent_body = body.or(unsent_body);
            outcome.result = match (answer, outcome.result) {
                (Some(answer), _) => Ok(*answer),
                // An error answer of a backend server tells the caller more than the failure of a later
                // attempt.
                (None, Ok(earlier)) => Ok(earlier),
                (None, Err(earlier)) => Err(attempts_failure(error, may_have_run(&earlier.error))),
            };
        }
        let view = RetryView {
            progress: progress.unwrap_or(SendProgress::Written),
            repeatable: outbound.route.repeatable,
            body_replayable: unsent_body.is_some() || copy.is_some(),
            attempts_made: u8::try_from(outcome.tried.len()).unwrap_or(u8::MAX),
            max_retries: u8::try_from(outbound.route.max_attempts - 1).unwrap_or(u8::MAX),
            now: node.clock.now(),
            deadline: outbound.deadline,
            min_attempt_time: MIN_ATTEMPT_TIME,
        };
        if !may_retry(&view) || !node.withdraw_retry(&service.name) {
            return outcome;
        }
        node.counters.add(Counter::Retries);
        body = unsent_body.or(copy);
    }
}

// How much of the request was sent by attempts that ran at the same time: some if any of them sent some.
const fn combined_progress(earlier: Option<SendProgress>, last: SendProgress) -> SendProgress {
    match earlier {
        Some(SendProgress::Written) => SendProgress::Written,
        _ => last,
    }
}

// If an earlier attempt may have run the request, its outcome stays unknown, even if the last attempt
// certainly did not run it.
fn attempts_failure(error: Error, may_have_run_before: bool) -> RequestFailure {
    let error = if may_have_run_before && !may_have_run(&error) {
        Error { kind: ErrorKind::BadAnswer, ..error }
    } else {
        error
    };
    let retry_after = (!may_have_run(&error)).then(random_retry_after);
    RequestFailure { error, retry_after }
}

fn may_have_run(error: &Error) -> bool {
    error.kind.answer().outcome == burdock_model::error::Outcome::Unknown
}

fn quarantine_failure(node: &SiteNode) -> RequestFailure {
    node.counters.add(Counter::Quarantined);
    let error = Error::new(ErrorKind::Quarantined, "the request crashed several backend servers")
        .hint("change the request; it is refused for a minute after its last crash");
    RequestFailure { error, retry_after: Some(QUARANTINE_TIME) }
}

/// Returns the failure of a request that did not run because this instance is stopping.
#[must_use]
pub fn leaving_failure() -> RequestFailure {
    let error = Error::new(ErrorKind::Leaving, "this instance is stopping");
    RequestFailure { error, retry_after: Some(Duration::ZERO) }
}

fn no_backend_failure() -> RequestFailure {
    RequestFailure { error: Error::from(ErrorKind::NoBackend), retry_after: None }
}

/// Range of the random time after which a refused caller may retry: about what a queue at a backend server
/// takes to advance, spread so that callers don't return together.
const RETRY_AFTER_RANGE_MS: std::ops::Range<u64> = 150..450;

fn random_retry_after() -> Duration {
    Duration::from_millis(rand::random_range(RETRY_AFTER_RANGE_MS))
}

fn no_capacity_failure(node: &SiteNode, service: &ServiceName, outbound: &Outbound<'_>) -> RequestFailure {
    let now = node.clock.now();
    let usable = node.backends.usable();
    let backends = usable.services.get(service).map_or(&[] as &[_], Vec::as_slice);
    let count = backends.len();
    if count == 0 {
        node.hedging.record_refusal(service, now);
        let error = Error::new(ErrorKind::NoBackend, format!("no backend server of `{service}`"));
        return RequestFailure { error, retry_after: Some(random_retry_after()) };
    }
    let refusal = Admission::refuse(node, outbound, service, now);
    let pressure = Admission::pressure(node, service, now);
    let detail = format!(
        "{count} backend servers of `{service}`, {} at urgency {}: pressure {:.2}, mean {:.0} ms, \
         {:.1} refused a second, {} ms left, waited {} ms before",
        refusal.as_str(),
        outbound.urgency,
        pressure.pressure(),
        pressure.mean_ms,
        pressure.refusals_per_s(),
        outbound.time_left(now).as_millis(),
        outbound.earlier_wait.as_millis(),
    );
    let error = Error::new(ErrorKind::Overloaded, detail);
    if refusal == Refusal::NoTime {
        return RequestFailure { error, retry_after: None };
    }
    node.hedging.record_refusal(service, now);
    let turned_away = time_until_accepted(backends, now).unwrap_or_default();
    RequestFailure { error, retry_after: Some(turned_away + random_retry_after()) }
}

// Returns the time until the first backend server accepts requests again if all have turned this instance
// away.
fn time_until_accepted(backends: &[Arc<Backend>], now: Time) -> Option<Duration> {
    let waits = backends.iter().map(|b| b.turned_away_until().map(|until| until.since(now)));
    waits.collect::<Option<Vec<Duration>>>()?.into_iter().min()
}

/// Load per slot by which a request of a caller that was refused earlier may exceed the usual limit, so that
/// it is admitted before requests of callers that were not refused yet.
const RETURNING_CALLER_LOAD_PER_SLOT: f64 = 0.5;

/// Selects the backend server for the next attempt among those that have not been tried.
pub fn select_backend(
    node: &SiteNode,
    outbound: &Outbound<'_>,
    service: &Service,
    tried: &[Arc<Backend>],
    now: Time,
) -> Option<(Arc<Backend>, Placement)> {
    let usable = node.backends.usable();
    let backends = usable.services.get(&service.name)?;
    let round_trips_ms = node.backends.round_trips_ms(backends);
    let (measured, time_left) = (node.measured_service(outbound.route, now), outbound.time_left(now));
    // A retry is made in any time that is left, since its caller loses what was spent on the earlier attempt.
    let has_time =
        |b: &Backend| !tried.is_empty() || can_be_answered(time_left, round_trips_ms[b.region], measured);
    let mut candidates: Vec<_> = backends
        .iter()
        .map(|b| {
            let is_untried = !tried.iter().any(|t| Arc::ptr_eq(t, b));
            let is_available = is_untried
                && is_eligible(node, outbound, b)
                && has_time(b)
                && (!b.is_cold(now) || may_send_to_cold(node, b));
            b.candidate(node.backends.is_local(b), round_trips_ms[b.region], is_available, now)
        })
        .collect();
    let service_ms = node.warm_service_ms(outbound.route);
    let plans = node.plans.current();
    loop {
        let view = PlacementView {
            candidates: &candidates,
            object: outbound.object_hash.filter(|_| outbound.route.affinity),
            warm_service_ms: service_ms,
            mean_service_ms: service_ms,
            max_load_per_slot: max_load_per_slot(outbound.urgency)
                + if outbound.earlier_wait.is_zero() { 0.0 } else { RETURNING_CALLER_LOAD_PER_SLOT },
            local_weight: local_weight(node.mean_answer_bytes(outbound.route)),
            region_weights: plans.region_weights(&service.name),
            random: rand::random(),
        };
        let placement = place_request(&view)?;
        let backend = &backends[placement.ix];
        if !backend.is_cold(now) || backend.take_cold_token(service.cold_rate, now) {
            return Some((Arc::clone(backend), placement));
        }
        candidates[placement.ix].is_available = false;
    }
}

fn may_send_to_cold(node: &SiteNode, backend: &Backend) -> bool {
    let view = node.fleet.view();
    let instances = view.cold_senders(node.backends.region(backend.region));
    cold::is_sender(backend.registered.id.as_str(), node.incarnation.instance.as_str(), instances.into_iter())
}
