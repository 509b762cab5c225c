//! Idempotency records that are handed over twice in a row.

use std::time::Duration;

use burdock_node::demo::{Demo, DemoSettings};
use burdock_node::node::Phase;
use burdock_node::shutdown::drain;
use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn send_command(demo: &Demo, ix: usize, key: &str, body: &str) -> (u16, String) {
    let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
    let req = Request::builder()
        .method("POST")
        .uri(format!("http://{}/valves/7", demo.nodes[ix].node.settings.listen.callers))
        .header("x-api-key", &demo.keys[0].key)
        .header("idempotency-key", key)
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a request");
    let resp = client.request(req).await.expect("an answer");
    let status = resp.status().as_u16();
    let body = resp.into_body().collect().await.expect("a body").to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn resent_command_is_answered_after_two_handovers() {
    let mut demo = DemoSettings::default().instances(3).backends(3).start().await.unwrap();
    let owner_key = format!("{}:irrigate", demo.nodes[0].node.incarnation);
    let first = send_command(&demo, 0, &owner_key, "open").await;
    let claimed = send_command(&demo, 0, "claimed", "open").await;
    expect_that!((first.0, claimed.0), eq((200, 200)));

    for _ in 0..2 {
        let leaving = demo.nodes.remove(0);
        drain(&leaving.node).await;
        leaving.stop().await;
        // A gossip round informs the others.
        tokio::time::sleep(Duration::from_millis(1200)).await;
    }
    expect_that!(send_command(&demo, 0, &owner_key, "open").await, eq(&first));
    expect_that!(send_command(&demo, 0, "claimed", "open").await, eq(&claimed));
    expect_that!(send_command(&demo, 0, &owner_key, "close").await.0, eq(409));
    // A successor never runs a command whose unknown key names an owner that has left.
    let unseen = format!("{}:unseen", owner_key.split(':').next().unwrap());
    expect_that!(send_command(&demo, 0, &unseen, "open").await.0, eq(503));
    let runs = demo.backends.iter().flat_map(|b| b.standin.log()).filter(|r| r.path == "/valves/7").count();
    expect_that!(runs, eq(2));
}

// Guards against a command that is passed on late in a stop because its body came late. Its key may have been handed
// over by then.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn command_whose_body_ends_late_in_a_stop_is_refused_as_not_run() {
    let demo = DemoSettings::default().instances(3).backends(3).start().await.unwrap();
    let node = &demo.nodes[0].node;
    let mut streams = Vec::new();
    for key in ["", "idempotency-key: late\r\n"] {
        let mut stream = TcpStream::connect(node.settings.listen.callers).await.unwrap();
        let head = format!(
            "POST /valves/7 HTTP/1.1\r\nhost: any\r\nx-api-key: {}\r\n{key}content-length: 4\r\nconnection: close\r\n\r\nop",
            demo.keys[0].key
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    node.advance(Phase::Finishing);
    for mut stream in streams {
        stream.write_all(b"en").await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        expect_that!(answer, starts_with("HTTP/1.1 503"));
        expect_that!(answer.to_lowercase(), contains_substring("burdock-outcome: not-run"));
    }
    let runs = demo.backends.iter().flat_map(|b| b.standin.log()).filter(|r| r.path == "/valves/7").count();
    expect_that!(runs, eq(0));
}
