//! Requests, changes and shutdown with real processes that are killed, frozen or cut off.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use support::Cluster;

const ORGANISATION: &str = "zemgale-probes";

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_and_setting_change_reaches_all_instances() {
    let cluster = Cluster::start(2, 2).await;
    let key = cluster.key(ORGANISATION).to_owned();
    let headers = [("x-api-key", key.as_str())];

    let steer = cluster.get(0, "/.burdock/v1/steer?service=quotes", &headers).await.unwrap();
    expect_that!(steer.status, eq(200));
    expect_that!(steer.json()["entries"].as_array().unwrap().len(), eq(2));

    let answer = cluster.get(0, "/quotes/1?a=1", &headers).await.unwrap();
    expect_that!(answer.status, eq(200));
    let echo = answer.json();
    expect_that!(echo["headers"]["burdock-organisation"], eq(&json!(ORGANISATION)));
    expect_that!(echo["headers"].get("x-api-key"), none());
    expect_that!(answer.headers.get("burdock-request-id").is_some(), eq(true));

    let path = format!("/v1/tree/organisations/{ORGANISATION}/settings");
    let change = cluster.admin(0, Method::PATCH, &path, json!({"allow": false})).await.unwrap();
    expect_that!(change.status, eq(200));
    for ix in 0..2 {
        cluster
            .wait_until(async || cluster.get(ix, "/quotes/1", &headers).await.unwrap().status == 403)
            .await;
    }
    let id = change.json()["change"].as_str().unwrap().to_owned();
    cluster
        .wait_until(async || {
            let status = cluster
                .admin(1, Method::GET, &format!("/v1/changes/{id}"), json!(null))
                .await
                .unwrap()
                .json();
            status["confirmed"].as_array().is_some_and(|c| c.len() == 2)
        })
        .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn command_runs_at_most_once_when_an_instance_is_killed() {
    let mut cluster = Cluster::start(3, 3).await;
    let key = cluster.key(ORGANISATION).to_owned();
    let mut answers: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for n in 0..60 {
        if n == 20 {
            cluster.kill(0);
        }
        let idempotency_key = format!("command-{n}");
        let headers = [("x-api-key", key.as_str()), ("idempotency-key", idempotency_key.as_str())];
        // A caller without an answer, or with a refusal, retries at the next instance.
        for attempt in 0..3 {
            let ix = (n + attempt) % 3;
            let answer = cluster.post(ix, "/valves/7?delay_ms=5", &headers, "open").await;
            let outcome = answer.map_or_else(|| "no answer".to_owned(), |a| a.outcome().to_owned());
            let done = outcome == "ran";
            answers.entry(idempotency_key.clone()).or_default().push(outcome);
            if done {
                break;
            }
        }
    }
    assert_answers_match_runs(&cluster, &answers).await;
    let ran = answers.values().filter(|outcomes| outcomes.last().is_some_and(|t| t == "ran")).count();
    expect_that!(ran, gt(40));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn frozen_owner_neither_repeats_a_command_nor_accepts_a_withdrawn_key() {
    let cluster = Cluster::start(3, 3).await;
    let key = cluster.key(ORGANISATION).to_owned();
    let steer =
        cluster.get(0, "/.burdock/v1/steer?service=valves", &[("x-api-key", &key)]).await.unwrap().json();
    let is_first = |e: &&serde_json::Value| e["address"] == json!(cluster.instances[0].callers);
    let entries = steer["entries"].as_array().unwrap();
    let owner = entries.iter().find(is_first).unwrap()["incarnation"].as_str().unwrap().to_owned();
    let idempotency_key = format!("{owner}:irrigate");
    let headers = [("x-api-key", key.as_str()), ("idempotency-key", idempotency_key.as_str())];

    let first = cluster.post(0, "/valves/7?delay_ms=400", &headers, "open");
    let freeze = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        cluster.signal(0, Signal::SIGSTOP);
        let resent = cluster.post(1, "/valves/7?delay_ms=400", &headers, "open").await.unwrap();
        expect_that!(resent.outcome(), eq("unknown"));
        let id = key.split('.').nth(1).unwrap();
        let path = format!("/v1/organisations/{ORGANISATION}/keys/{id}");
        cluster
            .wait_until(async || {
                cluster.admin(1, Method::DELETE, &path, json!(null)).await.unwrap().status == 200
            })
            .await;
        cluster
            .wait_until(async || cluster.get(2, "/quotes/1", &headers[..1]).await.unwrap().status == 401)
            .await;
        // Longer than an instance without contact keeps serving.
        tokio::time::sleep(Duration::from_millis(6000)).await;
        cluster.signal(0, Signal::SIGCONT);
        let after = cluster.get(0, "/quotes/1", &headers[..1]).await.unwrap();
        expect_that!(after.status, any![eq(401), eq(503)]);
        expect_that!(after.outcome(), eq("not-run"));
    };
    let (_first, ()) = tokio::join!(first, freeze);
    let runs = cluster.executed().await.into_iter().filter(|r| r.idempotency_key == idempotency_key).count();
    expect_that!(runs, le(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_finishes_requests_and_transfers_idempotency_records() {
    let mut cluster = Cluster::start(3, 3).await;
    let key = cluster.key(ORGANISATION).to_owned();
    let idempotency_key = "handed-over";
    let headers = [("x-api-key", key.as_str()), ("idempotency-key", idempotency_key)];
    let first = cluster.post(0, "/valves/7", &headers, "open").await.unwrap();
    expect_that!(first.status, eq(200));

    let slow = cluster.get(0, "/quotes/1?delay_ms=1000", &headers[..1]);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        cluster.signal(0, Signal::SIGTERM);
    };
    let (slow, ()) = tokio::join!(slow, stop);
    expect_that!(slow.unwrap().status, eq(200));
    let mut process = cluster.instances[0].process.take().unwrap();
    let code = tokio::task::spawn_blocking(move || process.wait_for_exit()).await.unwrap();
    expect_that!(code, some(eq(0)));

    let again = cluster.post(1, "/valves/7", &headers, "open").await.unwrap();
    expect_that!(again.status, eq(200));
    expect_that!(again.body, eq(&first.body));
    let runs = cluster.executed().await.into_iter().filter(|r| r.idempotency_key == idempotency_key).count();
    expect_that!(runs, eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn traffic_and_instance_restart_continue_during_store_outage() {
    let mut cluster = Cluster::start(3, 3).await;
    let key = cluster.key(ORGANISATION).to_owned();
    let headers = [("x-api-key", key.as_str()), ("idempotency-key", "in-an-outage")];
    cluster.store_fault(json!({"down_ms": 600_000})).await;
    tokio::time::sleep(Duration::from_millis(5000)).await;

    expect_that!(cluster.get(0, "/quotes/1", &headers[..1]).await.unwrap().status, eq(200));
    let claim = cluster.post(0, "/valves/7", &headers, "open").await.unwrap();
    expect_that!((claim.status, claim.outcome()), eq((503, "not-run")));
    let change = cluster.admin(0, Method::PATCH, "/v1/tree/settings", json!({"retries": 1})).await.unwrap();
    expect_that!((change.status, change.outcome()), eq((503, "not-run")));

    cluster.kill(2);
    cluster.start_instance(2);
    cluster.wait_until_ready(2).await;
    cluster.wait_until_served(2, "/quotes/1", &headers[..1]).await;

    cluster.store_fault(json!({"down_ms": 0})).await;
    cluster
        .wait_until(async || cluster.post(0, "/valves/7", &headers, "open").await.unwrap().status == 200)
        .await;
    let runs = cluster.executed().await.into_iter().filter(|r| r.idempotency_key == "in-an-outage").count();
    expect_that!(runs, eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instances_without_peers_and_store_refuse_requests_and_accept_no_change() {
    let cluster = Cluster::start(3, 3).await;
    let key = cluster.key(ORGANISATION).to_owned();
    let headers = [("x-api-key", key.as_str())];
    // No instance reaches another; only the first reaches the store.
    cluster.instances.iter().for_each(|i| i.from_peers.cut());
    cluster.instances[1..].iter().for_each(|i| i.to_store.cut());
    for ix in 1..3 {
        cluster
            .wait_until(async || {
                let answer = cluster.get(ix, "/quotes/1", &headers).await.unwrap();
                answer.status == 503 && answer.outcome() == "not-run"
            })
            .await;
    }
    expect_that!(cluster.get(0, "/quotes/1", &headers).await.unwrap().status, eq(200));
    let change = cluster.admin(0, Method::PATCH, "/v1/tree/settings", json!({"retries": 0})).await.unwrap();
    expect_that!((change.status, change.outcome()), eq((503, "not-run")));

    cluster.instances.iter().for_each(|i| {
        i.from_peers.restore();
        i.to_store.restore();
    });
    for ix in 0..3 {
        cluster
            .wait_until(async || cluster.get(ix, "/quotes/1", &headers).await.unwrap().status == 200)
            .await;
    }
    let path = "/v1/tree/settings";
    cluster
        .wait_until(async || {
            cluster.admin(0, Method::PATCH, path, json!({"retries": 0})).await.unwrap().status == 200
        })
        .await;
}

/// Checks the outcomes that callers received against the requests that backend servers ran.
async fn assert_answers_match_runs(cluster: &Cluster, answers: &BTreeMap<String, Vec<String>>) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for ran in cluster.executed().await {
        *runs.entry(ran.idempotency_key).or_default() += 1;
    }
    for (key, outcomes) in answers {
        let count = runs.get(key).copied().unwrap_or(0);
        expect_that!(count, le(1), "{key} was answered with {outcomes:?}");
        if outcomes.iter().any(|t| t == "ran") {
            expect_that!(count, eq(1), "{key} was answered with {outcomes:?}");
        }
        if outcomes.iter().all(|t| t == "not-run") {
            expect_that!(count, eq(0), "{key} was answered with {outcomes:?}");
        }
    }
}
