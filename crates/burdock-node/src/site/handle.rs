//! Handles one request of a caller: checks, forwarding, answer and log line.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::body_memory::BodyUse;
use burdock_decide::quarantine::BODY_START_BYTES;
use burdock_decide::time::Time;
use burdock_model::hash::stable_hash;
use burdock_model::prelude::*;
use burdock_model::site::{Organisation, Route, SiteConfigIndex};
use burdock_platform::dialect::Dialect;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode};

use crate::forward::body::{RequestBody, has_conflicting_lengths};
use crate::observe::counters::Counter;
use crate::phase::Phase;
use crate::site::body::{AnswerError, ResponseBody};
use crate::site::caller_body::CallerBody;
use crate::site::hedge::HedgeResult;
use crate::site::memory::HeldBytes;
use crate::site::outbound::{Outbound, forwarded_headers};
use crate::site::send::{ForwardOutcome, RequestFailure, forward, leaving_failure};
use crate::site::{SiteNode, allowances};

/// Maximum size of a body that is buffered, so that it can be sent again, in bytes.
const MAX_BUFFERED_BODY_BYTES: u64 = 256 << 10;

/// Time before a caller's deadline that is reserved for the answer to reach the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Time limit of a request whose caller states none.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(60);

/// Answers a request whose head arrived at `arrived_at`. `body` is its body, if it has one. A request
/// that can't be served gets an answer with the error.
pub async fn handle(
    node: Arc<SiteNode>,
    parts: Parts,
    body: Option<CallerBody>,
    arrived_at: Time,
) -> Response<ResponseBody> {
    let guard = node.begin_request();
    node.counters.add(Counter::Requests);
    let config = node.config.load_full();
    let result = answer(&node, &config, &parts, body, arrived_at).await;
    let took = node.clock.now().since(arrived_at);
    let mut resp = match result {
        Ok(resp) => {
            node.latency.answered.record(took);
            resp
        }
        Err(e) => {
            node.latency.refused.record(took);
            refusal_response(&node, &e, &parts.headers)
        }
    };
    // A stop waits until the caller has the answer.
    resp.body_mut().hold_request(guard);
    resp
}

/// Holds the rest of an answer that breaks the caller's connection if it breaks off, because requests that were
/// started early wait behind it. One that breaks off while it is held becomes an answer with the error.
pub async fn hold_rest(node: &SiteNode, mut resp: Response<ResponseBody>) -> Response<ResponseBody> {
    node.counters.add(Counter::AnswersHeldForOthers);
    let Err(e) = resp.body_mut().hold_rest(&node.body_memory).await else {
        return resp;
    };
    let kind = match e {
        AnswerError::Broken { .. } => ErrorKind::BadAnswer,
        AnswerError::Late => ErrorKind::DeadlineAfter,
    };
    log::info!("an answer that was held for the requests behind it broke off: {e}");
    let mut refusal = refusal_response(node, &failure(kind, &e.to_string(), None), resp.headers());
    if let Some(guard) = resp.body_mut().take_request() {
        refusal.body_mut().hold_request(guard);
    }
    refusal
}

async fn answer(
    node: &Arc<SiteNode>,
    config: &SiteConfigIndex,
    parts: &Parts,
    mut body: Option<CallerBody>,
    arrived_at: Time,
) -> Result<Response<ResponseBody>, RequestFailure> {
    let (outbound, body) = match admit_and_read(node, config, parts, &mut body, arrived_at).await {
        Ok(admitted) => admitted,
        Err(e) => {
            record_refusal(node, parts, config, &e, arrived_at);
            // A caller that waits for leave to send its body is not asked for it.
            let discarded = body.filter(|_| !parts.headers.contains_key(EXPECT));
            discarded.into_iter().for_each(CallerBody::discard);
            return Err(e);
        }
    };
    let outcome = forward(node, config, &outbound, body).await;
    log_request(node, config, &outbound, &outcome);
    let answer = outcome.result?;
    node.counters.add(Counter::Answered);
    Ok(answer.resp)
}

