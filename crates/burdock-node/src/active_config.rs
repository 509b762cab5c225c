//! The configuration in force and the running state of its services.

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

/// The snapshot in force and the state of its services, replaced as a whole.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Resolved configuration.
    pub snapshot: Arc<Snapshot>,
    /// State of the services, in the snapshot's order.
    pub services: Vec<ServiceState>,
}

/// The running state of one service. Values behind an [`Arc`] outlive a change of configuration.
#[derive(Debug)]
pub struct ServiceState {
    /// Name of the service.
    pub name: ServiceName,
    /// Regions with backend servers of the service, in order of name.
    pub regions: Vec<RegionState>,
    /// Split of this instance's traffic over the regions.
    pub split: Arc<ArcSwap<TrafficSplit>>,
    /// Admission queue of the service.
    pub admission: Arc<Admission>,
    /// Thousandths of the traffic that a planned split may shift per second.
    pub max_plan_shift_per_mille: u32,
    /// Thousandths of the traffic that failover may shift per second.
    pub max_failover_shift_per_mille: u32,
}

/// A service's backend servers in one region.
#[derive(Debug)]
pub struct RegionState {
    /// Name of the region.
    pub name: RegionName,
    /// Whether this is the instance's own region.
    pub is_local: bool,
    /// Network latency from this instance's region, one way.
    pub one_way_latency: Duration,
    /// Thousandths of the traffic that the configuration assigns to the region, if it plans a split.
    pub planned_per_mille: Option<u32>,
    /// Backend servers of the service in the region.
    pub backends: Vec<Arc<BackendState>>,
}

/// Split of a service's traffic over its regions.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    /// Share of each region in parts of [`SPLIT_TOTAL`].
    pub per_million: Vec<u32>,
    /// When the split was computed; `None` for the initial one.
    pub computed_at: Option<Time>,
}

impl ActiveConfig {
    /// Creates the state of an instance that has no configuration yet.
    #[must_use]
    pub fn empty() -> Self {
        Self { snapshot: Arc::new(Snapshot::empty()), services: Vec::new() }
    }

    /// Creates the state for a new snapshot. Remaining services and backend servers keep their running state.
    #[must_use]
    pub fn after(previous: &Self, snapshot: Snapshot, own_region: &RegionName, now: Time) -> Self {
        let known_backends = previous.backends();
        let services = (0..snapshot.services.len())
            .map(|ix| {
                let name = &snapshot.services[ix].name;
                let old = previous.services.iter().find(|s| s.name == *name);
                service_state(&snapshot, ix, old, &known_backends, own_region, now)
            })
            .collect();
        Self { snapshot: Arc::new(snapshot), services }
    }

    /// Returns all backend servers by id.
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
    known_backends: &HashMap<&BackendId, &Arc<BackendState>>,
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
                .map(|b| backend_state(b, known_backends, now))
                .collect(),
        })
        .collect();
    let has_same_regions = |old: &&ServiceState| {
        old.regions.len() == regions.len() && old.regions.iter().zip(&regions).all(|(a, b)| a.name == b.name)
    };
    let split = old.filter(has_same_regions).map(|o| Arc::clone(&o.split));
    ServiceState {
        name: service.name.clone(),
        split: split.unwrap_or_else(|| Arc::new(ArcSwap::from_pointee(initial_split(&regions)))),
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

// Until a split is computed, all traffic goes to the local region, or to the first one if the service has no
// backend servers in the local region.
fn initial_split(regions: &[RegionState]) -> TrafficSplit {
    let preferred_ix = regions.iter().position(|r| r.is_local).unwrap_or(0);
    let per_million = (0..regions.len()).map(|ix| if ix == preferred_ix { SPLIT_TOTAL } else { 0 }).collect();
    TrafficSplit { per_million, computed_at: None }
}

fn one_way_latency(snapshot: &Snapshot, from: &RegionName, to: &RegionName) -> Duration {
    let region = snapshot.tree.regions.get(from);
    let ms = region.and_then(|r| r.one_way_ms.get(to)).copied().unwrap_or(0);
    Duration::from_millis(u64::from(ms))
}

fn backend_state(
    backend: &Backend,
    known_backends: &HashMap<&BackendId, &Arc<BackendState>>,
    now: Time,
) -> Arc<BackendState> {
    let existing = known_backends.get(&backend.id).filter(|b| b.matches_settings(backend));
    let state = existing.map_or_else(|| Arc::new(BackendState::new(backend, now)), |b| Arc::clone(b));
    state.set_draining(backend.draining, now);
    state
}
