//! State that all parts of one instance share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use burdock_decide::time::Time;
use burdock_model::ids::{Incarnation, InstanceIncarnation, RegionName, Revision};
use burdock_platform::budget::CallBudget;
use burdock_platform::store::Store;
use burdock_wire::client::PeerClient;
use tokio::sync::watch;

use crate::active_config::ActiveConfig;
use crate::clock::Clock;
use crate::fleet::Fleet;
use crate::fleet::install::ConfigState;
use crate::forward::link_use::LinkUse;
use crate::forward::quarantine::Quarantine;
use crate::hedging::HedgeState;
use crate::limits::Limits;
use crate::observe::counters::Counters;
use crate::once::OnceTable;
pub use crate::phase::Phase;
use crate::phase::PhaseCell;
use crate::settings::InstanceSettings;

/// One running instance.
#[derive(Debug)]
pub struct Node {
    /// Settings file, as read at the start.
    pub settings: InstanceSettings,
    /// Instance id and incarnation of this process.
    pub incarnation: InstanceIncarnation,
    /// Monotonic clock of this process.
    pub clock: Clock,
    /// Configuration in force and the running state of its services.
    pub active_config: ArcSwap<ActiveConfig>,
    /// Sends each revision that takes effect, so that streams recheck their keys.
    pub revision_tx: watch::Sender<Revision>,
    /// Stored head and blobs that this instance can send to others.
    pub config: ConfigState,
    /// Membership of the fleet and contact with it.
    pub fleet: Fleet,
    /// Token buckets of organisations.
    pub limits: Limits,
    /// Idempotency keys of requests that may not be repeated.
    pub once: OnceTable,
    /// Quarantine of requests that crashed backend servers.
    pub quarantine: Quarantine,
    /// Credit and recent times for second copies of requests.
    pub hedging: HedgeState,
    /// Bytes exchanged with other regions.
    pub link_use: LinkUse,
    /// Client of the platform's store.
    pub store: Store,
    /// Budget and count of calls to the store.
    pub store_calls: Arc<CallBudget>,
    /// Client for calls to other instances.
    pub peers: PeerClient,
    /// Counters for metrics.
    pub counters: Counters,
    phase: PhaseCell,
    in_flight: AtomicUsize,
    last_request_at: AtomicU64,
    bytes_per_request: AtomicU64,
}

/// Arguments of [`Node::new`].
#[derive(Debug)]
pub struct NodeParts {
    /// Settings file, as read at the start.
    pub settings: InstanceSettings,
    /// Incarnation number of this process.
    pub incarnation: Incarnation,
    /// Client of the platform's store.
    pub store: Store,
    /// Budget and count of calls to the store.
    pub store_calls: Arc<CallBudget>,
    /// Client for calls to other instances.
    pub peers: PeerClient,
}

impl Node {
    /// Creates an instance that has no configuration yet.
    #[must_use]
    pub fn new(parts: NodeParts) -> Self {
        let incarnation =
            InstanceIncarnation { instance: parts.settings.instance.clone(), incarnation: parts.incarnation };
        let clock = Clock::start();
        let fleet = Fleet::new(&incarnation, &parts.settings, clock.now());
        Self {
            incarnation,
            clock,
            active_config: ArcSwap::from_pointee(ActiveConfig::empty()),
            revision_tx: watch::Sender::new(Revision(0)),
            config: ConfigState::default(),
            fleet,
            limits: Limits::default(),
            once: OnceTable::default(),
            quarantine: Quarantine::default(),
            hedging: HedgeState::default(),
            link_use: LinkUse::default(),
            store: parts.store,
            store_calls: parts.store_calls,
            peers: parts.peers,
            counters: Counters::default(),
            phase: PhaseCell::default(),
            in_flight: AtomicUsize::new(0),
            last_request_at: AtomicU64::new(0),
            bytes_per_request: AtomicU64::new(0),
            settings: parts.settings,
        }
    }

    /// Returns the current phase of the process.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Advances to a phase and logs the change. An earlier phase than the current one has no effect.
    pub fn advance(&self, phase: Phase) {
        if self.phase.advance(phase) {
            log::info!("phase: {phase:?}");
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the time at which the last request arrived.
    #[must_use]
    pub fn last_request_at(&self) -> Time {
        Time(self.last_request_at.load(Ordering::Relaxed))
    }

    /// Returns the moving average of the bytes in a request's and its response's bodies together.
    #[must_use]
    pub fn bytes_per_request(&self) -> u64 {
        self.bytes_per_request.load(Ordering::Relaxed)
    }

    /// Records the body bytes of one request that went to a region, and of its response.
    pub fn record_bytes(&self, region: &RegionName, bytes: u64) {
        const MEAN_SMOOTHING: u64 = 16;
        let mean = self.bytes_per_request();
        self.bytes_per_request
            .store((mean * (MEAN_SMOOTHING - 1) + bytes) / MEAN_SMOOTHING, Ordering::Relaxed);
        if *region != self.settings.region {
            self.link_use.record_bytes(bytes);
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>, now: Time) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.last_request_at.store(now.0, Ordering::Relaxed);
        RequestGuard { node: Arc::clone(self) }
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    node: Arc<Node>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
