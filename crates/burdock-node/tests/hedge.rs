//! Second copies of slow requests at an instance of the project's own interface, against the stand-ins.

use std::time::Duration;

use burdock_decide::pick::RAMP_UP_TIME;
use burdock_node::demo::{Demo, DemoBackend, DemoSettings};
use burdock_node::observe::counters::Counter;
use burdock_standin::backend::Fault;
use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

const USUAL_REQUESTS: usize = 40;

/// Deadline that callers send, in milliseconds.
const DEADLINE_MS: &str = "1500";

// Sends a request and returns the status of the response.
async fn send(demo: &Demo, method: &str, path: &str) -> u16 {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", demo.nodes[0].node.settings.listen.callers))
        .header("x-api-key", &demo.keys[0].key)
        .header("burdock-deadline-ms", DEADLINE_MS)
        .header("idempotency-key", path);
    send_request(req, String::new()).await
}

async fn patch_settings(demo: &Demo, settings: Value) -> u16 {
    let req = Request::builder()
        .method("PATCH")
        .uri(format!("http://{}/v1/tree/settings", demo.nodes[0].node.settings.listen.admin))
        .header("authorization", format!("Bearer {}", demo.token))
        .header("content-type", "application/json");
    send_request(req, settings.to_string()).await
}

async fn send_request(req: http::request::Builder, body: String) -> u16 {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let req = req.body(Full::new(Bytes::from(body))).expect("a request");
    client.request(req).await.expect("a response").status().as_u16()
}

fn run_count(demo: &Demo, path: &str) -> usize {
    demo.backends.iter().flat_map(|b| b.standin.log()).filter(|r| r.path == path).count()
}

// Sends a request and returns the backend server that ran it. As the one with the least expected time, it also gets
// the next one.
async fn next_backend<'a>(demo: &'a Demo, path: &str) -> &'a DemoBackend {
    expect_that!(send(demo, "GET", path).await, eq(200));
    let ran = |b: &&DemoBackend| b.standin.log().iter().any(|r| r.path == path);
    demo.backends.iter().find(ran).expect("a backend server that ran it")
}

fn inject_stall(backend: &DemoBackend, stall: bool) {
    backend.standin.inject(Fault { stall: Some(stall), ..Fault::default() });
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn slow_requests_get_a_second_copy_within_the_limit_of_the_tree() {
    // Guards against a limit that is not in force, and against a command that is sent twice.
    let demo = DemoSettings::default().instances(1).backends(6).start().await.expect("the system starts");
    let count = |counter| demo.nodes[0].node.counters.get(counter);
    expect_that!(patch_settings(&demo, json!({"hedge_limit": 0.3})).await, eq(422));
    expect_that!(patch_settings(&demo, json!({"hedge_limit": 0.2})).await, eq(200));
    // Backend servers that have just come into use get no second copies.
    tokio::time::sleep(RAMP_UP_TIME).await;
    for nth in 0..USUAL_REQUESTS {
        expect_that!(send(&demo, "GET", &format!("/quotes/usual-{nth}?delay_ms=30")).await, eq(200));
    }
    let stalled = next_backend(&demo, "/quotes/next-1").await;
    inject_stall(stalled, true);
    let before = count(Counter::HedgesWon);
    for nth in 0..6 {
        expect_that!(send(&demo, "GET", &format!("/quotes/slow-{nth}")).await, eq(200));
    }
    expect_that!(count(Counter::HedgesWon), gt(before));
    expect_that!((count(Counter::Retries), count(Counter::HedgesCancelled)), eq((0, count(Counter::Hedges))));
    // Two commands reach both local backend servers, or the stalled one twice.
    for nth in 0..4 {
        let path = format!("/bookings/{nth}");
        send(&demo, "POST", &path).await;
        expect_that!(run_count(&demo, &path), eq(1), "{path}");
    }
    expect_that!(patch_settings(&demo, json!({"hedge_limit": 0})).await, eq(200));
    inject_stall(stalled, false);
    inject_stall(next_backend(&demo, "/quotes/next-2").await, true);
    let before = count(Counter::Hedges);
    let slow = (0..4).map(|_| send(&demo, "GET", "/quotes/off"));
    let statuses = futures::future::join_all(slow).await;
    expect_that!(statuses.contains(&504), eq(true));
    expect_that!(count(Counter::Hedges), eq(before));
    tokio::time::timeout(Duration::from_secs(10), demo.stop()).await.expect("the system stops");
}
