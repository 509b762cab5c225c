//! Request bodies: memory that they take, and quarantine of requests whose bodies are forwarded as they arrive.

mod site_support;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use burdock_decide::quarantine::{RequestIdentity, fingerprint};
use burdock_model::hash::stable_hash;
use burdock_model::ids::BackendId;
use burdock_node::site::SiteNode;
use burdock_standin::backend::Fault as BackendFault;
use burdock_standin::site::{HOST, SampleConfig};
use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use site_support::{Site, raw};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

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

// Guards against a body in chunks that is held whole: two of 60 MB took a process over its limit of 112 MB.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn long_bodies_are_read_no_faster_than_they_are_forwarded() {
    const BODY_BYTES: usize = 60_000_000;
    // What the system's buffers take on the way, with a wide margin.
    const MAX_ACCEPTED_BYTES: usize = 40_000_000;
    let site = Site::start_with_memory(112, 0).await;
    set_time_limit(&site, 20.0).await;
    let (reads, received) = (watch::Sender::new(false), Arc::new(AtomicUsize::new(0)));
    let slow = start_slow_reader(reads.subscribe(), Arc::clone(&received)).await;
    let small = raw::Backend::start(|id| vec![(Duration::ZERO, raw::build_answer(&id, "small"))]).await;
    site.register("quotes-slow", "quotes", slow);
    site.register("valves-small", "valves", small.address);
    wait_for_backends(&site, 2).await;
    let node = &site.instances[0].node;
    let sent: Vec<Arc<AtomicUsize>> = (0..2).map(|_| Arc::default()).collect();
    let callers: Vec<_> = sent
        .iter()
        .map(|sent| tokio::spawn(send_chunks(site.callers_address(0), BODY_BYTES, Arc::clone(sent))))
        .collect();
    let total = || sent.iter().map(|s| s.load(Ordering::Relaxed)).sum::<usize>();
    let mut before = usize::MAX;
    while total() != before {
        before = total();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    expect_that!(total(), all!(gt(1 << 20), lt(MAX_ACCEPTED_BYTES)));
    expect_that!(node.capacity_taken(), all!(gt(0), lt(2 << 20)));
    // Small requests are served meanwhile.
    let started_at = Instant::now();
    expect_that!(site.post(0, "/valves/1", &[KEY], "open").await.unwrap().status, eq(200));
    expect_that!(started_at.elapsed(), lt(Duration::from_millis(200)));
    reads.send_replace(true);
    for caller in callers {
        expect_that!(caller.await.unwrap(), eq(200));
    }
    expect_that!(received.load(Ordering::Relaxed), eq(2 * BODY_BYTES));
    site.wait_until(async || node.capacity_taken() == 0).await;
}

// Guards against bodies that take what the rest of the process needs, and against a small request that fails
// because of the long bodies of others.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn body_without_room_is_refused_as_not_run_and_small_ones_are_served() {
    let site = Site::start_with_memory(112, 1).await;
    wait_for_backends(&site, 2).await;
    let node = &site.instances[0].node;
    let capacity = usize::try_from(node.body_memory.capacity_bytes()).unwrap();
    let long = "x".repeat(100_000);
    let mut others = node.body_memory.reserve();
    others.grow(capacity / 5 * 4);
    for (body, id) in [(long.as_str(), "long"), (&"x".repeat(STREAMED_BYTES), "streamed")] {
        let headers = [KEY, ("x-burdockcroft-attempt-id", id)];
        let answer = site.post(0, "/valves/1", &headers, body).await.unwrap();
        expect_that!((answer.status, answer.header("retry-after").is_some()), eq((503, true)));
        expect_that!(site.run_count(id), eq(0));
    }
    expect_that!(site.post(0, "/valves/1", &[KEY], "open").await.unwrap().status, eq(200));
    others.grow(capacity);
    expect_that!(site.get(0, "/quotes/1", &[KEY]).await.unwrap().status, eq(503));
    drop(others);
    expect_that!(site.post(0, "/valves/1", &[KEY], &long).await.unwrap().status, eq(200));
    expect_that!(node.body_memory.free_bytes(), eq(node.body_memory.capacity_bytes()));
    let metrics = burdock_node::site::metrics::text(node);
    expect_that!(metrics, contains_substring("burdock_bodies_refused 3\n"));
    expect_that!(metrics, contains_substring("burdock_body_memory_free_bytes 70000000\n"));
}

// Guards against memory that stays taken when a caller leaves in the middle of its body.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_body_frees_its_memory() {
    let site = Site::start_with_memory(112, 1).await;
    wait_for_backends(&site, 2).await;
    let node = &site.instances[0].node;
    for (framing, sent_bytes) in [
        ("content-length: 200000", 150_000),
        ("content-length: 4000000", 150_000),
        ("transfer-encoding: chunked", 150_000),
        ("transfer-encoding: chunked", 3_000_000),
    ] {
        let mut stream = TcpStream::connect(site.callers_address(0)).await.unwrap();
        let part = if framing.contains("chunked") {
            format!("{:x}\r\n{}", sent_bytes * 2, "x".repeat(sent_bytes))
        } else {
            "x".repeat(sent_bytes)
        };
        stream.write_all((head("/valves/1", framing) + &part).as_bytes()).await.unwrap();
        site.wait_until(async || node.capacity_taken() > 0).await;
        drop(stream);
        site.wait_until(async || node.capacity_taken() == 0).await;
        expect_that!(node.in_flight(), eq(0), "{framing}");
    }
}

