//! Leave that this instance holds for requests of each organisation, and the demand that it sees.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use burdock_decide::limit::Bucket;
use burdock_decide::time::Time;
use burdock_model::site::Organisation;
use burdock_wire::messages::HashedAmount;

use crate::shards::Sharded;
use crate::site::{SiteNode, name_hash, report};

/// Leave that is asked for at once lasts for this much of the demand, in seconds, so that a busy organisation
/// does not take one question for each request.
const LEAVE_AHEAD_S: f64 = 0.15;

/// The longest time for which an organisation without leave is refused without asking again.
const LONGEST_REFUSAL: Duration = Duration::from_millis(200);

/// A new count weighs this much in the demand.
const DEMAND_WEIGHT: f64 = 0.3;

/// Demand below this, in requests a second, is none.
const LEAST_DEMAND: f64 = 0.01;

/// What is known of all organisations.
#[derive(Debug, Default)]
pub struct Allowances {
    organisations: Sharded<HashMap<u64, Held>>,
}

#[derive(Debug, Default)]
struct Held {
    leave: Bucket,
    refused_until: Time,
    requests: u32,
    counted: Time,
    demand: f64,
}

enum Step {
    Go,
    Refuse(Duration),
    Ask(u32),
}

impl Allowances {
    /// Requests a second of each organisation here.
    #[must_use]
    pub fn demands(&self, now: Time) -> Vec<HashedAmount> {
        let mut demands = Vec::new();
        for mut shard in self.organisations.lock_each() {
            for (hash, held) in shard.iter_mut() {
                held.count(now);
                if held.demand > LEAST_DEMAND {
                    #[expect(clippy::cast_possible_truncation, reason = "a rate needs no more digits")]
                    demands.push(HashedAmount { hash: *hash, amount: held.demand as f32 });
                }
            }
        }
        demands
    }

    fn step(&self, hash: u64, now: Time) -> Step {
        let mut shard = self.organisations.lock(hash);
        let held = shard.entry(hash).or_default();
        held.requests += 1;
        if held.leave.take(now) {
            return Step::Go;
        }
        if now < held.refused_until {
            return Step::Refuse(held.refused_until.since(now));
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
        let ahead = (held.demand * LEAVE_AHEAD_S) as u32;
        Step::Ask(1 + ahead)
    }

    // Takes in what was given. Returns whether one request may go.
    fn given(&self, hash: u64, granted: u32, wait: Duration, now: Time) -> bool {
        let mut shard = self.organisations.lock(hash);
        let held = shard.entry(hash).or_default();
        if granted == 0 {
            held.refused_until = now + wait.min(LONGEST_REFUSAL);
            return false;
        }
        held.leave.borrow(granted, now);
        held.leave.take(now)
    }
}

impl Held {
    fn count(&mut self, now: Time) {
        let elapsed = now.since(self.counted).as_secs_f64();
        if self.counted == Time::default() || elapsed <= 0.0 {
            self.counted = now;
            return;
        }
        self.demand += (f64::from(self.requests) / elapsed - self.demand) * DEMAND_WEIGHT;
        self.requests = 0;
        self.counted = now;
    }
}

/// Takes leave for one request of an organisation.
///
/// # Errors
/// The time after which there may be some.
pub async fn take(node: &Arc<SiteNode>, organisation: &Organisation) -> Result<(), Duration> {
    if organisation.rate <= 0.0 {
        return Ok(());
    }
    let hash = name_hash(organisation.name.as_str());
    let wanted = match node.allowances.step(hash, node.clock.now()) {
        Step::Go => return Ok(()),
        Step::Refuse(wait) => return Err(wait),
        Step::Ask(wanted) => wanted,
    };
    let leave = report::ask(node, organisation, wanted).await;
    let wait = Duration::from_millis(u64::from(leave.wait_ms));
    if node.allowances.given(hash, leave.granted, wait, node.clock.now()) { Ok(()) } else { Err(wait) }
}
