//! Request bodies: memory that they take, and quarantine of requests whose bodies are forwarded as they arrive.

mod site_support;

use std::time::Duration;

use burdock_decide::quarantine::{RequestIdentity, fingerprint};
use burdock_model::hash::stable_hash;
use burdock_model::ids::BackendId;
use burdock_standin::backend::Fault as BackendFault;
use googletest::prelude::*;
use site_support::{Site, raw};

const KEY: (&str, &str) = ("x-burdockcroft-key", "key-of-farm");

/// Size of a body that is forwarded as it arrives.
const STREAMED_BYTES: usize = 300_000;

/// Time in which instances learn of each other's strikes.
const REPORT_TIME: Duration = Duration::from_millis(300);

// Three crashes, and an attempt that was in flight when the third was reported.
const MAX_CRASHES: usize = 4;

// Guards against a random fingerprint of a streamed body: 34 to 37 crashes by one request were seen.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_with_a_streamed_body_that_crashes_backends_is_quarantined() {
    let site = Site::start(2, 6).await;
    for ix in 0..6 {
        let fault = BackendFault { crash_on: Some("poison".to_owned()), ..BackendFault::default() };
        site.standin(&format!("quotes-{ix}")).inject(fault);
    }
    let body = "p".repeat(STREAMED_BYTES);
    for nth in 0..8 {
        let answer = site.post(nth % 2, "/quotes/poison", &[KEY], &body).await.unwrap();
        expect_that!(answer.status, any![eq(502), eq(503)]);
        tokio::time::sleep(REPORT_TIME).await;
    }
    let crashes = (0..6).flat_map(|ix| site.standin(&format!("quotes-{ix}")).log()).count();
    expect_that!(crashes, all!(ge(3), le(MAX_CRASHES)));
    // Another body at the same path is not refused.
    let other = format!("q{}", &body[1..]);
    expect_that!(site.post(0, "/quotes/poison", &[KEY], &other).await.unwrap().status, eq(502));
}

// Guards against a crash that does not count because the head of an answer came before it, or because part of
// the answer has gone to the caller: 40 to 44 crashes by one request were seen.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_after_the_head_of_an_answer_counts() {
    // A part that is held, and one of which the start has gone to the caller.
    for sent_bytes in [10, 2 << 20] {
        let site = Site::start(2, 0).await;
        let mut backends = Vec::new();
        for nth in 0..7 {
            let answer = move |id: &str| {
                let mut answer = raw::build_answer(id, &"x".repeat(4 << 20));
                answer.truncate(answer.len() - (4 << 20) + sent_bytes);
                answer
            };
            let backend = raw::Backend::start_crashing(answer).await;
            site.register(&format!("quotes-raw-{nth}"), "quotes", backend.address);
            backends.push(backend);
        }
        wait_for_backends(&site, 7).await;
        for nth in 0..8 {
            let answer = site.get(nth % 2, "/quotes/poison", &[KEY]).await;
            expect_that!(answer.map_or(502, |a| a.status), any![eq(502), eq(503)]);
            tokio::time::sleep(REPORT_TIME).await;
        }
        let crashes: usize = backends.iter().map(raw::Backend::requests).sum();
        expect_that!(crashes, all!(ge(3), le(MAX_CRASHES)), "{sent_bytes} bytes sent");
    }
}

// Guards against strikes by id of a backend server: of two that start again under their ids, a request never
// had three, and crashed 18 to 20.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crashes_of_a_backend_that_starts_again_under_its_id_count() {
    let site = Site::start(1, 0).await;
    let mut backends = Vec::new();
    for started_ms in 1..=5 {
        for id in ["quotes-a", "quotes-b"] {
            let backend = raw::Backend::start_crashing(|_id| Vec::new()).await;
            let entry = site.entry_of(id, "quotes", backend.address);
            entry.started_ms(started_ms).sequence(started_ms).publish(&site.store);
            backends.push(backend);
        }
        site.wait_until(async || {
            let usable = site.instances[0].node.backends.usable();
            let backends = usable.services.values().flatten();
            backends.filter(|b| b.registered.started_ms == started_ms).count() == 2
        })
        .await;
        // A backend server that has just started again takes few requests at first.
        for _ in 0..5 {
            let answer = site.get(0, "/quotes/poison", &[KEY]).await.unwrap();
            expect_that!(answer.status, any![eq(502), eq(503)]);
            tokio::time::sleep(REPORT_TIME).await;
        }
    }
    let crashes: usize = backends.iter().map(raw::Backend::requests).sum();
    expect_that!(crashes, all!(ge(3), le(MAX_CRASHES)));
}

// Guards against another body with the same start that is answered, which clears what the start tells of a
// body in quarantine.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn streamed_body_whose_whole_is_in_quarantine_never_reaches_a_backend_whole() {
    let site = Site::start(1, 1).await;
    let node = &site.instances[0].node;
    let body = "p".repeat(STREAMED_BYTES);
    let whole = fingerprint(&RequestIdentity {
        organisation: "farm",
        method: "POST",
        path: "/quotes/1",
        body_hash: stable_hash(body.as_bytes(), 0),
        idempotency_key: None,
    });
    for nth in 0..3 {
        let run = BackendId::new(&format!("run-{nth}")).unwrap();
        node.quarantine.record_crash(whole, &run, node.clock.now());
    }
    let headers = [KEY, ("x-burdockcroft-attempt-id", "whole")];
    expect_that!(site.post(0, "/quotes/1", &headers, &body).await.unwrap().status, eq(502));
    expect_that!(site.finished_count("whole"), eq(0));
    // The backend server is not blamed, and serves a body that differs only at its end.
    let other = format!("{}q", &body[1..]);
    expect_that!(site.post(0, "/quotes/1", &[KEY], &other).await.unwrap().status, eq(200));
}

async fn wait_for_backends(site: &Site, count: usize) {
    site.wait_until(async || {
        site.instances.iter().all(|i| i.node.backends.usable().services.values().flatten().count() == count)
    })
    .await;
}
