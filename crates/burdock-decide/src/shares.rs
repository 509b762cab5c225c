//! Quota shares: which instance holds which part of an organisation's limits, and how shares move.
//!
//! One instance, the keeper, maintains the record of an organisation's shares in the store. A share moves in
//! two steps. First the record names the target split beside the current one, and every holder uses the
//! smaller of its two shares. Once every holder whose share changes has confirmed this version, or has since
//! been silent for so long that it has stopped serving by itself, the target split becomes the current one.
//! The model check in `tests/model/shares.rs` covers this.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use burdock_model::hash::{rendezvous_order, stable_hash};
use burdock_model::ids::{InstanceId, InstanceIncarnation, RegionName};

use burdock_model::units::Rate;

use crate::limit::{Allotment, FULL_SHARE_PPM, allotment};

/// Requests per second that justify one more holder in a region.
pub const REQUESTS_PER_S_PER_HOLDER: u64 = 50;

/// Maximum number of holders in one region.
pub const MAX_HOLDERS_PER_REGION: usize = 6;

/// Split of one organisation's limits over its holders. Shares are in parts of [`FULL_SHARE_PPM`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ShareRecord {
    /// Version of the record, incremented with each write.
    pub version: u64,
    /// Shares that are in force.
    pub current: BTreeMap<InstanceIncarnation, u64>,
    /// Shares that are to come into force; equal to `current` when no share moves.
    pub target: BTreeMap<InstanceIncarnation, u64>,
}

/// What the keeper of a record knows about one holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderView {
    /// Version of the record that the holder last reported to act on.
    pub confirmed_version: u64,
    /// How long this incarnation has been silent.
    pub silent_time: Duration,
}

/// What the keeper of a record bases its decision on, apart from the state of the holders.
#[derive(Clone, Copy, Debug)]
pub struct KeeperView<'a> {
    /// Record as the keeper last read it.
    pub record: &'a ShareRecord,
    /// How long the keeper has known this version of the record.
    pub version_known_time: Duration,
    /// Split that the members of the fleet call for now.
    pub desired: &'a BTreeMap<InstanceIncarnation, u64>,
    /// Silence after which a holder has stopped serving by itself.
    pub takeover_delay: Duration,
}

/// Next action of the keeper of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperAction {
    /// Do nothing: the desired split is in force.
    Settled,
    /// Wait until the holders whose share changes have confirmed.
    Wait,
    /// Write this record in place of the one that was read.
    Write(ShareRecord),
}

impl ShareRecord {
    /// Returns the part of an organisation's rate and burst that a holder may grant.
    ///
    /// While a share moves, this is the smaller of what the current and the target split give the holder.
    #[must_use]
    pub fn allotment_of(&self, incarnation: &InstanceIncarnation, rate: Rate, burst: u32) -> Allotment {
        let allotment_in = |shares: &BTreeMap<InstanceIncarnation, u64>| {
            share_range(shares, incarnation)
                .map_or_else(Allotment::default, |(from, to)| allotment(rate, burst, from, to))
        };
        let (current, target) = (allotment_in(&self.current), allotment_in(&self.target));
        Allotment { rate: current.rate.min(target.rate), cap: current.cap.min(target.cap) }
    }

    /// Returns whether no share moves.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.current == self.target
    }
}

