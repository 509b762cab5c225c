//! Selection of the instances of a region that callers are steered to.
//!
//! In a fleet of a few large machines and many small ones, traffic spread over all of them would reach each
//! backend server from each instance so rarely that connections idle too long to be reused, and small
//! machines would add latency. So callers are steered to the largest instances, as many as hold enough of the
//! cores of the region. The others are on standby.

use std::collections::BTreeSet;

/// Returns whether a small instance may stand by unregistered, since the larger ones that are registered in its
/// region carry all callers. `zones` is the number of the region's availability zones.
///
/// ```
/// use burdock_decide::entries::{InstanceView, may_stand_by};
/// let large = |zone| InstanceView { zone, capacity_class: 6, cores: 0.5 };
/// assert!(may_stand_by(&[large("a"), large("a"), large("b")], 1, 3));
/// assert!(!may_stand_by(&[large("a"), large("a"), large("a")], 1, 3));
/// ```
#[must_use]
pub fn may_stand_by(registered: &[InstanceView<'_>], own_class: u32, zones: usize) -> bool {
    let larger = || registered.iter().filter(|i| i.capacity_class > own_class);
    let larger_zones: BTreeSet<&str> = larger().map(|i| i.zone).collect();
    larger().count() >= MIN_STEERING_TARGETS && larger_zones.len() >= zones.min(2)
}

/// Minimum fraction of the cores of a region that steering targets hold. A fleet is sized to be mostly idle,
/// and load may double within seconds.
const MIN_CORES_FRACTION: f64 = 0.25;

/// Minimum number of steering targets, so that callers still have a choice when one fails.
const MIN_STEERING_TARGETS: usize = 3;

/// An instance as a candidate.
#[derive(Clone, Copy, Debug)]
pub struct InstanceView<'a> {
    /// Availability zone of the instance.
    pub zone: &'a str,
    /// Class of its capacity; higher carries more.
    pub capacity_class: u32,
    /// Number of cores that it may use.
    pub cores: f64,
}

/// Returns the steering targets of a region as ascending indices. Instances of one capacity class are treated
/// alike.
///
/// ```
/// use burdock_decide::entries::{InstanceView, steering_targets};
/// let large = |zone| InstanceView { zone, capacity_class: 6, cores: 0.5 };
/// let small = InstanceView { zone: "a", capacity_class: 0, cores: 0.07 };
/// let region = [small, large("a"), small, large("a"), large("b")];
/// assert_eq!(steering_targets(&region), [1, 3, 4]);
/// // The small instances help if all large ones are in one zone.
/// let other_zone = InstanceView { zone: "b", ..small };
/// assert_eq!(steering_targets(&[large("a"), large("a"), large("a"), other_zone]).len(), 4);
/// ```
#[must_use]
pub fn steering_targets(region: &[InstanceView<'_>]) -> Vec<usize> {
    let zones = |indices: &[usize]| indices.iter().map(|ix| region[*ix].zone).collect::<BTreeSet<_>>().len();
    let cores = |indices: &[usize]| indices.iter().map(|ix| region[*ix].cores).sum::<f64>();
    let all: Vec<usize> = (0..region.len()).collect();
    let classes: BTreeSet<u32> = region.iter().map(|instance| instance.capacity_class).collect();
    for min_class in classes.into_iter().rev() {
        let targets: Vec<usize> =
            all.iter().copied().filter(|ix| region[*ix].capacity_class >= min_class).collect();
        let is_sufficient = targets.len() >= MIN_STEERING_TARGETS
            && zones(&targets) >= zones(&all).min(2)
            && cores(&targets) >= cores(&all) * MIN_CORES_FRACTION;
        if is_sufficient {
            return targets;
        }
    }
    all
}
