//! Sample deployment in the platform's format, for tests and the demo.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::store::StoreStandin;

/// Host name of all sample routes.
pub const HOST: &str = "site.example";

/// Sample configuration, whose parts can be changed before it is published.
#[derive(Clone, Debug)]
pub struct SampleConfig {
    /// Version of the configuration.
    pub version: u64,
    /// Routes in the platform's format.
    pub routes: Vec<Value>,
    /// Names of the services.
    pub services: Vec<String>,
    /// Organisations in the platform's format.
    pub organisations: Vec<Value>,
}

/// Sample entry of a backend server in the platform's store.
#[derive(Clone, Debug)]
pub struct SampleBackendEntry<'a> {
    /// Unique id of the backend server.
    pub id: &'a str,
    /// Service that it belongs to.
    pub service: &'a str,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: &'a str,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// State as the platform writes it: `ready` or `draining`.
    pub state: &'a str,
    /// Remaining time in seconds for which it counts as cold.
    pub cold_s: f64,
    /// Start of the process as Unix time in milliseconds.
    pub started_ms: u64,
    /// Number of the report among those of the process.
    pub sequence: u64,
}

impl SampleConfig {
    /// Creates a configuration with a repeatable route `/quotes/`, a non-repeatable one `/valves/`, an open
    /// one `/public/`, and an organisation `farm` with the key `key-of-farm` and a rate that tests do not
    /// reach.
    #[must_use]
    pub fn new(version: u64) -> Self {
        Self {
            version,
            routes: vec![
                route("quotes", "/quotes/", "idempotent", "quotes", false),
                route("valves", "/valves/", "non_idempotent", "valves", false),
                route("public", "/public/", "idempotent", "quotes", true),
            ],
            services: vec!["quotes".to_owned(), "valves".to_owned()],
            organisations: vec![organisation("farm", &["key-of-farm"], 1000.0, 1000.0)],
        }
    }

    /// Returns the JSON of the configuration as the store holds it.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        let service = |name: &String| {
            json!({"name": name, "health_path": "/health", "max_connections": 800, "protocol": "h1", "tls": false,
                "warmup_s": 3.0, "warmup_per_s": 6.0})
        };
        let limits = json!({"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_s": 3,
            "idle_timeout_s": 15});
        let config = json!({"version": self.version, "routes": self.routes, "limits": limits,
            "services": self.services.iter().map(service).collect::<Vec<_>>(), "tenants": self.organisations});
        config.to_string().into_bytes()
    }

    /// Writes the configuration to the store.
    pub fn publish(&self, store: &StoreStandin) {
        store.publish("op/config", Some(&self.bytes()));
    }
}

impl SampleBackendEntry<'_> {
    /// Writes the entry to the store.
    pub fn publish(&self, store: &StoreStandin) {
        let entry = json!({"address": self.address, "born": self.started_ms,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "warmup_left_s": self.cold_s}});
        store.publish(&format!("servers/{}", self.id), Some(entry.to_string().as_bytes()));
    }
}

/// Deletes the entry of a backend server.
pub fn remove_backend_entry(store: &StoreStandin, id: &str) {
    store.publish(&format!("servers/{id}"), None);
}

/// Starts or ends the evacuation of an availability zone.
pub fn set_evacuation(store: &StoreStandin, zone: &str, evacuated: bool) {
    store.publish(&format!("op/evacuate/{zone}"), evacuated.then_some(b"{}".as_slice()));
}

/// Builds a route in the platform's format.
#[must_use]
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, open: bool) -> Value {
    json!({"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_s": 2, "target_latency_s": 0.4,
        "priority": 2, "service": service, "max_attempts": 2, "auth_exempt": open, "session_affinity": true,
        "allowed_regions": []})
}

/// Builds an organisation in the platform's format.
#[must_use]
pub fn organisation(name: &str, keys: &[&str], rate: f64, burst: f64) -> Value {
    json!({"name": name, "api_keys": keys, "rate_per_s": rate, "burst": burst, "allowed_regions": []})
}

/// Builds the settings file of an instance that uses four consecutive ports from `first_port` on.
#[must_use]
pub fn settings(name: &str, region: &str, zone: &str, first_port: u16, store: SocketAddr) -> String {
    let port = |nth: u16| first_port + nth;
    format!(
        "node_name={name}\nrole=entry\nip=127.0.0.1\nzone={zone}\nregion={region}\n\
         zones.riga-a=riga\nzones.jelgava-a=jelgava\nzones.daugavpils-a=daugavpils\n\
         listen.front=127.0.0.1:{}\nlisten.ready=127.0.0.1:{}\nlisten.directory=127.0.0.1:{}\n\
         inner_ports={},{}\nplatform.address={store}\nlimits.cores=1\nsome.later.field=1\n",
        port(0),
        port(1),
        port(2),
        port(3),
        port(3),
    )
}
