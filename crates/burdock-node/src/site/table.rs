//! Table of the registered backend servers and those that may be used now.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use burdock_decide::body_memory::{read_buffer_bytes, receive_buffer_bytes};
use burdock_decide::departure::ReturnVerdict;
use burdock_decide::time::Time;
use burdock_model::prelude::*;
use burdock_model::site::{RegisteredBackend, SiteConfigIndex};
use burdock_model::site_settings::SiteSettings;
use burdock_wire::messages::{ConfirmedRun, HashedAmount, LeavingRun, StatedPace};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::site::backend::Backend;
use crate::site::pace::LearnedPhases;
use crate::site::returns::{Returns, Unconfirmed};

/// Time for which a backend server stays in use after its entry lapsed in an outage of the store. Live
/// backend servers register again within about two seconds of the outage's end.
const LAPSED_ENTRY_RETENTION: Duration = Duration::from_millis(2000);

/// Time for which other instances are told that a backend server is leaving: a few reports, of which some may
/// be lost.
const LEAVING_RELAY_TIME: Duration = Duration::from_millis(3000);

/// Time for which a backend server that is leaving is remembered, far above the time that one takes to leave.
const LEAVING_TTL: Duration = Duration::from_mins(10);

/// Assumed round trip to another region until one is measured, in milliseconds.
const INITIAL_REMOTE_ROUND_TRIP_MS: f64 = 40.0;

/// Assumed round trip within a region until one is measured, in milliseconds.
const INITIAL_LOCAL_ROUND_TRIP_MS: f64 = 1.0;

/// All registered backend servers.
#[derive(Debug)]
pub struct BackendTable {
    regions: Vec<RegionName>,
    own_region: usize,
    memory_bytes: u64,
    report_interval: Duration,
    zones: BTreeMap<ZoneName, RegionName>,
    state: Mutex<State>,
    usable: ArcSwap<UsableBackends>,
    phases: Arc<LearnedPhases>,
    // Notified when an entry comes back after its removal.
    returned: Notify,
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<BackendId, Entry>,
    evacuated: BTreeSet<ZoneName>,
    // When the store was last known to be unreachable.
    store_outage_at: Option<Time>,
    // When most entries last went missing at once after an outage of the store.
    lapsed_at: Option<Time>,
    // The processes of backend servers that said that they are leaving, by run hash, with the time at which the
    // first instance learned it. It outlives their entries, which may be written again late.
    leaving: HashMap<u64, Time>,
    // By it, reports that the store executes late and those of a copy of the store are told from others.
    returns: Returns,
    // When the store last came back from an older copy.
    restored_at: Option<Time>,
    // Zones that were evacuated before that and that were not written again since.
    held_evacuations: BTreeSet<ZoneName>,
    // The list of usable backend servers is out of date.
    is_changed: bool,
}

#[derive(Debug)]
struct Entry {
    backend: Arc<Backend>,
    draining: bool,
    // Store revision and number of the newest report that was applied.
    revision: u64,
    sequence: u64,
    // The entry is missing, and the backend server stays in use until then.
    missing_until: Option<Time>,
    // The entry came back after its removal, and the backend server may have left.
    unconfirmed: Option<Unconfirmed>,
}

/// Immutable list of the backend servers that may be used.
#[derive(Debug, Default)]
pub struct UsableBackends {
    /// Usable backend servers by service.
    pub services: HashMap<ServiceName, Vec<Arc<Backend>>>,
}

impl BackendTable {
    /// Creates an empty table for a deployment's regions.
    #[must_use]
    pub fn new(settings: &SiteSettings) -> Self {
        let regions: BTreeSet<RegionName> = settings.regions.values().cloned().collect();
        let regions: Vec<RegionName> = regions.into_iter().collect();
        let own_region = regions.iter().position(|r| *r == settings.region).unwrap_or(0);
        Self {
            regions,
            own_region,
            memory_bytes: settings.memory_bytes,
            report_interval: settings.bounds.report_interval,
            zones: settings.regions.clone(),
            state: Mutex::default(),
            usable: ArcSwap::default(),
            phases: Arc::default(),
            returned: Notify::new(),
        }
    }

