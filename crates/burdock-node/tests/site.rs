//! The request path of a deployment's instances from caller to backend server, against the stand-ins.

mod site_support;

use std::time::Duration;

use burdock_standin::backend::Fault as BackendFault;
use burdock_standin::site::{SampleConfig, organisation, remove_backend_entry, route, set_evacuation};
use burdock_standin::store::Fault as StoreFault;
use googletest::prelude::*;
use serde_json::json;
use site_support::{Site, raw};

const KEY: (&str, &str) = ("x-burdockcroft-key", "key-of-farm");

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_request_carries_the_organisation_but_not_the_key() {
    let site = Site::start(1, 2).await;
    let headers = [KEY, ("x-burdockcroft-attempt-id", "a1"), ("x-burdockcroft-tenant-name", "other")];
    let answer = site.get(0, "/quotes/1?x=2", &headers).await.unwrap();
    expect_that!(answer.status, eq(200));
    let seen = &answer.json()["headers"];
    expect_that!(seen["x-burdockcroft-key"].is_null(), eq(true));
    expect_that!(seen["x-burdockcroft-tenant-name"].as_str(), some(eq("farm")));
    expect_that!(seen["x-burdockcroft-attempt-id"].as_str(), some(eq("a1")));
    expect_that!(seen["x-burdockcroft-expect-instance"].as_str(), some(starts_with("quotes-")));
    expect_that!(answer.header("x-burdockcroft-response-seal"), some(eq("0.1.2")));
    expect_that!(answer.json()["query"].as_str(), some(eq("x=2")));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bad_key_gives_401_and_unknown_path_gives_404() {
    let site = Site::start(1, 1).await;
    expect_that!(site.get(0, "/quotes/1", &[]).await.unwrap().status, eq(401));
    let bad = [("x-burdockcroft-key", "no-such-key")];
    expect_that!(site.get(0, "/quotes/1", &bad).await.unwrap().status, eq(401));
    expect_that!(site.get(0, "/nothing/1", &[KEY]).await.unwrap().status, eq(404));
    expect_that!(site.get(0, "/public/1", &[]).await.unwrap().status, eq(200));
    expect_that!(site.get(0, "/public/1", &bad).await.unwrap().status, eq(200));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instance_without_configuration_answers_503_and_is_not_ready() {
    let site = Site::start_without_config(1).await;
    let answer = site.get(0, "/quotes/1", &[KEY]).await.unwrap();
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after").is_some(), eq(true));
    expect_that!(site.readiness_status(0).await, eq(503));
    SampleConfig::new(1).publish(&site.store);
    site.wait_until(async || site.readiness_status(0).await == 200).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn rate_limit_is_kept_and_usable_across_instances() {
    const RATE: f64 = 20.0;
    const SECONDS: usize = 3;
    let site = Site::start(3, 2).await;
    let mut config = SampleConfig::new(2);
    config.organisations = vec![organisation("farm", &["key-of-farm"], RATE, RATE)];
    config.publish(&site.store);
    site.wait_until(async || site.config_versions() == [2, 2, 2]).await;
    // Token buckets start empty and fill within one to two seconds.
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let mut served = 0;
    for _ in 0..SECONDS * 20 {
        // Offers four times the rate over all instances.
        for ix in 0..3 {
            served += usize::from(site.get(ix, "/quotes/1", &[KEY]).await.unwrap().status == 200);
        }
        tokio::time::sleep(Duration::from_millis(33)).await;
    }
    let served = served as f64;
    // Allows the burst and the rate over the duration of the loop.
    expect_that!(served, le(RATE * (SECONDS as f64 + 3.0)));
    expect_that!(served, ge(RATE * SECONDS as f64 * 0.7));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn draining_or_withdrawn_backend_receives_no_requests() {
    let site = Site::start(2, 2).await;
    site.entry(0).state("draining").publish(&site.store);
    site.wait_until(async || site.backends_used(1, "/quotes/").await == ["quotes-1"]).await;
    remove_backend_entry(&site.store, "quotes-1");
    site.wait_until(async || site.get(1, "/quotes/1", &[KEY]).await.unwrap().status == 503).await;
    site.entry(0).publish(&site.store);
    site.wait_until(async || site.get(1, "/quotes/1", &[KEY]).await.unwrap().status == 200).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn evacuated_zone_receives_no_requests_until_evacuation_ends() {
    let site = Site::start(1, 3).await;
    set_evacuation(&site.store, "riga-a", true);
    site.wait_until(async || !site.backends_used(0, "/quotes/").await.contains(&"quotes-0".to_owned())).await;
    set_evacuation(&site.store, "riga-a", false);
    site.wait_until(async || site.backends_used(0, "/quotes/").await.contains(&"quotes-0".to_owned())).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_or_older_configuration_leaves_the_current_one_in_force() {
    let site = Site::start(1, 1).await;
    let mut config = SampleConfig::new(9);
    config.publish(&site.store);
    site.wait_until(async || site.config_versions() == [9]).await;
    let config_bytes = config.bytes();
    site.store.publish("op/config", Some(&config_bytes[..config_bytes.len() / 2]));
    config.version = 8;
    config.routes.clear();
    config.publish(&site.store);
    for (version, broken) in (10..).zip([
        route("quotes", "/quotes/", "idempotent", "unknown", false),
        route("quotes", "/quotes/", "sometimes", "quotes", false),
        route("quotes", "quotes", "idempotent", "quotes", false),
        json!({"name": "quotes", "host": "", "path_prefix": "/quotes/", "kind": "idempotent", "timeout_s": 1,
            "service": "quotes"}),
        json!({"name": "quotes", "path_prefix": "/quotes/", "kind": "idempotent", "timeout_s": 1, "service": "quotes"}),
        json!({"name": "quotes", "host": "site.example", "path_prefix": "/quotes/", "kind": "idempotent",
            "timeout_s": 1, "traffic_split": [{"service": "quotes"}]}),
    ]) {
        let mut config = SampleConfig::new(version);
        config.routes = vec![broken];
        config.publish(&site.store);
    }
    site.entry(0).publish(&site.store);
    tokio::time::sleep(Duration::from_millis(400)).await;
    expect_that!(site.config_versions(), eq(&vec![9]));
    expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
    SampleConfig::new(20).publish(&site.store);
    site.wait_until(async || site.config_versions() == [20]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn replaced_key_is_refused_and_new_key_accepted_on_all_instances() {
    let site = Site::start(2, 1).await;
    let mut config = SampleConfig::new(2);
    config.organisations = vec![organisation("farm", &["new-key"], 1000.0, 1000.0)];
    config.publish(&site.store);
    for ix in 0..2 {
        site.wait_until(async || site.get(ix, "/quotes/1", &[KEY]).await.unwrap().status == 401).await;
        let new = [("x-burdockcroft-key", "new-key")];
        expect_that!(site.get(ix, "/quotes/1", &new).await.unwrap().status, eq(200));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_store_entries_are_ignored() {
    let site = Site::start(1, 1).await;
    site.store.publish("servers/strange", Some(b"not json"));
    site.store.publish("servers/stranger", Some(br#"{"address":"x","info":{},"status":{}}"#));
    site.store.publish("servers/strangest", Some(br#"{"address":"127.0.0.1:1","info":{"service":"quotes","zone":"riga-a","slots":1},"status":{"state":"odd"}}"#));
    site.store.publish("op/other", Some(b"{}"));
    tokio::time::sleep(Duration::from_millis(300)).await;
    expect_that!(site.backends_used(0, "/quotes/").await, eq(&vec!["quotes-0".to_owned()]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn non_repeatable_request_with_lost_answer_runs_once() {
    let site = Site::start(1, 3).await;
    for ix in 0..20 {
        let id = format!("once-{ix}");
        let headers = [KEY, ("x-burdockcroft-attempt-id", id.as_str())];
        let answer = site.post(0, "/valves/1?close=headers", &headers, "open").await.unwrap();
        expect_that!(answer.status, eq(502));
        expect_that!(site.run_count(&id), eq(1));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn shed_non_repeatable_request_is_retried_on_another_backend() {
    let site = Site::start(1, 2).await;
    let ix = site.backends.iter().position(|b| b.id == "valves-0").unwrap();
    site.backends[ix].standin.inject(BackendFault { shed: Some(true), ..BackendFault::default() });
    for nth in 0..10 {
        let object = nth.to_string();
        let headers = [KEY, ("x-burdockcroft-affinity-key", object.as_str())];
        let answer = site.post(0, "/valves/1", &headers, "open").await.unwrap();
        expect_that!((answer.status, answer.json()["backend"].as_str()), eq((200, Some("valves-1"))));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_truncated_by_every_backend_gives_502_without_seal() {
    let site = Site::start(1, 2).await;
    let answer = site.get(0, "/quotes/1?close=body", &[KEY]).await.unwrap();
    // Both backend servers truncate the answer, so the retry fails too.
    expect_that!(answer.status, eq(502));
    expect_that!(answer.header("x-burdockcroft-response-seal"), none());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn late_answer_of_another_request_is_not_forwarded() {
    let site = Site::start(1, 0).await;
    // Each answer is followed by a late second answer to the same request.
    let backend = raw::Backend::start(|id| {
        let right = raw::build_answer(&id, "right");
        let late = raw::build_answer(&id, "late");
        vec![(Duration::ZERO, right), (Duration::from_millis(3), late)]
    })
    .await;
    site.register("quotes-raw", "quotes", backend.address);
    site.wait_until(async || site.get(0, "/quotes/1", &[KEY]).await.is_some_and(|a| a.status == 200)).await;
    for ix in 0..50 {
        let id = format!("id-{ix}");
        let headers = [KEY, ("x-burdockcroft-attempt-id", id.as_str())];
        let answer = site.get(0, "/quotes/1", &headers).await.unwrap();
        if answer.status == 200 {
            expect_that!(answer.header("x-burdockcroft-attempt-id"), some(eq(id.as_str())));
            expect_that!(answer.body.as_ref(), eq(b"right"));
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn closed_caller_connection_cancels_its_pipelined_requests() {
    let site = Site::start(1, 1).await;
    let id = "left";
    let request = |path: &str, id: &str| {
        format!(
            "GET {path} HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: {id}\r\n\r\n"
        )
    };
    let both = request("/quotes/1?delay_ms=1500", id) + &request("/quotes/2?delay_ms=1500", "behind");
    raw::send_and_close(site.callers_address(0), &both, Duration::from_millis(200)).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    expect_that!(site.instances[0].node.in_flight(), eq(0));
    // Backend servers cancelled both, including the pipelined one.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    expect_that!(site.finished_count(id) + site.finished_count("behind"), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_over_the_route_timeout_gives_504() {
    let site = Site::start(1, 1).await;
    let mut config = SampleConfig::new(2);
    config.routes[0]["timeout_s"] = json!(0.3);
    config.publish(&site.store);
    site.wait_until(async || site.config_versions() == [2]).await;
    let started_at = std::time::Instant::now();
    let answer = site.get(0, "/quotes/1?delay_ms=1500", &[KEY]).await.unwrap();
    expect_that!(answer.status, eq(504));
    expect_that!(started_at.elapsed(), lt(Duration::from_millis(800)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn only_regions_allowed_by_both_route_and_organisation_are_used() {
    let site = Site::start(1, 3).await;
    let mut config = SampleConfig::new(2);
    config.routes[0]["allowed_regions"] = json!(["jelgava", "daugavpils"]);
    config.organisations[0]["allowed_regions"] = json!(["jelgava", "riga"]);
    config.publish(&site.store);
    site.wait_until(async || site.config_versions() == [2]).await;
    expect_that!(site.backends_used(0, "/quotes/").await, eq(&vec!["quotes-1".to_owned()]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn split_route_sends_each_service_its_weight() {
    let site = Site::start(1, 1).await;
    let mut config = SampleConfig::new(2);
    config.routes[0]["traffic_split"] =
        json!([{"service": "quotes", "weight": 90}, {"service": "valves", "weight": 10}]);
    config.publish(&site.store);
    site.wait_until(async || site.config_versions() == [2]).await;
    let mut other = 0;
    for _ in 0..100 {
        let answer = site.get(0, "/quotes/1", &[KEY]).await.unwrap();
        other += usize::from(answer.json()["backend"] == "valves-0");
    }
    expect_that!(other, eq(10));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn directory_lists_instances_of_the_region_until_they_stop() {
    let mut site = Site::start(3, 1).await;
    site.wait_until(async || site.directory_addresses(0, "riga").await.len() == 3).await;
    let stopped = site.instances.remove(2);
    let address = stopped.node.settings.listen.callers.to_string();
    let stop = tokio::spawn(stopped.stop());
    site.wait_until(async || !site.directory_addresses(0, "riga").await.contains(&address)).await;
    stop.await.unwrap();
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn running_request_finishes_during_shutdown() {
    let mut site = Site::start(2, 1).await;
    let callers = site.callers_address(1);
    let headers = [KEY];
    let slow = site.send(callers, "GET", "/quotes/1?delay_ms=900", &headers, "");
    let (answer, ()) = tokio::join!(slow, async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.instances[1].node.advance(burdock_node::node::Phase::Draining);
    });
    expect_that!(answer.unwrap().status, eq(200));
    site.instances.remove(1).stop().await;
}

// Guards against a request accepted late in shutdown (seen 3.03 s after the signal) that a slow backend
// server cannot finish, so that the end of the shutdown aborts it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_late_in_shutdown_is_refused_as_not_run() {
    let mut site = Site::start(1, 1).await;
    let callers = site.callers_address(0);
    // Stays busy while idle connections are closed.
    let (tx, mut rx) = raw::connect(callers).await;
    let request = |id: &str| {
        format!(
            "GET /quotes/1?delay_ms=1700 HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: {id}\r\n\r\n"
        )
    };
    tx.send(request("first"));
    let stop = tokio::spawn(site.instances.remove(0).stop());
    tokio::time::sleep(Duration::from_millis(1000)).await;
    expect_that!(rx.next_status().await, some(eq(200)));
    // New requests are refused by now: as not run, or by the system when the listener is closed.
    tokio::time::sleep(Duration::from_millis(1800)).await;
    let late = site.send(callers, "GET", "/quotes/1", &[KEY], "").await;
    expect_that!(late.is_none_or(|a| a.status == 503), eq(true));
    stop.await.unwrap();
    expect_that!(site.run_count("first"), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn configuration_changes_reach_all_instances_after_store_faults() {
    let site = Site::start(3, 1).await;
    site.store.inject(StoreFault { forget_history: Some(true), ..StoreFault::default() });
    SampleConfig::new(2).publish(&site.store);
    site.wait_until(async || site.config_versions() == [2, 2, 2]).await;
    site.store.inject(StoreFault { down_ms: Some(1500), ..StoreFault::default() });
    tokio::time::sleep(Duration::from_millis(300)).await;
    for ix in 0..3 {
        expect_that!(site.get(ix, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
    }
    SampleConfig::new(3).publish(&site.store);
    site.wait_until(async || site.config_versions() == [3, 3, 3]).await;
    site.store.inject(StoreFault { garbage: Some(true), ..StoreFault::default() });
    SampleConfig::new(4).publish(&site.store);
    tokio::time::sleep(Duration::from_millis(900)).await;
    expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
    site.store.inject(StoreFault { garbage: Some(false), ..StoreFault::default() });
    site.wait_until(async || site.config_versions() == [4, 4, 4]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn only_hubs_watch_the_store() {
    let site = Site::start(4, 1).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let before = site.store.calls().reads;
    tokio::time::sleep(Duration::from_millis(2000)).await;
    let watches = site.store.calls().reads - before;
    // One hub's watches of 0.7 s each, and none of other instances.
    expect_that!(watches, le(6));
    SampleConfig::new(2).publish(&site.store);
    site.wait_until(async || site.config_versions() == [2, 2, 2, 2]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_answered_and_refused_requests() {
    let site = Site::start(1, 1).await;
    site.get(0, "/quotes/1", &[KEY]).await.unwrap();
    site.get(0, "/nothing/1", &[KEY]).await.unwrap();
    let text = burdock_node::site::metrics::text(&site.instances[0].node);
    expect_that!(text, contains_substring("burdock_requests 2\n"));
    expect_that!(text, contains_substring("burdock_requests_answered 1\n"));
    expect_that!(text, contains_substring("burdock_config_version 1\n"));
    expect_that!(text, contains_substring("burdock_request_ms_count{outcome=\"refused\"} 1\n"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instance_registers_again_after_its_lease_expires() {
    let site = Site::start(2, 1).await;
    site.store.inject(StoreFault { lapse_leases: Some(true), ..StoreFault::default() });
    site.wait_until(async || {
        site.store.keys().iter().filter(|k| k.starts_with("burdock/instances/")).count() == 2
    })
    .await;
    site.wait_until(async || site.directory_addresses(0, "riga").await.len() == 2).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn entry_missing_after_store_outage_stays_in_use_for_a_grace_time() {
    let site = Site::start(1, 1).await;
    site.store.inject(StoreFault { down_ms: Some(1200), ..StoreFault::default() });
    remove_backend_entry(&site.store, "quotes-0");
    tokio::time::sleep(Duration::from_millis(1200)).await;
    for _ in 0..10 {
        expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    site.wait_until(async || site.get(0, "/quotes/1", &[KEY]).await.unwrap().status == 503).await;
}

// Guards against an instance that loses the store and then takes the missing entry of a withdrawn backend
// server for an expired one: it sent requests there for two more seconds.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn backend_withdrawn_during_store_outage_receives_no_requests_afterwards() {
    let site = Site::start(1, 3).await;
    site.store.inject(StoreFault { down_ms: Some(1500), ..StoreFault::default() });
    tokio::time::sleep(Duration::from_millis(300)).await;
    remove_backend_entry(&site.store, "quotes-0");
    site.store.inject(StoreFault { forget_history: Some(true), ..StoreFault::default() });
    tokio::time::sleep(Duration::from_millis(1200)).await;
    let store_back_at = std::time::Instant::now();
    site.wait_until(async || !site.backends_used(0, "/quotes/").await.contains(&"quotes-0".to_owned())).await;
    expect_that!(store_back_at.elapsed(), lt(Duration::from_millis(1300)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn cold_backend_stays_within_its_ramp_up_rate_across_instances() {
    let site = Site::start(4, 2).await;
    site.entry(0).cold_s(30.0).publish(&site.store);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let before = site.standin("quotes-0").log().len();
    for nth in 0..40 {
        let object = nth.to_string();
        let headers = [KEY, ("x-burdockcroft-affinity-key", object.as_str())];
        // The service time is long compared with differences in distance.
        let sent = (0..4).map(|ix| site.get(ix, "/quotes/1?delay_ms=30", &headers));
        for answer in futures::future::join_all(sent).await {
            expect_that!(answer.unwrap().status, eq(200));
        }
    }
    let received = site.standin("quotes-0").log().len() - before;
    // The requests take more than a second; the ramp-up allows 6 per second by 1.5, and 5 more.
    expect_that!(received, all!(ge(1), le(14)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_backends_is_quarantined_on_all_instances() {
    let site = Site::start(2, 6).await;
    for ix in 0..6 {
        let fault = BackendFault { crash_on: Some("poison".to_owned()), ..BackendFault::default() };
        site.standin(&format!("quotes-{ix}")).inject(fault);
    }
    let crashed = || (0..6).flat_map(|ix| site.standin(&format!("quotes-{ix}")).log()).count();
    // Repeats the request at alternating instances.
    for nth in 0..8 {
        let answer = site.get(nth % 2, "/quotes/poison", &[KEY]).await.unwrap();
        expect_that!(answer.status, any![eq(502), eq(503)]);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    // Three crashes, and an attempt that was in flight when the third was reported.
    expect_that!(crashed(), all!(ge(3), le(4)));
    // Other requests are still answered.
    expect_that!(site.get(0, "/quotes/good", &[KEY]).await.unwrap().status, eq(200));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn backend_that_loses_one_answer_is_neither_ejected_nor_cold() {
    let site = Site::start(1, 1).await;
    expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
    expect_that!(site.get(0, "/quotes/1?close=headers", &[KEY]).await.unwrap().status, eq(502));
    for _ in 0..10 {
        expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
    }
}
