//! Plans that divide each region's requests over the regions, by service.
//!
//! Instances report the demand that they measure. The hub of each region sums it, exchanges sums with the other
//! hubs, advances the plan and answers reports with it, so that all instances of a region use the same one. An
//! instance without a plan of its hub computes one from the registered slots and equal demand of all regions,
//! which gives all instances the same result. `docs/design/placement.md` states what happens on failures.

use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use burdock_decide::place::local_weight;
use burdock_decide::region_plan::{
    PlanRegion, PlanWeights, next_plan, plan_weights, smoothing, split_of, update_shares,
};
use burdock_decide::time::Time;
use burdock_model::prelude::*;
use burdock_wire::messages::{HashedAmount, ServiceSplit, TrafficReport};
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::observe::counters::Counter;
use crate::shards::Sharded;
use crate::site::hub::FleetSize;
use crate::site::{SiteNode, name_hash};

/// Time between two changes of a plan.
const STEP_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a plan is used after the hub last sent it.
const PLAN_TTL: Duration = Duration::from_secs(30);

/// Weight of a new count in the moving average of an instance's demand.
const DEMAND_SMOOTHING: f64 = 0.3;

/// Demand in busy slots below which none is reported.
const MIN_DEMAND: f64 = 0.01;

/// Total demand in busy slots from which its division over regions says something of their callers.
const MIN_TOTAL_DEMAND: f64 = 1.0;

/// Demand for each slot that is assumed until it was measured: enough for the plan to matter.
const INITIAL_MEAN_LOAD: f64 = 0.4;

/// Longest time that one measurement of demand stands for, in seconds. An instance that becomes the hub again has
/// measured nothing in between.
const MAX_LEARNED_TIME_S: f64 = 1.0;

/// The local weight depends on the size of answers, which does not swing, so it is learned faster than demand.
const LOCAL_WEIGHT_SPEED: f64 = 6.0;

/// Hash of the entry by which an instance without a plan asks for it before it has any demand. One that starts
/// as the next hub goes on from it.
const PLAN_REQUEST_HASH: u64 = 0;

/// Plans of all services, and the demand that this instance measures.
#[derive(Debug, Default)]
pub struct RegionPlans {
    measured: Sharded<HashMap<ServiceName, MeasuredDemand>>,
    state: Mutex<State>,
    current: ArcSwap<PlanTable>,
}

/// Weights of the regions by service, shared by requests.
#[derive(Debug, Default, PartialEq)]
pub struct PlanTable {
    services: HashMap<ServiceName, Vec<f64>>,
}

#[derive(Debug, Default)]
struct State {
    services: HashMap<ServiceName, ServicePlan>,
    // Last demand of other regions, by region index and by hash as in reports.
    region_demands: HashMap<usize, HashMap<u64, f32>>,
    learned_at: Time,
}

#[derive(Debug)]
struct ServicePlan {
    weights: PlanWeights,
    slots: Vec<f64>,
    // Moving average of the work that the backend servers of each region do, relative to usual.
    speeds: Vec<f64>,
    // Moving average of each region's share of the demand.
    shares: Vec<f64>,
    // Moving average of the local weights of requests.
    local_weight: f64,
    // Moving average of the total demand for each slot.
    mean_load: f64,
    // Whether the plan has ever differed from the weights without one, so that the hub has to send it.
    is_sent: bool,
    received_at: Option<Time>,
    stepped_at: Option<Time>,
}

/// Slots of a service in one region.
#[derive(Clone, Copy, Debug, Default)]
struct RegionSlots {
    slots: f64,
    // Slots that would do as much at the usual pace.
    usual_slots: f64,
}

#[derive(Debug, Default)]
struct MeasuredDemand {
    busy_s: f64,
    weighted_busy_s: f64,
    demand: f64,
    weighted_demand: f64,
    counted_at: Time,
}

impl RegionPlans {
    /// Records a request for a service: its usual service time, and the local weight of its route.
    pub fn record_request(&self, service: &ServiceName, service_ms: f64, local_weight: f64) {
        let mut shard = self.measured.lock(name_hash(service.as_str()));
        if !shard.contains_key(service) {
            shard.insert(service.clone(), MeasuredDemand::default());
        }
        if let Some(measured) = shard.get_mut(service) {
            measured.busy_s += service_ms / 1e3;
            measured.weighted_busy_s += service_ms / 1e3 * local_weight;
        }
    }

    /// Returns the demand at this instance for a report: two entries for each service that it has requests for,
    /// and one if it has no plan yet.
    #[must_use]
    pub fn demands(&self, now: Time) -> Vec<HashedAmount> {
        let has_plan = self.state.lock().services.values().any(|plan| plan.is_received(now));
        let mut demands = Vec::new();
        if !has_plan {
            demands.push(amount(PLAN_REQUEST_HASH, 0.0));
        }
        for mut shard in self.measured.lock_each() {
            for (service, measured) in shard.iter_mut() {
                measured.update(now);
                if measured.demand >= MIN_DEMAND {
                    demands.push(amount(name_hash(service.as_str()), measured.demand));
                    demands.push(amount(local_weight_hash(service), measured.weighted_demand));
                }
            }
        }
        demands
    }