    /// Returns the backend servers that may be used now.
    #[must_use]
    pub fn usable(&self) -> Arc<UsableBackends> {
        self.usable.load_full()
    }

    /// Returns whether a backend server is in the region of this instance.
    #[must_use]
    pub fn is_local(&self, backend: &Backend) -> bool {
        backend.region == self.own_region
    }

    /// Returns all regions in the order of their index.
    #[must_use]
    pub fn regions(&self) -> &[RegionName] {
        &self.regions
    }

    /// Returns the index of the region of this instance.
    #[must_use]
    pub const fn own_region(&self) -> usize {
        self.own_region
    }

    /// Returns the region with an index, as in [`Backend::region`].
    #[must_use]
    pub fn region(&self, ix: usize) -> Option<&RegionName> {
        self.regions.get(ix)
    }

    /// Applies a backend server's entry, or its removal, which the store wrote at `revision`. It takes effect
    /// with [`Self::publish`], so that a batch of entries is published once.
    pub fn apply_entry(
        &self,
        config: &SiteConfigIndex,
        id: &BackendId,
        entry: Option<&RegisteredBackend>,
        revision: u64,
        now: Time,
    ) {
        let mut state = self.state.lock();
        // Pages of a full read may hold newer entries than the changes that are read after it.
        if state.entries.get(id).is_some_and(|known| revision < known.revision) {
            return;
        }
        state.is_changed = true;
        match entry {
            Some(registered) => self.register(&mut state, config, registered, revision, now),
            None => remove(&mut state, id, now),
        }
    }

    /// Publishes the list of usable backend servers if entries have changed.
    pub fn publish(&self) {
        self.publish_changes(&mut self.state.lock());
    }

    /// Records that a backend server said that it is leaving. It gets no further requests, whatever its entry
    /// says, until another process registers under its id.
    pub fn record_leaving(&self, backend: &Backend, now: Time) {
        if backend.mark_leaving() {
            return;
        }
        log::info!(backend = backend.registered.id.as_str(); "backend server says that it is leaving");
        let mut state = self.state.lock();
        state.leaving.insert(backend.run_hash(), now);
        state.is_changed = true;
        self.publish_changes(&mut state);
    }

    /// Returns the backend servers of which any instance learned recently that they are leaving.
    #[must_use]
    pub fn recently_leaving(&self, now: Time) -> Vec<LeavingRun> {
        let state = self.state.lock();
        let ages = state.leaving.iter().map(|(run_hash, at)| (*run_hash, now.since(*at)));
        let recent = ages.filter(|(_, age)| *age < LEAVING_RELAY_TIME);
        let age_ms = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        recent.map(|(run_hash, age)| LeavingRun { run_hash, age_ms: age_ms(age) }).collect()
    }

    /// Merges what another instance learned of backend servers that are leaving.
    pub fn merge_leaving(&self, runs: &[LeavingRun], now: Time) {
        if runs.is_empty() {
            return;
        }
        let mut state = self.state.lock();
        for run in runs {
            let at = now - Duration::from_millis(u64::from(run.age_ms));
            if state.leaving.contains_key(&run.run_hash) || now.since(at) >= LEAVING_TTL {
                continue;
            }
            state.leaving.insert(run.run_hash, at);
            state.is_changed = true;
            let found = state.entries.values().map(|e| &e.backend).find(|b| b.run_hash() == run.run_hash);
            if let Some(backend) = found {
                backend.mark_leaving();
                log::info!(backend = backend.registered.id.as_str(); "backend server is leaving, as another instance learned");
            }
        }
        self.publish_changes(&mut state);
    }

