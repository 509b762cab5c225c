//! Second copies of slow requests at an instance of a deployment, against the stand-ins.

mod site_support;

use std::time::Duration;

use burdock_decide::quarantine::{RequestIdentity, fingerprint};
use burdock_model::hash::stable_hash;
use burdock_model::ids::{BackendId, ServiceName};
use burdock_node::observe::counters::Counter;
use burdock_standin::backend::Fault;
use burdock_standin::site::{HOST, SampleConfig, route, set_evacuation};
use googletest::prelude::*;
use serde_json::{Value, json};
use site_support::{Answer, Site, raw};

const HEDGING_KEY: &str = "burdock/hedging";
const KEY: (&str, &str) = ("x-burdockcroft-key", "key-of-farm");
const OBJECT: (&str, &str) = ("x-burdockcroft-affinity-key", "1");
const ID: &str = "x-burdockcroft-attempt-id";

/// Path of a request that takes the usual time, well above what a busy machine adds to it.
const USUAL: &str = "/quotes/1?delay_ms=200";

/// Requests from which an instance learns the usual time and gets credit for several copies.
const LEARNED_REQUESTS: usize = 52;

/// Learned requests that are sent at once.
const LEARNED_AT_ONCE: usize = 4;

// Starts a site whose instance has learned the usual time, with a limit. Returns the id of the backend server
// that the object prefers as well.
async fn start_site(backends: usize, limit: f64) -> (Site, String) {
    let site = Site::start(1, backends).await;
    publish(&site, quotes_route("idempotent", &[]), 2).await;
    set_limit(&site, limit).await;
    let first = learn(&site, USUAL).await;
    (site, first)
}

// The latency target leaves time for a second copy, so that it counts as one that can meet the target.
fn quotes_route(kind: &str, regions: &[&str]) -> Value {
    let mut route = route("quotes", "/quotes/", kind, "quotes", false);
    route["target_latency_s"] = json!(1.5);
    route["allowed_regions"] = json!(regions);
    route
}

async fn publish(site: &Site, quotes: Value, version: u64) {
    let mut config = SampleConfig::new(version);
    config.routes[0] = quotes;
    config.publish(&site.store);
    site.wait_until(async || site.config_versions() == [version]).await;
}

// Sends requests that take the usual time and returns the backend server of the last.
async fn learn(site: &Site, path: &str) -> String {
    let mut first = String::new();
    for _ in 0..LEARNED_REQUESTS / LEARNED_AT_ONCE {
        let answers = futures::future::join_all((0..LEARNED_AT_ONCE).map(|_| get(site, "usual", path))).await;
        first = backend_of(&answers[0]);
    }
    first
}

async fn set_limit(site: &Site, limit: f64) {
    let record = json!({"limit": 0.0, "services": {"quotes": limit, "valves": limit}});
    site.store.publish(HEDGING_KEY, Some(record.to_string().as_bytes()));
    site.wait_until(async || limit_of_quotes(site) == limit).await;
}

fn limit_of_quotes(site: &Site) -> f64 {
    site.instances[0].node.hedge_limit(&ServiceName::new("quotes").unwrap()).share()
}

async fn get(site: &Site, id: &str, path: &str) -> Answer {
    site.get(0, path, &[KEY, OBJECT, (ID, id)]).await.unwrap()
}

fn backend_of(answer: &Answer) -> String {
    answer.json()["backend"].as_str().unwrap_or_default().to_owned()
}

fn stall(site: &Site, backend: &str) {
    site.standin(backend).inject(Fault { stall: Some(true), ..Fault::default() });
}

fn count(site: &Site, counter: Counter) -> u64 {
    site.instances[0].node.counters.get(counter)
}

// Second copies that were sent and that won, attempts that were cancelled, and retries.
fn hedge_counts(site: &Site) -> [u64; 4] {
    [Counter::Hedges, Counter::HedgesWon, Counter::HedgesCancelled, Counter::Retries].map(|c| count(site, c))
}

