//! The instances of the deployment, and the registration of this one in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use burdock_decide::backoff::backoff_delay;
use burdock_decide::time::Time;
use burdock_model::ids::InstanceId;
use burdock_model::site::RegisteredInstance;
use burdock_model::store_position::StorePosition;
use burdock_platform::decode::{FLEET_SIZE_KEY, FLEET_WEIGHT_KEY, instance_key};
use burdock_platform::kv::{CommitOutcome, Lease, Transaction};
use burdock_platform::store::StoreResult;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::phase::Phase;
use crate::site::SiteNode;
use crate::site::fleet_view::FleetView;

/// Time to live of an instance's lease. It is short enough that the directory removes a dead instance within
/// its bound.
const LEASE_TIME: Duration = Duration::from_millis(5000);

/// Time to live of a small instance's lease beyond the time after which an instance counts as in contact. No
/// callers are steered to it as long as there are larger ones.
const SMALL_LEASE_MARGIN: Duration = Duration::from_millis(1800);

/// Fraction of a lease's time between two renewals. It allows two renewals.
const RENEW_FRACTION: f64 = 0.4;

/// Interval at which a small instance checks whether it is needed.
const STANDBY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Uptime from which a small instance registers although it knows of no other, since the store may hold no
/// entries.
const MAX_STANDBY_WAIT: Duration = Duration::from_millis(2500);

/// Delay before the entry is written again after its lease has ended or a first call has failed, doubled with
/// each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum retry delay. Until its entry is back, an instance is missing from the directory.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1500);

/// Time for which an instance that is no longer listed still counts when allowances are divided, since it may
/// only be cut off from the store.
const DELISTED_TTL: Duration = Duration::from_secs(10);

/// Time for which an instance stays listed whose entry is missing from a copy that the store came back from. Entries
/// are back within about two seconds.
const MISSING_ENTRY_RETENTION: Duration = Duration::from_millis(2500);

/// Time after which the entry of a delisted instance in such a copy counts if it is still there: more than its lease.
const COPIED_ENTRY_DOUBT: Duration = Duration::from_secs(7);

/// Range of the random delay after which an entry is written in a new era of the store, so that the instances don't
/// call it at the same moment.
const REGISTRATION_SPREAD: Duration = Duration::from_millis(800);

/// Uptime from which an instance may lower the fleet size recorded in the store. One that has just started
/// may miss entries, and never saw those that others still count.
const MIN_UPTIME_TO_LOWER_SIZE: Duration = Duration::from_secs(60);

/// The instances of the deployment.
#[derive(Debug, Default)]
pub struct SiteFleet {
    members: Mutex<BTreeMap<InstanceId, Member>>,
    view: ArcSwap<FleetView>,
    // Members have changed since the view was computed.
    is_stale: AtomicBool,
    // The fleet size recorded in the store; 0 for none.
    recorded_size: AtomicUsize,
    // The sum of weights recorded in the store; 0 for none.
    recorded_weight: AtomicU64,
    // State of the store in which this instance's own entry was written, if it has one.
    entry_position: Mutex<Option<StorePosition>>,
    entry_missing: Notify,
    is_registered: AtomicBool,
}

#[derive(Debug)]
struct Member {
    registered: RegisteredInstance,
    delisted_at: Option<Time>,
    // The entry is missing from a copy of the store, and the instance stays listed until then.
    missing_until: Option<Time>,
    // A copy of the store holds the entry of this delisted instance again.
    copied: Option<CopiedEntry>,
}

#[derive(Clone, Copy, Debug)]
struct CopiedEntry {
    // Revision of the entry in the copy. A later one was written since.
    revision: u64,
    // The entry counts if it is still there then.
    doubted_until: Time,
}

impl Member {
    const fn listed(registered: RegisteredInstance) -> Self {
        Self { registered, delisted_at: None, missing_until: None, copied: None }
    }
}

impl SiteFleet {
    /// Applies an instance's entry, or its removal.
    pub fn apply_entry(&self, id: &InstanceId, entry: Option<RegisteredInstance>, now: Time) {
        let mut members = self.members.lock();
        match (entry, members.get_mut(id)) {
            (Some(registered), _) => {
                members.insert(id.clone(), Member::listed(registered));
            }
            (None, Some(member)) => {
                member.delisted_at.get_or_insert(now);
                member.copied = None;
            }
            (None, None) => {}
        }
        self.is_stale.store(true, Ordering::Release);
    }

    /// Applies an entry of the first read after the store came back from an older copy. One of an instance that left
    /// since ends with its lease; until then it is not listed again.
    pub fn apply_copied_entry(&self, registered: RegisteredInstance, revision: u64, now: Time) {
        let mut members = self.members.lock();
        let known = members.get_mut(&registered.id).filter(|member| {
            member.delisted_at.is_some() && member.registered.incarnation == registered.incarnation
        });
        if let Some(member) = known {
            member.copied = Some(CopiedEntry { revision, doubted_until: now + COPIED_ENTRY_DOUBT });
        } else {
            members.insert(registered.id.clone(), Member::listed(registered));
        }
        self.is_stale.store(true, Ordering::Release);
    }

