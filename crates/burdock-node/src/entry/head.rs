//! Checks of a request's head: framing, path, route, API key, deadline.

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
use crate::forward::body::has_conflicting_lengths;
use crate::forward::outbound::{DEADLINE, Outbound, REQUEST_ID, TRACEPARENT};
use crate::node::Node;
use crate::observe::counters::Counter;
use crate::observe::trace::Trace;

const API_KEY: &str = "x-api-key";
const BEARER: &str = "Bearer ";

/// Head of a request that passed all checks.
#[derive(Debug)]
pub struct CheckedHead {
    /// The request in the form for backend servers.
    pub outbound: Outbound,
    /// API key of the request, which is checked again while the response streams.
    pub key: Option<HeaderValue>,
    /// Value of the `Idempotency-Key` header.
    pub idempotency_key: Option<HeaderValue>,
    /// Value of the `Burdock-Owner` header: the caller's hint at the instance that owns the idempotency key.
    pub owner_hint: Option<HeaderValue>,
}

/// Checks the head of a request against the configuration in force.
///
/// # Errors
/// Returns a refusal; nothing has run.
pub fn check_head(node: &Node, parts: Parts) -> Result<CheckedHead> {
    let now = node.clock.now();
    let active_config = node.active_config.load_full();
    check_framing(&parts.headers)?;
    check_path(parts.uri.path())?;
    let header = |name: &http::HeaderName| parts.headers.get(name).and_then(|v| v.to_str().ok());
    let trace = Trace::start(header(&TRACEPARENT), sample_trace(node));
    let snapshot = &active_config.snapshot;
    let host = request_host(&parts);
    let route = snapshot.route(host, parts.uri.path()).ok_or_else(|| no_route_error(parts.uri.path()))?;
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
    let deadline = now + allowed_time(&parts.headers, &policy)?;
    let idempotency_key = parts.headers.get("idempotency-key").cloned();
    let owner_hint = parts.headers.get("burdock-owner").cloned();
    let outbound = Outbound {
        fingerprint: 0,
        target: backend_target(&parts.uri)?,
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

/// Creates a random request id.
#[must_use]
pub fn request_id() -> HeaderValue {
    let id: u128 = rand::random();
    HeaderValue::from_str(&format!("{id:032x}")).unwrap_or_else(|_never| HeaderValue::from_static("0"))
}

/// Returns the API key of a request, from `Authorization: Bearer` or `X-Api-Key`.
#[must_use]
pub fn presented_key(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers.get(AUTHORIZATION).or_else(|| headers.get(API_KEY))
}

/// Returns the organisation that owns an API key in a snapshot.
#[must_use]
pub fn organisation_of(snapshot: &Snapshot, key: &HeaderValue) -> Option<OrganisationIx> {
    let text = key.to_str().ok()?;
    snapshot.organisation_of(text.strip_prefix(BEARER).unwrap_or(text))
}

/// Returns the organisation of a caller.
///
/// # Errors
/// [`ErrorKind::Isolated`] when this instance has been without contact for too long to know of withdrawn
/// keys, [`ErrorKind::KeyRefused`] when the key is missing or not in force.
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
    if has_conflicting_lengths(headers) {
        return Err(Error::new(ErrorKind::BadRequest, "the length of the body is stated more than once")
            .hint("send one `Content-Length`, or chunked encoding without it"));
    }
    Ok(())
}

fn check_path(path: &str) -> Result<()> {
    if is_ambiguous_path(path) {
        return Err(Error::new(ErrorKind::BadRequest, "the path contains `.`, `..` or empty segments")
            .hint("send the path in normalised form"));
    }
    Ok(())
}

fn check_length(headers: &HeaderMap, policy: &Policy) -> Result<()> {
    if content_length(headers).is_some_and(|length| length > policy.body_limit.0) {
        let detail = format!("the body is longer than {}", policy.body_limit);
        return Err(
            Error::new(ErrorKind::TooLarge, detail).hint("send a shorter body, or have `body_limit` raised")
        );
    }
    Ok(())
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn allowed_time(headers: &HeaderMap, policy: &Policy) -> Result<Duration> {
    let max_time = policy.timeout.duration();
    let Some(requested) = headers.get(&DEADLINE) else {
        return Ok(max_time);
    };
    let requested: Option<u64> = requested.to_str().ok().and_then(|text| text.parse().ok());
    let requested = requested.ok_or_else(|| {
        Error::new(ErrorKind::BadRequest, "`Burdock-Deadline-Ms` is not a whole number")
            .hint("send the time in milliseconds")
    })?;
    Ok(max_time.min(Duration::from_millis(requested)))
}

fn request_host(parts: &Parts) -> Option<&str> {
    let authority = parts.uri.authority().map(http::uri::Authority::as_str);
    let host = parts.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = authority.or(host)?;
    Some(
        host.rsplit_once(':')
            .map_or(host, |(name, port)| if port.parse::<u16>().is_ok() { name } else { host }),
    )
}

fn backend_target(uri: &Uri) -> Result<Uri> {
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
        let contains_api_key = *name == COOKIE && value.as_bytes().windows(3).any(|w| w == b"bk.");
        if is_forwarded_to_backend(name.as_str(), connection) && *name != CONTENT_LENGTH && !contains_api_key
        {
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

fn sample_trace(node: &Node) -> bool {
    const PER_MILLE: u32 = 1000;
    let per_mille = node.settings.traces.sample_per_mille;
    per_mille > 0 && rand::random_range(0..PER_MILLE) < per_mille
}

fn no_route_error(path: &str) -> Error {
    Error::new(ErrorKind::NoRoute, format!("no route for `{path}`"))
        .hint("`burdockctl explain PATH` shows the routes")
}

/// Returns whether this instance has not received a configuration yet.
#[must_use]
pub fn has_no_configuration(active_config: &ActiveConfig) -> bool {
    active_config.snapshot.revision.0 == 0
}
