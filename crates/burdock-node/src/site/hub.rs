//! Traffic reports between instances, and the tokens that hubs grant from organisations' allowances.
//!
//! The instances of a region report to one of them, its hub, and the hubs of different regions report to each
//! other. Every instance answers any caller as a hub, and one that reaches no other is its own hub. Hubs hold
//! only soft state: when one fails, the next in order takes over with the reports it receives from then on.

use std::collections::HashMap;
use std::time::Duration;

use burdock_decide::apportion::{
    ApportionView, DistributedShare, RecentShares, hub_share, sees_all_instances,
};
use burdock_decide::limit::{Allotment, Bucket, TOKEN};
use burdock_decide::time::Time;
use burdock_model::prelude::*;
use burdock_model::site::{Organisation, allowance_weight};
use burdock_wire::messages::{HashedAmount, PeerAddress, StatedPace, TokenGrant, TrafficReport};
use parking_lot::Mutex;

use crate::site::pace::newest_paces;
use crate::site::{SiteNode, name_hash, report};

/// Time after which a hub that did not answer is called again.
const HUB_RETRY_DELAY: Duration = Duration::from_millis(2000);

/// Time without any answer after which a hub that grants no tokens counts as unreachable. Reports come more
/// often.
const MAX_SILENCE: Duration = Duration::from_millis(400);

/// Time for which a report counts. The demand of a hub that fell silent counts no longer than that: shares are
/// divided by demand only while fresh reports cover every instance, so its successor reports the same demand.
/// Counted twice, it took three quarters of the other regions' shares for ten seconds.
const REPORT_TTL: Duration = Duration::from_millis(1100);

/// Uptime below which an instance assumes that its list of instances may be incomplete. Within this time
/// every other instance renews its entry, or finds that the lease has ended, backs off and registers again.
const LIST_SETTLE_TIME: Duration = Duration::from_millis(2400);

/// Refill time that the buckets of a new hub start with: enough for the first requests, and little compared
/// with what the previous hub may have granted.
const INITIAL_FILL_TIME: Duration = Duration::from_millis(300);

/// The instances among which the deployment's allowances are divided.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of instances that may be serving.
    pub expected: usize,
    /// Sum of their weights.
    pub expected_weight: u64,
    /// Weight of this instance.
    pub own_weight: u32,
    /// Whether the list of instances has been known for long enough to be complete.
    pub is_settled: bool,
}

impl FleetSize {
    /// Returns the size that an instance assumes, at least the one recorded in the store. Until the list has
    /// settled, it is also at least the number of availability zones, each assumed to have an instance.
    #[must_use]
    pub fn of(node: &SiteNode) -> Self {
        // The recorded number covers instances that are missing from the list.
        let is_settled =
            node.fleet.recorded_size() > 0 || node.clock.now().since(node.started_at) >= LIST_SETTLE_TIME;
        let view = node.fleet.view();
        let known = view.expected.max(node.fleet.recorded_size());
        let zones = node.settings.regions.len();
        let expected = if is_settled { known } else { known.max(zones) };
        let own_weight = report::own_weight(node);
        // Instances that are only counted are taken for as large as this one.
        let usual_weight = u64::from(allowance_weight(node.settings.capacity_class()));
        let uncounted = expected.saturating_sub(view.expected) as u64 * usual_weight;
        let recorded_weight = node.fleet.recorded_weight();
        let is_recorded = recorded_weight > 0 && expected <= node.fleet.recorded_size().max(view.expected);
        let known_weight = view.expected_weight.max(recorded_weight);
        let expected_weight =
            if is_recorded { known_weight } else { known_weight.max(view.expected_weight + uncounted) };
        Self { expected, expected_weight, own_weight, is_settled }
    }
}

/// Reports that this instance received as a hub, and the hubs that it can't reach.
#[derive(Debug, Default)]
pub struct Hub {
    state: Mutex<State>,
    retry_at: Mutex<HashMap<InstanceId, Time>>,
    // When a hub last answered a call of this instance, or was first called.
    contact_at: Mutex<HashMap<InstanceId, Time>>,
}

#[derive(Debug, Default)]
struct State {
    reporters: HashMap<InstanceId, ReceivedReport>,
    hubs: HashMap<InstanceId, ReceivedReport>,
    buckets: HashMap<u64, Bucket>,
    // The shares of each organisation's allowance distributed when all instances were last reporting.
    distributed: HashMap<u64, RecentShares>,
}

