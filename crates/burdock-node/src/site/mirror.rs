//! This instance's mirror of the store, applied in the order of revisions from the store or from other
//! instances, and relayed to others.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

pub use burdock_decide::relay::MAX_RELAY_AGE;
use burdock_decide::time::Time;
use burdock_platform::kv::{Record, Records};
use burdock_wire::messages::{StoreDelta, StoreRecord, decode_records, encode_records};
use flate2::Compression;
use parking_lot::Mutex;

use crate::compression::{compress, decompress};

/// Maximum number of deletions kept for other instances. One that lacks more gets a snapshot.
const MAX_DELETIONS: usize = 1024;

/// Size above which a single value is kept compressed.
const COMPRESSION_THRESHOLD_BYTES: usize = 4 << 10;

/// Size of changes from which they are compressed together. Entries resemble each other.
const PACK_THRESHOLD_BYTES: usize = 600;

/// Maximum size of a value after decompression, twice the store's own limit.
const MAX_VALUE_BYTES: u64 = 2 << 20;

/// Maximum size of packed changes after decompression.
const MAX_PACKED_BYTES: u64 = 24 << 20;

/// Time for which a packed snapshot is reused. Whoever gets it asks for the changes since then.
const SNAPSHOT_TTL: Duration = Duration::from_millis(600);

/// Age of the store's confirmation from which a hub asks other hubs for theirs. A working watch confirms more
/// often, and the answers are still within [`MAX_RELAY_AGE`] when the hub has relayed them.
const HUB_QUERY_AGE: Duration = Duration::from_millis(900);

/// The newest change of every key of the store up to a revision.
#[derive(Debug, Default)]
pub struct StoreMirror {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    revision: Option<u64>,
    // Deletions up to this revision are not known.
    deletions_from: u64,
    deletion_count: usize,
    // The newest change of each key, by revision.
    changes: BTreeMap<(u64, Arc<str>), StoreRecord>,
    revisions: HashMap<Arc<str>, u64>,
    confirmed_at: Option<Time>,
    // Packed changes since a revision, up to the current one.
    packed_since: HashMap<u64, Arc<[u8]>>,
    packed_snapshot: Option<PackedSnapshot>,
}

#[derive(Clone, Debug)]
struct PackedSnapshot {
    revision: u64,
    packed_at: Time,
    // When the store had confirmed what was packed.
    confirmed_at: Option<Time>,
    bytes: Arc<[u8]>,
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

    /// Replaces the state by all records of the store. `apply` runs under the lock, before any relay. Returns
    /// `false` and changes nothing if this state is newer.
    pub fn apply_snapshot(
        &self,
        records: Records,
        confirmed_at: Time,
        apply: impl FnOnce(&[Record]),
    ) -> bool {
        let mut state = self.state.lock();
        if state.revision.is_some_and(|known| known > records.revision) {
            return false;
        }
        apply(&records.records);
        *state = State {
            revision: Some(records.revision),
            deletions_from: records.revision,
            confirmed_at: Some(confirmed_at),
            ..State::default()
        };
        for record in records.records {
            state.insert(record);
        }
        true
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
            state.insert(record);
        }
        let revision = known.max(records.revision);
        if revision != known {
            state.packed_since.clear();
        }
        state.revision = Some(revision);
        state.confirmed_at = state.confirmed_at.max(Some(confirmed_at));
        true
    }

    /// Resets the revision, so that everything is read again.
    pub fn invalidate(&self) {
        self.state.lock().revision = None;
    }

    /// Returns the changes after a revision, for an instance that is at that revision, or all keys if some
    /// deletions since then are no longer known. One that does not accept packed changes gets plain ones.
    #[must_use]
    pub fn changes_since(&self, revision: u64, accepts_packed: bool, now: Time) -> StoreDelta {
        let mut state = self.state.lock();
        let age_ms = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX - 1);
        let delta = StoreDelta {
            revision: state.revision.unwrap_or(0),
            is_complete: state.revision.is_some(),
            confirmed_age_ms: state.confirmed_at.map(age_ms),
            ..StoreDelta::default()
        };
        if !delta.is_complete || revision >= delta.revision {
            return delta;
        }
        if revision < state.deletions_from && !accepts_packed {
            return StoreDelta { is_complete: false, ..delta };
        }
        if revision < state.deletions_from {
            let snapshot = state.snapshot(delta.revision, now);
            return StoreDelta {
                revision: snapshot.revision,
                confirmed_age_ms: snapshot.confirmed_at.map(age_ms),
                packed_changes: Some(snapshot.bytes),
                is_snapshot: true,
                ..delta
            };
        }
        let newer = || state.changes.range((revision + 1, Arc::from(""))..).map(|(_, record)| record);
        if !accepts_packed || newer().map(record_bytes).sum::<usize>() < PACK_THRESHOLD_BYTES {
            return StoreDelta { changes: newer().cloned().collect(), ..delta };
        }
        let known = state.packed_since.get(&revision).cloned();
        let packed = known.unwrap_or_else(|| pack(newer().collect()));
        state.packed_since.insert(revision, Arc::clone(&packed));
        StoreDelta { packed_changes: Some(packed), ..delta }
    }
}