    /// Returns the backend servers whose entries came back after their removal and that are due for a status check,
    /// with the revision of the entry.
    #[must_use]
    pub fn take_due_checks(&self, now: Time) -> Vec<(Arc<Backend>, u64)> {
        let mut state = self.state.lock();
        let State { entries, evacuated, .. } = &mut *state;
        let is_used = |e: &Entry| !is_leaving(e) && !evacuated.contains(&e.backend.registered.zone);
        let waiting = entries.values_mut().filter(|e| e.unconfirmed.is_some() && is_used(e));
        let due = waiting.filter_map(|e| {
            let revision = e.unconfirmed.as_mut()?.take_due_check(now)?;
            Some((Arc::clone(&e.backend), revision))
        });
        due.collect()
    }

    /// Returns whether a backend server waits for a status check.
    #[must_use]
    pub fn has_unconfirmed(&self) -> bool {
        self.state.lock().entries.values().any(|e| e.unconfirmed.is_some())
    }

    /// Waits until an entry comes back after its removal, unless one has since the last call.
    pub async fn wait_for_return(&self) {
        self.returned.notified().await;
    }

    /// Records that a status check found a run of a backend server alive, after its entry of `revision` had been
    /// written.
    pub fn record_confirmed(&self, run_hash: u64, revision: u64, now: Time) {
        let mut state = self.state.lock();
        state.returns.record_confirmed(run_hash, revision, now);
        let State { entries, is_changed, .. } = &mut *state;
        for entry in entries.values_mut().filter(|e| e.backend.run_hash() == run_hash) {
            if entry.unconfirmed.take_if(|u| revision >= u.revision).is_some() {
                log::info!(backend = entry.backend.registered.id.as_str(); "return of a backend server confirmed");
                *is_changed = true;
            }
        }
        self.publish_changes(&mut state);
    }

    /// Returns the backend servers whose return any instance confirmed recently.
    #[must_use]
    pub fn recently_confirmed(&self, now: Time) -> Vec<ConfirmedRun> {
        self.state.lock().returns.recently_confirmed(now)
    }

    /// Merges what another instance learned of backend servers whose entries came back.
    pub fn merge_confirmed(&self, runs: &[ConfirmedRun], now: Time) {
        for run in runs {
            let at = now - Duration::from_millis(u64::from(run.age_ms));
            self.record_confirmed(run.run_hash, run.revision, at);
        }
    }

    /// Sets whether a zone is evacuated. When the evacuation ends, the zone's backend servers count as cold.
    pub fn set_evacuated(&self, config: &SiteConfigIndex, zone: &ZoneName, evacuated: bool, now: Time) {
        let mut state = self.state.lock();
        state.held_evacuations.remove(zone);
        let changed =
            if evacuated { state.evacuated.insert(zone.clone()) } else { state.evacuated.remove(zone) };
        if !changed {
            return;
        }
        log::info!(zone = zone.as_str(), evacuated = evacuated; "evacuation");
        for entry in state.entries.values().filter(|e| !evacuated && e.backend.registered.zone == *zone) {
            entry.backend.mark_cold(cold_time(config, &entry.backend.registered), now);
        }
        state.is_changed = true;
        self.publish_changes(&mut state);
    }

    /// Removes entries and evacuations that a full read of the store did not list.
    pub fn retain_listed(
        &self,
        listed: &BTreeSet<BackendId>,
        evacuated: &BTreeSet<ZoneName>,
        config: &SiteConfigIndex,
        now: Time,
    ) {
        let mut state = self.state.lock();
        let missing: Vec<BackendId> =
            state.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        record_missing(&mut state, missing.len(), now);
        for id in &missing {
            remove(&mut state, id, now);
        }
        state.returns.record_load(now);
        let is_held = |zone: &ZoneName| state.held_evacuations.contains(zone);
        let ended: Vec<ZoneName> =
            state.evacuated.difference(evacuated).filter(|zone| !is_held(zone)).cloned().collect();
        state.is_changed = true;
        self.publish_changes(&mut state);
        drop(state);
        for zone in &ended {
            self.set_evacuated(config, zone, false, now);
        }
    }

