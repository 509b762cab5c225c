//! Bytes that this instance sends to and gets from other regions, against its part of the shared link.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use burdock_decide::time::{Time, micros};
use parking_lot::Mutex;

/// Time over which bytes are counted.
const WINDOW: Duration = Duration::from_millis(1000);

/// Counts bytes and tells the rate of the last window.
#[derive(Debug, Default)]
pub struct LinkUse {
    bytes: AtomicU64,
    per_second: AtomicU64,
    began: Mutex<Time>,
}

impl LinkUse {
    /// Counts bytes of one request, both ways together.
    pub fn add(&self, bytes: u64) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Closes the window if it is over.
    pub fn tick(&self, now: Time) {
        let mut began = self.began.lock();
        let passed = now.since(*began);
        if passed < WINDOW {
            return;
        }
        let bytes = self.bytes.swap(0, Ordering::Relaxed);
        let per_second = u128::from(bytes) * 1_000_000 / u128::from(micros(passed).max(1));
        self.per_second.store(u64::try_from(per_second).unwrap_or(u64::MAX), Ordering::Relaxed);
        *began = now;
    }

    /// Bytes a second left of a part of the link.
    ///
    /// ```
    /// use burdock_decide::time::Time;
    /// use burdock_node::forward::link_use::LinkUse;
    /// let link = LinkUse::default();
    /// link.tick(Time::from_millis(1000));
    /// link.add(500);
    /// link.tick(Time::from_millis(2000));
    /// assert_eq!(link.room(600), 100);
    /// assert_eq!(link.room(400), 0);
    /// ```
    #[must_use]
    pub fn room(&self, part: u64) -> u64 {
        part.saturating_sub(self.per_second.load(Ordering::Relaxed))
    }
}
