//! The store, backend servers and instances of one run.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use burdock_standin::backend::{BackendStandin, Fault as BackendFault, Ran};
use burdock_standin::site::{HOST, SampleEntry, SamplePlan, evacuate, organisation, route, settings};
use burdock_standin::store::{Fault as StoreFault, StoreStandin};
use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nix::sys::signal::Signal;
use parking_lot::Mutex;

use crate::link::Link;
use crate::play::PLANNED_STOP;
use crate::ports::find_free_ports;
use crate::process::Process;

/// The key of the organisation whose requests are all within its rate.
pub const KEY: &str = "key-of-farm";

/// A key of the same organisation, until it is withdrawn.
pub const OLD_KEY: &str = "old-key-of-farm";

/// The key of an organisation that asks for more than its rate.
pub const BUSY_KEY: &str = "key-of-mill";

/// The organisation that asks for more than its rate, and its rate and burst.
pub const BUSY: (&str, f64, f64) = ("mill", 10.0, 10.0);

const SLOTS: u32 = 6;
const BACKENDS: usize = 4;
const PORTS_PER_INSTANCE: u16 = 4;
const REGIONS: [&str; 3] = ["riga", "jelgava", "daugavpils"];

/// The longest that any call of the soak itself may take.
const CALL_LIMIT: Duration = Duration::from_secs(3);

pub type Http = Client<HttpConnector, Full<Bytes>>;

pub struct World {
    pub store: StoreStandin,
    pub backends: Vec<Backend>,
    pub instances: Vec<Instance>,
    http: Http,
    plan: Mutex<Published>,
    folder: PathBuf,
}

pub struct Backend {
    pub id: String,
    pub service: &'static str,
    pub zone: String,
    pub standin: BackendStandin,
    pub link: Link,
    born: AtomicU64,
    // `down`, or what its entry says.
    state: Mutex<&'static str>,
}

pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub to_store: Link,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Process>>,
    // Counts the lives of its process.
    life: AtomicU64,
}

struct Published {
    version: u64,
    old_key: bool,
}

/// An answer read in whole.
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl World {
    pub async fn start(seed: u64, instances: usize) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        // Logs of an earlier run of the seed would be taken for this one's.
        let _absent = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder for logs");
        let store = StoreStandin::default();
        let any = "127.0.0.1:0".parse().expect("an address");
        let (store_address, _task) = store.serve(any).await.expect("the store serves");
        let mut backends = Vec::new();
        for service in ["quotes", "valves"] {
            for ix in 0..BACKENDS {
                backends.push(Backend::start(service, ix).await);
            }
        }
        let mut prepared = Vec::new();
        for ix in 0..instances {
            prepared.push(Instance::prepare(ix, store_address, &folder).await);
        }
        let http = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
        let plan = Mutex::new(Published { version: 0, old_key: true });
        let world = Self { store, backends, instances: prepared, http, plan, folder };
        world.publish(|_| {});
        world.backends.iter().for_each(|b| b.publish(&world.store));
        world.instances.iter().for_each(Instance::start);
        while !world.unsettled().await.is_empty() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        world
    }

    /// Publishes a new version with one route more.
    pub fn publish(&self, change: impl FnOnce(&mut bool)) {
        let mut held = self.plan.lock();
        change(&mut held.old_key);
        held.version += 1;
        let mut plan = SamplePlan::new(held.version);
        for version in 1..=held.version {
            let name = format!("n{version}");
            plan.routes.push(route(&name, &format!("/{name}/"), "idempotent", "quotes", false));
        }
        let keys: &[&str] = if held.old_key { &[KEY, OLD_KEY] } else { &[KEY] };
        let (name, rate, burst) = BUSY;
        plan.organisations =
            vec![organisation("farm", keys, 5000.0, 5000.0), organisation(name, &[BUSY_KEY], rate, burst)];
        plan.publish(&self.store);
    }

    /// The newest version, and whether the old key still holds.
    pub fn published(&self) -> (u64, bool) {
        let held = self.plan.lock();
        (held.version, held.old_key)
    }

    /// Ends all faults and starts what does not run.
    pub async fn calm(&self) {
        self.store.inject(StoreFault {
            down_ms: Some(0),
            slow_ms: Some(0),
            lose_answers: Some(0),
            garbage: Some(false),
            ..StoreFault::default()
        });
        for zone in REGIONS {
            evacuate(&self.store, &format!("{zone}-a"), false);
        }
        for backend in &self.backends {
            backend.standin.inject(BackendFault {
                shed: Some(false),
                stall: Some(false),
                ..BackendFault::default()
            });
            backend.link.restore();
            if *backend.state.lock() != "ready" {
                backend.come_back(&self.store);
            }
        }
        for instance in &self.instances {
            instance.to_store.restore();
            instance.signal(Signal::SIGCONT);
            instance.start_if_ended();
        }
    }

    /// What keeps the instances from counting as settled.
    pub async fn unsettled(&self) -> Vec<String> {
        let (version, old_key) = self.published();
        let newest = format!("/n{version}/1");
        let mut missing = Vec::new();
        for instance in &self.instances {
            let ready = self.send(instance.ready, "/-/readiness", "").await.map(|a| a.status);
            let served = self.send(instance.callers, &newest, KEY).await.map(|a| a.status);
            let old = self.send(instance.callers, "/quotes/1", OLD_KEY).await.map(|a| a.status);
            let old_right = if old_key { old == Some(200) } else { old == Some(401) };
            if ready != Some(200) || served != Some(200) || !old_right {
                missing.push(format!(
                    "{}: ready {ready:?}, newest route {served:?}, old key {old:?}",
                    instance.name
                ));
            }
        }
        missing
    }

    /// Has a backend server announce that it leaves.
    pub fn drain_backend(&self, ix: usize) {
        *self.backends[ix].state.lock() = "draining";
        self.backends[ix].publish(&self.store);
    }

    /// Stops an instance as planned work does, and returns its exit code.
    pub async fn stop_gracefully(&self, ix: usize) -> Option<i32> {
        let mut process = self.instances[ix].process.lock().take()?;
        process.signal(PLANNED_STOP);
        tokio::task::spawn_blocking(move || process.wait_for_exit()).await.ok().flatten()
    }

    /// Everything that ran on any backend server.
    pub fn ran(&self) -> Vec<Ran> {
        self.backends.iter().flat_map(|b| b.standin.log()).collect()
    }

    pub fn logs(&self) -> PathBuf {
        self.folder.clone()
    }

    async fn send(&self, to: SocketAddr, path: &str, key: &str) -> Option<Answer> {
        let id = format!("probe-{:x}", rand::random::<u64>());
        ask(&self.http, to, "GET", path, key, &id, CALL_LIMIT).await
    }
}

