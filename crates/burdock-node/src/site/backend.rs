//! State of one backend server as seen from this instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use burdock_decide::backoff::backoff_delay;
use burdock_decide::cold;
use burdock_decide::limit::Bucket;
use burdock_decide::place::Candidate;
use burdock_decide::time::Time;
use burdock_model::hash::stable_hash;
use burdock_model::ids::BackendId;
use burdock_model::site::RegisteredBackend;
use burdock_platform::load::StatedLoad;
use burdock_wire::messages::StatedPace;
use parking_lot::Mutex;

use crate::forward::pool::Pool;
use crate::site::name_hash;
use crate::site::pace::{BackendPace, LearnedPhases};

/// Weight of a new measurement in the moving averages.
const SAMPLE_SMOOTHING: f64 = 0.2;

/// Half-life of measurements, so that a backend server that was slow or failing is tried again.
const SAMPLE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Slowness of a backend server that is as fast as usual.
const USUAL_SLOWNESS: f32 = 1.0;

/// Slowness from which other instances are told. Below it measurements scatter by chance.
const MIN_REPORTED_SLOWNESS: f64 = 1.8;

/// Range to which a measured slowness is clamped, since a single request outside it says nothing more.
const SLOWNESS_RANGE: (f64, f64) = (0.7, 25.0);

/// Time for which an unreachable backend server gets no requests, doubled with each further failure.
const INITIAL_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(700);

/// Maximum time for which an unreachable backend server gets no requests.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(3000);

/// Time for which a backend server's own report of its load is used.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(400);

/// A backend server, its connections and its recent behaviour.
#[derive(Debug)]
pub struct Backend {
    /// Entry that the backend server registered.
    pub registered: RegisteredBackend,
    /// Index of the backend server's region in the table.
    pub region: usize,
    /// Connections to the backend server.
    pub pool: Pool,
    hash: u64,
    run_hash: u64,
    is_leaving: AtomicBool,
    in_flight: AtomicU32,
    remote_in_flight: AtomicU32,
    // Bits of an `f32`.
    remote_slowness: AtomicU32,
    slots: AtomicU32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    slowness: f64,
    failure_ratio: f64,
    refusal_ratio: f64,
    sampled_at: Time,
    unavailable_until: Time,
    failures: u32,
    cold_until: Time,
    cold_bucket: Option<Bucket>,
    load_report: Option<(u32, Time)>,
    pace: BackendPace,
    // Until then the backend server wants no requests from this instance.
    turned_away_until: Option<Time>,
}

impl Backend {
    /// Creates the state of a backend server that has just registered.
    #[must_use]
    pub fn new(registered: RegisteredBackend, region: usize, phases: Arc<LearnedPhases>, now: Time) -> Self {
        let state = State {
            slowness: 1.0,
            failure_ratio: 0.0,
            refusal_ratio: 0.0,
            sampled_at: now,
            unavailable_until: now,
            failures: 0,
            cold_until: now,
            cold_bucket: None,
            load_report: None,
            pace: BackendPace::new(phases),
            turned_away_until: None,
        };
        Self {
            pool: Pool::new(registered.address),
            hash: name_hash(registered.id.as_str()),
            run_hash: run_hash(&registered.id, registered.started_ms),
            is_leaving: AtomicBool::new(false),
            region,
            in_flight: AtomicU32::new(0),
            remote_in_flight: AtomicU32::new(0),
            remote_slowness: AtomicU32::new(USUAL_SLOWNESS.to_bits()),
            slots: AtomicU32::new(registered.slots),
            state: Mutex::new(state),
            registered,
        }
    }

    /// Returns whether an entry describes the same run of the backend server's process.
    #[must_use]
    pub fn is_same_process(&self, other: &RegisteredBackend) -> bool {
        let own = &self.registered;
        own.address == other.address
            && own.service == other.service
            && own.zone == other.zone
            && own.slots == other.slots
            && own.started_ms == other.started_ms
    }

    /// Returns whether an entry is of a process that ran before the known one.
    #[must_use]
    pub const fn is_later_process(&self, other: &RegisteredBackend) -> bool {
        other.started_ms < self.registered.started_ms
    }

    /// Returns the hash of the backend server's id and the start of its process.
    #[must_use]
    pub const fn run_hash(&self) -> u64 {
        self.run_hash
    }

    /// Returns a name of this run of the backend server's process. A process that starts again under the same
    /// id has another one, so that a request which crashes both gets two strikes.
    #[must_use]
    pub fn run_id(&self) -> BackendId {
        // Shorter than an id may be, whatever the length of the backend server's own.
        BackendId::new(&format!("run-{:016x}", self.run_hash)).unwrap_or_else(|_| self.registered.id.clone())
    }

