//! Computes the cost of each role at today's size and at the size to design for, from the fitted lines.

use burdock_decide::membership::suspect_timeout;
use serde_json::{Value, json};

use crate::fit::{Series, find_series};

/// Size of the whole system.
struct Size {
    name: &'static str,
    instances: f64,
    zones: f64,
    client_blocks: f64,
    lookups_per_second: f64,
    changes_per_day: f64,
    replacements_per_day: f64,
    organisations: f64,
    round_seconds: f64,
    backends: f64,
    regions: f64,
}

const TODAY_SIZE: Size = Size {
    name: "today",
    instances: 24.0,
    zones: 6.0,
    client_blocks: 0.0,
    lookups_per_second: 200.0,
    changes_per_day: 10.0,
    replacements_per_day: 4.0,
    organisations: 8.0,
    round_seconds: 0.5,
    backends: 36.0,
    regions: 3.0,
};

const DESIGN_SIZE: Size = Size {
    name: "to design for",
    instances: 580.0,
    zones: 11.0,
    client_blocks: 1_400_000.0,
    lookups_per_second: 290_000.0,
    changes_per_day: 290.0,
    replacements_per_day: 77.0,
    organisations: 200.0,
    round_seconds: 1.0,
    backends: 1700.0,
    regions: 4.0,
};

/// Budgets for the control work of one instance.
const MAX_CORE_PERCENT: f64 = 1.0;
const MAX_MEMORY_MIB: f64 = 256.0;
const MAX_KB_PER_SECOND: f64 = 17.0;

/// Call rates that the store supports.
const MAX_STORE_WRITES_PER_SECOND: f64 = 300.0;
const MAX_STORE_READS_PER_SECOND: f64 = 2000.0;

const WATCHERS_PER_ZONE: f64 = 2.0;
const RANDOM_PARTNERS: f64 = 2.0;
const WATCH_POLL_SECONDS: f64 = 0.5;
const LIST_POLL_SECONDS: f64 = 10.0;
const WATCHER_LIST_POLL_SECONDS: f64 = 2.0;
const DAY_SECONDS: f64 = 86_400.0;
const FRAME_OVERHEAD_BYTES: f64 = 120.0;

/// Size of twelve load reports of backend servers, 48 bytes each, in a full message.
const LOAD_REPORT_BYTES: f64 = 12.0 * 48.0;

/// Returns one row for each role and size.
pub fn role_costs(series: &[Series]) -> Vec<Value> {
    [TODAY_SIZE, DESIGN_SIZE].iter().flat_map(|size| size_rows(series, size)).collect()
}

fn size_rows(series: &[Series], size: &Size) -> Vec<Value> {
    let mut rows = vec![
        member_row(series, size),
        watcher_row(series, size),
        config_row(series, size),
        shares_row(series, size),
    ];
    rows.extend([
        prober_row(size),
        owner_row(series, size),
        entry_row(series, size),
        store_row(series, size),
    ]);
    let heartbeat_age_s = find_series(series, "age of the median heartbeat").cost_at(size.instances);
    let suspect_after_s = suspect_timeout(size.instances as usize).as_secs_f64();
    rows.push(json!({
        "size": size.name, "role": "membership: age of heartbeats", "mechanism": "digests of 128 heartbeats, newest and a walk over the rest",
        "state": format!("the median heartbeat is {heartbeat_age_s:.1} s old, members are suspected after {suspect_after_s:.1} s"),
        "fits": if heartbeat_age_s * 2.0 < suspect_after_s { "yes" } else { "does not fit yet: zones are to sum up their members" },
    }));
    rows.push(json!({
        "size": size.name, "role": "assumed for this table", "mechanism": "-", "fits": "-",
        "state": format!("{:.0} organisations, {:.0} regions, {:.0} backend servers", size.organisations, size.regions, size.backends),
    }));
    rows
}

// CPU time of one end of an exchange at the given call rate, in percent of a core.
fn exchange_core_percent(series: &[Series], size: &Size, calls_per_second: f64) -> f64 {
    let half_call_us = find_series(series, "exchange call, both ends").cost_at(size.instances) / 2.0;
    calls_per_second * half_call_us / 10_000.0
}

fn member_row(series: &[Series], size: &Size) -> Value {
    let exchange_bytes = find_series(series, "exchange message").cost_at(size.instances)
        + FRAME_OVERHEAD_BYTES
        + LOAD_REPORT_BYTES;
    let watcher_bytes = find_series(series, "watcher message").cost_at(size.instances) + FRAME_OVERHEAD_BYTES;
    let rounds_per_second = 1.0 / size.round_seconds;
    let watchers = if size.instances > 128.0 { 1.0 } else { WATCHERS_PER_ZONE };
    let calls_per_second = (watchers + 2.0 * RANDOM_PARTNERS) * rounds_per_second;
    role_row(
        size,
        "member of the fleet",
        "heartbeats: watchers of the zone and two at random",
        Cost {
            state: format!("{:.0} members of about 250 B", size.instances),
            calls_per_second,
            kb_per_second: (2.0 * RANDOM_PARTNERS * exchange_bytes + watchers * watcher_bytes)
                * rounds_per_second
                / 1000.0,
            core_percent: exchange_core_percent(series, size, calls_per_second),
            mib: size.instances * 250.0 / 1e6,
        },
    )
}

