//! Selection of a backend server within a region.

use std::time::Duration;

use burdock_model::hash::{rendezvous_order, stable_hash};

use crate::time::Time;

/// Age above which a load report counts as unknown.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(3000);

/// Time in which a backend server that came back ramps up to its full share.
pub const RAMP_UP_TIME: Duration = Duration::from_secs(10);

/// Consecutive failures that eject a backend server, even if its health endpoint reports success.
pub const FAILURES_TO_EJECT: u32 = 3;

/// Time for which a backend server ejected by failures gets no new work.
pub const EJECTION_TIME: Duration = Duration::from_millis(2000);

/// Instances that probe each backend server.
pub const PROBERS_PER_BACKEND: usize = 2;

/// Connections to a backend server from all instances together.
pub const MAX_CONNECTIONS_PER_BACKEND: usize = 800;

/// Connections that one instance needs to use a backend server well.
const MIN_CONNECTIONS_PER_INSTANCE: usize = 8;

/// Backend servers that an instance sends to at least, so that one may fail.
const MIN_BACKENDS: usize = 2;

/// State of one backend server as an instance sees it.
#[derive(Clone, Copy, Debug)]
pub struct BackendView {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests in flight there from this instance.
    pub own_in_flight: u32,
    /// Requests in flight there by its newest load report, if any.
    pub reported_in_flight: Option<u32>,
    /// Time of that report.
    pub reported_at: Time,
    /// Mean service time of a request.
    pub service_time: Duration,
    /// Whether it takes new work: not draining, not ejected, and not down by probes.
    pub is_available: bool,
    /// Time at which it last became available, which starts its ramp-up.
    pub available_since: Time,
}

/// Health of a backend server by the outcomes of requests and probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Health {
    /// Consecutive failed requests.
    pub failures: u32,
    /// Time until which it is ejected.
    pub ejected_until: Time,
    /// Whether probes found it down.
    pub is_down_by_probes: bool,
}

impl Health {
    /// Records the outcome of a request. Returns whether it ejects the backend server.
    pub fn record_outcome(&mut self, success: bool, now: Time) -> bool {
        if success {
            self.failures = 0;
            return false;
        }
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT || now < self.ejected_until {
            return false;
        }
        self.ejected_until = now + EJECTION_TIME;
        self.failures = 0;
        true
    }

    /// Returns whether the backend server may get new work.
    #[must_use]
    pub fn is_available(&self, now: Time) -> bool {
        !self.is_down_by_probes && now >= self.ejected_until
    }
}

/// Selects the backend server with the shortest expected time, by the requests and service times of this
/// instance alone. Returns an index into `backends`.
///
/// Load reports are not used: they are older than a request takes, and all instances that follow the same old
/// report would send to the same backend server. `tried` holds indices to skip. `random` is uniform over all
/// `u64` and breaks ties.
///
/// ```
/// use burdock_decide::pick::*;
/// use burdock_decide::time::Time;
/// use std::time::Duration;
/// let idle = BackendView { slots: 6, own_in_flight: 0, reported_in_flight: None, reported_at: Time(0),
///     service_time: Duration::from_millis(5), is_available: true, available_since: Time(0) };
/// let busy = BackendView { own_in_flight: 12, ..idle };
/// assert_eq!(select_backend(&[busy, idle], &[], 0, Time(0)), Some(1));
/// assert_eq!(select_backend(&[BackendView { is_available: false, ..idle }], &[], 0, Time(0)), None);
/// ```
#[must_use]
pub fn select_backend(backends: &[BackendView], tried: &[usize], random: u64, now: Time) -> Option<usize> {
    let count = backends.len();
    let start = usize::try_from(random % count.max(1) as u64).unwrap_or(0);
    let order = (0..count).map(|step| (start + step) % count);
    let usable = order.filter(|ix| backends[*ix].is_available && !tried.contains(ix));
    usable.min_by_key(|ix| selection_cost(&backends[*ix], now))
}

/// Returns the cost by which backend servers are compared: the service time multiplied by the requests of
/// this instance, including the new one, per thousandth of a slot. It is higher during ramp-up.
#[must_use]
pub fn selection_cost(backend: &BackendView, now: Time) -> Duration {
    const MILLISLOTS_PER_SLOT: u32 = 1000;
    let requests = backend.own_in_flight + 1;
    let warm = backend.service_time * requests * MILLISLOTS_PER_SLOT / backend.slots.max(1);
    warm + warm.mul_f64(cold_penalty(backend, now))
}

/// Estimates the requests in flight at a backend server. Without a fresh report it counts as nearly full,
/// never idle.
#[must_use]
pub fn estimated_in_flight(backend: &BackendView, now: Time) -> u32 {
    let fresh = now.since(backend.reported_at) <= MAX_REPORT_AGE;
    match backend.reported_in_flight.filter(|_| fresh) {
        Some(reported) => reported.max(backend.own_in_flight),
        None => backend.own_in_flight.max(backend.slots * 3 / 4),
    }
}

/// Returns how many connections each of `senders` instances may open to one backend server.
///
/// ```
/// use burdock_decide::pick::connection_share;
/// assert_eq!(connection_share(24), 33);
/// assert_eq!(connection_share(10_000), 8);
/// ```
#[must_use]
pub fn connection_share(senders: usize) -> usize {
    (MAX_CONNECTIONS_PER_BACKEND / senders.max(1)).max(MIN_CONNECTIONS_PER_INSTANCE)
}

/// Selects the backend servers that one instance sends to: all of them if each can hold enough connections
/// from every sender, otherwise a subset by rendezvous rank that keeps the fleet under
/// [`MAX_CONNECTIONS_PER_BACKEND`].
pub fn backend_subset<T>(
    own: &str,
    senders: usize,
    backends: impl Iterator<Item = T>,
    id: impl Fn(&T) -> &str,
) -> Vec<T> {
    let mut ranked = rendezvous_order(stable_hash(own.as_bytes(), 3), backends, id);
    let wanted = senders.max(1) * MIN_CONNECTIONS_PER_INSTANCE;
    let kept = (ranked.len() * MAX_CONNECTIONS_PER_BACKEND).div_ceil(wanted);
    ranked.truncate(kept.max(MIN_BACKENDS));
    ranked
}

/// Returns whether this instance probes a backend server. `instances` are those of the region of the backend
/// server.
#[must_use]
pub fn is_assigned_prober<'a>(backend: &str, own: &str, instances: impl Iterator<Item = &'a str>) -> bool {
    let subject = stable_hash(backend.as_bytes(), 4);
    rendezvous_order(subject, instances, |id| id).into_iter().take(PROBERS_PER_BACKEND).any(|id| id == own)
}

// Falls from COLD_FACTOR to zero during ramp-up.
fn cold_penalty(backend: &BackendView, now: Time) -> f64 {
    const COLD_FACTOR: f64 = 3.0;
    let remaining = RAMP_UP_TIME.saturating_sub(now.since(backend.available_since));
    COLD_FACTOR * remaining.as_secs_f64() / RAMP_UP_TIME.as_secs_f64()
}
