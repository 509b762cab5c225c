//! Fairness between organisations in the admission queue of a full instance.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use burdock_decide::admit::{AdmissionDecision, FairQueue, Ticket};
use burdock_decide::time::Time;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::backends::sample_exponential;
use crate::deployment::{Deployment, ORGANISATION_RATES};

/// Simulated time in seconds.
const DURATION_S: u64 = 60;

/// Maximum number of waiting requests.
const QUEUE_CAPACITY: usize = 256;

/// Maximum time that a request waits.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Fraction of the capacity of the instance that all organisations within their rates send together.
const LOAD: f64 = 0.6;

/// Policy of serving the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Fair,
    FirstComeFirstServed,
}

/// Returns a row for each policy, while one small organisation sends thirty times its rate.
pub fn rows(deployment: &Deployment, seed: u64, compare: bool) -> Vec<Value> {
    let policies =
        if compare { vec![Policy::Fair, Policy::FirstComeFirstServed] } else { vec![Policy::Fair] };
    policies.into_iter().map(|policy| row(deployment, policy, seed)).collect()
}

fn row(deployment: &Deployment, policy: Policy, seed: u64) -> Value {
    let served = run(deployment, policy, seed);
    let within_rate = &served[..ORGANISATION_RATES.len() - 1];
    let worst =
        within_rate.iter().map(|(sent, admitted)| *admitted as f64 / *sent as f64).fold(1.0, f64::min);
    json!({
        "deployment": deployment.name, "measure": "admission while one sends 30 times its rate", "policy": format!("{policy:?}"),
        "worst_served_per_cent": (worst * 100_000.0).round() / 1000.0,
    })
}

struct Sim {
    queue: FairQueue,
    fifo: VecDeque<(usize, Time)>,
    waiting: HashMap<Ticket, usize>,
    running: Vec<Time>,
    limit: usize,
    policy: Policy,
    served: Vec<(u64, u64)>,
}

fn run(deployment: &Deployment, policy: Policy, seed: u64) -> Vec<(u64, u64)> {
    let limit = deployment.backends * deployment.slots as usize;
    let mut rng = StdRng::seed_from_u64(seed);
    let total_weight: u64 = ORGANISATION_RATES.iter().sum();
    let capacity_per_s = limit as f64 / deployment.service_time.as_secs_f64();
    let rate = |ix: usize| {
        let excess = if ix == ORGANISATION_RATES.len() - 1 { 30.0 } else { 1.0 };
        ORGANISATION_RATES[ix] as f64 / total_weight as f64 * capacity_per_s * LOAD * excess
    };
    let total: f64 = (0..ORGANISATION_RATES.len()).map(rate).sum();
    let mut sim = Sim {
        queue: FairQueue::new(limit, QUEUE_CAPACITY),
        fifo: VecDeque::new(),
        waiting: HashMap::new(),
        running: Vec::new(),
        limit,
        policy,
        served: vec![(0, 0); ORGANISATION_RATES.len()],
    };
    let mut now = 0.0;
    while now < DURATION_S as f64 {
        now += sample_exponential(&mut rng) / total;
        let mut offset = rng.random::<f64>() * total;
        let mut organisation = 0;
        while organisation + 1 < ORGANISATION_RATES.len() && offset > rate(organisation) {
            offset -= rate(organisation);
            organisation += 1;
        }
        let at = Time((now * 1e6) as u64);
        sim.finish(at, deployment.service_time);
        sim.arrive(organisation, at, deployment.service_time);
    }
    sim.served
}

impl Sim {
    fn arrive(&mut self, organisation: usize, now: Time, service_time: Duration) {
        self.served[organisation].0 += 1;
        if self.policy == Policy::FirstComeFirstServed {
            if self.running.len() < self.limit {
                self.start(organisation, now, service_time);
            } else if self.fifo.len() < QUEUE_CAPACITY {
                self.fifo.push_back((organisation, now + MAX_WAIT));
            }
            return;
        }
        match self.queue.admit(organisation as u64, weight(organisation), now + MAX_WAIT) {
            AdmissionDecision::Run => self.start(organisation, now, service_time),
            AdmissionDecision::Refused => {}
            AdmissionDecision::Wait(ticket) => {
                self.waiting.insert(ticket, organisation);
            }
            AdmissionDecision::WaitAndEvict { ticket, evicted } => {
                self.waiting.remove(&evicted);
                self.waiting.insert(ticket, organisation);
            }
        }
    }

    fn start(&mut self, organisation: usize, now: Time, service_time: Duration) {
        self.served[organisation].1 += 1;
        self.running.push(now + service_time);
        self.running.sort_unstable();
    }

    fn finish(&mut self, now: Time, service_time: Duration) {
        while self.running.first().is_some_and(|end| *end <= now) {
            let end = self.running.remove(0);
            let next = match self.policy {
                Policy::FirstComeFirstServed => std::iter::from_fn(|| self.fifo.pop_front())
                    .find(|(_, deadline)| end < *deadline)
                    .map(|(o, _)| o),
                Policy::Fair => self.queue.release(end).and_then(|ticket| self.waiting.remove(&ticket)),
            };
            if let Some(organisation) = next {
                self.start(organisation, end, service_time);
            }
        }
    }
}

// Weights follow the rates of the organisations.
fn weight(organisation: usize) -> u32 {
    u32::try_from(ORGANISATION_RATES[organisation] / 40).unwrap_or(1)
}
