//! Membership of the fleet, and this instance's contact with the store and the other instances.

pub mod exchange;
pub mod install;
pub mod probe;
pub mod split;
pub mod watch;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use burdock_decide::connectivity::{
    CHANGE_TIMEOUT, ContactStatus, ContactView, evaluate_contact, majority_contact_at, may_take_over,
};
use burdock_decide::membership::{
    HeartbeatSource, Member, MemberState, build_digest, id_hash, member_state, record_heartbeat,
};
use burdock_decide::time::Time;
use burdock_model::fleet::{Heartbeat, Succession};
use burdock_model::ids::{ChangeId, InstanceId, InstanceIncarnation, RegionName, Revision, ZoneName};
use burdock_platform::store::ListedInstance;
use parking_lot::Mutex;

use crate::settings::InstanceSettings;

/// Time for which the successor of a departed instance is remembered.
const SUCCESSION_TTL: Duration = Duration::from_secs(3600);

/// Maximum number of successions in one message.
const MAX_SUCCESSIONS: usize = 64;

/// The known instances, and how recently this one had contact with them and with the store.
#[derive(Debug)]
pub struct Fleet {
    own: InstanceIncarnation,
    started_at: Time,
    state: Mutex<State>,
    view: ArcSwap<FleetView>,
    contact: ContactTimes,
}

// Inputs of the contact status, readable without a lock. A time of zero means never; `members` is a count,
// and the others are flags of 0 or 1.
#[derive(Debug, Default)]
struct ContactTimes {
    store_confirmed_at: AtomicU64,
    majority_contact_at: AtomicU64,
    change_pending: AtomicU64,
    members: AtomicU64,
    superseded: AtomicU64,
    listed: AtomicU64,
}

#[derive(Debug)]
struct State {
    members: Vec<Member>,
    addresses: HashMap<InstanceId, Addresses>,
    loads: HashMap<InstanceId, u32>,
    successions: Vec<(Succession, Time)>,
    pending_changes: Vec<(ChangeId, Time)>,
}

#[derive(Clone, Copy, Debug)]
struct Addresses {
    callers: SocketAddr,
    peers: SocketAddr,
}

/// Immutable view of the fleet, read by requests without a lock.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// All known instances, including this one.
    pub entries: Vec<Entry>,
}

/// One instance in a [`FleetView`].
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its newest known incarnation.
    pub incarnation: InstanceIncarnation,
    /// Region that it runs in.
    pub region: RegionName,
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// State by its heartbeats.
    pub member_state: MemberState,
    /// Load in thousandths of its capacity.
    pub load_per_mille: u32,
    /// Revision of the configuration that it has in force.
    pub revision: Revision,
}

impl FleetView {
    fn has_same_peers(&self, other: &Self) -> bool {
        let peer = |e: &Entry| (e.incarnation.clone(), e.peer_address);
        self.entries.iter().map(peer).eq(other.entries.iter().map(peer))
    }
}

impl Fleet {
    /// Creates a fleet that consists of this instance only.
    #[must_use]
    pub fn new(own: &InstanceIncarnation, settings: &InstanceSettings, now: Time) -> Self {
        let member = Member {
            id: own.instance.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            incarnation: own.incarnation,
            heartbeat: 1,
            heartbeat_at: now,
            incarnation_seen_at: now,
            confirmed_at: Some(now),
            revision: Revision(0),
            leaving: false,
            listed: true,
            change_pending: false,
        };
        let addresses = Addresses { callers: settings.listen.callers, peers: settings.listen.peers };
        let state = State {
            members: vec![member],
            addresses: HashMap::from([(own.instance.clone(), addresses)]),
            loads: HashMap::new(),
            successions: Vec::new(),
            pending_changes: Vec::new(),
        };
        let fleet = Self {
            own: own.clone(),
            started_at: now,
            state: Mutex::new(state),
            view: ArcSwap::default(),
            contact: ContactTimes::default(),
        };
        fleet.refresh(now);
        fleet
    }

    /// Returns the current view of the fleet.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Evaluates this instance's contact with the store and the majority of the fleet.
    #[must_use]
    pub fn contact(&self, now: Time) -> ContactStatus {
        evaluate_contact(&self.contact_view(now))
    }

    /// Returns whether this instance may accept a change or take over what another instance held.
    ///
    /// An instance that the platform's list does not contain yet may not: others don't count it as a member,
    /// and it may not know of them.
    #[must_use]
    pub fn may_take_over(&self, now: Time) -> bool {
        self.contact.listed.load(Ordering::Acquire) != 0 && may_take_over(&self.contact_view(now))
    }

    /// Returns the time of the latest store state that is known here.
    #[must_use]
    pub fn store_confirmed_at(&self) -> Option<Time> {
        load_time(&self.contact.store_confirmed_at)
    }

    /// Records that the store's state as of this time is known here.
    pub fn record_store_confirmed(&self, at: Time) {
        self.contact.store_confirmed_at.fetch_max(at.0, Ordering::AcqRel);
    }

