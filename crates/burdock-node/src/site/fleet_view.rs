//! What follows from the list of instances, worked out once a change.

use std::collections::{BTreeMap, BTreeSet};

use burdock_decide::apportion::hub_order;
use burdock_decide::cold;
use burdock_decide::entries::{InstanceView, steering_targets};
use burdock_model::ids::RegionName;
use burdock_model::site::RegisteredInstance;

/// The instances as requests see them.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Instances that are listed now.
    pub listed: Vec<RegisteredInstance>,
    /// Instances that may be using a share of what all have together.
    pub expected: usize,
    regions: BTreeMap<RegionName, RegionView>,
}

/// The instances of one region, as indices into the list.
#[derive(Debug, Default)]
struct RegionView {
    // In the order in which they serve as the region's hub.
    hubs: Vec<usize>,
    steering_targets: Vec<usize>,
}

impl FleetView {
    /// Works out what follows from a list, of which more may be serving than are listed.
    #[must_use]
    pub fn new(listed: Vec<RegisteredInstance>, expected: usize) -> Self {
        let names: BTreeSet<&RegionName> = listed.iter().map(|i| &i.region).collect();
        let regions = names.into_iter().map(|name| (name.clone(), RegionView::of(&listed, name))).collect();
        Self { listed, expected, regions }
    }

    /// The instances of a region in the order in which they serve as its hub.
    pub fn hubs(&self, region: &RegionName) -> impl Iterator<Item = &RegisteredInstance> {
        self.region_members(region, |view| &view.hubs)
    }

    /// The instances of a region that take callers.
    pub fn steering_targets(&self, region: &RegionName) -> impl Iterator<Item = &RegisteredInstance> {
        self.region_members(region, |view| &view.steering_targets)
    }

    /// The first region by name that has instances.
    #[must_use]
    pub fn first_region(&self) -> Option<&RegionName> {
        self.regions.keys().next()
    }

    /// The instances of all regions that take callers.
    pub fn all_steering_targets(&self) -> impl Iterator<Item = &RegisteredInstance> {
        self.regions.keys().flat_map(|region| self.steering_targets(region))
    }

    /// The instances of which some send to a cold backend server of a region: those that take callers there, or those of
    /// all regions where those are too few.
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
        pick: impl Fn(&RegionView) -> &Vec<usize>,
    ) -> impl Iterator<Item = &RegisteredInstance> {
        let picked = self.regions.get(region).map(pick);
        picked.into_iter().flatten().map(|ix| &self.listed[*ix])
    }
}

impl RegionView {
    fn of(listed: &[RegisteredInstance], region: &RegionName) -> Self {
        let members: Vec<usize> = (0..listed.len()).filter(|ix| listed[*ix].region == *region).collect();
        let entry = |ix: &usize| {
            let RegisteredInstance { zone, capacity_class, cores, .. } = &listed[*ix];
            InstanceView { zone: zone.as_str(), capacity_class: *capacity_class, cores: *cores }
        };
        let taking = steering_targets(&members.iter().map(entry).collect::<Vec<_>>());
        let numbered = members.iter().map(|ix| (*ix, &listed[*ix]));
        let order = hub_order(region.as_str(), numbered, |(_, i)| i.id.as_str(), |(_, i)| i.capacity_class)
            .into_iter();
        let hubs = order.map(|(ix, _)| ix).collect();
        Self { hubs, steering_targets: taking.into_iter().map(|nth| members[nth]).collect() }
    }
}
