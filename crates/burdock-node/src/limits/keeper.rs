//! The keeper of a bucket moves quota shares to the instances that should hold them.
//!
//! The first alive instance by rendezvous rank is the keeper. Two keepers at the same time are harmless: each
//! write is a compare-and-swap on the version that it replaces.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use burdock_decide::connectivity::takeover_delay;
use burdock_decide::membership::MemberState;
use burdock_decide::shares::{
    HolderView, KeeperAction, KeeperView, ShareRecord, even_split, next_keeper_action, select_holders,
};
use burdock_decide::time::Time;
use burdock_model::error::Result;
use burdock_model::hash::rendezvous_order;
use burdock_model::ids::{InstanceIncarnation, OrganisationName};
use burdock_model::snapshot::Organisation;
use burdock_wire::messages::{PeerAddress, ShareBucket};

use crate::fleet::{Entry, FleetView};
use crate::limits::records::{self, BUCKET_COUNT, apply_allotments, bucket_of, store_key};
use crate::node::Node;
use crate::observe::counters::Counter;

/// Time between two checks of the buckets.
const KEEPER_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of writes to one bucket in one check.
const MAX_WRITES: usize = 3;

/// Record versions that holders report as applied.
type AppliedVersions = BTreeMap<InstanceIncarnation, BTreeMap<OrganisationName, u64>>;

/// Updates the buckets whose keeper is this instance periodically.
pub async fn keeper_loop(node: Arc<Node>) {
    let mut tick = tokio::time::interval(KEEPER_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        if !node.fleet.may_take_over(node.clock.now()) {
            continue;
        }
        let view = node.fleet.view();
        for bucket in (0..BUCKET_COUNT).filter(|b| is_keeper(&node, &view, *b)) {
            if let Err(e) = update_bucket(&node, &view, bucket).await {
                log::warn!(
                    "share records of bucket {bucket} not updated, tried again at the next check: {e}"
                );
            }
        }
    }
}

fn is_keeper(node: &Node, view: &FleetView, bucket: u32) -> bool {
    let alive = view.entries.iter().filter(|e| e.member_state == MemberState::Alive);
    let first =
        rendezvous_order(u64::from(bucket), alive, |e| e.incarnation.instance.as_str()).into_iter().next();
    first.is_some_and(|e| e.incarnation == node.incarnation)
}

async fn update_bucket(node: &Arc<Node>, view: &FleetView, bucket: u32) -> Result<()> {
    let active_config = node.active_config.load_full();
    let organisations: Vec<&Organisation> =
        active_config.snapshot.organisations.iter().filter(|o| bucket_of(&o.name) == bucket).collect();
    // Moving a share takes two writes; the third pass finds nothing left to do.
    for _ in 0..MAX_WRITES {
        let applied_versions = fetch_applied_versions(node, view, bucket, &organisations).await;
        if !write_next_records(node, view, bucket, &organisations, &applied_versions).await? {
            break;
        }
    }
    Ok(())
}

// Writes by compare-and-swap on the version known here. If the store has a newer one, the watch delivers it.
async fn write_next_records(
    node: &Arc<Node>,
    view: &FleetView,
    bucket: u32,
    organisations: &[&Organisation],
    applied_versions: &AppliedVersions,
) -> Result<bool> {
    let version = node.limits.records.version(bucket);
    let current = node.limits.records.bucket(bucket);
    let next_action = |organisation: &Organisation, record: &ShareRecord, since: Time| {
        let keeper = KeeperView {
            record,
            version_known_time: node.clock.now().since(since),
            desired: &desired_split(organisation, view),
            takeover_delay: takeover_delay(view.entries.len()),
        };
        next_keeper_action(&keeper, |holder| holder_view(node, applied_versions, holder, &organisation.name))
    };
    let next = next_records(current, organisations, next_action);
    // Contact may have been lost while the holders were queried.
    let Some(records) = next.filter(|_| node.fleet.may_take_over(node.clock.now())) else {
        return Ok(false);
    };
    let text = records::encode_bucket(&records);
    let version = node.store.write_if_version(&store_key(bucket), &text, version).await?;
    node.counters.add(Counter::ShareWrites);
    node.limits.records.apply_bucket(&ShareBucket { bucket, version, records: text }, node.clock.now())?;
    apply_allotments(node);
    Ok(true)
}