    /// Returns whether an instance's entry at a revision is one of a copy that does not count yet.
    #[must_use]
    pub fn is_doubted(&self, id: &InstanceId, revision: u64) -> bool {
        let members = self.members.lock();
        members.get(id).and_then(|member| member.copied).is_some_and(|copied| revision <= copied.revision)
    }

    /// Delists the instances that a full read of the store did not list. Those that the first read of a new era lacks
    /// stay listed for as long as writing their entries again may take.
    pub fn retain_listed(&self, listed: &BTreeSet<InstanceId>, is_new_era: bool, now: Time) {
        let mut members = self.members.lock();
        for (id, member) in members.iter_mut().filter(|(id, _)| !listed.contains(*id)) {
            if is_new_era && member.delisted_at.is_none() {
                log::info!(instance = id.as_str(); "instance missing from the copy of the store stays listed for now");
                member.missing_until.get_or_insert(now + MISSING_ENTRY_RETENTION);
            } else if member.missing_until.is_none() {
                member.delisted_at.get_or_insert(now);
            }
        }
        self.is_stale.store(true, Ordering::Release);
    }

    /// Triggers a new registration if this instance's entry was written in an earlier era.
    pub fn begin_era(&self, era: u64) {
        if self.entry_position.lock().is_some_and(|own| own.era < era) {
            self.entry_missing.notify_one();
        }
    }

    /// Removes instances that have been delisted for so long that they no longer count.
    pub fn sweep(&self, now: Time) {
        let mut members = self.members.lock();
        let before = members.len();
        let mut is_changed = false;
        for member in members.values_mut() {
            let is_due = |until: &mut Time| now >= *until;
            if member.missing_until.take_if(is_due).is_some() {
                member.delisted_at.get_or_insert(now);
                is_changed = true;
            }
            if member.copied.take_if(|copied| now >= copied.doubted_until).is_some() {
                member.delisted_at = None;
                is_changed = true;
            }
        }
        members.retain(|_, m| m.delisted_at.is_none_or(|at| now.since(at) < DELISTED_TTL));
        if is_changed || members.len() != before {
            self.is_stale.store(true, Ordering::Release);
        }
    }

    /// Returns the current view. It is recomputed once after any number of changes.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        if self.is_stale.swap(false, Ordering::AcqRel) {
            let members = self.members.lock();
            let (listed, unlisted): (Vec<&Member>, Vec<&Member>) =
                members.values().partition(|m| m.delisted_at.is_none());
            let unlisted: Vec<&RegisteredInstance> = unlisted.into_iter().map(|m| &m.registered).collect();
            let listed = listed.into_iter().map(|m| m.registered.clone()).collect();
            self.view.store(Arc::new(FleetView::new(listed, &unlisted)));
        }
        self.view.load_full()
    }

    /// Sets the fleet size that the store records.
    pub fn set_recorded_size(&self, count: usize) {
        self.recorded_size.store(count, Ordering::Relaxed);
    }

    /// Returns the fleet size that the store records; 0 for none.
    #[must_use]
    pub fn recorded_size(&self) -> usize {
        self.recorded_size.load(Ordering::Relaxed)
    }

    /// Sets the sum of the instances' weights that the store records.
    pub fn set_recorded_weight(&self, weight: u64) {
        self.recorded_weight.store(weight, Ordering::Relaxed);
    }

    /// Returns whether this instance has registered since its start.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.is_registered.load(Ordering::Relaxed)
    }

    /// Returns the sum of the instances' weights that the store records; 0 for none.
    #[must_use]
    pub fn recorded_weight(&self) -> u64 {
        self.recorded_weight.load(Ordering::Relaxed)
    }

    /// Triggers a new registration when this instance's entry is missing in a later state than its own.
    pub fn notify_own_entry_missing(&self, position: StorePosition) {
        if self.entry_position.lock().is_some_and(|own| position > own) {
            self.entry_missing.notify_one();
        }
    }
}

/// Registers this instance and renews its lease until it leaves.
pub async fn register_loop(node: Arc<SiteNode>) {
    let mut failures = 0;
    wait_until_needed(&node).await;
    while node.phase() < Phase::Draining {
        match register(&node).await {
            Ok((lease, position)) => {
                failures = 0;
                log::info!(lease = lease.id, instance = node.incarnation.instance.as_str(); "registered");
                *node.fleet.entry_position.lock() = Some(position);
                tokio::select! {
                    () = keep_alive(&node, lease) => {}
                    () = node.fleet.entry_missing.notified() =>
                        log::info!(lease = lease.id; "this instance's entry is gone"),
                }
                *node.fleet.entry_position.lock() = None;
                if node.kv.era() != position.era {
                    tokio::time::sleep(REGISTRATION_SPREAD.mul_f64(rand::random())).await;
                }
            }
            Err(e) => {
                failures += 1;
                log::warn!("registration failed, will be tried again: {e}");
                node.backends.record_store_outage(node.clock.now());
            }
        }
        tokio::time::sleep(backoff_delay(failures, INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, rand::random()))
            .await;
    }
}

