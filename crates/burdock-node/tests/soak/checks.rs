//! What must hold, from what callers and backend servers saw.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use burdock_standin::backend::LoggedRequest;

use crate::callers::{Kind, Record};
use crate::world::{BUSY, World};

/// Statuses that state that a request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// The operators' window for allowances, and what it may hold beyond the rate and burst: a part and some requests.
const ALLOWANCE_WINDOW: Duration = Duration::from_secs(5);
const ALLOWANCE_OVERSHOOT: f64 = 1.1;
const ALLOWANCE_SLACK: f64 = 20.0;

/// The operators' bound on requests to a backend server that leaves.
const DRAIN_BOUND: Duration = Duration::from_millis(2500);

/// The part of good requests that is served in calm, at least.
const CALM_SERVED: f64 = 0.99;

/// What must hold whatever happens.
pub fn always(records: &[Record], ran: &[LoggedRequest]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for run in ran {
        *runs.entry(run.id.as_str()).or_default() += 1;
    }
    let known: HashSet<&str> = records.iter().map(|r| r.id.as_str()).collect();
    let stray = runs.keys().filter(|id| !known.contains(*id) && !id.starts_with("probe-"));
    broken.extend(stray.map(|id| format!("a request ran that no caller sent: {id}")));
    for record in records {
        let count = runs.get(record.id.as_str()).copied().unwrap_or(0);
        if record.kind == Kind::Command && count > 1 {
            broken.push(format!("a command ran {count} times: {record:?}"));
        }
        if record.status.is_some_and(|status| NOT_RUN.contains(&status))
            && record.kind == Kind::Command
            && count > 0
        {
            broken.push(format!("a command was refused as not run, and ran: {record:?}"));
        }
        if let Some(fault) = &record.fault {
            broken.push(format!("a success {fault}: {record:?}"));
        }
        if record.status == Some(200) && count == 0 {
            broken.push(format!("a success that no backend server made: {record:?}"));
        }
    }
    broken.extend(allowance(ran));
    broken.extend(versions(records));
    broken
}

// No window holds more requests of an organisation than its rate and burst allow.
fn allowance(ran: &[LoggedRequest]) -> Option<String> {
    let (name, rate, burst) = BUSY;
    // A request that ran again after a failure counts once.
    let mut first: BTreeMap<&str, u64> = BTreeMap::new();
    for run in ran.iter().filter(|r| r.organisation == name) {
        let at = first.entry(run.id.as_str()).or_insert(run.start_us);
        *at = (*at).min(run.start_us);
    }
    let mut times: Vec<u64> = first.into_values().collect();
    times.sort_unstable();
    let window = u64::try_from(ALLOWANCE_WINDOW.as_micros()).unwrap_or(u64::MAX);
    let within = |from: usize| times[from..].iter().take_while(|at| **at < times[from] + window).count();
    let most = (0..times.len()).map(within).max().unwrap_or(0);
    let limit = (rate * ALLOWANCE_WINDOW.as_secs_f64() + burst) * ALLOWANCE_OVERSHOOT + ALLOWANCE_SLACK;
    (most as f64 > limit)
        .then(|| format!("{most} requests of `{name}` in {ALLOWANCE_WINDOW:?}, {limit} are allowed"))
}

// Each version adds a route and none takes one away, so a life that served a route never misses an older one later.
fn versions(records: &[Record]) -> Vec<String> {
    let mut served: HashMap<(usize, u64), Vec<(Instant, u64)>> = HashMap::new();
    for record in records {
        if let (Kind::Route(version), Some(life), Some(200)) = (record.kind, record.life, record.status) {
            served.entry((record.instance, life)).or_default().push((record.done, version));
        }
    }
    let went_back = |record: &&Record| {
        let (Kind::Route(version), Some(life), Some(404)) = (record.kind, record.life, record.status) else {
            return false;
        };
        let before = served.get(&(record.instance, life));
        before.is_some_and(|list| list.iter().any(|(at, newer)| *at < record.sent && *newer >= version))
    };
    records.iter().filter(went_back).map(|r| format!("the configuration went back: {r:?}")).collect()
}

/// What must hold while nothing is wrong, also around a planned stop.
pub fn in_calm(records: &[Record], ran: &[LoggedRequest], from: Instant, to: Instant) -> Vec<String> {
    let mut broken = Vec::new();
    let ran: HashSet<&str> = ran.iter().map(|r| r.id.as_str()).collect();
    let calm: Vec<&Record> = records.iter().filter(|r| r.sent >= from && r.done <= to).collect();
    let good = |r: &&&Record| matches!(r.kind, Kind::Read | Kind::Command | Kind::Route(_));
    // A caller that meets a closed port or a connection that closes before its request was read asks elsewhere.
    let read = |r: &&&Record| r.status.is_some() || ran.contains(r.id.as_str());
    let owed = calm.iter().filter(good).filter(read).count();
    let served = calm.iter().filter(good).filter(|r| r.is_served()).count();
    if (served as f64) < owed as f64 * CALM_SERVED {
        let mut told: BTreeMap<(&str, Option<u16>), usize> = BTreeMap::new();
        for record in calm.iter().filter(good) {
            *told.entry((record.kind.name(), record.status)).or_default() += 1;
        }
        broken.push(format!("in calm {served} of {owed} requests were served: {told:?}"));
    }
    let lost = calm.iter().filter(|r| r.status.is_none() && ran.contains(r.id.as_str()));
    broken.extend(lost.map(|r| format!("a request ran in calm and its caller got nothing: {r:?}")));
    broken
}

/// No request reaches a backend server that leaves, beyond the bound on that.
pub fn drained(world: &World, since: Instant) -> Vec<String> {
    let bound = SystemTime::now() - since.elapsed() + DRAIN_BOUND;
    let bound_us =
        bound.duration_since(UNIX_EPOCH).map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX));
    let late = world.backends[0].standin.log().into_iter().filter(|r| r.start_us > bound_us);
    late.map(|r| format!("a request reached a backend server that had left: {r:?}")).collect()
}
