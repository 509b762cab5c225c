//! Watching the store, and passing on what changes.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::membership::{MemberState, select_watchers};
use burdock_model::error::Result;
use burdock_model::ids::{InstanceId, Revision};
use burdock_platform::config::{HEAD_KEY, read_head};
use burdock_platform::store::Watch;
use burdock_wire::messages::{PeerAddress, ShareBucket};

use tokio::task::JoinHandle;

use crate::fleet::{Entry, install};
use crate::limits::records::{self, SHARES_PREFIX};
use crate::node::{Node, Phase};

/// Prefix of what is watched: the head and the share records.
const PREFIX: &str = "fleet/";

/// The longest that one watch waits. It bounds the age of a confirmation.
const WAIT: Duration = Duration::from_millis(500);

/// The pause after a watch that failed; each is drawn from half to all of it.
const PAUSE: Duration = Duration::from_millis(400);

/// How often an instance that does not watch looks whether it should.
const STANDBY: Duration = Duration::from_millis(500);

/// How long an accepted change waits for others to have it in force before its operator is answered.
const ACCEPT_WAIT: Duration = Duration::from_millis(500);

/// Time between two readings of the platform's list.
const LIST_INTERVAL: Duration = Duration::from_millis(2000);

/// Watches the store while this instance is one of its zone's watchers, or has no configuration yet.
pub async fn watch_loop(node: Arc<Node>) {
    let mut index = 0;
    loop {
        if !is_watcher(&node) && node.phase() != Phase::Starting {
            index = 0;
            tokio::time::sleep(STANDBY).await;
            continue;
        }
        match watch_once(&node, index).await {
            Ok(next) => index = next,
            Err(_) => tokio::time::sleep(PAUSE.mul_f64(rand::random_range(0.5..1.0))).await,
        }
    }
}

/// Reads the platform's list of instances, again and again.
pub async fn list_loop(node: Arc<Node>) {
    loop {
        if let Ok(list) = (node.store.instances)(()).await
            && node.fleet.take_list(&list, node.clock.now())
        {
            records::apply(&node);
        }
        // In a large fleet only some need a fresh list; heartbeats tell the rest.
        let factor = if is_watcher(&node) { 1.0 } else { 5.0 };
        tokio::time::sleep(LIST_INTERVAL.mul_f64(factor * rand::random_range(0.8..1.0))).await;
    }
}

/// Tells others that a revision is in force here: the watchers tell their zone.
pub fn pass_on(node: &Arc<Node>, revision: Revision) {
    if is_watcher(node) {
        let zone = node.settings.zone.clone();
        let _in_background = tell(node, revision, |e| e.zone == zone);
    }
}

/// Tells the watchers of every zone, and the own zone, that a revision was accepted here, and waits a
/// moment for them to have it in force.
pub async fn tell_fleet(node: &Arc<Node>, revision: Revision) {
    let members = node.fleet.members();
    let zones: std::collections::BTreeSet<_> = members.iter().map(|m| m.zone.clone()).collect();
    let told: Vec<_> =
        zones.iter().flat_map(|z| select_watchers(z, members.iter())).map(|m| m.id.clone()).collect();
    let own_zone = node.settings.zone.clone();
    let telling = tell(node, revision, |e| e.zone == own_zone || told.contains(&e.life.instance));
    // Who is slower has it a little later, by this message or by the next round.
    let _late = tokio::time::timeout(ACCEPT_WAIT, futures::future::join_all(telling)).await;
}

// Who misses the message hears of the revision in the next round.
fn tell(node: &Arc<Node>, revision: Revision, to: impl Fn(&Entry) -> bool) -> Vec<JoinHandle<()>> {
    let view = node.fleet.view();
    let behind = |e: &&Entry| {
        e.life != node.incarnation && e.revision < revision && e.member_state != MemberState::Suspect
    };
    let mut telling = Vec::new();
    for entry in view.entries.iter().filter(behind).filter(|e| to(e)) {
        let peer = PeerAddress { id: entry.life.instance.clone(), address: entry.peer_address };
        let node = Arc::clone(node);
        telling.push(tokio::spawn(async move {
            let _missed = node.peers.notify_head_changed(&peer, revision).await;
        }));
    }
    telling
}

async fn watch_once(node: &Arc<Node>, index: u64) -> Result<u64> {
    let asked = node.clock.now();
    // The first answer comes at once and tells everything that is there.
    let wait = if index == 0 { Duration::ZERO } else { WAIT };
    let watch = Watch { prefix: PREFIX.to_owned(), since: index, wait };
    let answer = (node.store.watch)(watch).await?;
    let changed = |key: &str| answer.changes.iter().any(|c| c.key == key);
    if index == 0 || changed(HEAD_KEY) {
        install::install_stored(node, read_head(&node.store).await?).await?;
    }
    let mut news = false;
    for change in answer.changes.iter().filter(|c| c.key.starts_with(SHARES_PREFIX)) {
        news |= take_bucket(node, &change.key).await?;
    }
    if news {
        records::apply(node);
    }
    node.fleet.confirm_store(asked);
    Ok(answer.index)
}

async fn take_bucket(node: &Node, key: &str) -> Result<bool> {
    let Some(bucket) = key.strip_prefix(SHARES_PREFIX).and_then(|b| b.parse().ok()) else {
        return Ok(false);
    };
    let Some(found) = node.store.read(key).await? else {
        return Ok(false);
    };
    node.limits
        .records
        .take(&ShareBucket { bucket, version: found.version, records: found.value }, node.clock.now())
}

fn is_watcher(node: &Node) -> bool {
    let members = node.fleet.members();
    // Members that are silent or leaving don't count, so that a zone is never without a watcher for long.
    let view = node.fleet.view();
    let alive = |id: &InstanceId| {
        view.entries.iter().any(|e| e.life.instance == *id && e.member_state == MemberState::Alive)
    };
    let candidates = members.iter().filter(|m| m.id == node.incarnation.instance || alive(&m.id));
    select_watchers(&node.settings.zone, candidates).iter().any(|m| m.id == node.incarnation.instance)
}