    /// Tracks an announced change. Until it is settled, contact that does not include the store counts as
    /// lost.
    pub fn track_change(&self, id: &ChangeId, now: Time) {
        self.state.lock().pending_changes.push((id.clone(), now));
        self.refresh(now);
    }

    /// Stops tracking changes that are settled: in force here, or certainly not written.
    pub fn remove_settled_changes(&self, is_settled: impl Fn(&ChangeId) -> bool, now: Time) {
        self.state.lock().pending_changes.retain(|(id, _)| !is_settled(id));
        self.refresh(now);
    }

    /// Applies the platform's list of instances. Unlisted instances are kept while their heartbeats arrive.
    /// Returns whether the set of reachable incarnations and addresses changed.
    pub fn apply_instance_list(&self, list: &[ListedInstance], now: Time) -> bool {
        let listed = list.iter().any(|l| l.id == self.own.instance.as_str());
        self.contact.listed.store(u64::from(listed), Ordering::Release);
        let mut state = self.state.lock();
        for member in &mut state.members {
            member.listed = member.id == self.own.instance;
        }
        for listed in list {
            state.apply_listed(listed, now);
        }
        drop(state);
        self.refresh(now)
    }

    /// Records heartbeats received from another instance. Returns whether the set of reachable incarnations
    /// and addresses changed.
    pub fn record_heartbeats(&self, heartbeats: &[Heartbeat], source: HeartbeatSource, now: Time) -> bool {
        let mut state = self.state.lock();
        let by_hash: HashMap<u32, usize> =
            state.members.iter().enumerate().map(|(ix, m)| (id_hash(&m.id), ix)).collect();
        for heartbeat in heartbeats {
            let Some(member) = by_hash.get(&heartbeat.id_hash).map(|ix| &mut state.members[*ix]) else {
                continue;
            };
            if member.id != self.own.instance {
                record_heartbeat(member, heartbeat, source);
            } else if heartbeat.incarnation > self.own.incarnation {
                self.contact.superseded.store(1, Ordering::Release);
            }
        }
        drop(state);
        self.refresh(now)
    }

    /// Increments this instance's own heartbeat and updates its own member entry.
    pub fn advance_heartbeat(&self, revision: Revision, leaving: bool, now: Time) {
        let mut state = self.state.lock();
        let confirmed = self.store_confirmed_at();
        state.pending_changes.retain(|(_, at)| confirmed.is_none_or(|c| c <= *at + CHANGE_TIMEOUT));
        let pending = state.own_change_pending(confirmed);
        let own = state.members.iter_mut().find(|m| m.id == self.own.instance);
        if let Some(own) = own {
            own.heartbeat += 1;
            own.heartbeat_at = now;
            own.revision = revision;
            own.leaving |= leaving;
            own.change_pending = pending;
        }
        drop(state);
        self.refresh(now);
    }

