//! How long requests took, as counts in fixed bounds.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Upper bounds in milliseconds: from a refusal to the longest time limits, each about twice the one before.
const BOUNDS_MS: [u64; 12] = [5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800];

/// Counts of requests by how long they took.
#[derive(Debug, Default)]
pub struct LatencyHistogram {
    counts: [AtomicU64; BOUNDS_MS.len() + 1],
    sum_ms: AtomicU64,
}

impl LatencyHistogram {
    /// Counts one request.
    ///
    /// ```
    /// use burdock_node::observe::latency::LatencyHistogram;
    /// use std::time::Duration;
    /// let latency = LatencyHistogram::default();
    /// latency.record(Duration::from_millis(7));
    /// assert!(latency.text("answered").contains("le=\"10\"} 1\n"));
    /// ```
    pub fn record(&self, took: Duration) {
        let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let ix = BOUNDS_MS.iter().position(|bound| ms <= *bound).unwrap_or(BOUNDS_MS.len());
        self.counts[ix].fetch_add(1, Ordering::Relaxed);
        self.sum_ms.fetch_add(ms, Ordering::Relaxed);
    }

    /// The counts as lines of text, each bound with those below it.
    #[must_use]
    pub fn text(&self, outcome: &str) -> String {
        let mut text = String::new();
        let mut sum = 0;
        let bounds = BOUNDS_MS.iter().map(u64::to_string).chain(std::iter::once("+Inf".to_owned()));
        for (bound, count) in bounds.zip(&self.counts) {
            sum += count.load(Ordering::Relaxed);
            // Writing to a string does not fail.
            let _done =
                writeln!(text, "burdock_request_ms_bucket{{outcome=\"{outcome}\",le=\"{bound}\"}} {sum}");
        }
        let total = self.sum_ms.load(Ordering::Relaxed);
        let _done = writeln!(text, "burdock_request_ms_sum{{outcome=\"{outcome}\"}} {total}");
        let _done = writeln!(text, "burdock_request_ms_count{{outcome=\"{outcome}\"}} {sum}");
        text
    }
}
