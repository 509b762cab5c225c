//! Requests that may not be repeated: the table of the keys this instance owns.

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

/// How long the outcome for a key is remembered.
pub const RETENTION: Duration = Duration::from_secs(3600);

/// Keys that one instance remembers; beyond that new ones are refused as not run.
const MAX_KEYS: usize = 400_000;

/// Bytes of answers that are kept to be given again; beyond that an outcome counts as unknown.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The table of keys that this instance owns or answers for.
#[derive(Debug, Default)]
pub struct OnceTable {
    shards: Sharded<HashMap<OnceKey, Held>>,
    keys: AtomicUsize,
    answer_bytes: AtomicUsize,
    taken_over: Mutex<HashSet<InstanceIncarnation>>,
}

#[derive(Debug)]
struct Held {
    record: KeyRecord<Arc<BufferedResponse>>,
    done: Arc<Notify>,
}

/// What an attempt at a key comes to.
#[derive(Debug)]
pub enum Begun {
    /// Run it, and report by the guard.
    Run(Reservation),
    /// Wait for this, then look again.
    Join(Arc<Notify>),
    /// Answer as before.
    Replay(Arc<BufferedResponse>),
}

/// The right to run a request for a key. Dropped without a report it stands for an unknown outcome.
#[derive(Debug)]
pub struct Reservation {
    node: Arc<Node>,
    key: OnceKey,
    reported: bool,
}

impl OnceTable {
    /// Looks at a key that this instance owns, and reserves it for the first attempt.
    ///
    /// # Errors
    /// [`ErrorKind::IdempotencyKeyReused`], [`ErrorKind::OwnerGone`] for an unknown outcome, and
    /// [`ErrorKind::Overloaded`] when the table is full.
    pub fn begin(node: &Arc<Node>, key: OnceKey, fingerprint: u64) -> Result<Begun> {
        let table = &node.once;
        let mut shard = table.shards.lock(shard_of(&key));
        let held = shard.get(&key);
        match decide_attempt(held.map(|h| &h.record), fingerprint) {
            AttemptDecision::Run => {}
            AttemptDecision::Join => {
                return Ok(Begun::Join(held.map(|h| Arc::clone(&h.done)).unwrap_or_default()));
            }
            AttemptDecision::Replay(answer) => return Ok(Begun::Replay(Arc::clone(answer))),
            AttemptDecision::Unknown => return Err(unknown_outcome()),
            AttemptDecision::Reused => return Err(Error::from(ErrorKind::IdempotencyKeyReused)),
        }
        if table.keys.load(Ordering::Relaxed) >= MAX_KEYS {
            return Err(Error::new(ErrorKind::Overloaded, "the table of idempotency keys is full"));
        }
        table.keys.fetch_add(1, Ordering::Relaxed);
        let record = KeyRecord { fingerprint, progress: RunProgress::Reserved, started_at: node.clock.now() };
        shard.insert(key, Held { record, done: Arc::default() });
        Ok(Begun::Run(Reservation { node: Arc::clone(node), key, reported: false }))
    }

    /// Looks at a key of an instance that left. Such keys are never run here.
    ///
    /// # Errors
    /// [`ErrorKind::OwnerGone`] when the outcome is unknown, [`ErrorKind::IdempotencyKeyReused`].
    pub fn replay(&self, key: OnceKey, fingerprint: u64) -> Result<Arc<BufferedResponse>> {
        let shard = self.shards.lock(shard_of(&key));
        match decide_attempt(shard.get(&key).map(|h| &h.record), fingerprint) {
            AttemptDecision::Replay(answer) => Ok(Arc::clone(answer)),
            AttemptDecision::Reused => Err(Error::from(ErrorKind::IdempotencyKeyReused)),
            AttemptDecision::Run | AttemptDecision::Join | AttemptDecision::Unknown => Err(unknown_outcome()),
        }
    }

    /// Whether this instance answers for a life that left.
    #[must_use]
    pub fn answers_for(&self, life: &InstanceIncarnation) -> bool {
        self.taken_over.lock().contains(life)
    }

    /// The lives that this instance answers for.
    #[must_use]
    pub fn taken_over(&self) -> Vec<InstanceIncarnation> {
        self.taken_over.lock().iter().cloned().collect()
    }

