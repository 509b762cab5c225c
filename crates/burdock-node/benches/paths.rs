//! Latency, throughput and memory of one instance, beside direct calls to the same backend server.
//!
//! `cargo bench -p burdock-node --bench paths` writes `docs/results/paths.json` and prints a table. All figures
//! of a run come from the same machine at the same time.

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use burdock_model::ids::{Incarnation, InstanceId, InstanceIncarnation, RegionName, Revision, ZoneName};
use burdock_model::prelude::Snapshot;
use burdock_node::entry::steer::decide;
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

const ORGANISATION: &str = "zemgale-probes";

/// How long each load goes on.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Connections of a full load.
const CONNECTIONS: usize = 64;

/// Connections of a paced load.
const PACED_CONNECTIONS: usize = 16;

/// Open connections whose memory is measured.
const IDLE_CONNECTIONS: usize = 2000;

/// The part of its highest rate at which latency is measured.
const LATENCY_LOAD: f64 = 1.0 / 3.0;

#[derive(Clone)]
struct Target {
    address: SocketAddr,
    path: &'static str,
    key: String,
}

struct Load {
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
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/results");
    std::fs::create_dir_all(folder).expect("a folder");
    std::fs::write(format!("{folder}/paths.json"), format!("{text}\n")).expect("the results are written");
    println!("{text}");
}

async fn run() -> Value {
    let cluster = Cluster::start_for_bench().await;
    raise_rate(&cluster).await;
    let key = cluster.key(ORGANISATION).to_owned();
    let instance = &cluster.instances[0];
    let through = Target { address: instance.callers, path: "/quotes/1", key: key.clone() };
    let direct = Target { address: cluster.backends[0].address, path: "/quotes/1", key: key.clone() };
    let steer = Target { address: instance.callers, path: "/.burdock/v1/steer?service=quotes", key };

    // Warm up: connections, pages, and the ramp of backend servers.
    closed_loop(&through, CONNECTIONS, Duration::from_secs(2)).await;

    let (full, cores) = with_cpu(&cluster, closed_loop(&through, CONNECTIONS, LOAD_TIME)).await;
    let highest = full.requests as f64 / full.elapsed.as_secs_f64();
    let (steering, steer_cores) = with_cpu(&cluster, closed_loop(&steer, CONNECTIONS, LOAD_TIME)).await;
    let steer_rate = steering.requests as f64 / steering.elapsed.as_secs_f64();

    let paced = highest * LATENCY_LOAD;
    let mut pairs = Vec::new();
    for _ in 0..3 {
        let a = open_loop(&direct, paced).await;
        let b = open_loop(&through, paced).await;
        pairs.push((a, b));
    }
    let memory = memory_at_idle(&cluster, &through).await;
    json!({
        "command": "cargo bench -p burdock-node --bench paths",
        "forward": {
            "requests_per_second": highest.round(),
            "failures": full.failures,
            "cores_used": round2(cores),
            "requests_per_second_per_core": (highest / cores).round(),
        },
        "steer_over_http": {
            "requests_per_second": steer_rate.round(),
            "failures": steering.failures,
            "cores_used": round2(steer_cores),
            "requests_per_second_per_core": (steer_rate / steer_cores).round(),
        },
        "steer_decisions_per_second_per_core": steer_decisions().round(),
        "latency_at_requests_per_second": paced.round(),
        "latency_pairs": pairs.iter().map(|(d, t)| latency_row(d, t)).collect::<Vec<_>>(),
        "memory": memory,
        "promises": promises().await,
    })
}

// Times from an operator's or a backend server's word until it holds everywhere, with six processes.
async fn promises() -> Value {
    let cluster = Cluster::start(6, 6).await;
    json!({
        "instances": cluster.instances.len(),
        "change_in_force_everywhere_ms": change_ms(&cluster).await,
        "key_withdrawn_everywhere_ms": withdrawal_ms(&cluster).await,
        "last_new_work_after_operators_drain_ms": drain_ms(&cluster, true).await,
        "last_new_work_after_backend_says_it_leaves_ms": drain_ms(&cluster, false).await,
    })
}

async fn change_ms(cluster: &Cluster) -> u64 {
    let began = Instant::now();
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
    millis(began.elapsed())
}

async fn withdrawal_ms(cluster: &Cluster) -> u64 {
    let issued = cluster.admin(0, Method::POST, "/v1/organisations/farm-dobele/keys", json!(null)).await;
    let issued = issued.expect("an answer").json();
    let key = issued["key"].as_str().expect("a key").to_owned();
    let headers = [("x-api-key", key.as_str())];
    let path = format!("/v1/organisations/farm-dobele/keys/{}", issued["id"].as_str().expect("an id"));
    let began = Instant::now();
    cluster.admin(0, Method::DELETE, &path, json!(null)).await.expect("an answer");
    for ix in 0..cluster.instances.len() {
        cluster
            .wait_until(async || {
                cluster.get(ix, "/quotes/1", &headers).await.is_some_and(|a| a.status == 401)
            })
            .await;
    }
    millis(began.elapsed())
}

// A steady load goes on; the backend server's own log tells when the last new request began there.
async fn drain_ms(cluster: &Cluster, by_operator: bool) -> u64 {
    const WATCHED: Duration = Duration::from_secs(6);
    let key = cluster.key(ORGANISATION).to_owned();
    let headers = [("x-api-key", key.as_str())];
    let victim = usize::from(!by_operator) * 3;
    let load = async {
        let end = Instant::now() + WATCHED;
        while Instant::now() < end {
            for ix in 0..cluster.instances.len() {
                cluster.get(ix, "/quotes/drain", &headers).await;
            }
        }
    };
    let drain = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let at = wall_clock_us();
        if by_operator {
            let body = json!({"kind": "backend", "name": cluster.backends[victim].id});
            cluster.admin(0, Method::POST, "/v1/drains", body).await.expect("an answer");
        } else {
            cluster.backend_fault(victim, json!({"drain": true})).await;
        }
        at
    };
    let ((), at) = tokio::join!(load, drain);
    let log = cluster.executed_on(victim).await;
    let last = log.iter().map(|r| r.start_us).max().unwrap_or(at);
    last.saturating_sub(at) / 1000
}

