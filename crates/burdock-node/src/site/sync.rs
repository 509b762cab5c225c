//! Following the store's changes and applying them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use burdock_decide::backoff::backoff_delay;
use burdock_decide::relay::{ChangeSource, RelayView, change_source};
use burdock_decide::time::Time;
use burdock_model::error::Error;
use burdock_model::hedging::HedgeLimits;
use burdock_model::ids::{BackendId, InstanceId, RegionName, ZoneName};
use burdock_model::site::{SiteChange, SiteConfigIndex};
use burdock_model::site_settings::is_small_class;
use burdock_model::store_position::StorePosition;
use burdock_platform::decode::{INSTANCE_PREFIX, decode_change, is_backend_entry, is_config, is_hedging};
use burdock_platform::kv::{Record, Records, WatchOutcome};
use burdock_platform::store::StoreResult;
use burdock_wire::messages::{PeerAddress, StoreDelta, TrafficReport};

use crate::observe::counters::Counter;
use crate::phase::Phase;
use crate::site::mirror::{MAX_RELAY_AGE, unpack_records};
use crate::site::{RejectedConfig, SiteNode, plan};

/// Maximum wait of a watch call. A hub's relays are at most this old, plus a round trip to the store.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(700);

/// Delay after changes, so that a burst of them is read in one call.
const BATCH_DELAY: Duration = Duration::from_millis(60);

/// Interval at which an instance that relies on relays checks that they still arrive.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after the first failed call, doubled with each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maximum retry delay of a hub, short because the other instances of its region rely on it.
const MAX_HUB_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Maximum retry delay of other instances. Their hub relays the store's return, so their own calls matter
/// only when the hub alone is cut off.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(2500);

/// Time limit of a call for another instance's changes, opening a session between regions included.
const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time for which a small instance waits for its hub to relay all keys.
const MAX_SNAPSHOT_WAIT: Duration = Duration::from_millis(1500);

/// Checks for a snapshot between two reads of the list of instances.
const POLLS_PER_LIST: usize = 4;

/// Interval between two removals of expired entries.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Prefix of all keys.
const ALL_KEYS: &str = "";

/// Follows the store until the process ends. A hub, or an instance without fresh relays, watches the store
/// itself; the others apply the changes that their hub relays with its answers to reports. A small instance asks
/// other instances before the store.
pub async fn follow_loop(node: Arc<SiteNode>) {
    let (mut failures, mut spread) = (0, rand::random());
    loop {
        let now = node.clock.now();
        let is_hub = node.hub.hub_of(&node, &node.settings.region).is_none();
        let source = change_source(&RelayView {
            confirmed_age: node.mirror.confirmed_at().map(|at| now.since(at)),
            is_small: node.settings.is_small(),
            apply_time: node.settings.bounds.config_apply_time,
            spread,
        });
        if !is_hub && source != ChangeSource::Store && node.mirror.position().is_some() {
            if let ChangeSource::Peers { time_left } = source {
                query_peer(&node, time_left.min(PEER_QUERY_TIMEOUT)).await;
            }
            tokio::time::sleep(RELAY_POLL_INTERVAL).await;
            continue;
        }
        spread = rand::random();
        let result = match node.mirror.position() {
            None if node.settings.is_small() && wait_for_snapshot(&node).await => continue,
            None => read_all(&node).await,
            Some(after) => watch_changes(&node, after).await,
        };
        match result {
            Ok(()) => {
                if failures > 0 {
                    node.backends.record_store_outage(node.clock.now());
                    log::info!(failures = failures; "the store answers again");
                }
                failures = 0;
            }
            Err(e) => {
                if failures == 0 {
                    log::warn!(revision:? = node.mirror.position().map(|p| p.revision); "the store does not answer: {e}");
                }
                failures += 1;
                node.backends.record_store_outage(node.clock.now());
                let max_delay = if is_hub { MAX_HUB_RETRY_DELAY } else { MAX_RETRY_DELAY };
                tokio::time::sleep(backoff_delay(failures, INITIAL_RETRY_DELAY, max_delay, rand::random()))
                    .await;
            }
        }
    }
}

// Asks another instance for the changes that this one lacks. Nothing of the report is counted there.
async fn query_peer(node: &SiteNode, timeout: Duration) {
    let peers = queryable_peers(node);
    let Some(peer) = (!peers.is_empty()).then(|| &peers[rand::random_range(0..peers.len())]) else {
        return;
    };
    let (requested_at, store) = (node.clock.now(), node.mirror.query());
    let from = store.position();
    let query = TrafficReport { store, ..TrafficReport::new(node.incarnation.instance.clone()) };
    node.counters.add(Counter::PeerQueries);
    let answer = tokio::time::timeout(timeout, node.peers.report_traffic(peer, query, timeout)).await;
    match answer {
        Ok(Ok(answer)) => apply_relayed(node, answer.store, requested_at, from),
        Ok(Err(e)) => {
            log::info!(peer = peer.id.as_str(); "no changes of the store from another instance: {e:?}")
        }
        Err(_elapsed) => {
            log::info!(peer = peer.id.as_str(); "no changes of the store from another instance in time")
        }
    }
}

