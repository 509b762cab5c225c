//! The backend servers that instances use.

use std::time::{Duration, Instant};

use googletest::prelude::*;

use super::Site;

/// Returns the ids of the backend servers of `quotes` that an instance may use.
pub fn usable(site: &Site, ix: usize) -> Vec<String> {
    let usable = site.instances[ix].node.backends.usable();
    let quotes = usable.services.iter().find(|(name, _)| name.as_str() == "quotes");
    let ids = quotes.into_iter().flat_map(|(_, backends)| backends).map(|b| b.registered.id.to_string());
    let mut ids: Vec<String> = ids.collect();
    ids.sort();
    ids
}

/// Waits until all instances use some backend servers and no others.
pub async fn wait_for_usable(site: &Site, ids: &[&str]) {
    for ix in 0..site.instances.len() {
        site.wait_until(async || usable(site, ix) == ids).await;
    }
}

/// Checks for a time that the instances use some backend servers and no others.
pub async fn expect_usable(site: &Site, ids: &[&str], time: Duration) {
    let started_at = Instant::now();
    while started_at.elapsed() < time {
        for ix in 0..site.instances.len() {
            let elapsed = started_at.elapsed();
            expect_that!(usable(site, ix), eq(ids), "instance {ix} after {elapsed:?}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
