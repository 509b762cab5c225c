//! Which part of an organisation's allowance a hub hands out to the instances that report to it.
//!
//! Hubs divide the whole among themselves by demand, each from what it heard of the others. Instances that no
//! hub speaks for may be cut off and serving: their even part is left to them.

use burdock_model::hash::ranked;

/// The part that is divided evenly over instances whatever the demand, so that a first request finds some.
const EVEN_PART: f64 = 0.1;

/// What a hub's part is decided from.
#[derive(Clone, Copy, Debug)]
pub struct ApportionView {
    /// Requests a second at instances that report to this hub.
    pub own_demand: f64,
    /// Requests a second at all instances that were heard of, these among them.
    pub total_demand: f64,
    /// Instances that report to this hub.
    pub own_instances: f64,
    /// Instances that were heard of, these among them.
    pub heard_instances: f64,
    /// Instances that may be serving.
    pub expected_instances: f64,
}

/// The part of the whole that this hub hands out.
///
/// ```
/// use burdock_decide::apportion::{ApportionView, part};
/// let alone = ApportionView { own_demand: 5.0, total_demand: 5.0, own_instances: 1.0, heard_instances: 1.0,
///     expected_instances: 4.0 };
/// assert!((part(&alone) - 0.25).abs() < 1e-9);
/// ```
#[must_use]
pub fn part(view: &ApportionView) -> f64 {
    let heard = view.heard_instances.max(1.0);
    let heard_part = (heard / view.expected_instances.max(1.0)).min(1.0);
    let even = view.own_instances / heard;
    let by_demand = if view.total_demand > 0.0 { view.own_demand / view.total_demand } else { even };
    heard_part * (EVEN_PART * even + (1.0 - EVEN_PART) * by_demand)
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
    strength: impl Fn(&T) -> u32,
) -> Vec<T> {
    const SEED: u64 = 23;
    let mut order = ranked(burdock_model::hash::stable(region.as_bytes(), SEED), instances, id);
    order.sort_by_key(|instance| std::cmp::Reverse(strength(instance)));
    order
}