#[derive(Debug)]
struct ReceivedReport {
    received_at: Time,
    report: TrafficReport,
}

impl Hub {
    /// Returns the hub of a region, or `None` when this instance is the hub or none is reachable.
    #[must_use]
    pub fn hub_of(&self, node: &SiteNode, region: &RegionName) -> Option<PeerAddress> {
        let now = node.clock.now();
        let retry_at = self.retry_at.lock();
        let view = node.fleet.view();
        let first = view.hubs(region).find(|i| !is_skipped(&retry_at, &i.id, now))?;
        (first.id != node.incarnation.instance)
            .then(|| PeerAddress { id: first.id.clone(), address: first.peers })
    }

    /// Skips a hub until the retry delay has passed.
    pub fn mark_unreachable(&self, id: &InstanceId, now: Time) {
        self.retry_at.lock().insert(id.clone(), now + HUB_RETRY_DELAY);
        self.contact_at.lock().remove(id);
    }

    /// Returns whether a hub counts as unreachable.
    #[must_use]
    pub fn is_unreachable(&self, id: &InstanceId, now: Time) -> bool {
        is_skipped(&self.retry_at.lock(), id, now)
    }

    /// Records that a hub answered.
    pub fn record_contact(&self, id: &InstanceId, now: Time) {
        self.contact_at.lock().insert(id.clone(), now);
    }

    /// Records that a hub did not grant tokens in time. A hub that answered other calls lately, or is called
    /// for the first time, is only busy: leaving it would divide its region's allowances.
    ///
    /// Returns whether the hub is left, so that this instance may grant tokens from its own share. A hub that
    /// is not left still distributes that share.
    #[must_use]
    pub fn record_lost_call(&self, id: &InstanceId, is_not_sent: bool, now: Time) -> bool {
        let contact_at = *self.contact_at.lock().entry(id.clone()).or_insert(now);
        let is_left = is_not_sent || now.since(contact_at) >= MAX_SILENCE;
        if is_left {
            self.mark_unreachable(id, now);
        }
        is_left
    }

    /// Records a report and returns the answer to it.
    #[must_use]
    pub fn record_report(&self, own: &InstanceId, report: TrafficReport, now: Time) -> TrafficReport {
        let mut state = self.state.lock();
        let (sender, is_from_hub) = (report.sender.clone(), report.is_from_hub);
        // Instances on standby, most of a large fleet, place no requests and don't need the loads.
        let places_requests = !(report.in_flight.is_empty() && report.demands.is_empty());
        let received = ReceivedReport { received_at: now, report };
        if is_from_hub {
            state.hubs.insert(sender, received);
            return state.summary(own, now);
        }
        // A report that counts nothing only asks for changes of the store. It must not make this instance look like
        // a hub in use.
        let has_traffic =
            !(received.report.service_demands.is_empty() && received.report.refusals.is_empty());
        if received.report.instance_count > 0 || places_requests || has_traffic {
            state.reporters.insert(sender.clone(), received);
        }
        let remote_in_flight =
            if places_requests { to_amounts(&state.in_flight(Some(&sender), now)) } else { Vec::new() };
        let slowness = if places_requests { state.slowness(Some(&sender), now) } else { Vec::new() };
        let paces = if places_requests { state.paces(Some(&sender), now) } else { Vec::new() };
        let refusals =
            if places_requests { to_amounts(&state.refusals(Some(&sender), now)) } else { Vec::new() };
        TrafficReport {
            in_flight: remote_in_flight,
            slowness,
            paces,
            refusals,
            ..TrafficReport::new(own.clone())
        }
    }

    /// Records another hub's answer to this hub's summary.
    pub fn record_hub_answer(&self, report: TrafficReport, now: Time) {
        self.state.lock().hubs.insert(report.sender.clone(), ReceivedReport { received_at: now, report });
    }

    /// Returns the report of this hub to other hubs.
    #[must_use]
    pub fn summary(&self, own: &InstanceId, now: Time) -> TrafficReport {
        self.state.lock().summary(own, now)
    }

    /// Returns how many instances report to this hub, and the sum of their demand by hash as in reports.
    #[must_use]
    pub fn service_demands(&self, now: Time) -> (usize, HashMap<u64, f32>) {
        self.state.lock().service_demands(now)
    }

