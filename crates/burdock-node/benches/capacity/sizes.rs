//! What the slopes come to at today's size and at the size to design for. Nothing here is measured.

use burdock_decide::membership::suspect_timeout;
use serde_json::{Value, json};

use crate::fit::{Series, find};

/// A size of the whole system.
struct Size {
    name: &'static str,
    instances: f64,
    zones: f64,
    blocks: f64,
    look_ups: f64,
    changes_a_day: f64,
    replacements_a_day: f64,
    organisations: f64,
    round_seconds: f64,
    backends: f64,
    regions: f64,
}

const TODAY: Size = Size {
    name: "today",
    instances: 24.0,
    zones: 6.0,
    blocks: 0.0,
    look_ups: 200.0,
    changes_a_day: 10.0,
    replacements_a_day: 4.0,
    organisations: 8.0,
    round_seconds: 0.5,
    backends: 36.0,
    regions: 3.0,
};

const DESIGN: Size = Size {
    name: "to design for",
    instances: 580.0,
    zones: 11.0,
    blocks: 1_400_000.0,
    look_ups: 290_000.0,
    changes_a_day: 290.0,
    replacements_a_day: 77.0,
    organisations: 200.0,
    round_seconds: 1.0,
    backends: 1700.0,
    regions: 4.0,
};

/// Budgets of one node for control.
const CORE_PER_CENT: f64 = 1.0;
const MEMORY_MIB: f64 = 256.0;
const KB_A_SECOND: f64 = 17.0;

/// Calls of the store.
const STORE_WRITES: f64 = 300.0;
const STORE_READS: f64 = 2000.0;

const WATCHERS: f64 = 2.0;
const RANDOM_PARTNERS: f64 = 2.0;
const WATCH_SECONDS: f64 = 0.5;
const LIST_SECONDS: f64 = 10.0;
const WATCHER_LIST_SECONDS: f64 = 2.0;
const DAY_SECONDS: f64 = 86_400.0;
const FRAME_BYTES: f64 = 120.0;

/// Twelve load reports of a backend server each, in a full message.
const LOADS_BYTES: f64 = 12.0 * 48.0;

/// One row for each role and size.
pub fn roles(series: &[Series]) -> Vec<Value> {
    [TODAY, DESIGN].iter().flat_map(|size| rows(series, size)).collect()
}

fn rows(series: &[Series], size: &Size) -> Vec<Value> {
    let mut rows =
        vec![member(series, size), watcher(series, size), active_config(series, size), shares(series, size)];
    rows.extend([prober(size), owner(series, size), entry(series, size), store(series, size)]);
    let age = find(series, "age of the median heartbeat").at(size.instances);
    let suspected = suspect_timeout(size.instances as usize).as_secs_f64();
    rows.push(json!({
        "size": size.name, "role": "membership: age of heartbeats", "mechanism": "digests of 128 heartbeats, newest and a walk over the rest",
        "state": format!("the median heartbeat is {age:.1} s old, members are suspected after {suspected:.1} s"),
        "fits": if age * 2.0 < suspected { "yes" } else { "does not fit yet: zones are to sum up their members" },
    }));
    rows.push(json!({
        "size": size.name, "role": "assumed for this table", "mechanism": "-", "fits": "-",
        "state": format!("{:.0} organisations, {:.0} regions, {:.0} backend servers", size.organisations, size.regions, size.backends),
    }));
    rows
}

// Processor time of one end of an exchange, in per cent of a core for so many calls a second.
fn exchange_core(series: &[Series], size: &Size, calls: f64) -> f64 {
    let half_call_us = find(series, "exchange call, both ends").at(size.instances) / 2.0;
    calls * half_call_us / 10_000.0
}

