//! Checking the head of a request: path, key, route, deadline.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::headers::{is_ambiguous_path, is_forwarded_to_backend, strip_query_credentials};
use burdock_decide::time::Time;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::OrganisationName;
use burdock_model::snapshot::{OrganisationIx, Policy, RouteIx, Snapshot};
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, COOKIE, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Uri};

use crate::active_config::ActiveConfig;
use crate::forward::body::states_length_twice;
use crate::forward::outbound::{DEADLINE, Outbound, REQUEST_ID, TRACEPARENT};
use crate::node::Node;
use crate::observe::counters::Counter;
use crate::observe::trace::Trace;

const API_KEY: &str = "x-api-key";
const BEARER: &str = "Bearer ";

/// The head of a request that may go on.
#[derive(Debug)]
pub struct CheckedHead {
    /// What goes to backend servers.
    pub outbound: Outbound,
    /// The key it came with, to be checked again while its answer streams.
    pub key: Option<HeaderValue>,
    /// The idempotency key.
    pub idempotency_key: Option<HeaderValue>,
    /// The caller's hint at an owner.
    pub owner_hint: Option<HeaderValue>,
}

/// Checks a head against the configuration in force.
///
/// # Errors
/// A refusal; nothing was run.
pub fn check(node: &Node, parts: Parts) -> Result<CheckedHead> {
    let now = node.clock.now();
    let active_config = node.active_config.load_full();
    check_framing(&parts.headers)?;
    check_path(parts.uri.path())?;
    let header = |name: &http::HeaderName| parts.headers.get(name).and_then(|v| v.to_str().ok());
    let trace = Trace::start(header(&TRACEPARENT), sampled(node));
    let snapshot = &active_config.snapshot;
    let host = host_of(&parts);
    let route = snapshot.route(host, parts.uri.path()).ok_or_else(|| no_route(parts.uri.path()))?;
    let key = presented_key(&parts.headers).cloned();
    let organisation = {
        let _span = trace.start_span("key");
        authorise(node, snapshot, route, key.as_ref(), now)?
    };
    let policy = Arc::clone(snapshot.policy(organisation.as_ref().map(|(ix, _)| *ix), route));
    if !policy.allow {
        return Err(Error::from(ErrorKind::RouteForbidden));
    }
    check_length(&parts.headers, &policy)?;
    let repeatable = snapshot.routes[route].is_repeatable(parts.method.as_str());
    let deadline = now + time_allowed(&parts.headers, &policy)?;
    let idempotency_key = parts.headers.get("idempotency-key").cloned();
    let owner_hint = parts.headers.get("burdock-owner").cloned();
    let outbound = Outbound {
        fingerprint: 0,
        target: target(&parts.uri)?,
        headers: backend_headers(&parts, host),
        active_config,
        route,
        organisation,
        policy,
        method: parts.method,
        repeatable,
        deadline,
        request_id: request_id(),
        trace,
    };
    Ok(CheckedHead { outbound, key, idempotency_key, owner_hint })
}

/// A fresh request id.
#[must_use]
pub fn request_id() -> HeaderValue {
    let id: u128 = rand::random();
    HeaderValue::from_str(&format!("{id:032x}")).unwrap_or_else(|_never| HeaderValue::from_static("0"))
}

/// The key a request presents: `Authorization: Bearer` or `X-Api-Key`.
#[must_use]
pub fn presented_key(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers.get(AUTHORIZATION).or_else(|| headers.get(API_KEY))
}

/// The organisation that a presented key belongs to in a snapshot.
#[must_use]
pub fn organisation_of(snapshot: &Snapshot, key: &HeaderValue) -> Option<OrganisationIx> {
    let text = key.to_str().ok()?;
    snapshot.organisation_of(text.strip_prefix(BEARER).unwrap_or(text))
}

/// The organisation of a caller, whose key must be good and this instance in contact.
///
/// # Errors
/// [`ErrorKind::Isolated`] and [`ErrorKind::KeyRefused`].
pub fn authenticate(
    node: &Node,
    snapshot: &Snapshot,
    key: Option<&HeaderValue>,
    now: Time,
) -> Result<(OrganisationIx, OrganisationName)> {
    if now >= node.fleet.contact(now).serve_until {
        return Err(Error::from(ErrorKind::Isolated).hint("ask an instance in another region"));
    }
    let ix = key.and_then(|key| organisation_of(snapshot, key));
    let Some(ix) = ix else {
        node.counters.add(Counter::KeyRefused);
        return Err(Error::from(ErrorKind::KeyRefused)
            .hint("send `Authorization: Bearer KEY` or `X-Api-Key: KEY` with a key that is in force"));
    };
    Ok((ix, snapshot.organisations[ix].name.clone()))
}

