//! Selection of the entry instances that a caller should use.

use std::time::Duration;

use burdock_model::hash::rendezvous_weight;
use burdock_model::ids::RegionName;

/// Time for which a caller may cache an answer.
pub const ANSWER_TTL: Duration = Duration::from_millis(5000);

/// Maximum number of entries in an answer.
pub const MAX_ENTRIES: usize = 4;

/// One entry instance as a candidate.
#[derive(Clone, Copy, Debug)]
pub struct EntryView<'a> {
    /// Unique id of the instance.
    pub id: &'a str,
    /// Region of the instance.
    pub region: &'a RegionName,
    /// Whether it accepts new callers: alive, not leaving, and not isolated.
    pub accepts_callers: bool,
    /// Whether it is one of the instances assigned to the organisation.
    pub is_assigned: bool,
    /// Current load in thousandths of its capacity.
    pub load_per_mille: u32,
}

/// Inputs of [`select_entries`].
#[derive(Clone, Copy, Debug)]
pub struct SteeringView<'a> {
    /// All known entries.
    pub entries: &'a [EntryView<'a>],
    /// Regions as preferred by the caller, nearest first. Missing regions come last.
    pub preference: &'a [RegionName],
    /// Hash of the caller, which spreads callers over equal entries.
    pub caller: u64,
}

/// Returns the indices of the entries to use, best first. They span at least two regions if entries of two
/// exist.
///
/// ```
/// use burdock_decide::steer::*;
/// use burdock_model::ids::RegionName;
/// let (riga, jelgava) = (RegionName::new("riga").unwrap(), RegionName::new("jelgava").unwrap());
/// let entry = |id, region| EntryView { id, region, accepts_callers: true, is_assigned: true,
///     load_per_mille: 0 };
/// let entries = [entry("a", &jelgava), entry("b", &riga), entry("c", &riga)];
/// let view = SteeringView { entries: &entries, preference: &[riga.clone()], caller: 1 };
/// let selected = select_entries(&view);
/// assert_eq!(entries[selected[0]].region, &riga);
/// assert_eq!(entries[*selected.last().unwrap()].region, &jelgava);
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
    let limit = order.len().min(MAX_ENTRIES);
    if limit == 0 {
        return Vec::new();
    }
    if order.len() > MAX_ENTRIES * 2 {
        // The second region is found in the whole list, so that only its front needs sorting.
        let second_region = best_in_other_region(view, &order);
        order.select_nth_unstable(limit - 1);
        order.truncate(limit);
        order.extend(second_region.filter(|entry| !order.contains(entry)));
    }
    order.sort_unstable();
    include_second_region(view, order, limit)
}

/// Sort key of entries; lower is better.
type Rank = (usize, bool, u32, std::cmp::Reverse<u64>);

// Loads are compared in coarse steps, since finer ones would send all callers to the same entry.
fn rank(view: &SteeringView<'_>, entry: &EntryView<'_>) -> Rank {
    const LOAD_STEP_PER_MILLE: u32 = 250;
    let distance = view.preference.iter().position(|r| r == entry.region).unwrap_or(view.preference.len());
    let tie_breaker = std::cmp::Reverse(rendezvous_weight(view.caller, entry.id));
    (distance, !entry.is_assigned, entry.load_per_mille / LOAD_STEP_PER_MILLE, tie_breaker)
}

fn best_in_other_region(view: &SteeringView<'_>, order: &[(Rank, usize)]) -> Option<(Rank, usize)> {
    let best = order.iter().min()?;
    let region = view.entries[best.1].region;
    order.iter().filter(|(_, ix)| view.entries[*ix].region != region).min().copied()
}

fn include_second_region(view: &SteeringView<'_>, order: Vec<(Rank, usize)>, limit: usize) -> Vec<usize> {
    let first_region = view.entries[order[0].1].region;
    let mut selected: Vec<usize> = order.iter().take(limit).map(|(_, ix)| *ix).collect();
    if selected.iter().any(|ix| view.entries[*ix].region != first_region) {
        return selected;
    }
    let second_region = order.iter().map(|(_, ix)| *ix).find(|ix| view.entries[*ix].region != first_region);
    if let Some(ix) = second_region {
        if selected.len() == MAX_ENTRIES {
            selected.pop();
        }
        selected.push(ix);
    }
    selected
}
