//! The way of one request of a caller.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::time::Time;
use burdock_model::error::Outcome as Ran;
use burdock_model::hash::stable_hash;
use burdock_model::prelude::*;
use burdock_model::site::{Organisation, Route, SiteConfigIndex};
use burdock_platform::dialect::Dialect;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::forward::body::{RequestBody, states_length_twice};
use crate::observe::counters::Counter;
use crate::phase::Phase;
use crate::site::body::AnswerBody;
use crate::site::outbound::{Outbound, forwarded};
use crate::site::send::{Outcome, Unanswered, run};
use crate::site::{SiteNode, allowances};

/// The longest body that is read in whole before it is sent on, so that it can be sent again.
const HELD_BODY_BYTES: u64 = 256 << 10;

/// The time before a request's deadline that is left for its answer to reach the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// The longest time that a request without a limit of its own is kept.
const LONGEST: Duration = Duration::from_secs(60);

/// Answers a request that arrived at a time, with its body if it has one. A request that can't be served gets an
/// answer that says so.
pub async fn handle(
    node: Arc<SiteNode>,
    parts: Parts,
    incoming: Option<Incoming>,
    arrived: Time,
) -> Response<AnswerBody> {
    let _at_work = node.begin_request();
    node.counters.add(Counter::Requests);
    let plan = node.plan.load_full();
    let result = serve(&node, &plan, &parts, incoming, arrived).await;
    let took = node.clock.now().since(arrived);
    match result {
        Ok(resp) => {
            node.latency.answered.observe(took);
            resp
        }
        Err(e) => {
            node.latency.refused.observe(took);
            refusal(&node, &e, &parts.headers)
        }
    }
}

async fn serve(
    node: &Arc<SiteNode>,
    plan: &SiteConfigIndex,
    parts: &Parts,
    incoming: Option<Incoming>,
    arrived: Time,
) -> Result<Response<AnswerBody>, Unanswered> {
    let admitted = admit(node, plan, parts, arrived).await;
    let outbound = admitted.inspect_err(|e| note_refusal(node, parts, plan, e, arrived))?;
    let body = read_body(plan, &outbound, parts, incoming, node).await?;
    let outcome = run(node, plan, &outbound, body).await;
    note(node, plan, &outbound, &outcome);
    let answered = outcome.result?;
    node.counters.add(Counter::Answered);
    Ok(answered.resp)
}

async fn admit<'a>(
    node: &Arc<SiteNode>,
    plan: &'a SiteConfigIndex,
    parts: &Parts,
    arrived: Time,
) -> Result<Outbound<'a>, Unanswered> {
    if !plan.is_published() {
        return Err(refused(ErrorKind::NoBackend, "no configuration is known yet", Some(STARTING_PAUSE)));
    }
    if node.phase() >= Phase::Finishing {
        return Err(refused(ErrorKind::Leaving, "this instance is stopping", Some(Duration::ZERO)));
    }
    if states_length_twice(&parts.headers) {
        return Err(refused(ErrorKind::BadRequest, "the body's length is given twice", None));
    }
    let host = parts.headers.get(HOST).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let path = parts.uri.path();
    let route = plan.route(host, path).map(|ix| &plan.config.routes[ix]);
    let route =
        route.ok_or_else(|| refused(ErrorKind::NoRoute, &format!("no route for `{host}{path}`"), None))?;
    let organisation = organisation(node, plan, route, &parts.headers)?;
    if let Some(organisation) = organisation {
        allowances::take(node, organisation).await.map_err(|wait| over_rate(organisation, wait))?;
    }
    let given = header(&parts.headers, &node.dialect.deadline_ms).and_then(|v| v.parse().ok());
    let given = given.map_or(LONGEST, Duration::from_millis);
    let attempt_id = parts.headers.get(&node.dialect.attempt_id).cloned();
    let object = parts.headers.get(&node.dialect.affinity_key).map(|v| object_hash(v.as_bytes(), route));
    Ok(Outbound {
        route,
        organisation: organisation.map(|o| &o.name),
        urgency: organisation.and_then(|o| o.urgency).unwrap_or(route.urgency),
        regions: common_regions(route, organisation)?,
        method: parts.method.clone(),
        target: parts.uri.clone(),
        headers: forwarded(&node.dialect, &parts.headers),
        attempt_id: attempt_id.unwrap_or_else(new_id),
        object,
        arrived,
        waited: node.waited_before(route, given),
        deadline: arrived + given.min(route.time_limit).saturating_sub(ANSWER_MARGIN),
    })
}

/// When a caller may come back that found an instance without a configuration: about the time that it takes to
/// read one.
const STARTING_PAUSE: Duration = Duration::from_millis(300);

/// The shortest and the longest time, beyond the wait for a token, after which a caller over its rate is asked
/// to come back: those who were refused together don't return together.
const OVER_RATE_PAUSE_MS: std::ops::Range<u64> = 200..700;

fn over_rate(organisation: &Organisation, wait: Duration) -> Unanswered {
    let pause = wait + Duration::from_millis(rand::random_range(OVER_RATE_PAUSE_MS));
    refused(ErrorKind::OverRate, &format!("`{}` is over its rate", organisation.name), Some(pause))
}

fn organisation<'a>(
    node: &SiteNode,
    plan: &'a SiteConfigIndex,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<&'a Organisation>, Unanswered> {
    if route.open || plan.config.organisations.is_empty() {
        return Ok(None);
    }
    let key = header(headers, &node.dialect.api_key).unwrap_or_default();
    let found = plan.organisation_of(key).map(|ix| &plan.config.organisations[ix]);
    if found.is_none() {
        node.counters.add(Counter::KeyRefused);
        return Err(refused(ErrorKind::KeyRefused, "the key is unknown or was withdrawn", None));
    }
    Ok(found)
}

