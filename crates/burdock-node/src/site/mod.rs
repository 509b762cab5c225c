//! An instance of a deployment on the platform: serves callers in the platform's dialect, and reads
//! configuration and backend servers from the platform's store.

pub mod admission;
pub mod allowances;
pub mod attempt;
pub mod backend;
pub mod body;
pub mod caller_body;
pub mod directory;
pub mod fleet;
pub mod fleet_view;
pub mod handle;
pub mod head_scan;
pub mod hedge;
pub mod hub;
pub mod invalid_entries;
pub mod memory;
pub mod metrics;
pub mod mirror;
pub mod outbound;
pub mod pace;
pub mod pipeline;
pub mod plan;
pub mod read_ahead;
pub mod report;
pub mod returns;
pub mod send;
pub mod serve;
pub mod start;
pub mod status;
pub mod status_check;
pub mod suspect;
pub mod sync;
pub mod table;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use burdock_decide::deadline::MeasuredService;
use burdock_decide::pipeline::RouteAnswers;
use burdock_decide::retry::RetryBudget;
use burdock_decide::split::WeightedRoundRobin;
use burdock_decide::time::Time;
use burdock_model::hash::stable_hash;
use burdock_model::hedging::{HedgeLimit, HedgeLimits};
use burdock_model::ids::InstanceIncarnation;
use burdock_model::prelude::*;
use burdock_model::site::{Route, SiteConfigIndex};
use burdock_model::site_settings::SiteSettings;
use burdock_platform::dialect::Dialect;
use burdock_platform::kv::KvClient;
use burdock_wire::client::PeerClient;

use crate::clock::Clock;
use crate::forward::quarantine::Quarantine;
use crate::hedging::HedgeState;
use crate::observe::counters::Counters;
use crate::observe::latency::LatencyHistogram;
use crate::phase::{Phase, PhaseCell};
use crate::shards::Sharded;
use crate::site::admission::Admission;
use crate::site::allowances::Allowances;
use crate::site::fleet::SiteFleet;
use crate::site::hub::Hub;
use crate::site::invalid_entries::InvalidEntries;
use crate::site::memory::BodyMemory;
use crate::site::mirror::StoreMirror;
use crate::site::plan::RegionPlans;
use crate::site::table::BackendTable;

/// One running instance of a deployment.
#[derive(Debug)]
pub struct SiteNode {
    /// Settings file, as read at the start.
    pub settings: SiteSettings,
    /// Instance id and incarnation of this process.
    pub incarnation: InstanceIncarnation,
    /// Monotonic clock of this process.
    pub clock: Clock,
    /// Time at which this process started.
    pub started_at: Time,
    /// Header names and status codes that callers and backend servers of the platform use.
    pub dialect: Dialect,
    /// Client of the platform's store.
    pub kv: KvClient,
    /// Mirror of the store's records.
    pub mirror: StoreMirror,
    /// Configuration in force.
    pub config: ArcSwap<SiteConfigIndex>,
    /// Configuration that the store holds and that was rejected, if it is the newest one.
    pub rejected_config: ArcSwapOption<RejectedConfig>,
    /// Invalid entries that were found in the store.
    pub invalid_entries: InvalidEntries,
    /// Registered backend servers.
    pub backends: BackendTable,
    /// Instances of the deployment.
    pub fleet: SiteFleet,
    /// Client for calls to other instances.
    pub peers: PeerClient,
    /// Hub of the region: merges the reports of its instances.
    pub hub: Hub,
    /// How requests of each region are divided over the regions, and the demand that this follows from.
    pub plans: RegionPlans,
    /// Tokens for forwarding requests of organisations.
    pub allowances: Allowances,
    /// Refusals and service times by service.
    pub admission: Admission,
    /// Quarantine of requests that crashed backend servers.
    pub quarantine: Quarantine,
    /// Memory for the request and response bodies that the process holds.
    pub body_memory: BodyMemory,
    /// Credit and recent times for second copies of requests.
    pub hedging: HedgeState,
    /// Limits on second copies that the store holds.
    pub hedge_limits: ArcSwap<HedgeLimits>,
    /// Counters for metrics.
    pub counters: Counters,
    /// Durations of callers' requests.
    pub latency: Latencies,
    retry_budgets: Sharded<HashMap<ServiceName, RetryBudget>>,
    target_rotations: Sharded<HashMap<RouteName, WeightedRoundRobin>>,
    service_times: Sharded<HashMap<RouteName, WarmServiceTime>>,
    answer_sizes: Sharded<HashMap<RouteName, f64>>,
    route_answers: Sharded<HashMap<RouteName, RouteAnswers>>,
    max_time_limits: Sharded<HashMap<RouteName, Duration>>,
    phase: PhaseCell,
    // Time at which a stop ends whatever is in flight, once it has begun.
    ends_at: OnceLock<Time>,
    in_flight: AtomicUsize,
    last_request_at: AtomicU64,
    config_installed_at: AtomicU64,
}

