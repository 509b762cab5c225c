//! A deployment in one process: a store, backend servers and instances on free loopback ports.

#![allow(dead_code, reason = "each test file uses a part")]

#[path = "../support/link.rs"]
pub mod link;
#[path = "../support/ports.rs"]
pub mod ports;
pub mod raw;
pub mod usable;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use burdock_node::site::start::{RunningInstance, start};
use burdock_standin::backend::BackendStandin;
use burdock_standin::site::{HOST, SampleBackendEntry, SampleConfig, settings};
use burdock_standin::store::StoreStandin;
use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Time after which a wait fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Slots of each backend server.
const SLOTS_PER_BACKEND: u32 = 6;

const PORTS_PER_INSTANCE: u16 = 4;

pub struct Site {
    pub store: StoreStandin,
    pub store_address: SocketAddr,
    pub backends: Vec<TestBackend>,
    pub instances: Vec<RunningInstance>,
    http: Client<HttpConnector, Full<Bytes>>,
}

pub struct TestBackend {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub standin: BackendStandin,
}

pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The store entry of a backend server, to be changed before it is published.
pub struct Entry<'a>(SampleBackendEntry<'a>);

impl<'a> Entry<'a> {
    pub fn state(mut self, state: &'a str) -> Self {
        self.0.state = state;
        self
    }

    pub fn started_ms(mut self, started_ms: u64) -> Self {
        self.0.started_ms = started_ms;
        self
    }

    pub fn sequence(mut self, sequence: u64) -> Self {
        self.0.sequence = sequence;
        self
    }

    pub fn cold_s(mut self, seconds: f64) -> Self {
        self.0.cold_s = seconds;
        self
    }

    pub fn publish(self, store: &StoreStandin) {
        self.0.publish(store);
    }
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

impl Site {
    /// Starts instances in one region and `backends` backend servers of each service, spread over the zones
    /// in turn.
    pub async fn start(instances: usize, backends: usize) -> Self {
        let mut site = Self::with_config().await;
        site.add_backends(backends).await;
        site.add_instances(instances).await;
        site
    }

    /// Starts an instance with a memory limit and `backends` backend servers of each service.
    pub async fn start_with_memory(megabytes: u64, backends: usize) -> Self {
        let mut site = Self::with_config().await;
        site.add_backends(backends).await;
        let settings = format!("limits.memory_mb={megabytes}\nlimits.max_fds=4096\n");
        site.add_instance_with("riga", site.store_address, &settings).await;
        site.wait_until(async || site.readiness_status(0).await == 200).await;
        site
    }

    pub async fn start_without_config(instances: usize) -> Self {
        let mut site = Self::empty().await;
        for _ in 0..instances {
            site.add_instance().await;
        }
        site
    }

    /// Starts a store with a configuration and neither instances nor backend servers.
    pub async fn with_config() -> Self {
        let site = Self::empty().await;
        SampleConfig::new(1).publish(&site.store);
        site
    }

    async fn empty() -> Self {
        let store = StoreStandin::default();
        let (store_address, _task) = store.serve("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let http = Client::builder(TokioExecutor::new()).build_http();
        Self { store, store_address, backends: Vec::new(), instances: Vec::new(), http }
    }

    async fn add_backends(&mut self, count: usize) {
        const ZONES: [&str; 3] = ["riga-a", "jelgava-a", "daugavpils-a"];
        for service in ["quotes", "valves"] {
            for ix in 0..count {
                let id = format!("{service}-{ix}");
                let standin = BackendStandin::new(&id, SLOTS_PER_BACKEND, true);
                let any = "127.0.0.1:0".parse().unwrap();
                let address = standin.serve(any, any).await.unwrap().service;
                let backend = TestBackend { id, service, zone: ZONES[ix % ZONES.len()], address, standin };
                self.backends.push(backend);
                self.entry(self.backends.len() - 1).publish(&self.store);
            }
        }
    }

    async fn add_instances(&mut self, count: usize) {
        for _ in 0..count {
            self.add_instance().await;
        }
        for ix in 0..count {
            self.wait_until(async || self.readiness_status(ix).await == 200).await;
            self.wait_until(async || self.instances[ix].node.fleet.view().listed.len() == count).await;
        }
    }

    async fn add_instance(&mut self) {
        self.add_instance_in("riga", self.store_address).await;
    }

    /// Starts an instance in the first zone of a region, with the store at the given address.
    pub async fn add_instance_in(&mut self, region: &str, store: SocketAddr) {
        self.add_instance_with(region, store, "").await;
    }

    /// Starts an instance on a machine of a tenth of a core and a slow link.
    pub async fn add_small_instance(&mut self, region: &str) {
        self.add_instance_with(region, self.store_address, "limits.cpu_share=0.1\nlimits.link_mbps=20\n")
            .await;
    }

    async fn add_instance_with(&mut self, region: &str, store: SocketAddr, more_settings: &str) {
        let zone = format!("{region}-a");
        let name = format!("edge-{zone}-{}", self.instances.len() + 1);
        let text = settings(&name, region, &zone, ports::find_free_ports(PORTS_PER_INSTANCE), store);
        let settings = burdock_platform::settings::parse(&format!("{text}{more_settings}")).unwrap();
        self.instances.push(start(settings).await.unwrap());
    }

    pub fn entry(&self, ix: usize) -> Entry<'_> {
        let backend = &self.backends[ix];
        Entry(SampleBackendEntry {
            id: &backend.id,
            service: backend.service,
            address: backend.address,
            zone: backend.zone,
            slots: SLOTS_PER_BACKEND,
            state: "ready",
            cold_s: 0.0,
            started_ms: 1,
            sequence: 1,
        })
    }

