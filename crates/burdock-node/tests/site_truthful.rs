//! Answers that callers take as a promise, and connections that end early.

mod site_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use burdock_node::observe::counters::Counter;
use burdock_standin::site::{HOST, SampleConfig};
use googletest::prelude::*;
use serde_json::json;
use site_support::{Site, raw};
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

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

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: {id}\r\n\r\n"
    )
}

// A request whose id begins with `long` gets an answer of so many bytes that breaks off half-way, one with `whole`
// gets all of them, and others a short answer after 300 ms. Returns how many of the others have arrived.
async fn start_breaking(long_bytes: usize) -> (Site, Arc<AtomicUsize>) {
    let site = Site::start(1, 0).await;
    let mut config = SampleConfig::new(2);
    config.routes[0]["timeout_s"] = json!(10);
    config.publish(&site.store);
    site.wait_until(async || site.config_versions() == [2]).await;
    let others = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&others);
    let backend = raw::Backend::start_closing(move |id| {
        if id.starts_with("long") || id.starts_with("whole") {
            let mut answer = raw::build_answer(&id, &"x".repeat(long_bytes));
            if id.starts_with("long") {
                answer.truncate(long_bytes / 2);
            }
            return vec![(Duration::ZERO, answer)];
        }
        count.fetch_add(1, Ordering::Relaxed);
        vec![(Duration::from_millis(300), raw::build_answer(&id, "short"))]
    })
    .await;
    site.register("quotes-raw", "quotes", backend.address);
    let node = &site.instances[0].node;
    site.wait_until(async || !node.backends.usable().services.is_empty()).await;
    (site, others)
}

// Guards against losing requests with the connection that a long answer breaks: none is started behind an answer
// that is forwarded before it is whole, once the route has had one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_request_starts_behind_an_answer_that_may_break_the_connection() {
    // Too long to be held for the requests behind it.
    let (site, others) = start_breaking(24 << 20).await;
    let answer = site.get(0, "/quotes/1", &[KEY, ("x-burdockcroft-attempt-id", "whole")]).await.unwrap();
    expect_that!((answer.status, answer.body.len()), eq((200, 24 << 20)));
    let mut stream = TcpStream::connect(site.callers_address(0)).await.unwrap();
    let behind: String = (0..4).map(|nth| request("/public/1", &format!("behind-{nth}"))).collect();
    stream.write_all((request("/quotes/1", "long") + &behind).as_bytes()).await.unwrap();
    let mut read = Vec::new();
    let _ended = stream.read_to_end(&mut read).await;
    expect_that!(read.len(), lt(24 << 20));
    expect_that!(others.load(Ordering::Relaxed), eq(0));
    // Behind an answer that is whole they run when their turn comes.
    let (tx, mut rx) = raw::connect(site.callers_address(0)).await;
    tx.send(request("/quotes/1", "whole-2") + &behind);
    expect_that!(rx.next_ids(5).await.len(), eq(5));
}

// Guards against losing requests behind the first long answer of a route: it is held until it is whole.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn broken_answer_that_others_wait_behind_is_replaced_and_they_are_answered() {
    let (site, others) = start_breaking(3 << 20).await;
    let (tx, mut rx) = raw::connect(site.callers_address(0)).await;
    let behind: String = (0..2).map(|nth| request("/public/1", &format!("behind-{nth}"))).collect();
    tx.send(request("/quotes/1", "long") + &behind);
    expect_that!(rx.next_ids(3).await, eq(&["long", "behind-0", "behind-1"].map(str::to_owned)));
    expect_that!(others.load(Ordering::Relaxed), eq(2));
    let node = &site.instances[0].node;
    site.wait_until(async || node.in_flight() == 0).await;
    expect_that!(node.body_memory.free_bytes(), eq(node.body_memory.capacity_bytes()));
    expect_that!(node.counters.get(Counter::AnswersHeldForOthers), eq(1));
}

