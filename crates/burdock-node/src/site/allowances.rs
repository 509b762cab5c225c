//! What each organisation may still send through this instance.

use std::collections::HashMap;
use std::time::Duration;

use burdock_decide::limit::{Allotment, Bucket, TOKEN};
use burdock_decide::time::Time;
use burdock_model::ids::OrganisationName;
use burdock_model::site::Organisation;

use crate::shards::Sharded;
use crate::site::hash_of;

/// Tokens that this instance may hold beyond its part of the burst, so that a small part does not refuse two
/// requests that happen to come together.
const EXTRA_TOKENS: f64 = 1.0;

/// Buckets of all organisations.
#[derive(Debug, Default)]
pub struct Allowances {
    buckets: Sharded<HashMap<OrganisationName, Bucket>>,
}

impl Allowances {
    /// Takes one request's token. Otherwise the time until there is one.
    ///
    /// # Errors
    /// The time until the next token, where one will come.
    pub fn take(&self, organisation: &Organisation, part: f64, now: Time) -> Result<(), Option<Duration>> {
        if organisation.rate <= 0.0 {
            return Ok(());
        }
        let allotment = allotment(organisation, part);
        let mut shard = self.buckets.lock(hash_of(organisation.name.as_str()));
        let bucket = shard.entry(organisation.name.clone()).or_insert_with(|| Bucket::new(allotment, now));
        bucket.set_allotment(allotment, now);
        if bucket.take(now) { Ok(()) } else { Err(bucket.next_token(now)) }
    }
}

fn allotment(organisation: &Organisation, part: f64) -> Allotment {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
    let micros = |tokens: f64| (tokens * TOKEN as f64) as u64;
    Allotment {
        rate: micros(organisation.rate * part),
        cap: micros(organisation.burst * part + EXTRA_TOKENS),
    }
}
