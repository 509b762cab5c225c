//! State of hedged requests at one instance: credit and refusals of each service, recent times of each route.

use std::collections::HashMap;

use burdock_decide::hedge::{HedgeCredit, HedgeRefusal, RecentRefusals, RecentTimes};
use burdock_decide::time::Time;
use burdock_model::hash::stable_hash;
use burdock_model::hedging::HedgeLimit;
use burdock_model::ids::ServiceName;

use crate::observe::counters::{Counter, Counters};
use crate::shards::Sharded;

/// State of hedged requests at one instance. All of it is in memory; after a restart there is no credit.
#[derive(Debug, Default)]
pub struct HedgeState {
    services: Sharded<HashMap<ServiceName, ServiceHedging>>,
    times: Sharded<HashMap<TimesKey, RecentTimes>>,
}

/// Requests whose times are compared with each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TimesKey {
    /// Hash of the route's name, together with that of its service where names are unique in one only.
    pub route_hash: u64,
    /// Whether the backend server is unlikely to have the object in its cache.
    pub is_cold: bool,
    /// Whether the backend server was known to be slow.
    pub is_slow: bool,
}

#[derive(Debug, Default)]
struct ServiceHedging {
    credit: HedgeCredit,
    refusals: RecentRefusals,
}

impl HedgeState {
    /// Credits a service for a first attempt. Without a limit above zero nothing is kept for a service.
    pub fn record_first_attempt(&self, service: &ServiceName, limit: HedgeLimit, now: Time) {
        let mut shard = self.services.lock(service_hash(service));
        if limit.is_off() {
            shard.remove(service);
            return;
        }
        if !shard.contains_key(service) {
            shard.insert(service.clone(), ServiceHedging::default());
        }
        if let Some(hedging) = shard.get_mut(service) {
            hedging.credit.deposit(limit);
            hedging.refusals.record_attempt(now);
        }
    }

    /// Counts a request of a service that was refused for lack of capacity.
    pub fn record_refusal(&self, service: &ServiceName, now: Time) {
        if let Some(hedging) = self.services.lock(service_hash(service)).get_mut(service) {
            hedging.refusals.record_refusal(now);
        }
    }

    /// Returns the fraction of a service's recent attempts that were refused.
    #[must_use]
    pub fn refused_fraction(&self, service: &ServiceName, now: Time) -> f64 {
        let shard = self.services.lock(service_hash(service));
        shard.get(service).map_or(0.0, |hedging| hedging.refusals.fraction(now))
    }

    /// Returns whether a service's credit covers a second copy, see [`HedgeCredit::covers`].
    #[must_use]
    pub fn covers(&self, service: &ServiceName, is_late: bool) -> bool {
        let shard = self.services.lock(service_hash(service));
        shard.get(service).is_some_and(|hedging| hedging.credit.covers(is_late))
    }

    /// Takes the credit for a second copy if `withdraw_retry` takes its part of the retry budget. Returns
    /// `None` if there is no credit, else whether the retry budget allowed the copy.
    pub fn take(&self, service: &ServiceName, withdraw_retry: impl FnOnce() -> bool) -> Option<bool> {
        let mut shard = self.services.lock(service_hash(service));
        let credit = &mut shard.get_mut(service)?.credit;
        if !credit.take() {
            return None;
        }
        let is_withdrawn = withdraw_retry();
        if !is_withdrawn {
            credit.refund();
        }
        Some(is_withdrawn)
    }

    /// Records the time of a first attempt, or the time up to its cancellation.
    pub fn record_time(&self, key: TimesKey, ms: f64, now: Time) {
        let mut shard = self.times.lock(key.route_hash);
        if !shard.contains_key(&key)
            && let Some(times) = RecentTimes::new(now)
        {
            shard.insert(key, times);
        }
        if let Some(times) = shard.get_mut(&key) {
            times.record(ms, now);
        }
    }

    /// Returns a quantile of recent times in milliseconds, `None` if it is unknown.
    #[must_use]
    pub fn quantile_ms(&self, key: TimesKey, quantile: f64, now: Time) -> Option<f64> {
        self.times.lock(key.route_hash).get_mut(&key)?.quantile_ms(quantile, now)
    }
}

/// Counts a slow request that got no second copy, if the reason is one that operators can act on.
pub fn count_refusal(counters: &Counters, refusal: HedgeRefusal) {
    let counter = match refusal {
        HedgeRefusal::Limit => Counter::HedgesOverLimit,
        HedgeRefusal::RetryBudget => Counter::HedgesOverRetryBudget,
        HedgeRefusal::Pressure => Counter::HedgesUnderPressure,
        HedgeRefusal::NoBackend => Counter::HedgesWithoutBackend,
        _ => return,
    };
    counters.add(counter);
}

fn service_hash(service: &ServiceName) -> u64 {
    stable_hash(service.as_str().as_bytes(), 0)
}
