//! State that several threads share, split into shards that each have their own lock.

use parking_lot::{Mutex, MutexGuard};

/// Number of shards of a table, well above the number of threads so that these rarely contend for a lock.
const SHARD_COUNT: usize = 64;

/// A fixed array of shards.
#[derive(Debug)]
pub struct Sharded<T> {
    shards: Box<[Mutex<T>]>,
}

impl<T: Default> Default for Sharded<T> {
    fn default() -> Self {
        Self { shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect() }
    }
}

impl<T> Sharded<T> {
    /// Locks the shard of a hash. The guard must not be held across an await.
    ///
    /// ```
    /// use burdock_node::shards::Sharded;
    /// let counts: Sharded<u32> = Sharded::default();
    /// *counts.lock(7) += 1;
    /// assert_eq!(counts.lock_each().map(|shard| *shard).sum::<u32>(), 1);
    /// ```
    pub fn lock(&self, hash: u64) -> MutexGuard<'_, T> {
        let ix = usize::try_from(hash % self.shards.len() as u64).unwrap_or(0);
        self.shards[ix].lock()
    }

    /// Locks each shard in turn.
    pub fn lock_each(&self) -> impl Iterator<Item = MutexGuard<'_, T>> {
        self.shards.iter().map(Mutex::lock)
    }
}
