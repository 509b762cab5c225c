//! Following what the store holds.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use burdock_model::ids::{BackendId, InstanceId, ZoneName};
use burdock_model::site::{PlanIndex, SiteChange};
use burdock_platform::decode::change_of;
use burdock_platform::kv::{Record, Records, Watched};
use burdock_platform::store::StoreResult;

use crate::node::Phase;
use crate::observe::counters::Counter;
use crate::site::SiteNode;

/// The longest wait for changes in one call. A connection that has gone silent is noticed this much later, at most.
const WATCH_WAIT: Duration = Duration::from_millis(3500);

/// The pause after a failed call, drawn from half to all of it.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// How often entries are swept.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Everything that instances read lies under this prefix.
const ALL: &str = "";

/// Follows the store until the process ends.
pub async fn follow_loop(node: Arc<SiteNode>) {
    let mut revision = None;
    let mut failing = false;
    loop {
        let step = match revision {
            None => read_all(&node).await.map(Some),
            Some(after) => follow(&node, after).await,
        };
        match step {
            Ok(next) => {
                if failing {
                    node.table.store_back(node.clock.now());
                    log::info!("the store answers again");
                }
                failing = false;
                revision = next;
            }
            Err(e) => {
                if !failing {
                    log::warn!(revision:? = revision; "the store does not answer: {e}");
                }
                failing = true;
                node.table.store_back(node.clock.now());
                tokio::time::sleep(RETRY_PAUSE.mul_f64(rand::random_range(0.5..1.0))).await;
            }
        }
    }
}

/// Sweeps what is known of backend servers and instances.
pub async fn sweep_loop(node: Arc<SiteNode>) {
    let mut tick = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        tick.tick().await;
        let now = node.clock.now();
        node.table.sweep(now);
        node.fleet.sweep(now);
    }
}

async fn read_all(node: &SiteNode) -> StoreResult<u64> {
    let Records { records, revision } = node.kv.read(ALL, false).await?;
    let mut listed = Listed::default();
    for record in &records {
        apply(node, record, Some(&mut listed));
    }
    let now = node.clock.now();
    node.table.retain(&listed.backends, &listed.evacuated, &node.plan.load(), now);
    for instance in node.fleet.listed() {
        if !listed.instances.contains(&instance.id) {
            node.fleet.take(&instance.id, None, now);
        }
    }
    if node.plan.load().is_published() {
        node.advance(Phase::Ready);
    }
    Ok(revision)
}

async fn follow(node: &SiteNode, after: u64) -> StoreResult<Option<u64>> {
    match node.kv.watch(ALL, after, WATCH_WAIT).await? {
        Watched::HistoryGone => {
            log::warn!(revision = after; "the store's history is gone; reading all anew");
            Ok(None)
        }
        Watched::Changes(Records { records, revision }) => {
            for record in &records {
                apply(node, record, None);
            }
            if node.plan.load().is_published() {
                node.advance(Phase::Ready);
            }
            Ok(Some(revision))
        }
    }
}

#[derive(Default)]
struct Listed {
    backends: BTreeSet<BackendId>,
    instances: BTreeSet<InstanceId>,
    evacuated: BTreeSet<ZoneName>,
}

fn apply(node: &SiteNode, record: &Record, listed: Option<&mut Listed>) {
    let change = match change_of(record) {
        Ok(Some(change)) => change,
        Ok(None) => return,
        Err(e) => {
            node.counters.add(Counter::InstallsFailed);
            log::warn!(key = record.key.as_str(), revision = record.revision; "left out: {e}");
            return;
        }
    };
    let now = node.clock.now();
    let plan = node.plan.load();
    match change {
        SiteChange::Plan(new) => {
            let held = plan.plan.version;
            if new.version <= held {
                log::warn!(held = held, found = new.version; "an older configuration is left out");
                return;
            }
            log::info!(version = new.version, before = held, revision = record.revision; "configuration in force");
            node.counters.add(Counter::Installs);
            node.plan.store(Arc::new(PlanIndex::new(new)));
        }
        SiteChange::Backend(id, entry) => {
            node.table.take(&plan, &id, entry.as_ref(), now);
            if let (Some(listed), Some(_)) = (listed, entry) {
                listed.backends.insert(id);
            }
        }
        SiteChange::Evacuation(zone, evacuated) => {
            node.table.set_evacuated(&plan, &zone, evacuated, now);
            if let (Some(listed), true) = (listed, evacuated) {
                listed.evacuated.insert(zone);
            }
        }
        SiteChange::Instance(id, entry) => {
            if let (Some(listed), Some(_)) = (listed, &entry) {
                listed.instances.insert(id.clone());
            }
            node.fleet.take(&id, entry, now);
        }
    }
}
