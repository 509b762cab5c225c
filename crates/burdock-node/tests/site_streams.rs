//! Large answers, answers without end, and callers that read slowly.

mod site_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use burdock_node::phase::Phase;
use burdock_standin::site::{HOST, SampleConfig};
use googletest::prelude::*;
use serde_json::json;
use site_support::{Site, raw};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const KEY: (&str, &str) = ("x-burdockcroft-key", "key-of-farm");

/// Size of a large answer in bytes: the longest that a download of the operators' deployments has.
const LARGE_BYTES: usize = 540_000;

fn large_answer(id: &str) -> Vec<u8> {
    raw::build_answer(id, &"x".repeat(LARGE_BYTES))
}

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: {id}\r\n\r\n"
    )
}

async fn set_time_limit(site: &Site, seconds: f64) {
    let mut config = SampleConfig::new(2);
    config.routes[0]["timeout_s"] = json!(seconds);
    config.routes[0]["kind"] = json!("download");
    config.publish(&site.store);
    site.wait_until(async || site.config_versions().iter().all(|v| *v == 2)).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn large_answer_that_breaks_off_is_replaced_by_another_attempts() {
    let site = Site::start(1, 0).await;
    let attempts = Arc::new(AtomicUsize::new(0));
    // The first answer breaks off, far behind what every answer is held for.
    let count = Arc::clone(&attempts);
    let script = move |id: String| {
        let mut answer = large_answer(&id);
        if count.fetch_add(1, Ordering::Relaxed) == 0 {
            answer.truncate(LARGE_BYTES / 2);
        }
        vec![(Duration::ZERO, answer)]
    };
    let backends =
        [raw::Backend::start_closing(script.clone()).await, raw::Backend::start_closing(script).await];
    for (ix, backend) in backends.iter().enumerate() {
        site.register(&format!("quotes-raw-{ix}"), "quotes", backend.address);
    }
    site.wait_until(async || {
        site.instances[0].node.backends.usable().services.values().any(|b| b.len() == 2)
    })
    .await;
    let answer = site.get(0, "/quotes/1", &[KEY]).await.unwrap();
    expect_that!((answer.status, answer.body.len()), eq((200, LARGE_BYTES)));
    expect_that!(attempts.load(Ordering::Relaxed), eq(2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_without_end_is_bounded_and_never_looks_complete() {
    const HEAD: &str =
        "HTTP/1.1 200 OK\r\nx-burdockcroft-attempt-id: {id}\r\nx-burdockcroft-response-seal: 1.2\r\n";
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-burdockcroft-attempt-id: {id}\r\nx-burdockcroft-response-seal: 1.2\r\ntransfer-encoding: chunked\r\n\r\n";
    const CHUNK: &str = "20\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n";
    const EXTENSION: &str = "HTTP/1.1 200 OK\r\nx-burdockcroft-attempt-id: {id}\r\nx-burdockcroft-response-seal: 1.2\r\ntransfer-encoding: chunked\r\n\r\n2;";
    const TRAILERS: &str = "HTTP/1.1 200 OK\r\nx-burdockcroft-attempt-id: {id}\r\nx-burdockcroft-response-seal: 1.2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    const UNFRAMED: &str =
        "HTTP/1.1 200 OK\r\nx-burdockcroft-attempt-id: {id}\r\nx-burdockcroft-response-seal: 1.2\r\n\r\n";
    let cases = [
        ("no answer", "", "no answer at all "),
        ("one header line", HEAD, "xxxxxxxxxxxxxxxxxxxxxxxx"),
        ("header lines", HEAD, "x-more: aaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"),
        ("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("chunks", CHUNKED, CHUNK),
        ("digits of a chunk's size", CHUNKED, "0000000000000000"),
        ("extension of a chunk", EXTENSION, "aaaaaaaaaaaaaaaaaaaaaaa"),
        ("trailers", TRAILERS, "x-more: aaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"),
        ("body without a length", UNFRAMED, "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"),
    ];
    for (case, head, chunk) in cases {
        let site = Site::start(1, 0).await;
        set_time_limit(&site, 0.8).await;
        let backend = raw::Backend::start_endless(head, chunk).await;
        site.register("quotes-endless", "quotes", backend.address);
        let node = &site.instances[0].node;
        site.wait_until(async || !node.backends.usable().services.is_empty()).await;
        let started_at = Instant::now();
        let headers = [KEY];
        let (answer, ended_after) = tokio::join!(site.get(0, "/quotes/1", &headers), async {
            site.wait_until(async || backend.requests() == 1).await;
            site.wait_until(async || node.in_flight() == 0).await;
            started_at.elapsed()
        });
        // Either a truthful failure, or a connection that breaks off in the middle of the answer.
        expect_that!(answer.map_or(502, |a| a.status), any![eq(502), eq(504)], "{case}");
        expect_that!(ended_after, lt(Duration::from_millis(1300)), "{case}");
        expect_that!(backend.requests(), eq(1), "{case}");
        // The backend server is marked, and what was held is free again.
        let usable = node.backends.usable();
        let backend = &usable.services.values().next().unwrap()[0];
        let candidate = backend.candidate(true, 1.0, true, node.clock.now());
        expect_that!(candidate.failure_ratio + candidate.slowness - 1.0, gt(0.1), "{case}");
        expect_that!(backend.own_in_flight(), eq(0), "{case}");
        expect_that!(node.body_memory.free_bytes(), eq(node.body_memory.capacity_bytes()), "{case}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn slow_caller_holds_neither_its_backend_nor_other_callers() {
    const SLOW_CALLERS: usize = 8;
    let site = Site::start(1, 0).await;
    set_time_limit(&site, 5.0).await;
    let backend = raw::Backend::start(|id| {
        let answer = if id.starts_with("slow") { large_answer(&id) } else { raw::build_answer(&id, "small") };
        vec![(Duration::ZERO, answer)]
    })
    .await;
    site.register("quotes-raw", "quotes", backend.address);
    let node = &site.instances[0].node;
    site.wait_until(async || !node.backends.usable().services.is_empty()).await;
    let mut streams = Vec::new();
    for nth in 0..SLOW_CALLERS {
        let mut stream = TcpStream::connect(site.callers_address(0)).await.unwrap();
        stream.write_all(request("/quotes/1", &format!("slow-{nth}")).as_bytes()).await.unwrap();
        streams.push(stream);
    }
    site.wait_until(async || backend.requests() == SLOW_CALLERS).await;
    let usable = node.backends.usable();
    let state = &usable.services.values().next().unwrap()[0];
    // No caller has read anything, and the backend server is free.
    site.wait_until(async || state.own_in_flight() == 0).await;
    let mut slowest = Duration::ZERO;
    for _ in 0..20 {
        let started_at = Instant::now();
        expect_that!(site.get(0, "/quotes/2", &[KEY]).await.unwrap().body.as_ref(), eq(b"small"));
        slowest = slowest.max(started_at.elapsed());
    }
    expect_that!(slowest, lt(Duration::from_millis(200)));
    // The slow callers get their answers whole.
    for stream in &mut streams {
        let mut read = vec![0; LARGE_BYTES];
        stream.read_exact(&mut read).await.unwrap();
    }
    drop(streams);
    site.wait_until(async || node.in_flight() == 0).await;
    expect_that!(node.body_memory.free_bytes(), eq(node.body_memory.capacity_bytes()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_beyond_the_body_memory_are_streamed_whole() {
    // Together they are longer than the memory for bodies: 24 of 64 MB.
    const CALLERS: usize = 60;
    let site = Site::start_with_memory(64, 8).await;
    set_time_limit(&site, 10.0).await;
    let path = format!("/quotes/1?bytes={LARGE_BYTES}");
    let headers = [KEY];
    let answers = futures::future::join_all((0..CALLERS).map(|_| site.get(0, &path, &headers))).await;
    for answer in answers {
        let answer = answer.unwrap();
        expect_that!((answer.status, answer.body.len()), eq((200, LARGE_BYTES)));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_leaves_a_large_answer_frees_all_it_held() {
    let site = Site::start(1, 0).await;
    set_time_limit(&site, 10.0).await;
    // Too long to be held: the rest is read only as the caller takes it.
    let backend =
        raw::Backend::start(|id| vec![(Duration::ZERO, raw::build_answer(&id, &"x".repeat(8 << 20)))]).await;
    site.register("quotes-raw", "quotes", backend.address);
    let node = &site.instances[0].node;
    site.wait_until(async || !node.backends.usable().services.is_empty()).await;
    let mut stream = TcpStream::connect(site.callers_address(0)).await.unwrap();
    stream.write_all(request("/quotes/1", "leaver").as_bytes()).await.unwrap();
    let mut read = vec![0; 4096];
    stream.read_exact(&mut read).await.unwrap();
    expect_that!(node.in_flight(), eq(1));
    drop(stream);
    let left_at = Instant::now();
    site.wait_until(async || node.in_flight() == 0).await;
    expect_that!(left_at.elapsed(), lt(Duration::from_millis(500)));
    expect_that!(node.body_memory.free_bytes(), eq(node.body_memory.capacity_bytes()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stop_waits_for_an_answer_that_is_still_being_sent() {
    let mut site = Site::start(1, 0).await;
    set_time_limit(&site, 10.0).await;
    // More than the system's buffers take.
    const BYTES: usize = 16 << 20;
    let answer = |id: String| vec![(Duration::ZERO, raw::build_answer(&id, &"x".repeat(BYTES)))];
    let backend = raw::Backend::start(answer).await;
    site.register("quotes-raw", "quotes", backend.address);
    site.wait_until(async || !site.instances[0].node.backends.usable().services.is_empty()).await;
    let mut stream = TcpStream::connect(site.callers_address(0)).await.unwrap();
    stream.write_all(request("/quotes/1", "slow").as_bytes()).await.unwrap();
    site.wait_until(async || backend.requests() == 1).await;
    let running = site.instances.remove(0);
    let node = Arc::clone(&running.node);
    let stop = tokio::spawn(running.stop());
    // Past the time at which a stop without requests ends.
    tokio::time::sleep(node.settings.bounds.stop_timeout.mul_f64(0.55)).await;
    expect_that!(node.phase(), eq(Phase::Finishing));
    expect_that!((node.in_flight(), stop.is_finished()), eq((1, false)));
    let mut read = vec![0; BYTES];
    stream.read_exact(&mut read).await.unwrap();
    drop(stream);
    stop.await.unwrap();
    expect_that!(node.in_flight(), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_on_a_connection_made_just_before_the_end_of_a_stop_is_answered() {
    let mut site = Site::start(1, 1).await;
    let callers = site.callers_address(0);
    let running = site.instances.remove(0);
    let node = Arc::clone(&running.node);
    let stop = tokio::spawn(running.stop());
    let mut answered = 0;
    while node.phase() < Phase::Finishing {
        // Each request follows its connection after a moment, so that some connections are new at the end.
        let (tx, mut rx) = raw::connect(callers).await;
        tokio::time::sleep(Duration::from_millis(60)).await;
        tx.send(request("/quotes/1", &format!("late-{answered}")));
        expect_that!(rx.next_status().await, some(any![eq(200), eq(503)]));
        answered += 1;
    }
    expect_that!(answered, gt(5));
    stop.await.unwrap();
}
