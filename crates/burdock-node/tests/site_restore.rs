//! A store that comes back from an older copy: what was written since is gone, and revisions are given out again.

mod site_support;

use std::time::{Duration, Instant};

use burdock_node::observe::counters::Counter;
use burdock_platform::kv::{KvClient, WatchOutcome};
use burdock_platform::store::StoreError;
use burdock_standin::site::{SampleConfig, organisation, remove_backend_entry, set_evacuation};
use googletest::prelude::*;
use site_support::Site;
use site_support::link::Link;
use site_support::usable::{expect_usable, wait_for_usable};

const KEY: (&str, &str) = ("x-burdockcroft-key", "key-of-farm");

/// Time within which a change is in force on all instances: the operators' shortest bound.
const APPLY_TIME: Duration = Duration::from_millis(2500);

/// Number of writes that are lost with the copy, and of those that follow the restore.
const WRITES: usize = 40;

// Writes that no instance uses, so that the store's revision rises.
fn write_others(site: &Site) {
    for nth in 0..WRITES {
        site.store.publish(&format!("servers/other-{nth}"), Some(b"{}"));
    }
}

fn publish_with_new_key(site: &Site, version: u64) {
    let mut config = SampleConfig::new(version);
    config.organisations = vec![organisation("farm", &["new-key-of-farm"], 1000.0, 1000.0)];
    config.publish(&site.store);
}

async fn wait_for_revision(site: &Site, revision: u64) {
    for instance in &site.instances {
        site.wait_until(async || {
            instance.node.mirror.position().is_some_and(|known| known.revision >= revision)
        })
        .await;
    }
}

// Guards against a change that an instance never learns of, because its revision was given out before the restore.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn key_withdrawn_after_a_restore_is_refused_on_all_instances() {
    let mut site = Site::start(3, 1).await;
    site.add_small_instance("riga").await;
    site.wait_until(async || site.readiness_status(3).await == 200).await;
    let copy = site.store.copy();
    let revision = site.instances[0].node.mirror.position().unwrap().revision;
    write_others(&site);
    wait_for_revision(&site, revision + WRITES as u64).await;
    site.store.restore(&copy);
    // The hub has read the store again.
    tokio::time::sleep(APPLY_TIME / 5).await;
    publish_with_new_key(&site, 2);
    tokio::time::sleep(APPLY_TIME / 5).await;
    write_others(&site);
    write_others(&site);
    tokio::time::sleep(APPLY_TIME).await;
    for ix in 0..4 {
        expect_that!(site.get(ix, "/quotes/1", &[KEY]).await.unwrap().status, eq(401), "instance {ix}");
    }
    expect_that!(site.instances[0].node.counters.get(Counter::StoreRestores), eq(1));
}

// Guards against records of two eras in one state, and against a hub that holds on to the one before.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn two_restores_within_a_second_leave_all_instances_in_the_newest_era() {
    let site = Site::start(3, 1).await;
    let copy = site.store.copy();
    publish_with_new_key(&site, 2);
    site.wait_until(async || site.config_versions() == [2; 3]).await;
    for _ in 0..2 {
        site.store.restore(&copy);
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    // The copy's configuration is older than the one in force.
    expect_that!(site.config_versions(), eq(&[2; 3]));
    publish_with_new_key(&site, 3);
    let published_at = Instant::now();
    site.wait_until(async || site.config_versions() == [3; 3]).await;
    expect_that!(published_at.elapsed(), lt(APPLY_TIME));
    for instance in &site.instances {
        expect_that!(instance.node.mirror.position().map(|p| p.era), some(eq(2)));
    }
}

// Guards against relays of a hub that can't reach the store hiding the new era from the instances that report to it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instances_beside_a_hub_without_store_learn_of_a_restore_within_the_bound() {
    let mut site = Site::with_config().await;
    let mut links = Vec::new();
    for _ in 0..3 {
        let link = Link::start(site.store_address).await;
        site.add_instance_in("riga", link.address).await;
        links.push(link);
    }
    site.wait_until(async || site.instances.iter().all(|i| i.node.fleet.view().listed.len() == 3)).await;
    let view = site.instances[0].node.fleet.view();
    let hub = view.hubs(&site.instances[0].node.settings.region).next().unwrap().id.clone();
    let cut = site.instances.iter().position(|i| i.node.incarnation.instance == hub).unwrap();
    let copy = site.store.copy();
    write_others(&site);
    let revision = site.instances[0].node.mirror.position().unwrap().revision;
    wait_for_revision(&site, revision).await;
    links[cut].cut();
    site.store.restore(&copy);
    publish_with_new_key(&site, 2);
    let published_at = Instant::now();
    for ix in (0..3).filter(|ix| *ix != cut) {
        site.wait_until(async || site.config_versions()[ix] == 2).await;
    }
    expect_that!(published_at.elapsed(), lt(APPLY_TIME));
    links[cut].restore();
    site.wait_until(async || site.config_versions() == [2; 3]).await;
    for instance in &site.instances {
        expect_that!(instance.node.mirror.position().map(|p| p.era), some(eq(1)));
    }
}

