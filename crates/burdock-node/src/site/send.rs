//! Sending a request to backend servers until one answers.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::cold;
use burdock_decide::place::{Place, PlaceView, crowding, place};
use burdock_decide::retry::{Progress, RetryView, may_retry};
use burdock_decide::time::Time;
use burdock_model::prelude::*;
use burdock_model::site::{PlanIndex, Service};
use http::header::CONNECTION;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;

use crate::forward::body::RequestBody;
use crate::forward::pool::Connection;
use crate::observe::counters::Counter;
use crate::site::SiteNode;
use crate::site::backend::{Backend, InFlight};
use crate::site::body::{AnswerBody, Held, hold};
use crate::site::outbound::Outbound;

/// The longest wait for a connection to a backend server: a few round trips on the longest link.
const CONNECT_LIMIT: Duration = Duration::from_millis(700);

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
    pub place: Option<Place>,
    /// Its service.
    pub service: ServiceName,
}

struct Failed {
    progress: Progress,
    error: Error,
    body: Option<RequestBody>,
    // An answer that is passed on if there is no better one.
    answer: Option<Answered>,
}

/// Sends a request to backend servers of one of its route's services until one answers.
pub async fn run(
    node: &Arc<SiteNode>,
    plan: &PlanIndex,
    outbound: &Outbound<'_>,
    body: RequestBody,
) -> Outcome {
    let service = &plan.plan.services[node.next_service(outbound.route)];
    let mut outcome = Outcome {
        result: Err(nothing_tried()),
        tried: Vec::new(),
        place: None,
        service: service.name.clone(),
    };
    let mut body = Some(body);
    node.earn_retry(&service.name);
    loop {
        let now = node.clock.now();
        let copy = body.as_ref().and_then(RequestBody::copy);
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
        let failed = match attempt(node, outbound, service, &backend, &chosen, current).await {
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
            attempts: u8::try_from(outcome.tried.len()).unwrap_or(u8::MAX),
            retries: u8::try_from(outbound.route.attempts - 1).unwrap_or(u8::MAX),
            now: node.clock.now(),
            deadline: outbound.deadline,
            least_time: LEAST_TIME,
        };
        let ran_before = outcome.result.as_ref().is_err_and(|e| may_have_run(&e.error));
        outcome.result = match failed.answer {
            Some(answer) => Ok(answer),
            None => Err(unanswered(failed.error, ran_before)),
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
) -> Option<(Arc<Backend>, Place)> {
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
        let view = PlaceView {
            candidates: &candidates,
            object: outbound.object.filter(|_| outbound.route.affinity),
            work_ms,
            queue_ms: work_ms,
            crowding: crowding(outbound.urgency)
                + if outbound.waited.is_zero() { 0.0 } else { RETURNED_CROWDING },
            draw: rand::random(),
        };
        let chosen = place(&view)?;
        let backend = &backends[chosen.ix];
        if !backend.is_cold(now) || backend.take_cold_leave(service.cold_rate, now) {
            return Some((Arc::clone(backend), chosen));
        }
        candidates[chosen.ix].is_open = false;
    }
}

fn sends_to_cold(node: &SiteNode, backend: &Backend) -> bool {
    let instances = node.fleet.listed();
    let names = instances.iter().map(|i| i.id.as_str());
    cold::sends(backend.registered.id.as_str(), node.life.instance.as_str(), names)
}

async fn attempt(
    node: &Arc<SiteNode>,
    outbound: &Outbound<'_>,
    service: &Service,
    backend: &Arc<Backend>,
    chosen: &Place,
    body: RequestBody,
) -> Result<Answered, Failed> {
    let in_flight = backend.begin();
    let began = node.clock.now();
    let limit = outbound.time_left(began);
    let name = &backend.registered.id;
    let mut connection = match tokio::time::timeout(limit.min(CONNECT_LIMIT), backend.pool.take()).await {
        Ok(Ok(connection)) => connection,
        result => {
            let detail = result
                .map_or_else(|_elapsed| "no connection in time".to_owned(), |r| r.err().unwrap_or_default());
            backend.unreachable(service.cold_for, node.clock.now());
            log::info!(backend = name.as_str(), id = outbound.attempt_id.to_str().unwrap_or_default(); "unreachable: {detail}");
            let error = Error::new(ErrorKind::NoBackend, format!("backend server `{name}`: {detail}"));
            return Err(Failed { progress: Progress::NotWritten, error, body: Some(body), answer: None });
        }
    };
    let sent = node.clock.now();
    let req = outbound.request(&node.dialect, name, body, sent);
    let answer = tokio::time::timeout(outbound.time_left(sent), connection.try_send_request(req)).await;
    let resp = match answer {
        Ok(Ok(resp)) => resp,
        Ok(Err(mut e)) => {
            return Err(match e.take_message() {
                Some(req) => {
                    let error = Error::new(ErrorKind::NoBackend, format!("backend server `{name}` closed"));
                    Failed {
                        progress: Progress::NotWritten,
                        error,
                        body: Some(req.into_body()),
                        answer: None,
                    }
                }
                None => broken(node, backend, service, &e.into_error()),
            });
        }
        Err(_elapsed) => {
            backend.answered(SLOW_AT_DEADLINE, true, node.clock.now());
            let error =
                Error::new(ErrorKind::DeadlineAfter, format!("backend server `{name}` still at work"));
            return Err(Failed { progress: Progress::Written, error, body: None, answer: None });
        }
    };
    note_load(node, backend, resp.headers());
    check(node, outbound, backend, &resp)?;
    let (parts, incoming) = resp.into_parts();
    receive(node, outbound, backend, chosen, sent, parts, incoming, connection, in_flight).await
}

/// The slowness that is noted when a backend server did not answer by the deadline.
const SLOW_AT_DEADLINE: f64 = 8.0;

// A broken connection may be one broken answer. If the pool can't make a new one, the next attempt notes that.
fn broken(node: &SiteNode, backend: &Backend, service: &Service, e: &hyper::Error) -> Failed {
    let name = &backend.registered.id;
    let now = node.clock.now();
    if e.is_parse() || e.is_incomplete_message() {
        backend.broke_answer(now);
    } else {
        backend.unreachable(service.cold_for, now);
    }
    log::info!(backend = name.as_str(); "broke its answer: {e}");
    let error = Error::new(ErrorKind::BadAnswer, format!("backend server `{name}` broke its answer: {e}"));
    Failed { progress: Progress::Written, error, body: None, answer: None }
}

fn note_load(node: &SiteNode, backend: &Backend, headers: &HeaderMap) {
    let Some(text) = headers.get(&node.dialect.load).and_then(|v| v.to_str().ok()) else {
        return;
    };
    let numbers: Vec<u32> = text.split(',').filter_map(|part| part.trim().parse().ok()).collect();
    if let [running, waiting, ..] = numbers.as_slice() {
        backend.reported(running + waiting, node.clock.now());
    }
}

// Whether an answer is this request's, and whether the request ran.
fn check(
    node: &SiteNode,
    outbound: &Outbound<'_>,
    backend: &Backend,
    resp: &Response<Incoming>,
) -> Result<(), Failed> {
    let name = &backend.registered.id;
    let now = node.clock.now();
    let headers = resp.headers();
    let echoed = headers.get(&node.dialect.attempt_id);
    let stray = |what: &str| {
        backend.broke_answer(now);
        log::info!(backend = name.as_str(), id = outbound.attempt_id.to_str().unwrap_or_default(), echoed:? = echoed; "{what}");
        let error = Error::new(ErrorKind::BadAnswer, format!("backend server `{name}`: {what}"));
        Failed { progress: Progress::Written, error, body: None, answer: None }
    };
    if echoed.is_some_and(|id| *id != outbound.attempt_id) {
        return Err(stray("the answer belongs to another request"));
    }
    if headers.contains_key(&node.dialect.not_run) || resp.status() == StatusCode::MISDIRECTED_REQUEST {
        backend.refused(now);
        let kind = ErrorKind::Overloaded;
        let error = Error::new(kind, format!("backend server `{name}` refused it as not run"));
        return Err(Failed { progress: Progress::Shed, error, body: None, answer: None });
    }
    let sealed = headers.contains_key(&node.dialect.seal);
    if resp.status().is_success() && (!sealed || echoed.is_none()) {
        return Err(stray("a success that no backend server made"));
    }
    Ok(())
}

#[expect(clippy::too_many_arguments, reason = "the parts of one answer, all owned by the attempt")]
async fn receive(
    node: &SiteNode,
    outbound: &Outbound<'_>,
    backend: &Arc<Backend>,
    chosen: &Place,
    sent: Time,
    parts: http::response::Parts,
    incoming: Incoming,
    mut connection: Connection,
    in_flight: InFlight,
) -> Result<Answered, Failed> {
    let name = &backend.registered.id;
    let closing = says_close(&parts.headers);
    if let Some(limit) = keep_alive(&parts.headers) {
        connection.set_idle_limit(limit);
    }
    let held =
        tokio::time::timeout(outbound.time_left(node.clock.now()), hold(incoming, connection, in_flight))
            .await;
    let now = node.clock.now();
    let body = match held {
        Ok(Ok(Held::Whole(bytes, connection))) => {
            if !closing {
                backend.pool.put(connection);
            }
            AnswerBody::whole(bytes)
        }
        Ok(Ok(Held::Long(body))) => body,
        Ok(Err(e)) => {
            backend.broke_answer(now);
            log::info!(backend = name.as_str(), id = outbound.attempt_id.to_str().unwrap_or_default(); "the answer broke off: {e}");
            let error =
                Error::new(ErrorKind::BadAnswer, format!("backend server `{name}`: the answer broke off"));
            return Err(Failed { progress: Progress::Written, error, body: None, answer: None });
        }
        Err(_elapsed) => {
            let error =
                Error::new(ErrorKind::DeadlineAfter, format!("backend server `{name}` still answers"));
            return Err(Failed { progress: Progress::Written, error, body: None, answer: None });
        }
    };
    let took_ms = now.since(sent).as_secs_f64() * 1e3;
    let failure = parts.status.is_server_error();
    if failure {
        backend.answered(1.0, false, now);
    } else {
        backend.answered(took_ms / chosen.expected_ms.max(1.0), true, now);
        if !chosen.queued {
            let round_trip = node.table.round_trips_ms(std::slice::from_ref(backend))[backend.region];
            node.observe_work(outbound.route, (took_ms - round_trip).max(1.0));
        }
    }
    let mut resp = Response::from_parts(parts, body);
    clean(resp.headers_mut());
    let answered = Answered { resp, backend: name.clone() };
    if failure && outbound.route.repeatable {
        let error = Error::new(ErrorKind::BadAnswer, format!("backend server `{name}` failed"));
        return Err(Failed { progress: Progress::Written, error, body: None, answer: Some(answered) });
    }
    Ok(answered)
}

fn says_close(headers: &HeaderMap) -> bool {
    headers
        .get(CONNECTION)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.to_ascii_lowercase().contains("close"))
}

// Below the time that the backend server states, so that a request does not cross its close.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    const USED_PART: f64 = 0.8;
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds: u32 = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?.parse().ok()?;
    Some(Duration::from_secs(u64::from(seconds)).mul_f64(USED_PART))
}

fn clean(headers: &mut HeaderMap) {
    for name in burdock_decide::headers::HOP_BY_HOP {
        headers.remove(name);
    }
}