// Guards against starting many requests behind one whose answer may turn out to be long.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn at_most_two_requests_start_behind_a_route_without_a_known_answer() {
    let (site, others) = start_breaking(1).await;
    let (tx, mut rx) = raw::connect(site.callers_address(0)).await;
    let all: String = (0..5).map(|nth| request("/quotes/1", &format!("q-{nth}"))).collect();
    tx.send(all);
    tokio::time::sleep(Duration::from_millis(150)).await;
    expect_that!(others.load(Ordering::Relaxed), eq(3));
    expect_that!(rx.next_ids(5).await.len(), eq(5));
    // Later all of them start at once.
    others.store(0, Ordering::Relaxed);
    tx.send((0..5).map(|nth| request("/quotes/1", &format!("r-{nth}"))).collect());
    tokio::time::sleep(Duration::from_millis(150)).await;
    expect_that!(others.load(Ordering::Relaxed), eq(5));
    expect_that!(rx.next_ids(5).await.len(), eq(5));
}

// Guards against dropping the request of a caller that closes its sending side after it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_closes_its_sending_side_gets_its_answers() {
    let site = Site::start(1, 1).await;
    let once = |id: &str| request("/valves/1?delay_ms=200", id);
    // Alone, and with a repeatable and a non-repeatable request behind it.
    let cases = [once("a1"), once("b1") + &request("/quotes/1?delay_ms=300", "b2") + &once("b3")];
    for (requests, ids) in cases.into_iter().zip([vec!["a1"], vec!["b1", "b2", "b3"]]) {
        let mut stream = TcpStream::connect(site.callers_address(0)).await.unwrap();
        stream.write_all(requests.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut read = Vec::new();
        tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut read)).await.unwrap().unwrap();
        let text = String::from_utf8(read).unwrap();
        // Every answer is complete and comes once.
        expect_that!(text.starts_with("HTTP/1.1 200 OK\r\n"), eq(true), "{text}");
        expect_that!(text.matches("HTTP/1.1 200 OK\r\n").count(), eq(ids.len()), "{text}");
        for id in ids {
            expect_that!(text.contains(&format!("x-burdockcroft-attempt-id: {id}\r\n")), eq(true), "{id}");
            expect_that!(site.run_count(id), eq(1));
        }
    }
    expect_that!(site.instances[0].node.counters.get(Counter::CallersHalfClosed), eq(2));
}

// Guards against work for a caller that is gone, which at first looks like one that closed its sending side.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_is_gone_is_noticed_although_half_closed_callers_are_served() {
    let site = Site::start(1, 1).await;
    let node = &site.instances[0].node;
    let bytes = request("/valves/1?delay_ms=1500", "gone") + &request("/valves/1", "behind");
    raw::send_and_close(site.callers_address(0), &bytes, Duration::from_millis(100)).await;
    let left_at = Instant::now();
    site.wait_until(async || node.in_flight() == 0).await;
    expect_that!(left_at.elapsed(), lt(Duration::from_millis(400)));
    tokio::time::sleep(Duration::from_millis(1600)).await;
    expect_that!((site.finished_count("gone"), site.run_count("behind")), eq((0, 0)));
}

// Guards against blaming a backend server for an upload whose caller closes its sending side in the middle.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn upload_that_its_caller_ends_early_is_no_fault_of_the_backend() {
    let site = Site::start(1, 0).await;
    let backend =
        raw::Backend::start(|id| vec![(Duration::from_secs(1), raw::build_answer(&id, "late"))]).await;
    site.register("quotes-raw", "quotes", backend.address);
    let node = &site.instances[0].node;
    site.wait_until(async || !node.backends.usable().services.is_empty()).await;
    let mut stream = TcpStream::connect(site.callers_address(0)).await.unwrap();
    let head = request("/quotes/1", "cut").replace("\r\n\r\n", "\r\ncontent-length: 400000\r\n\r\n");
    stream.write_all((head.replace("GET", "POST") + &"x".repeat(100_000)).as_bytes()).await.unwrap();
    site.wait_until(async || backend.requests() == 1).await;
    stream.shutdown().await.unwrap();
    let mut read = Vec::new();
    let _ended = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut read)).await.unwrap();
    expect_that!(String::from_utf8_lossy(&read).starts_with("HTTP/1.1 2"), eq(false));
    site.wait_until(async || node.in_flight() == 0).await;
    let usable = node.backends.usable();
    let state = &usable.services.values().next().unwrap()[0];
    expect_that!(state.candidate(true, 1.0, true, node.clock.now()).failure_ratio, eq(0.0));
}

