//! Rates and bursts of organisations at this instance.

pub mod borrow;
pub mod keeper;
pub mod records;

use std::collections::HashMap;

use burdock_decide::limit::{Allotment, Bucket, Lender};
use burdock_decide::retry::RetryBudget;
use burdock_decide::time::Time;
use burdock_model::hash::stable_hash;
use burdock_model::ids::OrganisationName;
use burdock_model::snapshot::Organisation;
use burdock_wire::messages::PeerAddress;
use parking_lot::Mutex;

use crate::shards::Sharded;

/// All limits of one instance.
#[derive(Debug, Default)]
pub struct Limits {
    shards: Sharded<HashMap<OrganisationName, OrganisationLimit>>,
    open_routes: Mutex<RetryBudget>,
    /// The agreed records that say who holds what.
    pub records: records::Records,
}

/// The limits of one organisation at this instance.
#[derive(Debug)]
struct OrganisationLimit {
    bucket: Bucket,
    retries: RetryBudget,
    lenders: Vec<(PeerAddress, Lender)>,
    window: Window,
}

// Requests seen lately, to tell how many tokens to ask for.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    began: Time,
    seen: u32,
    last_second: u32,
}

/// What an instance needs to know to lend and borrow for one organisation.
#[derive(Clone, Debug)]
pub struct HolderView {
    /// Where it is reached.
    pub peer: PeerAddress,
    /// It is in this instance's region.
    pub local: bool,
    /// Its allotment.
    pub allotment: Allotment,
}

impl Limits {
    /// Takes one token of this instance's own share.
    pub fn take(&self, organisation: &OrganisationName, now: Time) -> bool {
        self.with(organisation, now, |limit| {
            limit.window.count(now);
            limit.bucket.take(now)
        })
    }

    /// Gives tokens away to another instance. Returns how many, and how many are left.
    pub fn lend(&self, organisation: &OrganisationName, wanted: u32, now: Time) -> (u32, u32) {
        self.with(organisation, now, |limit| {
            let idle = limit.window.last_second == 0;
            let granted = limit.bucket.lend(wanted, idle, now);
            (granted, limit.bucket.whole_tokens(now))
        })
    }

    /// Uses the retry budget of an organisation.
    pub fn retry_budget<R>(
        &self,
        organisation: Option<&OrganisationName>,
        f: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        match organisation {
            Some(name) => self.with(name, Time::default(), |limit| f(&mut limit.retries)),
            None => f(&mut self.open_routes.lock()),
        }
    }

    /// Milliseconds until this instance has a token again; `None` for never.
    pub fn next_token_ms(&self, organisation: &OrganisationName, now: Time) -> Option<u64> {
        let wait = self.with(organisation, now, |limit| limit.bucket.time_to_next_token(now))?;
        u64::try_from(wait.as_millis()).ok()
    }

    /// Sets what this instance and the other holders may give out for an organisation.
    pub fn set(&self, organisation: &Organisation, own: Allotment, others: Vec<HolderView>, now: Time) {
        self.with(&organisation.name, now, |limit| {
            limit.bucket.set_allotment(own, now);
            limit.lenders = others.into_iter().map(|h| limit.lender_of(h)).collect();
        });
    }

    /// Drops organisations that are no longer in the configuration.
    pub fn retain(&self, keep: impl Fn(&OrganisationName) -> bool) {
        for mut shard in self.shards.lock_each() {
            shard.retain(|name, _| keep(name));
        }
    }

    fn with<R>(&self, name: &OrganisationName, now: Time, f: impl FnOnce(&mut OrganisationLimit) -> R) -> R {
        let mut shard = self.shards.lock(stable_hash(name.as_str().as_bytes(), 0));
        if let Some(limit) = shard.get_mut(name) {
            return f(limit);
        }
        f(shard.entry(name.clone()).or_insert_with(|| OrganisationLimit::new(now)))
    }
}

impl OrganisationLimit {
    fn new(now: Time) -> Self {
        Self {
            bucket: Bucket::new(Allotment::default(), now),
            retries: RetryBudget::default(),
            lenders: Vec::new(),
            window: Window::default(),
        }
    }

    // What is remembered of a lender outlives a new record.
    fn lender_of(&self, holder: HolderView) -> (PeerAddress, Lender) {
        let known = self.lenders.iter().find(|(peer, _)| *peer == holder.peer).map(|(_, l)| *l);
        let lender = known.unwrap_or(Lender {
            local: holder.local,
            remaining_tokens: None,
            asked_at: Time::default(),
            rate: 0,
        });
        (holder.peer, Lender { rate: holder.allotment.rate, ..lender })
    }
}

impl Window {
    fn count(&mut self, now: Time) {
        const LENGTH: std::time::Duration = std::time::Duration::from_secs(1);
        if now.since(self.began) >= LENGTH {
            self.last_second = self.seen;
            self.seen = 0;
            self.began = now;
        }
        self.seen += 1;
    }
}
