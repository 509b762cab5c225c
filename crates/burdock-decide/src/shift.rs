//! Limits on how fast a split may change.
//!
//! Each instance keeps its own split under the cap. The split of the fleet is the mean of those of its
//! instances, so it keeps the cap too, without a coordinator.

use std::time::Duration;

use crate::region::SPLIT_TOTAL;

/// Cap of planned shifts for services that set none, in thousandths of their traffic per second.
pub const DEFAULT_PLAN_SHIFT_PER_MILLE: u32 = 50;

/// Cap of failover shifts for services that set none, in thousandths of their traffic per second.
pub const DEFAULT_FAILOVER_SHIFT_PER_MILLE: u32 = 200;

/// Shifts a split towards a target by no more than the cap allows in the elapsed time.
///
/// The size of a shift is half of the sum of all differences, in parts of [`SPLIT_TOTAL`].
///
/// ```
/// use burdock_decide::shift::{shift_size, shift_towards};
/// use std::time::Duration;
/// let from = [1_000_000, 0];
/// let to = shift_towards(&from, &[0, 1_000_000], 200, Duration::from_millis(500));
/// assert_eq!(to, [900_000, 100_000]);
/// assert_eq!(shift_size(&from, &to), 100_000);
/// ```
#[must_use]
pub fn shift_towards(present: &[u32], target: &[u32], cap_per_mille: u32, elapsed: Duration) -> Vec<u32> {
    let remaining = u64::from(shift_size(present, target));
    let allowed = u128::from(cap_per_mille) * elapsed.as_micros() / 1000;
    let allowed = u64::try_from(allowed).unwrap_or(u64::MAX);
    if remaining <= allowed {
        return target.to_vec();
    }
    let shifted = |(from, to): (&u32, &u32)| {
        let distance = i64::from(*to) - i64::from(*from);
        let change = i128::from(distance) * i128::from(allowed) / i128::from(remaining);
        u32::try_from(i128::from(*from) + change).unwrap_or(*from)
    };
    let mut next: Vec<u32> = present.iter().zip(target).map(shifted).collect();
    distribute_remainder(&mut next, present);
    next
}

/// Returns how much traffic a change of split shifts, in parts of [`SPLIT_TOTAL`].
#[must_use]
pub fn shift_size(from: &[u32], to: &[u32]) -> u32 {
    let sum: u64 = from.iter().zip(to).map(|(a, b)| u64::from(a.abs_diff(*b))).sum();
    u32::try_from(sum.div_ceil(2)).unwrap_or(SPLIT_TOTAL)
}

/// Samples the region of one request by the weights of the split. Returns its index, or `None` if all weights
/// are zero. `random` is uniform over all `u64`.
#[must_use]
pub fn sample_region(split: &[u32], random: u64) -> Option<usize> {
    let sum: u64 = split.iter().map(|w| u64::from(*w)).sum();
    if sum == 0 {
        return None;
    }
    let mut offset = random % sum;
    for (ix, weight) in split.iter().enumerate() {
        if offset < u64::from(*weight) {
            return Some(ix);
        }
        offset -= u64::from(*weight);
    }
    None
}

// Changes are rounded towards the present split, so the remainder goes to the region with its largest part.
fn distribute_remainder(next: &mut [u32], present: &[u32]) {
    let before: u32 = present.iter().sum();
    let after: u32 = next.iter().sum();
    let largest = (0..present.len()).max_by_key(|ix| present[*ix]);
    if let Some(ix) = largest {
        next[ix] = (next[ix] + before).saturating_sub(after);
    }
}
