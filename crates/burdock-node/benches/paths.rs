//! Measures latency, throughput and memory of one instance, compared with direct calls to the same backend
//! server.
//!
//! `cargo bench -p burdock-node --bench paths` writes `docs/results/paths.json` and prints it. All figures of
//! a run come from the same machine at the same time.

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use burdock_model::ids::{Incarnation, InstanceId, InstanceIncarnation, RegionName, Revision, ZoneName};
use burdock_model::prelude::Snapshot;
use burdock_node::entry::steer::select_answer;
use burdock_node::fleet::{Entry, FleetView};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use support::Cluster;
use tokio::net::TcpStream;

const BENCH_ORGANISATION: &str = "zemgale-probes";

/// Duration of each load.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Connections of a load that sends as fast as it gets responses.
const FULL_LOAD_CONNECTIONS: usize = 64;

/// Connections of a load at a steady rate.
const PACED_CONNECTIONS: usize = 16;

/// Number of open connections whose memory use is measured.
const IDLE_CONNECTION_COUNT: usize = 2000;

/// Fraction of the maximum rate at which latency is measured.
const LATENCY_LOAD_FRACTION: f64 = 1.0 / 3.0;

#[derive(Clone)]
struct Target {
    address: SocketAddr,
    path: &'static str,
    key: String,
}

struct LoadResult {
    requests: u64,
    failures: u64,
    elapsed: Duration,
    latency_us: Histogram<u64>,
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime");
    let report = runtime.block_on(run());
    let text = serde_json::to_string_pretty(&report).expect("JSON");
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/results");
    std::fs::create_dir_all(directory).expect("the results directory is created");
    std::fs::write(format!("{directory}/paths.json"), format!("{text}\n")).expect("the results are written");
    println!("{text}");
}

async fn run() -> Value {
    let cluster = Cluster::start_for_bench().await;
    raise_organisation_rate(&cluster).await;
    let key = cluster.key(BENCH_ORGANISATION).to_owned();
    let instance = &cluster.instances[0];
    let forwarded = Target { address: instance.callers, path: "/quotes/1", key: key.clone() };
    let direct = Target { address: cluster.backends[0].address, path: "/quotes/1", key: key.clone() };
    let steer = Target { address: instance.callers, path: "/.burdock/v1/steer?service=quotes", key };

    // Warms up connections and memory pages, and completes the ramp-up of backend servers.
    run_closed_loop(&forwarded, FULL_LOAD_CONNECTIONS, Duration::from_secs(2)).await;

    let (forward_load, forward_cores) =
        measure_cores(&cluster, run_closed_loop(&forwarded, FULL_LOAD_CONNECTIONS, LOAD_TIME)).await;
    let max_requests_per_second = forward_load.requests as f64 / forward_load.elapsed.as_secs_f64();
    let (steer_load, steer_cores) =
        measure_cores(&cluster, run_closed_loop(&steer, FULL_LOAD_CONNECTIONS, LOAD_TIME)).await;
    let steers_per_second = steer_load.requests as f64 / steer_load.elapsed.as_secs_f64();

    let paced_rate = max_requests_per_second * LATENCY_LOAD_FRACTION;
    let mut pairs = Vec::new();
    for _ in 0..3 {
        let direct_result = run_open_loop(&direct, paced_rate).await;
        let forwarded_result = run_open_loop(&forwarded, paced_rate).await;
        pairs.push((direct_result, forwarded_result));
    }
    let memory = measure_idle_memory(&cluster, &forwarded).await;
    json!({
        "command": "cargo bench -p burdock-node --bench paths",
        "forward": {
            "requests_per_second": max_requests_per_second.round(),
            "failures": forward_load.failures,
            "cores_used": round_to_hundredths(forward_cores),
            "requests_per_second_per_core": (max_requests_per_second / forward_cores).round(),
        },
        "steer_over_http": {
            "requests_per_second": steers_per_second.round(),
            "failures": steer_load.failures,
            "cores_used": round_to_hundredths(steer_cores),
            "requests_per_second_per_core": (steers_per_second / steer_cores).round(),
        },
        "steer_decisions_per_second_per_core": steer_decisions_per_second().round(),
        "latency_at_requests_per_second": paced_rate.round(),
        "latency_pairs": pairs.iter().map(|(d, f)| latency_json(d, f)).collect::<Vec<_>>(),
        "memory": memory,
        "promises": measure_propagation().await,
    })
}

