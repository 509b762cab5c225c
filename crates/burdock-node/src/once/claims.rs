//! Claims in the store, which record the owner of an idempotency key that does not name one.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use burdock_decide::membership::MemberState;
use burdock_decide::once::OnceKey;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::hash::rendezvous_order;
use burdock_model::ids::InstanceIncarnation;
use burdock_platform::store::StoreError;
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::observe::counters::Counter;

/// Prefix of the store keys of claims.
const CLAIM_PREFIX: &str = "once/";

/// Time that a claim is kept: longer than any instance remembers a key.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Time between two clean-ups.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(600);

/// Maximum number of claims checked in one clean-up.
const MAX_CHECKED_CLAIMS: usize = 2000;

/// Maximum number of attempts to write a claim if the store's answers are lost.
const MAX_ATTEMPTS: u32 = 3;

/// Stored form of a claim. It has no lease: a lease that lapses early would let a request run again.
#[derive(Debug, Serialize, Deserialize)]
struct Claim {
    owner: String,
    at_ms: u64,
}

/// Claims a key for `candidate` unless another instance has claimed it already. Returns the owner.
///
/// # Errors
/// [`ErrorKind::StoreDown`] if the store does not answer; this attempt was not run then.
pub async fn claim_owner(
    node: &Node,
    key: &OnceKey,
    candidate: &InstanceIncarnation,
) -> Result<InstanceIncarnation> {
    let store_key = claim_key(key);
    let value = Claim { owner: candidate.to_string(), at_ms: wall_clock_ms() };
    let value = serde_json::to_string(&value).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    for _ in 0..MAX_ATTEMPTS {
        node.counters.add(Counter::Claims);
        match node.store.write_if_version(&store_key, &value, 0).await {
            Ok(_) => return Ok(candidate.clone()),
            // The claim found may be our own, from an earlier attempt whose answer was lost.
            Err(StoreError::Conflict { .. }) => return read_owner(node, &store_key).await,
            Err(StoreError::AnswerLost { .. }) => {}
            Err(e) => return Err(store_down(&e)),
        }
    }
    Err(Error::new(ErrorKind::StoreDown, "the store does not answer, so the request was not run"))
}

async fn read_owner(node: &Node, store_key: &str) -> Result<InstanceIncarnation> {
    let found = node.store.read(store_key).await.map_err(|e| store_down(&e))?;
    let claim: Option<Claim> = found.and_then(|f| serde_json::from_str(&f.value).ok());
    let owner = claim.and_then(|c| InstanceIncarnation::parse(&c.owner));
    owner.ok_or_else(|| {
        Error::new(
            ErrorKind::StoreDown,
            "the claim of this idempotency key is missing or malformed; try again",
        )
    })
}

/// Deletes expired claims periodically, on one instance of the fleet.
pub async fn cleanup_loop(node: Arc<Node>) {
    let mut tick = tokio::time::interval(CLEANUP_INTERVAL);
    loop {
        tick.tick().await;
        if !is_cleanup_instance(&node) {
            continue;
        }
        if let Err(e) = delete_expired(&node).await {
            log::warn!("expired claims not deleted, tried again at the next clean-up: {e}");
        }
    }
}

async fn delete_expired(node: &Node) -> Result<()> {
    let listed = (node.store.list)(CLAIM_PREFIX.to_owned()).await?;
    for found in listed.into_iter().take(MAX_CHECKED_CLAIMS) {
        let Some(value) = node.store.read(&found.key).await? else {
            continue;
        };
        let age_ms =
            serde_json::from_str::<Claim>(&value.value).map(|c| wall_clock_ms().saturating_sub(c.at_ms));
        let is_expired = age_ms.is_ok_and(|age| u128::from(age) > CLAIM_RETENTION.as_millis());
        if is_expired {
            (node.store.delete)((found.key, value.version)).await?;
        }
    }
    Ok(())
}

fn is_cleanup_instance(node: &Node) -> bool {
    let view = node.fleet.view();
    let alive = view.entries.iter().filter(|e| e.member_state == MemberState::Alive);
    let first = rendezvous_order(8, alive, |e| e.incarnation.instance.as_str()).into_iter().next();
    node.fleet.may_take_over(node.clock.now()) && first.is_some_and(|e| e.incarnation == node.incarnation)
}

fn claim_key(key: &OnceKey) -> String {
    format!("{CLAIM_PREFIX}{}", hex::encode(key.0))
}

fn store_down(e: &StoreError) -> Error {
    Error::new(ErrorKind::StoreDown, format!("{e}; the request was not run"))
        .hint("an idempotency key that names its owner (`instance/incarnation:...`) needs no store")
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
