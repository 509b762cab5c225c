//! Handling of a caller's request, from its head to the response.

use std::net::SocketAddr;
use std::sync::Arc;

use burdock_decide::answer::Framing;
use burdock_decide::once::MAX_IDEMPOTENCY_KEY_BYTES;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_platform::body::{ReadBodyError, read_whole};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderValue, Request, Response};
use http_body::Body;
use hyper::body::Incoming;

use crate::entry::answer::{ResponseBody, buffered_response, caller_headers, refusal_response};
use crate::entry::guarded::{GuardedBody, RequestResources, StreamAuthorisation};
use crate::entry::head::{CheckedHead, check_head, has_no_configuration, request_id};
use crate::entry::steer;
use crate::forward::body::RequestBody;
use crate::forward::outbound::Outbound;
use crate::forward::run::{RunningRequest, run_request};
use crate::limits::borrow::acquire_token;
use crate::node::{Node, Phase, RequestGuard};
use crate::observe::counters::Counter;
use crate::once::handle::{OnceRequest, handle as handle_once};

/// Maximum size of a body of known length that is buffered, so that it can be sent again, in bytes.
const MAX_BUFFERED_BODY_BYTES: u64 = 256 << 10;

/// Handles one request. Every failure becomes a refusal, so that the caller always gets a response.
pub async fn handle(node: Arc<Node>, req: Request<Incoming>, remote: SocketAddr) -> Response<ResponseBody> {
    if req.uri().path().starts_with("/.burdock/") {
        return steer::handle(&node, &req, remote);
    }
    node.counters.add(Counter::Requests);
    let request_guard = node.begin_request(node.clock.now());
    let (parts, body) = req.into_parts();
    let head = check_phase(&node).and_then(|()| check_head(&node, parts));
    let head = match head {
        Ok(head) => head,
        Err(e) => return refusal_response(&node, &e, request_id()),
    };
    let id = head.outbound.request_id.clone();
    match answer(&node, head, body, request_guard).await {
        Ok(resp) => {
            node.counters.add(Counter::Answered);
            resp
        }
        Err(e) => refusal_response(&node, &e, id),
    }
}

fn check_phase(node: &Node) -> Result<()> {
    if node.phase() >= Phase::Finishing || node.fleet.is_superseded() {
        return Err(Error::from(ErrorKind::Leaving));
    }
    if has_no_configuration(&node.active_config.load()) {
        return Err(Error::new(ErrorKind::NoBackend, "no configuration is known yet"));
    }
    Ok(())
}

async fn answer(
    node: &Arc<Node>,
    head: CheckedHead,
    body: Incoming,
    request_guard: RequestGuard,
) -> Result<Response<ResponseBody>> {
    let once_key = head.idempotency_key.clone().filter(|_| !head.outbound.repeatable);
    match once_key {
        Some(key) => answer_once(node, head, &key, body).await,
        None => answer_streamed(node, head, body, request_guard).await,
    }
}

async fn answer_once(
    node: &Arc<Node>,
    head: CheckedHead,
    key: &HeaderValue,
    body: Incoming,
) -> Result<Response<ResponseBody>> {
    let key =
        key.to_str().ok().filter(|k| !k.is_empty() && k.len() <= MAX_IDEMPOTENCY_KEY_BYTES).ok_or_else(
            || {
                Error::from(ErrorKind::IdempotencyKeyMissing)
                    .hint(format!("send 1 to {MAX_IDEMPOTENCY_KEY_BYTES} printable characters"))
            },
        )?;
    let body = buffer_body(body, head.outbound.policy.body_limit.0).await?;
    // The body may have come late in a stop.
    check_phase(node)?;
    let hint = head.owner_hint.as_ref().and_then(|h| h.to_str().ok());
    let id = head.outbound.request_id.clone();
    let mut outbound = head.outbound;
    outbound.set_fingerprint(Some(&body), Some(key));
    let answer = handle_once(node, outbound, OnceRequest { key, hint, body }).await?;
    Ok(buffered_response(&answer, id))
}

async fn answer_streamed(
    node: &Arc<Node>,
    head: CheckedHead,
    body: Incoming,
    request_guard: RequestGuard,
) -> Result<Response<ResponseBody>> {
    let CheckedHead { mut outbound, key, idempotency_key, .. } = head;
    if let Some(name) = outbound.organisation_name() {
        let _span = outbound.trace.start_span("limit");
        acquire_token(node, name, outbound.deadline).await?;
    }
    let body = read_request_body(&outbound, body).await?;
    check_phase(node)?;
    outbound.set_fingerprint(body.buffered(), idempotency_key.as_ref().and_then(|k| k.to_str().ok()));
    let sent_bytes = body.size_hint().exact().unwrap_or(0);
    let running = run_request(node, &outbound, body).await?;
    let authorisation = StreamAuthorisation {
        node: Arc::clone(node),
        key: key.zip(outbound.organisation.as_ref().map(|(_, name)| name.clone())),
        checked_revision: outbound.active_config.snapshot.revision,
        deadline: outbound.deadline,
    };
    Ok(streaming_response(running, &outbound, authorisation, request_guard, sent_bytes))
}

fn streaming_response(
    running: RunningRequest,
    outbound: &Outbound,
    authorisation: StreamAuthorisation,
    request_guard: RequestGuard,
    sent_bytes: u64,
) -> Response<ResponseBody> {
    let RunningRequest { response, permit, runs_alone } = running;
    let (parts, incoming) = response.resp.into_parts();
    let framing = response_framing(&parts.headers, &incoming);
    let resources = RequestResources {
        connection: response.connection,
        in_flight: response.in_flight,
        permit,
        request_guard,
        sent_bytes,
        fingerprint: outbound.fingerprint,
        runs_alone,
    };
    let body = GuardedBody::new(incoming, framing, authorisation, resources);
    let mut resp = Response::new(ResponseBody::Guarded(Box::new(body)));
    *resp.status_mut() = parts.status;
    *resp.headers_mut() = caller_headers(&parts.headers, outbound.request_id.clone());
    resp
}

fn response_framing(headers: &http::HeaderMap, body: &Incoming) -> Framing {
    if body.is_end_stream() {
        return Framing::Empty;
    }
    let length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
    match length {
        Some(length) => Framing::Length(length),
        None if headers.contains_key(TRANSFER_ENCODING) => Framing::Chunked,
        None => Framing::UntilClose,
    }
}

// Buffers small bodies and streams long ones, which can therefore be sent only once. Bodies of unknown length
// are buffered up to the limit, so that one that exceeds it is refused before any of it is forwarded.
async fn read_request_body(outbound: &Outbound, body: Incoming) -> Result<RequestBody> {
    if body.is_end_stream() {
        return Ok(RequestBody::Buffered(Bytes::new()));
    }
    let limit = outbound.policy.body_limit.0;
    match body.size_hint().exact() {
        Some(length) if length > MAX_BUFFERED_BODY_BYTES => {
            Ok(RequestBody::streamed(Bytes::new(), body, limit))
        }
        _ => buffer_body(body, limit).await.map(RequestBody::Buffered),
    }
}

async fn buffer_body(body: Incoming, limit: u64) -> Result<Bytes> {
    let read = read_whole(body, usize::try_from(limit).unwrap_or(usize::MAX)).await;
    read.map_err(|e| match e {
        ReadBodyError::TooLong { limit } => {
            Error::new(ErrorKind::TooLarge, format!("the body is longer than {limit} bytes"))
        }
        ReadBodyError::Broken { source } => {
            Error::new(ErrorKind::BadRequest, format!("the request body ended early: {source}"))
        }
    })
}
