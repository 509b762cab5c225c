//! The instances of the deployment, and this one's registration among them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use burdock_decide::apportion::hub_order;
use burdock_decide::backoff::pause;
use burdock_decide::entries::{EntryView, takers};
use burdock_decide::time::Time;
use burdock_model::ids::{InstanceId, RegionName};
use burdock_model::site::RegisteredInstance;
use burdock_platform::decode::{FLEET_SIZE_KEY, instance_key};
use burdock_platform::kv::{Committed, Transaction};
use burdock_platform::store::StoreResult;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::phase::Phase;
use crate::site::SiteNode;

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

/// The instances of the deployment.
#[derive(Debug, Default)]
pub struct SiteFleet {
    members: Mutex<BTreeMap<InstanceId, Member>>,
    view: ArcSwap<FleetView>,
    // The number of instances that the store holds; 0 for none.
    recorded: AtomicUsize,
    // The store's revision of this instance's entry; 0 while it has none.
    entered: AtomicU64,
    entry_gone: Notify,
}

/// The instances as requests see them.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Instances that are listed now.
    pub listed: Vec<RegisteredInstance>,
    /// Instances that may be using a share of what all have together.
    pub expected: usize,
    regions: BTreeMap<RegionName, RegionView>,
}

/// The instances of one region, as indices into the list.
#[derive(Debug, Default)]
struct RegionView {
    // In the order in which they serve as the region's hub.
    hubs: Vec<usize>,
    takers: Vec<usize>,
}

impl FleetView {
    /// The instances of a region in the order in which they serve as its hub.
    pub fn hubs(&self, region: &RegionName) -> impl Iterator<Item = &RegisteredInstance> {
        self.of(region, |view| &view.hubs)
    }

    /// The instances of a region that take callers.
    pub fn takers(&self, region: &RegionName) -> impl Iterator<Item = &RegisteredInstance> {
        self.of(region, |view| &view.takers)
    }

    /// The first region by name that has instances.
    #[must_use]
    pub fn first_region(&self) -> Option<&RegionName> {
        self.regions.keys().next()
    }

    /// The instances of all regions that take callers.
    pub fn all_takers(&self) -> impl Iterator<Item = &RegisteredInstance> {
        self.regions.keys().flat_map(|region| self.takers(region))
    }

    fn of(
        &self,
        region: &RegionName,
        pick: impl Fn(&RegionView) -> &Vec<usize>,
    ) -> impl Iterator<Item = &RegisteredInstance> {
        let picked = self.regions.get(region).map(pick);
        picked.into_iter().flatten().map(|ix| &self.listed[*ix])
    }

    fn of_members(members: &BTreeMap<InstanceId, Member>) -> Self {
        let listed: Vec<RegisteredInstance> =
            members.values().filter(|m| m.gone_since.is_none()).map(|m| m.registered.clone()).collect();
        let names: BTreeSet<&RegionName> = listed.iter().map(|i| &i.region).collect();
        let regions = names.into_iter().map(|name| (name.clone(), RegionView::of(&listed, name))).collect();
        Self { listed, expected: members.len(), regions }
    }
}

impl RegionView {
    fn of(listed: &[RegisteredInstance], region: &RegionName) -> Self {
        let members: Vec<usize> = (0..listed.len()).filter(|ix| listed[*ix].region == *region).collect();
        let entry = |ix: &usize| {
            let RegisteredInstance { zone, strength, cores, .. } = &listed[*ix];
            EntryView { zone: zone.as_str(), strength: *strength, cores: *cores }
        };
        let taking = takers(&members.iter().map(entry).collect::<Vec<_>>());
        let numbered = members.iter().map(|ix| (*ix, &listed[*ix]));
        let order =
            hub_order(region.as_str(), numbered, |(_, i)| i.id.as_str(), |(_, i)| i.strength).into_iter();
        let hubs = order.map(|(ix, _)| ix).collect();
        Self { hubs, takers: taking.into_iter().map(|nth| members[nth]).collect() }
    }
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
        self.view.store(Arc::new(FleetView::of_members(&members)));
    }

    /// Forgets instances that have been gone for long.
    pub fn sweep(&self, now: Time) {
        let mut members = self.members.lock();
        let before = members.len();
        members.retain(|_, m| m.gone_since.is_none_or(|at| now.since(at) < GHOST_TIME));
        if members.len() != before {
            self.view.store(Arc::new(FleetView::of_members(&members)));
        }
    }

    /// The instances as of now.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
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
        tokio::time::sleep(pause(failures, FIRST_PAUSE, LONGEST_PAUSE, rand::random())).await;
    }
}

/// Writes the number of instances to the store, for those that start while entries are missing there.
pub async fn record_size(node: &SiteNode) {
    let count = node.fleet.view().expected;
    if count == node.fleet.recorded() {
        return;
    }
    let put = vec![(FLEET_SIZE_KEY.to_owned(), count.to_string().into_bytes(), 0)];
    match node.kv.commit(&Transaction { put, ..Transaction::default() }).await {
        Ok(_committed) => log::info!(count = count, before = node.fleet.recorded(); "fleet size recorded"),
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
    let lease = node.kv.grant(LEASE_TIME).await?;
    let listen = &node.settings.listen;
    let entry = RegisteredInstance {
        id: node.life.instance.clone(),
        incarnation: node.life.incarnation,
        region: node.settings.region.clone(),
        zone: node.settings.zone.clone(),
        callers: listen.callers,
        peers: listen.peers,
        strength: node.settings.strength(),
        cores: node.settings.usable_cores(),
    };
    let value = serde_json::to_vec(&entry).unwrap_or_default();
    let put = vec![(instance_key(&entry.id), value, lease)];
    match node.kv.commit(&Transaction { put, ..Transaction::default() }).await? {
        Committed::At(revision) => Ok((lease, revision)),
        Committed::Conflict { .. } | Committed::NoLease => {
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
        match node.kv.renew(lease).await {
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