// Waits until no backend server has a request of the instance, by its own account.
async fn wait_until_idle(site: &Site) {
    let usable = site.instances[0].node.backends.usable();
    let is_idle = || usable.services.values().flatten().all(|b| b.own_in_flight() == 0);
    site.wait_until(async || is_idle()).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn second_copy_answers_for_a_stalled_backend_within_the_time_left() {
    // Guards against a loser that keeps its slot or whose connection is used again, and against a copy that
    // is given more time than its caller has.
    let (site, first) = start_site(2, 0.2).await;
    let before = hedge_counts(&site);
    let usable = site.instances[0].node.backends.usable();
    let stalled = usable.services.values().flatten().find(|b| b.registered.id.as_str() == first).unwrap();
    let open_before = stalled.pool.open_connections();
    stall(&site, &first);
    let answer = get(&site, "slow", "/quotes/1").await;
    expect_that!((answer.status, backend_of(&answer) != first), eq((200, true)));
    let time_left = answer.json()["headers"]["x-burdockcroft-deadline-ms"].as_str().unwrap().parse::<u64>();
    // The time limit of the route is 2 s.
    expect_that!(time_left.unwrap(), lt(1790));
    expect_that!((site.run_count("slow"), site.finished_count("slow")), eq((2, 1)));
    expect_that!(stalled.own_in_flight(), eq(0));
    // The runtime closes the connection a moment after its task was cancelled.
    site.wait_until(async || stalled.pool.open_connections() == open_before - 1).await;
    expect_that!(hedge_counts(&site), eq([before[0] + 1, before[1] + 1, before[2] + 1, 0]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn second_copy_is_cancelled_when_the_first_attempt_answers() {
    let (site, first) = start_site(2, 0.2).await;
    let before = hedge_counts(&site);
    let answer = get(&site, "slow", "/quotes/1?delay_ms=900").await;
    expect_that!((answer.status, backend_of(&answer) == first), eq((200, true)));
    wait_until_idle(&site).await;
    tokio::time::sleep(Duration::from_millis(1000)).await;
    expect_that!((site.run_count("slow"), site.finished_count("slow")), eq((2, 1)));
    expect_that!(hedge_counts(&site), eq([before[0] + 1, before[1], before[2] + 1, 0]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn failed_first_attempt_waits_for_the_second_copy_without_a_retry() {
    let (site, first) = start_site(3, 0.2).await;
    let request = get(&site, "slow", "/quotes/1?delay_ms=900");
    let crash = async {
        site.wait_until(async || site.run_count("slow") == 2).await;
        site.standin(&first).stop();
    };
    let (answer, ()) = tokio::join!(request, crash);
    expect_that!((answer.status, backend_of(&answer) != first), eq((200, true)));
    expect_that!((site.run_count("slow"), hedge_counts(&site)[3]), eq((2, 0)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn both_attempts_are_cancelled_when_the_caller_leaves() {
    let (site, _first) = start_site(2, 0.2).await;
    for id in ["quotes-0", "quotes-1"] {
        stall(&site, id);
    }
    let (key, object) = (KEY.1, OBJECT.1);
    let text = format!(
        "GET /quotes/1 HTTP/1.1\r\nhost: {HOST}\r\n{}: {key}\r\n{}: {object}\r\n{ID}: left\r\n\r\n",
        KEY.0, OBJECT.0
    );
    raw::send_and_close(site.callers_address(0), &text, Duration::from_millis(900)).await;
    expect_that!(site.run_count("left"), eq(2));
    let started = std::time::Instant::now();
    wait_until_idle(&site).await;
    expect_that!(started.elapsed(), lt(Duration::from_millis(700)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn limit_changes_while_traffic_runs_and_invalid_ones_are_rejected() {
    // Credit for one copy, as two slow requests run at once. The second site's limit is zero by then.
    for (limit, runs, over_limit) in [(0.02, 3, 1), (0.0, 2, 0)] {
        let (site, _first) = start_site(2, 0.02).await;
        set_limit(&site, limit).await;
        tokio::join!(
            get(&site, "slow", "/quotes/1?delay_ms=700"),
            get(&site, "slow", "/quotes/1?delay_ms=700")
        );
        expect_that!(
            (site.run_count("slow"), count(&site, Counter::HedgesOverLimit)),
            eq((runs, over_limit))
        );
    }
    let site = Site::start(1, 1).await;
    set_limit(&site, 0.2).await;
    for invalid in [json!({"limit": 0.3}), json!({"limit": "0.05"}), json!({"limits": 0.1}), json!(-1)] {
        let before = count(&site, Counter::EntriesInvalid);
        site.store.publish(HEDGING_KEY, Some(invalid.to_string().as_bytes()));
        site.wait_until(async || count(&site, Counter::EntriesInvalid) > before).await;
        expect_that!(limit_of_quotes(&site), eq(0.2));
    }
    site.store.publish(HEDGING_KEY, None);
    site.wait_until(async || limit_of_quotes(&site) == 0.0).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn commands_uploads_and_suspects_are_never_sent_twice() {
    let (site, _first) = start_site(2, 0.2).await;
    for _ in 0..LEARNED_REQUESTS {
        site.post(0, "/valves/1?delay_ms=20", &[KEY, OBJECT], "open").await.unwrap();
    }
    let with_id = |id| [KEY, OBJECT, (ID, id)];
    let node = &site.instances[0].node;
    let identity = RequestIdentity {
        organisation: "farm",
        method: "GET",
        path: "/quotes/7?delay_ms=800",
        body_hash: stable_hash(b"", 0),
        idempotency_key: None,
    };
    let crashed = BackendId::new("quotes-9").unwrap();
    node.quarantine.record_crash(fingerprint(&identity), &crashed, node.clock.now());
    // Above the size up to which bodies are held.
    let long = "x".repeat(300 << 10);
    let (upload_headers, command_headers) = (with_id("upload"), with_id("command"));
    // At once, since a slow backend server changes what is expected of later requests.
    tokio::join!(
        get(&site, "repeatable", "/quotes/1?delay_ms=800"),
        get(&site, "suspect", identity.path),
        site.post(0, "/quotes/1?delay_ms=800", &upload_headers, &long),
        site.post(0, "/valves/1?delay_ms=800", &command_headers, "open"),
    );
    for (id, runs) in [("repeatable", 2), ("suspect", 1), ("upload", 1), ("command", 1)] {
        expect_that!(site.run_count(id), eq(runs), "{id}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_became_a_command_while_it_ran_is_not_sent_twice() {
    // The usual time leaves time for the change of the configuration.
    let (site, first) = start_site(2, 0.2).await;
    stall(&site, &first);
    let change = async {
        site.wait_until(async || site.run_count("changed") == 1).await;
        publish(&site, quotes_route("non_idempotent", &[]), 3).await;
    };
    tokio::join!(get(&site, "changed", "/quotes/1"), change);
    expect_that!(site.run_count("changed"), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn second_copy_keeps_to_regions_drains_evacuations_and_cold_backends() {
    // The other backend server is out of bounds in each case, so the request runs once.
    for case in ["region", "drain", "evacuation", "cold"] {
        let (site, first) = start_site(2, 0.2).await;
        let other_ix = usize::from(first == "quotes-0");
        let zone = site.backends[other_ix].zone;
        match case {
            "region" => {
                let region = if first == "quotes-0" { "riga" } else { "jelgava" };
                publish(&site, quotes_route("idempotent", &[region]), 3).await;
            }
            "drain" => site.entry(other_ix).state("draining").publish(&site.store),
            "evacuation" => set_evacuation(&site.store, zone, true),
            _ => {
                site.entry(other_ix).started_ms(2).cold_s(30.0).publish(&site.store);
                let node = &site.instances[0].node;
                let find = || {
                    let usable = node.backends.usable();
                    usable.services.values().flatten().find(|b| b.is_cold(node.clock.now())).cloned()
                };
                site.wait_until(async || find().is_some()).await;
                // From now on tokens arrive, so that only its being cold is against it.
                let _taken = find().unwrap().take_cold_token(6.0, node.clock.now());
            }
        }
        tokio::time::sleep(Duration::from_millis(900)).await;
        let before = count(&site, Counter::HedgesWithoutBackend);
        get(&site, case, "/quotes/1?delay_ms=800").await;
        expect_that!(site.run_count(case), eq(1), "{case}");
        expect_that!(count(&site, Counter::HedgesWithoutBackend), eq(before + 1), "{case}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_second_copies_while_the_service_is_under_pressure() {
    let (site, _first) = start_site(2, 0.2).await;
    let before = count(&site, Counter::Hedges);
    let busy = (0..11).map(|_| get(&site, "busy", "/quotes/1?delay_ms=900"));
    futures::future::join_all(busy).await;
    expect_that!(count(&site, Counter::Hedges), eq(before));
    expect_that!(count(&site, Counter::HedgesUnderPressure), gt(0));
}
