//! Requests that may run only once: the table of idempotency keys that this instance owns.

pub mod claims;
pub mod hand_over;
pub mod handle;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use burdock_decide::once::{AttemptDecision, KeyRecord, OnceKey, RunProgress, decide_attempt};
use burdock_decide::time::Time;
use burdock_model::error::{Error, ErrorKind, Outcome, Result};
use burdock_model::ids::InstanceIncarnation;
use burdock_wire::messages::{BufferedResponse, HandoverRecord};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::node::Node;
use crate::shards::Sharded;

/// Time for which the outcome for an idempotency key is remembered.
pub const OUTCOME_RETENTION: Duration = Duration::from_secs(3600);

/// Maximum number of keys in the table. Beyond it, requests with a new key are refused as not run.
const MAX_KEYS: usize = 400_000;

/// Maximum total size of retained answers in bytes. Beyond it, an outcome is recorded as unknown.
const MAX_RETAINED_ANSWER_BYTES: usize = 64 << 20;

/// Idempotency keys that this instance owns, or that it answers for as a successor.
#[derive(Debug, Default)]
pub struct OnceTable {
    shards: Sharded<HashMap<OnceKey, KeyEntry>>,
    keys: AtomicUsize,
    answer_bytes: AtomicUsize,
    taken_over: Mutex<HashSet<InstanceIncarnation>>,
}

#[derive(Debug)]
struct KeyEntry {
    record: KeyRecord<Arc<BufferedResponse>>,
    done: Arc<Notify>,
}

/// What to do with an attempt to run a request under an idempotency key.
#[derive(Debug)]
pub enum BeginOutcome {
    /// Run the request, and complete the reservation with its result.
    Run(Reservation),
    /// Another attempt is in progress: wait for this notification, then begin again.
    Join(Arc<Notify>),
    /// Return the retained answer.
    Replay(Arc<BufferedResponse>),
}

/// Exclusive right to run the request of a key. If it is dropped before completion, the outcome is unknown.
#[derive(Debug)]
pub struct Reservation {
    node: Arc<Node>,
    key: OnceKey,
    completed: bool,
}

impl OnceTable {
    /// Begins an attempt under a key that this instance owns, and reserves the key for the first one.
    ///
    /// # Errors
    /// [`ErrorKind::IdempotencyKeyReused`], [`ErrorKind::OwnerGone`] for an unknown outcome, and
    /// [`ErrorKind::Overloaded`] if the table is full.
    pub fn begin(node: &Arc<Node>, key: OnceKey, fingerprint: u64) -> Result<BeginOutcome> {
        let table = &node.once;
        let mut shard = table.shards.lock(shard_of(&key));
        let entry = shard.get(&key);
        match decide_attempt(entry.map(|e| &e.record), fingerprint) {
            AttemptDecision::Run => {}
            AttemptDecision::Join => {
                return Ok(BeginOutcome::Join(entry.map(|e| Arc::clone(&e.done)).unwrap_or_default()));
            }
            AttemptDecision::Replay(answer) => return Ok(BeginOutcome::Replay(Arc::clone(answer))),
            AttemptDecision::Unknown => return Err(unknown_outcome()),
            AttemptDecision::Reused => return Err(Error::from(ErrorKind::IdempotencyKeyReused)),
        }
        if table.keys.load(Ordering::Relaxed) >= MAX_KEYS {
            return Err(Error::new(
                ErrorKind::Overloaded,
                "the table of idempotency keys is full, so the request was not run",
            ));
        }
        table.keys.fetch_add(1, Ordering::Relaxed);
        let record = KeyRecord { fingerprint, progress: RunProgress::Reserved, started_at: node.clock.now() };
        shard.insert(key, KeyEntry { record, done: Arc::default() });
        Ok(BeginOutcome::Run(Reservation { node: Arc::clone(node), key, completed: false }))
    }

    /// Returns the retained answer for a key of a departed instance. Requests with such keys never run here.
    ///
    /// # Errors
    /// [`ErrorKind::OwnerGone`] if the outcome is unknown, [`ErrorKind::IdempotencyKeyReused`] if the key was
    /// used for another request.
    pub fn replay(&self, key: OnceKey, fingerprint: u64) -> Result<Arc<BufferedResponse>> {
        let shard = self.shards.lock(shard_of(&key));
        match decide_attempt(shard.get(&key).map(|e| &e.record), fingerprint) {
            AttemptDecision::Replay(answer) => Ok(Arc::clone(answer)),
            AttemptDecision::Reused => Err(Error::from(ErrorKind::IdempotencyKeyReused)),
            AttemptDecision::Run | AttemptDecision::Join | AttemptDecision::Unknown => Err(unknown_outcome()),
        }
    }

    /// Returns whether this instance answers for a departed incarnation.
    #[must_use]
    pub fn answers_for(&self, incarnation: &InstanceIncarnation) -> bool {
        self.taken_over.lock().contains(incarnation)
    }