/// Returns the records of a bucket after the next action for each organisation, or `None` if nothing changes.
///
/// Records of organisations that this instance does not know are kept: another instance may have a newer
/// configuration, and a lost record would start again without confirmation from its holders.
pub fn next_records(
    current: BTreeMap<OrganisationName, (ShareRecord, Time)>,
    organisations: &[&Organisation],
    next_action: impl Fn(&Organisation, &ShareRecord, Time) -> KeeperAction,
) -> Option<BTreeMap<OrganisationName, ShareRecord>> {
    let mut changed = false;
    let mut records: BTreeMap<OrganisationName, (ShareRecord, Time)> = current;
    for organisation in organisations {
        let (record, since) = records.entry(organisation.name.clone()).or_default();
        if let KeeperAction::Write(next) = next_action(organisation, record, *since) {
            *record = next;
            changed = true;
        }
    }
    changed.then(|| records.into_iter().map(|(name, (record, _))| (name, record)).collect())
}

// The desired split: an even one over the instances assigned to the organisation.
fn desired_split(organisation: &Organisation, view: &FleetView) -> BTreeMap<InstanceIncarnation, u64> {
    let alive: Vec<&Entry> = view.entries.iter().filter(|e| e.member_state == MemberState::Alive).collect();
    let rate = organisation.rate.micros_per_second() / burdock_model::units::MICROS_PER_UNIT;
    let candidates = alive.iter().map(|e| (&e.incarnation.instance, &e.region));
    let chosen = select_holders(organisation.name.as_str(), rate, organisation.burst, candidates);
    let holders: BTreeSet<InstanceIncarnation> = alive
        .iter()
        .filter(|e| chosen.contains(&&e.incarnation.instance))
        .map(|e| e.incarnation.clone())
        .collect();
    even_split(&holders)
}

fn holder_view(
    node: &Node,
    applied_versions: &AppliedVersions,
    holder: &InstanceIncarnation,
    organisation: &OrganisationName,
) -> HolderView {
    let version =
        applied_versions.get(holder).and_then(|versions| versions.get(organisation)).copied().unwrap_or(0);
    HolderView { confirmed_version: version, silent_time: node.fleet.silent_time(holder, node.clock.now()) }
}

async fn fetch_applied_versions(
    node: &Arc<Node>,
    view: &FleetView,
    bucket: u32,
    organisations: &[&Organisation],
) -> AppliedVersions {
    // Only holders of a record with a move in progress have anything to confirm.
    let records = organisations.iter().filter_map(|o| node.limits.records.record(&o.name));
    let records = records.filter(|r| !r.is_settled());
    let holders: BTreeSet<InstanceIncarnation> = records.flat_map(|r| r.current.into_keys()).collect();
    let fetches = holders.into_iter().map(|holder| async move {
        let versions = applied_versions_of(node, view, &holder, bucket).await;
        (holder, versions)
    });
    futures::future::join_all(fetches).await.into_iter().collect()
}

async fn applied_versions_of(
    node: &Arc<Node>,
    view: &FleetView,
    holder: &InstanceIncarnation,
    bucket: u32,
) -> BTreeMap<OrganisationName, u64> {
    if *holder == node.incarnation {
        return node.limits.records.versions(bucket);
    }
    let Some(entry) = view.entries.iter().find(|e| e.incarnation == *holder) else {
        return BTreeMap::new();
    };
    let peer = PeerAddress { id: holder.instance.clone(), address: entry.peer_address };
    let answer = node.peers.fetch_applied_share_versions(&peer, bucket).await.unwrap_or_default();
    let parsed: Result<(String, BTreeMap<OrganisationName, u64>), _> = serde_json::from_str(&answer);
    // An answer of another incarnation of the same instance does not confirm anything for this one.
    parsed.ok().filter(|(of, _)| *of == holder.to_string()).map(|(_, versions)| versions).unwrap_or_default()
}

/// Answers a keeper's query for applied versions, as JSON: this incarnation and its versions by organisation.
#[must_use]
pub fn applied_versions_answer(node: &Node, bucket: u32) -> String {
    let versions = node.limits.records.versions(bucket);
    serde_json::to_string(&(node.incarnation.to_string(), versions)).unwrap_or_default()
}
