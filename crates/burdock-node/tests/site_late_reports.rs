//! Reports of backend servers that the store executes late, after it removed their entries.

mod site_support;

use std::time::{Duration, Instant};

use burdock_standin::site::remove_backend_entry;
use burdock_standin::store::Fault as StoreFault;
use googletest::prelude::*;
use site_support::Site;

/// Time for which a late report must have no effect: the operators' shortest bound on a change, twice.
const WATCH_TIME: Duration = Duration::from_secs(5);

// Returns the ids of the backend servers of `quotes` that an instance may use.
fn usable(site: &Site, ix: usize) -> Vec<String> {
    let usable = site.instances[ix].node.backends.usable();
    let quotes = usable.services.iter().find(|(name, _)| name.as_str() == "quotes");
    let ids = quotes.into_iter().flat_map(|(_, backends)| backends).map(|b| b.registered.id.to_string());
    let mut ids: Vec<String> = ids.collect();
    ids.sort();
    ids
}

async fn wait_for_usable(site: &Site, ids: &[&str]) {
    for ix in 0..site.instances.len() {
        site.wait_until(async || usable(site, ix) == ids).await;
    }
}

// Checks for a time that the instances use some backend servers and no others.
async fn expect_usable(site: &Site, ids: &[&str], time: Duration) {
    let started_at = Instant::now();
    while started_at.elapsed() < time {
        for ix in 0..site.instances.len() {
            let elapsed = started_at.elapsed();
            expect_that!(usable(site, ix), eq(ids), "instance {ix} after {elapsed:?}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// Guards against requests to a backend server that has left, because the store executes an earlier report late.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn earlier_report_after_the_removal_brings_no_backend_back() {
    let site = Site::start(3, 2).await;
    site.entry(0).sequence(11).publish(&site.store);
    tokio::time::sleep(Duration::from_millis(500)).await;
    remove_backend_entry(&site.store, "quotes-0");
    wait_for_usable(&site, &["quotes-1"]).await;
    for sequence in [10, 11] {
        site.entry(0).sequence(sequence).publish(&site.store);
        expect_usable(&site, &["quotes-1"], WATCH_TIME / 2).await;
    }
    // Another process under the same id is not the one that left.
    site.entry(0).started_ms(2).publish(&site.store);
    wait_for_usable(&site, &["quotes-0", "quotes-1"]).await;
}

// Guards against a late report of a process whose successor under the same id has left as well.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn report_of_an_earlier_process_after_the_removal_of_a_later_one_is_skipped() {
    let site = Site::start(2, 2).await;
    site.entry(0).started_ms(2).publish(&site.store);
    tokio::time::sleep(Duration::from_millis(500)).await;
    remove_backend_entry(&site.store, "quotes-0");
    wait_for_usable(&site, &["quotes-1"]).await;
    site.entry(0).started_ms(1).sequence(30).publish(&site.store);
    expect_usable(&site, &["quotes-1"], WATCH_TIME / 2).await;
}

// Guards against a late report of a backend server whose entry lapsed in an outage of the store and did not come back.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn earlier_report_after_a_lapse_brings_no_backend_back() {
    let site = Site::start(2, 2).await;
    site.entry(0).sequence(11).publish(&site.store);
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.store.inject(StoreFault { down_ms: Some(2000), ..StoreFault::default() });
    tokio::time::sleep(Duration::from_millis(1000)).await;
    let ids: Vec<&str> = site.backends.iter().map(|b| b.id.as_str()).collect();
    for id in &ids {
        remove_backend_entry(&site.store, id);
    }
    tokio::time::sleep(Duration::from_millis(2000)).await;
    for ix in 1..site.backends.len() {
        site.entry(ix).sequence(2).publish(&site.store);
    }
    wait_for_usable(&site, &["quotes-1"]).await;
    site.entry(0).sequence(10).publish(&site.store);
    expect_usable(&site, &["quotes-1"], WATCH_TIME / 2).await;
}
