//! Plan of how the requests of each region are divided over the backend servers of all regions.
//!
//! Load pattern: the callers of three regions ask for equally much, but one region has a tenth of the backend
//! servers. With the same local weight everywhere its backend servers get 1.4 times the mean load, and twice
//! that load in a swing of demand by 55%, while others have free slots. Each region therefore has a weight, at
//! most 1, that applies to all requests placed there. Requests are still placed by object, so that objects keep
//! their warm backend servers.

/// Load of the busiest region, relative to the mean, up to which no region gets a lower weight. The plan then
/// equals the weights without one.
const TOLERANCE: f64 = 0.1;

/// Load for each slot up to which a region need not pass on requests, counted as if all objects were warm. With
/// cold ones it is about twice as high.
const LIGHT_LOAD: f64 = 0.25;

/// Swing of a home region's demand that a region's load must stand, as a fraction of that demand. A region that
/// takes most of its requests from one home region gets less, since its load swings more.
const DEMAND_SWING: f64 = 0.5;

/// Weights are powers of `2^(-1/16)`, about 4% apart, so that small changes of demand move no objects.
const STEPS_PER_HALVING: f64 = 16.0;

/// Smallest exponent of a weight: 1/64.
const MAX_STEPS: u32 = 96;

/// Fraction of a region's requests whose region must differ before a plan is changed. Each change makes objects
/// cold.
const MIN_SHIFT: f64 = 0.04;

/// Upper bound of the fraction of any region's requests that one change moves between regions: a third of the
/// 0.15 that may move in the time between two changes.
const MAX_SHIFT: f64 = 0.05;

/// Upper bound of the iterations that compute the weights. Each about halves the excess.
const ITERATIONS: u32 = 60;

/// Excess over the highest load that may remain, which is less than a step of a weight makes.
const LOAD_PRECISION: f64 = 0.002;

/// Exponent of a correction, below 1 since lowering one weight raises the load of other regions.
const CORRECTION_EXPONENT: f64 = 0.7;

/// Time constant of the moving average of demand, in seconds. It attenuates a swing of 36 s to a tenth.
const DEMAND_TIME_CONSTANT_S: f64 = 60.0;

/// A region as the plan of one service sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanRegion {
    /// Demand of the callers there, in any unit that is the same for all regions.
    pub demand: f64,
    /// Slots of the usable backend servers there, less what they lose by a slow pace.
    pub slots: f64,
}

/// Weight of each region, as the number of steps below 1.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlanWeights(Vec<u32>);

impl PlanWeights {
    /// Returns the plan in which all of `count` regions have the weight 1.
    #[must_use]
    pub fn even(count: usize) -> Self {
        Self(vec![0; count])
    }

    /// Returns the plan whose weights are nearest to the given ones.
    #[must_use]
    pub fn nearest(weights: &[f64]) -> Self {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
        let steps = |weight: &f64| (-weight.log2() * STEPS_PER_HALVING).round() as u32;
        Self(weights.iter().map(|weight| steps(weight).min(MAX_STEPS)).collect())
    }

    /// Returns the weight of each region, relative to the weight of a backend server without a plan.
    #[must_use]
    pub fn weights(&self) -> Vec<f64> {
        self.0.iter().map(|steps| (-f64::from(*steps) / STEPS_PER_HALVING).exp2()).collect()
    }

    /// Returns whether all regions have the weight 1.
    #[must_use]
    pub fn is_even(&self) -> bool {
        self.0.iter().all(|steps| *steps == 0)
    }
}

/// Returns the plan for a service whose backend servers weigh `local_weight` for requests of their own region
/// and 1 for others, with a demand of `mean_load` busy slots for each slot of all regions.
///
/// ```
/// use burdock_decide::region_plan::{PlanRegion, plan_weights};
/// let region = |slots| PlanRegion { demand: 1.0, slots };
/// assert!(plan_weights(&[region(900.0), region(950.0)], 5.0, 0.4).is_even());
/// let uneven = [region(200.0), region(1000.0)];
/// let weights = plan_weights(&uneven, 5.0, 0.4).weights();
/// assert!(weights[0] < 0.7 && weights[1] == 1.0);
/// assert!(plan_weights(&uneven, 5.0, 0.05).is_even());
/// ```
#[must_use]
pub fn plan_weights(regions: &[PlanRegion], local_weight: f64, mean_load: f64) -> PlanWeights {
    let mut weights = vec![1.0; regions.len()];
    let Some(loads) = relative_loads(regions, &weights, local_weight) else {
        return PlanWeights::even(regions.len());
    };
    let excess = loads.iter().copied().fold(0.0, f64::max) - 1.0;
    // Falls from the tolerance to zero, so that the plan begins without a jump.
    let max_load = 1.0 + (2.0 * TOLERANCE - excess).clamp(0.0, TOLERANCE);
    let max_load = max_load.max(LIGHT_LOAD / mean_load);
    for _ in 0..ITERATIONS {
        let Some(loads) = relative_loads(regions, &weights, local_weight) else {
            break;
        };
        if loads.iter().all(|load| *load <= max_load * (1.0 + LOAD_PRECISION)) {
            break;
        }
        for (weight, load) in weights.iter_mut().zip(loads).filter(|(_, load)| *load > max_load) {
            *weight *= (max_load / load).powf(CORRECTION_EXPONENT);
        }
        let max = weights.iter().zip(regions).filter(|(_, r)| r.slots > 0.0).map(|(w, _)| *w);
        let max = max.fold(f64::MIN_POSITIVE, f64::max);
        weights.iter_mut().for_each(|weight| *weight = (*weight / max).min(1.0));
    }
    PlanWeights::nearest(&weights)
}