// Time from a request of an operator or a backend server until it is in force at all of six processes.
async fn measure_propagation() -> Value {
    let cluster = Cluster::start(6, 6).await;
    json!({
        "instances": cluster.instances.len(),
        "change_in_force_everywhere_ms": change_propagation_ms(&cluster).await,
        "key_withdrawn_everywhere_ms": key_withdrawal_ms(&cluster).await,
        "last_new_work_after_operators_drain_ms": last_request_after_drain_ms(&cluster, true).await,
        "last_new_work_after_backend_says_it_leaves_ms": last_request_after_drain_ms(&cluster, false).await,
    })
}

async fn change_propagation_ms(cluster: &Cluster) -> u64 {
    let started_at = Instant::now();
    let change =
        cluster.admin(0, Method::PATCH, "/v1/tree/settings", json!({"retries": 1})).await.expect("an answer");
    let revision = change.json()["revision"].as_u64().expect("a revision");
    for ix in 0..cluster.instances.len() {
        cluster
            .wait_until(async || {
                let status =
                    cluster.admin(ix, Method::GET, "/v1/status", json!(null)).await.expect("a status").json();
                status["revision"].as_u64() >= Some(revision)
            })
            .await;
    }
    millis(started_at.elapsed())
}

async fn key_withdrawal_ms(cluster: &Cluster) -> u64 {
    let issued = cluster.admin(0, Method::POST, "/v1/organisations/farm-dobele/keys", json!(null)).await;
    let issued = issued.expect("an answer").json();
    let key = issued["key"].as_str().expect("a key").to_owned();
    let headers = [("x-api-key", key.as_str())];
    let path = format!("/v1/organisations/farm-dobele/keys/{}", issued["id"].as_str().expect("an id"));
    let started_at = Instant::now();
    cluster.admin(0, Method::DELETE, &path, json!(null)).await.expect("an answer");
    for ix in 0..cluster.instances.len() {
        cluster
            .wait_until(async || {
                cluster.get(ix, "/quotes/1", &headers).await.is_some_and(|a| a.status == 401)
            })
            .await;
    }
    millis(started_at.elapsed())
}

// Time from the start of a drain until the last new request began at the backend server, by its own log,
// under a steady load.
async fn last_request_after_drain_ms(cluster: &Cluster, by_operator: bool) -> u64 {
    const DRAIN_LOAD_TIME: Duration = Duration::from_secs(6);
    let key = cluster.key(BENCH_ORGANISATION).to_owned();
    let headers = [("x-api-key", key.as_str())];
    let drained_ix = usize::from(!by_operator) * 3;
    let load = async {
        let end = Instant::now() + DRAIN_LOAD_TIME;
        while Instant::now() < end {
            for ix in 0..cluster.instances.len() {
                cluster.get(ix, "/quotes/drain", &headers).await;
            }
        }
    };
    let drain = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let drained_at_us = unix_time_us();
        if by_operator {
            let body = json!({"kind": "backend", "name": cluster.backends[drained_ix].id});
            cluster.admin(0, Method::POST, "/v1/drains", body).await.expect("an answer");
        } else {
            cluster.backend_fault(drained_ix, json!({"drain": true})).await;
        }
        drained_at_us
    };
    let ((), drained_at_us) = tokio::join!(load, drain);
    let log = cluster.executed_on(drained_ix).await;
    let last_start_us = log.iter().map(|r| r.start_us).max().unwrap_or(drained_at_us);
    last_start_us.saturating_sub(drained_at_us) / 1000
}

