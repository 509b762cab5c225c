//! Target split of the traffic of a service at one instance over the regions.

use std::time::Duration;

/// Sum of the parts of a split.
pub const SPLIT_TOTAL: u32 = 1_000_000;

/// Load in thousandths of its slots above which a region gets no more requests from other regions.
const SPILL_CEILING_PER_MILLE: u64 = 850;

/// State of a service in one region as an instance sees it.
#[derive(Clone, Copy, Debug)]
pub struct RegionView {
    /// Whether it is the region of the instance.
    pub is_local: bool,
    /// Slots of its available backend servers.
    pub slots: u32,
    /// Requests in flight there by the newest reports. Backend servers without one count as busy.
    pub busy: u32,
    /// One-way network latency to it.
    pub one_way_latency: Duration,
    /// Instances that may send to it from other regions.
    pub senders: u32,
    /// Its part of a split planned by operators, in thousandths; `None` without a plan.
    pub planned_per_mille: Option<u32>,
    /// Free capacity of the link to it for this instance, in bytes per second; `None` if unlimited.
    pub link_headroom: Option<u64>,
}

/// Demand of an instance for a service.
#[derive(Clone, Copy, Debug)]
pub struct DemandView {
    /// Requests in flight from this instance.
    pub in_flight: u32,
    /// Mean service time of a request.
    pub service_time: Duration,
    /// Mean bytes that a request takes on a link, in both directions together.
    pub bytes_per_request: u64,
    /// Whether requests may go to other regions.
    pub may_spill: bool,
}

/// Returns the target split in parts of [`SPLIT_TOTAL`], one for each region in order.
///
/// A planned split comes first, limited to regions with available slots. Without one, all requests stay local
/// until the local wait exceeds the wait and round trip of another region with headroom. The headroom of a
/// region is divided over all instances that may send there, since they all see the same report.
///
/// ```
/// use burdock_decide::region::*;
/// use std::time::Duration;
/// let local = RegionView { is_local: true, slots: 12, busy: 3, one_way_latency: Duration::ZERO, senders: 1,
///     planned_per_mille: None, link_headroom: None };
/// let remote = RegionView { is_local: false, one_way_latency: Duration::from_millis(20), ..local };
/// let demand = DemandView { in_flight: 3, service_time: Duration::from_millis(10), bytes_per_request: 0,
///     may_spill: true };
/// assert_eq!(target_split(&[local, remote], &demand), [SPLIT_TOTAL, 0]);
/// let down = RegionView { slots: 0, busy: 0, ..local };
/// assert_eq!(target_split(&[down, remote], &demand), [0, SPLIT_TOTAL]);
/// ```
#[must_use]
pub fn target_split(regions: &[RegionView], demand: &DemandView) -> Vec<u32> {
    if regions.iter().any(|r| r.planned_per_mille.is_some()) {
        return planned_split(regions);
    }
    let Some(local_ix) = regions.iter().position(|r| r.is_local && r.slots > 0) else {
        return failover_split(regions, demand);
    };
    let mut split = vec![0; regions.len()];
    split[local_ix] = SPLIT_TOTAL;
    if !demand.may_spill || demand.in_flight == 0 {
        return split;
    }
    apply_spill(regions, demand, local_ix, &mut split);
    split
}

/// Returns the mean wait for a slot in a region, or `Duration::MAX` if it has no slots.
#[must_use]
pub fn expected_wait(region: &RegionView, service_time: Duration) -> Duration {
    if region.slots == 0 {
        return Duration::MAX;
    }
    let waiting = (region.busy + 1).saturating_sub(region.slots);
    service_time.saturating_mul(waiting) / region.slots
}

/// Returns the share of this instance in the headroom of another region, in requests.
#[must_use]
pub fn headroom_share(region: &RegionView) -> u32 {
    let ceiling = u64::from(region.slots) * SPILL_CEILING_PER_MILLE / 1000;
    let free = ceiling.saturating_sub(u64::from(region.busy));
    let senders = u64::from(region.senders.max(1));
    u32::try_from(free.div_ceil(senders).min(free)).unwrap_or(u32::MAX)
}

/// Returns how many requests an instance may have in flight in another region: those that it has there, and
/// its share of the headroom. All instances together then stay under the ceiling, except for the lag of
/// reports.
///
/// ```
/// use burdock_decide::region::{in_flight_limit, RegionView};
/// use std::time::Duration;
/// let region = RegionView { is_local: false, slots: 20, busy: 7, one_way_latency: Duration::ZERO,
///     senders: 2, planned_per_mille: None, link_headroom: None };
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
        return split_by_weight(regions, |r| u64::from(r.slots));
    }
    split_by_weight(regions, |r| u64::from(weight(r)))
}

fn failover_split(regions: &[RegionView], demand: &DemandView) -> Vec<u32> {
    let headroom = |r: &RegionView| u64::from(headroom_share(r)) * u64::from(has_link_headroom(r, demand));
    if regions.iter().map(headroom).sum::<u64>() > 0 {
        return split_by_weight(regions, headroom);
    }
    split_by_weight(regions, |r| u64::from(r.slots))
}

fn apply_spill(regions: &[RegionView], demand: &DemandView, local_ix: usize, split: &mut [u32]) {
    let local_wait = expected_wait(&regions[local_ix], demand.service_time);
    let mut order: Vec<usize> = (0..regions.len()).filter(|ix| *ix != local_ix).collect();
    order.sort_by_key(|ix| regions[*ix].one_way_latency);
    let excess = (regions[local_ix].busy + 1).saturating_sub(regions[local_ix].slots);
    let mut remaining = excess.min(demand.in_flight);
    for ix in order {
        let region = &regions[ix];
        let cost = expected_wait(region, demand.service_time).saturating_add(region.one_way_latency * 2);
        if remaining == 0 || cost >= local_wait || !has_link_headroom(region, demand) {
            continue;
        }
        let spilled = remaining.min(headroom_share(region));
        remaining -= spilled;
        let part = u64::from(spilled) * u64::from(SPLIT_TOTAL) / u64::from(demand.in_flight);
        let part = u32::try_from(part).unwrap_or(SPLIT_TOTAL).min(split[local_ix]);
        split[ix] += part;
        split[local_ix] -= part;
    }
}

const fn has_link_headroom(region: &RegionView, demand: &DemandView) -> bool {
    match region.link_headroom {
        None => true,
        Some(headroom) => headroom > demand.bytes_per_request,
    }
}

// The rounding remainder goes to the region with the highest weight, so that the parts add up to SPLIT_TOTAL.
fn split_by_weight(regions: &[RegionView], weight: impl Fn(&RegionView) -> u64) -> Vec<u32> {
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
