//! Measuring costs at several sizes.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Instant;

use burdock_decide::once::{KeyRecord, OnceKey, RunProgress};
use burdock_decide::shares::even_split;
use burdock_decide::time::Time;
use burdock_model::blocks::BlockTable;
use burdock_model::ids::{Incarnation, InstanceId, InstanceIncarnation, Revision};
use burdock_model::prelude::{Snapshot, Tree};
use burdock_node::admin::blocks;
use burdock_node::entry::steer::decide;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::fit::Series;
use crate::fleet;

/// Sizes of the table of client blocks.
const BLOCKS: [usize; 4] = [10_000, 100_000, 500_000, 1_400_000];

/// Sizes of the fleet.
const MEMBERS: [usize; 5] = [24, 100, 150, 300, 580];

/// Numbers of organisations.
const ORGANISATIONS: [usize; 5] = [10, 100, 500, 2000, 4200];

/// Numbers of idempotency keys.
const KEYS: [usize; 4] = [10_000, 50_000, 100_000, 400_000];

/// Look-ups timed at each size.
const LOOKUPS: u32 = 500_000;

const SEED: u64 = 20;

/// Every series.
pub fn all() -> Vec<Series> {
    let mut series = block_series();
    series.extend(fleet_series());
    series.extend(organisation_series());
    series.push(once_series());
    series
}

fn block_series() -> Vec<Series> {
    let (mut memory, mut look_up, mut build, mut packed) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for size in BLOCKS {
        let text = block_file(size);
        let chunks = blocks::split_into_chunks(&text).expect("the file is good");
        drop(text);
        let bytes: usize = chunks.iter().map(String::len).sum();
        assert!(chunks.iter().all(|c| c.len() < 1_000_000), "each chunk fits the store");
        let before = allocated_bytes();
        let began = Instant::now();
        let table = blocks::parse_chunks(chunks.iter().map(String::as_str)).expect("the chunks are good");
        build.push((size as f64, began.elapsed().as_secs_f64() * 1000.0));
        memory.push((size as f64, (allocated_bytes() - before).max(0.0) / MIB));
        packed.push((size as f64, bytes as f64 / MIB));
        look_up.push((size as f64, look_up_ns(&table)));
        assert_eq!(table.len(), size);
    }
    vec![
        Series { name: "block table memory", per: "client block", unit: "MiB", points: memory },
        Series { name: "block look-up", per: "client block", unit: "ns", points: look_up },
        Series { name: "block table build", per: "client block", unit: "ms", points: build },
        Series { name: "block chunks in the store", per: "client block", unit: "MiB", points: packed },
    ]
}

// Distinct IPv4 /24 blocks, and one in eight an IPv6 /48.
fn block_file(size: usize) -> String {
    let regions = ["riga", "jelgava", "daugavpils", "liepaja"];
    (0..size).map(|n| format!("{} {}\n", block(n), regions[n % regions.len()])).collect()
}

fn block(n: usize) -> String {
    if n.is_multiple_of(8) {
        return format!("2001:{:x}:{:x}::/48", 0xdb8 + n / 8 / 65536, n / 8 % 65536);
    }
    let [_, a, b, c] = u32::try_from(n).expect("a small number").to_be_bytes();
    format!("{}.{b}.{c}.0/24", 16 + a)
}

fn look_up_ns(table: &BlockTable) -> f64 {
    let mut rng = StdRng::seed_from_u64(SEED);
    let addresses: Vec<IpAddr> = (0..LOOKUPS)
        .map(|_| {
            let [_, a, b, c] = rng.random_range(0..1_400_000_u32).to_be_bytes();
            IpAddr::V4(Ipv4Addr::new(16 + a, b, c, rng.random()))
        })
        .collect();
    let began = Instant::now();
    let found = addresses.iter().filter(|ip| black_box(table.region(**ip)).is_some()).count();
    assert!(found > 0, "some addresses are in a block");
    began.elapsed().as_secs_f64() * 1e9 / f64::from(LOOKUPS)
}

fn fleet_series() -> Vec<Series> {
    let (mut compose, mut absorb, mut bytes, mut call) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (mut steer, mut stale, mut light) = (Vec::new(), Vec::new(), Vec::new());
    for size in MEMBERS {
        let found = fleet::exchange_costs(size);
        let size_f = size as f64;
        compose.push((size_f, found.compose_us));
        absorb.push((size_f, found.absorb_us));
        bytes.push((size_f, found.message_bytes));
        light.push((size_f, found.watcher_message_bytes));
        call.push((size_f, found.call_cpu_us));
        stale.push((size_f, fleet::staleness_seconds(size)));
        steer.push((size_f, steer_us(size)));
    }
    vec![
        Series { name: "compose exchange", per: "instance", unit: "us", points: compose },
        Series { name: "absorb exchange", per: "instance", unit: "us", points: absorb },
        Series { name: "exchange message", per: "instance", unit: "bytes", points: bytes },
        Series { name: "watcher message", per: "instance", unit: "bytes", points: light },
        Series { name: "exchange call, both ends", per: "instance", unit: "us", points: call },
        Series { name: "age of the median heartbeat", per: "instance", unit: "s", points: stale },
        Series { name: "steering decision", per: "instance", unit: "us", points: steer },
    ]
}

