//! What is held against requests that crash backend servers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use burdock_decide::quarantine::{Strikes, Verdict};
use burdock_decide::time::Time;
use burdock_model::fleet::Strike;
use burdock_model::ids::BackendId;

use crate::shards::Sharded;

/// Strikes in one message to another instance.
const MAX_TOLD: usize = 32;

/// Strikes of all requests, by fingerprint.
#[derive(Debug, Default)]
pub struct Quarantine {
    strikes: Sharded<HashMap<u64, (Strikes, Time)>>,
    any: AtomicBool,
}

impl Quarantine {
    /// How a request is to be run.
    #[must_use]
    pub fn verdict(&self, fingerprint: u64, now: Time) -> Verdict {
        if !self.any.load(Ordering::Relaxed) {
            return Verdict::Run;
        }
        self.strikes.lock(fingerprint).get(&fingerprint).map_or(Verdict::Run, |(s, _)| s.verdict(now))
    }

    /// Notes a crash. Returns whether it was news.
    pub fn crashed(&self, fingerprint: u64, backend: &BackendId, at: Time) -> bool {
        self.any.store(true, Ordering::Relaxed);
        let mut shard = self.strikes.lock(fingerprint);
        let (strikes, last) = shard.entry(fingerprint).or_default();
        *last = (*last).max(at);
        strikes.crashed(backend, at)
    }

    /// A suspect ran alone and nothing crashed.
    pub fn cleared(&self, fingerprint: u64) {
        self.strikes.lock(fingerprint).remove(&fingerprint);
    }

    /// The newest strikes, for other instances.
    #[must_use]
    pub fn told(&self, now: Time) -> Vec<Strike> {
        let mut told = Vec::new();
        for shard in self.strikes.each() {
            for (fingerprint, (strikes, at)) in shard.iter().filter(|(_, (s, _))| !s.is_stale(now)) {
                let age_ms = u32::try_from(now.since(*at).as_millis()).unwrap_or(u32::MAX);
                told.extend(strikes.backends().map(|backend| Strike {
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
        for mut shard in self.strikes.each() {
            shard.retain(|_, (strikes, _)| !strikes.is_stale(now));
        }
    }
}
