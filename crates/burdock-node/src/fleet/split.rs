//! Periodic update of each service's traffic split over regions and of its limit of requests in flight.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::admit::running_limit;
use burdock_decide::membership::MemberState;
use burdock_decide::pick::{BackendView, backend_subset, connection_share, estimated_in_flight};
use burdock_decide::region::{DemandView, RegionView, in_flight_limit, target_split};
use burdock_decide::shift::shift_towards;
use burdock_decide::time::Time;

use crate::active_config::{ActiveConfig, RegionState, ServiceState, TrafficSplit};
use crate::forward::admission::INITIAL_MAX_RUNNING;
use crate::node::Node;

/// Time between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum time that one step of a shift accounts for, so that the split does not jump after a pause of the
/// process.
const MAX_STEP_TIME: Duration = Duration::from_millis(1000);

/// Time that an instance that has just started waits for its region's split before it computes its own.
const ADOPT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Updates the split and the limit of every service periodically, and expires quarantine and link use.
pub async fn split_loop(node: Arc<Node>) {
    let started_at = node.clock.now();
    let mut tick = tokio::time::interval(UPDATE_INTERVAL);
    loop {
        tick.tick().await;
        let now = node.clock.now();
        let active_config = node.active_config.load_full();
        for service in &active_config.services {
            update_service(&node, service, started_at, now);
        }
        node.quarantine.remove_stale(now);
        node.link_use.update_rate(now);
    }
}

/// Adopts the split of another instance if this one has none yet.
pub fn adopt_split(service: &ServiceState, per_million: &[u32], now: Time) {
    if service.split.load().computed_at.is_none() {
        service
            .split
            .store(Arc::new(TrafficSplit { per_million: per_million.to_vec(), computed_at: Some(now) }));
    }
}

/// Returns this instance's load over all services, in thousandths of its limit.
#[must_use]
pub fn load_per_mille(node: &Node) -> u32 {
    let active_config = node.active_config.load();
    let (mut running, mut limit) = (0, 0);
    for service in &active_config.services {
        let load = service.admission.load();
        running += load.running + load.waiting;
        limit += load.max_running;
    }
    u32::try_from(running * 1000 / limit.max(1)).unwrap_or(u32::MAX)
}

fn update_service(node: &Node, service: &ServiceState, started_at: Time, now: Time) {
    let senders = senders(node);
    assign_backends(node, service, senders);
    let views: Vec<Vec<BackendView>> =
        service.regions.iter().map(|r| r.backends.iter().map(|b| b.view(now)).collect()).collect();
    let active_config = node.active_config.load();
    let regions: Vec<RegionView> = service
        .regions
        .iter()
        .zip(&views)
        .map(|(region, views)| region_view(&active_config, node, region, views, senders, now))
        .collect();
    let limit = service_limit(&regions, &views, senders, now);
    service.admission.set_max_running(limit, node.clock);
    let demand = demand(service, &views, node);
    let target = target_split(&regions, &demand);
    let current = service.split.load_full();
    let per_million = match current.computed_at {
        None if now.since(started_at) < ADOPT_TIMEOUT && senders > 1 => return,
        None => target,
        Some(at) => {
            let planned = service.regions.iter().any(|r| r.planned_per_mille.is_some());
            let cap = if planned && all_regions_available(&regions) {
                service.max_plan_shift_per_mille
            } else {
                service.max_failover_shift_per_mille
            };
            shift_towards(&current.per_million, &target, cap, now.since(at).min(MAX_STEP_TIME))
        }
    };
    service.split.store(Arc::new(TrafficSplit { per_million, computed_at: Some(now) }));
}

fn all_regions_available(regions: &[RegionView]) -> bool {
    regions.iter().all(|r| r.slots > 0 || r.planned_per_mille == Some(0))
}

fn region_view(
    active_config: &ActiveConfig,
    node: &Node,
    region: &RegionState,
    views: &[BackendView],
    senders: usize,
    now: Time,
) -> RegionView {
    let available = || views.iter().filter(|v| v.is_available);
    let own_region = active_config.snapshot.tree.regions.get(&node.settings.region);
    let link = own_region.and_then(|r| r.link_bytes_per_second);
    RegionView {
        is_local: region.is_local,
        slots: available().map(|v| v.slots).sum(),
        busy: available().map(|v| estimated_in_flight(v, now)).sum(),
        one_way_latency: region.one_way_latency,
        senders: u32::try_from(senders).unwrap_or(u32::MAX),
        planned_per_mille: region.planned_per_mille,
        link_headroom: link
            .filter(|_| !region.is_local)
            .map(|bytes| node.link_use.headroom(bytes / senders.max(1) as u64)),
    }
}

fn demand(service: &ServiceState, views: &[Vec<BackendView>], node: &Node) -> DemandView {
    let load = service.admission.load();
    let times: Vec<Duration> =
        views.iter().flatten().filter(|v| v.is_available).map(|v| v.service_time).collect();
    let mean = times.iter().sum::<Duration>() / u32::try_from(times.len().max(1)).unwrap_or(1);
    DemandView {
        in_flight: u32::try_from(load.running + load.waiting).unwrap_or(u32::MAX),
        service_time: mean,
        bytes_per_request: node.bytes_per_request(),
        may_spill: true,
    }
}

// Returns the limit of requests in flight: in the local region up to a short queue at the backend servers, in
// other regions only their headroom, so that spill-over and failover overload no region.
fn service_limit(regions: &[RegionView], views: &[Vec<BackendView>], senders: usize, now: Time) -> usize {
    // Without an available backend server, requests must not queue here: they are refused when one is
    // selected.
    if regions.iter().all(|r| r.slots == 0) {
        return INITIAL_MAX_RUNNING;
    }
    let of_region = |(region, views): (&RegionView, &Vec<BackendView>)| {
        let available = || views.iter().filter(|v| v.is_available);
        if region.is_local {
            return running_limit(available(), senders, now);
        }
        in_flight_limit(region, available().map(|v| v.own_in_flight).sum()) as usize
    };
    regions.iter().zip(views).map(of_region).sum::<usize>().max(1)
}

fn assign_backends(node: &Node, service: &ServiceState, senders: usize) {
    let share = connection_share(senders);
    let own = node.incarnation.instance.as_str();
    for region in &service.regions {
        let chosen = backend_subset(own, senders, region.backends.iter(), |b| b.id.as_str());
        for backend in &region.backends {
            backend.set_assignment(chosen.iter().any(|c| c.id == backend.id), share);
        }
    }
}

// Number of instances that may send requests to backend servers: those that are alive.
fn senders(node: &Node) -> usize {
    let view = node.fleet.view();
    view.entries.iter().filter(|e| e.member_state == MemberState::Alive).count().max(1)
}