    /// Returns the plans in use.
    #[must_use]
    pub fn current(&self) -> Arc<PlanTable> {
        self.current.load_full()
    }

    fn publish(&self, state: &State) {
        let uneven = state.services.iter().filter(|(_, plan)| !plan.weights.is_even());
        let services = uneven.map(|(service, plan)| (service.clone(), plan.weights.weights())).collect();
        let table = PlanTable { services };
        if **self.current.load() != table {
            self.current.store(Arc::new(table));
        }
    }
}

impl PlanTable {
    /// Returns the weight of each region by index for requests for a service; empty if all weigh the same.
    #[must_use]
    pub fn region_weights(&self, service: &ServiceName) -> &[f64] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}

impl MeasuredDemand {
    fn update(&mut self, now: Time) {
        let elapsed = now.since(self.counted_at).as_secs_f64();
        let is_first = self.counted_at == Time::default();
        self.counted_at = now;
        let (busy_s, weighted_s) =
            (std::mem::take(&mut self.busy_s), std::mem::take(&mut self.weighted_busy_s));
        if !is_first && elapsed > 0.0 {
            self.demand += (busy_s / elapsed - self.demand) * DEMAND_SMOOTHING;
            self.weighted_demand += (weighted_s / elapsed - self.weighted_demand) * DEMAND_SMOOTHING;
        }
    }
}

impl ServicePlan {
    fn new(regions: usize) -> Self {
        Self {
            weights: PlanWeights::even(regions),
            slots: vec![0.0; regions],
            speeds: vec![1.0; regions],
            shares: vec![1.0 / regions.max(1) as f64; regions],
            local_weight: local_weight(0.0),
            mean_load: INITIAL_MEAN_LOAD,
            is_sent: false,
            received_at: None,
            stepped_at: None,
        }
    }

    // Returns whether the hub sent the plan recently.
    fn is_received(&self, now: Time) -> bool {
        self.received_at.is_some_and(|at| now.since(at) < PLAN_TTL)
    }

    fn regions(&self) -> Vec<PlanRegion> {
        let parts = self.slots.iter().zip(&self.speeds).zip(&self.shares);
        parts.map(|((slots, speed), share)| PlanRegion { slots: slots * speed, demand: *share }).collect()
    }

    fn desired_weights(&self) -> PlanWeights {
        plan_weights(&self.regions(), self.local_weight, self.mean_load)
    }

    // Returns the plan that every instance computes alike: with equal demand and the smallest local weight.
    fn initial_weights(&self) -> PlanWeights {
        Self { slots: self.slots.clone(), ..Self::new(self.slots.len()) }.desired_weights()
    }

    fn learn(&mut self, demands: &[f64], weighted_demand: f64, elapsed_s: f64) {
        let total: f64 = demands.iter().sum();
        if total < MIN_TOTAL_DEMAND {
            return;
        }
        update_shares(&mut self.shares, demands, elapsed_s);
        let mean = (weighted_demand / total).max(local_weight(0.0));
        self.local_weight += (mean - self.local_weight) * smoothing(elapsed_s * LOCAL_WEIGHT_SPEED);
        let slots: f64 = self.slots.iter().sum();
        self.mean_load += (total / slots.max(1.0) - self.mean_load) * smoothing(elapsed_s);
    }

    // Advances the plan by one step if it is time. Returns whether it has changed.
    fn advance(&mut self, is_settled: bool, now: Time) -> bool {
        if self.stepped_at.is_some_and(|at| is_settled && now.since(at) < STEP_INTERVAL) {
            return false;
        }
        let desired = self.desired_weights();
        // The first plan follows the backend servers as they register.
        let is_first = self.stepped_at.is_none() && self.received_at.is_none();
        let next = if is_first || !is_settled {
            desired
        } else {
            next_plan(&self.regions(), self.local_weight, &self.weights, &desired)
        };
        self.stepped_at = Some(now);
        let is_changed = next != self.weights;
        self.weights = next;
        is_changed
    }
}