    /// Returns the entry of a backend server that is not one of the site's own.
    pub fn entry_of<'a>(&self, id: &'a str, service: &'a str, address: SocketAddr) -> Entry<'a> {
        Entry(SampleBackendEntry {
            id,
            service,
            address,
            zone: "riga-a",
            slots: SLOTS_PER_BACKEND,
            state: "ready",
            cold_s: 0.0,
            started_ms: 1,
            sequence: 1,
        })
    }

    pub fn register(&self, id: &str, service: &str, address: SocketAddr) {
        self.entry_of(id, service, address).publish(&self.store);
    }

    pub fn standin(&self, id: &str) -> &BackendStandin {
        &self.backends.iter().find(|b| b.id == id).unwrap().standin
    }

    /// Returns how often a request ran.
    pub fn run_count(&self, id: &str) -> usize {
        let logs = self.backends.iter().flat_map(|b| b.standin.log());
        logs.filter(|ran| ran.id == id).count()
    }

    /// Returns how often a request ran to its end.
    pub fn finished_count(&self, id: &str) -> usize {
        let logs = self.backends.iter().flat_map(|b| b.standin.log());
        logs.filter(|ran| ran.id == id && ran.end_us > 0).count()
    }

    pub fn callers_address(&self, ix: usize) -> SocketAddr {
        self.instances[ix].node.settings.listen.callers
    }

    pub fn config_versions(&self) -> Vec<u64> {
        self.instances.iter().map(|n| n.node.config.load().published.version).collect()
    }

    pub async fn readiness_status(&self, ix: usize) -> u16 {
        let address = self.instances[ix].node.settings.listen.ready;
        self.send(address, "GET", "/-/readiness", &[], "").await.map_or(0, |a| a.status)
    }

    pub async fn directory_addresses(&self, ix: usize, region: &str) -> Vec<String> {
        let address = self.instances[ix].node.settings.listen.directory;
        let path = format!("/-/resolve?name={HOST}&region={region}&zone={region}-a");
        let answer = self.send(address, "GET", &path, &[], "").await;
        let addresses = answer.map(|a| a.json()["addresses"].clone()).unwrap_or_default();
        serde_json::from_value(addresses).unwrap_or_default()
    }

    /// Requests many objects and returns the sorted ids of the backend servers that answered.
    pub async fn backends_used(&self, ix: usize, prefix: &str) -> Vec<String> {
        let mut used = Vec::new();
        for nth in 0..24 {
            let object = nth.to_string();
            let headers =
                [("x-burdockcroft-key", "key-of-farm"), ("x-burdockcroft-affinity-key", object.as_str())];
            let answer = self.get(ix, &format!("{prefix}1"), &headers).await.unwrap();
            if let Some(backend) = answer.json()["backend"].as_str() {
                used.push(backend.to_owned());
            }
        }
        used.sort();
        used.dedup();
        used
    }

    pub async fn get(&self, ix: usize, path: &str, headers: &[(&str, &str)]) -> Option<Answer> {
        self.send(self.callers_address(ix), "GET", path, headers, "").await
    }

    pub async fn post(&self, ix: usize, path: &str, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
        self.send(self.callers_address(ix), "POST", path, headers, body).await
    }

    /// Sends a request; returns `None` when no complete answer arrives in time.
    pub async fn send(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Answer> {
        let mut req =
            Request::builder().method(method).uri(format!("http://{to}{path}")).header("host", HOST);
        let has_id = headers.iter().any(|(name, _)| *name == "x-burdockcroft-attempt-id");
        if !has_id {
            req = req.header("x-burdockcroft-attempt-id", format!("{:x}", rand::random::<u64>()));
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        let exchange = async {
            let resp = self.http.request(req).await.ok()?;
            let (parts, body) = resp.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
        };
        tokio::time::timeout(WAIT_TIMEOUT, exchange).await.ok().flatten()
    }

    /// Waits until a condition holds.
    pub async fn wait_until(&self, mut done: impl AsyncFnMut() -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !done().await {
            assert!(Instant::now() < end, "the condition did not hold in time");
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }
}