async fn admit_and_read<'a>(
    node: &Arc<SiteNode>,
    config: &'a SiteConfigIndex,
    parts: &Parts,
    body: &mut Option<CallerBody>,
    arrived_at: Time,
) -> Result<(Outbound<'a>, RequestBody), RequestFailure> {
    let outbound = admit(node, config, parts, arrived_at).await?;
    let body = read_request_body(config, &outbound, parts, body, node).await?;
    // The body may have come late.
    if node.phase() >= Phase::Finishing {
        return Err(leaving_failure());
    }
    Ok((outbound, body))
}

async fn admit<'a>(
    node: &Arc<SiteNode>,
    config: &'a SiteConfigIndex,
    parts: &Parts,
    arrived_at: Time,
) -> Result<Outbound<'a>, RequestFailure> {
    if !config.is_published() {
        return Err(failure(ErrorKind::NoBackend, &node.missing_config_reason(), Some(STARTING_RETRY_AFTER)));
    }
    if node.phase() >= Phase::Finishing {
        return Err(leaving_failure());
    }
    if node.body_memory.is_exhausted() {
        return Err(no_memory_failure(node));
    }
    if has_conflicting_lengths(&parts.headers) {
        return Err(failure(ErrorKind::BadRequest, "the length of the body is stated more than once", None));
    }
    let host = parts.headers.get(HOST).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let path = parts.uri.path();
    let route = config.route(host, path).map(|ix| &config.published.routes[ix]);
    let route =
        route.ok_or_else(|| failure(ErrorKind::NoRoute, &format!("no route for `{host}{path}`"), None))?;
    let organisation = identify_organisation(node, config, route, &parts.headers)?;
    if let Some(organisation) = organisation {
        allowances::acquire_token(node, organisation)
            .await
            .map_err(|wait| over_rate_failure(organisation, wait))?;
    }
    let stated = header(&parts.headers, &node.dialect.deadline_ms).and_then(|v| v.parse().ok());
    let time_limit = stated.map_or(DEFAULT_TIME_LIMIT, Duration::from_millis);
    let attempt_id = parts.headers.get(&node.dialect.attempt_id).cloned();
    let object_hash = parts.headers.get(&node.dialect.affinity_key).map(|v| hash_object(v.as_bytes(), route));
    Ok(Outbound {
        route,
        organisation: organisation.map(|o| &o.name),
        urgency: organisation.and_then(|o| o.urgency).unwrap_or(route.urgency),
        eligible_regions: eligible_regions(route, organisation)?,
        method: parts.method.clone(),
        target: parts.uri.clone(),
        headers: forwarded_headers(&node.dialect, &parts.headers),
        attempt_id: attempt_id.unwrap_or_else(random_attempt_id),
        object_hash,
        arrived_at,
        earlier_wait: node.earlier_wait(route, time_limit),
        deadline: arrived_at + time_limit.min(route.time_limit).saturating_sub(ANSWER_MARGIN),
    })
}

/// Time after which a caller of an instance without a configuration may retry: about what it takes to read
/// one.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Random time that is added to the wait for a token before a caller over its rate may retry, so that callers
/// that are refused together don't return together.
const OVER_RATE_DELAY_MS: std::ops::Range<u64> = 200..700;

fn over_rate_failure(organisation: &Organisation, wait: Duration) -> RequestFailure {
    let retry_after = wait + Duration::from_millis(rand::random_range(OVER_RATE_DELAY_MS));
    failure(ErrorKind::OverRate, &format!("`{}` is over its rate", organisation.name), Some(retry_after))
}

fn identify_organisation<'a>(
    node: &SiteNode,
    config: &'a SiteConfigIndex,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<&'a Organisation>, RequestFailure> {
    if route.open || config.published.organisations.is_empty() {
        return Ok(None);
    }
    let key = header(headers, &node.dialect.api_key).unwrap_or_default();
    let found = config.organisation_of(key).map(|ix| &config.published.organisations[ix]);
    if found.is_none() {
        node.counters.add(Counter::KeyRefused);
        return Err(failure(ErrorKind::KeyRefused, "the key is unknown or was withdrawn", None));
    }
    Ok(found)
}

