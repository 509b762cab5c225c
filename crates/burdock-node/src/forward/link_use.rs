//! Bytes that this instance sends to and gets from other regions, against its part of the shared link.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use burdock_decide::time::{Time, micros};
use parking_lot::Mutex;

/// Time over which bytes are counted.
const MEASUREMENT_WINDOW: Duration = Duration::from_millis(1000);

/// Counts bytes and tells the rate of the last window.
#[derive(Debug, Default)]
pub struct LinkUse {
    bytes: AtomicU64,
    bytes_per_second: AtomicU64,
    window_started_at: Mutex<Time>,
}

impl LinkUse {
    /// Counts bytes of one request, both ways together.
    pub fn record_bytes(&self, bytes: u64) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Closes the window if it is over.
    pub fn update_rate(&self, now: Time) {
        let mut window_started_at = self.window_started_at.lock();
        let elapsed = now.since(*window_started_at);
        if elapsed < MEASUREMENT_WINDOW {
            return;
        }
        let bytes = self.bytes.swap(0, Ordering::Relaxed);
        let bytes_per_second = u128::from(bytes) * 1_000_000 / u128::from(micros(elapsed).max(1));
        self.bytes_per_second.store(u64::try_from(bytes_per_second).unwrap_or(u64::MAX), Ordering::Relaxed);
        *window_started_at = now;
    }

    /// Bytes a second left of a part of the link.
    ///
    /// ```
    /// use burdock_decide::time::Time;
    /// use burdock_node::forward::link_use::LinkUse;
    /// let link = LinkUse::default();
    /// link.update_rate(Time::from_millis(1000));
    /// link.record_bytes(500);
    /// link.update_rate(Time::from_millis(2000));
    /// assert_eq!(link.headroom(600), 100);
    /// assert_eq!(link.headroom(400), 0);
    /// ```
    #[must_use]
    pub fn headroom(&self, share: u64) -> u64 {
        share.saturating_sub(self.bytes_per_second.load(Ordering::Relaxed))
    }
}