// Guards against a backend server that is taken out because an attempt had too little time left to connect.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn attempt_that_is_short_of_time_does_not_mark_a_backend_unreachable() {
    let site = Site::start(1, 0).await;
    // No connection is accepted: one in the queue of the listener fills it.
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let _queued = TcpStream::connect(address).await.unwrap();
    site.register("quotes-full", "quotes", address);
    let node = &site.instances[0].node;
    site.wait_until(async || !node.backends.usable().services.is_empty()).await;
    let backend = Arc::clone(&node.backends.usable().services.values().next().unwrap()[0]);
    let is_cold = || backend.is_cold(node.clock.now());
    let headers = [KEY, ("x-burdockcroft-deadline-ms", "200")];
    let answer = site.get(0, "/quotes/1", &headers).await.unwrap();
    expect_that!((answer.status, is_cold()), eq((503, false)));
    // It is found out apart from the request: a connection may take a second.
    let started_at = Instant::now();
    site.wait_until(async || is_cold()).await;
    expect_that!(started_at.elapsed(), gt(Duration::from_millis(500)));
}

// Guards against handing a caller the invalid status of a backend server in trouble, such as 000.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn status_outside_of_the_protocol_becomes_502_without_seal() {
    for status in
        ["000 Unknown", "000", "001 Odd", "099 Odd", "101 Switching Protocols", "600 Odd", "999 Odd"]
    {
        let (site, _backend) = start_answering(status, "").await;
        for (method, path) in [("GET", "/quotes/1"), ("POST", "/valves/1")] {
            let answer = site.send(site.callers_address(0), method, path, &[KEY], "").await;
            let answer = answer.map(|a| (a.status, a.header("x-burdockcroft-response-seal").is_some()));
            expect_that!(answer, some(eq((502, false))), "{method} {status}");
        }
    }
}

// Guards against taking a refusal that a backend server writes once more on a kept connection for that of the
// request that it runs.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn earlier_refusal_on_a_kept_connection_is_no_promise() {
    let stale_id = "x-burdockcroft-attempt-id: stale\r\n";
    for (status, id_line) in [
        ("503 Service Unavailable", stale_id),
        ("503 Service Unavailable", ""),
        ("429 Too Many Requests", ""),
        ("421 Misdirected Request", ""),
        ("400 Bad Request", ""),
    ] {
        let case = format!("{status}, `{}`", id_line.trim_end());
        let site = Site::start(1, 0).await;
        let arrived = Arc::new(AtomicUsize::new(0));
        let script = {
            let (arrived, id_line) = (Arc::clone(&arrived), id_line.to_owned());
            move |id: String| {
                // The first request of the connection is answered; behind it comes a refusal of an earlier one.
                if id == "first" {
                    return vec![(Duration::ZERO, raw::build_answer(&id, "whole"))];
                }
                arrived.fetch_add(1, Ordering::Relaxed);
                let refusal =
                    format!("HTTP/1.1 {status}\r\n{id_line}{NOT_RUN_MARK}content-length: 0\r\n\r\n");
                vec![(Duration::ZERO, refusal.into_bytes())]
            }
        };
        let backends = [raw::Backend::start(script.clone()).await, raw::Backend::start(script).await];
        for (ix, backend) in backends.iter().enumerate() {
            site.register(&format!("valves-{ix}"), "valves", backend.address);
        }
        let node = &site.instances[0].node;
        site.wait_until(async || node.backends.usable().services.values().any(|b| b.len() == 2)).await;
        let send = async |id| {
            let headers = [KEY, ("x-burdockcroft-attempt-id", id), ("x-burdockcroft-affinity-key", "7")];
            site.post(0, "/valves/1", &headers, "open").await.unwrap().status
        };
        expect_that!(send("first").await, eq(200), "{case}");
        expect_that!(send("second").await, eq(502), "{case}");
        // It may have run, so it must not run at the other backend server.
        expect_that!(arrived.load(Ordering::Relaxed), eq(1), "{case}");
    }
}
