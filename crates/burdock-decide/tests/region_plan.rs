//! Replay of demand that is spread evenly over regions whose backend servers are not.

use std::f64::consts::TAU;

use burdock_decide::region_plan::{
    PlanRegion, PlanWeights, next_plan, plan_weights, split_of, update_shares,
};
use googletest::prelude::*;

const LOCAL_WEIGHT: f64 = 5.0;

/// Demand of `agenda` with warm objects, for each slot.
const MEAN_LOAD: f64 = 0.31;

/// Slots of `agenda` in the regions of the conferences, 9 for each backend server.
const SLOTS: [f64; 3] = [216.0, 1044.0, 882.0];

/// Demand of the callers of a region swings by 55% over 36 s, out of phase with the others.
fn demand(region: usize, time_s: f64) -> f64 {
    1.0 + 0.55 * (TAU * (time_s / 36.0 + region as f64 / 3.0)).sin()
}

fn regions(slots: [f64; 3], time_s: f64) -> Vec<PlanRegion> {
    slots
        .iter()
        .enumerate()
        .map(|(ix, slots)| PlanRegion { demand: demand(ix, time_s), slots: *slots })
        .collect()
}

fn equal_demand(slots: &[f64]) -> Vec<PlanRegion> {
    slots.iter().map(|slots| PlanRegion { demand: 1.0, slots: *slots }).collect()
}

// Load for each slot of each region, relative to the mean.
fn loads(regions: &[PlanRegion], plan: &PlanWeights, local_weight: f64) -> Vec<f64> {
    let splits: Vec<_> = (0..regions.len()).map(|home| split_of(regions, plan, local_weight, home)).collect();
    let slots: f64 = regions.iter().map(|r| r.slots).sum();
    let mean = regions.iter().map(|r| r.demand).sum::<f64>() / slots;
    let load = |ix: usize| regions.iter().zip(&splits).map(|(r, split)| r.demand * split[ix]).sum::<f64>();
    (0..regions.len()).map(|ix| load(ix) / regions[ix].slots / mean).collect()
}

fn max(values: impl IntoIterator<Item = f64>) -> f64 {
    values.into_iter().fold(0.0, f64::max)
}

// Guards against a region whose backend servers get 1.4 times the mean load, and twice the mean in a swing.
#[gtest]
fn small_region_gets_what_it_can_take() {
    let (without, plan) =
        (PlanWeights::even(3), plan_weights(&equal_demand(&SLOTS), LOCAL_WEIGHT, MEAN_LOAD));
    let mean_load = |plan| max(loads(&equal_demand(&SLOTS), plan, LOCAL_WEIGHT));
    expect_that!(mean_load(&without), gt(1.4));
    expect_that!(mean_load(&plan), lt(1.05));
    let highest_load =
        |plan| max((0..36).flat_map(|t| loads(&regions(SLOTS, f64::from(t)), plan, LOCAL_WEIGHT)));
    expect_that!(highest_load(&without), gt(1.9));
    expect_that!(highest_load(&plan), lt(1.4));
    // Work is not sent away that the region can run.
    let local_parts = (0..3).map(|home| split_of(&equal_demand(&SLOTS), &plan, LOCAL_WEIGHT, home)[home]);
    expect_that!(local_parts.sum::<f64>() / 3.0, gt(0.6));
}

// Large answers raise the local weight, which would leave the small region with twice its part.
#[gtest]
fn large_answers_stay_nearer_within_what_the_region_can_take() {
    let regions = equal_demand(&SLOTS);
    let (small, large) =
        (plan_weights(&regions, LOCAL_WEIGHT, MEAN_LOAD), plan_weights(&regions, 15.0, MEAN_LOAD));
    expect_that!(max(loads(&regions, &PlanWeights::even(3), 15.0)), gt(2.0));
    expect_that!(max(loads(&regions, &large, 15.0)), lt(1.1));
    for home in 1..3 {
        let local_part = |plan, weight| split_of(&regions, plan, weight, home)[home];
        expect_that!(local_part(&large, 15.0), gt(local_part(&small, LOCAL_WEIGHT)));
    }
}

