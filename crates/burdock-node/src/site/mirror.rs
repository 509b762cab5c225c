//! This instance's mirror of the store, applied in the order of revisions from the store or from other
//! instances.

use std::collections::VecDeque;
use std::time::Duration;

use burdock_decide::time::Time;
use burdock_platform::kv::{Record, Records};
use burdock_wire::messages::{StoreDelta, StoreRecord};
use flate2::Compression;
use parking_lot::Mutex;

use crate::compression::{compress, decompress};

/// Maximum number of changes kept for other instances. An instance that lacks more reads the store itself.
const MAX_LOG_CHANGES: usize = 512;

/// Maximum size of the kept changes, in bytes of keys and values.
const MAX_LOG_BYTES: usize = 1 << 20;

/// Size above which values are compressed for relaying. Below it compression costs more than it saves.
const COMPRESSION_THRESHOLD_BYTES: usize = 4 << 10;

/// Maximum size of a value after decompression, twice the store's own limit.
const MAX_VALUE_BYTES: u64 = 2 << 20;

/// Maximum age of the store's confirmation up to which an instance relies on its hub's relays and needs no
/// watch of its own. It covers a hub's long poll, a round trip to the store and two reports, one of them
/// between regions.
pub const MAX_RELAY_AGE: Duration = Duration::from_millis(1700);

/// Age of the store's confirmation from which a hub asks other hubs for theirs. A working watch confirms more
/// often, and the answers are still within [`MAX_RELAY_AGE`] when the hub has relayed them.
const HUB_QUERY_AGE: Duration = Duration::from_millis(900);

/// The store's revision known to this instance, and a log of the newest changes.
#[derive(Debug, Default)]
pub struct StoreMirror {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    revision: Option<u64>,
    // The log holds every change after this revision.
    log_from: u64,
    log: VecDeque<StoreRecord>,
    log_bytes: usize,
    confirmed_at: Option<Time>,
}

impl StoreMirror {
    /// Returns the revision up to which all changes are applied; `None` before the first read.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.state.lock().revision
    }

    /// Returns the time of the store's newest confirmation of this state.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Time> {
        self.state.lock().confirmed_at
    }

    /// Returns whether the store confirmed this state within [`MAX_RELAY_AGE`].
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.confirmed_at().is_some_and(|at| now.since(at) < MAX_RELAY_AGE)
    }

    /// Returns whether the store's confirmation is overdue, so that a hub should ask other hubs for theirs.
    #[must_use]
    pub fn is_overdue(&self, now: Time) -> bool {
        self.confirmed_at().is_none_or(|at| now.since(at) >= HUB_QUERY_AGE)
    }

    /// Replaces the state by a full read of the store. `apply` runs under the lock, before any relay.
    pub fn apply_snapshot(&self, records: &Records, confirmed_at: Time, apply: impl FnOnce(&[Record])) {
        let mut state = self.state.lock();
        apply(&records.records);
        // A read that began before a newer change arrived does not revert that change.
        let revision = state.revision.unwrap_or(0).max(records.revision);
        *state = State {
            revision: Some(revision),
            log_from: revision,
            confirmed_at: Some(confirmed_at),
            ..State::default()
        };
    }

    /// Applies a complete list of changes after revision `from`. Returns `false` when it would leave a gap.
    pub fn apply_changes(
        &self,
        from: u64,
        records: Records,
        confirmed_at: Time,
        apply: impl FnOnce(&[Record]),
    ) -> bool {
        let mut state = self.state.lock();
        let Some(known) = state.revision.filter(|known| *known >= from) else {
            return false;
        };
        let new_records: Vec<Record> = records.records.into_iter().filter(|r| r.revision > known).collect();
        apply(&new_records);
        for record in new_records {
            state.append_to_log(record);
        }
        state.revision = Some(known.max(records.revision));
        state.confirmed_at = state.confirmed_at.max(Some(confirmed_at));
        true
    }

    /// Resets the revision, so that everything is read again.
    pub fn invalidate(&self) {
        self.state.lock().revision = None;
    }

    /// Returns the changes after a revision, for an instance that is at that revision.
    #[must_use]
    pub fn changes_since(&self, revision: u64, now: Time) -> StoreDelta {
        let state = self.state.lock();
        let complete = state.revision.is_some() && revision >= state.log_from;
        let newer = state.log.iter().filter(|r| complete && r.revision > revision);
        let age = state.confirmed_at.map(|at| now.since(at).as_millis());
        StoreDelta {
            revision: state.revision.unwrap_or(0),
            changes: newer.cloned().collect(),
            is_complete: complete,
            confirmed_age_ms: age.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX - 1)),
        }
    }
}

impl State {
    fn append_to_log(&mut self, record: Record) {
        let record = pack_record(record);
        self.log_bytes += record_bytes(&record);
        self.log.push_back(record);
        while self.log.len() > MAX_LOG_CHANGES || self.log_bytes > MAX_LOG_BYTES {
            let Some(removed) = self.log.pop_front() else {
                return;
            };
            self.log_bytes -= record_bytes(&removed);
            self.log_from = removed.revision;
        }
    }
}

/// Decompresses the records of another instance's delta.
///
/// # Errors
/// When a value can't be decompressed.
pub fn unpack_records(delta: StoreDelta) -> std::io::Result<Records> {
    let records = delta.changes.into_iter().map(unpack_record).collect::<std::io::Result<_>>()?;
    Ok(Records { records, revision: delta.revision })
}

// Compresses large values once for all receivers, since a large configuration goes to every instance of a
// region over one machine's link.
fn pack_record(record: Record) -> StoreRecord {
    let Record { key, value, revision } = record;
    let large = value.as_ref().filter(|value| value.len() > COMPRESSION_THRESHOLD_BYTES);
    match large.and_then(|value| compress(value, Compression::fast()).ok()) {
        Some(packed) => StoreRecord { key, value: Some(packed), is_compressed: true, revision },
        None => StoreRecord { key, value, is_compressed: false, revision },
    }
}

fn unpack_record(record: StoreRecord) -> std::io::Result<Record> {
    let value = match record.value {
        Some(packed) if record.is_compressed => Some(decompress(&packed, MAX_VALUE_BYTES)?),
        value => value,
    };
    Ok(Record { key: record.key, value, revision: record.revision })
}

fn record_bytes(record: &StoreRecord) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Vec::len)
}
