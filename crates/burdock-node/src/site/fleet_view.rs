//! Hubs and steering targets of each region, computed once per change of the instance list.

use std::collections::{BTreeMap, BTreeSet};

use burdock_decide::apportion::hub_order;
use burdock_decide::cold;
use burdock_decide::entries::{InstanceView, may_stand_by, steering_targets};
use burdock_model::ids::RegionName;
use burdock_model::site::RegisteredInstance;

/// Immutable view of the instances, shared by requests.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Instances with an entry in the store.
    pub listed: Vec<RegisteredInstance>,
    /// Number of instances that may be using a share of the allowances, listed or not.
    pub expected: usize,
    /// Sum of the weights of these instances.
    pub expected_weight: u64,
    regions: BTreeMap<RegionName, RegionView>,
}

/// The instances of one region, as indices into the list.
#[derive(Debug, Default)]
struct RegionView {
    // In hub order: the first reachable one is the region's hub.
    hubs: Vec<usize>,
    steering_targets: Vec<usize>,
}

impl FleetView {
    /// Computes the view of a list of instances. Besides them `unlisted` ones may be serving.
    #[must_use]
    pub fn new(listed: Vec<RegisteredInstance>, unlisted: &[&RegisteredInstance]) -> Self {
        let expected = listed.len() + unlisted.len();
        let weights = listed.iter().chain(unlisted.iter().copied()).map(|i| u64::from(i.weight()));
        let expected_weight = weights.sum();
        let names: BTreeSet<&RegionName> = listed.iter().map(|i| &i.region).collect();
        let regions = names.into_iter().map(|name| (name.clone(), RegionView::of(&listed, name))).collect();
        Self { listed, expected, expected_weight, regions }
    }

    /// Returns the instances of a region in hub order.
    pub fn hubs(&self, region: &RegionName) -> impl Iterator<Item = &RegisteredInstance> {
        self.region_members(region, |view| &view.hubs)
    }

    /// Returns the instances of a region to which callers are steered.
    pub fn steering_targets(&self, region: &RegionName) -> impl Iterator<Item = &RegisteredInstance> {
        self.region_members(region, |view| &view.steering_targets)
    }

    /// Returns whether a small instance may stand by unregistered in a region of so many zones.
    #[must_use]
    pub fn may_stand_by(&self, region: &RegionName, own_class: u32, zones: usize) -> bool {
        let members: Vec<InstanceView<'_>> = self.hubs(region).map(instance_view).collect();
        may_stand_by(&members, own_class, zones)
    }

    /// Returns the first region by name that has instances.
    #[must_use]
    pub fn first_region(&self) -> Option<&RegionName> {
        self.regions.keys().next()
    }

    /// Returns the steering targets of all regions.
    pub fn all_steering_targets(&self) -> impl Iterator<Item = &RegisteredInstance> {
        self.regions.keys().flat_map(|region| self.steering_targets(region))
    }

    /// Returns the ids of the instances among which the senders to a cold backend server of a region are
    /// chosen: the steering targets of the region, or those of all regions where it has too few.
    #[must_use]
    pub fn cold_senders(&self, region: Option<&RegionName>) -> Vec<&str> {
        let local: Vec<&str> = region
            .into_iter()
            .flat_map(|region| self.steering_targets(region))
            .map(|i| i.id.as_str())
            .collect();
        if local.len() >= cold::SENDERS_PER_BACKEND {
            local
        } else {
            self.all_steering_targets().map(|i| i.id.as_str()).collect()
        }
    }

    fn region_members(
        &self,
        region: &RegionName,
        select: impl Fn(&RegionView) -> &Vec<usize>,
    ) -> impl Iterator<Item = &RegisteredInstance> {
        let selected = self.regions.get(region).map(select);
        selected.into_iter().flatten().map(|ix| &self.listed[*ix])
    }
}

impl RegionView {
    fn of(listed: &[RegisteredInstance], region: &RegionName) -> Self {
        let members: Vec<usize> = (0..listed.len()).filter(|ix| listed[*ix].region == *region).collect();
        let views: Vec<_> = members.iter().map(|ix| instance_view(&listed[*ix])).collect();
        let targets = steering_targets(&views);
        let numbered = members.iter().map(|ix| (*ix, &listed[*ix]));
        let order = hub_order(region.as_str(), numbered, |(_, i)| i.id.as_str(), |(_, i)| i.capacity_class)
            .into_iter();
        let hubs = order.map(|(ix, _)| ix).collect();
        Self { hubs, steering_targets: targets.into_iter().map(|nth| members[nth]).collect() }
    }
}

fn instance_view(instance: &RegisteredInstance) -> InstanceView<'_> {
    let RegisteredInstance { zone, capacity_class, cores, .. } = instance;
    InstanceView { zone: zone.as_str(), capacity_class: *capacity_class, cores: *cores }
}