    /// Prepares for the first read after the store came back from an older copy. Revisions begin anew, and what the copy
    /// lacks stays in force until it is written again, or for as long as that may take.
    pub fn begin_era(&self, now: Time) {
        let mut state = self.state.lock();
        for entry in state.entries.values_mut() {
            entry.revision = 0;
            if let Some(unconfirmed) = &mut entry.unconfirmed {
                unconfirmed.revision = 0;
            }
        }
        state.restored_at = Some(now);
        state.lapsed_at = Some(now);
        state.held_evacuations = state.evacuated.clone();
        state.returns.begin_era();
    }

    /// Ends the evacuations that a copy of the store did not list and that were not written again in time.
    pub fn end_held_evacuations(&self, config: &SiteConfigIndex, now: Time) {
        let ended = {
            let mut state = self.state.lock();
            let is_due = state.restored_at.is_some_and(|at| now.since(at) >= LAPSED_ENTRY_RETENTION);
            if is_due { std::mem::take(&mut state.held_evacuations) } else { BTreeSet::new() }
        };
        for zone in &ended {
            self.set_evacuated(config, zone, false, now);
        }
    }

    /// Records how many entries will be removed at once, which tells lapsed entries from removed ones.
    pub fn record_missing(&self, count: usize, now: Time) {
        record_missing(&mut self.state.lock(), count, now);
    }

    /// Records that the store is unreachable, or was until now, so that entries which go missing may only
    /// have lapsed.
    pub fn record_store_outage(&self, now: Time) {
        self.state.lock().store_outage_at = Some(now);
    }

    /// Removes lapsed entries that did not come back, and closes connections that are idle for too long.
    pub fn sweep(&self, now: Time) {
        let mut state = self.state.lock();
        let before = state.entries.len();
        let State { entries, returns, .. } = &mut *state;
        entries.retain(|id, entry| {
            let gone = entry.missing_until.is_some_and(|until| now >= until);
            if gone {
                log::info!(backend = id.as_str(); "backend server gone: its lapsed entry did not come back");
                returns.record_departure(&entry.backend.registered, entry.sequence, now);
            }
            !gone
        });
        state.is_changed |= state.entries.len() != before;
        state.leaving.retain(|_, at| now.since(*at) < LEAVING_TTL);
        state.returns.remove_stale(now);
        let State { entries, is_changed, .. } = &mut *state;
        for entry in entries.values_mut() {
            if entry.unconfirmed.take_if(|u| now >= u.until).is_some() {
                log::info!(backend = entry.backend.registered.id.as_str();
                    "backend server used again: its entry stayed after its return");
                *is_changed = true;
            }
        }
        self.publish_changes(&mut state);
        for entry in state.entries.values() {
            entry.backend.pool.close_stale();
        }
    }

    /// Returns the round trip to each region by index, in milliseconds, as measured by the last connections.
    #[must_use]
    pub fn round_trips_ms(&self, backends: &[Arc<Backend>]) -> Vec<f64> {
        let mut measured: Vec<Option<f64>> = vec![None; self.regions.len()];
        for backend in backends {
            let Some(time) = backend.pool.last_connect_time() else {
                continue;
            };
            let ms = time.as_secs_f64() * 1e3;
            let region = &mut measured[backend.region];
            *region = Some(region.map_or(ms, |known| known.min(ms)));
        }
        let initial_ms = |ix: usize| {
            if ix == self.own_region { INITIAL_LOCAL_ROUND_TRIP_MS } else { INITIAL_REMOTE_ROUND_TRIP_MS }
        };
        measured.into_iter().enumerate().map(|(ix, ms)| ms.unwrap_or_else(|| initial_ms(ix))).collect()
    }

    /// Returns this instance's requests in flight at each backend server.
    #[must_use]
    pub fn in_flight(&self) -> Vec<HashedAmount> {
        let state = self.state.lock();
        let busy = state.entries.values().map(|e| &e.backend).filter(|b| b.own_in_flight() > 0);
        #[expect(clippy::cast_precision_loss, reason = "far below the largest exact integer")]
        busy.map(|b| HashedAmount { hash: b.hash(), amount: b.own_in_flight() as f32 }).collect()
    }