fn member(series: &[Series], size: &Size) -> Value {
    let full = find(series, "exchange message").at(size.instances) + FRAME_BYTES + LOADS_BYTES;
    let light = find(series, "watcher message").at(size.instances) + FRAME_BYTES;
    let rounds = 1.0 / size.round_seconds;
    let watchers = if size.instances > 128.0 { 1.0 } else { WATCHERS };
    let calls = (watchers + 2.0 * RANDOM_PARTNERS) * rounds;
    role(
        size,
        "member of the fleet",
        "heartbeats: watchers of the zone and two at random",
        Cost {
            state: format!("{:.0} members of about 250 B", size.instances),
            calls,
            kb: (2.0 * RANDOM_PARTNERS * full + watchers * light) * rounds / 1000.0,
            core: exchange_core(series, size, calls),
            mib: size.instances * 250.0 / 1e6,
        },
    )
}

fn watcher(series: &[Series], size: &Size) -> Value {
    let light = find(series, "watcher message").at(size.instances) + FRAME_BYTES;
    let in_zone = size.instances / size.zones;
    // In a large zone each member asks one of the two watchers in turn.
    let asked = if size.instances > 128.0 { in_zone / WATCHERS } else { in_zone };
    let calls = asked / size.round_seconds;
    let relayed = size.changes_a_day / DAY_SECONDS * in_zone / WATCHERS * head_bytes(size);
    let tree_kb = find(series, "tree size").at(size.organisations);
    role(
        size,
        "configuration watcher and relay",
        "two in each zone watch the store; short exchange with the zone",
        Cost {
            state: format!("head of {:.0} KB, blobs of {tree_kb:.0} KB", head_bytes(size) / 1000.0),
            calls: calls + 1.0 / WATCH_SECONDS,
            kb: (calls * light + relayed) / 1000.0,
            core: exchange_core(series, size, calls),
            mib: tree_kb / 1024.0,
        },
    )
}

fn active_config(series: &[Series], size: &Size) -> Value {
    let changes = size.changes_a_day / DAY_SECONDS;
    let has_blocks = size.blocks > 0.0;
    let of_blocks = |name: &str| if has_blocks { find(series, name).at(size.blocks) } else { 0.0 };
    // One change in twenty is taken to bring new client blocks.
    let install_ms =
        find(series, "tree resolve").at(size.organisations) + of_blocks("block table build") / 20.0;
    role(
        size,
        "configuration in force",
        "resolved once a revision; content-addressed blobs; table swapped as one",
        Cost {
            state: "snapshot, and two block tables while one is swapped".to_owned(),
            calls: changes,
            kb: changes * head_bytes(size) / 1000.0,
            core: changes * install_ms / 10.0,
            mib: of_blocks("block table memory") * 2.0 + find(series, "tree memory").at(size.organisations),
        },
    )
}

fn shares(series: &[Series], size: &Size) -> Value {
    // A leaving or new instance moves shares in two writes.
    let moves = size.replacements_a_day * 4.0 / DAY_SECONDS;
    let bytes = find(series, "share records").at(size.organisations) * 1024.0;
    role(
        size,
        "share holder and keeper",
        "agreed records, moved in two steps; tokens lent on demand",
        Cost {
            state: format!("records of {:.0} KB", bytes / 1000.0),
            calls: moves * 20.0,
            kb: moves * bytes / 1000.0,
            core: moves * 20.0 * 100.0 / 10_000.0,
            mib: bytes * 3.0 / 1e6,
        },
    )
}

fn prober(size: &Size) -> Value {
    const PROBERS: f64 = 2.0;
    const PROBE_US: f64 = 60.0;
    const PROBE_KB: f64 = 0.4;
    let probes = size.backends * PROBERS / size.instances;
    role(
        size,
        "prober",
        "two instances of the region for each backend server; results told in the exchange",
        Cost {
            state: format!("{probes:.1} backend servers probed"),
            calls: probes,
            kb: probes * PROBE_KB,
            core: probes * PROBE_US / 10_000.0,
            mib: 0.1,
        },
    )
}

fn owner(series: &[Series], size: &Size) -> Value {
    const KEYS: f64 = 100_000.0;
    role(
        size,
        "owner of non-repeatable requests",
        "keys that name their owner; else a claim in the store",
        Cost {
            state: format!("{KEYS:.0} keys remembered"),
            calls: 0.0,
            kb: 0.0,
            core: 0.0,
            mib: find(series, "idempotency keys").at(KEYS),
        },
    )
}

