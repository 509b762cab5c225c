//! Traffic of this instance with other regions, against its share of the link capacity.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use burdock_decide::time::{Time, micros};
use parking_lot::Mutex;

/// Time over which the rate is measured.
const MEASUREMENT_WINDOW: Duration = Duration::from_millis(1000);

/// Counts bytes and computes their rate over the last completed window.
#[derive(Debug, Default)]
pub struct LinkUse {
    bytes: AtomicU64,
    bytes_per_second: AtomicU64,
    window_started_at: Mutex<Time>,
}

impl LinkUse {
    /// Records the bytes of one request, both directions together.
    pub fn record_bytes(&self, bytes: u64) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Computes the rate once the window is over, and starts the next one.
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

    /// Returns how many bytes per second remain of a share of the link's capacity.
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