fn watcher_row(series: &[Series], size: &Size) -> Value {
    let watcher_bytes = find_series(series, "watcher message").cost_at(size.instances) + FRAME_OVERHEAD_BYTES;
    let in_zone = size.instances / size.zones;
    // In a large zone each member calls only one of the two watchers in each round, in turn.
    let members_per_watcher = if size.instances > 128.0 { in_zone / WATCHERS_PER_ZONE } else { in_zone };
    let calls_per_second = members_per_watcher / size.round_seconds;
    let relayed_bytes_per_second =
        size.changes_per_day / DAY_SECONDS * in_zone / WATCHERS_PER_ZONE * config_head_bytes(size);
    let tree_kb = find_series(series, "tree size").cost_at(size.organisations);
    role_row(
        size,
        "configuration watcher and relay",
        "two in each zone watch the store; short exchange with the zone",
        Cost {
            state: format!("head of {:.0} KB, blobs of {tree_kb:.0} KB", config_head_bytes(size) / 1000.0),
            calls_per_second: calls_per_second + 1.0 / WATCH_POLL_SECONDS,
            kb_per_second: (calls_per_second * watcher_bytes + relayed_bytes_per_second) / 1000.0,
            core_percent: exchange_core_percent(series, size, calls_per_second),
            mib: tree_kb / 1024.0,
        },
    )
}

fn config_row(series: &[Series], size: &Size) -> Value {
    let changes_per_second = size.changes_per_day / DAY_SECONDS;
    let has_blocks = size.client_blocks > 0.0;
    let block_cost =
        |name: &str| if has_blocks { find_series(series, name).cost_at(size.client_blocks) } else { 0.0 };
    // Assumes that one change in twenty replaces the client blocks.
    let install_ms = find_series(series, "tree resolve").cost_at(size.organisations)
        + block_cost("block table build") / 20.0;
    role_row(
        size,
        "configuration in force",
        "resolved once a revision; content-addressed blobs; table swapped as one",
        Cost {
            state: "snapshot, and two block tables while one is swapped".to_owned(),
            calls_per_second: changes_per_second,
            kb_per_second: changes_per_second * config_head_bytes(size) / 1000.0,
            core_percent: changes_per_second * install_ms / 10.0,
            mib: block_cost("block table memory") * 2.0
                + find_series(series, "tree memory").cost_at(size.organisations),
        },
    )
}

fn shares_row(series: &[Series], size: &Size) -> Value {
    // A leaving and a new instance each move shares in two writes.
    let share_moves_per_second = size.replacements_per_day * 4.0 / DAY_SECONDS;
    let bytes = find_series(series, "share records").cost_at(size.organisations) * 1024.0;
    role_row(
        size,
        "share holder and keeper",
        "agreed records, moved in two steps; tokens lent on demand",
        Cost {
            state: format!("records of {:.0} KB", bytes / 1000.0),
            calls_per_second: share_moves_per_second * 20.0,
            kb_per_second: share_moves_per_second * bytes / 1000.0,
            core_percent: share_moves_per_second * 20.0 * 100.0 / 10_000.0,
            mib: bytes * 3.0 / 1e6,
        },
    )
}

fn prober_row(size: &Size) -> Value {
    const PROBERS: f64 = 2.0;
    const PROBE_US: f64 = 60.0;
    const PROBE_KB: f64 = 0.4;
    let probed_backends = size.backends * PROBERS / size.instances;
    role_row(
        size,
        "prober",
        "two instances of the region for each backend server; results told in the exchange",
        Cost {
            state: format!("{probed_backends:.1} backend servers probed"),
            calls_per_second: probed_backends,
            kb_per_second: probed_backends * PROBE_KB,
            core_percent: probed_backends * PROBE_US / 10_000.0,
            mib: 0.1,
        },
    )
}

fn owner_row(series: &[Series], size: &Size) -> Value {
    const REMEMBERED_KEYS: f64 = 100_000.0;
    role_row(
        size,
        "owner of non-repeatable requests",
        "keys that name their owner; else a claim in the store",
        Cost {
            state: format!("{REMEMBERED_KEYS:.0} keys remembered"),
            calls_per_second: 0.0,
            kb_per_second: 0.0,
            core_percent: 0.0,
            mib: find_series(series, "idempotency keys").cost_at(REMEMBERED_KEYS),
        },
    )
}

