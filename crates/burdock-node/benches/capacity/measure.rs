//! Measures costs at several sizes.

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
use burdock_node::entry::steer::select_answer;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::fit::Series;
use crate::fleet;

/// Numbers of client blocks in the block table.
const CLIENT_BLOCK_COUNTS: [usize; 4] = [10_000, 100_000, 500_000, 1_400_000];

/// Numbers of instances in the fleet.
const FLEET_SIZES: [usize; 5] = [24, 100, 150, 300, 580];

/// Numbers of organisations.
const ORGANISATION_COUNTS: [usize; 5] = [10, 100, 500, 2000, 4200];

/// Numbers of idempotency keys.
const KEY_COUNTS: [usize; 4] = [10_000, 50_000, 100_000, 400_000];

/// Number of block look-ups timed at each size.
const LOOKUP_COUNT: u32 = 500_000;

const SEED: u64 = 20;

/// Measures every series.
pub fn measure_all() -> Vec<Series> {
    let mut series = measure_client_blocks();
    series.extend(measure_fleet());
    series.extend(measure_organisations());
    series.push(measure_idempotency_keys());
    series
}

fn measure_client_blocks() -> Vec<Series> {
    let (mut memory, mut lookup, mut build, mut packed) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for size in CLIENT_BLOCK_COUNTS {
        let text = block_file_text(size);
        let chunks = blocks::split_into_chunks(&text).expect("the block file is valid");
        drop(text);
        let bytes: usize = chunks.iter().map(String::len).sum();
        assert!(
            chunks.iter().all(|c| c.len() < 1_000_000),
            "each chunk is within the size limit of the store"
        );
        let before = allocated_bytes();
        let started_at = Instant::now();
        let table = blocks::parse_chunks(chunks.iter().map(String::as_str)).expect("the chunks are valid");
        build.push((size as f64, started_at.elapsed().as_secs_f64() * 1000.0));
        memory.push((size as f64, (allocated_bytes() - before).max(0.0) / MIB));
        packed.push((size as f64, bytes as f64 / MIB));
        lookup.push((size as f64, mean_lookup_ns(&table)));
        assert_eq!(table.len(), size);
    }
    vec![
        Series { name: "block table memory", per: "client block", unit: "MiB", points: memory },
        Series { name: "block look-up", per: "client block", unit: "ns", points: lookup },
        Series { name: "block table build", per: "client block", unit: "ms", points: build },
        Series { name: "block chunks in the store", per: "client block", unit: "MiB", points: packed },
    ]
}

// Distinct blocks: IPv4 /24, and every eighth an IPv6 /48.
fn block_file_text(size: usize) -> String {
    let regions = ["riga", "jelgava", "daugavpils", "liepaja"];
    (0..size).map(|n| format!("{} {}\n", block_prefix(n), regions[n % regions.len()])).collect()
}

fn block_prefix(n: usize) -> String {
    if n.is_multiple_of(8) {
        return format!("2001:{:x}:{:x}::/48", 0xdb8 + n / 8 / 65536, n / 8 % 65536);
    }
    let [_, a, b, c] = u32::try_from(n).expect("a small number").to_be_bytes();
    format!("{}.{b}.{c}.0/24", 16 + a)
}

fn mean_lookup_ns(table: &BlockTable) -> f64 {
    let mut rng = StdRng::seed_from_u64(SEED);
    let addresses: Vec<IpAddr> = (0..LOOKUP_COUNT)
        .map(|_| {
            let [_, a, b, c] = rng.random_range(0..1_400_000_u32).to_be_bytes();
            IpAddr::V4(Ipv4Addr::new(16 + a, b, c, rng.random()))
        })
        .collect();
    let started_at = Instant::now();
    let found = addresses.iter().filter(|ip| black_box(table.region(**ip)).is_some()).count();
    assert!(found > 0, "some addresses are in a block");
    started_at.elapsed().as_secs_f64() * 1e9 / f64::from(LOOKUP_COUNT)
}

fn measure_fleet() -> Vec<Series> {
    let (mut compose, mut apply, mut bytes, mut call) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (mut steer, mut heartbeat_age, mut watcher_bytes) = (Vec::new(), Vec::new(), Vec::new());
    for size in FLEET_SIZES {
        let costs = fleet::measure_exchange_costs(size);
        let size_f = size as f64;
        compose.push((size_f, costs.compose_us));
        apply.push((size_f, costs.apply_us));
        bytes.push((size_f, costs.message_bytes));
        watcher_bytes.push((size_f, costs.watcher_message_bytes));
        call.push((size_f, costs.call_cpu_us));
        heartbeat_age.push((size_f, fleet::worst_median_heartbeat_age_seconds(size)));
        steer.push((size_f, mean_steering_us(size)));
    }
    vec![
        Series { name: "compose exchange", per: "instance", unit: "us", points: compose },
        Series { name: "absorb exchange", per: "instance", unit: "us", points: apply },
        Series { name: "exchange message", per: "instance", unit: "bytes", points: bytes },
        Series { name: "watcher message", per: "instance", unit: "bytes", points: watcher_bytes },
        Series { name: "exchange call, both ends", per: "instance", unit: "us", points: call },
        Series { name: "age of the median heartbeat", per: "instance", unit: "s", points: heartbeat_age },
        Series { name: "steering decision", per: "instance", unit: "us", points: steer },
    ]
}

