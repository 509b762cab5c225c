//! Which part of an organisation's allowance a hub hands out to the instances that report to it.
//!
//! Hubs divide the whole among themselves by demand, each from what it heard of the others. That adds up to the whole
//! only while all of them hear of each other: a hub that has lost sight of any instance does not know how demand
//! moved there, so it hands out no more than it did when it last saw all of them, and as long as it never did, the
//! even part of its instances. The same holds for one that has just started: entries of others may be missing from the
//! list that it read, if their leases ended while the store was away.

use burdock_model::hash::ranked;

/// The part that is divided evenly over instances whatever the demand, so that a first request finds some.
const EVEN_SHARE: f64 = 0.1;

/// What a hub's part is decided from.
#[derive(Clone, Copy, Debug)]
pub struct ApportionView {
    /// Requests a second at instances that report to this hub.
    pub own_demand: f64,
    /// Requests a second at all instances that were heard of, these among them.
    pub total_demand: f64,
    /// Instances that report to this hub.
    pub own_instances: f64,
    /// Instances that were heard of just now, these among them.
    pub reporting_instances: f64,
    /// Instances that may be serving.
    pub expected_instances: f64,
    /// This hub has known the list of instances for long enough to trust that none is missing.
    pub list_is_settled: bool,
    /// What this hub handed out when it last heard of all instances.
    pub last_distributed: Option<DistributedShare>,
}

/// What a hub handed out, and to how many instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DistributedShare {
    /// The part of the whole.
    pub share: f64,
    /// The instances that reported to it.
    pub instances: f64,
}

/// The part of the whole that this hub hands out.
///
/// ```
/// use burdock_decide::apportion::{ApportionView, hub_share};
/// let alone = ApportionView { own_demand: 5.0, total_demand: 5.0, own_instances: 1.0, reporting_instances: 1.0,
///     expected_instances: 4.0, list_is_settled: true, last_distributed: None };
/// assert!((hub_share(&alone) - 0.25).abs() < 1e-9);
/// ```
#[must_use]
pub fn hub_share(view: &ApportionView) -> f64 {
    let even = view.own_instances / view.expected_instances.max(view.own_instances).max(1.0);
    let by_demand = if view.total_demand > 0.0 { view.own_demand / view.total_demand } else { even };
    let wanted = EVEN_SHARE * even + (1.0 - EVEN_SHARE) * by_demand;
    if sees_all_instances(view) {
        return wanted;
    }
    match view.last_distributed {
        Some(last) => last.share * (view.own_instances / last.instances.max(1.0)).min(1.0),
        None => even,
    }
}

/// Whether every instance that may be serving was heard of.
#[must_use]
pub fn sees_all_instances(view: &ApportionView) -> bool {
    view.list_is_settled && view.reporting_instances >= view.expected_instances
}

/// The instances of a region in the order in which they serve as its hub: the strongest first, and among equals by
/// rendezvous rank.
///
/// ```
/// use burdock_decide::apportion::hub_order;
/// let order = hub_order("riga", ["a", "b", "c"].into_iter(), |id| id, |id| u32::from(*id == "b"));
/// assert_eq!(order[0], "b");
/// ```
pub fn hub_order<T>(
    region: &str,
    instances: impl Iterator<Item = T>,
    id: impl Fn(&T) -> &str,
    capacity_class: impl Fn(&T) -> u32,
) -> Vec<T> {
    const SEED: u64 = 23;
    let mut order = ranked(burdock_model::hash::stable(region.as_bytes(), SEED), instances, id);
    order.sort_by_key(|instance| std::cmp::Reverse(capacity_class(instance)));
    order
}
