//! Sending a request to backend servers until one answers.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::cold;
use burdock_decide::place::{Placement, PlacementView, max_load_per_slot, place_request};
use burdock_decide::quarantine::{QUARANTINE_TIME, QuarantineDecision, SHARED_STRIKES_TO_REFUSE};
use burdock_decide::retry::{RetryView, may_retry};
use burdock_decide::time::Time;
use burdock_model::prelude::*;
use burdock_model::site::{Service, SiteConfigIndex};
use http::Response;

use crate::forward::body::RequestBody;
use crate::observe::counters::Counter;
use crate::site::SiteNode;
use crate::site::attempt::Attempt;
use crate::site::backend::Backend;
use crate::site::body::AnswerBody;
use crate::site::outbound::Outbound;

/// The least time that another attempt is worth.
const LEAST_TIME: Duration = Duration::from_millis(20);

/// An answer for a caller.
#[derive(Debug)]
pub struct Answered {
    /// The answer, as the backend server made it.
    pub resp: Response<AnswerBody>,
    /// The backend server.
    pub backend: BackendId,
}

/// Why a request was not answered.
#[derive(Debug)]
pub struct Unanswered {
    /// The error for the caller.
    pub error: Error,
    /// Time after which trying again is worth it.
    pub retry_after: Option<Duration>,
}

/// How a request went.
#[derive(Debug)]
pub struct Outcome {
    /// What its caller gets.
    pub result: Result<Answered, Unanswered>,
    /// Backend servers that it was sent to.
    pub tried: Vec<Arc<Backend>>,
    /// What the last of them was chosen for.
    pub place: Option<Placement>,
    /// Its service.
    pub service: ServiceName,
}

/// Sends a request to backend servers of one of its route's services until one answers.
pub async fn run(
    node: &Arc<SiteNode>,
    plan: &SiteConfigIndex,
    outbound: &Outbound<'_>,
    body: RequestBody,
) -> Outcome {
    let service = &plan.config.services[node.next_service(outbound.route)];
    let mut outcome = Outcome {
        result: Err(nothing_tried()),
        tried: Vec::new(),
        place: None,
        service: service.name.clone(),
    };
    let fingerprint = outbound.fingerprint(&body);
    if node.quarantine.decision(fingerprint, SHARED_STRIKES_TO_REFUSE, node.clock.now())
        == QuarantineDecision::Refuse
    {
        outcome.result = Err(quarantined(node));
        return outcome;
    }
    let mut body = Some(body);
    node.earn_retry(&service.name);
    loop {
        let now = node.clock.now();
        let copy = body.as_ref().and_then(RequestBody::try_clone);
        let Some(current) = body.take() else {
            return outcome;
        };
        let Some((backend, chosen)) = choose(node, outbound, service, &outcome.tried, now) else {
            if outcome.tried.is_empty() {
                outcome.result = Err(no_room(node, &service.name, outbound));
            }
            return outcome;
        };
        outcome.tried.push(Arc::clone(&backend));
        outcome.place = Some(chosen);
        let attempt = Attempt { node, outbound, service, backend: &backend, chosen: &chosen, fingerprint };
        let failed = match attempt.make(current).await {
            Ok(answered) => {
                outcome.result = Ok(answered);
                return outcome;
            }
            Err(failed) => failed,
        };
        let view = RetryView {
            progress: failed.progress,
            repeatable: outbound.route.repeatable,
            body_replayable: failed.body.is_some() || copy.is_some(),
            attempts_made: u8::try_from(outcome.tried.len()).unwrap_or(u8::MAX),
            max_retries: u8::try_from(outbound.route.max_attempts - 1).unwrap_or(u8::MAX),
            now: node.clock.now(),
            deadline: outbound.deadline,
            min_attempt_time: LEAST_TIME,
        };
        outcome.result = match (failed.answer, outcome.result) {
            (Some(answer), _) => Ok(*answer),
            // A backend server's own failure says more than that a later attempt found no answer.
            (None, Ok(earlier)) => Ok(earlier),
            (None, Err(earlier)) => Err(unanswered(failed.error, may_have_run(&earlier.error))),
        };
        if !may_retry(&view) || !node.spend_retry(&service.name) {
            return outcome;
        }
        node.counters.add(Counter::Retries);
        body = failed.body.or(copy);
    }
}

