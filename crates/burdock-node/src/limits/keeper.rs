//! The keeper of a bucket: moves shares to the instances that should hold them.
//!
//! Any instance may take this up; the first by rendezvous rank does. Two that think so at once do no
//! harm, since each write names the version it replaces.

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
use crate::limits::records::{self, BUCKETS, apply, bucket_of, key_of};
use crate::node::Node;
use crate::observe::counters::Counter;

/// Time between two looks at the buckets.
const INTERVAL: Duration = Duration::from_millis(500);

/// Writes of one bucket in one look.
const MAX_STEPS: usize = 3;

/// Versions that holders say they act on.
type Confirmed = BTreeMap<InstanceIncarnation, BTreeMap<OrganisationName, u64>>;

/// Keeps the buckets that fall to this instance, again and again.
pub async fn keep_loop(node: Arc<Node>) {
    let mut tick = tokio::time::interval(INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        if !node.fleet.may_take_over(node.clock.now()) {
            continue;
        }
        let view = node.fleet.view();
        for bucket in (0..BUCKETS).filter(|b| is_keeper(&node, &view, *b)) {
            if let Err(e) = keep(&node, &view, bucket).await {
                log::warn!("share records of bucket {bucket}: {e}");
            }
        }
    }
}

fn is_keeper(node: &Node, view: &FleetView, bucket: u32) -> bool {
    let alive = view.entries.iter().filter(|e| e.member_state == MemberState::Alive);
    let first = rendezvous_order(u64::from(bucket), alive, |e| e.life.instance.as_str()).into_iter().next();
    first.is_some_and(|e| e.life == node.incarnation)
}

async fn keep(node: &Arc<Node>, view: &FleetView, bucket: u32) -> Result<()> {
    let active_config = node.active_config.load_full();
    let organisations: Vec<&Organisation> =
        active_config.snapshot.organisations.iter().filter(|o| bucket_of(&o.name) == bucket).collect();
    // A move takes two writes; a third finds nothing left to do.
    for _ in 0..MAX_STEPS {
        let confirmed = ask_holders(node, view, bucket, &organisations).await;
        if !write_steps(node, view, bucket, &organisations, &confirmed).await? {
            break;
        }
    }
    Ok(())
}

// A write names the version this instance holds. If the store has another, the watch brings it here.
async fn write_steps(
    node: &Arc<Node>,
    view: &FleetView,
    bucket: u32,
    organisations: &[&Organisation],
    confirmed: &Confirmed,
) -> Result<bool> {
    let version = node.limits.records.version(bucket);
    let held = node.limits.records.bucket(bucket);
    let step = |organisation: &Organisation, record: &ShareRecord, since: Time| {
        let keeper = KeeperView {
            record,
            version_known_time: node.clock.now().since(since),
            desired: &wanted(organisation, view),
            takeover_delay: takeover_delay(view.entries.len()),
        };
        next_keeper_action(&keeper, |life| holder_view(node, confirmed, life, &organisation.name))
    };
    let next = next_records(held, organisations, step);
    // Contact may have been lost while holders were asked.
    let Some(records) = next.filter(|_| node.fleet.may_take_over(node.clock.now())) else {
        return Ok(false);
    };
    let text = records::write(&records);
    let version = node.store.write_if(&key_of(bucket), &text, version).await?;
    node.counters.add(Counter::ShareWrites);
    node.limits.records.take(&ShareBucket { bucket, version, records: text }, node.clock.now())?;
    apply(node);
    Ok(true)
}

/// The records of a bucket after the next step of each organisation; `None` when nothing changes.
///
/// Records of organisations that this instance does not know are kept: another instance may have a newer
/// configuration, and a record that were lost would begin anew without its holders' leave.
pub fn next_records(
    held: BTreeMap<OrganisationName, (ShareRecord, Time)>,
    organisations: &[&Organisation],
    step: impl Fn(&Organisation, &ShareRecord, Time) -> KeeperAction,
) -> Option<BTreeMap<OrganisationName, ShareRecord>> {
    let mut changed = false;
    let mut records: BTreeMap<OrganisationName, (ShareRecord, Time)> = held;
    for organisation in organisations {
        let (record, since) = records.entry(organisation.name.clone()).or_default();
        if let KeeperAction::Write(next) = step(organisation, record, *since) {
            *record = next;
            changed = true;
        }
    }
    changed.then(|| records.into_iter().map(|(name, (record, _))| (name, record)).collect())
}

// The split that should be: an even one over the instances assigned to the organisation.
fn wanted(organisation: &Organisation, view: &FleetView) -> BTreeMap<InstanceIncarnation, u64> {
    let alive: Vec<&Entry> = view.entries.iter().filter(|e| e.member_state == MemberState::Alive).collect();
    let rate = organisation.rate.micros_per_second() / burdock_model::units::MICROS_PER_UNIT;
    let candidates = alive.iter().map(|e| (&e.life.instance, &e.region));
    let chosen = select_holders(organisation.name.as_str(), rate, organisation.burst, candidates);
    let lives: BTreeSet<InstanceIncarnation> =
        alive.iter().filter(|e| chosen.contains(&&e.life.instance)).map(|e| e.life.clone()).collect();
    even_split(&lives)
}

fn holder_view(
    node: &Node,
    confirmed: &Confirmed,
    life: &InstanceIncarnation,
    organisation: &OrganisationName,
) -> HolderView {
    let version = confirmed.get(life).and_then(|versions| versions.get(organisation)).copied().unwrap_or(0);
    HolderView { confirmed_version: version, silent_time: node.fleet.silent_for(life, node.clock.now()) }
}

async fn ask_holders(
    node: &Arc<Node>,
    view: &FleetView,
    bucket: u32,
    organisations: &[&Organisation],
) -> Confirmed {
    // Only holders of a record that moves have anything to confirm.
    let records = organisations.iter().filter_map(|o| node.limits.records.record(&o.name));
    let records = records.filter(|r| !r.is_settled());
    let holders: BTreeSet<InstanceIncarnation> = records.flat_map(|r| r.current.into_keys()).collect();
    let asks = holders.into_iter().map(|life| async move {
        let versions = acting(node, view, &life, bucket).await;
        (life, versions)
    });
    futures::future::join_all(asks).await.into_iter().collect()
}

async fn acting(
    node: &Arc<Node>,
    view: &FleetView,
    life: &InstanceIncarnation,
    bucket: u32,
) -> BTreeMap<OrganisationName, u64> {
    if *life == node.incarnation {
        return node.limits.records.versions(bucket);
    }
    let Some(entry) = view.entries.iter().find(|e| e.life == *life) else {
        return BTreeMap::new();
    };
    let peer = PeerAddress { id: life.instance.clone(), address: entry.peer_address };
    let answer = node.peers.fetch_applied_share_versions(&peer, bucket).await.unwrap_or_default();
    let parsed: Result<(String, BTreeMap<OrganisationName, u64>), _> = serde_json::from_str(&answer);
    // Another life of the same instance does not speak for this one.
    parsed.ok().filter(|(of, _)| *of == life.to_string()).map(|(_, versions)| versions).unwrap_or_default()
}

/// The answer to [`ask_holders`]: who speaks, and the versions it acts on.
#[must_use]
pub fn acting_answer(node: &Node, bucket: u32) -> String {
    let versions = node.limits.records.versions(bucket);
    serde_json::to_string(&(node.incarnation.to_string(), versions)).unwrap_or_default()
}