fn unix_time_us() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    u64::try_from(elapsed.as_micros()).expect("a time of this age")
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("a short time")
}

fn latency_json(direct: &LoadResult, forwarded: &LoadResult) -> Value {
    let latency_at = |load: &LoadResult, quantile: f64| load.latency_us.value_at_quantile(quantile);
    let added = |q: f64| {
        i64::try_from(latency_at(forwarded, q)).unwrap_or(0)
            - i64::try_from(latency_at(direct, q)).unwrap_or(0)
    };
    json!({
        "direct_us": {"p50": latency_at(direct, 0.5), "p99": latency_at(direct, 0.99)},
        "through_us": {"p50": latency_at(forwarded, 0.5), "p99": latency_at(forwarded, 0.99)},
        "added_us": {"p50": added(0.5), "p99": added(0.99)},
        "failures": direct.failures + forwarded.failures,
    })
}

// Raises the organisation's rate, which in the sample is far below the capacity of the machine.
async fn raise_organisation_rate(cluster: &Cluster) {
    let path = format!("/v1/tree/organisations/{BENCH_ORGANISATION}/settings");
    let settings = json!({"rate": "900000/s", "burst": 900_000});
    let answer = cluster.admin(0, Method::PATCH, &path, settings).await.expect("an answer");
    assert_eq!(answer.status, 200);
    tokio::time::sleep(Duration::from_secs(2)).await;
}

async fn measure_cores(cluster: &Cluster, load: impl Future<Output = LoadResult>) -> (LoadResult, f64) {
    let before = cluster.cpu_seconds(0);
    let started_at = Instant::now();
    let load = load.await;
    let used = cluster.cpu_seconds(0) - before;
    (load, used / started_at.elapsed().as_secs_f64())
}

async fn run_closed_loop(target: &Target, connections: usize, time: Duration) -> LoadResult {
    let end = Instant::now() + time;
    let tasks: Vec<_> = (0..connections)
        .map(|_| {
            let target = target.clone();
            tokio::spawn(async move {
                let mut load = LoadResult::new();
                let mut sender = connect(target.address).await;
                while Instant::now() < end {
                    let started_at = Instant::now();
                    let succeeded = send(&mut sender, &target).await;
                    load.record(started_at.elapsed(), succeeded);
                }
                load
            })
        })
        .collect();
    merge_results(tasks, time).await
}

// Sends requests at a steady rate. Uses threads with blocking sockets, since their sleep is finer than a
// runtime's timer.
async fn run_open_loop(target: &Target, rate: f64) -> LoadResult {
    let tasks: Vec<_> = (0..PACED_CONNECTIONS)
        .map(|nth| {
            let target = target.clone();
            tokio::task::spawn_blocking(move || run_paced(&target, rate / PACED_CONNECTIONS as f64, nth))
        })
        .collect();
    merge_results(tasks, LOAD_TIME).await
}

fn run_paced(target: &Target, rate: f64, nth: usize) -> LoadResult {
    let interval = Duration::from_secs_f64(1.0 / rate);
    let mut load = LoadResult::new();
    let mut stream = std::net::TcpStream::connect(target.address).expect("a connection");
    stream.set_nodelay(true).expect("no delay");
    let request_head =
        format!("GET {} HTTP/1.1\r\nhost: bench.example\r\nx-api-key: {}\r\n\r\n", target.path, target.key);
    let started_at = Instant::now();
    let mut due = interval.mul_f64(nth as f64 / PACED_CONNECTIONS as f64);
    while due < LOAD_TIME {
        std::thread::sleep(due.saturating_sub(started_at.elapsed()));
        let sent_at = Instant::now();
        stream.write_all(request_head.as_bytes()).expect("the request is written");
        let succeeded = read_response(&mut stream);
        load.record(sent_at.elapsed(), succeeded);
        due += interval;
    }
    load
}

