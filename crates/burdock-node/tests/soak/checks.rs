//! Guarantees of the system, checked against the records of callers and backend servers.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use burdock_standin::backend::LoggedRequest;

use crate::callers::{Record, RequestKind};
use crate::deployment::{BUSY_ORGANISATION, Deployment};

/// Statuses that promise that a request did not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Window of the operators' check of allowances, and the factor and number of requests by which it may exceed
/// rate and burst.
const ALLOWANCE_WINDOW: Duration = Duration::from_secs(5);
const ALLOWANCE_OVERSHOOT: f64 = 1.1;
const ALLOWANCE_SLACK: f64 = 20.0;

/// The operators' bound on the time during which a draining backend server still receives new requests.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(2500);

/// Minimum fraction of servable requests (valid key, within the rate) that is served while there is no fault.
const MIN_CALM_SERVED_FRACTION: f64 = 0.99;

/// Checks the guarantees that hold under every fault.
pub fn check_always(records: &[Record], executed: &[LoggedRequest]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut run_counts: HashMap<&str, usize> = HashMap::new();
    for run in executed {
        *run_counts.entry(run.id.as_str()).or_default() += 1;
    }
    let sent_ids: HashSet<&str> = records.iter().map(|r| r.id.as_str()).collect();
    let never_sent = run_counts.keys().filter(|id| !sent_ids.contains(*id) && !id.starts_with("probe-"));
    violations
        .extend(never_sent.map(|id| format!("a backend server ran a request that no caller sent: {id}")));
    for record in records {
        let count = run_counts.get(record.id.as_str()).copied().unwrap_or(0);
        if record.kind == RequestKind::Command && count > 1 {
            violations.push(format!("a command ran {count} times: {record:?}"));
        }
        if record.status.is_some_and(|status| NOT_RUN_STATUSES.contains(&status))
            && record.kind == RequestKind::Command
            && count > 0
        {
            violations.push(format!("a command ran although it was refused as not run: {record:?}"));
        }
        if let Some(defect) = &record.defect {
            violations.push(format!("a successful response {defect}: {record:?}"));
        }
        if record.status == Some(200) && count == 0 {
            violations.push(format!("a successful response that no backend server produced: {record:?}"));
        }
    }
    violations.extend(check_allowance(executed));
    violations.extend(check_config_order(records));
    violations
}

// Checks that no window contains more requests of an organisation than its rate and burst allow.
fn check_allowance(executed: &[LoggedRequest]) -> Option<String> {
    let (name, rate, burst) = BUSY_ORGANISATION;
    // A request that was retried after a failure counts once.
    let mut first_started_us: BTreeMap<&str, u64> = BTreeMap::new();
    for run in executed.iter().filter(|r| r.organisation == name) {
        let at = first_started_us.entry(run.id.as_str()).or_insert(run.start_us);
        *at = (*at).min(run.start_us);
    }
    let mut starts_us: Vec<u64> = first_started_us.into_values().collect();
    starts_us.sort_unstable();
    let window_us = u64::try_from(ALLOWANCE_WINDOW.as_micros()).unwrap_or(u64::MAX);
    let count_in_window =
        |from: usize| starts_us[from..].iter().take_while(|at| **at < starts_us[from] + window_us).count();
    let max_count = (0..starts_us.len()).map(count_in_window).max().unwrap_or(0);
    let limit = (rate * ALLOWANCE_WINDOW.as_secs_f64() + burst) * ALLOWANCE_OVERSHOOT + ALLOWANCE_SLACK;
    (max_count as f64 > limit)
        .then(|| format!("{max_count} requests of `{name}` in {ALLOWANCE_WINDOW:?}, {limit} are allowed"))
}

// Checks that no incarnation goes back to an older configuration. Each version adds a route and none removes
// one, so an incarnation that served a route serves all older ones later.
fn check_config_order(records: &[Record]) -> Vec<String> {
    let mut served: HashMap<(usize, u64), Vec<(Instant, u64)>> = HashMap::new();
    for record in records {
        if let (RequestKind::Route(version), Some(incarnation), Some(200)) =
            (record.kind, record.incarnation, record.status)
        {
            served.entry((record.instance, incarnation)).or_default().push((record.done_at, version));
        }
    }
    let reverted = |record: &&Record| {
        let (RequestKind::Route(version), Some(incarnation), Some(404)) =
            (record.kind, record.incarnation, record.status)
        else {
            return false;
        };
        let served_routes = served.get(&(record.instance, incarnation));
        served_routes
            .is_some_and(|list| list.iter().any(|(at, newer)| *at < record.sent_at && *newer >= version))
    };
    records
        .iter()
        .filter(reverted)
        .map(|r| format!("an instance went back to an older configuration: {r:?}"))
        .collect()
}

/// Checks the guarantees that hold while there is no fault, also around a planned stop.
pub fn check_calm_period(
    records: &[Record],
    executed: &[LoggedRequest],
    from: Instant,
    to: Instant,
) -> Vec<String> {
    let mut violations = Vec::new();
    let executed: HashSet<&str> = executed.iter().map(|r| r.id.as_str()).collect();
    let calm_records: Vec<&Record> =
        records.iter().filter(|r| r.sent_at >= from && r.done_at <= to).collect();
    let is_servable =
        |r: &&&Record| matches!(r.kind, RequestKind::Read | RequestKind::Command | RequestKind::Route(_));
    // A caller whose connection is refused, or closes before its request was read, retries at another
    // instance.
    let was_received = |r: &&&Record| r.status.is_some() || executed.contains(r.id.as_str());
    let expected = calm_records.iter().filter(is_servable).filter(was_received).count();
    let served = calm_records.iter().filter(is_servable).filter(|r| r.is_served()).count();
    if (served as f64) < expected as f64 * MIN_CALM_SERVED_FRACTION {
        let mut statuses: BTreeMap<(&str, Option<u16>), usize> = BTreeMap::new();
        for record in calm_records.iter().filter(is_servable) {
            *statuses.entry((record.kind.name(), record.status)).or_default() += 1;
        }
        violations.push(format!(
            "without faults {served} of {expected} servable requests were served: {statuses:?}"
        ));
    }
    let lost = calm_records.iter().filter(|r| r.status.is_none() && executed.contains(r.id.as_str()));
    violations
        .extend(lost.map(|r| format!("a request ran without faults but its caller got no response: {r:?}")));
    violations
}

/// Checks that no new request reaches a backend server after the bound that was draining or gone from `since` on.
pub fn check_backend_drain(deployment: &Deployment, ix: usize, since: Instant) -> Vec<String> {
    let bound = SystemTime::now() - since.elapsed() + MAX_DRAIN_TIME;
    let bound_us =
        bound.duration_since(UNIX_EPOCH).map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX));
    let late = deployment.backends[ix].standin.log().into_iter().filter(|r| r.start_us > bound_us);
    late.map(|r| format!("a request reached a backend server after its drain: {r:?}")).collect()
}