    /// Returns the backend servers that this instance measured to be slow, with their service time relative to
    /// the usual one.
    #[must_use]
    pub fn slowness(&self, now: Time) -> Vec<HashedAmount> {
        let state = self.state.lock();
        let backends = state.entries.values().map(|e| &e.backend);
        let measured = backends.filter_map(|b| Some((b.hash(), b.reported_slowness(now)?)));
        #[expect(clippy::cast_possible_truncation, reason = "a ratio needs no more digits")]
        measured.map(|(hash, slowness)| HashedAmount { hash, amount: slowness as f32 }).collect()
    }

    /// Sets how many requests of other instances are in flight at each backend server, and how slow others
    /// measured those that are.
    pub fn set_remote_load(&self, in_flight: &[HashedAmount], slowness: &[HashedAmount]) {
        let by_hash = |amounts: &[HashedAmount]| -> HashMap<u64, f32> {
            amounts.iter().map(|t| (t.hash, t.amount)).collect()
        };
        let (counts, slowness) = (by_hash(in_flight), by_hash(slowness));
        for entry in self.state.lock().entries.values() {
            let count = counts.get(&entry.backend.hash()).copied().unwrap_or(0.0);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a float cast saturates"
            )]
            entry.backend.set_remote_in_flight(count.round() as u32);
            entry.backend.set_remote_slowness(slowness.get(&entry.backend.hash()).copied());
        }
    }

    /// Returns what backend servers stated of their pace that other instances have to know.
    #[must_use]
    pub fn paces(&self, now: Time) -> Vec<StatedPace> {
        self.state.lock().entries.values().filter_map(|e| e.backend.reported_pace(now)).collect()
    }

    /// Records what backend servers stated of their pace to other instances.
    pub fn record_told_paces(&self, paces: &[StatedPace], now: Time) {
        if paces.is_empty() {
            return;
        }
        let paces: HashMap<u64, &StatedPace> = paces.iter().map(|p| (p.backend_hash, p)).collect();
        for entry in self.state.lock().entries.values() {
            if let Some(pace) = paces.get(&entry.backend.hash()) {
                entry.backend.record_told_pace(pace, now);
            }
        }
    }

    /// Returns how many backend servers are expected to be slow now, and the learned length of slow phases.
    #[must_use]
    pub fn slow_backends(&self, now: Time) -> (usize, Duration) {
        /// Expected pace from which a backend server counts as slow.
        const SLOW: f64 = 1.25;
        let state = self.state.lock();
        let count = state.entries.values().filter(|e| e.backend.expected_pace(now) >= SLOW).count();
        (count, self.phases.mean())
    }

    fn register(
        &self,
        state: &mut State,
        config: &SiteConfigIndex,
        registered: &RegisteredBackend,
        revision: u64,
        now: Time,
    ) {
        let Some(region) = self.zones.get(&registered.zone) else {
            log::warn!(backend = registered.id.as_str(), zone = registered.zone.as_str();
                "backend server skipped: its zone is not in the settings");
            return;
        };
        let region = self.regions.iter().position(|r| r == region).unwrap_or(0);
        let known = state.entries.get_mut(&registered.id);
        let came_back = known.is_some();
        let is_outdated = |e: &Entry| e.backend.is_later_process(registered);
        if known.as_deref().is_some_and(is_outdated) {
            log::info!(backend = registered.id.as_str(); "entry of an earlier process skipped");
            return;
        }
        if let Some(entry) = known.filter(|e| e.backend.is_same_process(registered)) {
            // A report that was held up says nothing of the present state.
            if registered.started_ms > 0 && registered.sequence < entry.sequence {
                log::info!(backend = registered.id.as_str(); "earlier report of a backend server skipped");
                return;
            }
            entry.revision = revision;
            entry.sequence = registered.sequence;
            if registered.draining != entry.draining {
                log::info!(backend = registered.id.as_str(), draining = registered.draining; "backend server");
            }
            entry.draining = registered.draining;
            entry.missing_until = None;
            if !registered.remaining_cold_time.is_zero() {
                entry.backend.mark_cold(registered.remaining_cold_time, now);
            }
            return;
        }
        let verdict = if came_back {
            ReturnVerdict::Alive
        } else {
            state.returns.judge(registered, revision, self.report_interval, now)
        };
        let unconfirmed = match verdict {
            ReturnVerdict::Outdated => {
                log::info!(backend = registered.id.as_str(), revision = revision, sequence = registered.sequence;
                    "report of a backend server from before its removal skipped");
                return;
            }
            ReturnVerdict::Unconfirmed { until } => {
                log::info!(backend = registered.id.as_str(), revision = revision, sequence = registered.sequence;
                    "entry of a backend server came back; it waits for a status check");
                self.returned.notify_one();
                Some(Unconfirmed { revision, until, next_check_at: now })
            }
            ReturnVerdict::Alive => None,
        };
        let backend = Arc::new(Backend::new(registered.clone(), region, Arc::clone(&self.phases), now));
        backend.pool.set_max_buffer(read_buffer_bytes(self.memory_bytes));
        if let Some(bytes) = receive_buffer_bytes(self.memory_bytes).filter(|_| self.is_local(&backend)) {
            backend.pool.set_receive_buffer(bytes);
        }
        let cold = if came_back { cold_time(config, registered) } else { Duration::ZERO };
        backend.mark_cold(cold.max(registered.remaining_cold_time), now);
        if state.returns.is_loaded() {
            log::info!(backend = registered.id.as_str(), service = registered.service.as_str(),
                zone = registered.zone.as_str(), again = came_back, sequence = registered.sequence;
                "backend server registered");
        }
        if state.leaving.contains_key(&backend.run_hash()) {
            backend.mark_leaving();
        }
        let entry = Entry {
            backend,
            draining: registered.draining,
            revision,
            sequence: registered.sequence,
            missing_until: None,
            unconfirmed,
        };
        state.entries.insert(registered.id.clone(), entry);
    }

    fn publish_changes(&self, state: &mut State) {
        if !std::mem::take(&mut state.is_changed) {
            return;
        }
        let mut services: HashMap<ServiceName, Vec<Arc<Backend>>> = HashMap::new();
        for entry in state.entries.values() {
            let registered = &entry.backend.registered;
            if is_leaving(entry) || entry.unconfirmed.is_some() || state.evacuated.contains(&registered.zone)
            {
                continue;
            }
            services.entry(registered.service.clone()).or_default().push(Arc::clone(&entry.backend));
        }
        self.usable.store(Arc::new(UsableBackends { services }));
    }
}

