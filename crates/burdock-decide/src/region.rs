//! How a service's traffic at one instance should be split over regions.

use std::time::Duration;

/// Parts of a whole split.
pub const SPLIT_TOTAL: u32 = 1_000_000;

/// Above this part of its capacity, in thousandths, a region is not given more work from elsewhere.
const SPILL_CEILING_PER_MILLE: u64 = 850;

/// What an instance knows of a service in one region.
#[derive(Clone, Copy, Debug)]
pub struct RegionView {
    /// It is the instance's own.
    pub local: bool,
    /// Slots of its healthy, accepting backend servers.
    pub slots: u32,
    /// Requests at work there by the newest reports, unknown ones counted as busy.
    pub busy: u32,
    /// One way to it.
    pub one_way: Duration,
    /// Instances that may send there from elsewhere.
    pub senders: u32,
    /// Its part of the split that operators want, in thousandths; `None` without a plan.
    pub planned_per_mille: Option<u32>,
    /// Bytes a second that the link to it still has for this instance; `None` for no limit.
    pub link_headroom: Option<u64>,
}

/// What an instance itself offers to a service.
#[derive(Clone, Copy, Debug)]
pub struct DemandView {
    /// Requests at work from this instance.
    pub in_flight: u32,
    /// Mean time that a backend server works on a request.
    pub service_time: Duration,
    /// Mean bytes a request takes on a link, both ways together.
    pub bytes_per_request: u64,
    /// Requests may leave the region.
    pub may_spill: bool,
}

/// The split to head for, in parts of [`SPLIT_TOTAL`], one for each region in order.
///
/// A plan comes first, cut to the regions that can work. Without one, all stays local until the local
/// wait costs more than the way to another region that has room. What a region has free is dealt out
/// over all that may send there, since each sees the same report.
///
/// ```
/// use burdock_decide::region::*;
/// use std::time::Duration;
/// let local = RegionView { local: true, slots: 12, busy: 3, one_way: Duration::ZERO, senders: 1,
///     planned_per_mille: None, link_headroom: None };
/// let remote = RegionView { local: false, one_way: Duration::from_millis(20), ..local };
/// let demand = DemandView { in_flight: 3, service_time: Duration::from_millis(10), bytes_per_request: 0, may_spill: true };
/// assert_eq!(target_split(&[local, remote], &demand), [SPLIT_TOTAL, 0]);
/// let down = RegionView { slots: 0, busy: 0, ..local };
/// assert_eq!(target_split(&[down, remote], &demand), [0, SPLIT_TOTAL]);
/// ```
#[must_use]
pub fn target_split(regions: &[RegionView], demand: &DemandView) -> Vec<u32> {
    if regions.iter().any(|r| r.planned_per_mille.is_some()) {
        return planned_split(regions);
    }
    let Some(local_ix) = regions.iter().position(|r| r.local && r.slots > 0) else {
        return failover_split(regions, demand);
    };
    let mut split = vec![0; regions.len()];
    split[local_ix] = SPLIT_TOTAL;
    if !demand.may_spill || demand.in_flight == 0 {
        return split;
    }
    spill_from(regions, demand, local_ix, &mut split);
    split
}

/// Mean wait for a slot in a region.
#[must_use]
pub fn expected_wait(region: &RegionView, service_time: Duration) -> Duration {
    if region.slots == 0 {
        return Duration::MAX;
    }
    let waiting = (region.busy + 1).saturating_sub(region.slots);
    service_time.saturating_mul(waiting) / region.slots
}

/// Requests that this instance may have at work in another region: its part of what is free there.
#[must_use]
pub fn headroom_share(region: &RegionView) -> u32 {
    let ceiling = u64::from(region.slots) * SPILL_CEILING_PER_MILLE / 1000;
    let free = ceiling.saturating_sub(u64::from(region.busy));
    let senders = u64::from(region.senders.max(1));
    u32::try_from(free.div_ceil(senders).min(free)).unwrap_or(u32::MAX)
}

/// Requests that an instance may have at work in another region: what it has there, and its part of what is
/// free. All instances together then stay under the ceiling, but for what reports lag behind.
///
/// ```
/// use burdock_decide::region::{in_flight_limit, RegionView};
/// use std::time::Duration;
/// let region = RegionView { local: false, slots: 20, busy: 7, one_way: Duration::ZERO, senders: 2,
///     planned_per_mille: None, link_headroom: None };
/// assert_eq!(in_flight_limit(&region, 3), 8);
/// assert_eq!(in_flight_limit(&RegionView { busy: 20, ..region }, 3), 3);
/// ```
#[must_use]
pub fn in_flight_limit(region: &RegionView, own_in_flight: u32) -> u32 {
    own_in_flight + headroom_share(region)
}

fn planned_split(regions: &[RegionView]) -> Vec<u32> {
    let weight = |r: &RegionView| {
        if r.slots > 0 { r.planned_per_mille.unwrap_or(0) } else { 0 }
    };
    let sum: u32 = regions.iter().map(weight).sum();
    if sum == 0 {
        return by_weight(regions, |r| u64::from(r.slots));
    }
    by_weight(regions, |r| u64::from(weight(r)))
}

fn failover_split(regions: &[RegionView], demand: &DemandView) -> Vec<u32> {
    let roomy = |r: &RegionView| u64::from(headroom_share(r)) * u64::from(link_allows(r, demand));
    if regions.iter().map(roomy).sum::<u64>() > 0 {
        return by_weight(regions, roomy);
    }
    by_weight(regions, |r| u64::from(r.slots))
}

fn spill_from(regions: &[RegionView], demand: &DemandView, local_ix: usize, split: &mut [u32]) {
    let home_wait = expected_wait(&regions[local_ix], demand.service_time);
    let mut order: Vec<usize> = (0..regions.len()).filter(|ix| *ix != local_ix).collect();
    order.sort_by_key(|ix| regions[*ix].one_way);
    let excess = (regions[local_ix].busy + 1).saturating_sub(regions[local_ix].slots);
    let mut left = excess.min(demand.in_flight);
    for ix in order {
        let region = &regions[ix];
        let cost = expected_wait(region, demand.service_time).saturating_add(region.one_way * 2);
        if left == 0 || cost >= home_wait || !link_allows(region, demand) {
            continue;
        }
        let moved = left.min(headroom_share(region));
        left -= moved;
        let part = u64::from(moved) * u64::from(SPLIT_TOTAL) / u64::from(demand.in_flight);
        let part = u32::try_from(part).unwrap_or(SPLIT_TOTAL).min(split[local_ix]);
        split[ix] += part;
        split[local_ix] -= part;
    }
}

const fn link_allows(region: &RegionView, demand: &DemandView) -> bool {
    match region.link_headroom {
        None => true,
        Some(room) => room > demand.bytes_per_request,
    }
}

// Rounding remainders go to the heaviest region, so that the parts add up to the whole.
fn by_weight(regions: &[RegionView], weight: impl Fn(&RegionView) -> u64) -> Vec<u32> {
    let weights: Vec<u64> = regions.iter().map(weight).collect();
    let sum: u64 = weights.iter().sum();
    if sum == 0 {
        return vec![0; regions.len()];
    }
    let part = |w: &u64| u32::try_from(w * u64::from(SPLIT_TOTAL) / sum).unwrap_or(SPLIT_TOTAL);
    let mut split: Vec<u32> = weights.iter().map(part).collect();
    let heaviest = (0..weights.len()).max_by_key(|ix| weights[*ix]).unwrap_or(0);
    split[heaviest] += SPLIT_TOTAL - split.iter().sum::<u32>();
    split
}
