//! A sample deployment as the platform's store holds it, for tests and the demo.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::store::StoreStandin;

/// The host of all sample routes.
pub const HOST: &str = "site.example";

/// A configuration to publish; its parts can be changed before.
#[derive(Clone, Debug)]
pub struct SampleConfig {
    /// Its version.
    pub version: u64,
    /// Routes as the platform writes them.
    pub routes: Vec<Value>,
    /// Services by name.
    pub services: Vec<String>,
    /// Organisations as the platform writes them.
    pub organisations: Vec<Value>,
}

/// A backend server's entry.
#[derive(Clone, Debug)]
pub struct SampleBackendEntry<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: &'a str,
    /// Requests it works on at once.
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: &'a str,
    /// Seconds for which it is still cold.
    pub cold_s: f64,
    /// Its start in Unix milliseconds.
    pub started_ms: u64,
}

impl SampleConfig {
    /// A repeatable route `/quotes/`, a non-repeatable one `/valves/`, an open one `/public/`, and an
    /// organisation `farm` with the key `key-of-farm` and a rate that is hard to reach.
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

    /// The bytes of its record.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        let service = |name: &String| {
            json!({"name": name, "health_path": "/health", "max_connections": 800, "protocol": "h1", "tls": false,
                "warmup_s": 3.0, "warmup_per_s": 6.0})
        };
        let limits = json!({"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3,
            "idle_timeout_s": 15});
        let plan = json!({"version": self.version, "routes": self.routes, "limits": limits,
            "services": self.services.iter().map(service).collect::<Vec<_>>(), "tenants": self.organisations});
        plan.to_string().into_bytes()
    }

    /// Publishes it.
    pub fn publish(&self, store: &StoreStandin) {
        store.publish("op/config", Some(&self.bytes()));
    }
}

impl SampleBackendEntry<'_> {
    /// Publishes it.
    pub fn publish(&self, store: &StoreStandin) {
        let entry = json!({"address": self.address, "born": self.started_ms,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": 1, "warmup_left_s": self.cold_s}});
        store.publish(&format!("servers/{}", self.id), Some(entry.to_string().as_bytes()));
    }
}

/// Takes a backend server's entry away.
pub fn remove_backend_entry(store: &StoreStandin, id: &str) {
    store.publish(&format!("servers/{id}"), None);
}

/// Asks for an availability zone to be emptied, or ends that.
pub fn set_evacuation(store: &StoreStandin, zone: &str, evacuated: bool) {
    store.publish(&format!("op/evacuate/{zone}"), evacuated.then_some(b"{}".as_slice()));
}

/// A route as the platform writes it.
#[must_use]
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, open: bool) -> Value {
    json!({"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_s": 2, "target_latency_s": 0.4,
        "priority": 2, "service": service, "max_attempts": 2, "auth_exempt": open, "session_affinity": true,
        "allowed_regions": []})
}

/// An organisation as the platform writes it.
#[must_use]
pub fn organisation(name: &str, keys: &[&str], rate: f64, burst: f64) -> Value {
    json!({"name": name, "api_keys": keys, "rate_per_s": rate, "burst": burst, "allowed_regions": []})
}

/// The settings file of an instance, with the ports that follow the first.
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
