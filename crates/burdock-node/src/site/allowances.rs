//! Tokens that this instance holds for each organisation, and the demand that it measures.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use burdock_decide::limit::Bucket;
use burdock_decide::time::Time;
use burdock_model::site::Organisation;
use burdock_wire::messages::HashedAmount;

use crate::shards::Sharded;
use crate::site::{SiteNode, name_hash, report};

/// Seconds of demand that one token request covers, so that a busy organisation does not need a call to the
/// hub for each request.
const PREFETCH_TIME_S: f64 = 0.15;

/// Maximum time to refuse requests of an organisation without tokens before the hub is asked again.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(200);

/// Weight of a new count in the moving average of the demand.
const DEMAND_SMOOTHING: f64 = 0.3;

/// Demand in requests a second below which none is reported.
const MIN_DEMAND_PER_S: f64 = 0.01;

/// Tokens and demand of all organisations at this instance.
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
    /// Returns the demand of each organisation at this instance, in requests a second.
    #[must_use]
    pub fn demands(&self, now: Time) -> Vec<HashedAmount> {
        let mut demands = Vec::new();
        for mut shard in self.organisations.lock_each() {
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

    // Adds granted tokens. Returns whether one request is admitted.
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

/// Takes a token for one request of an organisation, and requests more from the hub when there is none.
///
/// # Errors
/// Returns the time after which there may be a token, when the request is over the organisation's rate.
pub async fn acquire_token(node: &Arc<SiteNode>, organisation: &Organisation) -> Result<(), Duration> {
    if organisation.rate <= 0.0 {
        return Ok(());
    }
    let hash = name_hash(organisation.name.as_str());
    let wanted = match node.allowances.check_tokens(hash, node.clock.now()) {
        TokenDecision::Admit => return Ok(()),
        TokenDecision::Refuse(wait) => return Err(wait),
        TokenDecision::Request(wanted) => wanted,
    };
    let grant = report::request_tokens(node, organisation, wanted).await;
    let wait = Duration::from_millis(u64::from(grant.wait_ms));
    if node.allowances.record_grant(hash, grant.granted, wait, node.clock.now()) { Ok(()) } else { Err(wait) }
}
