//! What is held against requests that crash backend servers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use burdock_decide::quarantine::{QuarantineDecision, Strikes};
use burdock_decide::time::Time;
use burdock_model::fleet::Strike;
use burdock_model::ids::BackendId;

use crate::shards::Sharded;

/// Strikes in one message to another instance.
const MAX_TOLD: usize = 32;

/// Strikes of all requests, by fingerprint.
#[derive(Debug, Default)]
pub struct Quarantine {
    strikes: Sharded<HashMap<u64, Strikes>>,
    any: AtomicBool,
}

impl Quarantine {
    /// How a request is to be run, if so many crashes are enough to refuse it.
    #[must_use]
    pub fn verdict(&self, fingerprint: u64, enough: usize, now: Time) -> QuarantineDecision {
        if !self.any.load(Ordering::Relaxed) {
            return QuarantineDecision::Run;
        }
        self.strikes
            .lock(fingerprint)
            .get(&fingerprint)
            .map_or(QuarantineDecision::Run, |s| s.decision(enough, now))
    }

    /// Notes a crash. Returns whether it was news.
    pub fn crashed(&self, fingerprint: u64, backend: &BackendId, at: Time) -> bool {
        self.any.store(true, Ordering::Relaxed);
        self.strikes.lock(fingerprint).entry(fingerprint).or_default().record_crash(backend, at)
    }

    /// A suspect ran and nothing crashed.
    pub fn cleared(&self, fingerprint: u64, now: Time) {
        if !self.any.load(Ordering::Relaxed) {
            return;
        }
        if let Some(strikes) = self.strikes.lock(fingerprint).get_mut(&fingerprint) {
            strikes.clear(now);
        }
    }

    /// The newest strikes, for other instances.
    #[must_use]
    pub fn told(&self, now: Time) -> Vec<Strike> {
        let mut told = Vec::new();
        for shard in self.strikes.lock_each() {
            for (fingerprint, strikes) in shard.iter().filter(|(_, s)| !s.is_stale(now)) {
                let age_ms =
                    u32::try_from(now.since(strikes.last_event_at()).as_millis()).unwrap_or(u32::MAX);
                told.extend(strikes.crashed_backends().map(|backend| Strike {
                    fingerprint: *fingerprint,
                    backend: backend.clone(),
                    age_ms,
                }));
            }
        }
        told.sort_unstable_by_key(|s| s.age_ms);
        told.truncate(MAX_TOLD);
        told
    }

    /// Takes in strikes from another instance. Returns how many were news.
    pub fn heard(&self, told: &[Strike], now: Time) -> usize {
        let news = |s: &&Strike| {
            let at = now - Duration::from_millis(u64::from(s.age_ms));
            self.crashed(s.fingerprint, &s.backend, at)
        };
        told.iter().filter(news).count()
    }

    /// Forgets what is too old to matter.
    pub fn sweep(&self, now: Time) {
        for mut shard in self.strikes.lock_each() {
            shard.retain(|_, strikes| !strikes.is_stale(now));
        }
    }
}
