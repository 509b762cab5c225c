//! The `demo` command: a whole system in one process.

use std::net::SocketAddr;
use std::time::Duration;

use burdock_decide::membership::MemberState;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::{ChangeId, InstanceId, RegionName, Revision, ZoneName};
use burdock_model::manifest::Change;
use burdock_model::units::Millis;
use burdock_platform::config::{StoredHead, commit_tree};
use burdock_platform::http::HttpStoreBuilder;
use burdock_platform::store::{ListedInstance, Store};
use burdock_standin::backend::BackendStandin;
use burdock_standin::sample::{self, SERVICES, SampleBackend, SampleKey, region_and_zone};
use burdock_standin::store::StoreStandin;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::node::Phase;
use crate::settings::{InstanceSettings, Listen, LogSettings, StoreSettings, Threads, TraceSettings};
use crate::start::{Listeners, RunningNode, start};

/// Slots of each backend server.
const SLOTS_PER_BACKEND: u32 = 6;

/// Time within which all instances must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// Consecutive ports of each instance when a first port is given.
const PORTS_PER_INSTANCE: u16 = 3;

/// Size, ports and seed of a demo.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    instances: usize,
    backends: usize,
    seed: u64,
    port: u16,
}

/// A running demo.
#[derive(Debug)]
pub struct Demo {
    /// Running instances.
    pub nodes: Vec<RunningNode>,
    /// Stand-in for the platform's store.
    pub store: StoreStandin,
    /// Address that the store listens on.
    pub store_address: SocketAddr,
    /// API keys, one for each organisation.
    pub keys: Vec<SampleKey>,
    /// Token of the operator `demo`.
    pub token: String,
    /// Backend servers of all services.
    pub backends: Vec<DemoBackend>,
}

/// A backend server of a demo.
#[derive(Debug)]
pub struct DemoBackend {
    /// Entry of the backend server in the tree.
    pub sample: SampleBackend,
    /// Address for control, which accepts injected faults.
    pub control: SocketAddr,
    /// Stand-in that serves the requests.
    pub standin: BackendStandin,
}

impl Default for DemoSettings {
    fn default() -> Self {
        Self { instances: 6, backends: 6, seed: 1, port: 0 }
    }
}

impl DemoSettings {
    /// Sets the number of entry instances.
    #[must_use]
    pub const fn instances(mut self, count: usize) -> Self {
        self.instances = count;
        self
    }

    /// Sets the number of backend servers for each service.
    #[must_use]
    pub const fn backends(mut self, count: usize) -> Self {
        self.backends = count;
        self
    }

    /// Sets the seed of keys and tokens.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the first port; 0 stands for any free ports.
    #[must_use]
    pub const fn port(mut self, port: u16) -> Self {
        self.port = port;
        self
    }

    /// Starts the demo and waits until it is ready.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when a part can't be started or the instances do not become ready in time.
    pub async fn start(&self) -> Result<Demo> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let store = StoreStandin::default();
        let (store_address, _task) = store.serve(loopback(0)).await.map_err(|e| failed(&e.to_string()))?;
        let backends = self.start_backends().await?;
        let listed: Vec<SampleBackend> = backends.iter().map(|b| b.sample.clone()).collect();
        let (tree, keys) = sample::tree(&listed, || rng.random());
        write_tree(store_address, &tree).await?;
        let token = hex::encode(rng.random::<[u8; 16]>());
        let mut prepared = Vec::new();
        for ix in 0..self.instances {
            let settings = self.settings(ix, store_address, &token)?;
            let listeners = Listeners::bind(&settings.listen).await?;
            prepared.push((settings, listeners));
        }
        let list =
            prepared.iter().map(|(s, l)| Ok(listed_instance(s, &l.addresses()?))).collect::<Result<_>>()?;
        store.set_instances(list);
        let nodes = prepared.into_iter().map(|(s, l)| start(s, l)).collect::<Result<Vec<_>>>()?;
        wait_ready(&nodes).await?;
        Ok(Demo { nodes, store, store_address, keys, token, backends })
    }

    async fn start_backends(&self) -> Result<Vec<DemoBackend>> {
        let mut started = Vec::new();
        for service in SERVICES {
            for ix in 0..self.backends {
                let id = format!("{service}-{ix}");
                let standin = BackendStandin::new(&id, SLOTS_PER_BACKEND, true);
                let addresses =
                    standin.serve(loopback(0), loopback(0)).await.map_err(|e| failed(&e.to_string()))?;
                let (region, zone) = region_and_zone(ix);
                let sample = SampleBackend { id, service, region, zone, address: addresses.service };
                started.push(DemoBackend { sample, control: addresses.control, standin });
            }
        }
        Ok(started)
    }

    fn settings(&self, ix: usize, store: SocketAddr, token: &str) -> Result<InstanceSettings> {
        let (region, zone) = region_and_zone(ix);
        let offset = u16::try_from(ix).unwrap_or(0) * PORTS_PER_INSTANCE;
        let port = |nth: u16| {
            if self.port == 0 { 0 } else { self.port + offset + nth }
        };
        Ok(InstanceSettings {
            instance: InstanceId::new(&format!("{region}-{}", ix / sample::REGIONS.len() + 1))?,
            region: RegionName::new(region)?,
            zone: ZoneName::new(zone)?,
            listen: Listen { callers: loopback(port(0)), peers: loopback(port(1)), admin: loopback(port(2)) },
            store: StoreSettings { address: store, time_limit: Millis(1000), calls_per_second: 100 },
            operators: [("demo".to_owned(), token.to_owned())].into(),
            threads: Threads::default(),
            metrics: None,
            log: LogSettings::default(),
            traces: TraceSettings::default(),
        })
    }
}

