//! Choice of a backend server within a region.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use burdock_decide::pick::{BackendView, select_backend};
use burdock_decide::time::{Time, micros};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::deployment::Deployment;

/// Part of all slots that is at work on average.
const LOAD: f64 = 0.7;

const REQUESTS: usize = 200_000;

/// The highest latency recorded.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Time between two load reports as they reach an instance.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// How a backend server is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Chosen,
    LeastOwn,
    RoundRobin,
    Random,
    Perfect,
}

struct Fake {
    at_work: u32,
    queue: VecDeque<(u64, Duration, usize)>,
    reported: u32,
    slow: f64,
}

struct Sim<'a> {
    deployment: &'a Deployment,
    policy: Policy,
    fakes: Vec<Fake>,
    own: Vec<Vec<u32>>,
    next: Vec<usize>,
    reported_at: u64,
    rng: StdRng,
    done: BinaryHeap<Reverse<(u64, usize, usize)>>,
    latency: Histogram<u64>,
}

/// A row for each policy: alike backend servers, and one that is three times slower than the rest.
pub fn rows(deployment: &Deployment, seed: u64, compare: bool) -> Vec<Value> {
    let policies = if compare {
        vec![Policy::Chosen, Policy::LeastOwn, Policy::RoundRobin, Policy::Random, Policy::Perfect]
    } else {
        vec![Policy::Chosen, Policy::Perfect]
    };
    let mut rows = Vec::new();
    for slow in [1.0, 3.0] {
        let ideal = run(deployment, Policy::Perfect, seed, slow);
        for policy in &policies {
            let found = run(deployment, *policy, seed, slow);
            let at = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
            rows.push(json!({
                "deployment": deployment.name, "measure": "latency at 70% load", "policy": format!("{policy:?}"),
                "slowest_backend_factor": slow,
                "p50_ms": at(&found, 0.5), "p99_ms": at(&found, 0.99),
                "p99_over_perfect": (at(&found, 0.99) / at(&ideal, 0.99) * 1000.0).round() / 1000.0,
            }));
        }
    }
    rows
}

fn run(deployment: &Deployment, policy: Policy, seed: u64, slow: f64) -> Histogram<u64> {
    let fake =
        |ix| Fake { at_work: 0, queue: VecDeque::new(), reported: 0, slow: if ix == 0 { slow } else { 1.0 } };
    let mut sim = Sim {
        deployment,
        policy,
        fakes: (0..deployment.backends).map(fake).collect(),
        own: vec![vec![0; deployment.backends]; deployment.instances],
        next: vec![0; deployment.instances],
        reported_at: 0,
        rng: StdRng::seed_from_u64(seed),
        done: BinaryHeap::new(),
        latency: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds"),
    };
    sim.go();
    sim.latency
}

impl Sim<'_> {
    fn go(&mut self) {
        let capacity: f64 = self.fakes.iter().map(|f| f64::from(self.deployment.slots) / f.slow).sum();
        let per_us = capacity * LOAD / micros(self.deployment.service_time) as f64;
        let mut now = 0.0;
        for _ in 0..REQUESTS {
            now += exponential(&mut self.rng) / per_us;
            self.finish_until(now as u64);
            self.report(now as u64);
            let instance = self.rng.random_range(0..self.deployment.instances);
            self.arrive(instance, now as u64);
        }
    }

    fn report(&mut self, now: u64) {
        if now - self.reported_at >= micros(REPORT_INTERVAL) {
            self.reported_at = now;
            for fake in &mut self.fakes {
                fake.reported = fake.at_work + u32::try_from(fake.queue.len()).unwrap_or(u32::MAX);
            }
        }
    }

    fn arrive(&mut self, instance: usize, now: u64) {
        let backend = self.choose(instance, now);
        self.own[instance][backend] += 1;
        let work =
            self.deployment.service_time.mul_f64(working_time(&mut self.rng) * self.fakes[backend].slow);
        let fake = &mut self.fakes[backend];
        fake.queue.push_back((now, work, instance));
        self.start_next(backend, now);
    }

    fn start_next(&mut self, backend: usize, now: u64) {
        let fake = &mut self.fakes[backend];
        if fake.at_work >= self.deployment.slots {
            return;
        }
        if let Some((arrived, work, instance)) = fake.queue.pop_front() {
            fake.at_work += 1;
            let end = now + micros(work);
            self.latency.saturating_record(end - arrived);
            self.done.push(Reverse((end, backend, instance)));
        }
    }

    fn finish_until(&mut self, now: u64) {
        while let Some(Reverse((end, backend, instance))) = self.done.peek().copied() {
            if end > now {
                return;
            }
            self.done.pop();
            self.fakes[backend].at_work -= 1;
            self.own[instance][backend] -= 1;
            self.start_next(backend, end);
        }
    }

    fn choose(&mut self, instance: usize, now: u64) -> usize {
        let count = self.fakes.len();
        match self.policy {
            Policy::Chosen => {
                let views: Vec<BackendView> = (0..count).map(|ix| self.view(instance, ix)).collect();
                select_backend(&views, &[], self.rng.random(), Time(now)).expect("all are open")
            }
            Policy::LeastOwn => (0..count).min_by_key(|ix| self.own[instance][*ix]).expect("some"),
            Policy::RoundRobin => {
                self.next[instance] = (self.next[instance] + 1) % count;
                self.next[instance]
            }
            Policy::Random => self.rng.random_range(0..count),
            Policy::Perfect => {
                (0..count).min_by(|a, b| self.true_wait(*a).total_cmp(&self.true_wait(*b))).expect("some")
            }
        }
    }

    fn true_wait(&self, ix: usize) -> f64 {
        let fake = &self.fakes[ix];
        let ahead = f64::from(fake.at_work) + fake.queue.len() as f64;
        ((ahead + 1.0 - f64::from(self.deployment.slots)).max(0.0) + 1.0 + ahead / 1000.0) * fake.slow
    }

    fn view(&self, instance: usize, ix: usize) -> BackendView {
        BackendView {
            slots: self.deployment.slots,
            own_in_flight: self.own[instance][ix],
            reported: Some(self.fakes[ix].reported),
            reported_at: Time(self.reported_at),
            service_time: self.deployment.service_time.mul_f64(self.fakes[ix].slow),
            is_available: true,
            available_since: Time(0),
        }
    }
}

/// A draw from the exponential distribution of mean 1.
pub fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

// Mean 1: most are short, one in ten takes five times as long.
fn working_time(rng: &mut StdRng) -> f64 {
    let scale = if rng.random_range(0..10) == 0 { 5.0 } else { 1.0 };
    scale * (0.5 + rng.random::<f64>()) / 1.4
}