// Where route and organisation both name regions, both bind.
fn common_regions<'a>(
    route: &'a Route,
    organisation: Option<&'a Organisation>,
) -> Result<Vec<&'a RegionName>, Unanswered> {
    let own = organisation.map_or(&[] as &[RegionName], |o| o.regions.as_slice());
    if route.regions.is_empty() {
        return Ok(own.iter().collect());
    }
    if own.is_empty() {
        return Ok(route.regions.iter().collect());
    }
    let both: Vec<&RegionName> = route.regions.iter().filter(|r| own.contains(r)).collect();
    if both.is_empty() {
        return Err(refused(ErrorKind::NoBackend, "route and organisation share no region", None));
    }
    Ok(both)
}

async fn read_body(
    plan: &SiteConfigIndex,
    outbound: &Outbound<'_>,
    parts: &Parts,
    incoming: Option<Incoming>,
    node: &SiteNode,
) -> Result<RequestBody, Unanswered> {
    let limit = plan.config.caller_limits.max_body_bytes;
    let Some(incoming) = incoming.filter(|body| !body.is_end_stream()) else {
        return Ok(RequestBody::Held(Bytes::new()));
    };
    let length: Option<u64> = header(&parts.headers, &CONTENT_LENGTH).and_then(|v| v.parse().ok());
    if length.is_some_and(|length| length > limit) {
        return Err(refused(ErrorKind::TooLarge, &format!("the body is longer than {limit} bytes"), None));
    }
    if length.is_some_and(|length| length > HELD_BODY_BYTES) {
        return Ok(RequestBody::Streamed { incoming, passed: 0, limit });
    }
    let most = usize::try_from(limit).unwrap_or(usize::MAX);
    let read = Limited::new(incoming, most).collect();
    match tokio::time::timeout(outbound.time_left(node.clock.now()), read).await {
        Ok(Ok(body)) => Ok(RequestBody::Held(body.to_bytes())),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(refused(ErrorKind::TooLarge, &format!("the body is longer than {limit} bytes"), None))
        }
        Ok(Err(e)) => Err(refused(ErrorKind::BadRequest, &format!("the body broke off: {e}"), None)),
        Err(_elapsed) => Err(refused(ErrorKind::DeadlineBefore, "the body did not arrive in time", None)),
    }
}

fn refusal(node: &SiteNode, e: &Unanswered, headers: &HeaderMap) -> Response<AnswerBody> {
    let ran = e.error.kind.answer().outcome;
    node.counters.add(match ran {
        Ran::NotRun => Counter::RefusedNotRun,
        Ran::Unknown => Counter::RefusedUnknown,
    });
    let body = serde_json::json!({ "error": e.error.to_string() }).to_string();
    let mut resp = Response::new(AnswerBody::whole(body));
    *resp.status_mut() =
        StatusCode::from_u16(Dialect::status(e.error.kind)).unwrap_or(StatusCode::BAD_GATEWAY);
    let own = resp.headers_mut();
    own.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(id) = headers.get(&node.dialect.attempt_id) {
        own.insert(&node.dialect.attempt_id, id.clone());
    }
    let after = e.retry_after.map(|wait| format!("{:.3}", wait.as_secs_f64()));
    if let Some(after) = after.and_then(|text| HeaderValue::from_str(&text).ok()) {
        own.insert(RETRY_AFTER, after);
    }
    resp
}

fn refused(kind: ErrorKind, detail: &str, retry_after: Option<Duration>) -> Unanswered {
    Unanswered { error: Error::new(kind, detail), retry_after }
}

fn note_refusal(node: &SiteNode, parts: &Parts, plan: &SiteConfigIndex, e: &Unanswered, arrived: Time) {
    if e.error.kind == ErrorKind::OverRate {
        node.counters.add(Counter::OverRate);
    }
    log::info!(
        id = header(&parts.headers, &node.dialect.attempt_id).unwrap_or_default(),
        path = parts.uri.path(),
        version = plan.config.version,
        held_ms = millis(node.clock.now().since(arrived)),
        status = Dialect::status(e.error.kind);
        "refused: {}", e.error
    );
}

fn note(node: &SiteNode, plan: &SiteConfigIndex, outbound: &Outbound<'_>, outcome: &Outcome) {
    let tried: Vec<&str> = outcome.tried.iter().map(|b| b.registered.id.as_str()).collect();
    let (status, error) = match &outcome.result {
        Ok(answered) => (answered.resp.status().as_u16(), String::new()),
        Err(e) => (Dialect::status(e.error.kind), e.error.to_string()),
    };
    let place = outcome.place.as_ref();
    log::info!(
        id = outbound.attempt_id.to_str().unwrap_or_default(),
        expected_ms = place.map_or(0.0, |p| p.expected_ms.round()),
        load = place.map_or(0, |p| p.load),
        rank:? = place.and_then(|p| p.rank),
        work_ms = node.work_ms(outbound.route).round(),
        route = outbound.route.name.as_str(),
        organisation = outbound.organisation.map_or("", OrganisationName::as_str),
        service = outcome.service.as_str(),
        version = plan.config.version,
        tried:? = tried,
        zone = outcome.tried.last().map_or("", |b| b.registered.zone.as_str()),
        status = status,
        took_ms = millis(node.clock.now().since(outbound.arrived));
        "request {error}"
    );
}

fn object_hash(key: &[u8], route: &Route) -> u64 {
    stable_hash(key, crate::site::hash_of(route.name.as_str()))
}

fn new_id() -> HeaderValue {
    HeaderValue::from_str(&format!("{:016x}", rand::random::<u64>()))
        .unwrap_or_else(|_ascii| HeaderValue::from_static("0"))
}

fn header<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
