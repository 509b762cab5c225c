//! Callers that send further requests before the first was answered.

mod site_support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use site_support::{Site, raw};

/// The time that a backend server takes for each request of these tests.
const WORK: Duration = Duration::from_millis(500);

fn request(path: &str, id: &str) -> String {
    let ms = WORK.as_millis();
    format!(
        "GET {path}?delay_ms={ms} HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: {id}\r\n\r\n"
    )
}

fn ids(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_owned).collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_another_run_beside_it_and_are_answered_in_order() {
    let site = Site::start(1, 2).await;
    let (tx, mut rx) = raw::open(site.callers(0)).await;
    let began = Instant::now();
    // The second is cut in the middle of its head.
    let (first, second) = (request("/quotes/1", "one"), request("/quotes/2", "two"));
    tx.send(format!("{first}{}", &second[..30]));
    tokio::time::sleep(WORK / 10).await;
    tx.send(format!("{}{}", &second[30..], request("/quotes/3", "three")));
    expect_that!(rx.next_ids(3).await, eq(&ids("one two three")));
    expect_that!(began.elapsed(), lt(WORK * 2));
    // The connection serves on.
    tx.send(request("/quotes/4", "four"));
    expect_that!(rx.next_ids(1).await, eq(&ids("four")));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_body_in_between_keeps_its_place() {
    let site = Site::start(1, 2).await;
    let (tx, mut rx) = raw::open(site.callers(0)).await;
    let body = "GET /quotes/9 HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-attempt-id: smuggled\r\n\r\n";
    let post = format!(
        "POST /quotes/2 HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: two\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    tx.send(format!("{}{post}{}", request("/quotes/1", "one"), request("/quotes/3", "three")));
    expect_that!(rx.next_ids(3).await, eq(&ids("one two three")));
    expect_that!(site.runs("smuggled"), eq(0));
    for id in ["one", "two", "three"] {
        expect_that!(site.runs(id), eq(1));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_be_repeated_waits_for_its_turn() {
    let site = Site::start(1, 2).await;
    let both = format!("{}{}", request("/quotes/1", "one"), request("/valves/1", "once"));
    raw::send_and_leave(site.callers(0), &both, WORK / 2).await;
    tokio::time::sleep(WORK * 2).await;
    expect_that!(site.runs("one"), eq(1));
    expect_that!(site.runs("once"), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn what_was_started_behind_another_request_is_answered_in_a_stop() {
    let mut site = Site::start(1, 2).await;
    let (tx, mut rx) = raw::open(site.callers(0)).await;
    let first = request("/quotes/1", "one").replace("delay_ms=500", "delay_ms=1500");
    let second = request("/quotes/2", "two").replace("delay_ms=500", "delay_ms=1800");
    tx.send(format!("{first}{second}"));
    tokio::time::sleep(WORK / 5).await;
    let stop = tokio::spawn(site.nodes.remove(0).stop());
    expect_that!(rx.next_ids(2).await, eq(&ids("one two")));
    stop.await.unwrap();
}

// The server library refuses such a request and closes the connection, so nothing behind it is a request.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_started_behind_a_length_that_is_no_number() {
    let site = Site::start(1, 2).await;
    for length in ["+5", "5, 5", "0x5", ""] {
        let (tx, mut rx) = raw::open(site.callers(0)).await;
        let odd = format!(
            "POST /quotes/2 HTTP/1.1\r\nhost: site.example\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: odd\r\ncontent-length: {length}\r\n\r\nhello"
        );
        tx.send(format!("{}{odd}{}", request("/quotes/1", "one"), request("/quotes/3", "smuggled")));
        expect_that!(rx.next_ids(1).await, eq(&ids("one")));
        tokio::time::sleep(WORK * 2).await;
        expect_that!(site.runs("smuggled"), eq(0), "length `{length}`");
    }
}
