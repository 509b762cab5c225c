//! Which regions' instances the directory names to a caller.
//!
//! Load: the two instances of a region restart one after the other. A caller that gets the only other one has no
//! choice when it fails, so instances of other regions are added. Requests that are restricted to some regions must
//! not be sent elsewhere meanwhile, and the directory does not know which requests its caller will send.

use burdock_model::ids::RegionName;

/// Minimum number of instances in the caller's region; with fewer, those of other regions are added where that
/// is allowed.
const MIN_LOCAL: usize = 2;

/// Returns whether the instances of another region are added to the `local_count` ones of the caller's region.
/// `homes` are the regions that all restrictions on the caller's requests allow, if there are any. A caller
/// without an instance in its region gets those of all regions.
///
/// ```
/// use burdock_decide::directory::adds_region;
/// use burdock_model::ids::RegionName;
/// let (riga, jelgava) = (RegionName::new("riga").unwrap(), RegionName::new("jelgava").unwrap());
/// assert!(adds_region(&jelgava, 1, None));
/// assert!(!adds_region(&jelgava, 1, Some(&[riga.clone()])));
/// assert!(adds_region(&jelgava, 1, Some(&[riga.clone(), jelgava.clone()])));
/// assert!(adds_region(&jelgava, 0, Some(&[riga])));
/// assert!(!adds_region(&jelgava, 2, None));
/// ```
#[must_use]
pub fn adds_region(region: &RegionName, local_count: usize, homes: Option<&[RegionName]>) -> bool {
    let is_allowed = homes.is_none_or(|homes| homes.contains(region));
    local_count == 0 || (local_count < MIN_LOCAL && is_allowed)
}
