//! A cluster of `burdockd` processes on free loopback ports.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod link;
pub mod ports;
pub mod process;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use burdock_standin::backend::LoggedRequest;
use burdock_standin::sample::{self, SampleBackend, SampleKey, region_and_zone};
use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use link::Link;
use ports::find_free_ports;
use process::{Process, WAIT_TIMEOUT};

const OPERATOR_TOKEN: &str = "0123456789abcdef0123456789abcdef";

/// A store, backend servers and instances, each a process.
pub struct Cluster {
    pub store: SocketAddr,
    pub instances: Vec<Instance>,
    pub backends: Vec<Backend>,
    pub keys: Vec<SampleKey>,
    http: Client<HttpConnector, Full<Bytes>>,
    store_process: Process,
    folder: tempfile::TempDir,
}

pub struct Instance {
    pub id: String,
    /// Link from other instances to this one.
    pub from_peers: Link,
    /// Link from this instance to the store.
    pub to_store: Link,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub admin: SocketAddr,
    pub process: Option<Process>,
    settings: PathBuf,
    listed: Value,
}

pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    process: Process,
}

/// An answer whose body was read completely.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn outcome(&self) -> &str {
        self.headers.get("burdock-outcome").and_then(|v| v.to_str().ok()).unwrap_or("ran")
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

impl Cluster {
    /// Starts a store, `backends` backend servers of each service and `instances` instances, and waits until
    /// all are ready.
    pub async fn start(instances: usize, backends: usize) -> Self {
        Self::start_with(instances, backends, &[]).await
    }

