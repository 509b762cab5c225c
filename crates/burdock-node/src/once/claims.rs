//! Claims in the store: who owns an idempotency key that does not name its owner.

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

/// Prefix of claims in the store.
const PREFIX: &str = "once/";

/// How long a claim is kept: longer than any instance remembers a key.
const KEPT: Duration = Duration::from_secs(24 * 3600);

/// Time between two clean-ups.
const CLEAN_INTERVAL: Duration = Duration::from_secs(600);

/// Old claims deleted in one clean-up.
const MAX_CLEANED: usize = 2000;

/// Attempts at a claim whose answer was lost.
const ATTEMPTS: u32 = 3;

/// A claim as stored. It holds no lease: a lease that lapses early would let a request run again.
#[derive(Debug, Serialize, Deserialize)]
struct Claim {
    owner: String,
    at_ms: u64,
}

/// Claims a key for `candidate` unless it is claimed already. Returns the owner.
///
/// # Errors
/// [`ErrorKind::StoreDown`] when the store can't tell; nothing ran by this attempt.
pub async fn claim(
    node: &Node,
    key: &OnceKey,
    candidate: &InstanceIncarnation,
) -> Result<InstanceIncarnation> {
    let store_key = key_of(key);
    let value = Claim { owner: candidate.to_string(), at_ms: wall_clock_ms() };
    let value = serde_json::to_string(&value).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    for _ in 0..ATTEMPTS {
        node.counters.add(Counter::Claims);
        match node.store.write_if(&store_key, &value, 0).await {
            Ok(_) => return Ok(candidate.clone()),
            // An earlier try whose answer was lost may be what is found: then the claim is ours.
            Err(StoreError::Conflict { .. }) => return read(node, &store_key).await,
            Err(StoreError::AnswerLost { .. }) => {}
            Err(e) => return Err(store_down(&e)),
        }
    }
    Err(Error::new(ErrorKind::StoreDown, "the store does not answer, so the request was not run"))
}

async fn read(node: &Node, store_key: &str) -> Result<InstanceIncarnation> {
    let found = node.store.read(store_key).await.map_err(|e| store_down(&e))?;
    let claim: Option<Claim> = found.and_then(|f| serde_json::from_str(&f.value).ok());
    let owner = claim.and_then(|c| InstanceIncarnation::parse(&c.owner));
    owner.ok_or_else(|| Error::new(ErrorKind::StoreDown, "the claim changed while it was read; try again"))
}

/// Deletes old claims, again and again, on one instance of the fleet.
pub async fn clean_loop(node: Arc<Node>) {
    let mut tick = tokio::time::interval(CLEAN_INTERVAL);
    loop {
        tick.tick().await;
        if !is_cleaner(&node) {
            continue;
        }
        if let Err(e) = clean(&node).await {
            log::warn!("clean-up of claims: {e}");
        }
    }
}

async fn clean(node: &Node) -> Result<()> {
    let listed = (node.store.list)(PREFIX.to_owned()).await?;
    for found in listed.into_iter().take(MAX_CLEANED) {
        let Some(value) = node.store.read(&found.key).await? else {
            continue;
        };
        let age_ms =
            serde_json::from_str::<Claim>(&value.value).map(|c| wall_clock_ms().saturating_sub(c.at_ms));
        let old = age_ms.is_ok_and(|age| u128::from(age) > KEPT.as_millis());
        if old {
            (node.store.delete)((found.key, value.version)).await?;
        }
    }
    Ok(())
}

fn is_cleaner(node: &Node) -> bool {
    let view = node.fleet.view();
    let alive = view.entries.iter().filter(|e| e.member_state == MemberState::Alive);
    let first = rendezvous_order(8, alive, |e| e.life.instance.as_str()).into_iter().next();
    node.fleet.may_take_over(node.clock.now()) && first.is_some_and(|e| e.life == node.incarnation)
}

fn key_of(key: &OnceKey) -> String {
    format!("{PREFIX}{}", hex::encode(key.0))
}

fn store_down(e: &StoreError) -> Error {
    Error::new(ErrorKind::StoreDown, format!("{e}; the request was not run"))
        .hint("name the owner in the idempotency key (`instance/incarnation:...`) to need no store")
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
