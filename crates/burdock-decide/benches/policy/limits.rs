//! Enforcement of rates and bursts over the whole fleet.

use std::time::Duration;

use burdock_decide::limit::{Bucket, FULL_SHARE_PPM, Lender, allotment, choose_lender, tokens_to_request};
use burdock_decide::shares::select_holders;
use burdock_decide::time::Time;
use burdock_model::ids::{InstanceId, RegionName};
use burdock_model::units::Rate;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::backends::sample_exponential;
use crate::deployment::{Deployment, ORGANISATION_RATES};

/// Simulated time in seconds.
const DURATION_S: u64 = 120;

/// Demand of an organisation within its rate, as a fraction of it.
const WITHIN_RATE: f64 = 0.9;

/// Time at which one share holder crashes, and at which its share is in use again.
const CRASH_AT: Duration = Duration::from_secs(40);
const RECOVERY_AT: Duration = Duration::from_secs(50);

/// Policy of enforcing limits. Result rows carry the names of its variants.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    SharesWithLending,
    EvenStatic,
    SingleKeeper,
}

#[derive(Default)]
struct Outcome {
    sent: u64,
    refused: u64,
    messages: u64,
    admitted: Vec<f64>,
}

/// Returns rows for each policy, with and without a crash: wrongful refusals, excess and messages.
pub fn rows(deployment: &Deployment, seed: u64, compare: bool) -> Vec<Value> {
    let policies = if compare {
        vec![Policy::SharesWithLending, Policy::EvenStatic, Policy::SingleKeeper]
    } else {
        vec![Policy::SharesWithLending]
    };
    let mut rows = Vec::new();
    for policy in policies {
        for crash in [false, true] {
            rows.push(row(deployment, policy, seed, crash));
        }
    }
    rows
}

fn row(deployment: &Deployment, policy: Policy, seed: u64, crash: bool) -> Value {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut sent, mut refused, mut messages, mut excess, mut worst) = (0, 0, 0, 0.0_f64, 1.0_f64);
    for (ix, rate) in ORGANISATION_RATES.iter().enumerate() {
        // The last organisation sends ten times its rate and is rightly refused.
        let is_over_rate = ix == ORGANISATION_RATES.len() - 1;
        let demand = if is_over_rate { 10.0 } else { WITHIN_RATE };
        let outcome = run(deployment, policy, *rate, demand, crash, &mut rng);
        excess = excess.max(largest_excess(&outcome.admitted, *rate as f64));
        messages += outcome.messages;
        if !is_over_rate {
            sent += outcome.sent;
            refused += outcome.refused;
            worst = worst.min(1.0 - outcome.refused as f64 / outcome.sent as f64);
        }
    }
    json!({
        "deployment": deployment.name, "measure": "limits", "policy": format!("{policy:?}"), "crash": crash,
        "wrongful_refusals_per_cent": round3(100.0 * refused as f64 / sent as f64),
        "worst_served_per_cent": round3(100.0 * worst),
        "excess_over_rate_and_burst": round3(excess),
        "messages_per_1000_requests": round3(1000.0 * messages as f64 / sent as f64),
    })
}

fn run(
    deployment: &Deployment,
    policy: Policy,
    rate: u64,
    demand: f64,
    crash: bool,
    rng: &mut StdRng,
) -> Outcome {
    let holders = match policy {
        Policy::SharesWithLending => count_holders(deployment, rate),
        Policy::EvenStatic => deployment.instances * 3,
        Policy::SingleKeeper => 1,
    };
    let burst = u32::try_from(rate).unwrap_or(u32::MAX);
    let share = |ix: usize| {
        let boundary = |n: usize| FULL_SHARE_PPM * n as u64 / holders as u64;
        allotment(Rate::per_second(rate), burst, boundary(ix), boundary(ix + 1))
    };
    let mut buckets: Vec<Bucket> = (0..holders).map(|ix| Bucket::new(share(ix), Time(0))).collect();
    let unasked = Lender { local: true, remaining_tokens: None, asked_at: Time(0), rate: share(0).rate };
    let mut lenders = vec![vec![unasked; holders]; holders];
    let mut outcome = Outcome::default();
    let mut now_us = 2_000_000.0;
    while now_us < DURATION_S as f64 * 1e6 {
        now_us += sample_exponential(rng) / (rate as f64 * demand) * 1e6;
        let now = Time(now_us as u64);
        let crashed = crash && (CRASH_AT..RECOVERY_AT).contains(&now.since(Time(0)));
        // Callers are spread unevenly over share holders, most to the first.
        let skew = rng.random::<f64>().powi(2);
        let mut holder = ((skew * holders as f64) as usize).min(holders - 1);
        if crashed && holder == 0 && holders > 1 {
            holder = 1;
        }
        outcome.sent += 1;
        let is_down = |ix: usize| crashed && ix == 0;
        let admitted = match policy {
            Policy::SingleKeeper => {
                outcome.messages += 1;
                !is_down(0) && buckets[0].take(now)
            }
            Policy::EvenStatic => buckets[holder].take(now),
            Policy::SharesWithLending => {
                buckets[holder].take(now)
                    || borrow(
                        &mut buckets,
                        &mut lenders[holder],
                        holder,
                        rate,
                        now,
                        is_down,
                        &mut outcome.messages,
                    )
            }
        };
        if admitted {
            outcome.admitted.push(now_us / 1e6);
        } else {
            outcome.refused += 1;
        }
    }
    outcome
}

// Number of instances that are assigned shares of the rate in three regions.
fn count_holders(deployment: &Deployment, rate: u64) -> usize {
    let ids: Vec<(InstanceId, RegionName)> = (0..deployment.instances * 3)
        .map(|ix| {
            let region = RegionName::new(&format!("r{}", ix % 3)).expect("the name is valid");
            (InstanceId::new(&format!("i{ix}")).expect("the name is valid"), region)
        })
        .collect();
    let burst = u32::try_from(rate).unwrap_or(u32::MAX);
    select_holders("o", rate, burst, ids.iter().map(|(id, region)| (id, region))).len()
}

fn borrow(
    buckets: &mut [Bucket],
    lenders: &mut [Lender],
    own: usize,
    rate: u64,
    now: Time,
    is_down: impl Fn(usize) -> bool,
    messages: &mut u64,
) -> bool {
    const MAX_ASKED: usize = 3;
    let mut tried = vec![own];
    for _ in 0..MAX_ASKED {
        let Some(ix) = choose_lender(lenders, &tried, now) else {
            return false;
        };
        tried.push(ix);
        *messages += 1;
        let per_holder = u32::try_from(rate / buckets.len() as u64).unwrap_or(u32::MAX);
        let granted =
            if is_down(ix) { 0 } else { buckets[ix].lend(tokens_to_request(per_holder), false, now) };
        lenders[ix].remaining_tokens = Some(if is_down(ix) { 0 } else { buckets[ix].whole_tokens(now) });
        lenders[ix].asked_at = now;
        buckets[own].borrow(granted, now);
        if granted > 0 && buckets[own].take(now) {
            return true;
        }
    }
    false
}

// Returns the largest excess over rate and burst in any window, as the lowest level of a bucket that starts
// full.
fn largest_excess(admitted: &[f64], rate: f64) -> f64 {
    let burst = rate;
    let (mut level, mut last, mut excess) = (burst, 0.0, 0.0_f64);
    for admitted_at in admitted {
        level = (level + (admitted_at - last) * rate).min(burst) - 1.0;
        last = *admitted_at;
        excess = excess.max(-level);
    }
    excess
}

fn round3(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