// Returns the regions that both the route and the organisation allow. One that names no regions allows all.
fn eligible_regions<'a>(
    route: &'a Route,
    organisation: Option<&'a Organisation>,
) -> Result<Vec<&'a RegionName>, RequestFailure> {
    let of_organisation = organisation.map_or(&[] as &[RegionName], |o| o.regions.as_slice());
    if route.regions.is_empty() {
        return Ok(of_organisation.iter().collect());
    }
    if of_organisation.is_empty() {
        return Ok(route.regions.iter().collect());
    }
    let allowed: Vec<&RegionName> = route.regions.iter().filter(|r| of_organisation.contains(r)).collect();
    if allowed.is_empty() {
        return Err(failure(
            ErrorKind::NoBackend,
            "route and organisation have no allowed region in common",
            None,
        ));
    }
    Ok(allowed)
}

async fn read_request_body(
    config: &SiteConfigIndex,
    outbound: &Outbound<'_>,
    parts: &Parts,
    body: &mut Option<CallerBody>,
    node: &SiteNode,
) -> Result<RequestBody, RequestFailure> {
    let limit = config.published.caller_limits.max_body_bytes;
    let Some(arriving) = body else {
        return Ok(RequestBody::Buffered(Bytes::new()));
    };
    let length: Option<u64> = header(&parts.headers, &CONTENT_LENGTH).and_then(|v| v.parse().ok());
    if length.is_some_and(|length| length > limit) {
        return Err(too_long_failure(limit));
    }
    let read = read_start(arriving, length, limit, node);
    let (start, is_whole) = match tokio::time::timeout(outbound.time_left(node.clock.now()), read).await {
        Ok(read) => read?,
        Err(_elapsed) => {
            return Err(failure(ErrorKind::DeadlineBefore, "the body did not arrive in time", None));
        }
    };
    if is_whole {
        return Ok(RequestBody::Buffered(start.freeze()));
    }
    let mut memory = node.body_memory.reserve();
    if !memory.try_grow(node.body_memory.transit_bytes(), BodyUse::LongBody) {
        return Err(no_memory_failure(node));
    }
    let Some(arriving) = body.take() else {
        return Ok(RequestBody::Buffered(start.freeze()));
    };
    node.counters.add(Counter::BodiesStreamed);
    let mut streamed = RequestBody::streamed(start.freeze(), arriving.into_incoming(), limit);
    streamed.hold_memory(memory);
    Ok(streamed)
}

// Reads a body until its end if it may be held, otherwise as far as quarantine needs it to recognise the
// request. Returns the bytes, and whether they are the whole body.
async fn read_start(
    body: &mut CallerBody,
    length: Option<u64>,
    limit: u64,
    node: &SiteNode,
) -> Result<(HeldBytes, bool), RequestFailure> {
    let is_long = length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES);
    let wanted = if is_long { BODY_START_BYTES as u64 } else { MAX_BUFFERED_BODY_BYTES + 1 };
    let expected = length.map(|length| length.min(wanted)).and_then(|bytes| usize::try_from(bytes).ok());
    let mut start = node.body_memory.buffer();
    while (start.as_slice().len() as u64) < wanted {
        let Some(frame) = body.frame().await else {
            return Ok((start, true));
        };
        let frame = frame.map_err(|e| {
            failure(ErrorKind::BadRequest, &format!("the request body ended early: {e}"), None)
        })?;
        let data = frame.data_ref().map_or(&[] as &[u8], |data| data);
        if (start.as_slice().len() + data.len()) as u64 > limit {
            return Err(too_long_failure(limit));
        }
        if !start.append(data, expected) {
            return Err(no_memory_failure(node));
        }
    }
    Ok((start, false))
}

fn too_long_failure(limit: u64) -> RequestFailure {
    failure(ErrorKind::TooLarge, &format!("the body is longer than {limit} bytes"), None)
}

/// Range of the random time after which a caller may retry that was refused for lack of memory: about what a
/// body takes to be forwarded, spread so that callers don't return together.
const NO_MEMORY_RETRY_AFTER_MS: std::ops::Range<u64> = 150..450;