    /// Marks that the process is leaving and closes its idle connections. Returns whether that was known.
    pub fn mark_leaving(&self) -> bool {
        let was_leaving = self.is_leaving.swap(true, Ordering::Relaxed);
        self.pool.close_idle();
        was_leaving
    }

    /// Returns whether the process said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Records that the backend server wants no requests from this instance for some time.
    pub fn record_turned_away(&self, wait: Duration, now: Time) {
        let mut state = self.state.lock();
        let until = now + wait;
        state.turned_away_until = Some(state.turned_away_until.map_or(until, |known| known.max(until)));
    }

    /// Returns the time until which the backend server wants no requests from this instance, if it said one
    /// and has taken no request since.
    #[must_use]
    pub fn turned_away_until(&self) -> Option<Time> {
        self.state.lock().turned_away_until
    }

    /// Returns whether this instance may send a request now: the process is not leaving and has not turned
    /// the instance away. `begun` is the number of the instance's requests there that have begun before.
    #[must_use]
    pub fn accepts(&self, begun: u32, now: Time) -> bool {
        // Once the time has passed, a single request finds out whether the backend server takes more.
        !self.is_leaving() && self.turned_away_until().is_none_or(|until| now >= until && begun == 0)
    }

    /// Marks the backend server as cold for at least `cold_time` from now.
    pub fn mark_cold(&self, cold_time: Duration, now: Time) {
        let mut state = self.state.lock();
        state.cold_until = state.cold_until.max(now + cold_time);
    }

