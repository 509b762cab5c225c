//! Rates and bursts over the whole fleet.

use std::time::Duration;

use burdock_decide::limit::{Bucket, FULL_SHARE_PPM, Lender, allotment, choose_lender, tokens_to_request};
use burdock_decide::shares::assigned;
use burdock_decide::time::Time;
use burdock_model::ids::{InstanceId, RegionName};
use burdock_model::units::Rate;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::backends::exponential;
use crate::deployment::{Deployment, ORGANISATIONS};

/// Simulated time.
const SECONDS: u64 = 120;

/// Part of its rate that an organisation within its rate sends.
const WITHIN: f64 = 0.9;

/// When one holder crashes, and when its share is in use again.
const CRASH: Duration = Duration::from_secs(40);
const RECOVERED: Duration = Duration::from_secs(50);

/// How limits are kept.
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

/// A row for each policy: wrongful refusals, excess, messages, in health and with a crash.
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
    for (ix, rate) in ORGANISATIONS.iter().enumerate() {
        // The last small one sends ten times its rate; it is refused rightly.
        let greedy = ix == ORGANISATIONS.len() - 1;
        let demand = if greedy { 10.0 } else { WITHIN };
        let found = run(deployment, policy, *rate, demand, crash, &mut rng);
        excess = excess.max(largest_excess(&found.admitted, *rate as f64));
        messages += found.messages;
        if !greedy {
            sent += found.sent;
            refused += found.refused;
            worst = worst.min(1.0 - found.refused as f64 / found.sent as f64);
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
        Policy::SharesWithLending => holders(deployment, rate),
        Policy::EvenStatic => deployment.instances * 3,
        Policy::SingleKeeper => 1,
    };
    let burst = u32::try_from(rate).unwrap_or(u32::MAX);
    let part = |ix: usize| {
        let mark = |n: usize| FULL_SHARE_PPM * n as u64 / holders as u64;
        allotment(Rate::per_second(rate), burst, mark(ix), mark(ix + 1))
    };
    let mut buckets: Vec<Bucket> = (0..holders).map(|ix| Bucket::new(part(ix), Time(0))).collect();
    let fresh = Lender { local: true, remaining_tokens: None, asked_at: Time(0), rate: part(0).rate };
    let mut known = vec![vec![fresh; holders]; holders];
    let mut outcome = Outcome::default();
    let mut now_us = 2_000_000.0;
    while now_us < SECONDS as f64 * 1e6 {
        now_us += exponential(rng) / (rate as f64 * demand) * 1e6;
        let now = Time(now_us as u64);
        let down = crash && (CRASH..RECOVERED).contains(&now.since(Time(0)));
        // Callers are uneven: each asks the better of two of the holders it was steered to, mostly the first.
        let skew = rng.random::<f64>().powi(2);
        let mut at = ((skew * holders as f64) as usize).min(holders - 1);
        if down && at == 0 && holders > 1 {
            at = 1;
        }
        outcome.sent += 1;
        let lost = |ix: usize| down && ix == 0;
        let admitted = match policy {
            Policy::SingleKeeper => {
                outcome.messages += 1;
                !lost(0) && buckets[0].take(now)
            }
            Policy::EvenStatic => buckets[at].take(now),
            Policy::SharesWithLending => {
                buckets[at].take(now)
                    || borrow(&mut buckets, &mut known[at], at, rate, now, lost, &mut outcome.messages)
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

// As many as the node assigns in three regions.
fn holders(deployment: &Deployment, rate: u64) -> usize {
    let ids: Vec<(InstanceId, RegionName)> = (0..deployment.instances * 3)
        .map(|ix| {
            let region = RegionName::new(&format!("r{}", ix % 3)).expect("a name");
            (InstanceId::new(&format!("i{ix}")).expect("a name"), region)
        })
        .collect();
    let burst = u32::try_from(rate).unwrap_or(u32::MAX);
    assigned("o", rate, burst, ids.iter().map(|(id, region)| (id, region))).len()
}

fn borrow(
    buckets: &mut [Bucket],
    known: &mut [Lender],
    own: usize,
    rate: u64,
    now: Time,
    lost: impl Fn(usize) -> bool,
    messages: &mut u64,
) -> bool {
    const MAX_ASKED: usize = 3;
    let mut tried = vec![own];
    for _ in 0..MAX_ASKED {
        let Some(ix) = choose_lender(known, &tried, now) else {
            return false;
        };
        tried.push(ix);
        *messages += 1;
        let per_holder = u32::try_from(rate / buckets.len() as u64).unwrap_or(u32::MAX);
        let granted = if lost(ix) { 0 } else { buckets[ix].lend(tokens_to_request(per_holder), false, now) };
        known[ix].remaining_tokens = Some(if lost(ix) { 0 } else { buckets[ix].whole_tokens(now) });
        known[ix].asked_at = now;
        buckets[own].borrow(granted, now);
        if granted > 0 && buckets[own].take(now) {
            return true;
        }
    }
    false
}

// The most that any window admits beyond rate and burst, found by the deepest dip of a full bucket.
fn largest_excess(admitted: &[f64], rate: f64) -> f64 {
    let burst = rate;
    let (mut level, mut last, mut excess) = (burst, 0.0, 0.0_f64);
    for at in admitted {
        level = (level + (at - last) * rate).min(burst) - 1.0;
        last = *at;
        excess = excess.max(-level);
    }
    excess
}

fn round3(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