// The earlier deployments keep their weights, and a lost region or a missing demand changes nothing by itself.
#[gtest]
fn even_deployment_keeps_its_weights() {
    for slots in
        [vec![80.0, 80.0, 78.0], vec![70.0, 80.0, 75.0], vec![54.0, 54.0], vec![12.0], vec![], vec![0.0, 9.0]]
    {
        expect_that!(
            plan_weights(&equal_demand(&slots), LOCAL_WEIGHT, MEAN_LOAD).is_even(),
            eq(true),
            "{slots:?}"
        );
    }
    let idle = SLOTS.map(|slots| PlanRegion { demand: 0.0, slots });
    expect_that!(plan_weights(&idle, LOCAL_WEIGHT, MEAN_LOAD).is_even(), eq(true));
}

// Requests that leave their region take a round trip more, for nothing while its backend servers are idle.
#[gtest]
fn lightly_loaded_region_keeps_its_requests() {
    let regions = equal_demand(&SLOTS);
    expect_that!(plan_weights(&regions, LOCAL_WEIGHT, 0.1).is_even(), eq(true));
    let (some, full) = (plan_weights(&regions, LOCAL_WEIGHT, 0.2), plan_weights(&regions, LOCAL_WEIGHT, 0.3));
    expect_that!(some.weights()[0], all!(gt(full.weights()[0]), lt(1.0)));
}

// Guards against a plan that follows the swing: each change moves objects, which are cold where they arrive.
#[gtest]
fn plan_does_not_follow_the_swing() {
    let mut shares = vec![1.0 / 3.0; 3];
    let mut plan = plan_weights(&equal_demand(&SLOTS), LOCAL_WEIGHT, MEAN_LOAD);
    let first = plan.clone();
    let mut moved = 0.0;
    for step in 0..120 {
        let time_s = f64::from(step) * 2.0;
        update_shares(&mut shares, &[demand(0, time_s), demand(1, time_s), demand(2, time_s)], 2.0);
        let next = advance(&shares, &plan);
        moved += max_shift(&plan, &next);
        plan = next;
    }
    // Less in 240 s than may move in 2 s.
    expect_that!(moved, lt(0.15));
    expect_that!(max(loads(&equal_demand(&SLOTS), &plan, LOCAL_WEIGHT)), lt(1.1));
    expect_that!(max_shift(&first, &plan), lt(0.05));
}

// A region's callers that go elsewhere for good, as when a region is lost, change the plan in small steps.
#[gtest]
fn lasting_change_moves_few_requests_at_a_time() {
    let mut plan = plan_weights(&equal_demand(&SLOTS), LOCAL_WEIGHT, MEAN_LOAD);
    let shares = [0.0, 0.2, 0.8];
    let desired = plan_weights(&with_shares(&shares), LOCAL_WEIGHT, MEAN_LOAD);
    let mut steps = 0;
    while max_shift(&plan, &desired) > 0.04 && steps < 50 {
        let next = advance(&shares, &plan);
        expect_that!(max_shift(&plan, &next), le(0.051));
        plan = next;
        steps += 1;
    }
    expect_that!(steps, all!(gt(1), lt(20)));
}

fn with_shares(shares: &[f64]) -> Vec<PlanRegion> {
    shares.iter().zip(SLOTS).map(|(demand, slots)| PlanRegion { demand: *demand, slots }).collect()
}

fn advance(shares: &[f64], plan: &PlanWeights) -> PlanWeights {
    let regions = with_shares(shares);
    next_plan(&regions, LOCAL_WEIGHT, plan, &plan_weights(&regions, LOCAL_WEIGHT, MEAN_LOAD))
}

// Largest fraction of a region's requests that another plan moves.
fn max_shift(from: &PlanWeights, to: &PlanWeights) -> f64 {
    let regions = equal_demand(&SLOTS);
    max((0..3).map(|home| {
        let (from, to) =
            (split_of(&regions, from, LOCAL_WEIGHT, home), split_of(&regions, to, LOCAL_WEIGHT, home));
        from.iter().zip(&to).map(|(from, to)| (to - from).max(0.0)).sum::<f64>()
    }))
}
