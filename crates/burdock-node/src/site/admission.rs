//! Requests that are refused for lack of capacity or time, and the pressure on services, from what this
//! instance measured and what others reported.

use std::collections::HashMap;
use std::time::Duration;

use arc_swap::ArcSwap;
use burdock_decide::deadline::can_be_answered;
use burdock_decide::pressure::PressureView;
use burdock_decide::time::Time;
use burdock_model::prelude::*;
use burdock_wire::messages::HashedAmount;

use crate::observe::counters::Counter;
use crate::shards::Sharded;
use crate::site::backend::Backend;
use crate::site::outbound::Outbound;
use crate::site::{SiteNode, name_hash};

/// Divisor of the step of the mean service time towards a new measurement.
const SAMPLE_DIVISOR: f64 = 32.0;

/// Time constant of the rate of refusals: a few reports, and short compared with a burst.
const REFUSAL_RATE_TIME: Duration = Duration::from_secs(1);

/// Requests per second below which no refusals are reported.
const MIN_REFUSALS_PER_S: f64 = 0.05;

/// Time for which the sum of the loads of a service's backend servers is kept, so that an instance that
/// refuses many requests does not add it up for each of them. Other instances report as often.
const LOAD_TTL: Duration = Duration::from_millis(250);

/// Refusals, service times and loads, by service.
#[derive(Debug, Default)]
pub struct Admission {
    services: Sharded<HashMap<ServiceName, ServiceState>>,
    remote_refusals: ArcSwap<RemoteRefusals>,
}

/// Why a request was not sent to any backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No backend server has room for it.
    NoRoom,
    /// No backend server can answer it in the time left.
    NoTime,
}

#[derive(Debug, Default)]
struct ServiceState {
    mean_ms: f64,
    samples: u32,
    refusals_per_s: f64,
    refused_at: Time,
    load: Option<ServiceLoad>,
}

// Sums over the backend servers of a service.
#[derive(Clone, Copy, Debug)]
struct ServiceLoad {
    slots: f64,
    load: f64,
    summed_at: Time,
}

// Refusals per second of other instances, by hash of the service's name.
#[derive(Debug, Default)]
struct RemoteRefusals {
    by_service: HashMap<u64, f32>,
    reported_at: Option<Time>,
}

impl Refusal {
    /// Returns the words for log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "none with room",
            Self::NoTime => "none that answers in the time left",
        }
    }
}

impl Admission {
    /// Counts a request for which no backend server was found and returns why.
    pub fn refuse(node: &SiteNode, outbound: &Outbound<'_>, service: &ServiceName, now: Time) -> Refusal {
        if !can_any_answer(node, outbound, service, now) {
            node.counters.add(Counter::NoTime);
            return Refusal::NoTime;
        }
        node.counters.add(Counter::NoRoom);
        let mut shard = node.admission.services.lock(name_hash(service.as_str()));
        shard.entry(service.clone()).or_default().count_refusal(now);
        Refusal::NoRoom
    }

    /// Returns the pressure on a service as far as this instance knows.
    #[must_use]
    pub fn pressure(node: &SiteNode, service: &ServiceName, now: Time) -> PressureView {
        let hash = name_hash(service.as_str());
        let remote = node.admission.remote_refusals.load();
        let mut shard = node.admission.services.lock(hash);
        let state = shard.entry(service.clone()).or_default();
        let kept = state.load.filter(|load| now.since(load.summed_at) < LOAD_TTL);
        let load = *state.load.insert(kept.unwrap_or_else(|| ServiceLoad::sum(node, service, now)));
        PressureView {
            slots: load.slots,
            load: load.load,
            mean_ms: state.mean_ms,
            own_refusals_per_s: state.refusals_per_s(now),
            other_refusals_per_s: f64::from(remote.by_service.get(&hash).copied().unwrap_or(0.0)),
            report_age: remote.reported_at.map_or(Duration::MAX, |at| now.since(at)),
        }
    }