/// Returns the fraction of a home region's requests that each region runs, in order. Without slots anywhere,
/// all fractions are 0.
///
/// ```
/// use burdock_decide::region_plan::{PlanRegion, PlanWeights, split_of};
/// let regions = [PlanRegion { demand: 1.0, slots: 10.0 }; 2];
/// assert_eq!(split_of(&regions, &PlanWeights::even(2), 4.0, 0), [0.8, 0.2]);
/// ```
#[must_use]
pub fn split_of(regions: &[PlanRegion], plan: &PlanWeights, local_weight: f64, home: usize) -> Vec<f64> {
    split(regions, &plan.weights(), local_weight, home)
}

/// Returns the plan to use after `current` when the demand and the slots call for `desired`: no change if it
/// moves hardly any request, otherwise a change that moves at most a twentieth of any region's requests.
#[must_use]
pub fn next_plan(
    regions: &[PlanRegion],
    local_weight: f64,
    current: &PlanWeights,
    desired: &PlanWeights,
) -> PlanWeights {
    let shift_to = |next: &PlanWeights| max_shift(regions, local_weight, current, next);
    let shift = shift_to(desired);
    if current.0.len() != desired.0.len() {
        return desired.clone();
    }
    if shift < MIN_SHIFT {
        return current.clone();
    }
    let mut fraction = 1.0_f64.min(MAX_SHIFT / shift);
    loop {
        let between = |(from, to): (&u32, &u32)| {
            let (from, to) = (f64::from(*from), f64::from(*to));
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "between two small integers"
            )]
            let steps = (from + (to - from) * fraction).round() as u32;
            steps
        };
        let next = PlanWeights(current.0.iter().zip(&desired.0).map(between).collect());
        if shift_to(&next) <= MAX_SHIFT {
            return next;
        }
        fraction *= 0.7;
    }
}

/// Moves averages of each region's share of the demand towards the measured demands, which came `elapsed_s`
/// after the last ones.
///
/// ```
/// use burdock_decide::region_plan::update_shares;
/// let mut shares = vec![0.5, 0.5];
/// update_shares(&mut shares, &[30.0, 10.0], 6.0);
/// assert!((shares[0] - 0.525).abs() < 0.001);
/// ```
pub fn update_shares(shares: &mut [f64], demands: &[f64], elapsed_s: f64) {
    let total: f64 = demands.iter().sum();
    if total <= 0.0 {
        return;
    }
    for (share, demand) in shares.iter_mut().zip(demands) {
        *share += (demand / total - *share) * smoothing(elapsed_s);
    }
}

/// Weight of a measurement that came `elapsed_s` after the last one in the averages of a plan.
#[must_use]
pub fn smoothing(elapsed_s: f64) -> f64 {
    (elapsed_s / DEMAND_TIME_CONSTANT_S).clamp(0.0, 1.0)
}

fn split(regions: &[PlanRegion], weights: &[f64], local_weight: f64, home: usize) -> Vec<f64> {
    let weigh = |(ix, (region, weight)): (usize, (&PlanRegion, &f64))| {
        region.slots * weight * if ix == home { local_weight } else { 1.0 }
    };
    let parts: Vec<f64> = regions.iter().zip(weights).enumerate().map(weigh).collect();
    let sum: f64 = parts.iter().sum();
    parts.iter().map(|part| if sum > 0.0 { part / sum } else { 0.0 }).collect()
}

// Returns the load for each slot of each region, relative to the mean of all slots, while the demand that gives
// the region most of its requests is at its highest. `None` without any demand or slots.
fn relative_loads(regions: &[PlanRegion], weights: &[f64], local_weight: f64) -> Option<Vec<f64>> {
    let splits: Vec<Vec<f64>> =
        (0..regions.len()).map(|home| split(regions, weights, local_weight, home)).collect();
    let highest_load = |ix: usize| {
        let parts = regions.iter().zip(&splits).map(|(home, split)| home.demand * split[ix]);
        let (sum, max) = parts.fold((0.0, 0.0_f64), |(sum, max), part| (sum + part, max.max(part)));
        sum + DEMAND_SWING * max
    };
    let loads: Vec<f64> = (0..regions.len()).map(highest_load).collect();
    let slots: f64 = regions.iter().map(|r| r.slots).sum();
    let mean = loads.iter().sum::<f64>() / slots;
    let relative = |(region, load): (&PlanRegion, &f64)| {
        if region.slots > 0.0 { load / region.slots / mean } else { 0.0 }
    };
    (mean.is_finite() && mean > 0.0).then(|| regions.iter().zip(&loads).map(relative).collect())
}

// Returns the largest fraction of a region's requests that another plan moves to other regions.
fn max_shift(regions: &[PlanRegion], local_weight: f64, from: &PlanWeights, to: &PlanWeights) -> f64 {
    let shift_of = |home: usize| {
        let (from, to) =
            (split_of(regions, from, local_weight, home), split_of(regions, to, local_weight, home));
        from.iter().zip(&to).map(|(from, to)| (to - from).max(0.0)).sum::<f64>()
    };
    (0..regions.len()).map(shift_of).fold(0.0, f64::max)
}