impl State {
    fn insert(&mut self, record: Record) {
        let key: Arc<str> = Arc::from(record.key.as_str());
        if let Some(before) = self.revisions.insert(Arc::clone(&key), record.revision) {
            let replaced = self.changes.remove(&(before, Arc::clone(&key)));
            self.deletion_count -= usize::from(replaced.is_some_and(|r| r.value.is_none()));
        }
        self.deletion_count += usize::from(record.value.is_none());
        self.changes.insert((record.revision, key), compress_value(record));
        while self.deletion_count > MAX_DELETIONS {
            self.forget_oldest_deletion();
        }
    }

    fn forget_oldest_deletion(&mut self) {
        let oldest = self.changes.iter().find(|(_, record)| record.value.is_none()).map(|(at, _)| at.clone());
        if let Some((revision, key)) = oldest {
            self.revisions.remove(&key);
            self.changes.remove(&(revision, key));
            self.deletions_from = self.deletions_from.max(revision);
        }
        self.deletion_count -= 1;
    }

    fn snapshot(&mut self, revision: u64, now: Time) -> PackedSnapshot {
        let is_usable =
            |s: &&PackedSnapshot| s.revision >= self.deletions_from && now.since(s.packed_at) < SNAPSHOT_TTL;
        if let Some(found) = self.packed_snapshot.as_ref().filter(is_usable) {
            return found.clone();
        }
        let present = self.changes.values().filter(|record| record.value.is_some()).collect();
        let bytes = pack(present);
        let snapshot = PackedSnapshot { revision, packed_at: now, confirmed_at: self.confirmed_at, bytes };
        self.packed_snapshot = Some(snapshot.clone());
        snapshot
    }
}

/// Decompresses the records of another instance's delta.
///
/// # Errors
/// When a value can't be decompressed, or the records can't be decoded.
pub fn unpack_records(delta: StoreDelta) -> std::io::Result<Records> {
    let changes = match delta.packed_changes {
        Some(packed) => {
            decode_records(&decompress(&packed, MAX_PACKED_BYTES)?).map_err(std::io::Error::other)?
        }
        None => delta.changes,
    };
    let records = changes.into_iter().map(decompress_value).collect::<std::io::Result<_>>()?;
    Ok(Records { records, revision: delta.revision })
}

fn pack(records: Vec<&StoreRecord>) -> Arc<[u8]> {
    let encoded = encode_records(records.into_iter());
    // Writing to memory does not fail; what is not compressed would not be decoded.
    compress(&encoded, Compression::fast()).map(Arc::from).unwrap_or_default()
}

fn compress_value(record: Record) -> StoreRecord {
    let Record { key, value, revision } = record;
    let large = value.as_ref().filter(|value| value.len() > COMPRESSION_THRESHOLD_BYTES);
    match large.and_then(|value| compress(value, Compression::fast()).ok()) {
        Some(packed) => StoreRecord { key, value: Some(packed), is_compressed: true, revision },
        None => StoreRecord { key, value, is_compressed: false, revision },
    }
}

fn decompress_value(record: StoreRecord) -> std::io::Result<Record> {
    let value = match record.value {
        Some(packed) if record.is_compressed => Some(decompress(&packed, MAX_VALUE_BYTES)?),
        value => value,
    };
    Ok(Record { key: record.key, value, revision: record.revision })
}

fn record_bytes(record: &StoreRecord) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Vec::len)
}
