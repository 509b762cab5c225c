//! Invalid entries of the store, each of which is logged once.

use std::collections::HashMap;

use burdock_model::hash::stable_hash;
use burdock_platform::kv::Record;
use parking_lot::Mutex;

/// Maximum number of keys that are remembered. Beyond it they are forgotten, and logged again.
const MAX_KEYS: usize = 4096;

/// Keys with an invalid value, and the hash of that value.
#[derive(Debug, Default)]
pub struct InvalidEntries {
    values: Mutex<HashMap<String, u64>>,
}

impl InvalidEntries {
    /// Records an invalid entry. Returns whether its value is another one than before.
    ///
    /// ```
    /// use burdock_node::site::invalid_entries::InvalidEntries;
    /// use burdock_platform::kv::Record;
    /// let entries = InvalidEntries::default();
    /// let record = Record { key: "a".to_owned(), value: Some(b"?".to_vec()), revision: 1 };
    /// assert!(entries.is_new(&record));
    /// assert!(!entries.is_new(&Record { revision: 2, ..record }));
    /// ```
    pub fn is_new(&self, record: &Record) -> bool {
        const SEED: u64 = 37;
        let hash = stable_hash(record.value.as_deref().unwrap_or_default(), SEED);
        let mut values = self.values.lock();
        if values.len() >= MAX_KEYS && !values.contains_key(&record.key) {
            values.clear();
        }
        values.insert(record.key.clone(), hash) != Some(hash)
    }
}
