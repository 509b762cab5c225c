//! Backend servers that say in their answers that they are leaving, or that they want no requests for a while.

mod site_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use burdock_model::ids::ServiceName;
use burdock_standin::site::remove_backend_entry;
use googletest::prelude::*;
use site_support::{Site, raw};

const KEY: (&str, &str) = ("x-burdockcroft-key", "key-of-farm");
const LEAVING: &str = "Server-Leaving: 1\r\n";

// A backend server that says that it is leaving once the flag is set.
async fn start_leaver(header: &'static str) -> (raw::Backend, Arc<AtomicBool>) {
    let is_leaving = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&is_leaving);
    let backend = raw::Backend::start(move |id| {
        let headers = if flag.load(Ordering::Relaxed) { header } else { "" };
        vec![(Duration::ZERO, raw::build_answer_with(&id, "200 OK", headers, "ok"))]
    })
    .await;
    (backend, is_leaving)
}

async fn wait_until_served(site: &Site, ix: usize) {
    site.wait_until(async || site.get(ix, "/quotes/1", &[KEY]).await.is_some_and(|a| a.status == 200)).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_backend_receives_nothing_after_its_answer_says_so() {
    for header in [LEAVING, "X-Burdockcroft-Server-Leaving: 1\r\n"] {
        let site = Site::start(1, 0).await;
        let (leaver, is_leaving) = start_leaver(header).await;
        site.register("quotes-raw", "quotes", leaver.address);
        wait_until_served(&site, 0).await;
        is_leaving.store(true, Ordering::Relaxed);
        expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
        let before = leaver.requests();
        // A refusal, and neither a retry nor a kept connection reaches it. An entry of the same process that
        // was written late says nothing new.
        site.entry_of("quotes-raw", "quotes", leaver.address).sequence(2).publish(&site.store);
        for _ in 0..10 {
            expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(503));
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        expect_that!(leaver.requests(), eq(before));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_backend_stays_out_when_its_entry_is_removed_and_written_again() {
    let site = Site::start(1, 0).await;
    let (leaver, is_leaving) = start_leaver(LEAVING).await;
    site.register("quotes-raw", "quotes", leaver.address);
    wait_until_served(&site, 0).await;
    is_leaving.store(true, Ordering::Relaxed);
    expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
    remove_backend_entry(&site.store, "quotes-raw");
    site.register("quotes-raw", "quotes", leaver.address);
    let before = leaver.requests();
    for _ in 0..10 {
        expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(503));
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    expect_that!(leaver.requests(), eq(before));
    // Another process under the same id is not bound by it.
    is_leaving.store(false, Ordering::Relaxed);
    site.entry_of("quotes-raw", "quotes", leaver.address).started_ms(2).publish(&site.store);
    wait_until_served(&site, 0).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn other_instances_learn_of_a_leaving_backend_within_half_a_second() {
    let site = Site::start(3, 0).await;
    let (leaver, is_leaving) = start_leaver(LEAVING).await;
    site.register("quotes-raw", "quotes", leaver.address);
    for ix in 0..3 {
        wait_until_served(&site, ix).await;
    }
    is_leaving.store(true, Ordering::Relaxed);
    expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200));
    let said_at = Instant::now();
    let usable = |ix: usize| site.instances[ix].node.backends.usable().services.len();
    site.wait_until(async || (0..3).all(|ix| usable(ix) == 0)).await;
    // Two reports, each 250 ms apart.
    expect_that!(said_at.elapsed(), le(Duration::from_millis(600)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_runs_at_a_leaving_backend_ends_in_peace() {
    let site = Site::start(1, 0).await;
    let (leaver, _) = start_leaver(LEAVING).await;
    let slow = raw::Backend::start(|id| {
        vec![(Duration::from_millis(600), raw::build_answer_with(&id, "200 OK", LEAVING, "slow"))]
    })
    .await;
    site.register("quotes-slow", "quotes", slow.address);
    let _first = site.get(0, "/quotes/1", &[KEY]);
    site.wait_until(async || !site.instances[0].node.backends.usable().services.is_empty()).await;
    let headers = [KEY];
    let both = futures::future::join(site.get(0, "/quotes/1", &headers), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.get(0, "/quotes/2", &headers).await
    });
    let (first, second) = both.await;
    expect_that!(first.unwrap().status, eq(200));
    // It was sent before the first answer said that the backend server leaves.
    expect_that!(second.unwrap().status, eq(200));
    drop(leaver);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn earlier_report_of_a_process_does_not_undo_its_drain() {
    let site = Site::start(1, 2).await;
    let service = ServiceName::new("quotes").unwrap();
    site.entry(0).state("draining").sequence(5).publish(&site.store);
    site.wait_until(async || site.backends_used(0, "/quotes/").await == ["quotes-1"]).await;
    site.entry(0).sequence(4).publish(&site.store);
    tokio::time::sleep(Duration::from_millis(400)).await;
    expect_that!(site.backends_used(0, "/quotes/").await, eq(&vec!["quotes-1".to_owned()]));
    // An entry of the process before it says nothing, either; a later process is another one.
    site.entry(0).started_ms(0).sequence(9).publish(&site.store);
    site.entry(0).started_ms(7).publish(&site.store);
    let usable = || site.instances[0].node.backends.usable().services[&service].len();
    site.wait_until(async || usable() == 2).await;
    site.entry(0).started_ms(6).state("draining").sequence(99).publish(&site.store);
    tokio::time::sleep(Duration::from_millis(400)).await;
    expect_that!(usable(), eq(2));
}

const SHED: &str = "x-burdockcroft-not-executed: 1\r\n";

// A backend server that turns requests away with a `Retry-After` until the flag is set.
async fn start_refuser(retry_after: &'static str) -> (raw::Backend, Arc<AtomicBool>) {
    let accepts = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&accepts);
    let backend = raw::Backend::start(move |id| {
        let headers = format!("{SHED}Retry-After: {retry_after}\r\n");
        let answer = if flag.load(Ordering::Relaxed) {
            raw::build_answer(&id, "ok")
        } else {
            raw::build_answer_with(&id, "503 Service Unavailable", &headers, "")
        };
        vec![(Duration::ZERO, answer)]
    })
    .await;
    (backend, accepts)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn backend_that_turns_away_is_left_alone_until_its_time_ends() {
    let site = Site::start(1, 0).await;
    let (refuser, accepts) = start_refuser("1.5").await;
    site.register("quotes-raw", "quotes", refuser.address);
    site.wait_until(async || {
        let _refused = site.get(0, "/quotes/1", &[KEY]).await;
        refuser.requests() == 1
    })
    .await;
    let turned_away_at = Instant::now();
    while turned_away_at.elapsed() < Duration::from_millis(1350) {
        let answer = site.get(0, "/quotes/1", &[KEY]).await.unwrap();
        expect_that!(answer.status, eq(503));
        // Callers are told when the first backend server takes requests again.
        let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        expect_that!(wait + turned_away_at.elapsed().as_secs_f64(), ge(1.4));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    expect_that!(refuser.requests(), eq(1));
    // At the end a single request finds out whether it takes more.
    tokio::time::sleep(Duration::from_millis(250)).await;
    let probes = (0..8).map(|_| site.get(0, "/quotes/1", &[KEY]));
    let _refused = futures::future::join_all(probes).await;
    expect_that!(refuser.requests(), eq(2));
    accepts.store(true, Ordering::Relaxed);
    wait_until_served(&site, 0).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn absurd_retry_after_does_not_remove_a_backend() {
    for absurd in ["-5", "soon", "Sat, 05 Dec 2026 10:00:00 GMT", "NaN", ""] {
        let site = Site::start(1, 0).await;
        let (refuser, accepts) = start_refuser(absurd).await;
        site.register("quotes-raw", "quotes", refuser.address);
        site.wait_until(async || {
            let _refused = site.get(0, "/quotes/1", &[KEY]).await;
            refuser.requests() >= 1
        })
        .await;
        accepts.store(true, Ordering::Relaxed);
        expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(200), "{absurd}");
    }
}
