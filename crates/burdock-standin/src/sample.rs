//! Sample configuration tree with two services and eight organisations, two of which have a large rate.

use std::net::SocketAddr;

use burdock_model::ids::KeyId;
use burdock_model::key::{SECRET_BYTES, format_key, hash_secret};
use serde_json::{Value, json};

/// Regions of the sample with their availability zones.
pub const REGIONS: [(&str, [&str; 2]); 3] = [
    ("riga", ["riga-a", "riga-b"]),
    ("jelgava", ["jelgava-a", "jelgava-b"]),
    ("daugavpils", ["daugavpils-a", "daugavpils-b"]),
];

/// Services of the sample.
pub const SERVICES: [&str; 2] = ["quotes", "valves"];

/// Organisations of the sample with their rates in requests per second.
pub const ORGANISATIONS: [(&str, u32); 8] = [
    ("zemgale-probes", 2000),
    ("sabarmati-desk", 2000),
    ("orchard-iecava", 100),
    ("peat-olaine", 100),
    ("farm-dobele", 100),
    ("housing-navrangpura", 100),
    ("housing-maninagar", 100),
    ("wiremen-rajkot", 100),
];

/// Backend server of the sample.
#[derive(Clone, Debug)]
pub struct SampleBackend {
    /// Unique id of the backend server.
    pub id: String,
    /// Service that it belongs to.
    pub service: &'static str,
    /// Region in which it runs.
    pub region: &'static str,
    /// Availability zone in which it runs.
    pub zone: &'static str,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// API key of the sample.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SampleKey {
    /// Organisation that it belongs to.
    pub organisation: &'static str,
    /// Text of the key, as a caller sends it.
    pub key: String,
}

/// Returns the region and availability zone of the n-th machine, spreading machines evenly.
#[must_use]
pub fn region_and_zone(n: usize) -> (&'static str, &'static str) {
    let (region, zones) = REGIONS[n % REGIONS.len()];
    (region, zones[n / REGIONS.len() % zones.len()])
}

/// Builds the sample tree and one key for each organisation, with secrets from `random`.
pub fn tree(
    backends: &[SampleBackend],
    mut random: impl FnMut() -> [u8; SECRET_BYTES],
) -> (Value, Vec<SampleKey>) {
    let mut keys = Vec::new();
    let mut organisations = serde_json::Map::new();
    for (name, rate) in ORGANISATIONS {
        let secret = random();
        if let Ok(id) = KeyId::new(&format!("{name}-1")) {
            keys.push(SampleKey { organisation: name, key: format_key(&id, &secret) });
        }
        organisations.insert(name.to_owned(), organisation(name, rate, &secret));
    }
    let regions: serde_json::Map<String, Value> =
        REGIONS.iter().map(|(name, _)| ((*name).to_owned(), region(name))).collect();
    let tree = json!({
        "settings": {"rate": "100/s", "burst": 100, "timeout": "10s", "body_limit": "4MiB", "retries": 2},
        "regions": regions,
        "services": {
            "quotes": {"backends": backends_of("quotes", backends), "routes": {
                "quotes": {"prefix": "/quotes/", "repeatable": true},
                "bookings": {"prefix": "/bookings/", "repeatable": false},
                "public": {"prefix": "/public/", "open": true},
            }},
            "valves": {"backends": backends_of("valves", backends), "routes": {
                "readings": {"prefix": "/readings/", "repeatable": true},
                "valves": {"prefix": "/valves/", "repeatable": false},
            }},
        },
        "organisations": organisations,
    });
    (tree, keys)
}

fn organisation(name: &str, rate: u32, secret: &[u8; SECRET_BYTES]) -> Value {
    let keys = json!({format!("{name}-1"): {"hash": hex::encode(hash_secret(secret))}});
    json!({"settings": {"rate": format!("{rate}/s"), "burst": rate}, "keys": keys})
}

fn region(name: &str) -> Value {
    const ONE_WAY_MS: u32 = 55;
    const LINK_BYTES_PER_SECOND: u64 = 500_000_000;
    let others: serde_json::Map<String, Value> = REGIONS
        .iter()
        .filter(|(other, _)| *other != name)
        .map(|(o, _)| ((*o).to_owned(), json!(ONE_WAY_MS)))
        .collect();
    json!({"one_way_ms": others, "link_bytes_per_second": LINK_BYTES_PER_SECOND})
}

fn backends_of(service: &str, backends: &[SampleBackend]) -> Value {
    const SLOTS: u32 = 6;
    let of_service = backends.iter().filter(|b| b.service == service);
    let nodes: serde_json::Map<String, Value> = of_service
        .map(|b| {
            (b.id.clone(), json!({"address": b.address, "region": b.region, "zone": b.zone, "slots": SLOTS}))
        })
        .collect();
    Value::Object(nodes)
}
