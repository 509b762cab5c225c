//! Reports of backend servers that the store executes late, after it removed their entries.

mod site_support;

use std::time::{Duration, Instant};

use burdock_decide::departure::MAX_REPORT_DELAY;
use burdock_decide::time::Time;
use burdock_model::ids::{BackendId, ServiceName, ZoneName};
use burdock_model::site::{RegisteredBackend, SiteConfigIndex};
use burdock_node::observe::counters::Counter;
use burdock_node::site::table::BackendTable;
use burdock_standin::backend::Fault as BackendFault;
use burdock_standin::site::remove_backend_entry;
use burdock_standin::store::Fault as StoreFault;
use googletest::prelude::*;
use site_support::usable::{expect_usable, wait_for_usable};
use site_support::{Site, ports};

/// Time for which a late report must have no effect: the operators' shortest bound on a change, twice.
const WATCH_TIME: Duration = Duration::from_secs(5);

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

// From now on the status checks of a backend server fail, as they do once it is leaving.
fn begin_to_leave(site: &Site, id: &str) {
    site.standin(id).inject(BackendFault { unhealthy: Some(true), ..BackendFault::default() });
}

// Guards against requests to a backend server that has left, because of a late report that is newer than what the
// entry said: an entry does not change with the number of the report alone.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn late_report_with_an_unseen_number_brings_no_backend_back() {
    let site = Site::start(3, 2).await;
    begin_to_leave(&site, "quotes-0");
    remove_backend_entry(&site.store, "quotes-0");
    wait_for_usable(&site, &["quotes-1"]).await;
    site.entry(0).sequence(10).publish(&site.store);
    expect_usable(&site, &["quotes-1"], WATCH_TIME).await;
    remove_backend_entry(&site.store, "quotes-0");
    site.entry(0).started_ms(2).publish(&site.store);
    wait_for_usable(&site, &["quotes-0", "quotes-1"]).await;
}

// Guards against leaving out a live backend server whose reports were lost for a while, and against checks that grow
// with the number of instances.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn live_backend_that_comes_back_is_used_after_one_status_check() {
    let site = Site::start(4, 2).await;
    remove_backend_entry(&site.store, "quotes-0");
    wait_for_usable(&site, &["quotes-1"]).await;
    site.entry(0).sequence(10).publish(&site.store);
    let returned_at = Instant::now();
    wait_for_usable(&site, &["quotes-0", "quotes-1"]).await;
    expect_that!(returned_at.elapsed(), lt(Duration::from_millis(1500)));
    let checks = site.instances.iter().map(|i| i.node.counters.get(Counter::StatusChecks));
    expect_that!(checks.sum::<u64>(), eq(1));
}

// Guards against a removal that the instances beside the hub never learn of, because the late report follows before the
// next relay.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn late_report_right_after_the_removal_is_no_update_of_the_entry() {
    let site = Site::start(3, 2).await;
    begin_to_leave(&site, "quotes-0");
    remove_backend_entry(&site.store, "quotes-0");
    site.entry(0).sequence(10).publish(&site.store);
    wait_for_usable(&site, &["quotes-1"]).await;
    expect_usable(&site, &["quotes-1"], WATCH_TIME / 2).await;
}

// Guards against an instance that starts after the removal and takes the late report for that of a new backend server.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instance_that_starts_after_the_removal_does_not_use_a_late_report() {
    let mut site = Site::start(1, 2).await;
    begin_to_leave(&site, "quotes-0");
    remove_backend_entry(&site.store, "quotes-0");
    wait_for_usable(&site, &["quotes-1"]).await;
    site.add_instance_in("riga", site.store_address).await;
    wait_for_usable(&site, &["quotes-1"]).await;
    site.entry(0).sequence(10).publish(&site.store);
    expect_usable(&site, &["quotes-1"], WATCH_TIME / 2).await;
}

// Guards against a live backend server that stays out for good because its status checks fail.
#[gtest]
fn entry_that_stays_after_its_return_is_used_without_a_status_check() {
    let text = burdock_standin::site::settings(
        "edge-1",
        "riga",
        "riga-a",
        ports::find_free_ports(4),
        "127.0.0.1:9".parse().unwrap(),
    );
    let settings = burdock_platform::settings::parse(&format!("{text}heartbeat_s=1\n")).unwrap();
    let (table, config) = (BackendTable::new(&settings), SiteConfigIndex::default());
    let backend = |sequence| RegisteredBackend {
        id: BackendId::new("quotes-0").unwrap(),
        service: ServiceName::new("quotes").unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: ZoneName::new("riga-a").unwrap(),
        slots: 6,
        draining: false,
        remaining_cold_time: Duration::ZERO,
        started_ms: 1,
        sequence,
    };
    let id = backend(1).id;
    let count = |now: Time| {
        table.publish();
        table.sweep(now);
        table.usable().services.values().map(Vec::len).sum::<usize>()
    };
    table.apply_entry(&config, &id, Some(&backend(1)), 1, Time(0));
    expect_that!(count(Time(0)), eq(1));
    table.apply_entry(&config, &id, None, 2, Time(0));
    table.apply_entry(&config, &id, Some(&backend(9)), 3, Time::from_millis(500));
    // A report that was sent before the removal keeps the entry for this time at most.
    let latest = Time(0) + MAX_REPORT_DELAY + Duration::from_secs(3);
    expect_that!(count(latest), eq(0));
    expect_that!(count(latest + Duration::from_secs(2)), eq(1));
}
