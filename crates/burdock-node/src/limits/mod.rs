//! Rate limits of organisations at this instance: token buckets, loans and retry budgets.

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

/// Rate limits and retry budgets of all organisations at this instance.
#[derive(Debug, Default)]
pub struct Limits {
    shards: Sharded<HashMap<OrganisationName, OrganisationLimit>>,
    open_route_retries: Mutex<RetryBudget>,
    /// Share records: which instance holds which share of an organisation's rate.
    pub records: records::ShareRecords,
}

/// State of one organisation at this instance.
#[derive(Debug)]
struct OrganisationLimit {
    bucket: Bucket,
    retries: RetryBudget,
    lenders: Vec<(PeerAddress, Lender)>,
    window: Window,
}

// Counts requests by second, to decide how many tokens to borrow.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started_at: Time,
    current_count: u32,
    last_second_count: u32,
}

/// Another instance that holds a share of an organisation's rate.
#[derive(Clone, Debug)]
pub struct ShareHolder {
    /// Id and address of the instance.
    pub peer: PeerAddress,
    /// Whether it is in this instance's region.
    pub local: bool,
    /// Its allotment of the rate and burst.
    pub allotment: Allotment,
}

impl Limits {
    /// Takes one token from this instance's own share. Returns whether there was one.
    pub fn take_token(&self, organisation: &OrganisationName, now: Time) -> bool {
        self.with(organisation, now, |limit| {
            limit.window.count(now);
            limit.bucket.take(now)
        })
    }

    /// Lends up to `wanted` tokens to another instance. Returns the number lent and the number that remains.
    pub fn lend(&self, organisation: &OrganisationName, wanted: u32, now: Time) -> (u32, u32) {
        self.with(organisation, now, |limit| {
            let idle = limit.window.last_second_count == 0;
            let granted = limit.bucket.lend(wanted, idle, now);
            (granted, limit.bucket.whole_tokens(now))
        })
    }

    /// Calls `f` with the retry budget of an organisation, or with the one shared by requests without
    /// organisation.
    pub fn retry_budget<R>(
        &self,
        organisation: Option<&OrganisationName>,
        f: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        match organisation {
            Some(name) => self.with(name, Time::default(), |limit| f(&mut limit.retries)),
            None => f(&mut self.open_route_retries.lock()),
        }
    }

    /// Milliseconds until this instance's own share has a token again; `None` if it never will.
    pub fn next_token_ms(&self, organisation: &OrganisationName, now: Time) -> Option<u64> {
        let wait = self.with(organisation, now, |limit| limit.bucket.time_to_next_token(now))?;
        u64::try_from(wait.as_millis()).ok()
    }

    /// Sets the allotments of this instance and of the other holders for an organisation.
    pub fn set_allotments(
        &self,
        organisation: &Organisation,
        own: Allotment,
        others: Vec<ShareHolder>,
        now: Time,
    ) {
        self.with(&organisation.name, now, |limit| {
            limit.bucket.set_allotment(own, now);
            limit.lenders = others.into_iter().map(|h| limit.lender_of(h)).collect();
        });
    }

    /// Removes the state of organisations for which `keep` returns `false`.
    pub fn retain_organisations(&self, keep: impl Fn(&OrganisationName) -> bool) {
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

    // Keeps the remaining tokens and the time of the last loan request of a lender that is already known.
    fn lender_of(&self, holder: ShareHolder) -> (PeerAddress, Lender) {
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
        if now.since(self.started_at) >= LENGTH {
            self.last_second_count = self.current_count;
            self.current_count = 0;
            self.started_at = now;
        }
        self.current_count += 1;
    }
}
