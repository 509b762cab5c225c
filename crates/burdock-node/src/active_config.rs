//! The configuration in force together with the running state that belongs to it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use burdock_decide::region::SPLIT_TOTAL;
use burdock_decide::shift::{DEFAULT_FAILOVER_SHIFT_PER_MILLE, DEFAULT_PLAN_SHIFT_PER_MILLE};
use burdock_decide::time::Time;
use burdock_model::ids::{BackendId, RegionName, ServiceName};
use burdock_model::snapshot::{Backend, Snapshot};

use crate::forward::admission::Admission;
use crate::forward::backends::BackendState;

/// A snapshot and the state of its services, swapped as one.
#[derive(Debug)]
pub struct ActiveConfig {
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Its services, in the snapshot's order.
    pub services: Vec<ServiceState>,
}

/// The running state of one service. What is behind an [`Arc`] outlives a change of configuration.
#[derive(Debug)]
pub struct ServiceState {
    /// Its name.
    pub name: ServiceName,
    /// Its regions in order of name.
    pub regions: Vec<RegionState>,
    /// The split of this instance's traffic over the regions, in parts of [`SPLIT_TOTAL`].
    pub split: Arc<ArcSwap<TrafficSplit>>,
    /// The queue before it.
    pub admission: Arc<Admission>,
    /// Thousandths a second that a plan may move.
    pub max_plan_shift_per_mille: u32,
    /// Thousandths a second that failover may move.
    pub max_failover_shift_per_mille: u32,
}

/// A service's backend servers in one region.
#[derive(Debug)]
pub struct RegionState {
    /// The region.
    pub name: RegionName,
    /// It is this instance's own.
    pub is_local: bool,
    /// One way to it.
    pub one_way_latency: Duration,
    /// Thousandths of the traffic that a plan gives it.
    pub planned_per_mille: Option<u32>,
    /// Its backend servers.
    pub backends: Vec<Arc<BackendState>>,
}

/// A split with the time it was made.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    /// Parts of [`SPLIT_TOTAL`], one for each region.
    pub per_million: Vec<u32>,
    /// When it was made; `None` before the first plan.
    pub computed_at: Option<Time>,
}

impl ActiveConfig {
    /// Nothing in force.
    #[must_use]
    pub fn empty() -> Self {
        Self { snapshot: Arc::new(Snapshot::empty()), services: Vec::new() }
    }

    /// A snapshot with the state that goes on from what was in force before.
    #[must_use]
    pub fn after(before: &Self, snapshot: Snapshot, own_region: &RegionName, now: Time) -> Self {
        let known = before.backends();
        let services = (0..snapshot.services.len())
            .map(|ix| {
                let name = &snapshot.services[ix].name;
                let old = before.services.iter().find(|s| s.name == *name);
                service_state(&snapshot, ix, old, &known, own_region, now)
            })
            .collect();
        Self { snapshot: Arc::new(snapshot), services }
    }

    /// Every backend server by id.
    #[must_use]
    pub fn backends(&self) -> HashMap<&BackendId, &Arc<BackendState>> {
        let regions = self.services.iter().flat_map(|s| &s.regions);
        regions.flat_map(|r| &r.backends).map(|b| (&b.id, b)).collect()
    }
}

fn service_state(
    snapshot: &Snapshot,
    ix: usize,
    old: Option<&ServiceState>,
    known: &HashMap<&BackendId, &Arc<BackendState>>,
    own_region: &RegionName,
    now: Time,
) -> ServiceState {
    let service = &snapshot.services[ix];
    let node = snapshot.tree.services.get(&service.name);
    let mut names: Vec<&RegionName> = service.backends.iter().map(|b| &b.region).collect();
    names.sort_unstable();
    names.dedup();
    let planned = |name: &RegionName| {
        let split = &node?.split_per_mille;
        (!split.is_empty()).then(|| split.get(name).copied().unwrap_or(0))
    };
    let regions: Vec<RegionState> = names
        .into_iter()
        .map(|name| RegionState {
            name: name.clone(),
            is_local: name == own_region,
            one_way_latency: one_way_latency(snapshot, own_region, name),
            planned_per_mille: planned(name),
            backends: service
                .backends
                .iter()
                .filter(|b| b.region == *name)
                .map(|b| backend(b, known, now))
                .collect(),
        })
        .collect();
    let same_regions = |old: &&ServiceState| {
        old.regions.len() == regions.len() && old.regions.iter().zip(&regions).all(|(a, b)| a.name == b.name)
    };
    let split = old.filter(same_regions).map(|o| Arc::clone(&o.split));
    ServiceState {
        name: service.name.clone(),
        split: split.unwrap_or_else(|| Arc::new(ArcSwap::from_pointee(first_split(&regions)))),
        admission: old.map(|o| Arc::clone(&o.admission)).unwrap_or_default(),
        max_plan_shift_per_mille: node
            .and_then(|n| n.plan_shift_per_mille)
            .unwrap_or(DEFAULT_PLAN_SHIFT_PER_MILLE),
        max_failover_shift_per_mille: node
            .and_then(|n| n.failover_shift_per_mille)
            .unwrap_or(DEFAULT_FAILOVER_SHIFT_PER_MILLE),
        regions,
    }
}

// Before the first plan all goes to the own region, or to the first where there is none.
fn first_split(regions: &[RegionState]) -> TrafficSplit {
    let home = regions.iter().position(|r| r.is_local).unwrap_or(0);
    let per_million = (0..regions.len()).map(|ix| if ix == home { SPLIT_TOTAL } else { 0 }).collect();
    TrafficSplit { per_million, computed_at: None }
}

fn one_way_latency(snapshot: &Snapshot, from: &RegionName, to: &RegionName) -> Duration {
    let region = snapshot.tree.regions.get(from);
    let ms = region.and_then(|r| r.one_way_ms.get(to)).copied().unwrap_or(0);
    Duration::from_millis(u64::from(ms))
}

fn backend(
    backend: &Backend,
    known: &HashMap<&BackendId, &Arc<BackendState>>,
    now: Time,
) -> Arc<BackendState> {
    let same = known.get(&backend.id).filter(|b| b.is_same(backend));
    let state = same.map_or_else(|| Arc::new(BackendState::new(backend, now)), |b| Arc::clone(b));
    state.set_draining(backend.draining, now);
    state
}
