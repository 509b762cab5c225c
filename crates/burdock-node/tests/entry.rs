//! Malformed requests and broken backend answers, over raw connections to a running system.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use burdock_node::demo::{Demo, DemoSettings};
use burdock_standin::backend::Fault;
use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

struct System {
    demo: Demo,
    callers: SocketAddr,
    admin: SocketAddr,
    key: String,
}

async fn start_system() -> System {
    let demo = DemoSettings::default().instances(1).backends(1).start().await.expect("the system starts");
    let listen = demo.nodes[0].node.settings.listen;
    let key = demo.keys[0].key.clone();
    System { callers: listen.callers, admin: listen.admin, key, demo }
}

impl System {
    /// Sends bytes and reads until the connection closes or stays silent for `IDLE_TIMEOUT`.
    async fn send_raw(&self, bytes: &str) -> String {
        const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
        let mut stream = TcpStream::connect(self.callers).await.expect("a connection");
        stream.write_all(bytes.as_bytes()).await.expect("bytes are written");
        let mut received = Vec::new();
        let mut chunk = [0; 4096];
        while let Ok(Ok(count)) = tokio::time::timeout(IDLE_TIMEOUT, stream.read(&mut chunk)).await {
            if count == 0 {
                break;
            }
            received.extend_from_slice(&chunk[..count]);
        }
        String::from_utf8_lossy(&received).into_owned()
    }

    async fn send(&self, req: http::request::Builder, body: &str) -> Option<Response<Incoming>> {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let req = req
            .header("x-api-key", &self.key)
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a request");
        client.request(req).await.ok()
    }

    fn request_to(&self, path: &str) -> http::request::Builder {
        Request::builder().uri(format!("http://{}{path}", self.callers))
    }

    async fn patch_tree(&self, path: &str, value: Value) -> u16 {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let req = Request::builder()
            .method("PATCH")
            .uri(format!("http://{}/v1/tree/{path}", self.admin))
            .header("authorization", format!("Bearer {}", self.demo.token))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(value.to_string())))
            .expect("a request");
        client.request(req).await.expect("an answer").status().as_u16()
    }

    fn run_count(&self, path: &str) -> usize {
        self.demo.backends.iter().flat_map(|b| b.standin.log()).filter(|r| r.path == path).count()
    }
}