// What an earlier attempt may have run stays unknown whatever a later one proves.
fn unanswered(error: Error, ran_before: bool) -> Unanswered {
    let error = if ran_before && !may_have_run(&error) {
        Error { kind: ErrorKind::BadAnswer, ..error }
    } else {
        error
    };
    let retry_after = (!may_have_run(&error)).then(again_soon);
    Unanswered { error, retry_after }
}

fn may_have_run(error: &Error) -> bool {
    error.kind.answer().outcome == burdock_model::error::Outcome::Unknown
}

fn quarantined(node: &SiteNode) -> Unanswered {
    node.counters.add(Counter::Quarantined);
    let error = Error::new(ErrorKind::Quarantined, "the request crashed several backend servers")
        .hint("change the request; it is held back for a minute after its last crash");
    Unanswered { error, retry_after: Some(QUARANTINE_TIME) }
}

fn nothing_tried() -> Unanswered {
    Unanswered { error: Error::from(ErrorKind::NoBackend), retry_after: None }
}

/// The shortest and the longest time after which a refused caller is asked to come back: about as long as a
/// queue at a backend server takes to move on, spread so that callers don't come back together.
const RETRY_AFTER_RANGE_MS: std::ops::Range<u64> = 150..450;

fn again_soon() -> Duration {
    Duration::from_millis(rand::random_range(RETRY_AFTER_RANGE_MS))
}

fn no_room(node: &SiteNode, service: &ServiceName, outbound: &Outbound<'_>) -> Unanswered {
    let usable = node.table.usable();
    let count = usable.services.get(service).map_or(0, Vec::len);
    let kind = if count == 0 { ErrorKind::NoBackend } else { ErrorKind::Overloaded };
    let detail =
        format!("{count} backend servers of `{service}`, none with room at urgency {}", outbound.urgency);
    Unanswered { error: Error::new(kind, detail), retry_after: Some(again_soon()) }
}

/// What is added to the crowding that a request may join when its caller was refused before: it goes before
/// those who come first.
const RETURNED_CROWDING: f64 = 0.5;

fn choose(
    node: &SiteNode,
    outbound: &Outbound<'_>,
    service: &Service,
    tried: &[Arc<Backend>],
    now: Time,
) -> Option<(Arc<Backend>, Placement)> {
    let usable = node.table.usable();
    let backends = usable.services.get(&service.name)?;
    let round_trips = node.table.round_trips_ms(backends);
    let may_run = |b: &Backend| {
        let region = node.table.region(b.region);
        outbound.regions.is_empty() || region.is_some_and(|r| outbound.regions.contains(&r))
    };
    let mut candidates: Vec<_> = backends
        .iter()
        .map(|b| {
            let untried = !tried.iter().any(|t| Arc::ptr_eq(t, b));
            let open = untried && may_run(b) && (!b.is_cold(now) || sends_to_cold(node, b));
            b.candidate(node.table.is_near(b), round_trips[b.region], open, now)
        })
        .collect();
    let work_ms = node.work_ms(outbound.route);
    loop {
        let view = PlacementView {
            candidates: &candidates,
            object: outbound.object.filter(|_| outbound.route.affinity),
            warm_service_ms: work_ms,
            mean_service_ms: work_ms,
            max_load_per_slot: max_load_per_slot(outbound.urgency)
                + if outbound.waited.is_zero() { 0.0 } else { RETURNED_CROWDING },
            random: rand::random(),
        };
        let chosen = place_request(&view)?;
        let backend = &backends[chosen.ix];
        if !backend.is_cold(now) || backend.take_cold_leave(service.cold_rate, now) {
            return Some((Arc::clone(backend), chosen));
        }
        candidates[chosen.ix].is_available = false;
    }
}

fn sends_to_cold(node: &SiteNode, backend: &Backend) -> bool {
    let view = node.fleet.view();
    let senders = view.cold_senders(node.table.region(backend.region));
    cold::is_sender(backend.registered.id.as_str(), node.life.instance.as_str(), senders.into_iter())
}