// Returns the larger instances of the region, which call the store themselves when relays are late, and the hubs of
// other regions.
fn queryable_peers(node: &SiteNode) -> Vec<PeerAddress> {
    let (now, own_region) = (node.clock.now(), &node.settings.region);
    let view = node.fleet.view();
    let hub = node.hub.hub_of(node, own_region);
    let larger = view.hubs(own_region).filter(|i| {
        !is_small_class(i.capacity_class)
            && i.id != node.incarnation.instance
            && hub.as_ref().is_none_or(|hub| hub.id != i.id)
            && !node.hub.is_unreachable(&i.id, now)
    });
    let mut peers: Vec<PeerAddress> =
        larger.map(|i| PeerAddress { id: i.id.clone(), address: i.peers }).collect();
    let regions: BTreeSet<&RegionName> =
        node.settings.regions.values().filter(|r| *r != own_region).collect();
    peers.extend(regions.into_iter().filter_map(|region| node.hub.hub_of(node, region)));
    peers
}

/// Applies the changes after the state `from` that a hub relayed in answer to a report sent at `requested_at`.
pub fn apply_relayed(node: &SiteNode, delta: StoreDelta, requested_at: Time, from: StorePosition) {
    let Some(age) = delta.confirmed_age_ms.filter(|_| delta.is_complete) else {
        return;
    };
    // A hub of an earlier version states no era, and may mix records of two once there has been a second one.
    let Some(era) = delta.era.or_else(|| (!node.mirror.has_changed_era()).then(|| node.kv.era())) else {
        return;
    };
    let confirmed_at = requested_at - Duration::from_millis(u64::from(age));
    let is_snapshot = delta.is_snapshot;
    let records = match unpack_records(delta, era) {
        Ok(records) => records,
        Err(e) => {
            log::warn!(revision = from.revision; "the hub relayed a value that can't be decompressed: {e}");
            return;
        }
    };
    if !is_snapshot {
        node.mirror.apply_changes(from, records, confirmed_at, |records| apply_records(node, records, era));
    } else if node.clock.now().since(confirmed_at) < MAX_RELAY_AGE {
        // An older one might bring back what another source has removed since.
        apply_all(node, records, confirmed_at);
    }
}

// Waits until the hub relays all keys to a small instance, which spares the store a full read. Returns
// `false` when this instance has to read them itself.
async fn wait_for_snapshot(node: &SiteNode) -> bool {
    let started_at = node.clock.now();
    while node.clock.now().since(started_at) < MAX_SNAPSHOT_WAIT {
        // A stale list does, since the hub's own state is what counts.
        match node.kv.read_prefix(INSTANCE_PREFIX, true).await {
            Ok(listed) => apply_records(node, &listed.records, listed.position.era),
            Err(e) => log::info!("the list of instances could not be read: {e}"),
        }
        let region = &node.settings.region;
        let has_hub = node.hub.hub_of(node, region).is_some();
        if !has_hub && node.fleet.view().hubs(region).next().is_some() {
            return false;
        }
        for _ in 0..POLLS_PER_LIST {
            tokio::time::sleep(RELAY_POLL_INTERVAL).await;
            if node.mirror.position().is_some() {
                return true;
            }
        }
    }
    false
}

/// Removes expired backend servers, instances and quarantine entries at a fixed interval.
pub async fn sweep_loop(node: Arc<SiteNode>) {
    let mut tick = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        tick.tick().await;
        let now = node.clock.now();
        node.backends.sweep(now);
        node.backends.end_held_evacuations(&node.config.load(), now);
        node.fleet.sweep(now);
        plan::refresh(&node, now);
        node.quarantine.remove_stale(now);
    }
}

async fn read_all(node: &SiteNode) -> StoreResult<()> {
    let requested_at = node.clock.now();
    let all = node.kv.read_prefix(ALL_KEYS, false).await?;
    apply_all(node, all, requested_at);
    Ok(())
}

// Applies all keys of the store: what is not among them is gone. What is missing from the first read of a new era may
// only be missing from the copy that the store came back from.
fn apply_all(node: &SiteNode, all: Records, confirmed_at: Time) {
    let position = all.position;
    node.mirror.apply_snapshot(all, confirmed_at, |records, before| {
        let now = node.clock.now();
        if let Some(before) = before {
            begin_era(node, before, position);
        }
        let mut listed = ListedEntries { is_from_copy: before.is_some(), ..ListedEntries::default() };
        for record in records {
            apply_record(node, record, position.era, Some(&mut listed));
        }
        if !records.iter().any(is_hedging) {
            apply_hedge_limits(node, None);
        }
        node.backends.retain_listed(&listed.backends, &listed.evacuated, &node.config.load(), now);
        node.fleet.retain_listed(&listed.instances, before.is_some(), now);
        if !listed.instances.contains(&node.incarnation.instance) {
            node.fleet.notify_own_entry_missing(position);
        }
    });
    advance_if_published(node);
}

