//! Store, backend servers and instances of one run.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use burdock_standin::backend::{BackendStandin, Fault as BackendFault, LoggedRequest};
use burdock_standin::site::{
    HOST, SampleBackendEntry, SampleConfig, organisation, remove_backend_entry, route, set_evacuation,
    settings,
};
use burdock_standin::store::{Fault as StoreFault, StoreCopy, StoreStandin};
use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nix::sys::signal::Signal;
use parking_lot::Mutex;

use crate::link::Link;
use crate::ports::find_free_ports;
use crate::process::Process;
use crate::scenario::PLANNED_STOP;

/// Key of the organisation that stays within its rate.
pub const VALID_KEY: &str = "key-of-farm";

/// Second key of the same organisation, valid until it is withdrawn.
pub const OLD_KEY: &str = "old-key-of-farm";

/// Key of the organisation that exceeds its rate.
pub const BUSY_KEY: &str = "key-of-mill";

/// Name, rate and burst of the organisation that exceeds its rate.
pub const BUSY_ORGANISATION: (&str, f64, f64) = ("mill", 10.0, 10.0);

const SLOTS_PER_BACKEND: u32 = 6;
pub const BACKENDS_PER_SERVICE: usize = 4;
const PORTS_PER_INSTANCE: u16 = 4;
const REGIONS: [&str; 3] = ["riga", "jelgava", "daugavpils"];

/// Timeout of a request that the soak test itself sends.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);

pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

pub struct Deployment {
    pub store: StoreStandin,
    pub backends: Vec<Backend>,
    pub instances: Vec<Instance>,
    client: HttpClient,
    config: Mutex<PublishedConfig>,
    evacuated: Mutex<BTreeSet<String>>,
    directory: PathBuf,
}

pub struct Backend {
    pub id: String,
    pub service: &'static str,
    pub zone: String,
    pub standin: BackendStandin,
    pub link: Link,
    incarnation: AtomicU64,
    // Number of reports of this incarnation.
    reports: AtomicU64,
    // `down`, or the state in its published entry.
    state: Mutex<&'static str>,
}

pub struct Instance {
    pub name: String,
    pub caller_address: SocketAddr,
    pub directory_address: SocketAddr,
    pub store_link: Link,
    readiness_address: SocketAddr,
    settings_path: PathBuf,
    log_path: PathBuf,
    process: Mutex<Option<Process>>,
    // Number of starts of the process.
    incarnation: AtomicU64,
}

struct PublishedConfig {
    version: u64,
    old_key_accepted: bool,
}

/// A response with its complete body.
pub struct Response {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Deployment {
    pub async fn start(seed: u64, instances: usize) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        // Logs of an earlier run of the same seed would mix with those of this run.
        let _absent = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("the log directory is created");
        let store = StoreStandin::default();
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let (store_address, _task) = store.serve(any_port).await.expect("the store serves");
        let mut backends = Vec::new();
        for service in ["quotes", "valves"] {
            for ix in 0..BACKENDS_PER_SERVICE {
                backends.push(Backend::start(service, ix).await);
            }
        }
        let mut prepared_instances = Vec::new();
        for ix in 0..instances {
            prepared_instances.push(Instance::prepare(ix, store_address, &directory).await);
        }
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
        let config = Mutex::new(PublishedConfig { version: 0, old_key_accepted: true });
        let evacuated = Mutex::default();
        let deployment =
            Self { store, backends, instances: prepared_instances, client, config, evacuated, directory };
        deployment.publish(|_| {});
        deployment.backends.iter().for_each(|b| b.publish(&deployment.store));
        deployment.instances.iter().for_each(Instance::start);
        while !deployment.unsettled_instances().await.is_empty() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        deployment
    }

    /// Publishes a new configuration version with one more route; `change` sets whether the old key is
    /// accepted.
    pub fn publish(&self, change: impl FnOnce(&mut bool)) {
        let mut published = self.config.lock();
        change(&mut published.old_key_accepted);
        published.version += 1;
        self.write_config(&published);
    }

    fn write_config(&self, published: &PublishedConfig) {
        let mut config = SampleConfig::new(published.version);
        for version in 1..=published.version {
            let name = format!("n{version}");
            config.routes.push(route(&name, &format!("/{name}/"), "idempotent", "quotes", false));
        }
        let keys: &[&str] = if published.old_key_accepted { &[VALID_KEY, OLD_KEY] } else { &[VALID_KEY] };
        let (name, rate, burst) = BUSY_ORGANISATION;
        config.organisations =
            vec![organisation("farm", keys, 5000.0, 5000.0), organisation(name, &[BUSY_KEY], rate, burst)];
        config.publish(&self.store);
    }

