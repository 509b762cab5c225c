//! Which entry instances a caller should use.

use std::time::Duration;

use burdock_model::hash::rendezvous;
use burdock_model::ids::RegionName;

/// How long a caller may keep an answer.
pub const ANSWER_TTL: Duration = Duration::from_millis(5000);

/// Entries in one answer.
pub const MAX_ENTRIES: usize = 4;

/// One entry instance as a candidate.
#[derive(Clone, Copy, Debug)]
pub struct EntryView<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its region.
    pub region: &'a RegionName,
    /// It takes new callers: alive, not leaving, not isolated.
    pub accepts_callers: bool,
    /// It is one of the organisation's assigned instances.
    pub is_assigned: bool,
    /// Thousandths of what it can carry that it carries now.
    pub load_per_mille: u32,
}

/// What a steering answer is decided from.
#[derive(Clone, Copy, Debug)]
pub struct SteeringView<'a> {
    /// All known entries.
    pub entries: &'a [EntryView<'a>],
    /// Regions in the caller's order, nearest first. Regions left out come last.
    pub preference: &'a [RegionName],
    /// Spreads callers over equal entries: a hash of the caller.
    pub caller: u64,
}

/// The entries to use, best first, as indices. Where there are two regions, at least two are named.
///
/// ```
/// use burdock_decide::steer::*;
/// use burdock_model::ids::RegionName;
/// let (riga, jelgava) = (RegionName::new("riga").unwrap(), RegionName::new("jelgava").unwrap());
/// let entry = |id, region| EntryView { id, region, accepts_callers: true, is_assigned: true, load_per_mille: 0 };
/// let entries = [entry("a", &jelgava), entry("b", &riga), entry("c", &riga)];
/// let view = SteeringView { entries: &entries, preference: &[riga.clone()], caller: 1 };
/// let found = select_entries(&view);
/// assert_eq!(entries[found[0]].region, &riga);
/// assert_eq!(entries[*found.last().unwrap()].region, &jelgava);
/// ```
#[must_use]
pub fn select_entries(view: &SteeringView<'_>) -> Vec<usize> {
    let mut order: Vec<(Rank, usize)> = view
        .entries
        .iter()
        .enumerate()
        .filter(|(_, e)| e.accepts_callers)
        .map(|(ix, e)| (rank(view, e), ix))
        .collect();
    let kept = order.len().min(MAX_ENTRIES);
    if kept == 0 {
        return Vec::new();
    }
    if order.len() > MAX_ENTRIES * 2 {
        // A second region is looked for in the whole list, so only the front is sorted.
        let other = best_elsewhere(view, &order);
        order.select_nth_unstable(kept - 1);
        order.truncate(kept);
        order.extend(other.filter(|found| !order.contains(found)));
    }
    order.sort_unstable();
    with_second_region(view, order, kept)
}

/// Orders entries: lower is better.
type Rank = (usize, bool, u32, std::cmp::Reverse<u64>);

// Loads are compared in coarse steps: finer ones would send every caller to the same entry.
fn rank(view: &SteeringView<'_>, entry: &EntryView<'_>) -> Rank {
    const LOAD_STEP_PER_MILLE: u32 = 250;
    let distance = view.preference.iter().position(|r| r == entry.region).unwrap_or(view.preference.len());
    let spread = std::cmp::Reverse(rendezvous(view.caller, entry.id));
    (distance, !entry.is_assigned, entry.load_per_mille / LOAD_STEP_PER_MILLE, spread)
}

fn best_elsewhere(view: &SteeringView<'_>, order: &[(Rank, usize)]) -> Option<(Rank, usize)> {
    let best = order.iter().min()?;
    let region = view.entries[best.1].region;
    order.iter().filter(|(_, ix)| view.entries[*ix].region != region).min().copied()
}

fn with_second_region(view: &SteeringView<'_>, order: Vec<(Rank, usize)>, kept: usize) -> Vec<usize> {
    let first_region = view.entries[order[0].1].region;
    let mut chosen: Vec<usize> = order.iter().take(kept).map(|(_, ix)| *ix).collect();
    if chosen.iter().any(|ix| view.entries[*ix].region != first_region) {
        return chosen;
    }
    let elsewhere = order.iter().map(|(_, ix)| *ix).find(|ix| view.entries[*ix].region != first_region);
    if let Some(ix) = elsewhere {
        if chosen.len() == MAX_ENTRIES {
            chosen.pop();
        }
        chosen.push(ix);
    }
    chosen
}
