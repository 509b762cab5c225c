//! Quarantine of requests that crash backend servers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use burdock_decide::quarantine::{QuarantineDecision, Strikes};
use burdock_decide::time::Time;
use burdock_model::fleet::Strike;
use burdock_model::ids::BackendId;

use crate::shards::Sharded;

/// Maximum number of strikes in one message to another instance.
const MAX_STRIKES_PER_MESSAGE: usize = 32;

/// Strikes against requests, by fingerprint of the request.
#[derive(Debug, Default)]
pub struct Quarantine {
    strikes: Sharded<HashMap<u64, Strikes>>,
    // Lets the usual case, in which no request has ever crashed a backend server, pass without a lock.
    has_strikes: AtomicBool,
}

impl Quarantine {
    /// Returns how a request may run, where crashes of `refuse_after` backend servers refuse it.
    #[must_use]
    pub fn decision(&self, fingerprint: u64, refuse_after: usize, now: Time) -> QuarantineDecision {
        if !self.has_strikes.load(Ordering::Relaxed) {
            return QuarantineDecision::Run;
        }
        self.strikes
            .lock(fingerprint)
            .get(&fingerprint)
            .map_or(QuarantineDecision::Run, |s| s.decision(refuse_after, now))
    }

    /// Records that a backend server crashed while it ran a request. Returns whether that was not known yet.
    pub fn record_crash(&self, fingerprint: u64, backend: &BackendId, at: Time) -> bool {
        self.has_strikes.store(true, Ordering::Relaxed);
        self.strikes.lock(fingerprint).entry(fingerprint).or_default().record_crash(backend, at)
    }

    /// Records that a suspect request ran without a crash.
    pub fn clear(&self, fingerprint: u64, now: Time) {
        if !self.has_strikes.load(Ordering::Relaxed) {
            return;
        }
        if let Some(strikes) = self.strikes.lock(fingerprint).get_mut(&fingerprint) {
            strikes.clear(now);
        }
    }

    /// Returns the newest strikes, to be sent to other instances.
    #[must_use]
    pub fn recent_strikes(&self, now: Time) -> Vec<Strike> {
        let mut recent = Vec::new();
        for shard in self.strikes.lock_each() {
            for (fingerprint, strikes) in shard.iter().filter(|(_, s)| !s.is_stale(now)) {
                let age_ms =
                    u32::try_from(now.since(strikes.last_event_at()).as_millis()).unwrap_or(u32::MAX);
                recent.extend(strikes.crashed_backends().map(|backend| Strike {
                    fingerprint: *fingerprint,
                    backend: backend.clone(),
                    age_ms,
                }));
            }
        }
        recent.sort_unstable_by_key(|s| s.age_ms);
        recent.truncate(MAX_STRIKES_PER_MESSAGE);
        recent
    }

    /// Merges strikes from another instance. Returns how many were not known yet.
    pub fn merge_strikes(&self, strikes: &[Strike], now: Time) -> usize {
        let is_new = |s: &&Strike| {
            let at = now - Duration::from_millis(u64::from(s.age_ms));
            self.record_crash(s.fingerprint, &s.backend, at)
        };
        strikes.iter().filter(is_new).count()
    }

    /// Removes strikes that have become stale.
    pub fn remove_stale(&self, now: Time) {
        for mut shard in self.strikes.lock_each() {
            shard.retain(|_, strikes| !strikes.is_stale(now));
        }
    }
}