fn authorise(
    node: &Node,
    snapshot: &Snapshot,
    route: RouteIx,
    key: Option<&HeaderValue>,
    now: Time,
) -> Result<Option<(OrganisationIx, OrganisationName)>> {
    if snapshot.routes[route].open {
        return Ok(None);
    }
    authenticate(node, snapshot, key, now).map(Some)
}

fn check_framing(headers: &HeaderMap) -> Result<()> {
    if states_length_twice(headers) {
        return Err(Error::new(ErrorKind::BadRequest, "the body's length is given twice")
            .hint("send one Content-Length, or chunks without it"));
    }
    Ok(())
}

fn check_path(path: &str) -> Result<()> {
    if is_ambiguous_path(path) {
        return Err(Error::new(ErrorKind::BadRequest, "the path has `.`, `..` or empty segments")
            .hint("send the path in its plain form"));
    }
    Ok(())
}

fn check_length(headers: &HeaderMap, policy: &Policy) -> Result<()> {
    if content_length(headers).is_some_and(|length| length > policy.body_limit.0) {
        let detail = format!("the body is longer than {}", policy.body_limit);
        return Err(Error::new(ErrorKind::TooLarge, detail).hint("send less, or have `body_limit` raised"));
    }
    Ok(())
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn time_allowed(headers: &HeaderMap, policy: &Policy) -> Result<Duration> {
    let most = policy.timeout.duration();
    let Some(wanted) = headers.get(&DEADLINE) else {
        return Ok(most);
    };
    let wanted: Option<u64> = wanted.to_str().ok().and_then(|text| text.parse().ok());
    let wanted = wanted.ok_or_else(|| {
        Error::new(ErrorKind::BadRequest, "Burdock-Deadline-Ms is not a number").hint("send milliseconds")
    })?;
    Ok(most.min(Duration::from_millis(wanted)))
}

fn host_of(parts: &Parts) -> Option<&str> {
    let authority = parts.uri.authority().map(http::uri::Authority::as_str);
    let host = parts.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = authority.or(host)?;
    Some(
        host.rsplit_once(':')
            .map_or(host, |(name, port)| if port.parse::<u16>().is_ok() { name } else { host }),
    )
}

fn target(uri: &Uri) -> Result<Uri> {
    let Some(query) = uri.query() else {
        return parse_target(uri.path());
    };
    match strip_query_credentials(query) {
        Some(query) => parse_target(&format!("{}?{query}", uri.path())),
        None => parse_target(uri.path()),
    }
}

fn parse_target(text: &str) -> Result<Uri> {
    text.parse().map_err(|e: http::uri::InvalidUri| Error::new(ErrorKind::BadRequest, e.to_string()))
}

fn backend_headers(parts: &Parts, host: Option<&str>) -> HeaderMap {
    let connection = parts.headers.get(CONNECTION).and_then(|v| v.to_str().ok());
    let mut headers = HeaderMap::with_capacity(parts.headers.len() + 4);
    for (name, value) in &parts.headers {
        let carries_key = *name == COOKIE && value.as_bytes().windows(3).any(|w| w == b"bk.");
        if is_forwarded_to_backend(name.as_str(), connection) && *name != CONTENT_LENGTH && !carries_key {
            headers.append(name, value.clone());
        }
    }
    if !headers.contains_key(HOST)
        && let Some(value) = host.and_then(|h| HeaderValue::from_str(h).ok())
    {
        headers.insert(HOST, value);
    }
    headers.remove(&REQUEST_ID);
    headers.remove(TRACEPARENT);
    headers
}

fn sampled(node: &Node) -> bool {
    const WHOLE: u32 = 1000;
    let per_mille = node.settings.traces.sample_per_mille;
    per_mille > 0 && rand::random_range(0..WHOLE) < per_mille
}

fn no_route(path: &str) -> Error {
    Error::new(ErrorKind::NoRoute, format!("no route for `{path}`"))
        .hint("`burdockctl explain PATH` shows the routes")
}

/// Refuses a request against a configuration that is not there yet.
#[must_use]
pub fn is_starting(active_config: &ActiveConfig) -> bool {
    active_config.snapshot.revision.0 == 0
}
