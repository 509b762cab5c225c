//! Share of the allowance of an organisation that a hub distributes to the instances that report to it.
//!
//! Hubs divide the allowance among themselves by demand, each by the reports that it received from the
//! others. Their shares add up to the whole only while all hubs see all instances. A hub that has lost sight
//! of any instance does not know how demand changed there, so it distributes no more than when it last saw
//! all of them, or the even share of its instances if it never did. The same holds for a hub that has just
//! started: instances may be missing from the list that it read, if their leases ended while the store was
//! unavailable.
//!
//! Even shares are by capacity, since callers are steered to the largest instances: load pattern of a fleet of
//! a few large and many small instances that all restart, whose callers come back before everyone reports.

use std::collections::VecDeque;
use std::time::Duration;

use burdock_model::hash::rendezvous_order;

use crate::time::Time;

/// Share that is divided by the weights of instances regardless of demand, so that a first request finds some
/// allowance.
const EVEN_SHARE: f64 = 0.1;

/// Inputs of [`hub_share`].
#[derive(Clone, Copy, Debug)]
pub struct ApportionView {
    /// Requests per second at instances that report to this hub.
    pub own_demand: f64,
    /// Requests per second at all instances that reported to any hub, including these.
    pub total_demand: f64,
    /// Sum of the weights of the instances that report to this hub.
    pub own_weight: f64,
    /// Sum of the weights of all instances that may be serving requests.
    pub expected_weight: f64,
    /// Instances that reported to any hub recently, including these.
    pub reporting_instances: f64,
    /// Instances that may be serving requests.
    pub expected_instances: f64,
    /// Whether this hub has known the list of instances for long enough to trust that it is complete.
    pub list_is_settled: bool,
    /// What this hub distributed when it last saw all instances; see [`RecentShares`].
    pub last_distributed: Option<DistributedShare>,
}

/// Share of an allowance that a hub distributed, and to which weight of instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DistributedShare {
    /// Share of the whole allowance, from 0 to 1.
    pub share: f64,
    /// Sum of the weights of the instances that reported to the hub.
    pub weight: f64,
}

/// Shares that a hub distributed lately while it saw all instances.
///
/// Hubs learn each other's demand late, so while demand rises their shares add up to more than the whole for a
/// moment. A hub that then loses sight of an instance must not go on with such a share, so the lowest one of a
/// time that covers the delay counts.
#[derive(Clone, Debug, Default)]
pub struct RecentShares {
    // One entry for each interval, with the lowest share in it.
    shares: VecDeque<(Time, f64)>,
    weight: f64,
}

/// Time over which the lowest share counts, several times as long as a report takes to reach another region.
const RECENT_SHARES_WINDOW: Duration = Duration::from_millis(2000);

/// Interval in which shares are merged.
const RECENT_SHARES_INTERVAL: Duration = Duration::from_millis(200);

impl RecentShares {
    /// Records a share that the hub distributes to instances of a weight.
    pub fn record(&mut self, share: DistributedShare, now: Time) {
        self.weight = share.weight;
        match self.shares.back_mut() {
            Some((at, lowest)) if now.since(*at) < RECENT_SHARES_INTERVAL => {
                *lowest = lowest.min(share.share)
            }
            _ => self.shares.push_back((now, share.share)),
        }
        while self.shares.front().is_some_and(|(at, _)| now.since(*at) > RECENT_SHARES_WINDOW) {
            self.shares.pop_front();
        }
    }

    /// Returns the lowest share of the time before the last record.
    ///
    /// ```
    /// use burdock_decide::apportion::{DistributedShare, RecentShares};
    /// use burdock_decide::time::Time;
    /// let mut recent = RecentShares::default();
    /// recent.record(DistributedShare { share: 0.3, weight: 9.0 }, Time::from_millis(1000));
    /// recent.record(DistributedShare { share: 0.8, weight: 9.0 }, Time::from_millis(1500));
    /// assert_eq!(recent.lowest(), Some(DistributedShare { share: 0.3, weight: 9.0 }));
    /// ```
    #[must_use]
    pub fn lowest(&self) -> Option<DistributedShare> {
        let share = self.shares.iter().map(|(_, share)| *share).reduce(f64::min)?;
        Some(DistributedShare { share, weight: self.weight })
    }
}

/// Returns the share of the whole allowance that this hub distributes, from 0 to 1.
///
/// ```
/// use burdock_decide::apportion::{ApportionView, hub_share};
/// let alone = ApportionView { own_demand: 5.0, total_demand: 5.0, own_weight: 2.0, expected_weight: 8.0,
///     reporting_instances: 1.0, expected_instances: 4.0, list_is_settled: true, last_distributed: None };
/// assert!((hub_share(&alone) - 0.25).abs() < 1e-9);
/// ```
#[must_use]
pub fn hub_share(view: &ApportionView) -> f64 {
    let even = view.own_weight / view.expected_weight.max(view.own_weight).max(1.0);
    let by_demand = if view.total_demand > 0.0 { view.own_demand / view.total_demand } else { even };
    let wanted = EVEN_SHARE * even + (1.0 - EVEN_SHARE) * by_demand;
    if sees_all_instances(view) {
        return wanted;
    }
    match view.last_distributed {
        Some(last) => last.share * (view.own_weight / last.weight.max(1.0)).min(1.0),
        None => even,
    }
}

/// Returns whether reports cover every instance that may be serving. One that no other counts covers nothing.
#[must_use]
pub fn sees_all_instances(view: &ApportionView) -> bool {
    view.list_is_settled && view.own_weight > 0.0 && view.reporting_instances >= view.expected_instances
}

/// Returns the instances of a region in the order in which they serve as its hub: by descending capacity
/// class, then by rendezvous rank.
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
    let mut order =
        rendezvous_order(burdock_model::hash::stable_hash(region.as_bytes(), SEED), instances, id);
    order.sort_by_key(|instance| std::cmp::Reverse(capacity_class(instance)));
    order
}