    /// Returns the departed incarnations that this instance answers for.
    #[must_use]
    pub fn taken_over(&self) -> Vec<InstanceIncarnation> {
        self.taken_over.lock().iter().cloned().collect()
    }

    /// Exports all keys for a successor. Outcomes of requests in flight are exported as unknown.
    #[must_use]
    pub fn export(&self, now: Time) -> Vec<HandoverRecord> {
        let mut records = Vec::new();
        for shard in self.shards.lock_each() {
            records.extend(shard.iter().map(|(key, entry)| HandoverRecord {
                key: key.0,
                fingerprint: entry.record.fingerprint,
                age_ms: u32::try_from(now.since(entry.record.started_at).as_millis()).unwrap_or(u32::MAX),
                response: match &entry.record.progress {
                    RunProgress::Finished(answer) => Some((**answer).clone()),
                    RunProgress::Reserved | RunProgress::Started | RunProgress::Unknown => None,
                },
            }));
        }
        records
    }

    /// Imports the keys of departed incarnations. Keys that are already known here stay unchanged.
    pub fn import(&self, departed: Vec<InstanceIncarnation>, records: Vec<HandoverRecord>, now: Time) {
        for record in records {
            let progress = record.response.map_or(RunProgress::Unknown, |a| self.retain_answer(Arc::new(a)));
            let started_at = now - Duration::from_millis(u64::from(record.age_ms));
            let entry = KeyEntry {
                record: KeyRecord { fingerprint: record.fingerprint, progress, started_at },
                done: Arc::default(),
            };
            let key = OnceKey(record.key);
            let mut shard = self.shards.lock(shard_of(&key));
            if let std::collections::hash_map::Entry::Vacant(vacant) = shard.entry(key) {
                vacant.insert(entry);
                self.keys.fetch_add(1, Ordering::Relaxed);
            }
        }
        self.taken_over.lock().extend(departed);
    }

    /// Removes keys past their retention.
    pub fn remove_expired(&self, now: Time) {
        for mut shard in self.shards.lock_each() {
            shard.retain(|_, entry| {
                let keep = now.since(entry.record.started_at) < OUTCOME_RETENTION;
                if !keep {
                    self.keys.fetch_sub(1, Ordering::Relaxed);
                    if let RunProgress::Finished(answer) = &entry.record.progress {
                        self.answer_bytes.fetch_sub(answer.body.len(), Ordering::Relaxed);
                    }
                }
                keep
            });
        }
    }

    /// Returns the number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.load(Ordering::Relaxed)
    }

    /// Returns whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn retain_answer(&self, answer: Arc<BufferedResponse>) -> RunProgress<Arc<BufferedResponse>> {
        let bytes = self.answer_bytes.fetch_add(answer.body.len(), Ordering::Relaxed) + answer.body.len();
        if bytes <= MAX_RETAINED_ANSWER_BYTES {
            return RunProgress::Finished(answer);
        }
        self.answer_bytes.fetch_sub(answer.body.len(), Ordering::Relaxed);
        RunProgress::Unknown
    }

    fn set_progress(&self, key: OnceKey, progress: RunProgress<Arc<BufferedResponse>>) {
        let mut shard = self.shards.lock(shard_of(&key));
        if let Some(entry) = shard.get_mut(&key) {
            entry.record.progress = progress;
            entry.done.notify_waiters();
        }
    }

    // Removes the key of a request that was not run, so that a resend may run.
    fn release(&self, key: OnceKey) {
        let mut shard = self.shards.lock(shard_of(&key));
        if let Some(entry) = shard.remove(&key) {
            self.keys.fetch_sub(1, Ordering::Relaxed);
            entry.done.notify_waiters();
        }
    }
}

impl Reservation {
    /// Records the result of the request. Returns the answer as it is retained.
    pub fn complete(mut self, result: Result<BufferedResponse>) -> Result<Arc<BufferedResponse>> {
        self.completed = true;
        let table = &self.node.once;
        match result {
            Ok(answer) => {
                let answer = Arc::new(answer);
                table.set_progress(self.key, table.retain_answer(Arc::clone(&answer)));
                Ok(answer)
            }
            Err(e) => {
                match e.kind.answer().outcome {
                    Outcome::NotRun => table.release(self.key),
                    Outcome::Unknown => table.set_progress(self.key, RunProgress::Unknown),
                }
                Err(e)
            }
        }
    }

    /// Records that the request may have reached a backend server from now on.
    pub fn mark_started(&self) {
        self.node.once.set_progress(self.key, RunProgress::Started);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.completed {
            self.node.once.set_progress(self.key, RunProgress::Unknown);
        }
    }
}

fn unknown_outcome() -> Error {
    Error::new(ErrorKind::OwnerGone, "whether an earlier attempt ran is unknown; this attempt did not run")
        .hint("check at the service whether it took effect; a new idempotency key runs it again")
}

fn shard_of(key: &OnceKey) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&key.0[..8]);
    u64::from_le_bytes(first)
}
