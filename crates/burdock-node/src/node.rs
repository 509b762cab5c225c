//! What all parts of one instance share.

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
use crate::limits::Limits;
use crate::observe::counters::Counters;
use crate::once::OnceTable;
pub use crate::phase::Phase;
use crate::phase::PhaseCell;
use crate::settings::InstanceSettings;

/// One running instance.
#[derive(Debug)]
pub struct Node {
    /// Its settings.
    pub settings: InstanceSettings,
    /// Its life.
    pub incarnation: InstanceIncarnation,
    /// Its clock.
    pub clock: Clock,
    /// The configuration in force, with what belongs to it.
    pub active_config: ArcSwap<ActiveConfig>,
    /// Tells streams that the configuration changed.
    pub revision_tx: watch::Sender<Revision>,
    /// The head and blobs that it can pass on.
    pub config: ConfigState,
    /// The other instances.
    pub fleet: Fleet,
    /// Rates and bursts.
    pub limits: Limits,
    /// Requests that may not be repeated.
    pub once: OnceTable,
    /// Requests that crash backend servers.
    pub quarantine: Quarantine,
    /// Bytes to and from other regions.
    pub link_use: LinkUse,
    /// The platform's store.
    pub store: Store,
    /// Calls made to it.
    pub store_calls: Arc<CallBudget>,
    /// Calls to other instances.
    pub peers: PeerClient,
    /// Counters.
    pub counters: Counters,
    phase: PhaseCell,
    in_flight: AtomicUsize,
    last_request_at: AtomicU64,
    bytes_per_request: AtomicU64,
}

/// What a node is made from.
#[derive(Debug)]
pub struct NodeParts {
    /// Its settings.
    pub settings: InstanceSettings,
    /// Its life.
    pub incarnation: Incarnation,
    /// The store.
    pub store: Store,
    /// Counts calls to the store.
    pub store_calls: Arc<CallBudget>,
    /// Calls other instances.
    pub peers: PeerClient,
}

impl Node {
    /// A node that has no configuration yet.
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

    /// How far it is in its life.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Goes on to a phase. It never goes back.
    pub fn advance(&self, phase: Phase) {
        if self.phase.advance(phase) {
            log::info!("phase: {phase:?}");
        }
    }

    /// Requests at work.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// When the last request came.
    #[must_use]
    pub fn last_request_at(&self) -> Time {
        Time(self.last_request_at.load(Ordering::Relaxed))
    }

    /// Mean bytes of a request's and an answer's body together.
    #[must_use]
    pub fn bytes_per_request(&self) -> u64 {
        self.bytes_per_request.load(Ordering::Relaxed)
    }

    /// Takes in the bytes of one request and its answer, which went to a region.
    pub fn record_bytes(&self, region: &RegionName, bytes: u64) {
        const MEAN_WEIGHT: u64 = 16;
        let mean = self.bytes_per_request();
        self.bytes_per_request.store((mean * (MEAN_WEIGHT - 1) + bytes) / MEAN_WEIGHT, Ordering::Relaxed);
        if *region != self.settings.region {
            self.link_use.add(bytes);
        }
    }

    /// Counts a request as at work until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>, now: Time) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.last_request_at.store(now.0, Ordering::Relaxed);
        RequestGuard { node: Arc::clone(self) }
    }
}

/// A request at work.
#[derive(Debug)]
pub struct RequestGuard {
    node: Arc<Node>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
