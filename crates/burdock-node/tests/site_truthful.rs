//! Answers that callers take as a promise, and connections that end early.

mod site_support;

use std::time::Duration;

use burdock_node::observe::counters::Counter;
use googletest::prelude::*;
use site_support::{Site, raw};

const KEY: (&str, &str) = ("x-burdockcroft-key", "key-of-farm");

const NOT_RUN_MARK: &str = "x-burdockcroft-not-executed: 1\r\n";

// Starts a backend server of both services that answers everything with a status and header lines.
async fn start_answering(status: &'static str, headers: &'static str) -> (Site, raw::Backend) {
    let site = Site::start(1, 0).await;
    let backend = raw::Backend::start(move |id| {
        vec![(Duration::ZERO, raw::build_answer_with(&id, status, headers, "busy"))]
    })
    .await;
    for service in ["quotes", "valves"] {
        site.register(&format!("{service}-raw"), service, backend.address);
    }
    let node = &site.instances[0].node;
    site.wait_until(async || node.backends.usable().services.len() == 2).await;
    (site, backend)
}

// Guards against a command that has run and is answered with a status by which its caller sends it again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unmarked_refusal_of_a_request_that_may_run_once_becomes_502_without_seal() {
    for status in
        ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout", "421 Misdirected Request"]
    {
        let (site, backend) = start_answering(status, "retry-after: 0.5\r\n").await;
        let answer = site.post(0, "/valves/1", &[KEY], "open").await.unwrap();
        expect_that!(answer.status, eq(502), "{status}");
        expect_that!(answer.header("x-burdockcroft-response-seal"), none(), "{status}");
        expect_that!(answer.header("retry-after"), none(), "{status}");
        expect_that!(backend.requests(), eq(1), "{status}");
        let counters = &site.instances[0].node.counters;
        expect_that!(counters.get(Counter::MisleadingStatuses), eq(1), "{status}");
    }
}

// Guards against changing answers that the rule does not concern: other statuses, and requests that may be
// repeated.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn other_statuses_and_repeatable_requests_keep_the_answer_and_its_seal() {
    let (site, _backend) = start_answering("500 Internal Server Error", "").await;
    let answer = site.post(0, "/valves/1", &[KEY], "open").await.unwrap();
    expect_that!((answer.status, answer.header("x-burdockcroft-response-seal")), eq((500, Some("1.2"))));
    let (site, _backend) = start_answering("503 Service Unavailable", "").await;
    let answer = site.get(0, "/quotes/1", &[KEY]).await.unwrap();
    expect_that!((answer.status, answer.header("x-burdockcroft-response-seal")), eq((503, Some("1.2"))));
    let (site, _backend) = start_answering("429 Too Many Requests", "").await;
    let answer = site.get(0, "/quotes/1", &[KEY]).await.unwrap();
    expect_that!((answer.status, answer.header("x-burdockcroft-response-seal")), eq((429, Some("1.2"))));
}

// Guards against losing the promise where the backend server makes it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn marked_refusal_of_a_request_that_may_run_once_stays_a_promise() {
    let (site, _backend) = start_answering("503 Service Unavailable", NOT_RUN_MARK).await;
    let answer = site.post(0, "/valves/1", &[KEY], "open").await.unwrap();
    expect_that!((answer.status, answer.header("x-burdockcroft-response-seal")), eq((503, None)));
}