    /// Grants up to `wanted` tokens for requests of an organisation.
    #[must_use]
    pub fn grant_tokens(
        &self,
        organisation: &Organisation,
        wanted: u32,
        fleet_size: FleetSize,
        now: Time,
    ) -> TokenGrant {
        let mut state = self.state.lock();
        let bucket = state.update_bucket(organisation, fleet_size, now);
        let granted = bucket.lend(wanted, true, now);
        let wait = if granted > 0 { None } else { bucket.time_to_next_token(now) };
        let wait_ms = wait.map_or(0, |wait| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
        TokenGrant { granted, wait_ms }
    }

    /// Updates the allotment of every organisation and removes expired reports.
    pub fn refresh(&self, organisations: &[Organisation], fleet_size: FleetSize, now: Time) {
        let mut state = self.state.lock();
        state.reporters.retain(|_, received| now.since(received.received_at) < REPORT_TTL);
        state.hubs.retain(|_, received| now.since(received.received_at) < REPORT_TTL);
        let is_standby = state.reporters.is_empty();
        for organisation in organisations.iter().filter(|o| o.rate > 0.0) {
            let bucket = state.update_bucket(organisation, fleet_size, now);
            // The previous hub may have granted the burst already, so its successor does not grant it again.
            if is_standby {
                bucket.clamp_to_refill_time(INITIAL_FILL_TIME, now);
            }
        }
    }
}

impl State {
    fn update_bucket(
        &mut self,
        organisation: &Organisation,
        fleet_size: FleetSize,
        now: Time,
    ) -> &mut Bucket {
        let hash = name_hash(organisation.name.as_str());
        let own_demand = total_demand(self.reporters.values(), hash);
        let own_instances = f64::from(self.reporters.values().map(|r| r.report.instance_count).sum::<u32>());
        let reported_weight: u32 = self.reporters.values().map(|r| r.report.weight).sum();
        let own_weight = f64::from(reported_weight.max(fleet_size.own_weight));
        let fresh = self.hubs.values().filter(|r| now.since(r.received_at) < REPORT_TTL);
        let other_demand = total_demand(fresh.clone(), hash);
        let others: u32 = fresh.map(|r| r.report.instance_count).sum();
        let view = ApportionView {
            own_demand,
            total_demand: own_demand + other_demand,
            own_weight,
            expected_weight: fleet_size.expected_weight as f64,
            reporting_instances: own_instances + f64::from(others),
            expected_instances: fleet_size.expected as f64,
            list_is_settled: fleet_size.is_settled,
            last_distributed: self.distributed.get(&hash).and_then(RecentShares::lowest),
        };
        let own_share = hub_share(&view);
        if sees_all_instances(&view) {
            let distributed = DistributedShare { share: own_share, weight: own_weight };
            self.distributed.entry(hash).or_default().record(distributed, now);
        }
        let allotment = allotment(organisation, own_share);
        let bucket =
            self.buckets.entry(hash).or_insert_with(|| Bucket::new(allotment, now - INITIAL_FILL_TIME));
        bucket.set_allotment(allotment, now);
        bucket
    }

    fn in_flight(&self, excluded: Option<&InstanceId>, now: Time) -> HashMap<u64, f32> {
        let mut sum = HashMap::new();
        let reporters =
            self.reporters.iter().filter(|(id, _)| Some(*id) != excluded).map(|(_, received)| received);
        for received in reporters.chain(self.hubs.values()).filter(|r| now.since(r.received_at) < REPORT_TTL)
        {
            add_amounts(&mut sum, &received.report.in_flight);
        }
        sum
    }

    // Returns the requests per second that instances of this region refuse for lack of room, by service; for an
    // answer to one of them also those of other regions, and not its own.
    fn refusals(&self, excluded: Option<&InstanceId>, now: Time) -> HashMap<u64, f32> {
        let mut sum = HashMap::new();
        let reporters = self.reporters.iter().filter(|(id, _)| Some(*id) != excluded).map(|(_, r)| r);
        let of_hubs = self.hubs.values().filter(|_| excluded.is_some());
        for received in reporters.chain(of_hubs).filter(|r| now.since(r.received_at) < REPORT_TTL) {
            add_amounts(&mut sum, &received.report.refusals);
        }
        sum
    }

