//! Requests that reach an instance during its planned stop.

mod site_support;

use std::time::Duration;

use burdock_node::phase::Phase;
use burdock_standin::site::{HOST, SampleConfig};
use googletest::prelude::*;
use serde_json::json;
use site_support::{Site, raw};

const BODY: &str = "open valve 7";

fn post_head(id: &str) -> String {
    format!(
        "POST /valves/1 HTTP/1.1\r\nhost: {HOST}\r\nx-burdockcroft-key: key-of-farm\r\nx-burdockcroft-attempt-id: {id}\r\nx-burdockcroft-deadline-ms: 20000\r\ncontent-length: {}\r\n\r\n",
        BODY.len()
    )
}

// Guards against a command that is passed on late in a stop because its body came late, and is cut at its end.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_body_ends_late_in_a_stop_is_refused_as_not_run() {
    let mut site = Site::start(1, 1).await;
    let mut config = SampleConfig::new(2);
    config.routes[1]["timeout_s"] = json!(10);
    config.publish(&site.store);
    site.wait_until(async || site.config_versions() == [2]).await;
    let (tx, mut rx) = raw::connect(site.callers_address(0)).await;
    tx.send(post_head("late") + &BODY[..4]);
    let instance = site.instances.remove(0);
    let node = instance.node.clone();
    let stop = tokio::spawn(instance.stop());
    site.wait_until(async || node.phase() == Phase::Finishing).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    tx.send(BODY[4..].to_owned());
    expect_that!(rx.next_status().await, some(eq(503)));
    stop.await.unwrap();
    expect_that!(site.run_count("late"), eq(0));
}

// Guards against a command that goes to a second backend server too late in a stop, and is cut at its end.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn command_that_is_refused_late_in_a_stop_goes_to_no_other_backend() {
    const REFUSAL: &str = "x-burdockcroft-not-executed: 1\r\n";
    const QUEUE_TIME: Duration = Duration::from_millis(4900);
    let mut site = Site::start(1, 0).await;
    let mut config = SampleConfig::new(2);
    config.routes[1]["timeout_s"] = json!(10);
    config.routes[1]["target_latency_s"] = json!(2);
    config.publish(&site.store);
    let refuse = |id: String| {
        let answer = raw::build_answer_with(&id, "503 Service Unavailable", REFUSAL, "");
        vec![(QUEUE_TIME, answer)]
    };
    let backends = [raw::Backend::start(refuse).await, raw::Backend::start(refuse).await];
    for (ix, backend) in backends.iter().enumerate() {
        site.register(&format!("valves-{ix}"), "valves", backend.address);
    }
    let node = site.instances[0].node.clone();
    site.wait_until(async || node.backends.usable().services.values().any(|b| b.len() == 2)).await;
    site.wait_until(async || site.config_versions() == [2]).await;
    let (tx, mut rx) = raw::connect(site.callers_address(0)).await;
    let stop = tokio::spawn(site.instances.remove(0).stop());
    tx.send(post_head("refused") + BODY);
    expect_that!(rx.next_status().await, some(eq(503)));
    stop.await.unwrap();
    expect_that!(backends.iter().map(raw::Backend::requests).sum::<usize>(), eq(1));
}