/// Configuration that was rejected.
#[derive(Debug)]
pub struct RejectedConfig {
    /// Store revision at which it was written.
    pub revision: u64,
    /// What is invalid in it.
    pub reason: Error,
}

/// Durations of callers' requests, by whether a backend server answered.
#[derive(Debug, Default)]
pub struct Latencies {
    /// Requests that a backend server answered.
    pub answered: LatencyHistogram,
    /// Requests that this instance refused or that no backend server answered.
    pub refused: LatencyHistogram,
}

/// Estimated service time of a route's requests on a backend server with a warm cache for their object.
#[derive(Clone, Copy, Debug)]
struct WarmServiceTime {
    estimate_ms: f64,
    answers: u32,
    measured_at: Time,
}

/// Divisor of the step towards a service time that is longer than the estimate. It is larger than the one for
/// shorter times, so that the estimate stays near that of warm objects.
const LONGER_SERVICE_TIME_DIVISOR: f64 = 48.0;

/// Divisor of the step towards a service time that is shorter than the estimate.
const SHORTER_SERVICE_TIME_DIVISOR: f64 = 8.0;

/// Fraction of a route's latency target that its service time is estimated at before any was measured.
const INITIAL_SERVICE_TIME_FRACTION: f64 = 0.35;

/// Weight of a new answer in the mean size of a route's answers.
const ANSWER_SIZE_SMOOTHING: f64 = 1.0 / 16.0;

/// Fraction of its share of the fleet's retry bounds that an instance uses. The rest covers instances whose
/// views of the fleet's size differ.
const RETRY_BUDGET_FRACTION: f64 = 0.6;