    /// Returns the requests per second that this instance refuses for lack of room, by service.
    #[must_use]
    pub fn refusals(&self, now: Time) -> Vec<HashedAmount> {
        let mut refusals = Vec::new();
        for shard in self.services.lock_each() {
            let rates = shard.iter().map(|(name, state)| (name, state.refusals_per_s(now)));
            #[expect(clippy::cast_possible_truncation, reason = "a rate needs no more digits")]
            refusals.extend(
                rates
                    .filter(|(_, rate)| *rate >= MIN_REFUSALS_PER_S)
                    .map(|(name, rate)| HashedAmount { hash: name_hash(name.as_str()), amount: rate as f32 }),
            );
        }
        refusals
    }

    /// Sets the requests per second that other instances refuse, by service.
    pub fn set_remote_refusals(&self, refusals: &[HashedAmount], now: Time) {
        let finite = refusals.iter().filter(|r| r.amount.is_finite());
        let by_service = finite.map(|r| (r.hash, r.amount)).collect();
        self.remote_refusals.store(RemoteRefusals { by_service, reported_at: Some(now) }.into());
    }

    /// Updates the mean service time of a service with the time that an answer took, without the network.
    /// When it was sent, the backend server had `load` requests for its `slots`.
    pub fn record_answer(&self, service: &ServiceName, took_ms: f64, load: u32, slots: u32) {
        let slots = f64::from(slots.max(1));
        let ahead = (f64::from(load) + 1.0 - slots).max(0.0);
        let service_ms = took_ms / (1.0 + ahead / slots);
        let mut shard = self.services.lock(name_hash(service.as_str()));
        if !shard.contains_key(service) {
            shard.insert(service.clone(), ServiceState::default());
        }
        if let Some(state) = shard.get_mut(service) {
            state.samples = state.samples.saturating_add(1);
            let divisor = SAMPLE_DIVISOR.min(f64::from(state.samples));
            state.mean_ms += (service_ms - state.mean_ms) / divisor;
        }
    }
}

impl ServiceState {
    fn count_refusal(&mut self, now: Time) {
        self.refusals_per_s = self.refusals_per_s(now) + 1.0 / REFUSAL_RATE_TIME.as_secs_f64();
        self.refused_at = now;
    }

    fn refusals_per_s(&self, now: Time) -> f64 {
        let age = now.since(self.refused_at).as_secs_f64();
        self.refusals_per_s * (-age / REFUSAL_RATE_TIME.as_secs_f64()).exp()
    }
}

impl ServiceLoad {
    fn sum(node: &SiteNode, service: &ServiceName, now: Time) -> Self {
        let usable = node.backends.usable();
        let backends = usable.services.get(service).map_or(&[] as &[_], Vec::as_slice);
        let candidates = backends.iter().map(|b| b.candidate(true, 0.0, true, now));
        let (slots, load) = candidates
            .fold((0.0, 0.0), |(slots, load), c| (slots + f64::from(c.slots), load + f64::from(c.load)));
        Self { slots, load, summed_at: now }
    }
}

/// Returns the pressure on each service of the configuration as far as this instance knows.
#[must_use]
pub fn pressures(node: &SiteNode, now: Time) -> Vec<(ServiceName, PressureView)> {
    let config = node.config.load();
    let names = config.published.services.iter().map(|s| &s.name);
    names.map(|name| (name.clone(), Admission::pressure(node, name, now))).collect()
}

/// Returns whether a request may run in the region of a backend server.
#[must_use]
pub fn is_eligible(node: &SiteNode, outbound: &Outbound<'_>, backend: &Backend) -> bool {
    let region = node.backends.region(backend.region);
    outbound.eligible_regions.is_empty() || region.is_some_and(|r| outbound.eligible_regions.contains(&r))
}

// Returns whether any backend server that may run a request can answer it in the time left. If none may run
// it, time is not what it lacks.
fn can_any_answer(node: &SiteNode, outbound: &Outbound<'_>, service: &ServiceName, now: Time) -> bool {
    let usable = node.backends.usable();
    let backends = usable.services.get(service).map_or(&[] as &[_], Vec::as_slice);
    let round_trips_ms = node.backends.round_trips_ms(backends);
    let (measured, time_left) = (node.measured_service(outbound.route, now), outbound.time_left(now));
    let mut eligible = backends.iter().filter(|b| is_eligible(node, outbound, b)).peekable();
    eligible.peek().is_none()
        || eligible.any(|b| can_be_answered(time_left, round_trips_ms[b.region], measured))
}
