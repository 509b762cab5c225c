//! An instance of a deployment on the platform: callers in the platform's dialect, configuration and backend
//! servers from its store.

pub mod allowances;
pub mod attempt;
pub mod backend;
pub mod body;
pub mod directory;
pub mod fleet;
pub mod fleet_view;
pub mod handle;
pub mod head_scan;
pub mod hub;
pub mod metrics;
pub mod mirror;
pub mod outbound;
pub mod pipeline;
pub mod read_ahead;
pub mod report;
pub mod send;
pub mod serve;
pub mod start;
pub mod sync;
pub mod table;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use burdock_decide::retry::RetryBudget;
use burdock_decide::split::WeightedRoundRobin;
use burdock_decide::time::Time;
use burdock_model::hash::stable_hash;
use burdock_model::ids::InstanceIncarnation;
use burdock_model::prelude::*;
use burdock_model::site::{Route, SiteConfigIndex};
use burdock_model::site_settings::SiteSettings;
use burdock_platform::dialect::Dialect;
use burdock_platform::kv::KvClient;
use burdock_wire::client::PeerClient;

use crate::clock::Clock;
use crate::forward::quarantine::Quarantine;
use crate::observe::counters::Counters;
use crate::observe::latency::Latency;
use crate::phase::{Phase, PhaseCell};
use crate::shards::Sharded;
use crate::site::allowances::Allowances;
use crate::site::fleet::SiteFleet;
use crate::site::hub::Hub;
use crate::site::mirror::Mirror;
use crate::site::table::BackendTable;

/// One running instance of a deployment.
#[derive(Debug)]
pub struct SiteNode {
    /// Its settings.
    pub settings: SiteSettings,
    /// Its life.
    pub life: InstanceIncarnation,
    /// Its clock.
    pub clock: Clock,
    /// When it started.
    pub began: Time,
    /// The names on the wire.
    pub dialect: Dialect,
    /// The platform's store.
    pub kv: KvClient,
    /// What is known of the store.
    pub mirror: Mirror,
    /// The configuration in force.
    pub plan: ArcSwap<SiteConfigIndex>,
    /// The backend servers.
    pub table: BackendTable,
    /// The instances of the deployment.
    pub fleet: SiteFleet,
    /// Calls to other instances.
    pub peers: PeerClient,
    /// What instances tell each other.
    pub hub: Hub,
    /// Leave to pass on requests of organisations.
    pub allowances: Allowances,
    /// Requests that crash backend servers.
    pub quarantine: Quarantine,
    /// Counters.
    pub counters: Counters,
    /// How long requests took.
    pub latency: Latencies,
    budgets: Sharded<HashMap<ServiceName, RetryBudget>>,
    splits: Sharded<HashMap<RouteName, WeightedRoundRobin>>,
    work_times: Sharded<HashMap<RouteName, WorkTime>>,
    deadlines: Sharded<HashMap<RouteName, Duration>>,
    phase: PhaseCell,
    in_flight: AtomicUsize,
    last_request: AtomicU64,
}

/// How long requests took, by whether a backend server answered.
#[derive(Debug, Default)]
pub struct Latencies {
    /// A backend server answered.
    pub answered: Latency,
    /// This instance refused, or no backend server answered.
    pub refused: Latency,
}

/// Usual working time of a route's requests where their object ran lately.
#[derive(Clone, Copy, Debug)]
struct WorkTime {
    usual_ms: f64,
}

/// A new working time counts for one part in this many of the usual one, when it is longer and when it is
/// shorter. Thus the usual one stays near that of objects that ran lately.
const LONGER_WORK_WEIGHT: f64 = 48.0;

/// The same for a shorter one.
const SHORTER_WORK_WEIGHT: f64 = 8.0;

/// The part of the latency target that a request is assumed to work before any was seen.
const FIRST_WORK_PART: f64 = 0.35;

/// The part of the fleet's bound on further attempts that this instance uses. The rest covers views of the
/// fleet that differ.
const RETRY_PART: f64 = 0.6;

