//! Odd entries in the store: other writers' mistakes neither end an instance nor hide the other entries.

mod site_support;

use std::time::Duration;

use burdock_model::ids::ServiceName;
use burdock_node::observe::counters::Counter;
use burdock_standin::site::SampleConfig;
use burdock_standin::store::Fault as StoreFault;
use googletest::prelude::*;
use serde_json::json;
use site_support::Site;

const KEY: (&str, &str) = ("x-burdockcroft-key", "key-of-farm");

/// Depth of nesting that no parser survives by recursion.
const DEEP: usize = 100_000;

// Values of entries of backend servers, instances and zones that other writers might leave.
fn odd_values() -> Vec<Vec<u8>> {
    let entry = |address: &str, info: &str, status: &str| {
        format!(r#"{{"address":"{address}","born":5,"info":{info},"status":{status}}}"#).into_bytes()
    };
    let info = r#"{"service":"quotes","version":"v1","zone":"riga-a","slots":6}"#;
    let status = r#"{"state":"ready","sequence":1,"warmup_left_s":0}"#;
    let address = "127.0.0.1:9";
    let deep_list = "[".repeat(DEEP) + &"]".repeat(DEEP);
    let deep_object = r#"{"a":"#.repeat(DEEP) + "1" + &"}".repeat(DEEP);
    let long = "x".repeat(1 << 20);
    vec![
        Vec::new(),
        b"null".to_vec(),
        b"\xff\xfe\x00".to_vec(),
        deep_list.clone().into_bytes(),
        deep_object.into_bytes(),
        entry(address, info, &format!(r#"{{"state":{deep_list}}}"#)),
        entry(
            address,
            &info.replace("riga-a", "no-such-zone"),
            &format!(r#"{{"state":"ready","extra":{deep_list}}}"#),
        ),
        entry("127.0.0.1:99999", info, status),
        entry("127.0.0.1:0", info, status),
        entry("127.0.0.1:-1", info, status),
        entry(address, &info.replace(":6", ":1e400"), status),
        entry(address, &info.replace(":6", ":18446744073709551616"), status),
        entry(address, &info.replace(":6", ":4294967295"), status),
        entry(address, &info.replace(":6", ":-6"), status),
        entry(address, &info.replace("quotes", &long), status),
        entry(address, &info.replace("riga-a", "riga/a"), status),
        entry(address, &info.replace("riga-a", "no-such-zone"), status),
        entry(address, info, &status.replace(r#"_s":0"#, r#"_s":1e300"#)),
        entry(address, info, &status.replace(r#"_s":0"#, r#"_s":-1"#)),
        entry(address, info, &status.replace(r#"_s":0"#, r#"_s":1e19"#)),
        entry(address, info, &status.replace(r#""sequence":1"#, r#""sequence":1e400"#)),
        entry(address, info, &status.replace("ready", "odd")),
        entry(address, info, r#"{"state":"ready","state":"draining"}"#),
        entry(address, info, r#"{"state":["ready"]}"#),
    ]
}

fn service() -> ServiceName {
    ServiceName::new("quotes").unwrap()
}

fn usable_count(site: &Site, ix: usize) -> usize {
    site.instances[ix].node.backends.usable().services.get(&service()).map_or(0, Vec::len)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_hide_no_other_entry_and_restart_no_task() {
    let mut site = Site::start(2, 2).await;
    let odd = odd_values();
    for prefix in ["servers/odd", "burdock/instances/odd", "op/evacuate/odd/"] {
        for (ix, value) in odd.iter().enumerate() {
            site.store.publish(&format!("{prefix}-{ix:02}"), Some(value));
        }
    }
    for key in ["servers/a/b", "servers/ü&x=1#%", "servers/", "servers/..", "burdock/fleet-size"] {
        site.store.publish(key, Some(b"{}"));
    }
    site.store.publish_raw("servers/no-base64", "%%%");
    site.store.publish("burdock/fleet-size", Some(b"18446744073709551615"));
    // What is written after them is still followed, by the hub and by the others.
    SampleConfig::new(2).publish(&site.store);
    site.wait_until(async || site.config_versions() == [2, 2]).await;
    site.entry(0).state("draining").sequence(2).publish(&site.store);
    site.wait_until(async || (0..2).all(|ix| usable_count(&site, ix) == 1)).await;
    // One that starts now reads all of them on its pages.
    site.add_instance_in("riga", site.store_address).await;
    site.wait_until(async || site.readiness_status(2).await == 200).await;
    site.wait_until(async || usable_count(&site, 2) == 1).await;
    for ix in 0..3 {
        expect_that!(site.get(ix, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
        let counters = &site.instances[ix].node.counters;
        expect_that!(counters.get(Counter::TasksRestarted), eq(0));
        expect_that!(counters.get(Counter::EntriesInvalid), ge(odd.len() as u64 * 2));
        let view = site.instances[ix].node.fleet.view();
        expect_that!(view.listed.iter().any(|i| i.id.as_str().starts_with("odd")), eq(false));
        expect_that!(site.instances[ix].node.fleet.recorded_size(), le(3));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn pages_that_end_with_odd_keys_are_read_to_the_end() {
    let mut site = Site::with_config().await;
    // Sorts behind the key at which a page ends, whichever that is.
    for nth in 0..1200 {
        site.store.publish(&format!("servers/&after=zz #%ü {nth:04}"), Some(b"?"));
    }
    site.store.publish("servers/zz-last", Some(br#"{"address":"127.0.0.1:9","born":1,"info":{"service":"quotes","zone":"riga-a","slots":6},"status":{"state":"ready"}}"#));
    site.add_instance_in("riga", site.store_address).await;
    site.wait_until(async || site.readiness_status(0).await == 200).await;
    site.wait_until(async || usable_count(&site, 0) == 1).await;
}

// The changes since the revision that an instance has may be more than one answer can hold. It then reads
// everything again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn changes_too_large_for_one_answer_are_followed() {
    let site = Site::start(2, 1).await;
    site.store.inject(StoreFault { down_ms: Some(800), ..StoreFault::default() });
    for version in 2..8 {
        let mut config = SampleConfig::new(version);
        config
            .routes
            .push(json!({"name": "long", "host": "x", "path_prefix": "/long/", "kind": "idempotent",
            "timeout_s": 1, "service": "quotes", "note": "x".repeat(1_000_000)}));
        config.publish(&site.store);
    }
    site.wait_until(async || site.config_versions() == [7, 7]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn configuration_with_one_unknown_word_is_rejected_and_the_reason_shown() {
    let mut config = SampleConfig::new(1);
    config.routes[0]["kind"] = json!("teleport");
    // An instance that knows no other configuration says why it serves nothing.
    let site = Site::start_without_config(1).await;
    config.publish(&site.store);
    let node = &site.instances[0].node;
    site.wait_until(async || node.counters.get(Counter::InstallsFailed) == 1).await;
    let answer = site.get(0, "/quotes/1", &[KEY]).await.unwrap();
    expect_that!(answer.status, eq(503));
    expect_that!(String::from_utf8_lossy(&answer.body), contains_substring("was rejected"));
    expect_that!(
        node.rejected_config.load().as_ref().unwrap().reason.to_string(),
        contains_substring("teleport")
    );
    expect_that!(site.readiness_status(0).await, eq(503));
    let status = burdock_node::site::status::status(node);
    expect_that!(status["config_missing"].as_str().unwrap(), contains_substring("unknown kind `teleport`"));
    // One that has another keeps it.
    SampleConfig::new(2).publish(&site.store);
    site.wait_until(async || site.config_versions() == [2]).await;
    expect_that!(node.rejected_config.load().is_none(), eq(true));
    config.version = 3;
    config.publish(&site.store);
    site.wait_until(async || node.counters.get(Counter::InstallsFailed) == 2).await;
    expect_that!(site.config_versions(), eq(&vec![2]));
    let metrics = burdock_node::site::metrics::text(node);
    expect_that!(metrics, not(contains_substring("burdock_config_rejected_revision 0\n")));
    expect_that!(metrics, not(contains_substring("burdock_config_age_s -1\n")));
    let status = burdock_node::site::status::status(node);
    expect_that!(status["revision"].as_u64(), some(eq(2)));
    expect_that!(
        status["config_rejected"]["reason"].as_str().unwrap(),
        contains_substring("unknown kind `teleport`")
    );
}

// A task that an instance depends on is started again when it ends by a panic.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn task_that_panics_is_started_again() {
    use std::sync::atomic::{AtomicUsize, Ordering};
    let site = Site::start(1, 0).await;
    let node = std::sync::Arc::clone(&site.instances[0].node);
    let runs = std::sync::Arc::new(AtomicUsize::new(0));
    let count = std::sync::Arc::clone(&runs);
    let task = burdock_node::site::start::supervise(std::sync::Arc::clone(&node), move |_node| {
        let run = count.fetch_add(1, Ordering::Relaxed);
        async move { assert!(run == 2, "an unexpected error") }
    });
    tokio::time::timeout(Duration::from_secs(5), task).await.unwrap();
    expect_that!(runs.load(Ordering::Relaxed), eq(3));
    expect_that!(node.counters.get(Counter::TasksRestarted), eq(2));
}