    /// Begins or ends the evacuation of a zone.
    pub fn set_evacuated(&self, zone: &str, evacuated: bool) {
        let mut zones = self.evacuated.lock();
        if evacuated {
            zones.insert(zone.to_owned());
        } else {
            zones.remove(zone);
        }
        set_evacuation(&self.store, zone, evacuated);
    }

    /// Lets the store come back from a copy. The operator and the backend servers write again what they wrote since.
    pub async fn restore_store(&self, copy: &StoreCopy) {
        const REWRITE_DELAY: Duration = Duration::from_millis(200);
        self.store.restore(copy);
        tokio::time::sleep(REWRITE_DELAY).await;
        self.write_config(&self.config.lock());
        for zone in REGIONS.map(|region| format!("{region}-a")) {
            let zones = self.evacuated.lock();
            set_evacuation(&self.store, &zone, zones.contains(&zone));
        }
        let running = self.backends.iter().filter(|backend| backend.is_running());
        running.for_each(|backend| backend.publish(&self.store));
    }

    /// Returns the newest version and whether the old key is still accepted.
    pub fn published_config(&self) -> (u64, bool) {
        let published = self.config.lock();
        (published.version, published.old_key_accepted)
    }

    /// Ends all faults and restarts backend servers and instances that are down.
    pub async fn end_faults(&self) {
        self.store.inject(StoreFault {
            down_ms: Some(0),
            slow_ms: Some(0),
            lose_answers: Some(0),
            garbage: Some(false),
            ..StoreFault::default()
        });
        for region in REGIONS {
            self.set_evacuated(&format!("{region}-a"), false);
        }
        for backend in &self.backends {
            backend.standin.inject(BackendFault {
                shed: Some(false),
                stall: Some(false),
                ..BackendFault::default()
            });
            backend.link.restore();
            if *backend.state.lock() != "ready" {
                backend.restart(&self.store);
            }
        }
        for instance in &self.instances {
            instance.store_link.restore();
            instance.signal(Signal::SIGCONT);
            instance.start_if_not_running();
        }
    }

    /// Describes the instances that are not ready or do not serve the newest configuration.
    pub async fn unsettled_instances(&self) -> Vec<String> {
        let (version, old_key_accepted) = self.published_config();
        let newest_path = format!("/n{version}/1");
        let mut unsettled = Vec::new();
        for instance in &self.instances {
            let readiness =
                self.send_probe(instance.readiness_address, "/-/readiness", "").await.map(|r| r.status);
            let newest_status =
                self.send_probe(instance.caller_address, &newest_path, VALID_KEY).await.map(|r| r.status);
            let old_key_status =
                self.send_probe(instance.caller_address, "/quotes/1", OLD_KEY).await.map(|r| r.status);
            let is_old_key_correct =
                if old_key_accepted { old_key_status == Some(200) } else { old_key_status == Some(401) };
            if readiness != Some(200) || newest_status != Some(200) || !is_old_key_correct {
                unsettled.push(format!(
                    "{}: ready {readiness:?}, newest route {newest_status:?}, old key {old_key_status:?}",
                    instance.name
                ));
            }
        }
        unsettled
    }

    /// Publishes that a backend server is draining.
    pub fn drain_backend(&self, ix: usize) {
        *self.backends[ix].state.lock() = "draining";
        self.backends[ix].publish(&self.store);
    }

    /// Lets a backend server leave: its entry is removed, its status checks fail, and it serves what reaches it. Returns
    /// a report that it sent before.
    pub fn remove_backend(&self, ix: usize) -> SampleBackendEntry<'_> {
        let backend = &self.backends[ix];
        let report = backend.next_report();
        backend.standin.inject(BackendFault { unhealthy: Some(true), ..BackendFault::default() });
        remove_backend_entry(&self.store, &backend.id);
        report
    }

    /// Stops an instance by the signal of a planned stop and returns its exit code.
    pub async fn stop_gracefully(&self, ix: usize) -> Option<i32> {
        let mut process = self.instances[ix].process.lock().take()?;
        process.signal(PLANNED_STOP);
        tokio::task::spawn_blocking(move || process.wait_for_exit()).await.ok().flatten()
    }

    /// Returns every request that ran on any backend server.
    pub fn executed_requests(&self) -> Vec<LoggedRequest> {
        self.backends.iter().flat_map(|b| b.standin.log()).collect()
    }

    pub fn log_directory(&self) -> PathBuf {
        self.directory.clone()
    }

    async fn send_probe(&self, to: SocketAddr, path: &str, key: &str) -> Option<Response> {
        let id = format!("probe-{:x}", rand::random::<u64>());
        send_request(&self.client, to, "GET", path, key, &id, PROBE_TIMEOUT).await
    }
}

