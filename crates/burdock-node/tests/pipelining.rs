//! HTTP/1.1 pipelining: callers that send further requests before the first answer.

mod site_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use burdock_node::observe::counters::Counter;
use burdock_standin::site::{SampleConfig, organisation};
use googletest::prelude::*;
use parking_lot::Mutex;
use site_support::{Site, raw};

/// Service time of each request.
const SERVICE_TIME: Duration = Duration::from_millis(500);

fn request(path: &str, id: &str) -> String {
    let ms = SERVICE_TIME.as_millis();
    format!(
        "GET {path}?delay_ms={ms} HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: {id}\r\n\r\n"
    )
}

fn ids(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_owned).collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    let site = Site::start(1, 2).await;
    let (tx, mut rx) = raw::connect(site.callers_address(0)).await;
    let started_at = Instant::now();
    // The second request arrives in two parts, split within its head.
    let (first, second) = (request("/quotes/1", "one"), request("/quotes/2", "two"));
    tx.send(format!("{first}{}", &second[..30]));
    tokio::time::sleep(SERVICE_TIME / 10).await;
    tx.send(format!("{}{}", &second[30..], request("/quotes/3", "three")));
    expect_that!(rx.next_ids(3).await, eq(&ids("one two three")));
    expect_that!(started_at.elapsed(), lt(SERVICE_TIME * 2));
    // The connection stays usable.
    tx.send(request("/quotes/4", "four"));
    expect_that!(rx.next_ids(1).await, eq(&ids("four")));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_request_with_body_is_answered_in_order() {
    let site = Site::start(1, 2).await;
    let (tx, mut rx) = raw::connect(site.callers_address(0)).await;
    let body = "GET /quotes/9 HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-attempt-id: smuggled\r\n\r\n";
    let post = format!(
        "POST /quotes/2 HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: two\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    tx.send(format!("{}{post}{}", request("/quotes/1", "one"), request("/quotes/3", "three")));
    expect_that!(rx.next_ids(3).await, eq(&ids("one two three")));
    expect_that!(site.run_count("smuggled"), eq(0));
    for id in ["one", "two", "three"] {
        expect_that!(site.run_count(id), eq(1));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_non_repeatable_request_waits_for_the_previous_answer() {
    let site = Site::start(1, 2).await;
    let requests = format!("{}{}", request("/quotes/1", "one"), request("/valves/1", "once"));
    raw::send_and_close(site.callers_address(0), &requests, SERVICE_TIME / 2).await;
    tokio::time::sleep(SERVICE_TIME * 2).await;
    expect_that!(site.run_count("one"), eq(1));
    expect_that!(site.run_count("once"), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn started_pipelined_requests_are_answered_during_shutdown() {
    let mut site = Site::start(1, 2).await;
    let (tx, mut rx) = raw::connect(site.callers_address(0)).await;
    let first = request("/quotes/1", "one").replace("delay_ms=500", "delay_ms=1500");
    let second = request("/quotes/2", "two").replace("delay_ms=500", "delay_ms=1800");
    tx.send(format!("{first}{second}"));
    tokio::time::sleep(SERVICE_TIME / 5).await;
    let stop = tokio::spawn(site.instances.remove(0).stop());
    expect_that!(rx.next_ids(2).await, eq(&ids("one two")));
    stop.await.unwrap();
}

// The server library refuses such a request and closes the connection, so the bytes behind it must not start
// a request.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_request_starts_behind_an_invalid_content_length() {
    let site = Site::start(1, 2).await;
    for length in ["+5", "5, 5", "0x5", ""] {
        let (tx, mut rx) = raw::connect(site.callers_address(0)).await;
        let odd = format!(
            "POST /quotes/2 HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: odd\r\ncontent-length: {length}\r\n\r\nhello"
        );
        tx.send(format!("{}{odd}{}", request("/quotes/1", "one"), request("/quotes/3", "smuggled")));
        expect_that!(rx.next_ids(1).await, eq(&ids("one")));
        tokio::time::sleep(SERVICE_TIME * 2).await;
        expect_that!(site.run_count("smuggled"), eq(0), "length `{length}`");
    }
}

/// Body that is longer than one piece of what the HTTP server reads, and that arrives whole with what is behind it.
const REFUSED_BODY_BYTES: usize = 34_000;

// Guards against losing requests that run behind a body which nobody reads, as seen in review case 8.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_a_body_over_the_rate_are_answered() {
    const CONNECTIONS: usize = 12;
    let mut config = SampleConfig::new(2);
    // An instance asks its hub for the first token of each organisation, so each refusal takes a moment.
    for nth in 0..CONNECTIONS {
        let (name, key) = (format!("tight-{nth}"), format!("key-{nth}"));
        config.organisations.push(organisation(&name, &[&key], 0.01, 0.01));
    }
    let site = Site::start(2, 2).await;
    config.publish(&site.store);
    site.wait_until(async || site.config_versions() == [2; 2]).await;
    let mut connections = Vec::new();
    for nth in 0..CONNECTIONS {
        let (tx, mut rx) = raw::connect(site.callers_address(nth % 2)).await;
        let post = format!(
            "POST /valves/1 HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-key: key-{nth}\r\nx-burdockcroft-attempt-id: {nth}-post\r\ncontent-length: {REFUSED_BODY_BYTES}\r\n\r\n{}",
            "b".repeat(REFUSED_BODY_BYTES)
        );
        let behind = ["one", "two"].map(|name| request("/public/1", &format!("{nth}-{name}")));
        connections.push(tokio::spawn(async move {
            tx.send(post + &behind.concat());
            rx.next_ids(3).await
        }));
    }
    let mut lost = Vec::new();
    for (nth, connection) in connections.into_iter().enumerate() {
        let expected = ["post", "one", "two"].map(|name| format!("{nth}-{name}"));
        let answered = connection.await.unwrap();
        expect_that!(answered, eq(&expected));
        expect_that!(site.run_count(&expected[0]), eq(0));
        lost.extend(expected.into_iter().filter(|id| !answered.contains(id) && site.run_count(id) > 0));
    }
    expect_that!(lost, is_empty());
    let dropped = site.instances.iter().map(|i| i.node.counters.get(Counter::EarlyRequestsDropped));
    expect_that!(dropped.sum::<u64>(), eq(0));
}

/// Size of an answer that is too long to be held, and how much of it is sent.
const LONG_ANSWER_BYTES: usize = 8 << 20;
const SENT_BYTES: usize = 3 << 20;

// Guards against losing requests that arrive while a long answer is forwarded, which may still break off.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_request_starts_behind_an_answer_that_is_being_forwarded() {
    let site = Site::start(1, 0).await;
    let arrived: Arc<Mutex<Vec<String>>> = Arc::default();
    let noted = Arc::clone(&arrived);
    let backend = raw::Backend::start(move |id| {
        noted.lock().push(id.clone());
        if id != "long" {
            return vec![(SERVICE_TIME / 5, raw::build_answer(&id, "whole"))];
        }
        let mut answer = raw::build_answer(&id, &"x".repeat(LONG_ANSWER_BYTES));
        answer.truncate(SENT_BYTES);
        vec![(Duration::ZERO, answer)]
    })
    .await;
    site.register("quotes-raw", "quotes", backend.address);
    site.wait_until(async || !site.instances[0].node.backends.usable().services.is_empty()).await;
    // The route has had whole answers, so that requests start behind its requests.
    let (tx, mut rx) = raw::connect(site.callers_address(0)).await;
    tx.send(request("/quotes/1", "first"));
    expect_that!(rx.next_ids(1).await, eq(&ids("first")));
    tx.send(request("/quotes/1", "long"));
    expect_that!(rx.next_ids(1).await, eq(&ids("long")));
    let behind = ["one", "two", "three", "four"];
    tx.send(behind.map(|id| request("/quotes/1", id)).concat());
    tokio::time::sleep(SERVICE_TIME / 2).await;
    expect_that!(*arrived.lock(), eq(&ids("first long")));
}