fn read_response(stream: &mut std::net::TcpStream) -> bool {
    let mut buf = Vec::with_capacity(2048);
    let mut chunk = [0; 2048];
    loop {
        let count = stream.read(&mut chunk).expect("an answer");
        buf.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&buf);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length =
            head.lines().find_map(|l| l.strip_prefix("content-length: ")).and_then(|l| l.parse().ok());
        if body.len() >= length.expect("an announced length") {
            return head.starts_with("HTTP/1.1 200");
        }
    }
}

async fn merge_results(tasks: Vec<tokio::task::JoinHandle<LoadResult>>, elapsed: Duration) -> LoadResult {
    let mut total = LoadResult::new();
    for task in tasks {
        let load = task.await.expect("a load task");
        total.requests += load.requests;
        total.failures += load.failures;
        total.latency_us.add(&load.latency_us).expect("the same bounds");
    }
    total.elapsed = elapsed;
    total
}

async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("no delay");
    let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("a handshake");
    tokio::spawn(connection);
    sender
}

async fn send(sender: &mut SendRequest<Full<Bytes>>, target: &Target) -> bool {
    if sender.ready().await.is_err() {
        *sender = connect(target.address).await;
    }
    let req = Request::builder()
        .uri(target.path)
        .header("host", "bench.example")
        .header("x-api-key", &target.key)
        .body(Full::default())
        .expect("a request");
    let Ok(resp) = sender.send_request(req).await else {
        return false;
    };
    let succeeded = resp.status() == 200;
    resp.into_body().collect().await.is_ok() && succeeded
}

async fn measure_idle_memory(cluster: &Cluster, target: &Target) -> Value {
    let before = cluster.memory_kib(0);
    let mut senders = Vec::new();
    for _ in 0..IDLE_CONNECTION_COUNT {
        let mut sender = connect(target.address).await;
        assert!(send(&mut sender, target).await, "each connection serves a request");
        senders.push(sender);
    }
    let after = cluster.memory_kib(0);
    json!({
        "connections": senders.len(),
        "before_mib": round_to_hundredths(before as f64 / 1024.0),
        "at_mib": round_to_hundredths(after as f64 / 1024.0),
    })
}

// Measures the steering decision without HTTP, in a fleet of 24 instances.
fn steer_decisions_per_second() -> f64 {
    const ROUNDS: u64 = 200_000;
    let regions = ["riga", "jelgava", "daugavpils"].map(|r| RegionName::new(r).expect("a name"));
    let entry = |ix: usize| Entry {
        incarnation: InstanceIncarnation {
            instance: InstanceId::new(&format!("i{ix}")).expect("a name"),
            incarnation: Incarnation(1),
        },
        region: regions[ix % 3].clone(),
        zone: ZoneName::new("z").expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        peer_address: "127.0.0.1:2".parse().expect("an address"),
        member_state: burdock_decide::membership::MemberState::Alive,
        load_per_mille: 100,
        revision: Revision(1),
    };
    let view = FleetView { entries: (0..24).map(entry).collect() };
    let tree = serde_json::json!({"organisations": {"o": {"settings": {"rate": "500/s", "burst": 100}}}});
    let tree = burdock_model::tree::Tree::from_value(&tree).expect("a tree");
    let snapshot = Snapshot::new(Revision(1), tree, std::sync::Arc::default()).expect("a snapshot");
    let started_at = Instant::now();
    for caller in 0..ROUNDS {
        std::hint::black_box(select_answer(&view, &snapshot, 0, &regions, caller));
    }
    ROUNDS as f64 / started_at.elapsed().as_secs_f64()
}

impl LoadResult {
    fn new() -> Self {
        let latency_us = Histogram::new_with_max(60_000_000, 3).expect("bounds");
        Self { requests: 0, failures: 0, elapsed: Duration::ZERO, latency_us }
    }

    fn record(&mut self, latency: Duration, succeeded: bool) {
        self.requests += 1;
        self.failures += u64::from(!succeeded);
        self.latency_us.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX).max(1));
    }
}

fn round_to_hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
