//! Handling of requests that may run only once: finds the owner of the key and runs the request there.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::membership::MemberState;
use burdock_decide::once::{AttemptRoute, OnceKey, OwnerSource, owner_source, route_attempt};
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::hash::{sha256, stable_hash};
use burdock_model::ids::InstanceIncarnation;
use burdock_platform::body::read_whole;
use burdock_wire::messages::{BufferedResponse, PeerAddress, PeerError, RelayedRequest};
use bytes::Bytes;

use crate::forward::body::RequestBody;
use crate::forward::outbound::Outbound;
use crate::forward::run::{RunningRequest, run_request};
use crate::limits::borrow::acquire_token;
use crate::node::Node;
use crate::observe::counters::Counter;
use crate::once::{BeginOutcome, OnceTable, claims};

/// Maximum size in bytes of the answer to a request with an idempotency key, which is retained for replays.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Extra time for the answer of a relayed request to come back.
const RELAY_MARGIN: Duration = Duration::from_millis(200);

/// A request with an idempotency key.
#[derive(Debug)]
pub struct OnceRequest<'a> {
    /// Idempotency key as sent by the caller.
    pub key: &'a str,
    /// The caller's hint at the owner of the key.
    pub hint: Option<&'a str>,
    /// Complete body of the request.
    pub body: Bytes,
}

/// Runs a request at most once for its key, and returns its answer or the retained one.
///
/// # Errors
/// A refusal. Its outcome `not-run` refers to this attempt only; a resend with the same key is always safe.
pub async fn handle(
    node: &Arc<Node>,
    outbound: Outbound,
    req: OnceRequest<'_>,
) -> Result<Arc<BufferedResponse>> {
    let organisation = outbound.organisation.as_ref().map_or("", |(_, name)| name.as_str());
    let key = OnceKey::new(organisation, req.key);
    let owner = match owner_source(req.key, req.hint) {
        OwnerSource::Named(incarnation) => incarnation,
        OwnerSource::Claimed(hint) => {
            let candidate = hint
                .filter(|incarnation| is_alive(node, incarnation))
                .unwrap_or_else(|| node.incarnation.clone());
            claims::claim_owner(node, &key, &candidate).await?
        }
    };
    let successor = node.fleet.successor(&owner);
    match route_attempt(&node.incarnation, &owner, is_alive(node, &owner), successor.as_ref()) {
        AttemptRoute::Local => run_locally(node, outbound, key, &owner, req.body).await,
        AttemptRoute::Relay(incarnation) | AttemptRoute::Successor(incarnation) => {
            let incarnation = incarnation.clone();
            relay(node, &outbound, &req, &owner, &incarnation).await.map(Arc::new)
        }
        AttemptRoute::OwnerGone => Err(owner_gone(&owner)),
    }
}

/// Runs a request whose key this instance owns, or replays the answer for a departed owner.
///
/// # Errors
/// As for [`handle`].
pub async fn run_locally(
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
            BeginOutcome::Run(reservation) => reservation,
            BeginOutcome::Replay(answer) => {
                node.counters.add(Counter::Replays);
                return Ok(answer);
            }
            BeginOutcome::Join(done) => {
                wait_for_attempt(node, &outbound, &done).await?;
                continue;
            }
        };
        // The request continues if the caller disconnects, so that a resend finds its outcome.
        let node = Arc::clone(node);
        let work = tokio::spawn(async move {
            let result = run_once(&node, &outbound, body, &reservation).await;
            reservation.complete(result)
        });
        return work.await.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    }
}

// The wait is short because the other attempt may end between the check and the start of the wait.
async fn wait_for_attempt(node: &Node, outbound: &Outbound, done: &tokio::sync::Notify) -> Result<()> {
    const RECHECK_INTERVAL: Duration = Duration::from_millis(50);
    if node.clock.now() >= outbound.deadline {
        return Err(Error::new(
            ErrorKind::DeadlineAfter,
            "an earlier attempt with this idempotency key is still running",
        ));
    }
    let _woken = tokio::time::timeout(RECHECK_INTERVAL, done.notified()).await;
    Ok(())
}

async fn run_once(
    node: &Arc<Node>,
    outbound: &Outbound,
    body: Bytes,
    reservation: &super::Reservation,
) -> Result<BufferedResponse> {
    if let Some((_, name)) = &outbound.organisation {
        acquire_token(node, name, outbound.deadline).await?;
    }
    reservation.mark_started();
    let sent_bytes = body.len() as u64;
    let running = run_request(node, outbound, RequestBody::Buffered(body)).await?;
    collect_response(node, outbound, running, sent_bytes).await
}

async fn collect_response(
    node: &Node,
    outbound: &Outbound,
    running: RunningRequest,
    sent_bytes: u64,
) -> Result<BufferedResponse> {
    let RunningRequest { response, permit, runs_alone } = running;
    let (parts, body) = response.resp.into_parts();
    let deadline = node.clock.instant(outbound.deadline);
    let collected = tokio::time::timeout_at(deadline, read_whole(body, MAX_ANSWER_BYTES)).await;
    let collected = collected.map_err(|_elapsed| Error::from(ErrorKind::DeadlineAfter))?;
    let backend = response.in_flight.backend();
    let body = match collected {
        Ok(body) => body,
        Err(e) => {
            let crashed = !backend.pool.accepts_connections().await;
            if crashed {
                node.quarantine.record_crash(outbound.fingerprint, &backend.id, node.clock.now());
            }
            let detail = format!("backend server `{}` broke off its answer: {e}", backend.id);
            return Err(Error::new(ErrorKind::BadAnswer, detail));
        }
    };
    backend.record_outcome(true, node.clock.now());
    node.record_bytes(&backend.region, body.len() as u64 + sent_bytes);
    backend.pool.release(response.connection);
    if runs_alone {
        node.quarantine.clear(outbound.fingerprint, node.clock.now());
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
    let remaining = outbound.deadline.since(node.clock.now());
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
        remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
        traceparent: outbound.trace.outgoing().unwrap_or_default(),
        request_id: outbound.request_id.to_str().unwrap_or_default().to_owned(),
        owner: owner.clone(),
    };
    let peer = PeerAddress { id: to.instance.clone(), address };
    match node.peers.relay(&peer, relayed, remaining + RELAY_MARGIN).await {
        Ok(result) => result,
        Err(PeerError::NotSent(detail) | PeerError::Lost(detail)) => Err(owner_gone(owner).at(detail)),
    }
}

fn is_alive(node: &Node, incarnation: &InstanceIncarnation) -> bool {
    *incarnation == node.incarnation
        || node
            .fleet
            .view()
            .entries
            .iter()
            .any(|e| e.incarnation == *incarnation && e.member_state != MemberState::Suspect)
}

// An unreachable owner may have run an earlier attempt, so the outcome is unknown.
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
