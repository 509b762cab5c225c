//! This instance's mirror of the store, applied in the order of its eras and revisions from the store or from other
//! instances, and relayed to others. It holds records of one era at a time.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

pub use burdock_decide::relay::MAX_RELAY_AGE;
use burdock_decide::time::Time;
use burdock_model::store_position::StorePosition;
use burdock_platform::decode::is_backend_entry;
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
    // Up to here all changes are applied.
    position: Option<StorePosition>,
    // What was applied last, also while everything has to be read again.
    last: Option<StorePosition>,
    // The store came back from an older copy since this process started.
    has_changed_era: bool,
    // Deletions up to this revision are not known.
    deletions_from: u64,
    deletion_count: usize,
    // The newest change of each key, by revision, and before it the last deletion of a backend server's entry that was
    // written again, since who learns only of the write takes it for a report of a live backend server.
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
    /// Returns the state of the store up to which all changes are applied; `None` before the first read.
    #[must_use]
    pub fn position(&self) -> Option<StorePosition> {
        self.state.lock().position
    }

    /// Returns whether the store came back from an older copy since this process started.
    #[must_use]
    pub fn has_changed_era(&self) -> bool {
        self.state.lock().has_changed_era
    }

    /// Returns the message by which this instance asks another one for the changes that it lacks.
    #[must_use]
    pub fn query(&self) -> StoreDelta {
        let position = self.position().unwrap_or_default();
        StoreDelta {
            revision: position.revision,
            era: Some(position.era),
            accepts_packed: true,
            ..StoreDelta::default()
        }
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

    /// Replaces the state by all records of the store. `apply` runs under the lock, before any relay, with the records
    /// and, if they are the first of a new era, the last state of the era before. Returns `false` and changes nothing
    /// if this state is newer.
    pub fn apply_snapshot(
        &self,
        records: Records,
        confirmed_at: Time,
        apply: impl FnOnce(&[Record], Option<StorePosition>),
    ) -> bool {
        let mut state = self.state.lock();
        let position = records.position;
        let is_of_earlier_era = state.last.is_some_and(|last| last.era > position.era);
        if is_of_earlier_era || state.position.is_some_and(|known| known > position) {
            return false;
        }
        let before = state.last.filter(|last| last.era < position.era);
        apply(&records.records, before);
        *state = State {
            position: Some(position),
            last: Some(position),
            has_changed_era: state.has_changed_era || before.is_some(),
            deletions_from: position.revision,
            confirmed_at: Some(confirmed_at),
            ..State::default()
        };
        for record in records.records {
            state.insert(record);
        }
        true
    }

    /// Applies a complete list of changes after a state of the same era. Returns `false` when it would leave a gap.
    pub fn apply_changes(
        &self,
        from: StorePosition,
        records: Records,
        confirmed_at: Time,
        apply: impl FnOnce(&[Record]),
    ) -> bool {
        let mut state = self.state.lock();
        let is_same_era = |known: &StorePosition| known.era == from.era && known.era == records.position.era;
        let Some(known) = state.position.filter(is_same_era).filter(|known| *known >= from) else {
            return false;
        };
        let new_records: Vec<Record> =
            records.records.into_iter().filter(|r| r.revision > known.revision).collect();
        apply(&new_records);
        for record in new_records {
            state.insert(record);
        }
        let position = known.max(records.position);
        if position != known {
            state.packed_since.clear();
        }
        state.position = Some(position);
        state.last = Some(position);
        state.confirmed_at = state.confirmed_at.max(Some(confirmed_at));
        true
    }

    /// Resets the position, so that everything is read again. What is of an earlier era is rejected as before.
    pub fn invalidate(&self) {
        self.state.lock().position = None;
    }

    /// Returns the changes after the state that an instance asks from, or all keys if it is of an earlier era or some
    /// deletions since then are no longer known. One that does not accept packed changes gets plain ones.
    ///
    /// An instance of an earlier version states no era, and would take a state with a lower revision for an older
    /// one. It gets nothing once the era has changed, so that it asks the store.
    #[must_use]
    pub fn changes_since(&self, asked: &StoreDelta, now: Time) -> StoreDelta {
        let mut state = self.state.lock();
        let StoreDelta { revision, accepts_packed, .. } = *asked;
        let position = state.position.unwrap_or_default();
        let asked_era = asked.era.or_else(|| (!state.has_changed_era).then_some(position.era));
        let age_ms = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX - 1);
        let delta = StoreDelta {
            revision: position.revision,
            era: Some(position.era),
            is_complete: state.position.is_some() && asked_era.is_some_and(|era| era <= position.era),
            confirmed_age_ms: state.confirmed_at.map(age_ms),
            ..StoreDelta::default()
        };
        let is_same_era = asked_era == Some(position.era);
        if !delta.is_complete || (is_same_era && revision >= delta.revision) {
            return delta;
        }
        let needs_snapshot = !is_same_era || revision < state.deletions_from;
        if needs_snapshot && !accepts_packed {
            return StoreDelta { is_complete: false, ..delta };
        }
        if needs_snapshot {
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
            let replaced = (before, Arc::clone(&key));
            let is_deletion = self.changes.get(&replaced).is_some_and(|r| r.value.is_none());
            let is_return = is_deletion && record.value.is_some() && is_backend_entry(&record);
            if !is_return {
                self.changes.remove(&replaced);
                self.deletion_count -= usize::from(is_deletion);
            }
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
            if self.revisions.get(&key) == Some(&revision) {
                self.revisions.remove(&key);
            }
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

/// Decompresses the records of another instance's delta, whose records are of the given era.
///
/// # Errors
/// When a value can't be decompressed, or the records can't be decoded.
pub fn unpack_records(delta: StoreDelta, era: u64) -> std::io::Result<Records> {
    let changes = match delta.packed_changes {
        Some(packed) => {
            decode_records(&decompress(&packed, MAX_PACKED_BYTES)?).map_err(std::io::Error::other)?
        }
        None => delta.changes,
    };
    let records = changes.into_iter().map(decompress_value).collect::<std::io::Result<_>>()?;
    Ok(Records { records, position: StorePosition { era, revision: delta.revision } })
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