/// Updates the plans: as the hub of the region from the demand, otherwise if the hub sends none.
pub fn refresh(node: &SiteNode, now: Time) {
    let is_hub = node.hub.hub_of(node, &node.settings.region).is_none();
    let is_settled = FleetSize::of(node).is_settled;
    let slots = slots_by_service(node, now);
    let mut state = node.plans.state.lock();
    state.services.retain(|service, _| slots.contains_key(service));
    let elapsed_s = now.since(state.learned_at).as_secs_f64().min(MAX_LEARNED_TIME_S);
    state.learned_at = now;
    for (service, regions) in slots {
        let plan = state.services.entry(service).or_insert_with(|| ServicePlan::new(regions.len()));
        plan.slots = regions.iter().map(|region| region.slots).collect();
        for (speed, region) in plan.speeds.iter_mut().zip(&regions).filter(|(_, r)| r.slots > 0.0) {
            *speed += (region.usual_slots / region.slots - *speed) * smoothing(elapsed_s);
        }
    }
    if is_hub {
        learn_demands(node, &mut state, &home_regions(node, is_settled), elapsed_s, now);
    }
    for (service, plan) in &mut state.services {
        if is_hub {
            if plan.advance(is_settled, now) {
                node.counters.add(Counter::PlanChanges);
                log::info!(service = service.as_str(), weights:? = plan.weights.weights(),
                    demand_shares:? = plan.shares, slots:? = plan.slots, local_weight = plan.local_weight, mean_load = plan.mean_load;
                    "plan between regions changed");
            }
        } else if !plan.is_received(now) {
            plan.weights = plan.initial_weights();
        }
        plan.is_sent |= !plan.weights.is_even();
    }
    node.plans.publish(&state);
}

/// Records the demand that the hub of another region sent.
pub fn record_region_demand(node: &SiteNode, hub: &InstanceId, demands: &[HashedAmount]) {
    let view = node.fleet.view();
    let Some(instance) = view.listed.iter().find(|i| i.id == *hub) else {
        return;
    };
    let Some(ix) = node.backends.regions().iter().position(|r| *r == instance.region) else {
        return;
    };
    let valid = demands.iter().filter(|d| d.amount.is_finite() && d.amount >= 0.0);
    let demands = valid.map(|d| (d.hash, d.amount)).collect();
    node.plans.state.lock().region_demands.insert(ix, demands);
}

/// Records the plans in a hub's answer. Where this instance becomes the hub, it goes on from them.
pub fn record_answer(node: &SiteNode, answer: &TrafficReport, now: Time) {
    if answer.splits.is_empty() {
        return;
    }
    let regions = node.backends.regions();
    let mut state = node.plans.state.lock();
    for (service, plan) in &mut state.services {
        let found = answer.splits.iter().find(|s| s.service_hash == name_hash(service.as_str()));
        let weights = found.and_then(|split| read_weights(regions, split));
        let Some(weights) = weights else {
            continue;
        };
        plan.weights = weights;
        plan.received_at = Some(now);
        let learned = |hash: u64| {
            let found = answer.service_demands.iter().find(|a| a.hash == hash);
            found.map(|a| f64::from(a.amount)).filter(|amount| amount.is_finite() && *amount >= 0.0)
        };
        for (share, region) in plan.shares.iter_mut().zip(regions) {
            *share = learned(share_hash(service, region)).unwrap_or(*share);
        }
        plan.local_weight = learned(local_weight_hash(service)).unwrap_or(plan.local_weight);
        plan.mean_load = learned(mean_load_hash(service)).unwrap_or(plan.mean_load);
    }
    node.plans.publish(&state);
}

/// Returns the plans for an answer to a report, and the averages with which another hub could go on from them.
#[must_use]
pub fn messages(node: &SiteNode) -> (Vec<ServiceSplit>, Vec<HashedAmount>) {
    let regions = node.backends.regions();
    let (mut splits, mut averages) = (Vec::new(), Vec::new());
    let state = node.plans.state.lock();
    for (service, plan) in state.services.iter().filter(|(_, plan)| plan.is_sent) {
        let weights = plan.weights.weights();
        let weights = regions.iter().zip(weights).map(|(r, weight)| amount(name_hash(r.as_str()), weight));
        splits.push(ServiceSplit { service_hash: name_hash(service.as_str()), regions: weights.collect() });
        let shares = regions.iter().zip(&plan.shares);
        averages.extend(shares.map(|(region, share)| amount(share_hash(service, region), *share)));
        averages.push(amount(local_weight_hash(service), plan.local_weight));
        averages.push(amount(mean_load_hash(service), plan.mean_load));
    }
    (splits, averages)
}

/// Returns the plans by service and region for the status: the weight, share of demand and slots of each
/// region, and the part of the requests of this region that it gets.
#[must_use]
pub fn status(node: &SiteNode) -> Value {
    let regions = node.backends.regions();
    let state = node.plans.state.lock();
    let plans = state.services.iter().map(|(service, plan)| {
        let split = split_of(&plan.regions(), &plan.weights, plan.local_weight, node.backends.own_region());
        let weights = plan.weights.weights();
        let by_region = regions.iter().enumerate().map(|(ix, region)| {
            let status = json!({
                "weight": weights[ix],
                "demand_share": plan.shares[ix],
                "slots": plan.slots[ix],
                "part": split[ix],
            });
            (region.to_string(), status)
        });
        (service.to_string(), Value::Object(by_region.collect()))
    });
    Value::Object(plans.collect())
}