// In an outage of the store all entries lapse together. When only some are missing afterwards, this instance
// was cut off from the store and those backend servers left meanwhile.
fn record_missing(state: &mut State, count: usize, now: Time) {
    let recent_outage = state.store_outage_at.is_some_and(|at| now.since(at) < LAPSED_ENTRY_RETENTION);
    if recent_outage && count > 0 && count * 2 >= state.entries.len() {
        log::warn!(missing = count, known = state.entries.len();
            "entries lapsed while the store was unreachable; their backend servers stay in use for now");
        state.lapsed_at = Some(now);
    }
}

fn remove(state: &mut State, id: &BackendId, now: Time) {
    let recently_lapsed = state.lapsed_at.is_some_and(|at| now.since(at) < LAPSED_ENTRY_RETENTION);
    let Some(entry) = state.entries.get_mut(id) else {
        return;
    };
    if recently_lapsed && !entry.draining {
        entry.missing_until.get_or_insert(now + LAPSED_ENTRY_RETENTION);
        return;
    }
    log::info!(backend = id.as_str(), sequence = entry.sequence; "backend server gone");
    state.returns.record_departure(&entry.backend.registered, entry.sequence, now);
    state.entries.remove(id);
}

fn is_leaving(entry: &Entry) -> bool {
    entry.draining || entry.backend.is_leaving()
}

fn cold_time(config: &SiteConfigIndex, registered: &RegisteredBackend) -> Duration {
    config.service(&registered.service).map_or(Duration::ZERO, |ix| config.published.services[ix].cold_time)
}