fn begin_era(node: &SiteNode, before: StorePosition, position: StorePosition) {
    node.counters.add(Counter::StoreRestores);
    log::warn!(
        era = position.era, revision = position.revision,
        era_before = before.era, revision_before = before.revision;
        "the store came back from an older copy"
    );
    let now = node.clock.now();
    node.backends.begin_era(now);
    node.fleet.begin_era(position.era);
}

async fn watch_changes(node: &SiteNode, after: StorePosition) -> StoreResult<()> {
    let requested_at = node.clock.now();
    match node.kv.watch(ALL_KEYS, after, MAX_WATCH_WAIT).await? {
        WatchOutcome::HistoryCompacted => {
            log::warn!(revision = after.revision, era = after.era; "the store no longer has the changes since then; reading all");
            node.mirror.invalidate();
        }
        WatchOutcome::Changes(changes) => {
            let has_changes = !changes.records.is_empty();
            // The store answers without changes only after the whole wait.
            let confirmed_at = if has_changes { requested_at } else { requested_at + MAX_WATCH_WAIT };
            node.mirror.apply_changes(after, changes, confirmed_at, |records| {
                apply_records(node, records, after.era);
            });
            if has_changes {
                tokio::time::sleep(BATCH_DELAY).await;
            }
        }
    }
    Ok(())
}

fn apply_records(node: &SiteNode, records: &[Record], era: u64) {
    let missing = records.iter().filter(|r| r.value.is_none() && is_backend_entry(r)).count();
    node.backends.record_missing(missing, node.clock.now());
    for record in records {
        apply_record(node, record, era, None);
    }
    node.backends.publish();
    advance_if_published(node);
}

fn advance_if_published(node: &SiteNode) {
    if node.config.load().is_published() {
        node.advance(Phase::Ready);
    }
}

#[derive(Default)]
struct ListedEntries {
    // The first read of an era: entries may be those of the copy.
    is_from_copy: bool,
    backends: BTreeSet<BackendId>,
    instances: BTreeSet<InstanceId>,
    evacuated: BTreeSet<ZoneName>,
}

fn apply_record(node: &SiteNode, record: &Record, era: u64, listed: Option<&mut ListedEntries>) {
    let on_invalid = |e: Error| {
        node.counters.add(Counter::EntriesInvalid);
        if node.invalid_entries.is_new(record) {
            log::warn!(key = record.key.as_str(), revision = record.revision; "invalid entry in the store is ignored: {e}");
        }
    };
    let change = match decode_change(record, on_invalid) {
        Ok(Some(change)) => change,
        Ok(None) => return,
        Err(e) if is_config(record) => {
            node.counters.add(Counter::InstallsFailed);
            log::warn!(revision = record.revision; "configuration rejected, the one in force stays: {e}");
            node.rejected_config
                .store(Some(Arc::new(RejectedConfig { revision: record.revision, reason: e })));
            return;
        }
        Err(e) => return on_invalid(e),
    };
    let now = node.clock.now();
    let config = node.config.load();
    match change {
        SiteChange::Config(new) => {
            let current = config.published.version;
            if new.version <= current {
                log::warn!(held = current, found = new.version; "configuration skipped: it is not newer");
                return;
            }
            log::info!(version = new.version, before = current, revision = record.revision; "configuration in force");
            node.counters.add(Counter::Installs);
            node.install_config(SiteConfigIndex::new(new), now);
        }
        SiteChange::Backend(id, entry) => {
            node.backends.apply_entry(&config, &id, entry.as_ref(), record.revision, now);
            if let (Some(listed), Some(_)) = (listed, entry) {
                listed.backends.insert(id);
            }
        }
        SiteChange::Evacuation(zone, evacuated) => {
            node.backends.set_evacuated(&config, &zone, evacuated, now);
            if let (Some(listed), true) = (listed, evacuated) {
                listed.evacuated.insert(zone);
            }
        }
        SiteChange::Instance(id, entry) => {
            let is_from_copy = listed.as_ref().is_some_and(|listed| listed.is_from_copy);
            if let (Some(listed), Some(_)) = (listed, &entry) {
                listed.instances.insert(id.clone());
            }
            if entry.is_none() && id == node.incarnation.instance {
                node.fleet.notify_own_entry_missing(StorePosition { era, revision: record.revision });
            }
            match entry {
                Some(entry) if is_from_copy => node.fleet.apply_copied_entry(entry, record.revision, now),
                Some(_) if node.fleet.is_doubted(&id, record.revision) => {}
                entry => node.fleet.apply_entry(&id, entry, now),
            }
        }
        SiteChange::FleetSize(count) => node.fleet.set_recorded_size(count),
        SiteChange::FleetWeight(weight) => node.fleet.set_recorded_weight(weight),
        SiteChange::Hedging(limits) => apply_hedge_limits(node, limits),
    }
}

fn apply_hedge_limits(node: &SiteNode, limits: Option<HedgeLimits>) {
    let limits = limits.unwrap_or_default();
    if **node.hedge_limits.load() != limits {
        log::info!(
            limit = limits.limit.unwrap_or(node.settings.hedge_limit).share(), services = limits.services.len();
            "limits on second copies in force"
        );
        node.hedge_limits.store(Arc::new(limits));
    }
}