fn status_and_outcome(resp: &Response<Incoming>) -> (u16, &str) {
    let outcome = resp.headers().get("burdock-outcome").and_then(|v| v.to_str().ok()).unwrap_or("ran");
    (resp.status().as_u16(), outcome)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn ambiguous_framing_and_paths_are_refused_with_4xx() {
    let system = start_system().await;
    let head = format!("host: a\r\nx-api-key: {}\r\n", system.key);
    let cases = [
        (
            "two lengths",
            format!("POST /quotes/1 HTTP/1.1\r\n{head}content-length: 4\r\ncontent-length: 5\r\n\r\nabcde"),
        ),
        ("a bad length", format!("POST /quotes/1 HTTP/1.1\r\n{head}content-length: 4x\r\n\r\nabcd")),
        ("dot segments", format!("GET /public/../quotes/1 HTTP/1.1\r\n{head}\r\n")),
        ("encoded dots", format!("GET /public/%2e%2e/quotes/1 HTTP/1.1\r\n{head}\r\n")),
        ("encoded slash", format!("GET /public%2f..%2fquotes/1 HTTP/1.1\r\n{head}\r\n")),
        (
            "a large header",
            format!("GET /quotes/1 HTTP/1.1\r\n{head}x-large: {}\r\n\r\n", "x".repeat(64 << 10)),
        ),
        ("many headers", format!("GET /quotes/1 HTTP/1.1\r\n{head}{}\r\n", "x: y\r\n".repeat(200))),
        ("no version", format!("GET /quotes/1\r\n{head}\r\n")),
    ];
    for (name, bytes) in cases {
        let answer = system.send_raw(&bytes).await;
        expect_that!(answer, starts_with("HTTP/1.1 4"), "{name}");
    }
    expect_that!(system.run_count("/quotes/1"), eq(0));
}

// RFC 9112, 6.3 permits repeated equal lengths if they are forwarded as a single one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn equal_content_lengths_are_forwarded_as_one() {
    let system = start_system().await;
    let head = format!("host: a\r\nx-api-key: {}\r\ncontent-length: 4\r\ncontent-length: 4\r\n", system.key);
    let answer = system.send_raw(&format!("POST /quotes/1 HTTP/1.1\r\n{head}\r\nabcdefgh")).await;
    expect_that!(answer, contains_substring(burdock_model::hash::sha256_hex(b"abcd")));
    expect_that!(answer, contains_substring("\"content-length\":\"4\""));
    expect_that!(system.run_count("/quotes/1"), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_smuggled_in_a_body_never_runs() {
    let system = start_system().await;
    let inner = format!("GET /quotes/smuggled HTTP/1.1\r\nhost: a\r\nx-api-key: {}\r\n\r\n", system.key);
    let outer = format!(
        "POST /public/1 HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{inner}",
        inner.len() + 5
    );
    let _refused = system.send_raw(&outer).await;
    expect_that!(system.run_count("/quotes/smuggled"), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_keys_are_refused_and_keys_never_reach_a_backend() {
    let system = start_system().await;
    for key in ["", "bk.nobody.00", "bk.zemgale-probes-1.0000"] {
        let answer =
            system.send_raw(&format!("GET /quotes/1 HTTP/1.1\r\nhost: a\r\nx-api-key: {key}\r\n\r\n")).await;
        expect_that!(answer, starts_with("HTTP/1.1 401"));
    }
    let req = system.request_to(&format!("/quotes/1?api_key={}&a=1", system.key));
    let req = req
        .header("authorization", format!("Bearer {}", system.key))
        .header("cookie", format!("k={}", system.key));
    let resp = system.send(req.header("burdock-organisation", "someone-else"), "").await.unwrap();
    let echo = resp.into_body().collect().await.unwrap().to_bytes();
    let echo = String::from_utf8_lossy(&echo).into_owned();
    expect_that!(echo, not(contains_substring("bk.")));
    expect_that!(echo, contains_substring("\"burdock-organisation\":\"zemgale-probes\""));
    expect_that!(echo, contains_substring("\"query\":\"a=1\""));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn oversized_or_truncated_body_is_not_run() {
    let system = start_system().await;
    assert_eq!(system.patch_tree("settings", json!({"body_limit": "1KiB"})).await, 200);
    let resp =
        system.send(system.request_to("/quotes/long").method("POST"), &"x".repeat(2000)).await.unwrap();
    expect_that!(status_and_outcome(&resp), eq((413, "not-run")));
    let head = format!("host: a\r\nx-api-key: {}\r\n", system.key);
    let chunks = format!("800\r\n{}\r\n0\r\n\r\n", "x".repeat(2048));
    let chunked = format!("POST /quotes/long HTTP/1.1\r\n{head}transfer-encoding: chunked\r\n\r\n{chunks}");
    expect_that!(system.send_raw(&chunked).await, starts_with("HTTP/1.1 413"));
    let mut stream = TcpStream::connect(system.callers).await.unwrap();
    let truncated = format!("POST /quotes/long HTTP/1.1\r\n{head}content-length: 100\r\n\r\nhalf");
    stream.write_all(truncated.as_bytes()).await.unwrap();
    drop(stream);
    tokio::time::sleep(Duration::from_millis(300)).await;
    expect_that!(system.run_count("/quotes/long"), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn truncated_backend_answer_is_reported_or_aborted() {
    let system = start_system().await;
    let lost = system.send(system.request_to("/valves/1?close=headers").method("POST"), "").await.unwrap();
    expect_that!(status_and_outcome(&lost), eq((502, "unknown")));
    let truncated = system.send(system.request_to("/quotes/1?close=body"), "").await.unwrap();
    expect_that!(truncated.status().as_u16(), eq(200));
    expect_that!(truncated.into_body().collect().await.is_err(), eq(true));
    let complete = system.send(system.request_to("/quotes/1?bytes=3000000"), "").await.unwrap();
    expect_that!(complete.into_body().collect().await.unwrap().to_bytes().len(), eq(3_000_000));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stalled_backend_gives_unknown_and_stopped_backend_gives_not_run() {
    let system = start_system().await;
    system
        .demo
        .backends
        .iter()
        .for_each(|b| b.standin.inject(Fault { stall: Some(true), ..Fault::default() }));
    let stalled = system
        .send(system.request_to("/valves/1").method("POST").header("burdock-deadline-ms", "300"), "")
        .await;
    expect_that!(status_and_outcome(&stalled.unwrap()), eq((504, "unknown")));
    system.demo.backends.iter().for_each(|b| b.standin.stop());
    let stopped = system
        .send(system.request_to("/valves/1").method("POST").header("burdock-deadline-ms", "300"), "")
        .await;
    expect_that!(status_and_outcome(&stopped.unwrap()), eq((503, "not-run")));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn non_http_answer_from_a_backend_gives_an_error() {
    let system = start_system().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            let _read = stream.read(&mut request).await;
            let _written = stream.write_all(b"this is not HTTP\r\n\r\n").await;
        }
    });
    let backend = json!({"backends": {"odd": {"address": address, "region": "riga", "zone": "riga-a"}},
        "routes": {"odd": {"prefix": "/odd/", "repeatable": false}}});
    assert_eq!(system.patch_tree("services/odd", backend).await, 200);
    // A health probe may eject the backend server first, so "not run" is permitted as well.
    let resp = system.send(system.request_to("/odd/1").method("POST"), "").await.unwrap();
    expect_that!(status_and_outcome(&resp), any![eq((502, "unknown")), eq((503, "not-run"))]);
}

// Starts a backend server that answers probes with 200 and everything else with a status and header lines.
async fn start_answering(status: &'static str, headers: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            let read = stream.read(&mut request).await.unwrap_or(0);
            let is_probe = request[..read].starts_with(b"GET /health");
            let (status, headers) = if is_probe { ("200 OK", "") } else { (status, headers) };
            let answer =
                format!("HTTP/1.1 {status}\r\n{headers}connection: close\r\ncontent-length: 0\r\n\r\n");
            let _written = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

// Guards against a command that has run and is answered with a status that means "not run".
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_without_shed_mark_is_unknown_for_a_request_that_may_run_once() {
    let system = start_system().await;
    for (name, status, shed, is_repeatable, expected) in [
        ("busy", "503 Service Unavailable", "", false, (502, "unknown")),
        ("many", "429 Too Many Requests", "", false, (502, "unknown")),
        ("shed", "503 Service Unavailable", "x-shed: 1\r\n", false, (503, "not-run")),
        ("failed", "500 Internal Server Error", "", false, (500, "ran")),
        ("again", "503 Service Unavailable", "", true, (503, "ran")),
    ] {
        let address = start_answering(status, shed).await;
        let backend = json!({"backends": {name: {"address": address, "region": "riga", "zone": "riga-a"}},
            "routes": {name: {"prefix": format!("/{name}/"), "repeatable": is_repeatable}}});
        assert_eq!(system.patch_tree(&format!("services/{name}"), backend).await, 200);
        let resp = system.send(system.request_to(&format!("/{name}/1")).method("POST"), "").await.unwrap();
        expect_that!(status_and_outcome(&resp), eq(expected), "{name}");
    }
}

// Guards against handing a caller the invalid status of a backend server in trouble, such as 000.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn status_outside_of_the_protocol_becomes_502() {
    let system = start_system().await;
    for (name, status) in [
        ("none", "000 Unknown"),
        ("switch", "101 Switching Protocols"),
        ("odd", "600 Odd"),
        ("last", "999 Odd"),
    ] {
        let address = start_answering(status, "").await;
        let backend = json!({"backends": {name: {"address": address, "region": "riga", "zone": "riga-a"}},
            "routes": {name: {"prefix": format!("/{name}/"), "repeatable": false}}});
        assert_eq!(system.patch_tree(&format!("services/{name}"), backend).await, 200);
        let resp = system.send(system.request_to(&format!("/{name}/1")).method("POST"), "").await.unwrap();
        expect_that!(status_and_outcome(&resp), eq((502, "unknown")), "{status}");
    }
}

// Guards against taking a refusal that a backend server writes once more for that of the next request: no connection
// is used again after a refusal.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_that_is_written_twice_concerns_no_later_request() {
    let system = start_system().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let has_refused = Arc::new(AtomicBool::new(false));
        while let Ok((mut stream, _)) = listener.accept().await {
            let has_refused = Arc::clone(&has_refused);
            tokio::spawn(async move {
                let mut request = [0; 1024];
                let mut refuses = false;
                while let Ok(read @ 1..) = stream.read(&mut request).await {
                    let is_command = request[..read].starts_with(b"POST");
                    refuses |= is_command && !has_refused.swap(true, Ordering::Relaxed);
                    let status = if refuses { "503 Busy\r\nx-shed: 1" } else { "200 OK" };
                    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
                    let _written = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    let backend = json!({"backends": {"twice": {"address": address, "region": "riga", "zone": "riga-a"}},
        "routes": {"twice": {"prefix": "/twice/", "repeatable": false}}});
    assert_eq!(system.patch_tree("services/twice", backend).await, 200);
    for expected in [(503, "not-run"), (200, "ran"), (200, "ran")] {
        let resp = system.send(system.request_to("/twice/1").method("POST"), "").await.unwrap();
        expect_that!(status_and_outcome(&resp), eq(expected));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_in_progress_is_aborted_when_its_key_is_withdrawn() {
    let system = start_system().await;
    let resp = system.send(system.request_to("/quotes/1?bytes=100000000"), "").await.unwrap();
    let mut body = resp.into_body();
    body.frame().await.unwrap().unwrap();
    let withdrawn =
        system.patch_tree("organisations/zemgale-probes/keys", json!({"zemgale-probes-1": null})).await;
    expect_that!(withdrawn, eq(200));
    let mut is_aborted = false;
    while let Some(frame) = body.frame().await {
        is_aborted |= frame.is_err();
    }
    expect_that!(is_aborted, eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn http_2_request_is_answered() {
    let system = start_system().await;
    let client = Client::builder(TokioExecutor::new()).http2_only(true).build_http();
    let req =
        system.request_to("/quotes/1").header("x-api-key", &system.key).body(Empty::<Bytes>::new()).unwrap();
    let resp = client.request(req).await.unwrap();
    expect_that!(resp.version(), eq(http::Version::HTTP_2));
    expect_that!(resp.status().as_u16(), eq(200));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn wrong_operator_token_gives_401_and_stale_tag_gives_412() {
    let system = start_system().await;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let call = |token: &str, tag: Option<&str>| {
        let mut req = Request::builder()
            .method("PUT")
            .uri(format!("http://{}/v1/tree/settings/retries", system.admin))
            .header("authorization", format!("Bearer {token}"))
            .header("content-type", "application/json");
        if let Some(tag) = tag {
            req = req.header("if-match", tag);
        }
        client.request(req.body(Full::new(Bytes::from("1"))).expect("a request"))
    };
    expect_that!(call("wrong", None).await.unwrap().status().as_u16(), eq(401));
    expect_that!(call(&system.demo.token, Some("\"0000\"")).await.unwrap().status().as_u16(), eq(412));
    expect_that!(call(&system.demo.token, None).await.unwrap().status().as_u16(), eq(200));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_client_blocks_leave_the_current_table_in_force() {
    let system = start_system().await;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let put = |text: &str| {
        let req = Request::builder()
            .method("PUT")
            .uri(format!("http://{}/v1/blocks", system.admin))
            .header("authorization", format!("Bearer {}", system.demo.token))
            .header("content-type", "text/plain")
            .body(Full::new(Bytes::from(text.to_owned())))
            .expect("a request");
        client.request(req)
    };
    let blocks = || system.demo.nodes[0].node.active_config.load().snapshot.blocks.len();
    expect_that!(put("10.0.0.0/8 riga\n2001:db8::/32 jelgava\n").await.unwrap().status().as_u16(), eq(200));
    expect_that!(blocks(), eq(2));
    for bad in ["", "10.0.0.0/8", "10.0.0.0/99 riga", "10.0.0.0/8 riga\n10.0.0.0/8 jelgava\n"] {
        expect_that!(put(bad).await.unwrap().status().as_u16(), eq(422), "{bad}");
        expect_that!(blocks(), eq(2));
    }
}
