//! Instances of a deployment while the store, or the way to it, is lost.

mod site_support;

use std::time::Duration;

use burdock_node::site::hub::FleetSize;
use burdock_standin::site::SamplePlan;
use burdock_standin::store::Fault as StoreFault;
use googletest::prelude::*;
use site_support::Site;
use site_support::link::Link;

fn calls(site: &Site) -> Vec<u64> {
    site.instances.iter().map(|n| n.node.kv.budget().total()).collect()
}

// An instance in each of the regions, each with a link of its own to the store.
async fn linked(regions: &[&str]) -> (Site, Vec<Link>) {
    let mut site = Site::with_config().await;
    let mut links = Vec::new();
    for region in regions {
        let link = Link::start(site.store_address).await;
        site.add_instance_in(region, link.address).await;
        links.push(link);
    }
    (site, links)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn store_calls_stay_bounded_during_store_outage() {
    const OUTAGE: Duration = Duration::from_secs(5);
    let site = Site::start(5, 1).await;
    let before = calls(&site);
    site.store.inject(StoreFault { down_ms: Some(60_000), ..StoreFault::default() });
    tokio::time::sleep(OUTAGE).await;
    let made = calls(&site).into_iter().zip(before).map(|(now, before)| now - before);
    let mut made: Vec<u64> = made.collect();
    made.sort_unstable();
    // One of the five is the hub, which tries on. Each renews its lease every 1.5 s, and the others try about as often.
    expect_that!(made[3], le(10));
    site.store.inject(StoreFault { down_ms: Some(0), ..StoreFault::default() });
    SamplePlan::new(2).publish(&site.store);
    let back = std::time::Instant::now();
    site.wait_until(async || site.config_versions() == [2; 5]).await;
    expect_that!(back.elapsed(), lt(Duration::from_millis(1500)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn hub_without_store_learns_changes_from_other_regions() {
    let (site, links) = linked(&["riga", "riga", "riga", "jelgava", "daugavpils"]).await;
    site.wait_until(async || site.instances.iter().all(|n| n.node.fleet.view().listed.len() == 5)).await;
    let view = site.instances[0].node.fleet.view();
    let hub = view.hubs(&site.instances[0].node.settings.region).next().unwrap().id.clone();
    let cut = site.instances.iter().position(|n| n.node.incarnation.instance == hub).unwrap();
    links[cut].cut();
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let before = calls(&site);
    tokio::time::sleep(Duration::from_millis(2000)).await;
    let after = calls(&site);
    // Those that report to it go on without watches of their own: they only renew their leases.
    for follower in (0..3).filter(|ix| *ix != cut) {
        expect_that!(after[follower] - before[follower], le(2));
    }
    SamplePlan::new(2).publish(&site.store);
    let changed = std::time::Instant::now();
    site.wait_until(async || site.config_versions() == [2; 5]).await;
    expect_that!(changed.elapsed(), lt(Duration::from_millis(1500)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instance_entries_are_rewritten_promptly_after_lease_expiry() {
    let site = Site::start(5, 1).await;
    let entries = || site.store.keys().iter().filter(|key| key.starts_with("burdock/instances/")).count();
    let listed = || site.instances.iter().map(|n| n.node.fleet.view().listed.len()).min();
    // A report that tells of it (250 ms), the pause before writing anew (300 ms), and as much again for calls and batches as
    // keeps this below half of the time between renewals (1500 ms), at several moments between them.
    const BACK_WITHIN: Duration = Duration::from_millis(750);
    for _ in 0..4 {
        site.store.inject(StoreFault { lapse_leases: Some(true), ..StoreFault::default() });
        let started_at = std::time::Instant::now();
        expect_that!(entries(), lt(5));
        site.wait_until(async || entries() == 5).await;
        expect_that!(started_at.elapsed(), lt(BACK_WITHIN));
        // All have heard of it before the next time.
        site.wait_until(async || listed() == Some(5)).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
}

// Found by a hunt (QUOTA, our own day leases-run-out on Sabarmati, seed 343736887042): four instances that restarted while
// the entries of all others were missing took a sixth of an allowance each, since the settings name six zones.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instance_started_while_entries_are_missing_counts_recorded_fleet() {
    let (mut site, links) = linked(&["riga"; 5]).await;
    site.wait_until(async || site.instances.iter().all(|n| n.node.fleet.recorded_size() == 5)).await;
    // The others can't write their entries anew.
    links.iter().for_each(Link::cut);
    site.store.inject(StoreFault { lapse_leases: Some(true), ..StoreFault::default() });
    site.add_instance_in("riga", site.store_address).await;
    site.wait_until(async || site.readiness_status(5).await == 200).await;
    let newest = &site.instances[5].node;
    expect_that!(newest.fleet.view().listed.len(), eq(1));
    expect_that!(FleetSize::of(newest).expected, ge(5));
    // Its own short list, once that counts as whole, is no reason to forget them either.
    tokio::time::sleep(Duration::from_millis(3200)).await;
    expect_that!(newest.fleet.recorded_size(), eq(5));
    expect_that!(FleetSize::of(newest).expected, ge(5));
}