impl Backend {
    async fn start(service: &'static str, ix: usize) -> Self {
        let id = format!("{service}-{ix}");
        let standin = BackendStandin::new(&id, SLOTS, true);
        let any = "127.0.0.1:0".parse().expect("an address");
        let address = standin.serve(any, any).await.expect("a backend server serves").service;
        let zone = format!("{}-a", REGIONS[ix % REGIONS.len()]);
        let (born, state) = (AtomicU64::new(1), Mutex::new("ready"));
        Self { id, service, zone, standin, link: Link::start(address).await, born, state }
    }

    pub fn publish(&self, store: &StoreStandin) {
        let entry = SampleEntry {
            id: &self.id,
            service: self.service,
            address: self.link.address,
            zone: &self.zone,
            slots: SLOTS,
            state: *self.state.lock(),
            cold_s: 0.0,
            born: self.born.load(Ordering::Relaxed),
        };
        entry.publish(store);
    }

    /// Ends without a word.
    pub fn crash(&self) {
        *self.state.lock() = "down";
        self.standin.stop();
    }

    /// Starts again after a crash, as a new life under the same id.
    pub fn come_back(&self, store: &StoreStandin) {
        self.standin.start();
        self.born.fetch_add(1, Ordering::Relaxed);
        *self.state.lock() = "ready";
        self.publish(store);
    }
}

impl Instance {
    async fn prepare(ix: usize, store: SocketAddr, folder: &std::path::Path) -> Self {
        let region = REGIONS[ix % REGIONS.len()];
        let zone = format!("{region}-a");
        let name = format!("edge-{zone}-{ix}");
        let first = find_free_ports(PORTS_PER_INSTANCE);
        let at = |nth: u16| SocketAddr::from(([127, 0, 0, 1], first + nth));
        let to_store = Link::start(store).await;
        let file = folder.join(format!("{name}.conf"));
        let text = settings(&name, region, &zone, first, to_store.address);
        std::fs::write(&file, text).expect("settings are written");
        Self {
            callers: at(0),
            ready: at(1),
            directory: at(2),
            to_store,
            settings: file,
            log: folder.join(format!("{name}.log")),
            process: Mutex::default(),
            life: AtomicU64::new(0),
            name,
        }
    }

    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let settings = self.settings.to_str().expect("utf-8");
        let process = Process::start_with_stdout(&["site", "--settings", settings], log.into());
        self.life.fetch_add(1, Ordering::Relaxed);
        *self.process.lock() = Some(process);
    }

    pub fn kill(&self) {
        *self.process.lock() = None;
    }

    /// Sends a signal if the process runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(process) = self.process.lock().as_ref() {
            process.signal(signal);
        }
    }

    /// Starts it again unless it runs.
    pub fn start_if_ended(&self) {
        let runs = self.process.lock().as_mut().is_some_and(|process| !process.has_exited());
        if !runs {
            self.start();
        }
    }

    /// The number of its process's present life.
    pub fn life(&self) -> u64 {
        self.life.load(Ordering::Relaxed)
    }
}

/// Sends a request with a key and an id; `None` when no whole answer came.
pub async fn ask(
    http: &Http,
    to: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    id: &str,
    limit: Duration,
) -> Option<Answer> {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"))
        .header("host", HOST)
        .header("x-burdockcroft-attempt-id", id)
        .header("x-burdockcroft-key", key)
        .header("x-burdockcroft-affinity-key", path.len().to_string())
        .header("x-burdockcroft-deadline-ms", limit.as_millis().to_string())
        .body(Full::default())
        .expect("a request");
    let exchange = async {
        let resp = http.request(req).await.ok()?;
        let (parts, body) = resp.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
    };
    tokio::time::timeout(limit, exchange).await.ok().flatten()
}