    /// Returns a copy of the member list, for selecting gossip partners and watchers.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.state.lock().members.clone()
    }

    /// Builds the digest of a gossip round, with at most `limit` heartbeats.
    #[must_use]
    pub fn digest(&self, limit: usize, random: u64, now: Time) -> Vec<Heartbeat> {
        build_digest(&self.state.lock().members, limit, random, now)
    }

    /// Records the load of another instance, in thousandths of its capacity.
    pub fn record_load(&self, id: &InstanceId, per_mille: u32) {
        self.state.lock().loads.insert(id.clone(), per_mille);
    }

    /// Returns the address at which other instances reach an instance.
    #[must_use]
    pub fn peer_address(&self, id: &InstanceId) -> Option<SocketAddr> {
        self.state.lock().addresses.get(id).map(|a| a.peers)
    }

    /// Returns the time since the latest heartbeat of an incarnation.
    ///
    /// A newer incarnation of the same instance says nothing about an older one, which may only be paused, so
    /// an older incarnation counts as silent since the newer one was first seen. An unknown incarnation
    /// counts as silent since this instance started.
    #[must_use]
    pub fn silent_time(&self, incarnation: &InstanceIncarnation, now: Time) -> Duration {
        if *incarnation == self.own {
            return Duration::ZERO;
        }
        let state = self.state.lock();
        let member = state.members.iter().find(|m| m.id == incarnation.instance);
        let silent_since = match member.map(|m| (m, m.incarnation.cmp(&incarnation.incarnation))) {
            Some((m, std::cmp::Ordering::Equal)) => m.heartbeat_at,
            Some((m, std::cmp::Ordering::Greater)) => m.incarnation_seen_at,
            Some((_, std::cmp::Ordering::Less)) | None => self.started_at,
        };
        now.since(silent_since)
    }

    /// Returns whether a newer incarnation of this instance was seen, in which case this one must stop.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.contact.superseded.load(Ordering::Acquire) != 0
    }

    /// Finds the successor of a departed incarnation, following successors that have departed themselves.
    #[must_use]
    pub fn successor(&self, incarnation: &InstanceIncarnation) -> Option<InstanceIncarnation> {
        const MAX_CHAIN_LENGTH: usize = 16;
        let state = self.state.lock();
        let next = |of: &InstanceIncarnation| {
            state.successions.iter().rev().find(|(s, _)| s.departed == *of).map(|(s, _)| &s.successor)
        };
        let mut found = next(incarnation)?;
        for _ in 0..MAX_CHAIN_LENGTH {
            match next(found) {
                Some(further) => found = further,
                None => break,
            }
        }
        Some(found.clone())
    }

    /// Records successors of departed instances.
    pub fn record_successions(&self, received: Vec<Succession>, now: Time) {
        let mut state = self.state.lock();
        for succession in received {
            if !state.successions.iter().any(|(known, _)| *known == succession) {
                state.successions.push((succession, now));
            }
        }
        state.successions.retain(|(_, at)| now.since(*at) < SUCCESSION_TTL);
    }

    /// Returns the newest successions to send to other instances, newest last.
    #[must_use]
    pub fn successions(&self) -> Vec<Succession> {
        let state = self.state.lock();
        let first = state.successions.len().saturating_sub(MAX_SUCCESSIONS);
        state.successions[first..].iter().map(|(s, _)| s.clone()).collect()
    }

    fn contact_view(&self, now: Time) -> ContactView {
        ContactView {
            now,
            store_confirmed_at: self.store_confirmed_at(),
            majority_contact_at: load_time(&self.contact.majority_contact_at),
            members: usize::try_from(self.contact.members.load(Ordering::Acquire)).unwrap_or(usize::MAX),
            change_pending: self.contact.change_pending.load(Ordering::Acquire) != 0,
        }
    }

    // Recomputes the view and the contact times that are read without a lock. Returns whether the set of
    // reachable incarnations and addresses changed.
    fn refresh(&self, now: Time) -> bool {
        let mut state = self.state.lock();
        let count = state.members.len();
        state.members.retain(|m| member_state(m, count, now) != MemberState::Gone);
        let others = state.members.iter().filter(|m| m.id != self.own.instance);
        let mut confirmations: Vec<Option<Time>> = others.map(|m| m.confirmed_at).collect();
        let majority = majority_contact_at(now, &mut confirmations);
        let pending = state.change_pending(self.store_confirmed_at(), now);
        let view = state.view(now);
        drop(state);
        self.contact.majority_contact_at.store(majority.map_or(0, |t| t.0), Ordering::Release);
        self.contact.change_pending.store(u64::from(pending), Ordering::Release);
        self.contact.members.store(view.entries.len() as u64, Ordering::Release);
        let changed = !view.has_same_peers(&self.view());
        self.view.store(Arc::new(view));
        changed
    }
}

impl State {
    fn apply_listed(&mut self, listed: &ListedInstance, now: Time) {
        let names =
            (InstanceId::new(&listed.id), RegionName::new(&listed.region), ZoneName::new(&listed.zone));
        let (Ok(id), Ok(region), Ok(zone)) = names else {
            log::warn!("ignored a malformed instance in the platform's list: {listed:?}");
            return;
        };
        let addresses = Addresses { callers: listed.address, peers: listed.peer_address };
        self.addresses.insert(id.clone(), addresses);
        if let Some(member) = self.members.iter_mut().find(|m| m.id == id) {
            member.listed = true;
            member.leaving |= listed.leaving;
            return;
        }
        self.members.push(Member {
            id,
            region,
            zone,
            incarnation: burdock_model::ids::Incarnation(0),
            heartbeat: 0,
            heartbeat_at: now,
            incarnation_seen_at: now,
            confirmed_at: None,
            revision: Revision(0),
            leaving: listed.leaving,
            listed: true,
            change_pending: false,
        });
    }

    // A change is pending while one announced here, or at a member that is not suspect, is not settled.
    fn change_pending(&self, store_confirmed_at: Option<Time>, now: Time) -> bool {
        let count = self.members.len();
        let announced = self
            .members
            .iter()
            .any(|m| m.change_pending && member_state(m, count, now) != MemberState::Suspect);
        announced || self.own_change_pending(store_confirmed_at)
    }

    // An announced change counts as settled once the store's state is known as of a time by which the change
    // must have been written.
    fn own_change_pending(&self, store_confirmed_at: Option<Time>) -> bool {
        let settled = |at: Time| store_confirmed_at.is_some_and(|c| c > at + CHANGE_TIMEOUT);
        self.pending_changes.iter().any(|(_, at)| !settled(*at))
    }

    fn view(&self, now: Time) -> FleetView {
        let count = self.members.len();
        let entry = |member: &Member| {
            let addresses = self.addresses.get(&member.id)?;
            Some(Entry {
                incarnation: InstanceIncarnation {
                    instance: member.id.clone(),
                    incarnation: member.incarnation,
                },
                region: member.region.clone(),
                zone: member.zone.clone(),
                address: addresses.callers,
                peer_address: addresses.peers,
                member_state: member_state(member, count, now),
                load_per_mille: self.loads.get(&member.id).copied().unwrap_or(0),
                revision: member.revision,
            })
        };
        FleetView { entries: self.members.iter().filter_map(entry).collect() }
    }
}

fn load_time(value: &AtomicU64) -> Option<Time> {
    Some(value.load(Ordering::Acquire)).filter(|t| *t != 0).map(Time)
}