impl Demo {
    /// Returns addresses, keys and tokens as JSON.
    #[must_use]
    pub fn describe(&self) -> Value {
        let entry = |n: &RunningNode| {
            let s = &n.node.settings;
            json!({
                "address": s.listen.callers, "admin": s.listen.admin, "region": s.region, "zone": s.zone,
            })
        };
        let backend = |b: &DemoBackend| {
            let s = &b.sample;
            json!({
                "address": s.address, "control": b.control, "region": s.region, "zone": s.zone, "service": s.service,
            })
        };
        let key = |k: &SampleKey| json!({"organisation": k.organisation, "key": k.key});
        json!({
            "entries": self.nodes.iter().map(entry).collect::<Vec<_>>(),
            "operator_token": self.token,
            "store": self.store_address,
            "backends": self.backends.iter().map(backend).collect::<Vec<_>>(),
            "keys": self.keys.iter().map(key).collect::<Vec<_>>(),
            "host": "demo.example",
        })
    }

    /// Returns addresses and example commands as text.
    #[must_use]
    pub fn explain(&self) -> String {
        let Some(first) = self.nodes.first() else {
            return "no instances".to_owned();
        };
        let listen = &first.node.settings.listen;
        let key = self.keys.first().map_or("", |k| k.key.as_str());
        let mut text = String::from("burdockcroft demo\n\n");
        for running in &self.nodes {
            let s = &running.node.settings;
            let line = format!(
                "  {:<14} {:<14} callers {} admin {}\n",
                s.instance, s.zone, s.listen.callers, s.listen.admin
            );
            text.push_str(&line);
        }
        text.push_str(&format!("\nkey for {}: {key}\n", self.keys.first().map_or("", |k| k.organisation)));
        text.push_str(&format!("operator token: {}\n\nTry:\n", self.token));
        let callers = listen.callers;
        let admin = listen.admin;
        let token = &self.token;
        for line in [
            format!("curl -H 'X-Api-Key: {key}' 'http://{callers}/.burdock/v1/steer?service=quotes'"),
            format!("curl -H 'X-Api-Key: {key}' http://{callers}/quotes/1"),
            format!("curl -H 'X-Api-Key: {key}' -H 'Idempotency-Key: a1' -d open http://{callers}/valves/7"),
            format!("export BURDOCK_ADMIN=http://{admin} BURDOCK_TOKEN={token}"),
            "cargo run --release --bin burdockctl -- status".to_owned(),
            "cargo run --release --bin burdockctl -- set organisations/farm-dobele/settings/rate '\"5/s\"'"
                .to_owned(),
        ] {
            text.push_str(&format!("  {line}\n"));
        }
        text
    }

    /// Stops all instances concurrently.
    pub async fn stop(self) {
        futures::future::join_all(self.nodes.into_iter().map(RunningNode::stop)).await;
    }
}

/// Returns the entry of an instance in the platform's list of instances.
#[must_use]
pub fn listed_instance(settings: &InstanceSettings, listen: &Listen) -> ListedInstance {
    ListedInstance {
        id: settings.instance.to_string(),
        address: listen.callers,
        peer_address: listen.peers,
        region: settings.region.to_string(),
        zone: settings.zone.to_string(),
        leaving: false,
    }
}

/// Writes the initial tree to an empty store.
///
/// # Errors
/// Those of [`commit_tree`], and [`ErrorKind::InvalidTree`] when the tree is invalid.
pub async fn write_tree(store: SocketAddr, tree: &Value) -> Result<StoredHead> {
    let (store, _calls): (Store, _) = HttpStoreBuilder::new(store).build();
    burdock_model::tree::Tree::from_value(tree)?;
    let change = Change {
        id: ChangeId::new("first")?,
        revision: Revision(0),
        by: "first-tree".to_owned(),
        path: String::new(),
    };
    commit_tree(&store, &StoredHead::default(), tree, change).await
}

// Waits until every instance has the configuration and sees all others, and no quota share is being moved.
async fn wait_ready(nodes: &[RunningNode]) -> Result<()> {
    const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
    let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
    while !nodes.iter().all(|n| is_ready(n, nodes.len())) {
        if tokio::time::Instant::now() >= deadline {
            return Err(failed("the instances did not become ready in time"));
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    Ok(())
}

fn is_ready(running: &RunningNode, instances: usize) -> bool {
    let node = &running.node;
    let view = node.fleet.view();
    let alive = view.entries.iter().filter(|e| e.member_state == MemberState::Alive).count();
    let active_config = node.active_config.load();
    let mut records =
        active_config.snapshot.organisations.iter().map(|o| node.limits.records.record(&o.name));
    let shares_settled = records.all(|r| r.is_some_and(|r| r.is_settled() && !r.current.is_empty()));
    node.phase() == Phase::Ready && alive == instances && shares_settled
}

const fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), port)
}

fn failed(detail: &str) -> Error {
    Error::new(ErrorKind::Internal, detail)
}