// Returns once the instance is to be registered. A small one stands by while larger ones carry all callers: it
// has no part of the allowances of its own, and callers are not steered to it.
async fn wait_until_needed(node: &SiteNode) {
    let zones = node.settings.regions.values().filter(|r| **r == node.settings.region).count();
    let class = node.settings.capacity_class();
    while node.settings.is_small() && node.phase() < Phase::Draining {
        let view = node.fleet.view();
        let is_known = node.mirror.position().is_some();
        let waited = node.clock.now().since(node.started_at);
        if !view.may_stand_by(&node.settings.region, class, zones) && (is_known || waited > MAX_STANDBY_WAIT)
        {
            log::info!(listed = view.listed.len(); "this small instance is needed");
            return;
        }
        tokio::time::sleep(STANDBY_POLL_INTERVAL).await;
    }
}

/// Records the fleet size in the store, for instances that start while entries are missing there.
pub async fn record_size(node: &SiteNode) {
    let view = node.fleet.view();
    let (recorded, recorded_weight) = (node.fleet.recorded_size(), node.fleet.recorded_weight());
    let may_lower = node.clock.now().since(node.started_at) >= MIN_UPTIME_TO_LOWER_SIZE;
    let count = if may_lower { view.expected } else { view.expected.max(recorded) };
    let weight = if may_lower { view.expected_weight } else { view.expected_weight.max(recorded_weight) };
    if (count, weight) == (recorded, recorded_weight) {
        return;
    }
    let put = vec![
        (FLEET_SIZE_KEY.to_owned(), count.to_string().into_bytes(), 0),
        (FLEET_WEIGHT_KEY.to_owned(), weight.to_string().into_bytes(), 0),
    ];
    match node.kv.commit(&Transaction { put, ..Transaction::default() }).await {
        Ok(_committed) => log::info!(count = count, before = recorded; "fleet size recorded"),
        Err(e) => log::warn!(count = count; "fleet size could not be recorded: {e}"),
    }
}

/// Removes this instance's entry from the store, if it has one.
pub async fn deregister(node: &SiteNode) {
    if !node.fleet.is_registered() {
        return;
    }
    let remove = vec![instance_key(&node.incarnation.instance)];
    let transaction = Transaction { remove, ..Transaction::default() };
    if let Err(e) = node.kv.commit(&transaction).await {
        log::warn!("this instance's entry could not be removed and expires with its lease: {e}");
    }
}

// Writes the entry. Returns its lease and the state of the store that it made.
async fn register(node: &SiteNode) -> StoreResult<(Lease, StorePosition)> {
    // Set before the calls: one whose answer is lost may have registered.
    node.fleet.is_registered.store(true, Ordering::Relaxed);
    let lease = node.kv.grant_lease(lease_time(node)).await?;
    let listen = &node.settings.listen;
    let entry = RegisteredInstance {
        id: node.incarnation.instance.clone(),
        incarnation: node.incarnation.incarnation,
        region: node.settings.region.clone(),
        zone: node.settings.zone.clone(),
        callers: listen.callers,
        peers: listen.peers,
        capacity_class: node.settings.capacity_class(),
        cores: node.settings.usable_cores(),
    };
    let value = serde_json::to_vec(&entry).unwrap_or_default();
    let put = vec![(instance_key(&entry.id), value, lease.id)];
    match node.kv.commit(&Transaction { put, ..Transaction::default() }).await? {
        // The id of a lease may have been given out again in a new era.
        CommitOutcome::Applied(revision) if node.kv.era() == lease.era => {
            Ok((lease, StorePosition { era: lease.era, revision }))
        }
        CommitOutcome::Applied(_) | CommitOutcome::Conflict { .. } | CommitOutcome::LeaseEnded => {
            Err(burdock_platform::store::StoreError::Conflict { version: 0 })
        }
    }
}

fn lease_time(node: &SiteNode) -> Duration {
    if node.settings.is_small() {
        LEASE_TIME.max(node.settings.bounds.contact_time + SMALL_LEASE_MARGIN)
    } else {
        LEASE_TIME
    }
}

// Renews the lease. Returns when it has ended or this instance leaves.
async fn keep_alive(node: &SiteNode, lease: Lease) {
    loop {
        tokio::time::sleep(lease_time(node).mul_f64(RENEW_FRACTION)).await;
        if node.phase() >= Phase::Draining {
            return;
        }
        match node.kv.renew_lease(lease.id).await {
            Ok(true) if node.kv.era() == lease.era => {}
            Ok(true) => {
                log::warn!(lease = lease.id, era = lease.era; "the lease is of an earlier era of the store");
                return;
            }
            Ok(false) => {
                log::warn!(lease = lease.id; "the lease has ended");
                return;
            }
            Err(e) => {
                log::warn!(lease = lease.id; "renewal failed: {e}");
                node.backends.record_store_outage(node.clock.now());
            }
        }
    }
}
