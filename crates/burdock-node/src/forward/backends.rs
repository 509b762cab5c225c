//! State of each backend server as seen by this instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use burdock_decide::pick::{BackendView, Health};
use burdock_decide::time::{Time, micros};
use burdock_model::ids::{BackendId, RegionName};
use burdock_model::snapshot::Backend;
use parking_lot::Mutex;

use crate::forward::pool::Pool;

/// Mean service time assumed before the first response, in microseconds.
const INITIAL_SERVICE_TIME_US: u64 = 5_000;

/// Divisor of the moving average of the service time: a new sample has a weight of one in this many.
const SERVICE_TIME_SMOOTHING: u64 = 16;

/// A backend server as seen by this instance.
#[derive(Debug)]
pub struct BackendState {
    /// Unique id of the backend server.
    pub id: BackendId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Region in which it runs.
    pub region: RegionName,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Connections to the backend server.
    pub pool: Pool,
    draining: AtomicBool,
    in_flight: AtomicU32,
    // Whether a request that runs alone is in flight.
    is_reserved: AtomicBool,
    in_subset: AtomicBool,
    service_time_us: AtomicU64,
    available_since: AtomicU64,
    health: Mutex<Health>,
    load_report: Mutex<LoadReport>,
}

/// Load that a backend server reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests in flight there, from all instances; `None` before the first report.
    pub in_flight: Option<u32>,
    /// When the report was made.
    pub at: Time,
    /// Whether the backend server accepts new requests.
    pub accepting: bool,
}

impl BackendState {
    /// Creates the state of a backend server that has just come into use.
    #[must_use]
    pub fn new(backend: &Backend, now: Time) -> Self {
        Self {
            id: backend.id.clone(),
            address: backend.address,
            region: backend.region.clone(),
            slots: backend.slots,
            pool: Pool::new(backend.address),
            draining: AtomicBool::new(backend.draining),
            in_flight: AtomicU32::new(0),
            is_reserved: AtomicBool::new(false),
            in_subset: AtomicBool::new(true),
            service_time_us: AtomicU64::new(INITIAL_SERVICE_TIME_US),
            available_since: AtomicU64::new(now.0),
            health: Mutex::default(),
            load_report: Mutex::new(LoadReport { accepting: true, ..LoadReport::default() }),
        }
    }

    /// Returns whether the settings still describe this backend server.
    #[must_use]
    pub fn matches_settings(&self, backend: &Backend) -> bool {
        self.address == backend.address && self.slots == backend.slots && self.region == backend.region
    }

    /// Sets whether operators drain the backend server. The end of a drain starts its ramp-up.
    pub fn set_draining(&self, draining: bool, now: Time) {
        let before = self.draining.swap(draining, Ordering::Relaxed);
        if before && !draining {
            self.available_since.store(now.0, Ordering::Relaxed);
        }
    }

    /// Sets whether this instance sends requests to the backend server, and over how many connections.
    pub fn set_assignment(&self, in_subset: bool, connections: usize) {
        self.in_subset.store(in_subset, Ordering::Relaxed);
        self.pool.set_max_open(connections);
    }

    /// Returns the view that decisions are made from.
    #[must_use]
    pub fn view(&self, now: Time) -> BackendView {
        let report = *self.load_report.lock();
        BackendView {
            slots: self.slots,
            own_in_flight: self.in_flight.load(Ordering::Relaxed),
            reported_in_flight: report.in_flight,
            reported_at: report.at,
            service_time: Duration::from_micros(self.service_time_us.load(Ordering::Relaxed)),
            is_available: self.accepts_requests(now)
                && self.in_subset.load(Ordering::Relaxed)
                && !self.is_reserved.load(Ordering::Relaxed),
            available_since: Time(self.available_since.load(Ordering::Relaxed)),
        }
    }

    /// Returns whether the backend server may get new requests.
    #[must_use]
    pub fn accepts_requests(&self, now: Time) -> bool {
        !self.draining.load(Ordering::Relaxed)
            && self.load_report.lock().accepting
            && self.health.lock().is_available(now)
    }

    /// Counts a request as in flight until the guard is dropped. One that runs alone keeps all others of this
    /// instance away until then.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>, now: Time, runs_alone: bool) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        if runs_alone {
            self.is_reserved.store(true, Ordering::Relaxed);
        }
        InFlight { backend: Arc::clone(self), started_at: now, runs_alone }
    }

    /// Returns how many requests of this instance are in flight at the backend server.
    #[must_use]
    pub fn own_in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records the outcome of a request. Returns whether it ejected the backend server.
    pub fn record_outcome(&self, succeeded: bool, now: Time) -> bool {
        let mut health = self.health.lock();
        if succeeded && health.failures == 0 {
            return false;
        }
        let ejected = health.record_outcome(succeeded, now);
        if ejected {
            self.available_since.store(now.0, Ordering::Relaxed);
        }
        ejected
    }

    /// Records the result of a probe. Returns whether that changed the backend server's reachability.
    pub fn record_probe(&self, reachable: bool, now: Time) -> bool {
        let mut health = self.health.lock();
        let changed = health.is_down_by_probes == reachable;
        health.is_down_by_probes = !reachable;
        if changed && reachable {
            self.available_since.store(now.0, Ordering::Relaxed);
        }
        changed
    }

    /// Records a load report if it is newer than the last one.
    pub fn record_load_report(&self, report: LoadReport) {
        let mut newest = self.load_report.lock();
        if report.at > newest.at {
            *newest = report;
        }
    }

    /// Returns the newest load report.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        *self.load_report.lock()
    }

    fn record_service_time(&self, sample: Duration) {
        let mean = self.service_time_us.load(Ordering::Relaxed);
        let next = (mean * (SERVICE_TIME_SMOOTHING - 1) + micros(sample)) / SERVICE_TIME_SMOOTHING;
        self.service_time_us.store(next.max(1), Ordering::Relaxed);
    }
}

/// Guard that counts a request as in flight at a backend server.
#[derive(Debug)]
pub struct InFlight {
    backend: Arc<BackendState>,
    started_at: Time,
    runs_alone: bool,
}

impl InFlight {
    /// Returns the backend server that runs the request.
    #[must_use]
    pub const fn backend(&self) -> &Arc<BackendState> {
        &self.backend
    }

    /// Records that the response head arrived: the time until then counts as the service time.
    pub fn record_response_head(&self, now: Time) {
        self.backend.record_service_time(now.since(self.started_at));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.backend.in_flight.fetch_sub(1, Ordering::Relaxed);
        if self.runs_alone {
            self.backend.is_reserved.store(false, Ordering::Relaxed);
        }
    }
}
