//! Backend servers whose entries were removed, and what is known of those whose entries come back.

use std::collections::HashMap;
use std::time::Duration;

use burdock_decide::departure::{Departure, ReturnVerdict};
use burdock_decide::time::Time;
use burdock_model::ids::BackendId;
use burdock_model::site::RegisteredBackend;
use burdock_wire::messages::ConfirmedRun;

use crate::site::backend::run_hash;

/// Time for which the last report of a removed backend server is kept, far above the age of a copy that the store
/// comes back from and the delay with which the store may execute a report.
const DEPARTURE_TTL: Duration = Duration::from_mins(1);

/// Maximum number of removed backend servers whose last reports are kept.
const MAX_DEPARTURES: usize = 4096;

/// Time for which other instances are told of a confirmed return: a few reports, of which some may be lost.
const CONFIRMED_RELAY_TIME: Duration = Duration::from_millis(3000);

/// Departures and confirmed returns of backend servers.
#[derive(Debug, Default)]
pub struct Returns {
    departures: HashMap<BackendId, Departure>,
    // Runs that a status check confirmed, by their hash.
    confirmed: HashMap<u64, Confirmation>,
    // When all entries were last read. Removals before that may be unknown.
    loaded_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Confirmation {
    // Store revision of the entry that was checked.
    revision: u64,
    at: Time,
}

impl Returns {
    /// Records the last report of a backend server whose entry is gone.
    pub fn record_departure(&mut self, last: &RegisteredBackend, sequence: u64, now: Time) {
        if self.departures.len() < MAX_DEPARTURES || self.departures.contains_key(&last.id) {
            let departure = Departure { started_ms: last.started_ms, sequence, at: now };
            self.departures.insert(last.id.clone(), departure);
        }
    }

    /// Records that all entries were read.
    pub const fn record_load(&mut self, now: Time) {
        self.loaded_at = Some(now);
    }

    /// Returns whether all entries were read at least once.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.loaded_at.is_some()
    }

    /// Forgets the confirmations of entries whose revisions are given out again.
    pub fn begin_era(&mut self) {
        self.confirmed.clear();
    }

    /// Judges an entry, written at `revision`, of a backend server that has none at this instance.
    #[must_use]
    pub fn judge(
        &self,
        registered: &RegisteredBackend,
        revision: u64,
        report_interval: Duration,
        now: Time,
    ) -> ReturnVerdict {
        let Some(departure) = self.departure(registered) else {
            return ReturnVerdict::Alive;
        };
        let verdict = departure.judge(registered.started_ms, registered.sequence, report_interval, now);
        match verdict {
            ReturnVerdict::Unconfirmed { .. } if self.is_confirmed(registered, revision) => {
                ReturnVerdict::Alive
            }
            verdict => verdict,
        }
    }

    /// Records that a status check found a run of a backend server alive, after its entry of `revision` had been
    /// written.
    pub fn record_confirmed(&mut self, run_hash: u64, revision: u64, now: Time) {
        if self.confirmed.get(&run_hash).is_none_or(|known| known.revision < revision) {
            self.confirmed.insert(run_hash, Confirmation { revision, at: now });
        }
    }

    /// Returns the runs that any instance confirmed recently.
    #[must_use]
    pub fn recently_confirmed(&self, now: Time) -> Vec<ConfirmedRun> {
        let runs = self.confirmed.iter().map(|(run_hash, c)| (*run_hash, c.revision, now.since(c.at)));
        let recent = runs.filter(|(_, _, age)| *age < CONFIRMED_RELAY_TIME);
        let age_ms = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        recent
            .map(|(run_hash, revision, age)| ConfirmedRun { run_hash, revision, age_ms: age_ms(age) })
            .collect()
    }

    /// Removes what is too old to matter.
    pub fn remove_stale(&mut self, now: Time) {
        self.departures.retain(|_, departure| now.since(departure.at) < DEPARTURE_TTL);
        self.confirmed.retain(|_, confirmation| now.since(confirmation.at) < DEPARTURE_TTL);
    }

    // An instance that has just read all entries may have missed the removal of one that it does not know. The first
    // report of a process needs none.
    fn departure(&self, registered: &RegisteredBackend) -> Option<Departure> {
        const FIRST_REPORT: u64 = 1;
        let is_later_report = registered.sequence > FIRST_REPORT;
        let assumed = self.loaded_at.filter(|_| is_later_report).map(|at| Departure {
            started_ms: registered.started_ms,
            sequence: FIRST_REPORT,
            at,
        });
        self.departures.get(&registered.id).copied().or(assumed)
    }

    fn is_confirmed(&self, registered: &RegisteredBackend, revision: u64) -> bool {
        let run = run_hash(&registered.id, registered.started_ms);
        self.confirmed.get(&run).is_some_and(|known| known.revision >= revision)
    }
}

/// State of an entry that came back and may be that of a backend server which has left.
#[derive(Clone, Copy, Debug)]
pub struct Unconfirmed {
    /// Store revision at which the entry came back.
    pub revision: u64,
    /// Time from which the entry counts as that of a live backend server if it is still there.
    pub until: Time,
    /// Time of the next status check.
    pub next_check_at: Time,
}

impl Unconfirmed {
    /// Time from one status check to the next.
    const CHECK_INTERVAL: Duration = Duration::from_secs(1);

    /// Returns the revision of the entry if a status check is due, and schedules the next one.
    pub fn take_due_check(&mut self, now: Time) -> Option<u64> {
        if now < self.next_check_at {
            return None;
        }
        self.next_check_at = now + Self::CHECK_INTERVAL;
        Some(self.revision)
    }
}
