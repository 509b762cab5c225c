//! The instances of the deployment, and this one's registration among them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use burdock_decide::backoff::backoff_delay;
use burdock_decide::time::Time;
use burdock_model::ids::InstanceId;
use burdock_model::site::RegisteredInstance;
use burdock_platform::decode::{FLEET_SIZE_KEY, instance_key};
use burdock_platform::kv::{CommitOutcome, Transaction};
use burdock_platform::store::StoreResult;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::phase::Phase;
use crate::site::SiteNode;
use crate::site::fleet_view::FleetView;

/// Life of an instance's entry without renewal: short enough that the directory forgets a dead instance before
/// the bound on that, long enough for three renewals.
const LEASE_TIME: Duration = Duration::from_millis(5000);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1500);

/// The pause before the entry is written again, after its lease has ended or a first call has failed. It is doubled
/// with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// The longest of these pauses: an instance is missing from the directory until its entry is back.
const LONGEST_PAUSE: Duration = Duration::from_millis(1500);

/// How long an instance that is no longer listed still counts for shares of what all have together, since it
/// may only be cut off from the store.
const GHOST_TIME: Duration = Duration::from_secs(10);

/// How long an instance must have run before it writes a smaller number of instances than the store holds: one that has
/// just started may miss entries, and never saw those that others still count.
const LOWERS_AFTER: Duration = Duration::from_secs(60);

/// The instances of the deployment.
#[derive(Debug, Default)]
pub struct SiteFleet {
    members: Mutex<BTreeMap<InstanceId, Member>>,
    view: ArcSwap<FleetView>,
    // Members have changed since the view was worked out.
    is_stale: AtomicBool,
    // The number of instances that the store holds; 0 for none.
    recorded: AtomicUsize,
    // The store's revision of this instance's entry; 0 while it has none.
    entered: AtomicU64,
    entry_gone: Notify,
}

#[derive(Debug)]
struct Member {
    registered: RegisteredInstance,
    gone_since: Option<Time>,
}

impl SiteFleet {
    /// Takes in an entry, or that there is none any more.
    pub fn take(&self, id: &InstanceId, entry: Option<RegisteredInstance>, now: Time) {
        let mut members = self.members.lock();
        match (entry, members.get_mut(id)) {
            (Some(registered), _) => {
                members.insert(id.clone(), Member { registered, gone_since: None });
            }
            (None, Some(member)) => {
                member.gone_since.get_or_insert(now);
            }
            (None, None) => {}
        }
        self.is_stale.store(true, Ordering::Release);
    }

    /// Forgets instances that have been gone for long.
    pub fn sweep(&self, now: Time) {
        let mut members = self.members.lock();
        let before = members.len();
        members.retain(|_, m| m.gone_since.is_none_or(|at| now.since(at) < GHOST_TIME));
        if members.len() != before {
            self.is_stale.store(true, Ordering::Release);
        }
    }

    /// The instances as of now. What follows from their list is worked out once after any number of changes.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        if self.is_stale.swap(false, Ordering::AcqRel) {
            let members = self.members.lock();
            let listed = members.values().filter(|m| m.gone_since.is_none()).map(|m| m.registered.clone());
            self.view.store(Arc::new(FleetView::new(listed.collect(), members.len())));
        }
        self.view.load_full()
    }

    /// Takes in how many instances the store says there are.
    pub fn set_recorded(&self, count: usize) {
        self.recorded.store(count, Ordering::Relaxed);
    }

    /// How many instances the store says there are; 0 when it does not say.
    #[must_use]
    pub fn recorded(&self) -> usize {
        self.recorded.load(Ordering::Relaxed)
    }

    /// Takes in that this instance's own entry was missing at a revision of the store.
    pub fn own_entry_missing(&self, revision: u64) {
        let entered = self.entered.load(Ordering::Relaxed);
        if entered > 0 && revision > entered {
            self.entry_gone.notify_one();
        }
    }
}

/// Registers this instance and keeps the entry alive until it leaves.
pub async fn register_loop(node: Arc<SiteNode>) {
    let mut failures = 0;
    while node.phase() < Phase::Draining {
        match register(&node).await {
            Ok((lease, revision)) => {
                failures = 0;
                log::info!(lease = lease, instance = node.life.instance.as_str(); "registered");
                node.fleet.entered.store(revision, Ordering::Relaxed);
                tokio::select! {
                    () = keep(&node, lease) => {}
                    () = node.fleet.entry_gone.notified() => log::info!(lease = lease; "the own entry is gone"),
                }
                node.fleet.entered.store(0, Ordering::Relaxed);
            }
            Err(e) => {
                failures += 1;
                log::warn!("registration failed: {e}");
                node.table.note_store_trouble(node.clock.now());
            }
        }
        tokio::time::sleep(backoff_delay(failures, FIRST_PAUSE, LONGEST_PAUSE, rand::random())).await;
    }
}

/// Writes the number of instances to the store, for those that start while entries are missing there.
pub async fn record_size(node: &SiteNode) {
    let (count, recorded) = (node.fleet.view().expected, node.fleet.recorded());
    let may_lower = node.clock.now().since(node.began) >= LOWERS_AFTER;
    if count == recorded || (count < recorded && !may_lower) {
        return;
    }
    let put = vec![(FLEET_SIZE_KEY.to_owned(), count.to_string().into_bytes(), 0)];
    match node.kv.commit(&Transaction { put, ..Transaction::default() }).await {
        Ok(_committed) => log::info!(count = count, before = recorded; "fleet size recorded"),
        Err(e) => log::warn!(count = count; "the fleet's size could not be recorded: {e}"),
    }
}

/// Takes this instance's entry away.
pub async fn withdraw(node: &SiteNode) {
    let remove = vec![instance_key(&node.life.instance)];
    let transaction = Transaction { remove, ..Transaction::default() };
    if let Err(e) = node.kv.commit(&transaction).await {
        log::warn!("the entry could not be withdrawn and will lapse: {e}");
    }
}

// Returns the lease and the store's revision of the entry.
async fn register(node: &SiteNode) -> StoreResult<(u64, u64)> {
    let lease = node.kv.grant_lease(LEASE_TIME).await?;
    let listen = &node.settings.listen;
    let entry = RegisteredInstance {
        id: node.life.instance.clone(),
        incarnation: node.life.incarnation,
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

// Returns when the lease has ended.
async fn keep(node: &SiteNode, lease: u64) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
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
                node.table.note_store_trouble(node.clock.now());
            }
        }
    }
}