fn no_memory_failure(node: &SiteNode) -> RequestFailure {
    node.counters.add(Counter::BodiesRefused);
    let detail = format!("no memory for the body: {} bytes are free", node.body_memory.free_bytes());
    let retry_after = Duration::from_millis(rand::random_range(NO_MEMORY_RETRY_AFTER_MS));
    failure(ErrorKind::Overloaded, &detail, Some(retry_after))
}

fn refusal_response(node: &SiteNode, e: &RequestFailure, headers: &HeaderMap) -> Response<ResponseBody> {
    let outcome = e.error.kind.answer().outcome;
    node.counters.add(match outcome {
        Outcome::NotRun => Counter::RefusedNotRun,
        Outcome::Unknown => Counter::RefusedUnknown,
    });
    let body = serde_json::json!({ "error": e.error.to_string() }).to_string();
    let mut resp = Response::new(ResponseBody::buffered(body));
    *resp.status_mut() =
        StatusCode::from_u16(Dialect::status(e.error.kind)).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers_out = resp.headers_mut();
    headers_out.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(id) = headers.get(&node.dialect.attempt_id) {
        headers_out.insert(&node.dialect.attempt_id, id.clone());
    }
    let retry_after = e.retry_after.map(|wait| format!("{:.3}", wait.as_secs_f64()));
    if let Some(retry_after) = retry_after.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers_out.insert(RETRY_AFTER, retry_after);
    }
    resp
}

fn failure(kind: ErrorKind, detail: &str, retry_after: Option<Duration>) -> RequestFailure {
    RequestFailure { error: Error::new(kind, detail), retry_after }
}

fn record_refusal(
    node: &SiteNode,
    parts: &Parts,
    config: &SiteConfigIndex,
    e: &RequestFailure,
    arrived_at: Time,
) {
    if e.error.kind == ErrorKind::OverRate {
        node.counters.add(Counter::OverRate);
    }
    log::info!(
        id = header(&parts.headers, &node.dialect.attempt_id).unwrap_or_default(),
        path = parts.uri.path(),
        version = config.published.version,
        held_ms = millis(node.clock.now().since(arrived_at)),
        status = Dialect::status(e.error.kind);
        "refused: {}", e.error
    );
}

fn log_request(node: &SiteNode, config: &SiteConfigIndex, outbound: &Outbound<'_>, outcome: &ForwardOutcome) {
    let tried: Vec<&str> = outcome.tried.iter().map(|b| b.registered.id.as_str()).collect();
    let (status, error) = match &outcome.result {
        Ok(answer) => (answer.resp.status().as_u16(), String::new()),
        Err(e) => (Dialect::status(e.error.kind), e.error.to_string()),
    };
    let placement = outcome.placement.as_ref();
    let answer = outcome.result.as_ref().ok();
    let answering = answer.and_then(|a| outcome.tried.iter().find(|b| b.registered.id == a.backend));
    log::info!(
        id = outbound.attempt_id.to_str().unwrap_or_default(),
        expected_ms = placement.map_or(0.0, |p| p.expected_ms.round()),
        load = placement.map_or(0, |p| p.load),
        rank:? = placement.and_then(|p| p.rank),
        work_ms = node.warm_service_ms(outbound.route).round(),
        route = outbound.route.name.as_str(),
        organisation = outbound.organisation.map_or("", OrganisationName::as_str),
        service = outcome.service.as_str(),
        version = config.published.version,
        tried:? = tried,
        hedge = outcome.hedge.map_or("", HedgeResult::as_str),
        zone = answering.or(outcome.tried.last()).map_or("", |b| b.registered.zone.as_str()),
        status = status,
        took_ms = millis(node.clock.now().since(outbound.arrived_at));
        "request {error}"
    );
}

fn hash_object(key: &[u8], route: &Route) -> u64 {
    stable_hash(key, crate::site::name_hash(route.name.as_str()))
}

fn random_attempt_id() -> HeaderValue {
    HeaderValue::from_str(&format!("{:016x}", rand::random::<u64>()))
        .unwrap_or_else(|_ascii| HeaderValue::from_static("0"))
}

fn header<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