fn entry_row(series: &[Series], size: &Size) -> Value {
    let lookups_per_second = size.lookups_per_second / size.instances;
    let decision_us = find_series(series, "steering decision").cost_at(size.instances);
    json!({
        "size": size.name, "role": "entry: steering look-ups (not control)", "state": "fleet view",
        "calls": lookups_per_second, "kb": lookups_per_second * 0.7,
        "core": lookups_per_second * decision_us / 10_000.0, "mib": 1.0,
        "mechanism": "decision over the fleet as seen here; block look-up by longest prefix", "fits": "no control budget",
    })
}

fn store_row(series: &[Series], size: &Size) -> Value {
    let watchers = size.zones * WATCHERS_PER_ZONE;
    let changes_per_second = size.changes_per_day / DAY_SECONDS;
    let lists_per_second =
        (size.instances - watchers) / LIST_POLL_SECONDS + watchers / WATCHER_LIST_POLL_SECONDS;
    let reads_per_second =
        watchers / WATCH_POLL_SECONDS + lists_per_second + changes_per_second * watchers * 3.0;
    let writes_per_second = changes_per_second * 3.0 + size.replacements_per_day * 4.0 * 16.0 / DAY_SECONDS;
    let claims_per_second = size.lookups_per_second / 1000.0;
    let chunks = if size.client_blocks > 0.0 {
        find_series(series, "block chunks in the store").cost_at(size.client_blocks)
    } else {
        0.0
    };
    let fits = reads_per_second < MAX_STORE_READS_PER_SECOND
        && writes_per_second + claims_per_second < MAX_STORE_WRITES_PER_SECOND;
    json!({
        "size": size.name, "role": "the store", "state": format!("head, {chunks:.0} MiB of chunks"),
        "calls": reads_per_second + writes_per_second,
        "mechanism": format!(
            "{reads_per_second:.0} reads/s of {MAX_STORE_READS_PER_SECOND}, \
             {writes_per_second:.2} writes/s of {MAX_STORE_WRITES_PER_SECOND}; \
             up to {claims_per_second:.0} claims/s if one look-up in 1000 leads to a claim"
        ),
        "fits": if fits { "yes" } else { "does not fit yet" },
    })
}

/// Control work of one instance in one role.
struct Cost {
    state: String,
    calls_per_second: f64,
    kb_per_second: f64,
    core_percent: f64,
    mib: f64,
}

fn role_row(size: &Size, name: &str, mechanism: &str, cost: Cost) -> Value {
    let fits = cost.kb_per_second <= MAX_KB_PER_SECOND
        && cost.core_percent <= MAX_CORE_PERCENT
        && cost.mib <= MAX_MEMORY_MIB;
    json!({
        "size": size.name, "role": name, "state": cost.state,
        "calls": cost.calls_per_second, "kb": cost.kb_per_second, "core": cost.core_percent, "mib": cost.mib,
        "mechanism": mechanism, "fits": if fits { "yes" } else { "does not fit yet" },
    })
}

// A manifest entry takes about 95 bytes, a change in the head's history about 110.
fn config_head_bytes(size: &Size) -> f64 {
    (size.organisations + 10.0) * 95.0 + 64.0 * 110.0 + size.client_blocks / 20_000.0 * 140.0
}

/// Returns the time from accepting a change until the last instance applied it, for each case.
pub fn propagation_times(series: &[Series]) -> Vec<Value> {
    let install_seconds = find_series(series, "tree resolve").cost_at(DESIGN_SIZE.organisations) / 1000.0;
    let block_build_seconds =
        find_series(series, "block table build").cost_at(DESIGN_SIZE.client_blocks) / 1000.0;
    let hop_seconds = |one_way_ms: f64| one_way_ms / 1000.0 * 4.0 + 0.002;
    let direct_seconds = hop_seconds(55.0) + install_seconds + hop_seconds(1.0) + install_seconds;
    let lost_push_seconds = direct_seconds + DESIGN_SIZE.round_seconds * 1.1 + WATCH_POLL_SECONDS;
    let row = |case: &str, seconds: f64, how: &str| json!({"case": case, "seconds": seconds, "how": how, "fits": if seconds < 19.0 { "yes" } else { "does not fit yet" }});
    vec![
        row(
            "health",
            direct_seconds,
            "accepting instance to watchers of all zones (head and blobs: two round trips), watchers to their zone",
        ),
        row(
            "health, new client blocks",
            direct_seconds + 2.0 * block_build_seconds,
            "as above, with the whole block table built at each of two hops",
        ),
        row("pushes lost", lost_push_seconds, "the next round of exchange, or the watch"),
        row(
            "a zone lost",
            lost_push_seconds + 2.0,
            "as above; the others are not in the way, suspicion is not waited for",
        ),
        row(
            "store slow (1 s a call)",
            direct_seconds + 4.0,
            "head read, blob writes and swap take a second each, then pushes",
        ),
    ]
}
