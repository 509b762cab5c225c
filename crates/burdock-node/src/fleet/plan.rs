//! Working out, again and again, how traffic is split over regions and how much may run.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::admit::running_limit;
use burdock_decide::membership::MemberState;
use burdock_decide::pick::{BackendView, backend_subset, connection_share, estimated_in_flight};
use burdock_decide::region::{DemandView, RegionView, in_flight_limit, target_split};
use burdock_decide::shift::shift_towards;
use burdock_decide::time::Time;

use crate::active_config::{ActiveConfig, RegionState, ServiceState, TrafficSplit};
use crate::forward::admission::FIRST_LIMIT;
use crate::node::Node;

/// Time between two plans.
const INTERVAL: Duration = Duration::from_millis(200);

/// The longest time that one step of a shift counts for, so that a process that was paused does not jump.
const LONGEST_STEP: Duration = Duration::from_millis(1000);

/// How long an instance that has just started waits for its region's split before it makes its own.
const ADOPT_WAIT: Duration = Duration::from_millis(1500);

/// Plans again and again.
pub async fn plan_loop(node: Arc<Node>) {
    let began = node.clock.now();
    let mut tick = tokio::time::interval(INTERVAL);
    loop {
        tick.tick().await;
        let now = node.clock.now();
        let active_config = node.active_config.load_full();
        for service in &active_config.services {
            plan(&node, service, began, now);
        }
        node.quarantine.sweep(now);
        node.link_use.tick(now);
    }
}

/// Takes up a split that another instance has, if there is none of its own yet.
pub fn adopt(service: &ServiceState, per_million: &[u32], now: Time) {
    if service.split.load().computed_at.is_none() {
        service
            .split
            .store(Arc::new(TrafficSplit { per_million: per_million.to_vec(), computed_at: Some(now) }));
    }
}

/// Thousandths of what this instance may run that it runs, over all services.
#[must_use]
pub fn load_per_mille(node: &Node) -> u32 {
    let active_config = node.active_config.load();
    let (mut running, mut limit) = (0, 0);
    for service in &active_config.services {
        let load = service.admission.load();
        running += load.running + load.waiting;
        limit += load.limit;
    }
    u32::try_from(running * 1000 / limit.max(1)).unwrap_or(u32::MAX)
}

fn plan(node: &Node, service: &ServiceState, began: Time, now: Time) {
    let senders = senders(node);
    share_connections(node, service, senders);
    let views: Vec<Vec<BackendView>> =
        service.regions.iter().map(|r| r.backends.iter().map(|b| b.view(now)).collect()).collect();
    let active_config = node.active_config.load();
    let regions: Vec<RegionView> = service
        .regions
        .iter()
        .zip(&views)
        .map(|(region, views)| region_view(&active_config, node, region, views, senders, now))
        .collect();
    let limit = limit(&regions, &views, senders, now);
    service.admission.set_limit(limit, node.clock);
    let demand = demand(service, &views, node);
    let target = target_split(&regions, &demand);
    let present = service.split.load_full();
    let per_million = match present.computed_at {
        None if now.since(began) < ADOPT_WAIT && senders > 1 => return,
        None => target,
        Some(at) => {
            let planned = service.regions.iter().any(|r| r.planned_per_mille.is_some());
            let cap = if planned && all_work(&regions) {
                service.max_plan_shift_per_mille
            } else {
                service.max_failover_shift_per_mille
            };
            shift_towards(&present.per_million, &target, cap, now.since(at).min(LONGEST_STEP))
        }
    };
    service.split.store(Arc::new(TrafficSplit { per_million, computed_at: Some(now) }));
}

fn all_work(regions: &[RegionView]) -> bool {
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
    let open = || views.iter().filter(|v| v.is_available);
    let own_node = active_config.snapshot.tree.regions.get(&node.settings.region);
    let link = own_node.and_then(|r| r.link_bytes_per_second);
    RegionView {
        is_local: region.is_local,
        slots: open().map(|v| v.slots).sum(),
        busy: open().map(|v| estimated_in_flight(v, now)).sum(),
        one_way_latency: region.one_way_latency,
        senders: u32::try_from(senders).unwrap_or(u32::MAX),
        planned_per_mille: region.planned_per_mille,
        link_headroom: link
            .filter(|_| !region.is_local)
            .map(|bytes| node.link_use.room(bytes / senders.max(1) as u64)),
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

// What may run: in the own region up to a short queue at the backend servers, elsewhere only what the region's
// headroom allows, so that no region is overloaded by what spills or fails over.
fn limit(regions: &[RegionView], views: &[Vec<BackendView>], senders: usize, now: Time) -> usize {
    // With no backend server in use, requests must not wait: they are refused when one is looked for.
    if regions.iter().all(|r| r.slots == 0) {
        return FIRST_LIMIT;
    }
    let of_region = |(region, views): (&RegionView, &Vec<BackendView>)| {
        let open = || views.iter().filter(|v| v.is_available);
        if region.is_local {
            return running_limit(open(), senders, now);
        }
        in_flight_limit(region, open().map(|v| v.own_in_flight).sum()) as usize
    };
    regions.iter().zip(views).map(of_region).sum::<usize>().max(1)
}

fn share_connections(node: &Node, service: &ServiceState, senders: usize) {
    let share = connection_share(senders);
    let own = node.incarnation.instance.as_str();
    for region in &service.regions {
        let chosen = backend_subset(own, senders, region.backends.iter(), |b| b.id.as_str());
        for backend in &region.backends {
            backend.set_part(chosen.iter().any(|c| c.id == backend.id), share);
        }
    }
}

// Instances that may send work anywhere: those that are alive.
fn senders(node: &Node) -> usize {
    let view = node.fleet.view();
    view.entries.iter().filter(|e| e.member_state == MemberState::Alive).count().max(1)
}
