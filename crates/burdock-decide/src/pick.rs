//! Which backend server of a region takes a request.

use std::time::Duration;

use burdock_model::hash::{ranked, stable};

use crate::time::Time;

/// A load report older than this counts as unknown.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(3000);

/// How long a backend server that came back gets less than its part.
pub const RAMP_UP_TIME: Duration = Duration::from_secs(10);

/// Outcomes in a row that overrule a health endpoint which says all is well.
pub const FAILURES_TO_EJECT: u32 = 3;

/// How long a backend server ejected by outcomes is left alone.
pub const EJECTION_TIME: Duration = Duration::from_millis(2000);

/// Probers for each backend server.
pub const PROBERS_PER_BACKEND: usize = 2;

/// Connections that a backend server holds, all instances together.
pub const MAX_CONNECTIONS_PER_BACKEND: usize = 800;

/// The fewest connections that serve a backend server well from one instance.
const MIN_CONNECTIONS_PER_INSTANCE: usize = 8;

/// The fewest backend servers that an instance sends to, so that one can fail.
const MIN_BACKENDS: usize = 2;

/// What an instance knows of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct BackendView {
    /// Slots it works with.
    pub slots: u32,
    /// Requests this instance has there.
    pub own_in_flight: u32,
    /// Requests there by its newest report.
    pub reported: Option<u32>,
    /// When that report was made.
    pub reported_at: Time,
    /// Mean time that it works on a request.
    pub service_time: Duration,
    /// It takes new work: not draining, not ejected, not out by probes.
    pub is_available: bool,
    /// When it last came into use; the ramp starts there.
    pub available_since: Time,
}

/// What this instance remembers of a backend server's outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Health {
    /// Failures in a row seen by requests.
    pub failures: u32,
    /// No new work before this time.
    pub ejected_until: Time,
    /// The probers say that it is out.
    pub is_down_by_probes: bool,
}

impl Health {
    /// Takes in the outcome of a request. Returns whether the backend server is newly ejected.
    pub fn record_outcome(&mut self, good: bool, now: Time) -> bool {
        if good {
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

    /// Whether new work may go there.
    #[must_use]
    pub fn is_available(&self, now: Time) -> bool {
        !self.is_down_by_probes && now >= self.ejected_until
    }
}

/// Picks the backend server with the least expected time, by what this instance itself has there and saw of
/// it. Returns an index into `backends`.
///
/// Load reports are not used here: they are older than a request takes, and every instance that follows the
/// same old report sends its requests to the same place. `tried` are indices that must not be taken again.
/// `random` is uniform over all `u64` and decides ties.
///
/// ```
/// use burdock_decide::pick::*;
/// use burdock_decide::time::Time;
/// use std::time::Duration;
/// let idle = BackendView { slots: 6, own_in_flight: 0, reported: None, reported_at: Time(0),
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
    usable.min_by_key(|ix| expected_time(&backends[*ix], now))
}

/// The time to expect at a backend server: its working time for each request from here, one more included,
/// and for each slot; more while it is cold.
#[must_use]
pub fn expected_time(backend: &BackendView, now: Time) -> Duration {
    const MICRO_SLOTS: u32 = 1000;
    let requests = backend.own_in_flight + 1;
    let warm = backend.service_time * requests * MICRO_SLOTS / backend.slots.max(1);
    warm + warm.mul_f64(cold_penalty(backend, now))
}

/// Requests to assume at a backend server. A report that is too old counts as nearly full, never idle.
#[must_use]
pub fn estimated_in_flight(backend: &BackendView, now: Time) -> u32 {
    let fresh = now.since(backend.reported_at) <= MAX_REPORT_AGE;
    match backend.reported.filter(|_| fresh) {
        Some(reported) => reported.max(backend.own_in_flight),
        None => backend.own_in_flight.max(backend.slots * 3 / 4),
    }
}

/// Connections that one instance may have to one backend server, when so many instances send to it.
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

/// The backend servers that one instance sends to: all of them while each can hold enough connections from
/// every sender, else a part by rendezvous rank, so that the fleet stays under [`MAX_CONNECTIONS_PER_BACKEND`].
pub fn backend_subset<T>(
    own: &str,
    senders: usize,
    backends: impl Iterator<Item = T>,
    id: impl Fn(&T) -> &str,
) -> Vec<T> {
    let mut ranked = ranked(stable(own.as_bytes(), 3), backends, id);
    let wanted = senders.max(1) * MIN_CONNECTIONS_PER_INSTANCE;
    let kept = (ranked.len() * MAX_CONNECTIONS_PER_BACKEND).div_ceil(wanted);
    ranked.truncate(kept.max(MIN_BACKENDS));
    ranked
}

/// Whether this instance is one of a backend server's probers. `instances` are those of its region.
#[must_use]
pub fn is_assigned_prober<'a>(backend: &str, own: &str, instances: impl Iterator<Item = &'a str>) -> bool {
    let subject = stable(backend.as_bytes(), 4);
    ranked(subject, instances, |id| id).into_iter().take(PROBERS_PER_BACKEND).any(|id| id == own)
}

// From COLD_FACTOR down to nothing while the ramp lasts.
fn cold_penalty(backend: &BackendView, now: Time) -> f64 {
    const COLD_FACTOR: f64 = 3.0;
    let left = RAMP_UP_TIME.saturating_sub(now.since(backend.available_since));
    COLD_FACTOR * left.as_secs_f64() / RAMP_UP_TIME.as_secs_f64()
}