impl Backend {
    async fn start(service: &'static str, ix: usize) -> Self {
        let id = format!("{service}-{ix}");
        let standin = BackendStandin::new(&id, SLOTS_PER_BACKEND, true);
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let address = standin.serve(any_port, any_port).await.expect("a backend server serves").service;
        let zone = format!("{}-a", REGIONS[ix % REGIONS.len()]);
        let (incarnation, state) = (AtomicU64::new(1), Mutex::new("ready"));
        let (link, reports) = (Link::start(address).await, AtomicU64::new(0));
        Self { id, service, zone, standin, link, incarnation, reports, state }
    }

    pub fn publish(&self, store: &StoreStandin) {
        self.next_report().publish(store);
    }

    /// Returns whether the process runs.
    pub fn is_running(&self) -> bool {
        *self.state.lock() != "down"
    }

    /// Makes the next report without sending it.
    pub fn next_report(&self) -> SampleBackendEntry<'_> {
        SampleBackendEntry {
            id: &self.id,
            service: self.service,
            address: self.link.address,
            zone: &self.zone,
            slots: SLOTS_PER_BACKEND,
            state: *self.state.lock(),
            cold_s: 0.0,
            started_ms: self.incarnation.load(Ordering::Relaxed),
            sequence: self.reports.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Stops without publishing a state.
    pub fn crash(&self) {
        *self.state.lock() = "down";
        self.standin.stop();
    }

    /// Starts again after a crash, as a new incarnation under the same id.
    pub fn restart(&self, store: &StoreStandin) {
        self.standin.start();
        self.incarnation.fetch_add(1, Ordering::Relaxed);
        *self.state.lock() = "ready";
        self.publish(store);
    }
}

impl Instance {
    async fn prepare(ix: usize, store: SocketAddr, directory: &std::path::Path) -> Self {
        let region = REGIONS[ix % REGIONS.len()];
        let zone = format!("{region}-a");
        let name = format!("edge-{zone}-{ix}");
        let first_port = find_free_ports(PORTS_PER_INSTANCE);
        let port_address = |nth: u16| SocketAddr::from(([127, 0, 0, 1], first_port + nth));
        let store_link = Link::start(store).await;
        let settings_file = directory.join(format!("{name}.conf"));
        let text = settings(&name, region, &zone, first_port, store_link.address);
        std::fs::write(&settings_file, text).expect("settings are written");
        Self {
            caller_address: port_address(0),
            readiness_address: port_address(1),
            directory_address: port_address(2),
            store_link,
            settings_path: settings_file,
            log_path: directory.join(format!("{name}.log")),
            process: Mutex::default(),
            incarnation: AtomicU64::new(0),
            name,
        }
    }

    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log_path).expect("a log file");
        let settings = self.settings_path.to_str().expect("utf-8");
        let process = Process::start_with_stdout(&["site", "--settings", settings], log.into());
        self.incarnation.fetch_add(1, Ordering::Relaxed);
        *self.process.lock() = Some(process);
    }

    pub fn kill(&self) {
        *self.process.lock() = None;
    }

    /// Sends a signal if the process was started.
    pub fn signal(&self, signal: Signal) {
        if let Some(process) = self.process.lock().as_ref() {
            process.signal(signal);
        }
    }

    /// Starts the process unless it is running.
    pub fn start_if_not_running(&self) {
        let is_running = self.process.lock().as_mut().is_some_and(|process| !process.has_exited());
        if !is_running {
            self.start();
        }
    }

    /// Number of the current incarnation of the process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }
}

/// Sends a request with a key and an id. Returns `None` if no complete response arrived in time.
pub async fn send_request(
    client: &HttpClient,
    to: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    id: &str,
    timeout: Duration,
) -> Option<Response> {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"))
        .header("host", HOST)
        .header("x-burdockcroft-attempt-id", id)
        .header("x-burdockcroft-key", key)
        .header("x-burdockcroft-affinity-key", path.len().to_string())
        .header("x-burdockcroft-deadline-ms", timeout.as_millis().to_string())
        .body(Full::default())
        .expect("a request");
    let exchange = async {
        let resp = client.request(req).await.ok()?;
        let (parts, body) = resp.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response { status: parts.status.as_u16(), headers: parts.headers, body })
    };
    tokio::time::timeout(timeout, exchange).await.ok().flatten()
}
