//! Starts of instances that rely on their hub for what the store holds.

mod site_support;

use std::time::{Duration, Instant};

use burdock_standin::site::{SampleConfig, remove_backend_entry};
use burdock_standin::store::Fault as StoreFault;
use googletest::prelude::*;
use site_support::Site;

const KEY: (&str, &str) = ("x-burdockcroft-key", "key-of-farm");

// With 300 small instances that each read 1,200 entries, a start of all cost 900 reads of pages.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn small_instance_gets_what_the_store_holds_from_its_hub() {
    const SMALL: usize = 5;
    let mut site = Site::start(2, 2).await;
    for nth in 0..1200 {
        site.store.publish(&format!("servers/other-{nth}"), Some(b"{}"));
    }
    SampleConfig::new(2).publish(&site.store);
    tokio::time::sleep(Duration::from_millis(800)).await;
    for _ in 0..SMALL {
        site.add_small_instance("riga").await;
    }
    let started_at = Instant::now();
    for ix in 2..2 + SMALL {
        site.wait_until(async || site.readiness_status(ix).await == 200).await;
        site.wait_until(async || site.get(ix, "/quotes/1", &[KEY]).await.is_some_and(|a| a.status == 200))
            .await;
    }
    expect_that!(started_at.elapsed(), lt(Duration::from_millis(2000)));
    for ix in 2..2 + SMALL {
        // A lease, an entry and lists of instances, and no page of all keys.
        expect_that!(site.instances[ix].node.kv.budget().total_calls(), le(5));
        expect_that!(site.instances[ix].node.config.load().published.version, eq(2));
    }
    // Changes are relayed from then on.
    remove_backend_entry(&site.store, "quotes-0");
    SampleConfig::new(3).publish(&site.store);
    site.wait_until(async || site.config_versions() == [3; 2 + SMALL]).await;
    for ix in 0..2 + SMALL {
        site.wait_until(async || site.backends_used(ix, "/quotes/").await == ["quotes-1"]).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn small_instances_alone_serve_after_a_start() {
    let mut site = Site::start(0, 1).await;
    for _ in 0..3 {
        site.add_small_instance("riga").await;
    }
    let started_at = Instant::now();
    for ix in 0..3 {
        site.wait_until(async || site.get(ix, "/quotes/1", &[KEY]).await.is_some_and(|a| a.status == 200))
            .await;
    }
    expect_that!(started_at.elapsed(), lt(Duration::from_millis(3500)));
}

// Leases and entries of small instances, and their relays to each other, were most of the store's calls.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn small_instances_register_only_when_larger_ones_are_missing() {
    let mut site = Site::start(3, 1).await;
    for _ in 0..2 {
        site.add_small_instance("riga").await;
    }
    for ix in 3..5 {
        site.wait_until(async || site.get(ix, "/quotes/1", &[KEY]).await.is_some_and(|a| a.status == 200))
            .await;
    }
    tokio::time::sleep(Duration::from_millis(2800)).await;
    for ix in 3..5 {
        // Lists of instances, and neither a lease nor a renewal.
        expect_that!(site.instances[ix].node.kv.budget().total_calls(), le(2));
        expect_that!(site.directory_addresses(ix, "riga").await.len(), eq(3));
    }
    let large = site.instances.remove(0);
    large.stop().await;
    let stopped_at = Instant::now();
    site.wait_until(async || site.directory_addresses(0, "riga").await.len() == 4).await;
    expect_that!(stopped_at.elapsed(), lt(Duration::from_millis(1500)));
}

// What a hub that is cut off from the store relays may be older than what the store holds.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn small_instance_takes_no_old_state_from_its_hub() {
    let mut site = Site::start(1, 2).await;
    site.store.inject(StoreFault { down_ms: Some(3000), ..StoreFault::default() });
    // The hub's last confirmation is too old by then.
    tokio::time::sleep(Duration::from_millis(2200)).await;
    remove_backend_entry(&site.store, "quotes-0");
    site.add_small_instance("riga").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    expect_that!(site.readiness_status(1).await, eq(503));
    site.wait_until(async || site.readiness_status(1).await == 200).await;
    expect_that!(site.backends_used(1, "/quotes/").await, eq(&vec!["quotes-1".to_owned()]));
}
