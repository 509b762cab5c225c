//! What is known of the pace of backend servers, from their own statements and those told by other instances.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use burdock_decide::pace::{PaceStatement, PhaseLength, expected_pace, max_age};
use burdock_decide::time::Time;
use burdock_wire::messages::StatedPace;
use parking_lot::Mutex;

/// Change of the learned length, as a factor, from which it is logged again.
const LOGGED_CHANGE: f64 = 1.25;

/// Length of slow phases, learned from all backend servers.
#[derive(Debug)]
pub struct LearnedPhases {
    state: Mutex<LearnedState>,
    // The mean in microseconds, which each placement reads.
    mean_us: AtomicU64,
}

#[derive(Debug, Default)]
struct LearnedState {
    length: PhaseLength,
    logged_s: f64,
}

impl Default for LearnedPhases {
    fn default() -> Self {
        let phases = Self { state: Mutex::default(), mean_us: AtomicU64::new(0) };
        phases.set_mean(PhaseLength::default().mean());
        phases
    }
}

impl LearnedPhases {
    /// Returns the mean length of a phase.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us.load(Ordering::Relaxed))
    }

    fn record(&self, earlier: PaceStatement, later: PaceStatement) {
        if earlier.is_usual() {
            return;
        }
        let mut state = self.state.lock();
        state.length.record(earlier, later);
        let mean = state.length.mean();
        let change = mean.as_secs_f64() / state.logged_s;
        if !(1.0 / LOGGED_CHANGE..LOGGED_CHANGE).contains(&change) {
            state.logged_s = mean.as_secs_f64();
            log::info!(mean_ms:? = mean.as_millis(); "learned length of phases in which backend servers are slow");
        }
        drop(state);
        self.set_mean(mean);
    }

    fn set_mean(&self, mean: Duration) {
        self.mean_us.store(u64::try_from(mean.as_micros()).unwrap_or(u64::MAX), Ordering::Relaxed);
    }
}

/// Pace of one backend server.
#[derive(Debug)]
pub struct BackendPace {
    phases: Arc<LearnedPhases>,
    newest: Option<PaceStatement>,
    // The newest statement of the backend server to this instance, if others have to know it.
    to_report: Option<PaceStatement>,
}

impl BackendPace {
    /// Creates the state of a backend server that has stated nothing.
    #[must_use]
    pub const fn new(phases: Arc<LearnedPhases>) -> Self {
        Self { phases, newest: None, to_report: None }
    }

    /// Records a statement of the backend server to this instance.
    pub fn record_own(&mut self, factor: f64, now: Time) {
        let stated = PaceStatement { factor, at: now };
        // That it is as fast as usual is news only where it was slow.
        let was_usual = self.newest.is_none_or(|known| known.is_usual() || self.is_forgotten(&known, now));
        let is_again = self.to_report.is_some_and(|reported| !reported.is_usual());
        self.to_report = (!stated.is_usual() || !was_usual || is_again).then_some(stated);
        self.record(stated);
    }

    /// Records a statement that another instance told.
    pub fn record_told(&mut self, factor: f64, at: Time) {
        self.record(PaceStatement { factor, at });
    }

    /// Returns the time that work is expected to take now, relative to the usual time.
    #[must_use]
    pub fn expected(&self, now: Time) -> f64 {
        expected_pace(self.newest.as_ref(), self.phases.mean(), now)
    }

    /// Returns what others have to know, until it is too old to say anything.
    #[must_use]
    pub fn reported(&self, backend_hash: u64, now: Time) -> Option<StatedPace> {
        let stated = self.to_report.filter(|stated| !self.is_forgotten(stated, now))?;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
        let percent = (stated.factor * 100.0).round() as u32;
        let age_ms = u32::try_from(now.since(stated.at).as_millis()).unwrap_or(u32::MAX);
        Some(StatedPace { backend_hash, percent, age_ms })
    }

    fn is_forgotten(&self, stated: &PaceStatement, now: Time) -> bool {
        now.since(stated.at) >= max_age(self.phases.mean())
    }

    fn record(&mut self, stated: PaceStatement) {
        if !stated.replaces(self.newest.as_ref()) {
            return;
        }
        if let Some(known) = self.newest.replace(stated) {
            self.phases.record(known, stated);
        }
    }
}

/// Returns the newest statement on each backend server, from lists that came the given time ago.
#[must_use]
pub fn newest_paces<'a>(lists: impl Iterator<Item = (Duration, &'a [StatedPace])>) -> Vec<StatedPace> {
    let mut newest: HashMap<u64, StatedPace> = HashMap::new();
    for (elapsed, paces) in lists {
        let elapsed_ms = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        for pace in paces.iter().filter(|pace| pace.percent > 0) {
            let pace = StatedPace { age_ms: pace.age_ms.saturating_add(elapsed_ms), ..*pace };
            let known = newest.entry(pace.backend_hash).or_insert(pace);
            if pace.age_ms < known.age_ms {
                *known = pace;
            }
        }
    }
    newest.into_values().collect()
}