// Guards against memory that is not accounted for while callers read slowly, and against slow readers that stop
// other requests.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn slow_readers_leave_memory_to_others() {
    const CALLERS: usize = 30;
    // Enough slots for all of them at once.
    const BACKENDS: usize = 8;
    const ANSWER_BYTES: usize = 8 << 20;
    let site = Site::start_with_memory(64, 0).await;
    set_time_limit(&site, 20.0).await;
    let backend = raw::Backend::start(|id| {
        let body = if id.starts_with("slow") { "x".repeat(ANSWER_BYTES) } else { "small".to_owned() };
        vec![(Duration::ZERO, raw::build_answer(&id, &body))]
    })
    .await;
    for nth in 0..BACKENDS {
        site.register(&format!("quotes-raw-{nth}"), "quotes", backend.address);
    }
    site.register("valves-raw", "valves", backend.address);
    wait_for_backends(&site, BACKENDS + 1).await;
    let node = &site.instances[0].node;
    let mut streams = Vec::new();
    for nth in 0..CALLERS {
        let mut stream = TcpStream::connect(site.callers_address(0)).await.unwrap();
        let id = format!("x-burdockcroft-attempt-id: slow-{nth}");
        stream.write_all(head("/quotes/1", &id).as_bytes()).await.unwrap();
        streams.push(stream);
    }
    site.wait_until(async || backend.requests() == CALLERS).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    // What waits for the callers is in the account, and leaves most of it.
    let transit = i64::try_from(node.body_memory.transit_bytes() * CALLERS).unwrap();
    expect_that!(node.capacity_taken(), all!(ge(transit), lt(node.body_memory.capacity_bytes() / 2)));
    // Bytes that wait in the kernel count towards the limit, too.
    expect_that!(unread_bytes(backend.address.port()), lt(CALLERS * (48 << 10)));
    let started_at = Instant::now();
    expect_that!(site.get(0, "/valves/2", &[KEY]).await.map(|a| a.status), some(eq(200)));
    expect_that!(started_at.elapsed(), lt(Duration::from_millis(300)));
    drop(streams);
    site.wait_until(async || node.capacity_taken() == 0).await;
}

// Returns how many bytes connections to a port have received and not read.
fn unread_bytes(port: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let unread = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_to_port = fields[2].ends_with(&format!(":{port:04X}"));
        is_to_port.then(|| usize::from_str_radix(fields[4].split(':').nth(1).unwrap(), 16).unwrap())
    };
    table.lines().skip(1).filter_map(unread).sum()
}

trait CapacityTaken {
    fn capacity_taken(&self) -> i64;
}

impl CapacityTaken for SiteNode {
    fn capacity_taken(&self) -> i64 {
        self.body_memory.capacity_bytes() - self.body_memory.free_bytes()
    }
}

fn head(path: &str, line: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-burdockcroft-key: key-of-farm\r\n{line}\r\n\r\n")
}

async fn set_time_limit(site: &Site, seconds: f64) {
    let mut config = SampleConfig::new(2);
    config.routes[0]["timeout_s"] = json!(seconds);
    config.publish(&site.store);
    site.wait_until(async || site.config_versions().iter().all(|v| *v == 2)).await;
}

// Sends a body in chunks, counts what was accepted of it and returns the status of the answer.
async fn send_chunks(to: SocketAddr, bytes: usize, sent: Arc<AtomicUsize>) -> u16 {
    const CHUNK_BYTES: usize = 50_000;
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(head("/quotes/1", "transfer-encoding: chunked").as_bytes()).await.unwrap();
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    for _ in 0..bytes / CHUNK_BYTES {
        stream.write_all(chunk.as_bytes()).await.unwrap();
        sent.fetch_add(CHUNK_BYTES, Ordering::Relaxed);
    }
    stream.write_all(b"0\r\n\r\n").await.unwrap();
    let mut answer = vec![0; 12];
    stream.read_exact(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer)[9..].parse().unwrap()
}

// Starts a backend server that reads bodies only once `reads` is true.
async fn start_slow_reader(reads: watch::Receiver<bool>, received: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (reads, received) = (reads.clone(), Arc::clone(&received));
            let service = service_fn(move |req: Request<Incoming>| {
                let (mut reads, received) = (reads.clone(), Arc::clone(&received));
                async move {
                    drop(reads.wait_for(|reads| *reads).await);
                    let (parts, mut body) = req.into_parts();
                    while let Some(Ok(frame)) = body.frame().await {
                        received.fetch_add(frame.data_ref().map_or(0, Bytes::len), Ordering::Relaxed);
                    }
                    let id = parts.headers["x-burdockcroft-attempt-id"].clone();
                    let resp = Response::builder()
                        .header("x-burdockcroft-attempt-id", id)
                        .header("x-burdockcroft-response-seal", "1.2");
                    Ok::<_, Infallible>(resp.body(Full::new(Bytes::new())).unwrap())
                }
            });
            let http = hyper::server::conn::http1::Builder::new();
            tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn wait_for_backends(site: &Site, count: usize) {
    site.wait_until(async || {
        site.instances.iter().all(|i| i.node.backends.usable().services.values().flatten().count() == count)
    })
    .await;
}