    /// Returns whether the backend server counts as cold.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.state.lock().cold_until
    }

    /// Takes a token to send one request while the backend server is cold, from this instance's share of
    /// `rate`, in requests a second.
    #[must_use]
    pub fn take_cold_token(&self, rate: f64, now: Time) -> bool {
        let allotment = cold::sender_allotment(rate);
        let mut state = self.state.lock();
        let bucket = state.cold_bucket.get_or_insert_with(|| Bucket::new(allotment, now));
        bucket.set_allotment(allotment, now);
        bucket.take(now)
    }

    /// Returns the backend server as a placement candidate for a request.
    #[must_use]
    pub fn candidate(&self, is_local: bool, round_trip_ms: f64, is_open: bool, now: Time) -> Candidate {
        let own = self.in_flight.load(Ordering::Relaxed);
        let state = self.state.lock();
        let age = now.since(state.sampled_at).as_secs_f64();
        let remaining = 0.5_f64.powf(age / SAMPLE_HALF_LIFE.as_secs_f64());
        let reported =
            state.load_report.filter(|(_, at)| now.since(*at) < LOAD_REPORT_TTL).map_or(0, |(n, _)| n);
        let remote_in_flight = self.remote_in_flight.load(Ordering::Relaxed);
        let is_turned_away = state.turned_away_until.is_some_and(|until| now < until || own > 0);
        Candidate {
            id_hash: self.hash,
            is_local,
            region: self.region,
            round_trip_ms,
            slots: self.slots(),
            load: own.saturating_add(remote_in_flight.max(reported)),
            slowness: (1.0 + (state.slowness - 1.0) * remaining)
                .max(self.remote_slowness())
                .max(state.pace.expected(now)),
            failure_ratio: state.failure_ratio * remaining,
            refusal_ratio: state.refusal_ratio * remaining,
            is_warm: false,
            is_available: is_open && now >= state.unavailable_until && !is_turned_away,
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { backend: Arc::clone(self) }
    }

    /// Returns the hash of the backend server's id.
    #[must_use]
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns how many requests of this instance are in flight at the backend server.
    #[must_use]
    pub fn own_in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Sets how many requests of other instances are in flight at the backend server.
    pub fn set_remote_in_flight(&self, count: u32) {
        self.remote_in_flight.store(count, Ordering::Relaxed);
    }

    /// Returns the measured service time relative to the usual one if it is slow enough to tell others.
    #[must_use]
    pub fn reported_slowness(&self, now: Time) -> Option<f64> {
        let state = self.state.lock();
        let age = now.since(state.sampled_at);
        let remaining = 0.5_f64.powf(age.as_secs_f64() / SAMPLE_HALF_LIFE.as_secs_f64());
        let slowness = 1.0 + (state.slowness - 1.0) * remaining;
        (slowness >= MIN_REPORTED_SLOWNESS).then_some(slowness)
    }

    /// Sets how slow other instances measured the backend server, `None` if none found it slow.
    pub fn set_remote_slowness(&self, slowness: Option<f32>) {
        let slowness = slowness.filter(|s| s.is_finite()).unwrap_or(USUAL_SLOWNESS);
        self.remote_slowness.store(slowness.max(USUAL_SLOWNESS).to_bits(), Ordering::Relaxed);
    }

    fn remote_slowness(&self) -> f64 {
        f64::from(f32::from_bits(self.remote_slowness.load(Ordering::Relaxed)))
    }

    /// Returns how many requests the backend server runs at once, as it last stated or registered.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// Records what the backend server stated of its load.
    pub fn record_load(&self, load: &StatedLoad, now: Time) {
        if let Some(slots) = load.slots {
            let known = self.slots.swap(slots, Ordering::Relaxed);
            if known != slots {
                log::info!(backend = self.registered.id.as_str(), slots = slots, known = known;
                    "backend server states other slots");
            }
        }
        let total = load.running.saturating_add(load.waiting);
        let others = total.saturating_sub(self.own_in_flight());
        let mut state = self.state.lock();
        state.load_report = Some((others, now));
        if let Some(pace) = load.pace {
            state.pace.record_own(pace, now);
        }
    }

    /// Returns what the backend server stated of its pace, if other instances have to know it.
    #[must_use]
    pub fn reported_pace(&self, now: Time) -> Option<StatedPace> {
        self.state.lock().pace.reported(self.hash, now)
    }

    /// Records what the backend server stated to another instance.
    pub fn record_told_pace(&self, pace: &StatedPace, now: Time) {
        let at = now - Duration::from_millis(u64::from(pace.age_ms));
        self.state.lock().pace.record_told(f64::from(pace.percent) / 100.0, at);
    }

    /// Returns the time that work is expected to take there now, relative to the usual time.
    #[must_use]
    pub fn expected_pace(&self, now: Time) -> f64 {
        self.state.lock().pace.expected(now)
    }

    /// Records an answer: its time relative to the expected one, and whether it was a success.
    pub fn record_answer(&self, slowness: f64, is_success: bool, now: Time) {
        let mut state = self.state.lock();
        let (min, max) = SLOWNESS_RANGE;
        // A slow phase that the backend server states ends with it, and must not count for longer.
        let slowness = slowness.min((slowness / state.pace.expected(now).max(1.0)).max(1.0));
        state.slowness += (slowness.clamp(min, max) - state.slowness) * SAMPLE_SMOOTHING;
        state.failure_ratio += (f64::from(u8::from(!is_success)) - state.failure_ratio) * SAMPLE_SMOOTHING;
        state.refusal_ratio -= state.refusal_ratio * SAMPLE_SMOOTHING;
        state.sampled_at = now;
        state.failures = 0;
        state.turned_away_until = state.turned_away_until.filter(|until| now < *until);
    }

    /// Records that an answer is missing after `factor` times the expected time.
    pub fn record_overdue(&self, factor: f64, now: Time) {
        let mut state = self.state.lock();
        state.slowness += (factor - state.slowness).max(0.0) * SAMPLE_SMOOTHING;
        state.sampled_at = now;
    }

    /// Records a refusal by a full or failing backend server.
    pub fn record_refusal(&self, now: Time) {
        let mut state = self.state.lock();
        state.refusal_ratio += (1.0 - state.refusal_ratio) * SAMPLE_SMOOTHING;
        state.sampled_at = now;
    }

    /// Records that the backend server could not be reached or broke a connection. It may have restarted by
    /// the time it answers again, so it counts as cold for `cold_time` after the back-off.
    pub fn record_unreachable(&self, cold_time: Duration, now: Time) {
        // No jitter: the first request after the back-off finds out for this instance alone.
        const FULL_DELAY: f64 = 1.0;
        let mut state = self.state.lock();
        state.failures += 1;
        let backoff =
            backoff_delay(state.failures, INITIAL_UNREACHABLE_BACKOFF, MAX_UNREACHABLE_BACKOFF, FULL_DELAY);
        state.unavailable_until = now + backoff;
        state.cold_until = state.cold_until.max(state.unavailable_until + cold_time);
    }

    /// Records an answer that broke off. It only raises the failure ratio, since it says little about the
    /// backend server itself.
    pub fn record_broken_answer(&self, now: Time) {
        let mut state = self.state.lock();
        state.failure_ratio += (1.0 - state.failure_ratio) * SAMPLE_SMOOTHING;
        state.sampled_at = now;
    }
}

/// Returns the hash of a backend server's id and of the start of its process, which names one run of it.
#[must_use]
pub fn run_hash(id: &BackendId, started_ms: u64) -> u64 {
    stable_hash(id.as_str().as_bytes(), started_ms)
}

/// Guard that counts a request as in flight at a backend server.
#[derive(Debug)]
pub struct InFlight {
    backend: Arc<Backend>,
}

impl InFlight {
    /// Returns the backend server that runs the request.
    #[must_use]
    pub const fn backend(&self) -> &Arc<Backend> {
        &self.backend
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.backend.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
