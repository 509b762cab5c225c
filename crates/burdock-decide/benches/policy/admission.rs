//! Fairness between organisations at a full instance.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use burdock_decide::admit::{AdmissionDecision, FairQueue, Ticket};
use burdock_decide::time::Time;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::backends::exponential;
use crate::deployment::{Deployment, ORGANISATIONS};

/// Simulated time.
const SECONDS: u64 = 60;

/// Requests that may wait.
const ROOM: usize = 256;

/// How long a request waits at most.
const PATIENCE: Duration = Duration::from_millis(500);

/// Part of what the instance can carry that all organisations within their rates send together.
const LOAD: f64 = 0.6;

/// How the queue is served.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Fair,
    FirstComeFirstServed,
}

/// A row for each policy: one small organisation sends ten times the rate that it should.
pub fn rows(deployment: &Deployment, seed: u64, compare: bool) -> Vec<Value> {
    let policies =
        if compare { vec![Policy::Fair, Policy::FirstComeFirstServed] } else { vec![Policy::Fair] };
    policies.into_iter().map(|policy| row(deployment, policy, seed)).collect()
}

fn row(deployment: &Deployment, policy: Policy, seed: u64) -> Value {
    let served = run(deployment, policy, seed);
    let within = &served[..ORGANISATIONS.len() - 1];
    let worst = within.iter().map(|(sent, done)| *done as f64 / *sent as f64).fold(1.0, f64::min);
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
    let whole: u64 = ORGANISATIONS.iter().sum();
    let carried = limit as f64 / deployment.service_time.as_secs_f64();
    let rate = |ix: usize| {
        let greedy = if ix == ORGANISATIONS.len() - 1 { 30.0 } else { 1.0 };
        ORGANISATIONS[ix] as f64 / whole as f64 * carried * LOAD * greedy
    };
    let total: f64 = (0..ORGANISATIONS.len()).map(rate).sum();
    let mut sim = Sim {
        queue: FairQueue::new(limit, ROOM),
        fifo: VecDeque::new(),
        waiting: HashMap::new(),
        running: Vec::new(),
        limit,
        policy,
        served: vec![(0, 0); ORGANISATIONS.len()],
    };
    let mut now = 0.0;
    while now < SECONDS as f64 {
        now += exponential(&mut rng) / total;
        let mut drawn = rng.random::<f64>() * total;
        let mut organisation = 0;
        while organisation + 1 < ORGANISATIONS.len() && drawn > rate(organisation) {
            drawn -= rate(organisation);
            organisation += 1;
        }
        let at = Time((now * 1e6) as u64);
        sim.finish(at, deployment.service_time);
        sim.arrive(organisation, at, deployment.service_time);
    }
    sim.served
}

impl Sim {
    fn arrive(&mut self, organisation: usize, now: Time, work: Duration) {
        self.served[organisation].0 += 1;
        if self.policy == Policy::FirstComeFirstServed {
            if self.running.len() < self.limit {
                self.begin(organisation, now, work);
            } else if self.fifo.len() < ROOM {
                self.fifo.push_back((organisation, now + PATIENCE));
            }
            return;
        }
        match self.queue.admit(organisation as u64, weight(organisation), now + PATIENCE) {
            AdmissionDecision::Run => self.begin(organisation, now, work),
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

    fn begin(&mut self, organisation: usize, now: Time, work: Duration) {
        self.served[organisation].1 += 1;
        self.running.push(now + work);
        self.running.sort_unstable();
    }

    fn finish(&mut self, now: Time, work: Duration) {
        while self.running.first().is_some_and(|end| *end <= now) {
            let end = self.running.remove(0);
            let next = match self.policy {
                Policy::FirstComeFirstServed => std::iter::from_fn(|| self.fifo.pop_front())
                    .find(|(_, deadline)| end < *deadline)
                    .map(|(o, _)| o),
                Policy::Fair => self.queue.release(end).and_then(|ticket| self.waiting.remove(&ticket)),
            };
            if let Some(organisation) = next {
                self.begin(organisation, end, work);
            }
        }
    }
}

// Large organisations weigh more, by their rates.
fn weight(organisation: usize) -> u32 {
    u32::try_from(ORGANISATIONS[organisation] / 40).unwrap_or(1)
}