impl SiteNode {
    /// Creates an instance that has no configuration yet.
    #[must_use]
    pub fn new(settings: SiteSettings, incarnation: InstanceIncarnation, peers: PeerClient) -> Self {
        let clock = Clock::start();
        Self {
            kv: KvClient::new(settings.store),
            mirror: StoreMirror::default(),
            backends: BackendTable::new(&settings),
            fleet: SiteFleet::default(),
            incarnation,
            started_at: clock.now(),
            clock,
            dialect: Dialect::platform(),
            config: ArcSwap::default(),
            rejected_config: ArcSwapOption::default(),
            invalid_entries: InvalidEntries::default(),
            peers,
            hub: Hub::default(),
            plans: RegionPlans::default(),
            allowances: Allowances::default(),
            admission: Admission::default(),
            quarantine: Quarantine::default(),
            body_memory: BodyMemory::new(settings.memory_bytes),
            hedging: HedgeState::default(),
            hedge_limits: ArcSwap::default(),
            counters: Counters::default(),
            latency: Latencies::default(),
            retry_budgets: Sharded::default(),
            target_rotations: Sharded::default(),
            service_times: Sharded::default(),
            answer_sizes: Sharded::default(),
            route_answers: Sharded::default(),
            max_time_limits: Sharded::default(),
            phase: PhaseCell::default(),
            ends_at: OnceLock::new(),
            in_flight: AtomicUsize::new(0),
            last_request_at: AtomicU64::new(0),
            config_installed_at: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the current phase of the process.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Advances to a phase and logs the change. An earlier phase than the current one has no effect.
    pub fn advance(&self, phase: Phase) {
        if self.phase.advance(phase) {
            log::info!(phase:? = phase, version = self.config.load().published.version; "phase");
        }
    }

    /// Begins a stop that ends whatever is in flight at a time.
    pub fn begin_stop(&self, ends_at: Time) {
        self.ends_at.get_or_init(|| ends_at);
        self.advance(Phase::Draining);
    }

    /// Returns the time until a stop ends whatever is in flight, `None` if the process is not stopping.
    #[must_use]
    pub fn time_until_end(&self, now: Time) -> Option<Duration> {
        self.ends_at.get().map(|ends_at| ends_at.since(now))
    }

    /// Puts a configuration in force.
    pub fn install_config(&self, config: SiteConfigIndex, now: Time) {
        self.config.store(Arc::new(config));
        self.rejected_config.store(None);
        self.config_installed_at.store(now.0, Ordering::Relaxed);
    }

    /// Returns how long the configuration has been in force, `None` if there is none.
    #[must_use]
    pub fn config_age(&self, now: Time) -> Option<Duration> {
        let installed_at = Time(self.config_installed_at.load(Ordering::Relaxed));
        self.config.load().is_published().then(|| now.since(installed_at))
    }

    /// Returns why no configuration is in force, for an instance that has none.
    #[must_use]
    pub fn missing_config_reason(&self) -> String {
        self.rejected_config.load().as_ref().map_or_else(
            || "no configuration is known yet".to_owned(),
            |r| {
                let (revision, reason) = (r.revision, &r.reason);
                format!("no valid configuration is known: that of revision {revision} was rejected: {reason}")
            },
        )
    }

    /// Returns the number of callers' requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.last_request_at.store(self.clock.now().0, Ordering::Relaxed);
        RequestGuard { node: Arc::clone(self) }
    }

    /// Selects the service for the next request of a route by the weights of the route's targets. Returns its
    /// index into the configuration's services.
    #[must_use]
    pub fn select_service_ix(&self, route: &Route) -> usize {
        if let [only] = route.targets.as_slice() {
            return only.service;
        }
        let weights: Vec<f64> = route.targets.iter().map(|t| t.weight).collect();
        let mut shard = self.target_rotations.lock(name_hash(route.name.as_str()));
        let target_ix = shard.entry(route.name.clone()).or_default().next_index(&weights);
        route.targets[target_ix].service
    }

    /// Returns the estimated service time of a route's requests with a warm cache, in milliseconds.
    #[must_use]
    pub fn warm_service_ms(&self, route: &Route) -> f64 {
        let shard = self.service_times.lock(name_hash(route.name.as_str()));
        let initial_ms = route.latency_target.as_secs_f64() * 1e3 * INITIAL_SERVICE_TIME_FRACTION;
        shard.get(&route.name).map_or(initial_ms, |t| t.estimate_ms)
    }

    /// Returns the service time of a route's requests with a warm cache and what it follows from, `None` before
    /// the first measurement.
    #[must_use]
    pub fn measured_service(&self, route: &Route, now: Time) -> Option<MeasuredService> {
        let shard = self.service_times.lock(name_hash(route.name.as_str()));
        let time = shard.get(&route.name)?;
        let age = now.since(time.measured_at);
        Some(MeasuredService { warm_ms: time.estimate_ms, answers: time.answers, age })
    }

    /// Updates the estimate of a route's service time with a measured one.
    pub fn record_service_time(&self, route: &Route, measured_ms: f64) {
        let initial_ms = route.latency_target.as_secs_f64() * 1e3 * INITIAL_SERVICE_TIME_FRACTION;
        let mut shard = self.service_times.lock(name_hash(route.name.as_str()));
        let time = shard.entry(route.name.clone()).or_insert(WarmServiceTime {
            estimate_ms: initial_ms,
            answers: 0,
            measured_at: Time(0),
        });
        time.answers = time.answers.saturating_add(1);
        time.measured_at = self.clock.now();
        let divisor = if measured_ms > time.estimate_ms {
            LONGER_SERVICE_TIME_DIVISOR
        } else {
            SHORTER_SERVICE_TIME_DIVISOR
        };
        time.estimate_ms += (measured_ms - time.estimate_ms) / divisor;
    }

    /// Returns the mean size of a route's answers in bytes; 0 before the first.
    #[must_use]
    pub fn mean_answer_bytes(&self, route: &Route) -> f64 {
        let shard = self.answer_sizes.lock(name_hash(route.name.as_str()));
        shard.get(&route.name).copied().unwrap_or(0.0)
    }

    /// Updates the mean size of a route's answers.
    pub fn record_answer_bytes(&self, route: &Route, bytes: u64) {
        let mut shard = self.answer_sizes.lock(name_hash(route.name.as_str()));
        // Begins at zero, so that a few answers move no objects to other backend servers.
        let mean = shard.entry(route.name.clone()).or_default();
        *mean += (bytes as f64 - *mean) * ANSWER_SIZE_SMOOTHING;
    }

    /// Records whether an answer of a route was whole before any of it was forwarded.
    pub fn record_answer_delivery(&self, route: &Route, is_whole: bool) {
        let mut shard = self.route_answers.lock(name_hash(route.name.as_str()));
        if !shard.contains_key(&route.name) {
            shard.insert(route.name.clone(), RouteAnswers::default());
        }
        if let Some(answers) = shard.get_mut(&route.name) {
            if is_whole { answers.record_whole() } else { answers.record_streamed(self.clock.now()) }
        }
    }

    /// Returns how many requests of a connection may start behind a request of a route.
    #[must_use]
    pub fn max_started_behind(&self, route: &Route) -> usize {
        let shard = self.route_answers.lock(name_hash(route.name.as_str()));
        shard.get(&route.name).copied().unwrap_or_default().max_started_behind(self.clock.now())
    }

    /// Returns how long a caller has waited in earlier attempts: the longest time limit that a request of the
    /// route had on arrival, less that of this request.
    #[must_use]
    pub fn earlier_wait(&self, route: &Route, time_limit: Duration) -> Duration {
        let mut shard = self.max_time_limits.lock(name_hash(route.name.as_str()));
        let longest = shard.entry(route.name.clone()).or_default();
        *longest = (*longest).max(time_limit);
        longest.saturating_sub(time_limit)
    }

    /// Credits a service's retry budget for a first attempt.
    pub fn deposit_retry(&self, service: &ServiceName) {
        self.with_retry_budget(service, RetryBudget::deposit);
    }

    /// Takes one retry from a service's budget. Returns `false` if the budget is used up.
    #[must_use]
    pub fn withdraw_retry(&self, service: &ServiceName) -> bool {
        self.with_retry_budget(service, RetryBudget::withdraw)
    }

    /// Takes one attempt from a service's retry budget for a second copy of a request, which leaves half of
    /// the budget for retries. Returns `false` if too little is left.
    #[must_use]
    pub fn withdraw_spare_retry(&self, service: &ServiceName) -> bool {
        self.with_retry_budget(service, RetryBudget::withdraw_spare)
    }

    /// Returns the limit on second copies of a service's requests.
    #[must_use]
    pub fn hedge_limit(&self, service: &ServiceName) -> HedgeLimit {
        self.hedge_limits.load().of_service(service, self.settings.hedge_limit)
    }

    fn with_retry_budget<R>(&self, service: &ServiceName, f: impl FnOnce(&mut RetryBudget) -> R) -> R {
        const MILLIRETRIES_PER_RETRY: f64 = 1000.0;
        let bounds = &self.settings.bounds;
        let instances = self.fleet.view().expected.max(1) as f64;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
        let (max_milliretries, deposit_milliretries) = (
            (bounds.retry_slack / instances * RETRY_BUDGET_FRACTION * MILLIRETRIES_PER_RETRY) as u32,
            (bounds.retry_ratio * RETRY_BUDGET_FRACTION * MILLIRETRIES_PER_RETRY) as u32,
        );
        let mut shard = self.retry_budgets.lock(name_hash(service.as_str()));
        let budget = shard
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(max_milliretries, deposit_milliretries));
        budget.set_cap(max_milliretries);
        f(budget)
    }

    /// Returns the time since the last request of a caller arrived.
    #[must_use]
    pub fn idle_time(&self) -> Duration {
        self.clock.now().since(Time(self.last_request_at.load(Ordering::Relaxed)))
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    node: Arc<SiteNode>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the stable hash of a name, by which shards are selected and instances name organisations and
/// backend servers to each other.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    const SEED: u64 = 31;
    stable_hash(name.as_bytes(), SEED)
}
