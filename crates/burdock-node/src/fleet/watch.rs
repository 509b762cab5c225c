//! Watching the store and notifying other instances of changes.

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

/// Prefix of the watched keys: the head and the share records.
const WATCH_PREFIX: &str = "fleet/";

/// Maximum time that one watch call waits. It bounds the age of the confirmed store state.
const MAX_WATCH_TIME: Duration = Duration::from_millis(500);

/// Maximum back-off after a failed watch; the actual one is random, from half of it upwards.
const RETRY_BACKOFF: Duration = Duration::from_millis(400);

/// Interval at which an instance that does not watch checks whether it should.
const STANDBY_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time that the reply to an operator waits for other instances to install the accepted change.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two reads of the platform's list of instances.
const LIST_INTERVAL: Duration = Duration::from_millis(2000);

/// Watches the store while this instance is one of its zone's watchers, or has no configuration yet.
pub async fn watch_loop(node: Arc<Node>) {
    let mut index = 0;
    loop {
        if !is_watcher(&node) && node.phase() != Phase::Starting {
            index = 0;
            tokio::time::sleep(STANDBY_POLL_INTERVAL).await;
            continue;
        }
        match poll_watch(&node, index).await {
            Ok(next) => index = next,
            Err(_) => tokio::time::sleep(RETRY_BACKOFF.mul_f64(rand::random_range(0.5..1.0))).await,
        }
    }
}

/// Reads the platform's list of instances periodically.
pub async fn list_loop(node: Arc<Node>) {
    loop {
        if let Ok(list) = (node.store.instances)(()).await
            && node.fleet.apply_instance_list(&list, node.clock.now())
        {
            records::apply_allotments(&node);
        }
        // In a large fleet only watchers need a fresh list; the others learn of changes by heartbeats.
        let factor = if is_watcher(&node) { 1.0 } else { 5.0 };
        tokio::time::sleep(LIST_INTERVAL.mul_f64(factor * rand::random_range(0.8..1.0))).await;
    }
}

/// Notifies the local zone that a revision is in force here, if this instance is one of its watchers.
pub fn notify_zone(node: &Arc<Node>, revision: Revision) {
    if is_watcher(node) {
        let zone = node.settings.zone.clone();
        let _in_background = notify(node, revision, |e| e.zone == zone);
    }
}

/// Notifies the watchers of every zone, and the local zone, that a revision was accepted here, and waits up
/// to `ACCEPT_TIMEOUT` for them to install it.
pub async fn notify_fleet(node: &Arc<Node>, revision: Revision) {
    let members = node.fleet.members();
    let zones: std::collections::BTreeSet<_> = members.iter().map(|m| m.zone.clone()).collect();
    let watchers: Vec<_> =
        zones.iter().flat_map(|z| select_watchers(z, members.iter())).map(|m| m.id.clone()).collect();
    let own_zone = node.settings.zone.clone();
    let notifications =
        notify(node, revision, |e| e.zone == own_zone || watchers.contains(&e.incarnation.instance));
    // Slower instances install it later, by this notification or in the next gossip round.
    let _late = tokio::time::timeout(ACCEPT_TIMEOUT, futures::future::join_all(notifications)).await;
}

// An instance that misses the notification learns of the revision in the next gossip round.
fn notify(node: &Arc<Node>, revision: Revision, is_target: impl Fn(&Entry) -> bool) -> Vec<JoinHandle<()>> {
    let view = node.fleet.view();
    let is_behind = |e: &&Entry| {
        e.incarnation != node.incarnation && e.revision < revision && e.member_state != MemberState::Suspect
    };
    let mut notifications = Vec::new();
    for entry in view.entries.iter().filter(is_behind).filter(|e| is_target(e)) {
        let peer = PeerAddress { id: entry.incarnation.instance.clone(), address: entry.peer_address };
        let node = Arc::clone(node);
        notifications.push(tokio::spawn(async move {
            let _missed = node.peers.notify_head_changed(&peer, revision).await;
        }));
    }
    notifications
}

async fn poll_watch(node: &Arc<Node>, index: u64) -> Result<u64> {
    let sent_at = node.clock.now();
    // The first watch returns at once, with all existing keys.
    let wait = if index == 0 { Duration::ZERO } else { MAX_WATCH_TIME };
    let watch = Watch { prefix: WATCH_PREFIX.to_owned(), since: index, wait };
    let answer = (node.store.watch)(watch).await?;
    let changed = |key: &str| answer.changes.iter().any(|c| c.key == key);
    if index == 0 || changed(HEAD_KEY) {
        install::install_stored(node, read_head(&node.store).await?).await?;
    }
    let mut records_changed = false;
    for change in answer.changes.iter().filter(|c| c.key.starts_with(SHARES_PREFIX)) {
        records_changed |= fetch_bucket(node, &change.key).await?;
    }
    if records_changed {
        records::apply_allotments(node);
    }
    node.fleet.record_store_confirmed(sent_at);
    Ok(answer.index)
}

async fn fetch_bucket(node: &Node, key: &str) -> Result<bool> {
    let Some(bucket) = key.strip_prefix(SHARES_PREFIX).and_then(|b| b.parse().ok()) else {
        return Ok(false);
    };
    let Some(found) = node.store.read(key).await? else {
        return Ok(false);
    };
    node.limits
        .records
        .apply_bucket(&ShareBucket { bucket, version: found.version, records: found.value }, node.clock.now())
}

fn is_watcher(node: &Node) -> bool {
    let members = node.fleet.members();
    // Suspect and leaving members are no candidates, so that a zone is never without a watcher for long.
    let view = node.fleet.view();
    let is_alive = |id: &InstanceId| {
        view.entries.iter().any(|e| e.incarnation.instance == *id && e.member_state == MemberState::Alive)
    };
    let candidates = members.iter().filter(|m| m.id == node.incarnation.instance || is_alive(&m.id));
    select_watchers(&node.settings.zone, candidates).iter().any(|m| m.id == node.incarnation.instance)
}
