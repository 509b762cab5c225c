//! Which instances of a region take callers.
//!
//! The load that this answers: a fleet of a few strong machines and many weak ones. Spread over all of them, each
//! instance sends to each backend server so seldom that its connections lie idle for too long to be used again, and
//! a weak one takes long for what a strong one does at once. So the strongest take the callers, as many as hold a
//! fair part of the region's processors, and the others stand by.

use std::collections::BTreeSet;

/// The part of a region's processors that the instances which take callers hold at least: fleets are sized so that
/// the whole is mostly idle, and callers' load may double within seconds.
const MIN_CORES_FRACTION: f64 = 0.4;

/// The fewest instances that take callers, so that one that is lost leaves callers a choice.
const MIN_STEERING_TARGETS: usize = 3;

/// An instance as a candidate.
#[derive(Clone, Copy, Debug)]
pub struct InstanceView<'a> {
    /// Its availability zone.
    pub zone: &'a str,
    /// How much it can carry, as a class.
    pub capacity_class: u32,
    /// Cores that it may use.
    pub cores: f64,
}

/// The instances of one region that take callers, as indices in order. Instances of one strength are treated alike.
///
/// ```
/// use burdock_decide::entries::{InstanceView, steering_targets};
/// let strong = |zone| InstanceView { zone, capacity_class: 6, cores: 0.5 };
/// let weak = InstanceView { zone: "a", capacity_class: 0, cores: 0.07 };
/// let region = [weak, strong("a"), weak, strong("a"), strong("b")];
/// assert_eq!(steering_targets(&region), [1, 3, 4]);
/// // Where the strong ones stand in one zone, the others help.
/// assert_eq!(steering_targets(&[strong("a"), strong("a"), strong("a"), InstanceView { zone: "b", ..weak }]).len(), 4);
/// ```
#[must_use]
pub fn steering_targets(region: &[InstanceView<'_>]) -> Vec<usize> {
    let zones = |of: &[usize]| of.iter().map(|ix| region[*ix].zone).collect::<BTreeSet<_>>().len();
    let cores = |of: &[usize]| of.iter().map(|ix| region[*ix].cores).sum::<f64>();
    let all: Vec<usize> = (0..region.len()).collect();
    let classes: BTreeSet<u32> = region.iter().map(|entry| entry.capacity_class).collect();
    for least in classes.into_iter().rev() {
        let taking: Vec<usize> =
            all.iter().copied().filter(|ix| region[*ix].capacity_class >= least).collect();
        let enough = taking.len() >= MIN_STEERING_TARGETS
            && zones(&taking) >= zones(&all).min(2)
            && cores(&taking) >= cores(&all) * MIN_CORES_FRACTION;
        if enough {
            return taking;
        }
    }
    all
}