fn wall_clock_us() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    u64::try_from(since.as_micros()).expect("a time of this age")
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("a short time")
}

fn latency_row(direct: &Load, through: &Load) -> Value {
    let at = |load: &Load, quantile: f64| load.latency_us.value_at_quantile(quantile);
    let added =
        |q: f64| i64::try_from(at(through, q)).unwrap_or(0) - i64::try_from(at(direct, q)).unwrap_or(0);
    json!({
        "direct_us": {"p50": at(direct, 0.5), "p99": at(direct, 0.99)},
        "through_us": {"p50": at(through, 0.5), "p99": at(through, 0.99)},
        "added_us": {"p50": added(0.5), "p99": added(0.99)},
        "failures": direct.failures + through.failures,
    })
}

// The sample's rates are far below what the machine can do.
async fn raise_rate(cluster: &Cluster) {
    let path = format!("/v1/tree/organisations/{ORGANISATION}/settings");
    let settings = json!({"rate": "900000/s", "burst": 900_000});
    let answer = cluster.admin(0, Method::PATCH, &path, settings).await.expect("an answer");
    assert_eq!(answer.status, 200);
    tokio::time::sleep(Duration::from_secs(2)).await;
}

async fn with_cpu(cluster: &Cluster, load: impl Future<Output = Load>) -> (Load, f64) {
    let before = cluster.cpu_seconds(0);
    let began = Instant::now();
    let load = load.await;
    let used = cluster.cpu_seconds(0) - before;
    (load, used / began.elapsed().as_secs_f64())
}

async fn closed_loop(target: &Target, connections: usize, time: Duration) -> Load {
    let end = Instant::now() + time;
    let tasks: Vec<_> = (0..connections)
        .map(|_| {
            let target = target.clone();
            tokio::spawn(async move {
                let mut load = Load::new();
                let mut sender = connect(target.address).await;
                while Instant::now() < end {
                    let began = Instant::now();
                    let good = send(&mut sender, &target).await;
                    load.note(began.elapsed(), good);
                }
                load
            })
        })
        .collect();
    gather(tasks, time).await
}

// Requests at a steady rate from threads with blocking sockets, whose sleep is finer than a runtime's timer.
async fn open_loop(target: &Target, rate: f64) -> Load {
    let tasks: Vec<_> = (0..PACED_CONNECTIONS)
        .map(|nth| {
            let target = target.clone();
            tokio::task::spawn_blocking(move || paced(&target, rate / PACED_CONNECTIONS as f64, nth))
        })
        .collect();
    gather(tasks, LOAD_TIME).await
}

fn paced(target: &Target, rate: f64, nth: usize) -> Load {
    let interval = Duration::from_secs_f64(1.0 / rate);
    let mut load = Load::new();
    let mut stream = std::net::TcpStream::connect(target.address).expect("a connection");
    stream.set_nodelay(true).expect("no delay");
    let head =
        format!("GET {} HTTP/1.1\r\nhost: bench.example\r\nx-api-key: {}\r\n\r\n", target.path, target.key);
    let began = Instant::now();
    let mut due = interval.mul_f64(nth as f64 / PACED_CONNECTIONS as f64);
    while due < LOAD_TIME {
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        let sent = Instant::now();
        stream.write_all(head.as_bytes()).expect("the request is written");
        let good = read_answer(&mut stream);
        load.note(sent.elapsed(), good);
        due += interval;
    }
    load
}

fn read_answer(stream: &mut std::net::TcpStream) -> bool {
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

async fn gather(tasks: Vec<tokio::task::JoinHandle<Load>>, elapsed: Duration) -> Load {
    let mut total = Load::new();
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
    let good = resp.status() == 200;
    resp.into_body().collect().await.is_ok() && good
}

async fn memory_at_idle(cluster: &Cluster, target: &Target) -> Value {
    let before = cluster.memory_kib(0);
    let mut open = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let mut sender = connect(target.address).await;
        assert!(send(&mut sender, target).await, "each connection serves a request");
        open.push(sender);
    }
    let after = cluster.memory_kib(0);
    json!({"connections": open.len(), "before_mib": round2(before as f64 / 1024.0), "at_mib": round2(after as f64 / 1024.0)})
}

// The decision alone, for a fleet of 24 instances.
fn steer_decisions() -> f64 {
    const ROUNDS: u64 = 200_000;
    let regions = ["riga", "jelgava", "daugavpils"].map(|r| RegionName::new(r).expect("a name"));
    let entry = |ix: usize| Entry {
        life: InstanceIncarnation {
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
    let began = Instant::now();
    for caller in 0..ROUNDS {
        std::hint::black_box(decide(&view, &snapshot, 0, &regions, caller));
    }
    ROUNDS as f64 / began.elapsed().as_secs_f64()
}

impl Load {
    fn new() -> Self {
        let latency_us = Histogram::new_with_max(60_000_000, 3).expect("bounds");
        Self { requests: 0, failures: 0, elapsed: Duration::ZERO, latency_us }
    }

    fn note(&mut self, latency: Duration, good: bool) {
        self.requests += 1;
        self.failures += u64::from(!good);
        self.latency_us.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX).max(1));
    }
}

fn round2(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