/// Returns the weight and share of demand of each region as metrics.
#[must_use]
pub fn metrics(node: &SiteNode) -> String {
    let mut text = String::new();
    for (service, plan) in &node.plans.state.lock().services {
        let values = plan.weights.weights().into_iter().zip(&plan.shares);
        for (region, (weight, share)) in node.backends.regions().iter().zip(values) {
            let labels = format!("service=\"{service}\",region=\"{region}\"");
            // Writing to a string does not fail.
            let _done = writeln!(text, "burdock_plan_weight{{{labels}}} {weight}");
            let _done = writeln!(text, "burdock_plan_demand_share{{{labels}}} {share}");
        }
    }
    text
}

// Moves the averages of all plans towards the newest demand of each region. A region whose hub is silent counts
// with its last demand; until all are known, the averages stay as they are. A hub that sees only a few of the
// instances of its region doesn't know the region's demand.
fn learn_demands(node: &SiteNode, state: &mut State, homes: &[bool], elapsed_s: f64, now: Time) {
    let (reporters, own_demands) = node.hub.service_demands(now);
    let listed = node.fleet.view().hubs(&node.settings.region).count();
    let own_region = node.backends.own_region();
    let is_known = |ix: usize| ix == own_region || state.region_demands.contains_key(&ix);
    let is_any_unknown = homes.iter().enumerate().any(|(ix, is_home)| *is_home && !is_known(ix));
    if is_any_unknown || reporters * 2 < listed {
        return;
    }
    let demand = |ix: usize, hash: u64| {
        let known = if ix == own_region { Some(&own_demands) } else { state.region_demands.get(&ix) };
        let known = known.filter(|_| homes[ix]).and_then(|demands| demands.get(&hash));
        known.map_or(0.0, |amount| f64::from(*amount))
    };
    for (service, plan) in &mut state.services {
        let (hash, weighted_hash) = (name_hash(service.as_str()), local_weight_hash(service));
        let demands: Vec<f64> = (0..homes.len()).map(|ix| demand(ix, hash)).collect();
        let weighted_demand = (0..homes.len()).map(|ix| demand(ix, weighted_hash)).sum();
        plan.learn(&demands, weighted_demand, elapsed_s);
    }
}

// Returns whether each region has instances. Until the list is complete, all are assumed to have some. One
// without instances has no demand, and its last one is forgotten as gradually as others change, since it may come
// back in seconds.
fn home_regions(node: &SiteNode, is_settled: bool) -> Vec<bool> {
    let view = node.fleet.view();
    let has_instances = |region: &RegionName| view.hubs(region).next().is_some();
    let is_complete = is_settled && !view.listed.is_empty();
    node.backends.regions().iter().map(|region| !is_complete || has_instances(region)).collect()
}

fn slots_by_service(node: &SiteNode, now: Time) -> HashMap<ServiceName, Vec<RegionSlots>> {
    let regions = node.backends.regions().len();
    let mut slots = HashMap::new();
    for (service, backends) in &node.backends.usable().services {
        let mut by_region = vec![RegionSlots::default(); regions];
        for backend in backends {
            let slots = f64::from(backend.slots());
            by_region[backend.region].slots += slots;
            by_region[backend.region].usual_slots += slots / backend.expected_pace(now);
        }
        slots.insert(service.clone(), by_region);
    }
    slots
}

// Returns the plan in a hub's answer, or `None` if a weight is invalid.
fn read_weights(regions: &[RegionName], split: &ServiceSplit) -> Option<PlanWeights> {
    let weight_of = |region: &RegionName| {
        let hash = name_hash(region.as_str());
        split.regions.iter().find(|a| a.hash == hash).map_or(1.0, |a| f64::from(a.amount))
    };
    let weights: Vec<f64> = regions.iter().map(weight_of).collect();
    weights.iter().all(|w| *w > 0.0 && *w <= 1.0).then(|| PlanWeights::nearest(&weights))
}

#[expect(clippy::cast_possible_truncation, reason = "a rate or weight needs no more digits")]
const fn amount(hash: u64, amount: f64) -> HashedAmount {
    HashedAmount { hash, amount: amount as f32 }
}

// The line feeds keep these hashes apart from those of names, which can't contain them.
fn share_hash(service: &ServiceName, region: &RegionName) -> u64 {
    name_hash(&format!("{service}\n{region}"))
}

fn mean_load_hash(service: &ServiceName) -> u64 {
    name_hash(&format!("{service}\nmean load"))
}

fn local_weight_hash(service: &ServiceName) -> u64 {
    name_hash(&format!("{service}\nlocal weight"))
}
