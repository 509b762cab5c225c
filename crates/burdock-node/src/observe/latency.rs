//! Histogram of the durations of requests, with fixed buckets.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Upper bounds of the buckets in milliseconds, from the time of a refusal to the longest time limits. Each
/// is about twice the one before.
const BOUNDS_MS: [u64; 12] = [5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800];

/// Histogram of the durations of requests.
#[derive(Debug, Default)]
pub struct LatencyHistogram {
    counts: [AtomicU64; BOUNDS_MS.len() + 1],
    sum_ms: AtomicU64,
}

impl LatencyHistogram {
    /// Records the duration of one request.
    ///
    /// ```
    /// use burdock_node::observe::latency::LatencyHistogram;
    /// use std::time::Duration;
    /// let latency = LatencyHistogram::default();
    /// latency.record(Duration::from_millis(7));
    /// assert!(latency.text("answered").contains("le=\"10\"} 1\n"));
    /// ```
    pub fn record(&self, duration: Duration) {
        let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let ix = BOUNDS_MS.iter().position(|bound| ms <= *bound).unwrap_or(BOUNDS_MS.len());
        self.counts[ix].fetch_add(1, Ordering::Relaxed);
        self.sum_ms.fetch_add(ms, Ordering::Relaxed);
    }

    /// Returns the histogram in the text format of metrics. Counts of buckets are cumulative.
    #[must_use]
    pub fn text(&self, outcome: &str) -> String {
        let mut text = String::new();
        let mut cumulative_count = 0;
        let bounds = BOUNDS_MS.iter().map(u64::to_string).chain(std::iter::once("+Inf".to_owned()));
        for (bound, count) in bounds.zip(&self.counts) {
            cumulative_count += count.load(Ordering::Relaxed);
            // Writing to a string can't fail.
            let _done = writeln!(
                text,
                "burdock_request_ms_bucket{{outcome=\"{outcome}\",le=\"{bound}\"}} {cumulative_count}"
            );
        }
        let sum_ms = self.sum_ms.load(Ordering::Relaxed);
        let _done = writeln!(text, "burdock_request_ms_sum{{outcome=\"{outcome}\"}} {sum_ms}");
        let _done = writeln!(text, "burdock_request_ms_count{{outcome=\"{outcome}\"}} {cumulative_count}");
        text
    }
}