fn mean_steering_us(members: usize) -> f64 {
    const ROUNDS: u64 = 20_000;
    let view = fleet::fleet_view(members);
    let snapshot = build_snapshot(10).0;
    let regions: Vec<_> =
        view.entries.iter().map(|e| e.region.clone()).collect::<BTreeSet<_>>().into_iter().collect();
    let started_at = Instant::now();
    for caller in 0..ROUNDS {
        black_box(select_answer(&view, &snapshot, 0, &regions, caller));
    }
    started_at.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn measure_organisations() -> Vec<Series> {
    let (mut resolve, mut memory, mut tree_bytes, mut shares, mut key) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for size in ORGANISATION_COUNTS {
        let before = allocated_bytes();
        let started_at = Instant::now();
        let (snapshot, bytes) = build_snapshot(size);
        resolve.push((size as f64, started_at.elapsed().as_secs_f64() * 1000.0));
        memory.push((size as f64, (allocated_bytes() - before).max(0.0) / MIB));
        tree_bytes.push((size as f64, bytes as f64 / 1024.0));
        shares.push((size as f64, encoded_share_bytes(size) / 1024.0));
        key.push((size as f64, mean_key_check_ns(&snapshot)));
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

// Two services, ten routes, and for each organisation a key and two overrides. Also returns the tree's size
// in bytes.
fn build_snapshot(organisations: usize) -> (Snapshot, usize) {
    let quote_routes: serde_json::Map<String, Value> =
        (0..5).map(|n| (format!("r{n}"), json!({"prefix": format!("/r{n}/")}))).collect();
    let valve_routes: serde_json::Map<String, Value> =
        (5..10).map(|n| (format!("r{n}"), json!({"prefix": format!("/r{n}/")}))).collect();
    let organisation = |n: usize| {
        let hash = hex::encode(burdock_model::key::hash_secret(&secret(n)));
        json!({
            "settings": {"rate": "100/s", "burst": 100},
            "keys": {format!("k{n}"): {"hash": hash}},
            "services": {"quotes": {"settings": {"timeout": "5s"}, "routes": {"r0": {"settings": {"retries": 1}}}}},
        })
    };
    let organisations_tree: serde_json::Map<String, Value> =
        (0..organisations).map(|n| (format!("organisation-{n}"), organisation(n))).collect();
    let value = json!({
        "services": {"quotes": {"routes": quote_routes}, "valves": {"routes": valve_routes}},
        "organisations": organisations_tree,
    });
    let bytes = value.to_string().len();
    let tree = Tree::from_value(&value).expect("the tree is valid");
    (Snapshot::new(Revision(1), tree, Arc::default()).expect("the tree resolves"), bytes)
}

fn secret(n: usize) -> [u8; 32] {
    let mut secret = [0; 32];
    secret[..8].copy_from_slice(&(n as u64).to_le_bytes());
    secret
}

fn mean_key_check_ns(snapshot: &Snapshot) -> f64 {
    const ROUNDS: u32 = 100_000;
    let id = burdock_model::ids::KeyId::new("k1").expect("a name");
    let key = burdock_model::key::format_key(&id, &secret(1));
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        assert!(black_box(snapshot.organisation_of(&key)).is_some());
    }
    started_at.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}

// Size of the stored share records, with eight holders for each organisation.
fn encoded_share_bytes(organisations: usize) -> f64 {
    const HOLDERS: u64 = 8;
    let incarnation = |n: u64| InstanceIncarnation {
        instance: InstanceId::new(&format!("instance-{n:03}")).expect("a name"),
        incarnation: Incarnation(300_000_000 + u32::try_from(n).expect("few")),
    };
    let split = even_split(&(0..HOLDERS).map(incarnation).collect());
    let record = burdock_decide::shares::ShareRecord { version: 1, current: split.clone(), target: split };
    let name =
        |n: usize| burdock_model::ids::OrganisationName::new(&format!("organisation-{n}")).expect("a name");
    let records = (0..organisations).map(|n| (name(n), record.clone())).collect();
    burdock_node::limits::records::encode_bucket(&records).len() as f64
}

fn measure_idempotency_keys() -> Series {
    let mut points = Vec::new();
    for size in KEY_COUNTS {
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

/// Returns the memory that this process has allocated and not freed, in bytes.
pub fn allocated_bytes() -> f64 {
    let stats = crate::ALLOCATOR.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64 + stats.bytes_reallocated as f64
}