impl SiteNode {
    /// An instance that has no configuration yet.
    #[must_use]
    pub fn new(settings: SiteSettings, life: InstanceIncarnation, peers: PeerClient) -> Self {
        let clock = Clock::start();
        Self {
            kv: KvClient::new(settings.store),
            mirror: Mirror::default(),
            table: BackendTable::new(&settings),
            fleet: SiteFleet::default(),
            life,
            began: clock.now(),
            clock,
            dialect: Dialect::platform(),
            plan: ArcSwap::default(),
            peers,
            hub: Hub::default(),
            allowances: Allowances::default(),
            quarantine: Quarantine::default(),
            counters: Counters::default(),
            latency: Latencies::default(),
            budgets: Sharded::default(),
            splits: Sharded::default(),
            work_times: Sharded::default(),
            deadlines: Sharded::default(),
            phase: PhaseCell::default(),
            in_flight: AtomicUsize::new(0),
            last_request: AtomicU64::new(0),
            settings,
        }
    }

    /// How far it is in its life.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Goes on to a phase. It never goes back.
    pub fn advance(&self, phase: Phase) {
        if self.phase.advance(phase) {
            log::info!(phase:? = phase, version = self.plan.load().config.version; "phase");
        }
    }

    /// Requests at work.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as at work until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> AtWork {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.last_request.store(self.clock.now().0, Ordering::Relaxed);
        AtWork { node: Arc::clone(self) }
    }

    /// The service that the next request of a route goes to, as an index into the plan's services.
    #[must_use]
    pub fn next_service(&self, route: &Route) -> usize {
        if let [only] = route.targets.as_slice() {
            return only.service;
        }
        let weights: Vec<f64> = route.targets.iter().map(|t| t.weight).collect();
        let mut shard = self.splits.lock(hash_of(route.name.as_str()));
        let part = shard.entry(route.name.clone()).or_default().next_index(&weights);
        route.targets[part].service
    }

    /// Usual working time of a route's requests, in milliseconds.
    #[must_use]
    pub fn work_ms(&self, route: &Route) -> f64 {
        let shard = self.work_times.lock(hash_of(route.name.as_str()));
        let first = route.latency_target.as_secs_f64() * 1e3 * FIRST_WORK_PART;
        shard.get(&route.name).map_or(first, |w| w.usual_ms)
    }

    /// Takes in how long a request of a route was worked on.
    pub fn observe_work(&self, route: &Route, measured_ms: f64) {
        let first = route.latency_target.as_secs_f64() * 1e3 * FIRST_WORK_PART;
        let mut shard = self.work_times.lock(hash_of(route.name.as_str()));
        let work = shard.entry(route.name.clone()).or_insert(WorkTime { usual_ms: first });
        let weight = if measured_ms > work.usual_ms { LONGER_WORK_WEIGHT } else { SHORTER_WORK_WEIGHT };
        work.usual_ms += (measured_ms - work.usual_ms) / weight;
    }

    /// How long a caller has waited before this attempt: the longest deadline seen on the route, less this one.
    #[must_use]
    pub fn waited_before(&self, route: &Route, deadline: Duration) -> Duration {
        let mut shard = self.deadlines.lock(hash_of(route.name.as_str()));
        let longest = shard.entry(route.name.clone()).or_default();
        *longest = (*longest).max(deadline);
        longest.saturating_sub(deadline)
    }

    /// Counts a request for a service towards its further attempts.
    pub fn earn_retry(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::deposit);
    }

    /// Takes one further attempt if there is one.
    #[must_use]
    pub fn spend_retry(&self, service: &ServiceName) -> bool {
        self.with_budget(service, RetryBudget::withdraw)
    }

    fn with_budget<R>(&self, service: &ServiceName, f: impl FnOnce(&mut RetryBudget) -> R) -> R {
        const THOUSAND: f64 = 1000.0;
        let bounds = &self.settings.bounds;
        let instances = self.fleet.view().expected.max(1) as f64;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
        let (cap, ratio) = (
            (bounds.retry_slack / instances * RETRY_PART * THOUSAND) as u32,
            (bounds.retry_ratio * RETRY_PART * THOUSAND) as u32,
        );
        let mut shard = self.budgets.lock(hash_of(service.as_str()));
        let budget = shard.entry(service.clone()).or_insert_with(|| RetryBudget::new(cap, ratio));
        budget.set_cap(cap);
        f(budget)
    }

    /// When the last request came, as time since then.
    #[must_use]
    pub fn quiet_for(&self) -> Duration {
        self.clock.now().since(Time(self.last_request.load(Ordering::Relaxed)))
    }
}

/// A request at work.
#[derive(Debug)]
pub struct AtWork {
    node: Arc<SiteNode>,
}

impl Drop for AtWork {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Hash of a name, for picking a shard.
#[must_use]
pub fn hash_of(name: &str) -> u64 {
    const SEED: u64 = 31;
    stable_hash(name.as_bytes(), SEED)
}
