//! Latency of policies that select a backend server within a region.

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

/// Mean fraction of all slots that are busy.
const LOAD: f64 = 0.7;

const REQUESTS: usize = 200_000;

/// Highest latency that is recorded.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Interval at which load reports reach an instance.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// Policy of selecting a backend server. Result rows carry the names of its variants.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Chosen,
    LeastOwn,
    RoundRobin,
    Random,
    Perfect,
}

struct SimBackend {
    in_flight: u32,
    queue: VecDeque<(u64, Duration, usize)>,
    reported: u32,
    slowness: f64,
}

struct Sim<'a> {
    deployment: &'a Deployment,
    policy: Policy,
    backends: Vec<SimBackend>,
    own_in_flight: Vec<Vec<u32>>,
    next_ix: Vec<usize>,
    reported_at: u64,
    rng: StdRng,
    completions: BinaryHeap<Reverse<(u64, usize, usize)>>,
    latency: Histogram<u64>,
}

/// Returns a row for each policy, with equal backend servers and with one that is three times slower than the
/// others.
pub fn rows(deployment: &Deployment, seed: u64, compare: bool) -> Vec<Value> {
    let policies = if compare {
        vec![Policy::Chosen, Policy::LeastOwn, Policy::RoundRobin, Policy::Random, Policy::Perfect]
    } else {
        vec![Policy::Chosen, Policy::Perfect]
    };
    let mut rows = Vec::new();
    for slowness in [1.0, 3.0] {
        let perfect = run(deployment, Policy::Perfect, seed, slowness);
        for policy in &policies {
            let latency = run(deployment, *policy, seed, slowness);
            let quantile_ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
            rows.push(json!({
                "deployment": deployment.name, "measure": "latency at 70% load", "policy": format!("{policy:?}"),
                "slowest_backend_factor": slowness,
                "p50_ms": quantile_ms(&latency, 0.5), "p99_ms": quantile_ms(&latency, 0.99),
                "p99_over_perfect": (quantile_ms(&latency, 0.99) / quantile_ms(&perfect, 0.99) * 1000.0).round() / 1000.0,
            }));
        }
    }
    rows
}

fn run(deployment: &Deployment, policy: Policy, seed: u64, slowness: f64) -> Histogram<u64> {
    let backend = |ix| SimBackend {
        in_flight: 0,
        queue: VecDeque::new(),
        reported: 0,
        slowness: if ix == 0 { slowness } else { 1.0 },
    };
    let mut sim = Sim {
        deployment,
        policy,
        backends: (0..deployment.backends).map(backend).collect(),
        own_in_flight: vec![vec![0; deployment.backends]; deployment.instances],
        next_ix: vec![0; deployment.instances],
        reported_at: 0,
        rng: StdRng::seed_from_u64(seed),
        completions: BinaryHeap::new(),
        latency: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds of the histogram are valid"),
    };
    sim.run();
    sim.latency
}

impl Sim<'_> {
    fn run(&mut self) {
        let capacity: f64 = self.backends.iter().map(|b| f64::from(self.deployment.slots) / b.slowness).sum();
        let rate_per_us = capacity * LOAD / micros(self.deployment.service_time) as f64;
        let mut now = 0.0;
        for _ in 0..REQUESTS {
            now += sample_exponential(&mut self.rng) / rate_per_us;
            self.finish_until(now as u64);
            self.update_reports(now as u64);
            let instance = self.rng.random_range(0..self.deployment.instances);
            self.arrive(instance, now as u64);
        }
    }

    fn update_reports(&mut self, now: u64) {
        if now - self.reported_at >= micros(REPORT_INTERVAL) {
            self.reported_at = now;
            for target in &mut self.backends {
                target.reported = target.in_flight + u32::try_from(target.queue.len()).unwrap_or(u32::MAX);
            }
        }
    }

    fn arrive(&mut self, instance: usize, now: u64) {
        let backend = self.choose(instance, now);
        self.own_in_flight[instance][backend] += 1;
        let service_time = self
            .deployment
            .service_time
            .mul_f64(service_time_factor(&mut self.rng) * self.backends[backend].slowness);
        let target = &mut self.backends[backend];
        target.queue.push_back((now, service_time, instance));
        self.start_next(backend, now);
    }

    fn start_next(&mut self, backend: usize, now: u64) {
        let target = &mut self.backends[backend];
        if target.in_flight >= self.deployment.slots {
            return;
        }
        if let Some((arrived, service_time, instance)) = target.queue.pop_front() {
            target.in_flight += 1;
            let end = now + micros(service_time);
            self.latency.saturating_record(end - arrived);
            self.completions.push(Reverse((end, backend, instance)));
        }
    }

    fn finish_until(&mut self, now: u64) {
        while let Some(Reverse((end, backend, instance))) = self.completions.peek().copied() {
            if end > now {
                return;
            }
            self.completions.pop();
            self.backends[backend].in_flight -= 1;
            self.own_in_flight[instance][backend] -= 1;
            self.start_next(backend, end);
        }
    }

    fn choose(&mut self, instance: usize, now: u64) -> usize {
        let count = self.backends.len();
        match self.policy {
            Policy::Chosen => {
                let views: Vec<BackendView> = (0..count).map(|ix| self.view(instance, ix)).collect();
                select_backend(&views, &[], self.rng.random(), Time(now))
                    .expect("all backend servers are available")
            }
            Policy::LeastOwn => (0..count)
                .min_by_key(|ix| self.own_in_flight[instance][*ix])
                .expect("a deployment has backend servers"),
            Policy::RoundRobin => {
                self.next_ix[instance] = (self.next_ix[instance] + 1) % count;
                self.next_ix[instance]
            }
            Policy::Random => self.rng.random_range(0..count),
            Policy::Perfect => (0..count)
                .min_by(|a, b| self.actual_wait(*a).total_cmp(&self.actual_wait(*b)))
                .expect("a deployment has backend servers"),
        }
    }

    fn actual_wait(&self, ix: usize) -> f64 {
        let target = &self.backends[ix];
        let in_flight = f64::from(target.in_flight) + target.queue.len() as f64;
        ((in_flight + 1.0 - f64::from(self.deployment.slots)).max(0.0) + 1.0 + in_flight / 1000.0)
            * target.slowness
    }

    fn view(&self, instance: usize, ix: usize) -> BackendView {
        BackendView {
            slots: self.deployment.slots,
            own_in_flight: self.own_in_flight[instance][ix],
            reported_in_flight: Some(self.backends[ix].reported),
            reported_at: Time(self.reported_at),
            service_time: self.deployment.service_time.mul_f64(self.backends[ix].slowness),
            is_available: true,
            available_since: Time(0),
        }
    }
}

/// Samples the exponential distribution with mean 1.
pub fn sample_exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

// Samples factors with mean 1. Most are short; one in ten is five times as long.
fn service_time_factor(rng: &mut StdRng) -> f64 {
    let scale = if rng.random_range(0..10) == 0 { 5.0 } else { 1.0 };
    scale * (0.5 + rng.random::<f64>()) / 1.4
}