fn steer_us(members: usize) -> f64 {
    const ROUNDS: u64 = 20_000;
    let view = fleet::view(members);
    let snapshot = snapshot(10).0;
    let regions: Vec<_> =
        view.entries.iter().map(|e| e.region.clone()).collect::<BTreeSet<_>>().into_iter().collect();
    let began = Instant::now();
    for caller in 0..ROUNDS {
        black_box(decide(&view, &snapshot, 0, &regions, caller));
    }
    began.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn organisation_series() -> Vec<Series> {
    let (mut resolve, mut memory, mut tree_bytes, mut shares, mut key) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for size in ORGANISATIONS {
        let before = allocated_bytes();
        let began = Instant::now();
        let (snapshot, bytes) = snapshot(size);
        resolve.push((size as f64, began.elapsed().as_secs_f64() * 1000.0));
        memory.push((size as f64, (allocated_bytes() - before).max(0.0) / MIB));
        tree_bytes.push((size as f64, bytes as f64 / 1024.0));
        shares.push((size as f64, share_bytes(size) / 1024.0));
        key.push((size as f64, key_check_ns(&snapshot)));
        drop(snapshot);
    }
    vec![
        Series { name: "tree resolve", per: "organisation", unit: "ms", points: resolve },
        Series { name: "tree memory", per: "organisation", unit: "MiB", points: memory },
        Series { name: "tree size", per: "organisation", unit: "KiB", points: tree_bytes },
        Series { name: "share records", per: "organisation", unit: "KiB", points: shares },
        Series { name: "key check", per: "organisation", unit: "ns", points: key },
    ]
}

// Two services, ten routes, a key and two overrides for each organisation.
fn snapshot(organisations: usize) -> (Snapshot, usize) {
    let routes: serde_json::Map<String, Value> =
        (0..5).map(|n| (format!("r{n}"), json!({"prefix": format!("/r{n}/")}))).collect();
    let more: serde_json::Map<String, Value> =
        (5..10).map(|n| (format!("r{n}"), json!({"prefix": format!("/r{n}/")}))).collect();
    let organisation = |n: usize| {
        let hash = hex::encode(burdock_model::key::hash_secret(&secret(n)));
        json!({
            "settings": {"rate": "100/s", "burst": 100},
            "keys": {format!("k{n}"): {"hash": hash}},
            "services": {"quotes": {"settings": {"timeout": "5s"}, "routes": {"r0": {"settings": {"retries": 1}}}}},
        })
    };
    let all: serde_json::Map<String, Value> =
        (0..organisations).map(|n| (format!("organisation-{n}"), organisation(n))).collect();
    let value =
        json!({"services": {"quotes": {"routes": routes}, "valves": {"routes": more}}, "organisations": all});
    let bytes = value.to_string().len();
    let tree = Tree::from_value(&value).expect("the tree is good");
    (Snapshot::new(Revision(1), tree, Arc::default()).expect("the tree resolves"), bytes)
}

fn secret(n: usize) -> [u8; 32] {
    let mut secret = [0; 32];
    secret[..8].copy_from_slice(&(n as u64).to_le_bytes());
    secret
}

fn key_check_ns(snapshot: &Snapshot) -> f64 {
    const ROUNDS: u32 = 100_000;
    let id = burdock_model::ids::KeyId::new("k1").expect("a name");
    let key = burdock_model::key::format_key(&id, &secret(1));
    let began = Instant::now();
    for _ in 0..ROUNDS {
        assert!(black_box(snapshot.organisation_of(&key)).is_some());
    }
    began.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}

// Each organisation with eight holders, as stored.
fn share_bytes(organisations: usize) -> f64 {
    const HOLDERS: u64 = 8;
    let life = |n: u64| InstanceIncarnation {
        instance: InstanceId::new(&format!("instance-{n:03}")).expect("a name"),
        incarnation: Incarnation(300_000_000 + u32::try_from(n).expect("few")),
    };
    let split = even_split(&(0..HOLDERS).map(life).collect());
    let record = burdock_decide::shares::ShareRecord { version: 1, current: split.clone(), target: split };
    let name =
        |n: usize| burdock_model::ids::OrganisationName::new(&format!("organisation-{n}")).expect("a name");
    let records = (0..organisations).map(|n| (name(n), record.clone())).collect();
    burdock_node::limits::records::write(&records).len() as f64
}

fn once_series() -> Series {
    let mut points = Vec::new();
    for size in KEYS {
        let before = allocated_bytes();
        let table: std::collections::HashMap<OnceKey, KeyRecord<Arc<Vec<u8>>>> = (0..size)
            .map(|n| {
                let answer = Arc::new(vec![0; 128]);
                let record = KeyRecord {
                    fingerprint: n as u64,
                    progress: RunProgress::Finished(answer),
                    started_at: Time(0),
                };
                (OnceKey::new("o", &n.to_string()), record)
            })
            .collect();
        points.push((size as f64, (allocated_bytes() - before).max(0.0) / MIB));
        drop(table);
    }
    Series { name: "idempotency keys", per: "key", unit: "MiB", points }
}

const MIB: f64 = 1024.0 * 1024.0;

/// Memory that this process has allocated and not given back, in bytes.
pub fn allocated_bytes() -> f64 {
    let stats = crate::ALLOCATOR.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64 + stats.bytes_reallocated as f64
}
