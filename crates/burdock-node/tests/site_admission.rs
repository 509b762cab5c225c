//! Refusals for lack of room or time at a backend server with six slots.

mod site_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use burdock_model::ids::ServiceName;
use burdock_node::observe::counters::Counter;
use burdock_node::site::admission::Admission;
use burdock_node::site::{metrics, status};
use futures::future::join_all;
use googletest::prelude::*;
use serde_json::json;
use site_support::{Answer, Site, raw};

const KEY: (&str, &str) = ("x-burdockcroft-key", "key-of-farm");

/// Requests that the queue of the backend server takes at the urgency of the route.
const QUEUE_BOUND: usize = 9;

// Starts a backend server that takes `run_ms` for each request.
async fn start_backend(run_ms: &Arc<AtomicU64>) -> raw::Backend {
    let run_ms = Arc::clone(run_ms);
    raw::Backend::start(move |id| {
        vec![(Duration::from_millis(run_ms.load(Ordering::Relaxed)), raw::build_answer(&id, "ok"))]
    })
    .await
}

async fn get(site: &Site, deadline_ms: &str) -> Answer {
    site.get(0, "/quotes/1", &[KEY, ("x-burdockcroft-deadline-ms", deadline_ms)]).await.unwrap()
}

// A request without enough time was queued and told to return, and operators saw neither the pressure nor what
// other instances refuse.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_without_enough_time_is_refused_at_once_and_the_status_shows_pressure() {
    let site = Site::start(2, 0).await;
    let run_ms = Arc::new(AtomicU64::new(100));
    let backend = start_backend(&run_ms).await;
    site.register("quotes-raw", "quotes", backend.address);
    site.wait_until(async || get(&site, "2000").await.status == 200).await;
    for _ in 0..5 {
        join_all((0..4).map(|_| get(&site, "2000"))).await;
    }
    let node = &site.instances[0].node;
    let done = backend.requests();
    run_ms.store(700, Ordering::Relaxed);
    let queued = join_all((0..QUEUE_BOUND).map(|_| get(&site, "2000")));
    let others = async {
        site.wait_until(async || backend.requests() == done + QUEUE_BOUND).await;
        let refused = get(&site, "2000").await;
        expect_that!((refused.status, refused.header("retry-after").is_some()), eq((503, true)));
        let without_time = get(&site, "40").await;
        expect_that!((without_time.status, without_time.header("retry-after")), eq((503, None)));
        expect_that!(backend.requests(), eq(done + QUEUE_BOUND));
        let status = status::status(node);
        let quotes = status["services"].as_array().unwrap().iter().find(|s| s["name"] == "quotes").unwrap();
        expect_that!((&quotes["slots"], &quotes["load"]), eq((&json!(6.0), &json!(9.0))));
        expect_that!(quotes["pressure"].as_f64(), some(gt(1.5)));
    };
    let (queued, ()) = futures::future::join(queued, others).await;
    expect_that!(queued.iter().filter(|answer| answer.status == 200).count(), eq(QUEUE_BOUND));
    let count = |counter| node.counters.get(counter);
    expect_that!((count(Counter::NoRoom), count(Counter::NoTime)), eq((1, 1)));
    expect_that!(metrics::text(node), contains_substring("burdock_service_pressure{service=\"quotes\"}"));
    let other = &site.instances[1].node;
    let quotes = ServiceName::new("quotes").unwrap();
    site.wait_until(async || {
        // Only instances that place requests are told.
        let _answer = site.get(1, "/quotes/1", &[KEY]).await;
        Admission::pressure(other, &quotes, other.clock.now()).other_refusals_per_s > 0.0
    })
    .await;
}