    fn summary(&self, own: &InstanceId, now: Time) -> TrafficReport {
        let (mut demands, mut in_flight) = (HashMap::new(), HashMap::new());
        for received in self.reporters.values().filter(|r| now.since(r.received_at) < REPORT_TTL) {
            add_amounts(&mut demands, &received.report.demands);
            add_amounts(&mut in_flight, &received.report.in_flight);
        }
        TrafficReport {
            instance_count: self.reporters.values().map(|r| r.report.instance_count).sum(),
            weight: self.reporters.values().map(|r| r.report.weight).sum(),
            demands: to_amounts(&demands),
            in_flight: to_amounts(&in_flight),
            is_from_hub: true,
            slowness: self.slowness(None, now),
            service_demands: to_amounts(&self.service_demands(now).1),
            paces: self.paces(None, now),
            refusals: to_amounts(&self.refusals(None, now)),
            ..TrafficReport::new(own.clone())
        }
    }

    fn service_demands(&self, now: Time) -> (usize, HashMap<u64, f32>) {
        let (mut count, mut sum) = (0, HashMap::new());
        for received in self.reporters.values().filter(|r| now.since(r.received_at) < REPORT_TTL) {
            count += 1;
            add_amounts(&mut sum, &received.report.service_demands);
        }
        (count, sum)
    }

    // Returns what instances of this region were told of the pace of backend servers; for an answer to one of
    // them also those of other regions.
    fn paces(&self, excluded: Option<&InstanceId>, now: Time) -> Vec<StatedPace> {
        let reporters = self.reporters.iter().filter(|(id, _)| Some(*id) != excluded).map(|(_, r)| r);
        let of_hubs = self.hubs.values().filter(|_| excluded.is_some());
        let fresh = reporters.chain(of_hubs).filter(|r| now.since(r.received_at) < REPORT_TTL);
        newest_paces(fresh.map(|r| (now.since(r.received_at), r.report.paces.as_slice())))
    }

    // Returns how slow backend servers are, by what instances of this region measured.
    fn slowness(&self, excluded: Option<&InstanceId>, now: Time) -> Vec<HashedAmount> {
        let is_fresh = |r: &&ReceivedReport| now.since(r.received_at) < REPORT_TTL;
        let reporters = self.reporters.iter().filter(|(id, _)| Some(*id) != excluded).map(|(_, r)| r);
        let of_hubs = self.hubs.values().filter(|_| excluded.is_some());
        merge_slowness(reporters.chain(of_hubs).filter(is_fresh).map(|r| r.report.slowness.as_slice()))
    }
}

fn is_skipped(retry_at: &HashMap<InstanceId, Time>, id: &InstanceId, now: Time) -> bool {
    retry_at.get(id).is_some_and(|at| now < *at)
}

fn total_demand<'a>(reports: impl Iterator<Item = &'a ReceivedReport>, hash: u64) -> f64 {
    let found = reports.flat_map(|r| &r.report.demands).filter(|a| a.hash == hash);
    found.map(|a| f64::from(a.amount)).sum()
}

fn add_amounts(sum: &mut HashMap<u64, f32>, amounts: &[HashedAmount]) {
    for amount in amounts {
        *sum.entry(amount.hash).or_default() += amount.amount;
    }
}

// Takes the mean of the reports on each backend server and of one that found it as fast as usual, so that a
// single report counts for half.
fn merge_slowness<'a>(reports: impl Iterator<Item = &'a [HashedAmount]>) -> Vec<HashedAmount> {
    const USUAL: f32 = 1.0;
    let mut sums: HashMap<u64, (f32, f32)> = HashMap::new();
    for measured in reports.flatten().filter(|m| m.amount.is_finite()) {
        let (sum, count) = sums.entry(measured.hash).or_insert((USUAL, 1.0));
        *sum += measured.amount;
        *count += 1.0;
    }
    sums.into_iter().map(|(hash, (sum, count))| HashedAmount { hash, amount: sum / count }).collect()
}

fn to_amounts(sum: &HashMap<u64, f32>) -> Vec<HashedAmount> {
    sum.iter()
        .filter(|(_, amount)| **amount > 0.0)
        .map(|(hash, amount)| HashedAmount { hash: *hash, amount: *amount })
        .collect()
}

fn allotment(organisation: &Organisation, share: f64) -> Allotment {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
    let micros = |tokens: f64| (tokens * TOKEN as f64) as u64;
    // With a capacity below one token, a small share would never admit a request.
    Allotment { rate: micros(organisation.rate * share), cap: micros((organisation.burst * share).max(1.0)) }
}
