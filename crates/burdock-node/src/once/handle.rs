//! The way of a request that may not be repeated: find its owner, run it there once.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::membership::MemberState;
use burdock_decide::once::{AttemptRoute, OnceKey, OwnerSource, owner_source, route_attempt};
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::hash::{sha256, stable_hash};
use burdock_model::ids::InstanceIncarnation;
use burdock_wire::messages::{BufferedResponse, PeerAddress, PeerError, RelayedRequest};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};

use crate::forward::body::RequestBody;
use crate::forward::outbound::Outbound;
use crate::forward::run::{Running, run};
use crate::limits::borrow::admit;
use crate::node::Node;
use crate::observe::counters::Counter;
use crate::once::{Begun, OnceTable, claims};

/// The largest answer to a request that may not be repeated, in bytes: it is held to be given again.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Added to a relayed request's time for the way back.
const RELAY_MARGIN: Duration = Duration::from_millis(200);

/// A request with an idempotency key.
#[derive(Debug)]
pub struct OnceRequest<'a> {
    /// The key.
    pub key: &'a str,
    /// The caller's hint at an owner.
    pub hint: Option<&'a str>,
    /// The whole body.
    pub body: Bytes,
}

/// Runs a request at most once for its key and returns its answer, or the one given before.
///
/// # Errors
/// A refusal. `not-run` speaks of this attempt; a resend with the same key is always safe.
pub async fn handle(
    node: &Arc<Node>,
    outbound: Outbound,
    req: OnceRequest<'_>,
) -> Result<Arc<BufferedResponse>> {
    let organisation = outbound.organisation.as_ref().map_or("", |(_, name)| name.as_str());
    let key = OnceKey::new(organisation, req.key);
    let owner = match owner_source(req.key, req.hint) {
        OwnerSource::Named(life) => life,
        OwnerSource::Claimed(hint) => {
            let candidate =
                hint.filter(|life| is_alive(node, life)).unwrap_or_else(|| node.incarnation.clone());
            claims::claim(node, &key, &candidate).await?
        }
    };
    let successor = node.fleet.successor(&owner);
    match route_attempt(&node.incarnation, &owner, is_alive(node, &owner), successor.as_ref()) {
        AttemptRoute::Local => run_here(node, outbound, key, &owner, req.body).await,
        AttemptRoute::Relay(life) | AttemptRoute::Successor(life) => {
            let life = life.clone();
            relay(node, &outbound, &req, &owner, &life).await.map(Arc::new)
        }
        AttemptRoute::OwnerGone => Err(owner_gone(&owner)),
    }
}

/// Runs a request whose key this instance owns, or answers for a life that left.
///
/// # Errors
/// As [`handle`].
pub async fn run_here(
    node: &Arc<Node>,
    outbound: Outbound,
    key: OnceKey,
    owner: &InstanceIncarnation,
    body: Bytes,
) -> Result<Arc<BufferedResponse>> {
    let fingerprint = request_hash(&outbound, &body);
    if *owner != node.incarnation {
        return node.once.replay(key, fingerprint).inspect(|_| node.counters.add(Counter::Replays));
    }
    loop {
        let reservation = match OnceTable::begin(node, key, fingerprint)? {
            Begun::Run(reservation) => reservation,
            Begun::Replay(answer) => {
                node.counters.add(Counter::Replays);
                return Ok(answer);
            }
            Begun::Join(done) => {
                join(node, &outbound, &done).await?;
                continue;
            }
        };
        // The caller may go away; the request runs on, so that its outcome is known to a resend.
        let node = Arc::clone(node);
        let work = tokio::spawn(async move {
            let result = run_once(&node, &outbound, body, &reservation).await;
            reservation.report(result)
        });
        return work.await.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    }
}

// A short wait at most: what is waited for may be done between the look and the wait.
async fn join(node: &Node, outbound: &Outbound, done: &tokio::sync::Notify) -> Result<()> {
    const LOOK_AGAIN: Duration = Duration::from_millis(50);
    if node.clock.now() >= outbound.deadline {
        return Err(Error::new(
            ErrorKind::DeadlineAfter,
            "an earlier attempt with this key is still at work",
        ));
    }
    let _woken = tokio::time::timeout(LOOK_AGAIN, done.notified()).await;
    Ok(())
}

