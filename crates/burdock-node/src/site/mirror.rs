//! What this instance knows of the store, in the order of the store's revisions, whoever told it.

use std::collections::VecDeque;
use std::time::Duration;

use burdock_decide::time::Time;
use burdock_platform::kv::{Record, Records};
use burdock_wire::messages::{StoreDelta, StoreRecord};
use flate2::Compression;
use parking_lot::Mutex;

use crate::compression::{compress, decompress};

/// Changes that are kept for other instances, by number and by bytes. An instance that lacks more asks the store.
const KEPT_CHANGES: usize = 512;

/// The same, by bytes of keys and values.
const KEPT_BYTES: usize = 1 << 20;

/// Values longer than this are packed before they are passed on: below it packing saves less than it costs.
const PACKED_FROM_BYTES: usize = 4 << 10;

/// The largest value that is unpacked, twice what the store holds.
const MAX_VALUE_BYTES: u64 = 2 << 20;

/// How old the store's confirmation may be, at the hub that passes it on, for this instance to go without a watch
/// of its own. Beside a hub's wait it covers a round trip to the store and two reports, one of them between regions.
pub const RELAY_BOUND: Duration = Duration::from_millis(1700);

/// The age of the store's confirmation at which a hub asks other hubs for theirs: its own watch confirms more often,
/// and what it hears then is still within the bound for relays when it has passed that on.
const ASK_HUBS_AT: Duration = Duration::from_millis(900);

/// The revision that this instance is at, and the changes that led there.
#[derive(Debug, Default)]
pub struct Mirror {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    revision: Option<u64>,
    // All changes after this revision are in the log.
    log_from: u64,
    log: VecDeque<StoreRecord>,
    log_bytes: usize,
    confirmed: Option<Time>,
}

impl Mirror {
    /// The revision up to which everything is known; `None` before the first read.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.state.lock().revision
    }

    /// When the store's state was last confirmed.
    #[must_use]
    pub fn confirmed(&self) -> Option<Time> {
        self.state.lock().confirmed
    }

    /// Whether the store's state was confirmed within the bound for relays.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.confirmed().is_some_and(|at| now.since(at) < RELAY_BOUND)
    }

    /// Whether a hub should ask other hubs for what they know, because its own watch is late.
    #[must_use]
    pub fn is_late(&self, now: Time) -> bool {
        self.confirmed().is_none_or(|at| now.since(at) >= ASK_HUBS_AT)
    }

    /// Starts anew after everything was read. `apply` runs before anyone else is told.
    pub fn restart(&self, records: &Records, asked: Time, apply: impl FnOnce(&[Record])) {
        let mut state = self.state.lock();
        apply(&records.records);
        // A read that began before a later change was heard of does not take it back.
        let revision = state.revision.unwrap_or(0).max(records.revision);
        *state = State {
            revision: Some(revision),
            log_from: revision,
            confirmed: Some(asked),
            ..State::default()
        };
    }

    /// Takes in changes that are complete from the given revision on. Returns whether they fit what is known.
    pub fn extend(&self, from: u64, records: Records, asked: Time, apply: impl FnOnce(&[Record])) -> bool {
        let mut state = self.state.lock();
        let Some(held) = state.revision.filter(|held| *held >= from) else {
            return false;
        };
        let fresh: Vec<Record> = records.records.into_iter().filter(|r| r.revision > held).collect();
        apply(&fresh);
        for record in fresh {
            state.keep(record);
        }
        state.revision = Some(held.max(records.revision));
        state.confirmed = state.confirmed.max(Some(asked));
        true
    }

    /// Forgets everything that led here, so that all is read anew.
    pub fn forget(&self) {
        self.state.lock().revision = None;
    }

    /// What an instance at a revision does not know yet.
    #[must_use]
    pub fn news_since(&self, revision: u64, now: Time) -> StoreDelta {
        let state = self.state.lock();
        let complete = state.revision.is_some() && revision >= state.log_from;
        let newer = state.log.iter().filter(|r| complete && r.revision > revision);
        let age = state.confirmed.map(|at| now.since(at).as_millis());
        StoreDelta {
            revision: state.revision.unwrap_or(0),
            changes: newer.cloned().collect(),
            is_complete: complete,
            confirmed_age_ms: age.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX - 1)),
        }
    }
}

impl State {
    fn keep(&mut self, record: Record) {
        let record = told(record);
        self.log_bytes += size(&record);
        self.log.push_back(record);
        while self.log.len() > KEPT_CHANGES || self.log_bytes > KEPT_BYTES {
            let Some(dropped) = self.log.pop_front() else {
                return;
            };
            self.log_bytes -= size(&dropped);
            self.log_from = dropped.revision;
        }
    }
}

/// The records of another instance's news.
///
/// # Errors
/// When a value can't be unpacked.
pub fn records_of(news: StoreDelta) -> std::io::Result<Records> {
    let records = news.changes.into_iter().map(heard).collect::<std::io::Result<_>>()?;
    Ok(Records { records, revision: news.revision })
}

// Large values are packed once, for all who will ask: a large configuration goes to every instance of a region
// over one machine's link.
fn told(record: Record) -> StoreRecord {
    let Record { key, value, revision } = record;
    let large = value.as_ref().filter(|value| value.len() > PACKED_FROM_BYTES);
    match large.and_then(|value| compress(value, Compression::fast()).ok()) {
        Some(packed) => StoreRecord { key, value: Some(packed), is_compressed: true, revision },
        None => StoreRecord { key, value, is_compressed: false, revision },
    }
}

fn heard(record: StoreRecord) -> std::io::Result<Record> {
    let value = match record.value {
        Some(packed) if record.is_compressed => Some(decompress(&packed, MAX_VALUE_BYTES)?),
        value => value,
    };
    Ok(Record { key: record.key, value, revision: record.revision })
}

fn size(record: &StoreRecord) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Vec::len)
}
