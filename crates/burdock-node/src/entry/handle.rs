//! The way of one request through an instance.

use std::net::SocketAddr;
use std::sync::Arc;

use burdock_decide::answer::Framing;
use burdock_decide::once::MAX_IDEMPOTENCY_KEY_BYTES;
use burdock_model::error::{Error, ErrorKind, Result};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderValue, Request, Response};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::entry::answer::{EntryBody, caller_headers, from_whole, refusal};
use crate::entry::guarded::{GuardedBody, Held, Rights};
use crate::entry::head::{CheckedHead, check, is_starting, request_id};
use crate::entry::steer;
use crate::forward::body::RequestBody;
use crate::forward::outbound::Outbound;
use crate::forward::run::{Running, run};
use crate::limits::borrow::admit;
use crate::node::{Node, Phase, RequestGuard};
use crate::observe::counters::Counter;
use crate::once::handle::{OnceRequest, handle as handle_once};

/// Bodies up to this size are held, so that they can be sent again.
const HELD_BODY_BYTES: u64 = 256 << 10;

/// Answers one request. Whatever happens, the caller gets an answer.
pub async fn handle(node: Arc<Node>, req: Request<Incoming>, remote: SocketAddr) -> Response<EntryBody> {
    if req.uri().path().starts_with("/.burdock/") {
        return steer::handle(&node, &req, remote);
    }
    node.counters.add(Counter::Requests);
    let at_work = node.begin_request(node.clock.now());
    let (parts, body) = req.into_parts();
    let head = check_phase(&node).and_then(|()| check(&node, parts));
    let head = match head {
        Ok(head) => head,
        Err(e) => return refusal(&node, &e, request_id()),
    };
    let id = head.outbound.request_id.clone();
    match answer(&node, head, body, at_work).await {
        Ok(resp) => {
            node.counters.add(Counter::Answered);
            resp
        }
        Err(e) => refusal(&node, &e, id),
    }
}

fn check_phase(node: &Node) -> Result<()> {
    if node.phase() >= Phase::Finishing || node.fleet.is_superseded() {
        return Err(Error::from(ErrorKind::Leaving));
    }
    if is_starting(&node.active_config.load()) {
        return Err(Error::new(ErrorKind::NoBackend, "this instance has no configuration yet"));
    }
    Ok(())
}

async fn answer(
    node: &Arc<Node>,
    head: CheckedHead,
    body: Incoming,
    at_work: RequestGuard,
) -> Result<Response<EntryBody>> {
    let once_key = head.idempotency_key.clone().filter(|_| !head.outbound.repeatable);
    match once_key {
        Some(key) => answer_once(node, head, &key, body).await,
        None => answer_streamed(node, head, body, at_work).await,
    }
}

async fn answer_once(
    node: &Arc<Node>,
    head: CheckedHead,
    key: &HeaderValue,
    body: Incoming,
) -> Result<Response<EntryBody>> {
    let key =
        key.to_str().ok().filter(|k| !k.is_empty() && k.len() <= MAX_IDEMPOTENCY_KEY_BYTES).ok_or_else(
            || {
                Error::from(ErrorKind::IdempotencyKeyMissing)
                    .hint(format!("send 1 to {MAX_IDEMPOTENCY_KEY_BYTES} printable characters"))
            },
        )?;
    let body = hold(body, head.outbound.policy.body_limit.0).await?;
    let hint = head.owner_hint.as_ref().and_then(|h| h.to_str().ok());
    let id = head.outbound.request_id.clone();
    let mut outbound = head.outbound;
    outbound.identify(Some(&body), Some(key));
    let answer = handle_once(node, outbound, OnceRequest { key, hint, body }).await?;
    Ok(from_whole(&answer, id))
}

async fn answer_streamed(
    node: &Arc<Node>,
    head: CheckedHead,
    body: Incoming,
    at_work: RequestGuard,
) -> Result<Response<EntryBody>> {
    let CheckedHead { mut outbound, key, idempotency_key, .. } = head;
    if let Some(name) = outbound.organisation_name() {
        let _span = outbound.trace.start_span("limit");
        admit(node, name, outbound.deadline).await?;
    }
    let body = request_body(&outbound, body).await?;
    outbound.identify(body.held(), idempotency_key.as_ref().and_then(|k| k.to_str().ok()));
    let sent_bytes = body.size_hint().exact().unwrap_or(0);
    let running = run(node, &outbound, body).await?;
    let rights = Rights {
        node: Arc::clone(node),
        key: key.zip(outbound.organisation.as_ref().map(|(_, name)| name.clone())),
        checked: outbound.active_config.snapshot.revision,
        deadline: outbound.deadline,
    };
    Ok(stream(running, &outbound, rights, at_work, sent_bytes))
}

fn stream(
    running: Running,
    outbound: &Outbound,
    rights: Rights,
    at_work: RequestGuard,
    sent_bytes: u64,
) -> Response<EntryBody> {
    let Running { answered, permit, alone } = running;
    let (parts, incoming) = answered.resp.into_parts();
    let framing = framing_of(&parts.headers, &incoming);
    let held = Held {
        connection: answered.connection,
        in_flight: answered.in_flight,
        permit,
        at_work,
        sent_bytes,
        fingerprint: outbound.fingerprint,
        alone,
    };
    let body = GuardedBody::new(incoming, framing, rights, held);
    let mut resp = Response::new(EntryBody::Guarded(Box::new(body)));
    *resp.status_mut() = parts.status;
    *resp.headers_mut() = caller_headers(&parts.headers, outbound.request_id.clone());
    resp
}

fn framing_of(headers: &http::HeaderMap, body: &Incoming) -> Framing {
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

// Small bodies are held; long ones are streamed and so sent once; ones of unknown length are held up to
// the limit, so that a limit passed in the middle is seen before anything is sent on.
async fn request_body(outbound: &Outbound, body: Incoming) -> Result<RequestBody> {
    if body.is_end_stream() {
        return Ok(RequestBody::Held(Bytes::new()));
    }
    let limit = outbound.policy.body_limit.0;
    match body.size_hint().exact() {
        Some(length) if length > HELD_BODY_BYTES => {
            Ok(RequestBody::Streamed { incoming: body, passed: 0, limit })
        }
        _ => hold(body, limit).await.map(RequestBody::Held),
    }
}

async fn hold(body: Incoming, limit: u64) -> Result<Bytes> {
    let limited = Limited::new(body, usize::try_from(limit).unwrap_or(usize::MAX));
    let collected = limited.collect().await.map_err(|e| {
        if e.is::<LengthLimitError>() {
            Error::new(ErrorKind::TooLarge, format!("the body is longer than {limit} bytes"))
        } else {
            Error::new(ErrorKind::BadRequest, format!("the body broke off: {e}"))
        }
    })?;
    Ok(collected.to_bytes())
}