/// Selects the holders of an organisation's shares by rendezvous hashing.
///
/// Each region has as many holders as the rate justifies, and all regions together never have more than the
/// burst has whole tokens.
///
/// ```
/// use burdock_decide::shares::select_holders;
/// use burdock_model::prelude::*;
/// let id = |n: &str| InstanceId::new(n).unwrap();
/// let region = RegionName::new("riga").unwrap();
/// let members = [id("a"), id("b"), id("c")];
/// let holders = select_holders("small", 10, 100, members.iter().map(|m| (m, &region)));
/// assert_eq!(holders.len(), 2);
/// ```
#[must_use]
pub fn select_holders<'a>(
    organisation: &str,
    rate_per_second: u64,
    burst: u32,
    members: impl Iterator<Item = (&'a InstanceId, &'a RegionName)>,
) -> Vec<&'a InstanceId> {
    const MIN_HOLDERS_PER_REGION: usize = 2;
    let subject = stable_hash(organisation.as_bytes(), 2);
    let mut by_region: BTreeMap<&RegionName, Vec<&InstanceId>> = BTreeMap::new();
    for (id, region) in members {
        by_region.entry(region).or_default().push(id);
    }
    let regions = u64::try_from(by_region.len().max(1)).unwrap_or(1);
    let justified_holders =
        usize::try_from(rate_per_second.div_ceil(REQUESTS_PER_S_PER_HOLDER * regions)).unwrap_or(usize::MAX);
    let count = justified_holders.clamp(MIN_HOLDERS_PER_REGION, MAX_HOLDERS_PER_REGION);
    let ranked_regions: Vec<Vec<&InstanceId>> = by_region
        .into_values()
        .map(|ids| rendezvous_order(subject, ids.into_iter(), |id| id.as_str()))
        .collect();
    let by_rank =
        (0..count).flat_map(|rank| ranked_regions.iter().filter_map(move |ids| ids.get(rank).copied()));
    by_rank.take(burst.max(1) as usize).collect()
}

/// Splits the limits evenly. The shares add up to no more than [`FULL_SHARE_PPM`].
#[must_use]
pub fn even_split(incarnations: &BTreeSet<InstanceIncarnation>) -> BTreeMap<InstanceIncarnation, u64> {
    let Ok(count) = u64::try_from(incarnations.len()) else {
        return BTreeMap::new();
    };
    if count == 0 {
        return BTreeMap::new();
    }
    incarnations.iter().map(|incarnation| (incarnation.clone(), FULL_SHARE_PPM / count)).collect()
}

/// Decides the keeper's next action towards the desired split.
///
/// `holder_view` returns what is known about a holder. A write must replace exactly the version in
/// `view.record` (compare-and-swap).
#[must_use]
pub fn next_keeper_action(
    view: &KeeperView<'_>,
    holder_view: impl Fn(&InstanceIncarnation) -> HolderView,
) -> KeeperAction {
    let record = view.record;
    if record.is_settled() {
        return if record.current == *view.desired {
            KeeperAction::Settled
        } else {
            KeeperAction::Write(start_move(view))
        };
    }
    if record
        .current
        .keys()
        .all(|holder| !share_moves(record, holder) || has_released(view, holder_view(holder)))
    {
        let current = record.target.clone();
        return KeeperAction::Write(ShareRecord {
            version: record.version + 1,
            target: current.clone(),
            current,
        });
    }
    // The desired split may change during a move. The current one stays in force, so it is kept.
    if record.target == *view.desired { KeeperAction::Wait } else { KeeperAction::Write(start_move(view)) }
}

fn start_move(view: &KeeperView<'_>) -> ShareRecord {
    let record = view.record;
    ShareRecord { version: record.version + 1, current: record.current.clone(), target: view.desired.clone() }
}

// A range that keeps its size but moves may lose a whole token to rounding, so its holder must confirm too.
fn share_moves(record: &ShareRecord, incarnation: &InstanceIncarnation) -> bool {
    share_range(&record.target, incarnation) != share_range(&record.current, incarnation)
}

// A silent holder may regain contact just before the move is written and then continue to serve by the old
// record. Its silence therefore only counts from when the keeper learned of the move.
fn has_released(view: &KeeperView<'_>, holder: HolderView) -> bool {
    let silence = holder.silent_time.min(view.version_known_time);
    holder.confirmed_version >= view.record.version || silence > view.takeover_delay
}

fn share_range(
    shares: &BTreeMap<InstanceIncarnation, u64>,
    incarnation: &InstanceIncarnation,
) -> Option<(u64, u64)> {
    let share = *shares.get(incarnation)?;
    let from: u64 = shares.range(..incarnation).map(|(_, s)| s).sum();
    Some((from, from + share))
}
