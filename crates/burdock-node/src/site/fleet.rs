//! The instances of the deployment, and the registration of this one in the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use burdock_decide::backoff::backoff_delay;
use burdock_decide::time::Time;
use burdock_model::ids::InstanceId;
use burdock_model::site::RegisteredInstance;
use burdock_platform::decode::{FLEET_SIZE_KEY, FLEET_WEIGHT_KEY, instance_key};
use burdock_platform::kv::{CommitOutcome, Transaction};
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
    // The store's revision of this instance's own entry; 0 while it has none.
    entry_revision: AtomicU64,
    entry_missing: Notify,
    is_registered: AtomicBool,
}

#[derive(Debug)]
struct Member {
    registered: RegisteredInstance,
    delisted_at: Option<Time>,
}

impl SiteFleet {
    /// Applies an instance's entry, or its removal.
    pub fn apply_entry(&self, id: &InstanceId, entry: Option<RegisteredInstance>, now: Time) {
        let mut members = self.members.lock();
        match (entry, members.get_mut(id)) {
            (Some(registered), _) => {
                members.insert(id.clone(), Member { registered, delisted_at: None });
            }
            (None, Some(member)) => {
                member.delisted_at.get_or_insert(now);
            }
            (None, None) => {}
        }
        self.is_stale.store(true, Ordering::Release);
    }

    /// Removes instances that have been delisted for so long that they no longer count.
    pub fn sweep(&self, now: Time) {
        let mut members = self.members.lock();
        let before = members.len();
        members.retain(|_, m| m.delisted_at.is_none_or(|at| now.since(at) < DELISTED_TTL));
        if members.len() != before {
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

    /// Triggers a new registration when this instance's entry is missing at a later revision than its own.
    pub fn notify_own_entry_missing(&self, revision: u64) {
        let entry_revision = self.entry_revision.load(Ordering::Relaxed);
        if entry_revision > 0 && revision > entry_revision {
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
            Ok((lease, revision)) => {
                failures = 0;
                log::info!(lease = lease, instance = node.incarnation.instance.as_str(); "registered");
                node.fleet.entry_revision.store(revision, Ordering::Relaxed);
                tokio::select! {
                    () = keep_alive(&node, lease) => {}
                    () = node.fleet.entry_missing.notified() =>
                        log::info!(lease = lease; "this instance's entry is gone"),
                }
                node.fleet.entry_revision.store(0, Ordering::Relaxed);
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
        let is_known = node.mirror.revision().is_some();
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

// Writes the entry. Returns its lease and its revision in the store.
async fn register(node: &SiteNode) -> StoreResult<(u64, u64)> {
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
    let put = vec![(instance_key(&entry.id), value, lease)];
    match node.kv.commit(&Transaction { put, ..Transaction::default() }).await? {
        CommitOutcome::Applied(revision) => Ok((lease, revision)),
        CommitOutcome::Conflict { .. } | CommitOutcome::LeaseEnded => {
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
async fn keep_alive(node: &SiteNode, lease: u64) {
    loop {
        tokio::time::sleep(lease_time(node).mul_f64(RENEW_FRACTION)).await;
        if node.phase() >= Phase::Draining {
            return;
        }
        match node.kv.renew_lease(lease).await {
            Ok(true) => {}
            Ok(false) => {
                log::warn!(lease = lease; "the lease has ended");
                return;
            }
            Err(e) => {
                log::warn!(lease = lease; "renewal failed: {e}");
                node.backends.record_store_outage(node.clock.now());
            }
        }
    }
}