// Guards against taking up a backend server again that left after the copy was made.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn backend_that_left_since_the_copy_stays_unused_after_the_restore() {
    let site = Site::start(2, 2).await;
    let copy = site.store.copy();
    remove_backend_entry(&site.store, "quotes-0");
    wait_for_usable(&site, &["quotes-1"]).await;
    site.store.restore(&copy);
    expect_usable(&site, &["quotes-1"], APPLY_TIME).await;
    // Another process under the same id is not the one that left.
    site.entry(0).started_ms(2).publish(&site.store);
    wait_for_usable(&site, &["quotes-0", "quotes-1"]).await;
}

// Guards against using a backend server again whose drain began after the copy was made, until it is written again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn drain_since_the_copy_holds_until_it_is_written_again() {
    let site = Site::start(2, 2).await;
    let copy = site.store.copy();
    site.entry(0).state("draining").sequence(2).publish(&site.store);
    wait_for_usable(&site, &["quotes-1"]).await;
    site.store.restore(&copy);
    expect_usable(&site, &["quotes-1"], APPLY_TIME).await;
    // The report that drains the other one has a revision that was given out before the restore.
    site.entry(1).state("draining").sequence(2).publish(&site.store);
    wait_for_usable(&site, &[]).await;
}

// Guards against leaving out a sound backend server that the copy lacks, and against keeping one that is gone.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn backend_that_the_copy_lacks_stays_in_use_for_two_seconds() {
    let site = Site::start(2, 1).await;
    let copy = site.store.copy();
    site.register("quotes-late", "quotes", site.backends[0].address);
    wait_for_usable(&site, &["quotes-0", "quotes-late"]).await;
    site.store.restore(&copy);
    expect_usable(&site, &["quotes-0", "quotes-late"], Duration::from_millis(1500)).await;
    wait_for_usable(&site, &["quotes-0"]).await;
}

// Guards against using a zone again whose evacuation began after the copy was made, until it is written again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_since_the_copy_holds_until_it_is_written_again() {
    let site = Site::start(2, 2).await;
    let copy = site.store.copy();
    set_evacuation(&site.store, "jelgava-a", true);
    wait_for_usable(&site, &["quotes-0"]).await;
    site.store.restore(&copy);
    expect_usable(&site, &["quotes-0"], Duration::from_millis(1500)).await;
    set_evacuation(&site.store, "jelgava-a", true);
    expect_usable(&site, &["quotes-0"], Duration::from_millis(1500)).await;
    set_evacuation(&site.store, "jelgava-a", false);
    wait_for_usable(&site, &["quotes-0", "quotes-1"]).await;
}

// Guards against a directory without instances while their entries, which the copy lacks, are written again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instances_that_the_copy_lacks_stay_in_the_directory() {
    let mut site = Site::with_config().await;
    let copy = site.store.copy();
    let store = site.store_address;
    for _ in 0..2 {
        site.add_instance_in("riga", store).await;
    }
    for ix in 0..2 {
        site.wait_until(async || site.directory_addresses(ix, "riga").await.len() == 2).await;
    }
    site.store.restore(&copy);
    let restored_at = Instant::now();
    while restored_at.elapsed() < Duration::from_secs(4) {
        for ix in 0..2 {
            expect_that!(site.directory_addresses(ix, "riga").await.len(), eq(2), "instance {ix}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let keys = site.store.keys();
    expect_that!(keys.iter().filter(|key| key.starts_with("burdock/instances/")).count(), eq(2));
}

// Guards against a stop right before the copy comes back: the directory must not name the instance again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instance_that_left_since_the_copy_is_not_listed_again() {
    let mut site = Site::start(3, 1).await;
    for ix in 0..3 {
        site.wait_until(async || site.directory_addresses(ix, "riga").await.len() == 3).await;
    }
    let copy = site.store.copy();
    let left = site.instances.remove(2);
    let address = left.node.settings.listen.callers.to_string();
    left.stop().await;
    for ix in 0..2 {
        site.wait_until(async || !site.directory_addresses(ix, "riga").await.contains(&address)).await;
    }
    site.store.restore(&copy);
    let restored_at = Instant::now();
    while restored_at.elapsed() < Duration::from_secs(4) {
        for ix in 0..2 {
            let listed = site.directory_addresses(ix, "riga").await;
            expect_that!((listed.len(), listed.contains(&address)), eq((2, false)), "instance {ix}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

// Guards against taking a revision that was given out again for a known one, and a lease of another era for one's own.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn watch_across_a_restore_reads_all_and_a_client_bound_to_an_era_refuses_the_next_one() {
    let site = Site::with_config().await;
    let follower = KvClient::new(site.store_address);
    let bound = KvClient::new(site.store_address).bound_to_era();
    let copy = site.store.copy();
    write_others(&site);
    let known = follower.read_prefix("", false).await.unwrap().position;
    let lease = follower.grant_lease(Duration::from_secs(5)).await.unwrap();
    expect_that!(bound.read_key("op/config").await, ok(some(anything())));
    site.store.restore(&copy);
    write_others(&site);
    write_others(&site);
    let watched = follower.watch("", known, Duration::from_millis(10)).await;
    expect_that!(watched, ok(eq(&WatchOutcome::HistoryCompacted)));
    expect_that!(follower.read_prefix("", false).await.unwrap().position.era, eq(known.era + 1));
    // The id is given out again.
    let again = follower.grant_lease(Duration::from_secs(5)).await.unwrap();
    expect_that!((again.id, again.era), eq((lease.id, lease.era + 1)));
    expect_that!(bound.read_key("op/config").await, err(eq(&StoreError::Restored { known: 0, stated: 1 })));
}