async fn run_once(
    node: &Arc<Node>,
    outbound: &Outbound,
    body: Bytes,
    reservation: &super::Reservation,
) -> Result<BufferedResponse> {
    if let Some((_, name)) = &outbound.organisation {
        admit(node, name, outbound.deadline).await?;
    }
    reservation.started();
    let sent_bytes = body.len() as u64;
    let running = run(node, outbound, RequestBody::Held(body)).await?;
    collect(node, outbound, running, sent_bytes).await
}

async fn collect(
    node: &Node,
    outbound: &Outbound,
    running: Running,
    sent_bytes: u64,
) -> Result<BufferedResponse> {
    let Running { answered, permit, alone } = running;
    let (parts, body) = answered.resp.into_parts();
    let deadline = node.clock.instant(outbound.deadline);
    let whole = tokio::time::timeout_at(deadline, Limited::new(body, MAX_ANSWER_BYTES).collect()).await;
    let whole = whole.map_err(|_elapsed| Error::from(ErrorKind::DeadlineAfter))?;
    let backend = answered.in_flight.backend();
    let body = match whole {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            let crashed = !backend.pool.accepts().await;
            if crashed {
                node.quarantine.crashed(outbound.fingerprint, &backend.id, node.clock.now());
            }
            let detail = format!("backend server `{}` cut its answer: {e}", backend.id);
            return Err(Error::new(ErrorKind::BadAnswer, detail));
        }
    };
    backend.outcome(true, node.clock.now());
    node.record_bytes(&backend.region, body.len() as u64 + sent_bytes);
    backend.pool.put(answered.connection);
    if alone {
        node.quarantine.cleared(outbound.fingerprint, node.clock.now());
    }
    drop(permit);
    let headers = parts.headers.iter().map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec())).collect();
    Ok(BufferedResponse { status: parts.status.as_u16(), headers, body: body.to_vec() })
}

async fn relay(
    node: &Arc<Node>,
    outbound: &Outbound,
    req: &OnceRequest<'_>,
    owner: &InstanceIncarnation,
    to: &InstanceIncarnation,
) -> Result<BufferedResponse> {
    let _span = outbound.trace.start_span("relay");
    let Some(address) = node.fleet.peer_address(&to.instance) else {
        return Err(owner_gone(owner));
    };
    node.counters.add(Counter::Relays);
    let left = outbound.deadline.since(node.clock.now());
    let relayed = RelayedRequest {
        organisation: outbound.organisation.as_ref().map_or_else(String::new, |(_, n)| n.as_str().to_owned()),
        method: outbound.method.as_str().to_owned(),
        target: outbound.target.to_string(),
        host: header(outbound, &http::header::HOST),
        headers: outbound
            .headers
            .iter()
            .map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec()))
            .collect(),
        body: req.body.to_vec(),
        idempotency_key: req.key.to_owned(),
        remaining_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        traceparent: outbound.trace.outgoing().unwrap_or_default(),
        request_id: outbound.request_id.to_str().unwrap_or_default().to_owned(),
        owner: owner.clone(),
    };
    let peer = PeerAddress { id: to.instance.clone(), address };
    match node.peers.relay(&peer, relayed, left + RELAY_MARGIN).await {
        Ok(result) => result,
        Err(PeerError::NotSent(detail) | PeerError::Lost(detail)) => Err(owner_gone(owner).at(detail)),
    }
}

fn is_alive(node: &Node, life: &InstanceIncarnation) -> bool {
    *life == node.incarnation
        || node.fleet.view().entries.iter().any(|e| e.life == *life && e.member_state != MemberState::Suspect)
}

// An owner that can't be reached may have run an earlier attempt, so the outcome is unknown.
fn owner_gone(owner: &InstanceIncarnation) -> Error {
    Error::new(ErrorKind::OwnerGone, format!("`{owner}` owns this idempotency key and can't be reached"))
        .hint("this attempt did not run; an earlier one may have")
}

fn request_hash(outbound: &Outbound, body: &Bytes) -> u64 {
    let mut hash = stable_hash(outbound.method.as_str().as_bytes(), 9);
    hash = stable_hash(outbound.target.path().as_bytes(), hash);
    stable_hash(&sha256(body), hash)
}

fn header(outbound: &Outbound, name: &http::HeaderName) -> String {
    outbound.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
}
