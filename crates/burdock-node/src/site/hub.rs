//! What instances tell each other of their traffic, and the leave that they ask of each other.
//!
//! The instances of a region report to one of them, its hub. Hubs of different regions report to each other.
//! Any instance answers as a hub whoever asks it; one that reaches no other is its own hub. A hub is lost
//! without harm: the next in order takes over with what is reported to it from then on.

use std::collections::HashMap;
use std::time::Duration;

use burdock_decide::apportion::{ApportionView, DistributedShare, hub_share, sees_all_instances};
use burdock_decide::limit::{Allotment, Bucket, TOKEN};
use burdock_decide::time::Time;
use burdock_model::prelude::*;
use burdock_model::site::Organisation;
use burdock_wire::messages::{HashedAmount, PeerAddress, StoreDelta, TokenGrant, TrafficReport};
use parking_lot::Mutex;

use crate::site::{SiteNode, hash_of};

/// How long a hub that did not answer is passed over.
const HUB_RETRY_DELAY: Duration = Duration::from_millis(2000);

/// How long a report counts.
const REPORT_TTL: Duration = Duration::from_millis(1100);

/// How long the demand of another hub counts after its last report: it may go on serving that share while
/// nobody hears of it.
const DEMAND_TTL: Duration = Duration::from_secs(10);

/// How long after its start an instance counts on others that its list does not name: the time in which each renews
/// its entry or finds that it has ended, pauses, and writes it anew.
const LIST_SETTLE_TIME: Duration = Duration::from_millis(2400);

/// The time for which a new hub's buckets count as filled already: enough for the first requests, little against
/// what the hub before it may have given out.
const INITIAL_FILL_TIME: Duration = Duration::from_millis(300);

/// How many instances share what all have together.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Instances that may be serving.
    pub expected: usize,
    /// The list of them has been known for long enough to be whole.
    pub is_settled: bool,
}

impl FleetSize {
    /// As an instance sees it: no fewer than the store says there are. Until the list has settled, each availability
    /// zone counts as having one at least.
    #[must_use]
    pub fn of(node: &SiteNode) -> Self {
        let is_settled = node.clock.now().since(node.began) >= LIST_SETTLE_TIME;
        let known = node.fleet.view().expected.max(node.fleet.recorded_size());
        let zones = node.settings.regions.len();
        Self { expected: if is_settled { known } else { known.max(zones) }, is_settled }
    }
}

/// What this instance knows as a hub, and of hubs.
#[derive(Debug, Default)]
pub struct Hub {
    state: Mutex<State>,
    retry_at: Mutex<HashMap<InstanceId, Time>>,
}

#[derive(Debug, Default)]
struct State {
    reporters: HashMap<InstanceId, ReceivedReport>,
    hubs: HashMap<InstanceId, ReceivedReport>,
    buckets: HashMap<u64, Bucket>,
    // What was handed out of each organisation's allowance when all instances were last heard of.
    distributed: HashMap<u64, DistributedShare>,
}

#[derive(Debug)]
struct ReceivedReport {
    at: Time,
    traffic: TrafficReport,
}

impl Hub {
    /// The instance of a region to report to; none when that is this instance, or when none can be reached.
    #[must_use]
    pub fn hub_of(&self, node: &SiteNode, region: &RegionName) -> Option<PeerAddress> {
        let now = node.clock.now();
        let out = self.retry_at.lock();
        let view = node.fleet.view();
        let first = view.hubs(region).find(|i| out.get(&i.id).is_none_or(|until| now >= *until))?;
        (first.id != node.life.instance).then(|| PeerAddress { id: first.id.clone(), address: first.peers })
    }

    /// Passes a hub over for a while.
    pub fn mark_unreachable(&self, id: &InstanceId, now: Time) {
        self.retry_at.lock().insert(id.clone(), now + HUB_RETRY_DELAY);
    }

    /// Takes in a report and answers it.
    #[must_use]
    pub fn record_report(&self, own: &InstanceId, traffic: TrafficReport, now: Time) -> TrafficReport {
        let mut state = self.state.lock();
        let (sender, from_hub) = (traffic.sender.clone(), traffic.is_from_hub);
        // An instance that stands by places nothing, and most of a large fleet does.
        let places_requests = !(traffic.in_flight.is_empty() && traffic.demands.is_empty());
        let heard = ReceivedReport { at: now, traffic };
        if from_hub {
            state.hubs.insert(sender, heard);
            return state.summary(own, now);
        }
        state.reporters.insert(sender.clone(), heard);
        let at_work = if places_requests { amounts(&state.at_work(Some(&sender), now)) } else { Vec::new() };
        TrafficReport {
            sender: own.clone(),
            instance_count: 0,
            demands: Vec::new(),
            in_flight: at_work,
            is_from_hub: false,
            store: StoreDelta::default(),
            strikes: Vec::new(),
        }
    }

    /// Takes in another hub's answer.
    pub fn record_hub_answer(&self, traffic: TrafficReport, now: Time) {
        self.state.lock().hubs.insert(traffic.sender.clone(), ReceivedReport { at: now, traffic });
    }