    /// Everything known, for a successor. Requests still at work count as unknown.
    #[must_use]
    pub fn export(&self, now: Time) -> Vec<HandoverRecord> {
        let mut records = Vec::new();
        for shard in self.shards.lock_each() {
            records.extend(shard.iter().map(|(key, held)| HandoverRecord {
                key: key.0,
                fingerprint: held.record.fingerprint,
                age_ms: u32::try_from(now.since(held.record.started_at).as_millis()).unwrap_or(u32::MAX),
                response: match &held.record.progress {
                    RunProgress::Finished(answer) => Some((**answer).clone()),
                    RunProgress::Reserved | RunProgress::Started | RunProgress::Unknown => None,
                },
            }));
        }
        records
    }

    /// Takes in what lives that left knew. A key that is known here already stays as it is.
    pub fn import(&self, left: Vec<InstanceIncarnation>, records: Vec<HandoverRecord>, now: Time) {
        for record in records {
            let progress = record.response.map_or(RunProgress::Unknown, |a| self.keep_answer(Arc::new(a)));
            let started_at = now - Duration::from_millis(u64::from(record.age_ms));
            let held = Held {
                record: KeyRecord { fingerprint: record.fingerprint, progress, started_at },
                done: Arc::default(),
            };
            let key = OnceKey(record.key);
            let mut shard = self.shards.lock(shard_of(&key));
            if let std::collections::hash_map::Entry::Vacant(place) = shard.entry(key) {
                place.insert(held);
                self.keys.fetch_add(1, Ordering::Relaxed);
            }
        }
        self.taken_over.lock().extend(left);
    }

    /// Forgets keys past their retention.
    pub fn sweep(&self, now: Time) {
        for mut shard in self.shards.lock_each() {
            shard.retain(|_, held| {
                let keep = now.since(held.record.started_at) < RETENTION;
                if !keep {
                    self.keys.fetch_sub(1, Ordering::Relaxed);
                    if let RunProgress::Finished(answer) = &held.record.progress {
                        self.answer_bytes.fetch_sub(answer.body.len(), Ordering::Relaxed);
                    }
                }
                keep
            });
        }
    }

    /// Keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.load(Ordering::Relaxed)
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn keep_answer(&self, answer: Arc<BufferedResponse>) -> RunProgress<Arc<BufferedResponse>> {
        let bytes = self.answer_bytes.fetch_add(answer.body.len(), Ordering::Relaxed) + answer.body.len();
        if bytes <= MAX_ANSWER_BYTES {
            return RunProgress::Finished(answer);
        }
        self.answer_bytes.fetch_sub(answer.body.len(), Ordering::Relaxed);
        RunProgress::Unknown
    }

    fn set(&self, key: OnceKey, progress: RunProgress<Arc<BufferedResponse>>) {
        let mut shard = self.shards.lock(shard_of(&key));
        if let Some(held) = shard.get_mut(&key) {
            held.record.progress = progress;
            held.done.notify_waiters();
        }
    }

    // The request was not run, so a resend may run.
    fn free(&self, key: OnceKey) {
        let mut shard = self.shards.lock(shard_of(&key));
        if let Some(held) = shard.remove(&key) {
            self.keys.fetch_sub(1, Ordering::Relaxed);
            held.done.notify_waiters();
        }
    }
}

impl Reservation {
    /// Reports how the request ended. Returns the answer as it is kept.
    pub fn report(mut self, result: Result<BufferedResponse>) -> Result<Arc<BufferedResponse>> {
        self.reported = true;
        let table = &self.node.once;
        match result {
            Ok(answer) => {
                let answer = Arc::new(answer);
                table.set(self.key, table.keep_answer(Arc::clone(&answer)));
                Ok(answer)
            }
            Err(e) => {
                match e.kind.answer().outcome {
                    Outcome::NotRun => table.free(self.key),
                    Outcome::Unknown => table.set(self.key, RunProgress::Unknown),
                }
                Err(e)
            }
        }
    }

    /// Notes that the request may be passed on from now.
    pub fn started(&self) {
        self.node.once.set(self.key, RunProgress::Started);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.reported {
            self.node.once.set(self.key, RunProgress::Unknown);
        }
    }
}

fn unknown_outcome() -> Error {
    Error::new(ErrorKind::OwnerGone, "whether an earlier attempt ran is unknown; this attempt did not run")
        .hint("find out at the service whether it took effect; a new idempotency key runs it anew")
}

fn shard_of(key: &OnceKey) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&key.0[..8]);
    u64::from_le_bytes(first)
}