    async fn start_with(instances: usize, backends: usize, backend_args: &[&str]) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let http = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
        let backends = start_backends(backends, backend_args);
        let listed: Vec<SampleBackend> = backends.iter().map(|(sample, _)| sample.clone()).collect();
        let mut seed = 0_u8;
        let (tree, keys) = sample::tree(&listed, || {
            seed += 1;
            [seed; 32]
        });
        let tree_file = folder.path().join("tree.json");
        std::fs::write(&tree_file, tree.to_string()).expect("the tree is written");
        let mut store_process = Process::start(&[
            "standin-store",
            "--listen",
            "127.0.0.1:0",
            "--tree",
            tree_file.to_str().expect("utf-8"),
        ]);
        let store = parse_address(&store_process.read_first_line()["listen"]);
        let mut prepared = Vec::new();
        for ix in 0..instances {
            prepared.push(Instance::prepare(ix, store, folder.path()).await);
        }
        let instances = prepared;
        let backends = backends.into_iter().map(|(_, backend)| backend).collect();
        let mut cluster = Self { store, instances, backends, keys, http, store_process, folder };
        cluster.list_instances().await;
        for ix in 0..cluster.instances.len() {
            cluster.start_instance(ix);
        }
        for ix in 0..cluster.instances.len() {
            cluster.wait_until_ready(ix).await;
        }
        cluster.wait_until_shares_settle().await;
        cluster
    }

    /// Starts one instance and one backend server of 64 slots for each service, for benches.
    pub async fn start_for_bench() -> Self {
        Self::start_with(1, 1, &["--no-log", "--slots", "64"]).await
    }

    /// Returns the processor time that an instance has used, in seconds.
    pub fn cpu_seconds(&self, ix: usize) -> f64 {
        const TICKS_PER_SECOND: f64 = 100.0;
        let stat = self.proc_file(ix, "stat");
        let after_name = stat.rsplit_once(')').expect("a process name").1;
        let fields: Vec<f64> =
            after_name.split_whitespace().skip(11).take(2).map(|f| f.parse().expect("ticks")).collect();
        (fields[0] + fields[1]) / TICKS_PER_SECOND
    }

    /// Returns the resident memory of an instance, in KiB.
    pub fn memory_kib(&self, ix: usize) -> u64 {
        let status = self.proc_file(ix, "status");
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a size");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    fn proc_file(&self, ix: usize, name: &str) -> String {
        let id = self.instances[ix].process.as_ref().expect("the instance runs").id();
        std::fs::read_to_string(format!("/proc/{id}/{name}")).expect("the process exists")
    }

    pub async fn list_instances(&self) {
        let list: Vec<Value> = self.instances.iter().map(|i| i.listed.clone()).collect();
        self.send(
            self.store,
            Method::PUT,
            "/v1/instances",
            &[("content-type", "application/json")],
            json!(list).to_string(),
        )
        .await
        .expect("the store accepts the list");
    }

    pub fn start_instance(&mut self, ix: usize) {
        let instance = &mut self.instances[ix];
        let settings_file = instance.settings.to_str().expect("utf-8").to_owned();
        instance.process = Some(Process::start(&["run", "--settings", &settings_file]));
    }

    pub fn signal(&self, ix: usize, signal: Signal) {
        self.instances[ix].process.as_ref().expect("the instance runs").signal(signal);
    }

    pub fn kill(&mut self, ix: usize) {
        self.instances[ix].process = None;
    }

    pub async fn wait_until_ready(&self, ix: usize) {
        self.wait_until(async || {
            let answer = self.get(ix, "/.burdock/v1/health", &[]).await;
            answer.is_some_and(|a| a.status == 200)
        })
        .await;
    }

    /// Waits until every running instance reports settled shares with holders for all organisations.
    pub async fn wait_until_shares_settle(&self) {
        let alive: Vec<usize> =
            (0..self.instances.len()).filter(|ix| self.instances[*ix].process.is_some()).collect();
        for ix in &alive {
            self.wait_until(async || {
                let Some(status) = self.admin(*ix, Method::GET, "/v1/status", Value::Null).await else {
                    return false;
                };
                let shares = status.json()["shares"].as_object().cloned().unwrap_or_default();
                let settled = |s: &Value| {
                    s["settled"] == true && s["holders"].as_array().is_some_and(|h| !h.is_empty())
                };
                shares.len() == sample::ORGANISATIONS.len() && shares.values().all(settled)
            })
            .await;
        }
    }

    pub async fn wait_until(&self, mut done: impl AsyncFnMut() -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !done().await {
            assert!(Instant::now() < end, "the condition did not hold in time");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until an instance answers a path with 200; on a timeout the panic message has the last answer.
    pub async fn wait_until_served(&self, ix: usize, path: &str, headers: &[(&str, &str)]) {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let answer = self.get(ix, path, headers).await;
            if answer.as_ref().is_some_and(|a| a.status == 200) {
                return;
            }
            assert!(Instant::now() < end, "{path} is not served by instance {ix}: {answer:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub fn key(&self, organisation: &str) -> &str {
        &self.keys.iter().find(|k| k.organisation == organisation).expect("the organisation has a key").key
    }

    pub async fn get(&self, ix: usize, path: &str, headers: &[(&str, &str)]) -> Option<Answer> {
        self.send(self.instances[ix].callers, Method::GET, path, headers, String::new()).await
    }

    pub async fn post(&self, ix: usize, path: &str, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
        self.send(self.instances[ix].callers, Method::POST, path, headers, body.to_owned()).await
    }

    pub async fn admin(&self, ix: usize, method: Method, path: &str, body: Value) -> Option<Answer> {
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
        self.send(self.instances[ix].admin, method, path, &headers, body.to_string()).await
    }

    pub async fn store_fault(&self, fault: Value) {
        let headers = [("content-type", "application/json")];
        self.send(self.store, Method::POST, "/fault", &headers, fault.to_string())
            .await
            .expect("the store accepts faults");
    }

    pub async fn backend_fault(&self, ix: usize, fault: Value) {
        let headers = [("content-type", "application/json")];
        self.send(self.backends[ix].control, Method::POST, "/fault", &headers, fault.to_string())
            .await
            .expect("the backend server accepts faults");
    }

    /// Returns all requests that ran on any backend server.
    pub async fn executed(&self) -> Vec<LoggedRequest> {
        let mut all = Vec::new();
        for ix in 0..self.backends.len() {
            all.extend(self.executed_on(ix).await);
        }
        all
    }

    /// Returns all requests that ran on one backend server.
    pub async fn executed_on(&self, ix: usize) -> Vec<LoggedRequest> {
        let control = self.backends[ix].control;
        let answer = self.send(control, Method::GET, "/log", &[], String::new()).await.expect("a log");
        serde_json::from_slice(&answer.body).expect("the log is JSON")
    }

    /// Sends a request; returns `None` when no complete answer arrives in time.
    pub async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<Answer> {
        let mut req = Request::builder().method(method).uri(format!("http://{to}{path}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body))).expect("a request");
        let exchange = async {
            let resp = self.http.request(req).await.ok()?;
            let (parts, body) = resp.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
        };
        tokio::time::timeout(WAIT_TIMEOUT, exchange).await.ok().flatten()
    }
}

impl Instance {
    async fn prepare(ix: usize, store: SocketAddr, folder: &std::path::Path) -> Self {
        let (region, zone) = region_and_zone(ix);
        let id = format!("{region}-{}", ix / sample::REGIONS.len() + 1);
        let first = find_free_ports(3);
        let at = |nth: u16| SocketAddr::from(([127, 0, 0, 1], first + nth));
        let (callers, peers, admin) = (at(0), at(1), at(2));
        let (from_peers, to_store) = (Link::start(peers).await, Link::start(store).await);
        let settings = json!({
            "instance": id, "region": region, "zone": zone,
            "listen": {"callers": callers, "peers": peers, "admin": admin},
            "store": {"address": to_store.address, "time_limit": "500ms", "calls_per_second": 200},
            "operators": {"tester": OPERATOR_TOKEN},
            "threads": {"workers": 2, "peers": 1},
        });
        let listed = json!({"id": id, "address": callers, "peer_address": from_peers.address, "region": region, "zone": zone});
        let file = folder.join(format!("{id}.jsonc"));
        std::fs::write(&file, settings.to_string()).expect("settings are written");
        Self { id, from_peers, to_store, callers, peers, admin, process: None, settings: file, listed }
    }
}

fn start_backends(count: usize, extra_args: &[&str]) -> Vec<(SampleBackend, Backend)> {
    let mut started = Vec::new();
    for service in sample::SERVICES {
        for ix in 0..count {
            let id = format!("{service}-{ix}");
            let args =
                ["standin-backend", "--name", &id, "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"];
            let mut process = Process::start(&[&args, extra_args].concat());
            let line = process.read_first_line();
            let (region, zone) = region_and_zone(ix);
            let address = parse_address(&line["listen"]);
            let sample = SampleBackend { id: id.clone(), service, region, zone, address };
            let control = line["control"].as_str().expect("an address").parse().expect("an address");
            started.push((sample, Backend { id, address, control, process }));
        }
    }
    started
}

fn parse_address(value: &Value) -> SocketAddr {
    value.as_str().expect("an address").parse().expect("an address")
}
