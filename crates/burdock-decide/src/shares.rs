//! Who holds which share of an organisation's limits: the agreed record and how it moves.
//!
//! A share moves in two steps. First the record names the wanted split beside the present one, and
//! every holder uses the smaller of its two shares. Once all whose share moves have confirmed this, or have
//! been silent for so long since that they have stopped by themselves, the wanted split becomes the present
//! one. The model check in `tests/model/shares.rs` covers this.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use burdock_model::hash::{ranked, stable};
use burdock_model::ids::{InstanceId, Life, RegionName};

use burdock_model::units::Rate;

use crate::limit::{Allotment, FULL_SHARE_PPM, allotment};

/// Requests a second that justify a further holder in a region.
pub const RATE_PER_HOLDER: u64 = 50;

/// The most holders in one region.
pub const MAX_HOLDERS_PER_REGION: usize = 6;

/// Who holds what of one organisation. Shares are in parts of [`FULL_SHARE_PPM`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ShareRecord {
    /// Counts up with each write.
    pub version: u64,
    /// Shares at present.
    pub present: BTreeMap<Life, u64>,
    /// Shares wanted; the same as `present` when nothing moves.
    pub wanted: BTreeMap<Life, u64>,
}

/// What the keeper of a record knows of one holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderView {
    /// The version of the record that it last said it acts on.
    pub confirmed: u64,
    /// How long this life of it has been silent.
    pub silent_for: Duration,
}

/// What the keeper of a record decides from, apart from its holders.
#[derive(Clone, Copy, Debug)]
pub struct KeeperView<'a> {
    /// The record.
    pub record: &'a ShareRecord,
    /// How long the keeper has known this version of it.
    pub known_for: Duration,
    /// The split that should be.
    pub want: &'a BTreeMap<Life, u64>,
    /// How long a holder must have been silent to have stopped by itself.
    pub takeover_wait: Duration,
}

/// What the keeper of a record does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do.
    Settled,
    /// Wait for holders that lose to confirm.
    Wait,
    /// Write this record in place of the one read.
    Write(ShareRecord),
}

impl ShareRecord {
    /// What a holder may give out of an organisation's rate and burst.
    ///
    /// While a share moves, the holder acts on the smaller of what the two splits give it.
    #[must_use]
    pub fn allotment_of(&self, life: &Life, rate: Rate, burst: u32) -> Allotment {
        let under = |shares: &BTreeMap<Life, u64>| {
            range_in(shares, life)
                .map_or_else(Allotment::default, |(from, to)| allotment(rate, burst, from, to))
        };
        let (present, wanted) = (under(&self.present), under(&self.wanted));
        Allotment { rate: present.rate.min(wanted.rate), cap: present.cap.min(wanted.cap) }
    }

    /// Whether the split is at rest.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.present == self.wanted
    }
}

/// The holders that an organisation should have: in each region as many as its rate justifies, by
/// rendezvous rank, and never more in all than it has whole tokens in its burst.
///
/// ```
/// use burdock_decide::shares::assigned;
/// use burdock_model::prelude::*;
/// let id = |n: &str| InstanceId::new(n).unwrap();
/// let region = RegionName::new("riga").unwrap();
/// let members = [id("a"), id("b"), id("c")];
/// let found = assigned("small", 10, 100, members.iter().map(|m| (m, &region)));
/// assert_eq!(found.len(), 2);
/// ```
#[must_use]
pub fn assigned<'a>(
    organisation: &str,
    rate_per_second: u64,
    burst: u32,
    members: impl Iterator<Item = (&'a InstanceId, &'a RegionName)>,
) -> Vec<&'a InstanceId> {
    const LEAST_PER_REGION: usize = 2;
    let subject = stable(organisation.as_bytes(), 2);
    let mut by_region: BTreeMap<&RegionName, Vec<&InstanceId>> = BTreeMap::new();
    for (id, region) in members {
        by_region.entry(region).or_default().push(id);
    }
    let regions = u64::try_from(by_region.len().max(1)).unwrap_or(1);
    let justified =
        usize::try_from(rate_per_second.div_ceil(RATE_PER_HOLDER * regions)).unwrap_or(usize::MAX);
    let count = justified.clamp(LEAST_PER_REGION, MAX_HOLDERS_PER_REGION);
    let ranked_regions: Vec<Vec<&InstanceId>> =
        by_region.into_values().map(|ids| ranked(subject, ids.into_iter(), |id| id.as_str())).collect();
    let by_rank =
        (0..count).flat_map(|rank| ranked_regions.iter().filter_map(move |ids| ids.get(rank).copied()));
    by_rank.take(burst.max(1) as usize).collect()
}

/// An even split over lives. The parts add up to no more than the whole.
#[must_use]
pub fn even_split(lives: &BTreeSet<Life>) -> BTreeMap<Life, u64> {
    let Ok(count) = u64::try_from(lives.len()) else {
        return BTreeMap::new();
    };
    if count == 0 {
        return BTreeMap::new();
    }
    lives.iter().map(|life| (life.clone(), FULL_SHARE_PPM / count)).collect()
}

/// Decides the next write of a record towards a wanted split.
///
/// `holder` tells what is known of a holder. A write is only valid in place of the record given here.
#[must_use]
pub fn next_step(view: &KeeperView<'_>, holder: impl Fn(&Life) -> HolderView) -> Step {
    let record = view.record;
    if record.is_settled() {
        return if record.present == *view.want { Step::Settled } else { Step::Write(begin_move(view)) };
    }
    if record.present.keys().all(|life| !moves(record, life) || has_let_go(view, holder(life))) {
        let present = record.wanted.clone();
        return Step::Write(ShareRecord { version: record.version + 1, wanted: present.clone(), present });
    }
    // The wanted split may change in mid-move. The present one still binds, so it stays.
    if record.wanted == *view.want { Step::Wait } else { Step::Write(begin_move(view)) }
}

fn begin_move(view: &KeeperView<'_>) -> ShareRecord {
    let record = view.record;
    ShareRecord { version: record.version + 1, present: record.present.clone(), wanted: view.want.clone() }
}

// A range that only moves may lose a whole token to rounding, so it must be let go as well.
fn moves(record: &ShareRecord, life: &Life) -> bool {
    range_in(&record.wanted, life) != range_in(&record.present, life)
}

// A silent holder may come back into contact at the last moment before the move was written, and then
// serves on by the old record. So its silence counts from when the move is known at the earliest.
fn has_let_go(view: &KeeperView<'_>, holder: HolderView) -> bool {
    let silent = holder.silent_for.min(view.known_for);
    holder.confirmed >= view.record.version || silent > view.takeover_wait
}

fn range_in(shares: &BTreeMap<Life, u64>, life: &Life) -> Option<(u64, u64)> {
    let share = *shares.get(life)?;
    let from: u64 = shares.range(..life).map(|(_, s)| s).sum();
    Some((from, from + share))
}