fn entry(series: &[Series], size: &Size) -> Value {
    let look_ups = size.look_ups / size.instances;
    let us = find(series, "steering decision").at(size.instances);
    json!({
        "size": size.name, "role": "entry: steering look-ups (not control)", "state": "fleet view",
        "calls": look_ups, "kb": look_ups * 0.7, "core": look_ups * us / 10_000.0, "mib": 1.0,
        "mechanism": "decision over the fleet as seen here; block look-up by longest prefix", "fits": "no control budget",
    })
}

fn store(series: &[Series], size: &Size) -> Value {
    let watchers = size.zones * WATCHERS;
    let changes = size.changes_a_day / DAY_SECONDS;
    let lists = (size.instances - watchers) / LIST_SECONDS + watchers / WATCHER_LIST_SECONDS;
    let reads = watchers / WATCH_SECONDS + lists + changes * watchers * 3.0;
    let writes = changes * 3.0 + size.replacements_a_day * 4.0 * 16.0 / DAY_SECONDS;
    let claims = size.look_ups / 1000.0;
    let chunks =
        if size.blocks > 0.0 { find(series, "block chunks in the store").at(size.blocks) } else { 0.0 };
    let fits = reads < STORE_READS && writes + claims < STORE_WRITES;
    json!({
        "size": size.name, "role": "the store", "state": format!("head, {chunks:.0} MiB of chunks"), "calls": reads + writes,
        "mechanism": format!(
            "{reads:.0} reads/s of {STORE_READS}, {writes:.2} writes/s of {STORE_WRITES}; up to {claims:.0} claims/s if one \
             look-up in 1000 leads to a claim"
        ),
        "fits": if fits { "yes" } else { "does not fit yet" },
    })
}

struct Cost {
    state: String,
    calls: f64,
    kb: f64,
    core: f64,
    mib: f64,
}

fn role(size: &Size, name: &str, mechanism: &str, cost: Cost) -> Value {
    let fits = cost.kb <= KB_A_SECOND && cost.core <= CORE_PER_CENT && cost.mib <= MEMORY_MIB;
    json!({
        "size": size.name, "role": name, "state": cost.state,
        "calls": cost.calls, "kb": cost.kb, "core": cost.core, "mib": cost.mib,
        "mechanism": mechanism, "fits": if fits { "yes" } else { "does not fit yet" },
    })
}

// A manifest entry takes about 95 bytes, a remembered change about 110.
fn head_bytes(size: &Size) -> f64 {
    (size.organisations + 10.0) * 95.0 + 64.0 * 110.0 + size.blocks / 20_000.0 * 140.0
}

/// How long an accepted change takes to the last instance.
pub fn reach(series: &[Series]) -> Vec<Value> {
    let install = find(series, "tree resolve").at(DESIGN.organisations) / 1000.0;
    let blocks = find(series, "block table build").at(DESIGN.blocks) / 1000.0;
    let hop = |one_way_ms: f64| one_way_ms / 1000.0 * 4.0 + 0.002;
    let direct = hop(55.0) + install + hop(1.0) + install;
    let lost_push = direct + DESIGN.round_seconds * 1.1 + WATCH_SECONDS;
    let row = |case: &str, seconds: f64, how: &str| json!({"case": case, "seconds": seconds, "how": how, "fits": if seconds < 19.0 { "yes" } else { "does not fit yet" }});
    vec![
        row(
            "health",
            direct,
            "accepting instance to watchers of all zones (head and blobs: two round trips), watchers to their zone",
        ),
        row(
            "health, new client blocks",
            direct + 2.0 * blocks,
            "as above, with the whole block table built at each of two hops",
        ),
        row("pushes lost", lost_push, "the next round of exchange, or the watch"),
        row(
            "a zone lost",
            lost_push + 2.0,
            "as above; the others are not in the way, suspicion is not waited for",
        ),
        row(
            "store slow (1 s a call)",
            direct + 4.0,
            "head read, blob writes and swap take a second each, then pushes",
        ),
    ]
}
