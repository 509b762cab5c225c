//! Leave that this instance holds for requests of each organisation, and the demand that it sees.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use burdock_decide::limit::Bucket;
use burdock_decide::time::Time;
use burdock_model::site::Organisation;
use burdock_wire::messages::HashedAmount;

use crate::shards::Sharded;
use crate::site::{SiteNode, hash_of, report};

/// Leave that is asked for at once lasts for this much of the demand, in seconds, so that a busy organisation
/// does not take one question for each request.
const PREFETCH_TIME_S: f64 = 0.15;

/// The longest time for which an organisation without leave is refused without asking again.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(200);

/// A new count weighs this much in the demand.
const DEMAND_SMOOTHING: f64 = 0.3;

/// Demand below this, in requests a second, is none.
const MIN_DEMAND_PER_S: f64 = 0.01;

/// What is known of all organisations.
#[derive(Debug, Default)]
pub struct Allowances {
    organisations: Sharded<HashMap<u64, OrganisationTokens>>,
}

#[derive(Debug, Default)]
struct OrganisationTokens {
    tokens: Bucket,
    refused_until: Time,
    requests: u32,
    counted_at: Time,
    demand: f64,
}

enum TokenDecision {
    Admit,
    Refuse(Duration),
    Request(u32),
}

impl Allowances {
    /// Requests a second of each organisation here.
    #[must_use]
    pub fn demands(&self, now: Time) -> Vec<HashedAmount> {
        let mut demands = Vec::new();
        for mut shard in self.organisations.each() {
            for (hash, organisation) in shard.iter_mut() {
                organisation.update_demand(now);
                if organisation.demand > MIN_DEMAND_PER_S {
                    #[expect(clippy::cast_possible_truncation, reason = "a rate needs no more digits")]
                    demands.push(HashedAmount { hash: *hash, amount: organisation.demand as f32 });
                }
            }
        }
        demands
    }

    fn check_tokens(&self, hash: u64, now: Time) -> TokenDecision {
        let mut shard = self.organisations.lock(hash);
        let organisation = shard.entry(hash).or_default();
        organisation.requests += 1;
        if organisation.tokens.take(now) {
            return TokenDecision::Admit;
        }
        if now < organisation.refused_until {
            return TokenDecision::Refuse(organisation.refused_until.since(now));
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
        let ahead = (organisation.demand * PREFETCH_TIME_S) as u32;
        TokenDecision::Request(1 + ahead)
    }

    // Takes in what was given. Returns whether one request may go.
    fn record_grant(&self, hash: u64, granted: u32, wait: Duration, now: Time) -> bool {
        let mut shard = self.organisations.lock(hash);
        let organisation = shard.entry(hash).or_default();
        if granted == 0 {
            organisation.refused_until = now + wait.min(MAX_REFUSAL_TIME);
            return false;
        }
        organisation.tokens.borrow(granted, now);
        organisation.tokens.take(now)
    }
}

impl OrganisationTokens {
    fn update_demand(&mut self, now: Time) {
        let elapsed = now.since(self.counted_at).as_secs_f64();
        if self.counted_at == Time::default() || elapsed <= 0.0 {
            self.counted_at = now;
            return;
        }
        self.demand += (f64::from(self.requests) / elapsed - self.demand) * DEMAND_SMOOTHING;
        self.requests = 0;
        self.counted_at = now;
    }
}

/// Takes leave for one request of an organisation.
///
/// # Errors
/// The time after which there may be some.
pub async fn acquire_token(node: &Arc<SiteNode>, organisation: &Organisation) -> Result<(), Duration> {
    if organisation.rate <= 0.0 {
        return Ok(());
    }
    let hash = hash_of(organisation.name.as_str());
    let wanted = match node.allowances.check_tokens(hash, node.clock.now()) {
        TokenDecision::Admit => return Ok(()),
        TokenDecision::Refuse(wait) => return Err(wait),
        TokenDecision::Request(wanted) => wanted,
    };
    let grant = report::request_tokens(node, organisation, wanted).await;
    let wait = Duration::from_millis(u64::from(grant.wait_ms));
    if node.allowances.record_grant(hash, grant.granted, wait, node.clock.now()) { Ok(()) } else { Err(wait) }
}