    /// What this hub tells other hubs.
    #[must_use]
    pub fn summary(&self, own: &InstanceId, now: Time) -> TrafficReport {
        self.state.lock().summary(own, now)
    }

    /// Gives leave for requests of an organisation.
    #[must_use]
    pub fn grant_tokens(
        &self,
        organisation: &Organisation,
        wanted: u32,
        fleet_size: FleetSize,
        now: Time,
    ) -> TokenGrant {
        let mut state = self.state.lock();
        let bucket = state.bucket(organisation, fleet_size, now);
        let granted = bucket.lend(wanted, true, now);
        let wait = if granted > 0 { None } else { bucket.time_to_next_token(now) };
        let wait_ms = wait.map_or(0, |wait| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
        TokenGrant { granted, wait_ms }
    }

    /// Sets every organisation's allotment anew, and forgets what is too old.
    pub fn refresh(&self, organisations: &[Organisation], fleet_size: FleetSize, now: Time) {
        let mut state = self.state.lock();
        state.reporters.retain(|_, heard| now.since(heard.at) < REPORT_TTL);
        state.hubs.retain(|_, heard| now.since(heard.at) < DEMAND_TTL);
        let stands_by = state.reporters.is_empty();
        for organisation in organisations.iter().filter(|o| o.rate > 0.0) {
            let bucket = state.bucket(organisation, fleet_size, now);
            // Whoever takes over from a hub gives out no burst that the hub may have given out already.
            if stands_by {
                bucket.clamp_to_refill_time(INITIAL_FILL_TIME, now);
            }
        }
    }
}

impl State {
    fn bucket(&mut self, organisation: &Organisation, fleet_size: FleetSize, now: Time) -> &mut Bucket {
        let hash = hash_of(organisation.name.as_str());
        let own_demand = demand(self.reporters.values(), hash);
        let other_demand = demand(self.hubs.values(), hash);
        let own_instances = self.reporters.len().max(1) as f64;
        let fresh = self.hubs.values().filter(|h| now.since(h.at) < REPORT_TTL);
        let others: u32 = fresh.map(|h| h.traffic.instance_count).sum();
        let view = ApportionView {
            own_demand,
            total_demand: own_demand + other_demand,
            own_instances,
            reporting_instances: own_instances + f64::from(others),
            expected_instances: fleet_size.expected as f64,
            list_is_settled: fleet_size.is_settled,
            last_distributed: self.distributed.get(&hash).copied(),
        };
        let part = hub_share(&view);
        if sees_all_instances(&view) {
            self.distributed.insert(hash, DistributedShare { share: part, instances: own_instances });
        }
        let allotment = allotment(organisation, part);
        let bucket =
            self.buckets.entry(hash).or_insert_with(|| Bucket::new(allotment, now - INITIAL_FILL_TIME));
        bucket.set_allotment(allotment, now);
        bucket
    }

    fn at_work(&self, without: Option<&InstanceId>, now: Time) -> HashMap<u64, f32> {
        let mut sum = HashMap::new();
        let reporters = self.reporters.iter().filter(|(id, _)| Some(*id) != without).map(|(_, heard)| heard);
        for heard in reporters.chain(self.hubs.values()).filter(|h| now.since(h.at) < REPORT_TTL) {
            add(&mut sum, &heard.traffic.in_flight);
        }
        sum
    }

    fn summary(&self, own: &InstanceId, now: Time) -> TrafficReport {
        let (mut demands, mut at_work) = (HashMap::new(), HashMap::new());
        for heard in self.reporters.values().filter(|h| now.since(h.at) < REPORT_TTL) {
            add(&mut demands, &heard.traffic.demands);
            add(&mut at_work, &heard.traffic.in_flight);
        }
        TrafficReport {
            sender: own.clone(),
            instance_count: u32::try_from(self.reporters.len()).unwrap_or(u32::MAX),
            demands: amounts(&demands),
            in_flight: amounts(&at_work),
            is_from_hub: true,
            store: StoreDelta::default(),
            strikes: Vec::new(),
        }
    }
}

fn demand<'a>(heard: impl Iterator<Item = &'a ReceivedReport>, hash: u64) -> f64 {
    let found = heard.flat_map(|h| &h.traffic.demands).filter(|t| t.hash == hash);
    found.map(|t| f64::from(t.amount)).sum()
}

fn add(sum: &mut HashMap<u64, f32>, amounts: &[HashedAmount]) {
    for tally in amounts {
        *sum.entry(tally.hash).or_default() += tally.amount;
    }
}

fn amounts(sum: &HashMap<u64, f32>) -> Vec<HashedAmount> {
    sum.iter()
        .filter(|(_, amount)| **amount > 0.0)
        .map(|(hash, amount)| HashedAmount { hash: *hash, amount: *amount })
        .collect()
}

fn allotment(organisation: &Organisation, part: f64) -> Allotment {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
    let micros = |tokens: f64| (tokens * TOKEN as f64) as u64;
    // At least one token fits, or a small part would never let a request through.
    Allotment { rate: micros(organisation.rate * part), cap: micros((organisation.burst * part).max(1.0)) }
}
