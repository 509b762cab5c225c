//! Instances of a deployment on the platform: the whole way of a request, against the stand-ins.

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
async fn a_request_reaches_a_backend_server_without_its_key() {
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
async fn refusals_say_what_is_wrong() {
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
async fn an_instance_without_a_configuration_refuses_as_not_run() {
    let site = Site::start_without_plan(1).await;
    let answer = site.get(0, "/quotes/1", &[KEY]).await.unwrap();
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after").is_some(), eq(true));
    expect_that!(site.ready(0).await, eq(503));
    SampleConfig::new(1).publish(&site.store);
    site.eventually(async || site.ready(0).await == 200).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_allowance_holds_over_all_instances_and_is_not_cut_into_crumbs() {
    const RATE: f64 = 20.0;
    const SECONDS: usize = 3;
    let site = Site::start(3, 2).await;
    let mut plan = SampleConfig::new(2);
    plan.organisations = vec![organisation("farm", &["key-of-farm"], RATE, RATE)];
    plan.publish(&site.store);
    site.eventually(async || site.versions() == [2, 2, 2]).await;
    // Buckets start empty and fill within a second or two.
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let mut served = 0;
    for _ in 0..SECONDS * 20 {
        // Four times the rate, at all instances.
        for ix in 0..3 {
            served += usize::from(site.get(ix, "/quotes/1", &[KEY]).await.unwrap().status == 200);
        }
        tokio::time::sleep(Duration::from_millis(33)).await;
    }
    let served = served as f64;
    // The burst, and the rate for as long as that took.
    expect_that!(served, le(RATE * (SECONDS as f64 + 3.0)));
    expect_that!(served, ge(RATE * SECONDS as f64 * 0.7));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_or_missing_backend_server_gets_no_more_requests() {
    let site = Site::start(2, 2).await;
    site.entry(0).state("draining").publish(&site.store);
    site.eventually(async || site.used(1, "/quotes/").await == ["quotes-1"]).await;
    remove_backend_entry(&site.store, "quotes-1");
    site.eventually(async || site.get(1, "/quotes/1", &[KEY]).await.unwrap().status == 503).await;
    site.entry(0).publish(&site.store);
    site.eventually(async || site.get(1, "/quotes/1", &[KEY]).await.unwrap().status == 200).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let site = Site::start(1, 3).await;
    set_evacuation(&site.store, "riga-a", true);
    site.eventually(async || !site.used(0, "/quotes/").await.contains(&"quotes-0".to_owned())).await;
    set_evacuation(&site.store, "riga-a", false);
    site.eventually(async || site.used(0, "/quotes/").await.contains(&"quotes-0".to_owned())).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_is_unreadable_old_or_inconsistent_leaves_the_one_in_force() {
    let site = Site::start(1, 1).await;
    let mut plan = SampleConfig::new(9);
    plan.publish(&site.store);
    site.eventually(async || site.versions() == [9]).await;
    let whole = plan.bytes();
    site.store.publish("op/config", Some(&whole[..whole.len() / 2]));
    plan.version = 8;
    plan.routes.clear();
    plan.publish(&site.store);
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
        let mut plan = SampleConfig::new(version);
        plan.routes = vec![broken];
        plan.publish(&site.store);
    }
    site.entry(0).publish(&site.store);
    tokio::time::sleep(Duration::from_millis(400)).await;
    expect_that!(site.versions(), eq(&vec![9]));
    expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
    SampleConfig::new(20).publish(&site.store);
    site.eventually(async || site.versions() == [20]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_and_a_new_one_starts() {
    let site = Site::start(2, 1).await;
    let mut plan = SampleConfig::new(2);
    plan.organisations = vec![organisation("farm", &["new-key"], 1000.0, 1000.0)];
    plan.publish(&site.store);
    for ix in 0..2 {
        site.eventually(async || site.get(ix, "/quotes/1", &[KEY]).await.unwrap().status == 401).await;
        let new = [("x-burdockcroft-key", "new-key")];
        expect_that!(site.get(ix, "/quotes/1", &new).await.unwrap().status, eq(200));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_other_writers_name_no_backend_server_and_harm_nothing() {
    let site = Site::start(1, 1).await;
    site.store.publish("servers/strange", Some(b"not json"));
    site.store.publish("servers/stranger", Some(br#"{"address":"x","info":{},"status":{}}"#));
    site.store.publish("servers/strangest", Some(br#"{"address":"127.0.0.1:1","info":{"service":"quotes","zone":"riga-a","slots":1},"status":{"state":"odd"}}"#));
    site.store.publish("op/other", Some(b"{}"));
    tokio::time::sleep(Duration::from_millis(300)).await;
    expect_that!(site.used(0, "/quotes/").await, eq(&vec!["quotes-0".to_owned()]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_be_repeated_runs_once_when_its_answer_is_lost() {
    let site = Site::start(1, 3).await;
    for ix in 0..20 {
        let id = format!("once-{ix}");
        let headers = [KEY, ("x-burdockcroft-attempt-id", id.as_str())];
        let answer = site.post(0, "/valves/1?close=headers", &headers, "open").await.unwrap();
        expect_that!(answer.status, eq(502));
        expect_that!(site.runs(&id), eq(1));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_shed_request_goes_to_another_backend_server_whatever_its_kind() {
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
async fn a_broken_off_answer_is_asked_for_again_and_never_passed_on_as_whole() {
    let site = Site::start(1, 2).await;
    let answer = site.get(0, "/quotes/1?close=body", &[KEY]).await.unwrap();
    // Both backend servers break off.
    expect_that!(answer.status, eq(502));
    expect_that!(answer.header("x-burdockcroft-response-seal"), none());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_another_request_is_not_passed_on() {
    let site = Site::start(1, 0).await;
    // Every answer is followed by a late one to the same request.
    let backend = raw::Backend::start(|id| {
        let one = raw::answer(&id, "right");
        let late = raw::answer(&id, "late");
        vec![(Duration::ZERO, one), (Duration::from_millis(3), late)]
    })
    .await;
    site.register("quotes-raw", "quotes", backend.address);
    site.eventually(async || site.get(0, "/quotes/1", &[KEY]).await.is_some_and(|a| a.status == 200)).await;
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
async fn the_end_of_a_caller_ends_its_request_also_with_more_behind_it() {
    let site = Site::start(1, 1).await;
    let id = "left";
    let line = |path: &str, id: &str| {
        format!(
            "GET {path} HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: {id}\r\n\r\n"
        )
    };
    let both = line("/quotes/1?delay_ms=1500", id) + &line("/quotes/2?delay_ms=1500", "behind");
    raw::send_and_leave(site.callers(0), &both, Duration::from_millis(200)).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    expect_that!(site.nodes[0].node.in_flight(), eq(0));
    // Backend servers gave both up, the one behind the other too.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    expect_that!(site.finished(id) + site.finished("behind"), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_ends_at_its_routes_time_limit() {
    let site = Site::start(1, 1).await;
    let mut plan = SampleConfig::new(2);
    plan.routes[0]["timeout_s"] = json!(0.3);
    plan.publish(&site.store);
    site.eventually(async || site.versions() == [2]).await;
    let began = std::time::Instant::now();
    let answer = site.get(0, "/quotes/1?delay_ms=1500", &[KEY]).await.unwrap();
    expect_that!(answer.status, eq(504));
    expect_that!(began.elapsed(), lt(Duration::from_millis(800)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn allowed_regions_of_route_and_organisation_both_bind() {
    let site = Site::start(1, 3).await;
    let mut plan = SampleConfig::new(2);
    plan.routes[0]["allowed_regions"] = json!(["jelgava", "daugavpils"]);
    plan.organisations[0]["allowed_regions"] = json!(["jelgava", "riga"]);
    plan.publish(&site.store);
    site.eventually(async || site.versions() == [2]).await;
    expect_that!(site.used(0, "/quotes/").await, eq(&vec!["quotes-1".to_owned()]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_split_keeps_to_its_weights() {
    let site = Site::start(1, 1).await;
    let mut plan = SampleConfig::new(2);
    plan.routes[0]["traffic_split"] =
        json!([{"service": "quotes", "weight": 90}, {"service": "valves", "weight": 10}]);
    plan.publish(&site.store);
    site.eventually(async || site.versions() == [2]).await;
    let mut other = 0;
    for _ in 0..100 {
        let answer = site.get(0, "/quotes/1", &[KEY]).await.unwrap();
        other += usize::from(answer.json()["backend"] == "valves-0");
    }
    expect_that!(other, eq(10));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_directory_names_near_instances_and_forgets_one_that_stops() {
    let mut site = Site::start(3, 1).await;
    site.eventually(async || site.directory(0, "riga").await.len() == 3).await;
    let stopped = site.nodes.remove(2);
    let address = stopped.node.settings.listen.callers.to_string();
    let stop = tokio::spawn(stopped.stop());
    site.eventually(async || !site.directory(0, "riga").await.contains(&address)).await;
    stop.await.unwrap();
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_finishes_what_runs() {
    let mut site = Site::start(2, 1).await;
    let callers = site.callers(1);
    let headers = [KEY];
    let slow = site.send(callers, "GET", "/quotes/1?delay_ms=900", &headers, "");
    let (answer, ()) = tokio::join!(slow, async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.nodes[1].node.advance(burdock_node::node::Phase::Draining);
    });
    expect_that!(answer.unwrap().status, eq(200));
    site.nodes.remove(1).stop().await;
}

// Seen once: a request taken 3.03 s after the signal, at a slow backend server, was cut at the end of the stop.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_late_in_a_stop_is_refused_as_not_run() {
    let mut site = Site::start(1, 1).await;
    let callers = site.callers(0);
    // A connection that is at work when the others close.
    let (tx, mut rx) = raw::open(callers).await;
    let request = |id: &str| {
        format!(
            "GET /quotes/1?delay_ms=1700 HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: {id}\r\n\r\n"
        )
    };
    tx.send(request("first"));
    let stop = tokio::spawn(site.nodes.remove(0).stop());
    tokio::time::sleep(Duration::from_millis(1000)).await;
    expect_that!(rx.next_status().await, some(eq(200)));
    // By now new requests are refused, on a new connection by the system.
    tokio::time::sleep(Duration::from_millis(1800)).await;
    let late = site.send(callers, "GET", "/quotes/1", &[KEY], "").await;
    expect_that!(late.is_none_or(|a| a.status == 503), eq(true));
    stop.await.unwrap();
    expect_that!(site.runs("first"), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn changes_reach_every_instance_when_the_store_forgets_its_history_or_is_away() {
    let site = Site::start(3, 1).await;
    site.store.inject(StoreFault { forget_history: Some(true), ..StoreFault::default() });
    SampleConfig::new(2).publish(&site.store);
    site.eventually(async || site.versions() == [2, 2, 2]).await;
    site.store.inject(StoreFault { down_ms: Some(1500), ..StoreFault::default() });
    tokio::time::sleep(Duration::from_millis(300)).await;
    for ix in 0..3 {
        expect_that!(site.get(ix, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
    }
    SampleConfig::new(3).publish(&site.store);
    site.eventually(async || site.versions() == [3, 3, 3]).await;
    site.store.inject(StoreFault { garbage: Some(true), ..StoreFault::default() });
    SampleConfig::new(4).publish(&site.store);
    tokio::time::sleep(Duration::from_millis(900)).await;
    expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
    site.store.inject(StoreFault { garbage: Some(false), ..StoreFault::default() });
    site.eventually(async || site.versions() == [4, 4, 4]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn only_hubs_watch_the_store() {
    let site = Site::start(4, 1).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let before = site.store.calls().reads;
    tokio::time::sleep(Duration::from_millis(2000)).await;
    let watches = site.store.calls().reads - before;
    // One hub's watches, each of 0.7 s, and nobody else's.
    expect_that!(watches, le(6));
    SampleConfig::new(2).publish(&site.store);
    site.eventually(async || site.versions() == [2, 2, 2, 2]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_what_was_answered_and_refused() {
    let site = Site::start(1, 1).await;
    site.get(0, "/quotes/1", &[KEY]).await.unwrap();
    site.get(0, "/nothing/1", &[KEY]).await.unwrap();
    let text = burdock_node::site::metrics::text(&site.nodes[0].node);
    expect_that!(text, contains_substring("burdock_requests 2\n"));
    expect_that!(text, contains_substring("burdock_requests_answered 1\n"));
    expect_that!(text, contains_substring("burdock_config_version 1\n"));
    expect_that!(text, contains_substring("burdock_request_ms_count{outcome=\"refused\"} 1\n"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_lapsed_lease_is_taken_anew() {
    let site = Site::start(2, 1).await;
    site.store.inject(StoreFault { lapse_leases: Some(true), ..StoreFault::default() });
    site.eventually(async || {
        site.store.keys().iter().filter(|k| k.starts_with("burdock/instances/")).count() == 2
    })
    .await;
    site.eventually(async || site.directory(0, "riga").await.len() == 2).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_lapsed_in_an_outage_stay_in_use_until_they_are_back() {
    let site = Site::start(1, 1).await;
    site.store.inject(StoreFault { down_ms: Some(1200), ..StoreFault::default() });
    remove_backend_entry(&site.store, "quotes-0");
    tokio::time::sleep(Duration::from_millis(1200)).await;
    for _ in 0..10 {
        expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    site.eventually(async || site.get(0, "/quotes/1", &[KEY]).await.unwrap().status == 503).await;
}

// Seen once: an instance that was cut off took the missing entry of one that had left for a lapsed one, and sent to it
// for two seconds more.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_that_left_during_a_cut_gets_nothing_afterwards() {
    let site = Site::start(1, 3).await;
    site.store.inject(StoreFault { down_ms: Some(1500), ..StoreFault::default() });
    tokio::time::sleep(Duration::from_millis(300)).await;
    remove_backend_entry(&site.store, "quotes-0");
    site.store.inject(StoreFault { forget_history: Some(true), ..StoreFault::default() });
    tokio::time::sleep(Duration::from_millis(1200)).await;
    let back = std::time::Instant::now();
    site.eventually(async || !site.used(0, "/quotes/").await.contains(&"quotes-0".to_owned())).await;
    expect_that!(back.elapsed(), lt(Duration::from_millis(1300)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_backend_server_gets_little_from_all_instances_together() {
    let site = Site::start(4, 2).await;
    site.entry(0).cold_s(30.0).publish(&site.store);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let before = site.standin("quotes-0").log().len();
    for nth in 0..40 {
        let object = nth.to_string();
        let headers = [KEY, ("x-burdockcroft-affinity-key", object.as_str())];
        // The work is long against differences in distance.
        let sent = (0..4).map(|ix| site.get(ix, "/quotes/1?delay_ms=30", &headers));
        for answer in futures::future::join_all(sent).await {
            expect_that!(answer.unwrap().status, eq(200));
        }
    }
    let got = site.standin("quotes-0").log().len() - before;
    // Over more than a second; the bound is 6 a second by 1.5 and 5 more.
    expect_that!(got, all!(ge(1), le(14)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_backend_servers_is_held_back_everywhere() {
    let site = Site::start(2, 6).await;
    for ix in 0..6 {
        let fault = BackendFault { crash_on: Some("poison".to_owned()), ..BackendFault::default() };
        site.standin(&format!("quotes-{ix}")).inject(fault);
    }
    let crashed = || (0..6).flat_map(|ix| site.standin(&format!("quotes-{ix}")).log()).count();
    // It is sent again and again, to either instance.
    for nth in 0..8 {
        let answer = site.get(nth % 2, "/quotes/poison", &[KEY]).await.unwrap();
        expect_that!(answer.status, any![eq(502), eq(503)]);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    // Three crashes, and an attempt that was under way when the third was told.
    expect_that!(crashed(), all!(ge(3), le(4)));
    // Another request at work in a crash is answered as usual.
    expect_that!(site.get(0, "/quotes/good", &[KEY]).await.unwrap().status, eq(200));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_that_loses_an_answer_is_neither_down_nor_cold() {
    let site = Site::start(1, 1).await;
    expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
    expect_that!(site.get(0, "/quotes/1?close=headers", &[KEY]).await.unwrap().status, eq(502));
    for _ in 0..10 {
        expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
    }
}
