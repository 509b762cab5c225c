//! Following what the store holds.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use burdock_decide::backoff::backoff_delay;
use burdock_decide::time::Time;
use burdock_model::ids::{BackendId, InstanceId, ZoneName};
use burdock_model::site::{SiteChange, SiteConfigIndex};
use burdock_platform::decode::decode_change;
use burdock_platform::kv::{Record, WatchOutcome};
use burdock_platform::store::StoreResult;
use burdock_wire::messages::StoreDelta;

use crate::observe::counters::Counter;
use crate::phase::Phase;
use crate::site::SiteNode;
use crate::site::mirror::records_of;

/// The longest wait for changes in one call. What a hub relays is at most this old and a round trip to the store.
const WATCH_WAIT: Duration = Duration::from_millis(700);

/// The pause after changes, so that those which come together are read in one call.
const BATCH_PAUSE: Duration = Duration::from_millis(60);

/// How often an instance that lives by relays looks whether they still come.
const RELAY_LOOK: Duration = Duration::from_millis(100);

/// The pause after the first failed call. It is doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// The longest pause of a hub, on which the others of its region rely.
const LONGEST_HUB_PAUSE: Duration = Duration::from_millis(800);

/// The longest pause of another instance: its hub tells it when the store is back, so it tries for itself only in case
/// that the hub alone is cut off.
const LONGEST_PAUSE: Duration = Duration::from_millis(2500);

/// How often entries are swept.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Everything that instances read lies under this prefix.
const ALL: &str = "";

/// Follows the store until the process ends: by a watch of its own as a hub or when no hub relays, else by what
/// the hub relays with each report.
pub async fn follow_loop(node: Arc<SiteNode>) {
    let mut failures = 0;
    loop {
        let now = node.clock.now();
        let is_hub = node.hub.hub_of(&node, &node.settings.region).is_none();
        if !is_hub && node.mirror.is_fresh(now) {
            tokio::time::sleep(RELAY_LOOK).await;
            continue;
        }
        let step = match node.mirror.revision() {
            None => read_all(&node).await,
            Some(after) => watch(&node, after).await,
        };
        match step {
            Ok(()) => {
                if failures > 0 {
                    node.table.note_store_trouble(node.clock.now());
                    log::info!(failures = failures; "the store answers again");
                }
                failures = 0;
            }
            Err(e) => {
                if failures == 0 {
                    log::warn!(revision:? = node.mirror.revision(); "the store does not answer: {e}");
                }
                failures += 1;
                node.table.note_store_trouble(node.clock.now());
                let longest = if is_hub { LONGEST_HUB_PAUSE } else { LONGEST_PAUSE };
                tokio::time::sleep(backoff_delay(failures, FIRST_PAUSE, longest, rand::random())).await;
            }
        }
    }
}

/// Takes in what a hub relayed, asked for at a time and from a revision.
pub fn relayed(node: &SiteNode, news: StoreDelta, asked: Time, from: u64) {
    let Some(age) = news.confirmed_age_ms.filter(|_| news.is_complete) else {
        return;
    };
    let confirmed = asked - Duration::from_millis(u64::from(age));
    let records = match records_of(news) {
        Ok(records) => records,
        Err(e) => {
            log::warn!(revision = from; "what the hub relayed can't be read: {e}");
            return;
        }
    };
    node.mirror.extend(from, records, confirmed, |records| apply_all(node, records));
}

/// Sweeps what is known of backend servers and instances.
pub async fn sweep_loop(node: Arc<SiteNode>) {
    let mut tick = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        tick.tick().await;
        let now = node.clock.now();
        node.table.sweep(now);
        node.fleet.sweep(now);
        node.quarantine.sweep(now);
    }
}

async fn read_all(node: &SiteNode) -> StoreResult<()> {
    let asked = node.clock.now();
    let all = node.kv.read_prefix(ALL, false).await?;
    node.mirror.restart(&all, asked, |records| {
        let mut listed = Listed::default();
        for record in records {
            apply(node, record, Some(&mut listed));
        }
        let now = node.clock.now();
        node.table.retain(&listed.backends, &listed.evacuated, &node.plan.load(), now);
        for instance in &node.fleet.view().listed {
            if !listed.instances.contains(&instance.id) {
                node.fleet.take(&instance.id, None, now);
            }
        }
        if !listed.instances.contains(&node.life.instance) {
            node.fleet.own_entry_missing(all.revision);
        }
    });
    ready_if_published(node);
    Ok(())
}

async fn watch(node: &SiteNode, after: u64) -> StoreResult<()> {
    let asked = node.clock.now();
    match node.kv.watch(ALL, after, WATCH_WAIT).await? {
        WatchOutcome::HistoryCompacted => {
            log::warn!(revision = after; "the store's history is gone; reading all anew");
            node.mirror.forget();
        }
        WatchOutcome::Changes(changes) => {
            let any = !changes.records.is_empty();
            // The store gave an answer without changes only after the whole wait.
            let confirmed = if any { asked } else { asked + WATCH_WAIT };
            node.mirror.extend(after, changes, confirmed, |records| apply_all(node, records));
            if any {
                tokio::time::sleep(BATCH_PAUSE).await;
            }
        }
    }
    Ok(())
}

fn apply_all(node: &SiteNode, records: &[Record]) {
    let missing = records.iter().filter(|r| r.value.is_none() && is_backend(r)).count();
    node.table.note_missing(missing, node.clock.now());
    for record in records {
        apply(node, record, None);
    }
    ready_if_published(node);
}

fn is_backend(record: &Record) -> bool {
    matches!(decode_change(record), Ok(Some(SiteChange::Backend(..))))
}

fn ready_if_published(node: &SiteNode) {
    if node.plan.load().is_published() {
        node.advance(Phase::Ready);
    }
}

#[derive(Default)]
struct Listed {
    backends: BTreeSet<BackendId>,
    instances: BTreeSet<InstanceId>,
    evacuated: BTreeSet<ZoneName>,
}

fn apply(node: &SiteNode, record: &Record, listed: Option<&mut Listed>) {
    let change = match decode_change(record) {
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
        SiteChange::Config(new) => {
            let held = plan.config.version;
            if new.version <= held {
                log::warn!(held = held, found = new.version; "an older configuration is left out");
                return;
            }
            log::info!(version = new.version, before = held, revision = record.revision; "configuration in force");
            node.counters.add(Counter::Installs);
            node.plan.store(Arc::new(SiteConfigIndex::new(new)));
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
            if entry.is_none() && id == node.life.instance {
                node.fleet.own_entry_missing(record.revision);
            }
            node.fleet.take(&id, entry, now);
        }
        SiteChange::FleetSize(count) => node.fleet.set_recorded(count),
    }
}
