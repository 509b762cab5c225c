//! What this instance knows of the other instances.

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

/// How long the successor of an instance that left is remembered.
const SUCCESSION_KEPT: Duration = Duration::from_secs(3600);

/// Successions in one message.
const MAX_SUCCESSIONS: usize = 64;

/// The other instances and how this one stands towards them.
#[derive(Debug)]
pub struct Fleet {
    own: InstanceIncarnation,
    began: Time,
    state: Mutex<State>,
    view: ArcSwap<FleetView>,
    contact: ContactTimes,
}

// Times that decide on contact, readable without a lock. Zero stands for never.
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
    promises: Vec<(ChangeId, Time)>,
}

#[derive(Clone, Copy, Debug)]
struct Addresses {
    callers: SocketAddr,
    peers: SocketAddr,
}

/// The fleet as requests see it.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Every known instance, this one among them.
    pub entries: Vec<Entry>,
}

/// One instance as requests see it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its latest life.
    pub incarnation: InstanceIncarnation,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where other instances reach it.
    pub peer_address: SocketAddr,
    /// How it stands.
    pub member_state: MemberState,
    /// Thousandths of what it can carry that it carries.
    pub load_per_mille: u32,
    /// The revision it has in force.
    pub revision: Revision,
}

impl FleetView {
    fn calls_the_same(&self, other: &Self) -> bool {
        let called = |e: &Entry| (e.incarnation.clone(), e.peer_address);
        self.entries.iter().map(called).eq(other.entries.iter().map(called))
    }
}

impl Fleet {
    /// A fleet of this instance alone.
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
            promises: Vec::new(),
        };
        let fleet = Self {
            own: own.clone(),
            began: now,
            state: Mutex::new(state),
            view: ArcSwap::default(),
            contact: ContactTimes::default(),
        };
        fleet.refresh(now);
        fleet
    }

    /// The fleet as requests see it.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// How this instance stands now.
    #[must_use]
    pub fn contact(&self, now: Time) -> ContactStatus {
        evaluate_contact(&self.contact_view(now))
    }

    /// Whether this instance may accept a change or take over what another held.
    ///
    /// One that the platform's list does not hold yet may not: others don't count it, and it may not know of them.
    #[must_use]
    pub fn may_take_over(&self, now: Time) -> bool {
        self.contact.listed.load(Ordering::Acquire) != 0 && may_take_over(&self.contact_view(now))
    }

    /// When the store's state was last confirmed.
    #[must_use]
    pub fn store_confirmed_at(&self) -> Option<Time> {
        time_of(&self.contact.store_confirmed_at)
    }

    /// Notes that the store's state of this time is known here.
    pub fn record_store_confirmed(&self, at: Time) {
        self.contact.store_confirmed_at.fetch_max(at.0, Ordering::AcqRel);
    }

    /// Promises to count contact without the store as lost until the change announced now is settled.
    pub fn track_change(&self, id: &ChangeId, now: Time) {
        self.state.lock().promises.push((id.clone(), now));
        self.refresh(now);
    }

    /// Drops the promises for changes that are settled: in force here, or certainly not written.
    pub fn remove_settled_changes(&self, is_settled: impl Fn(&ChangeId) -> bool, now: Time) {
        self.state.lock().promises.retain(|(id, _)| !is_settled(id));
        self.refresh(now);
    }

    /// Takes in the platform's list. Instances that are not in it are kept while they are heard of. Returns whether
    /// other instances can be called now than before.
    pub fn apply_instance_list(&self, list: &[ListedInstance], now: Time) -> bool {
        let listed = list.iter().any(|l| l.id == self.own.instance.as_str());
        self.contact.listed.store(u64::from(listed), Ordering::Release);
        let mut state = self.state.lock();
        for member in &mut state.members {
            member.listed = member.id == self.own.instance;
        }
        for listed in list {
            state.take_listed(listed, now);
        }
        drop(state);
        self.refresh(now)
    }

    /// Takes in heartbeats from another instance. Returns whether other instances can be called now than before.
    pub fn record_heartbeats(&self, beats: &[Heartbeat], source: HeartbeatSource, now: Time) -> bool {
        let mut state = self.state.lock();
        let by_hash: HashMap<u32, usize> =
            state.members.iter().enumerate().map(|(ix, m)| (id_hash(&m.id), ix)).collect();
        for beat in beats {
            let Some(member) = by_hash.get(&beat.id_hash).map(|ix| &mut state.members[*ix]) else {
                continue;
            };
            if member.id != self.own.instance {
                record_heartbeat(member, beat, source);
            } else if beat.incarnation > self.own.incarnation {
                self.contact.superseded.store(1, Ordering::Release);
            }
        }
        drop(state);
        self.refresh(now)
    }

    /// Counts up this instance's own heartbeat.
    pub fn advance_heartbeat(&self, revision: Revision, leaving: bool, now: Time) {
        let mut state = self.state.lock();
        let confirmed = self.store_confirmed_at();
        state.promises.retain(|(_, at)| confirmed.is_none_or(|c| c <= *at + CHANGE_TIMEOUT));
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

    /// The members, for choosing partners and making digests.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.state.lock().members.clone()
    }

    /// The heartbeats to send, at most `limit`.
    #[must_use]
    pub fn digest(&self, limit: usize, draw: u64, now: Time) -> Vec<Heartbeat> {
        build_digest(&self.state.lock().members, limit, draw, now)
    }

    /// Notes how much another instance carries.
    pub fn record_load(&self, id: &InstanceId, per_mille: u32) {
        self.state.lock().loads.insert(id.clone(), per_mille);
    }

    /// Where an instance is reached by others.
    #[must_use]
    pub fn peer_address(&self, id: &InstanceId) -> Option<SocketAddr> {
        self.state.lock().addresses.get(id).map(|a| a.peers)
    }

    /// How long a life has been silent.
    ///
    /// A newer life of the same instance tells nothing about an older one that may only be paused, so an
    /// older life's silence counts from when the newer one was first heard of. A life that was never heard
    /// of counts as silent since this instance started.
    #[must_use]
    pub fn silent_time(&self, life: &InstanceIncarnation, now: Time) -> Duration {
        if *life == self.own {
            return Duration::ZERO;
        }
        let state = self.state.lock();
        let member = state.members.iter().find(|m| m.id == life.instance);
        let last = match member.map(|m| (m, m.incarnation.cmp(&life.incarnation))) {
            Some((m, std::cmp::Ordering::Equal)) => m.heartbeat_at,
            Some((m, std::cmp::Ordering::Greater)) => m.incarnation_seen_at,
            Some((_, std::cmp::Ordering::Less)) | None => self.began,
        };
        now.since(last)
    }

    /// Whether a newer life of this instance was heard of: then this one must stop.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.contact.superseded.load(Ordering::Acquire) != 0
    }

    /// Who answers for a life that left, following successors of successors.
    #[must_use]
    pub fn successor(&self, life: &InstanceIncarnation) -> Option<InstanceIncarnation> {
        const LONGEST_CHAIN: usize = 16;
        let state = self.state.lock();
        let next = |of: &InstanceIncarnation| {
            state.successions.iter().rev().find(|(s, _)| s.departed == *of).map(|(s, _)| &s.successor)
        };
        let mut found = next(life)?;
        for _ in 0..LONGEST_CHAIN {
            match next(found) {
                Some(further) => found = further,
                None => break,
            }
        }
        Some(found.clone())
    }

    /// Notes successors of instances that left.
    pub fn record_successions(&self, told: Vec<Succession>, now: Time) {
        let mut state = self.state.lock();
        for succession in told {
            if !state.successions.iter().any(|(known, _)| *known == succession) {
                state.successions.push((succession, now));
            }
        }
        state.successions.retain(|(_, at)| now.since(*at) < SUCCESSION_KEPT);
    }

    /// Successions to tell, newest last.
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
            majority_contact_at: time_of(&self.contact.majority_contact_at),
            members: usize::try_from(self.contact.members.load(Ordering::Acquire)).unwrap_or(usize::MAX),
            change_pending: self.contact.change_pending.load(Ordering::Acquire) != 0,
        }
    }

    // Works out anew what requests read without a lock. Returns whether other lives, or the same at other addresses,
    // can be called now than before.
    fn refresh(&self, now: Time) -> bool {
        let mut state = self.state.lock();
        let count = state.members.len();
        state.members.retain(|m| member_state(m, count, now) != MemberState::Gone);
        let others = state.members.iter().filter(|m| m.id != self.own.instance);
        let mut heard: Vec<Option<Time>> = others.map(|m| m.confirmed_at).collect();
        let majority = majority_contact_at(now, &mut heard);
        let pending = state.change_pending(self.store_confirmed_at(), now);
        let view = state.view(now);
        drop(state);
        self.contact.majority_contact_at.store(majority.map_or(0, |t| t.0), Ordering::Release);
        self.contact.change_pending.store(u64::from(pending), Ordering::Release);
        self.contact.members.store(view.entries.len() as u64, Ordering::Release);
        let changed = !view.calls_the_same(&self.view());
        self.view.store(Arc::new(view));
        changed
    }
}

impl State {
    fn take_listed(&mut self, listed: &ListedInstance, now: Time) {
        let names =
            (InstanceId::new(&listed.id), RegionName::new(&listed.region), ZoneName::new(&listed.zone));
        let (Ok(id), Ok(region), Ok(zone)) = names else {
            log::warn!("the platform's list has a malformed instance: {listed:?}");
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

    // A change is pending while one that was announced here, or at an instance in touch, is not settled.
    fn change_pending(&self, store_confirmed_at: Option<Time>, now: Time) -> bool {
        let count = self.members.len();
        let told = self
            .members
            .iter()
            .any(|m| m.change_pending && member_state(m, count, now) != MemberState::Suspect);
        told || self.own_change_pending(store_confirmed_at)
    }

    // A promise is void once the store's state is known from a time by which the change must have been written.
    fn own_change_pending(&self, store_confirmed_at: Option<Time>) -> bool {
        let settled = |at: Time| store_confirmed_at.is_some_and(|c| c > at + CHANGE_TIMEOUT);
        self.promises.iter().any(|(_, at)| !settled(*at))
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

fn time_of(value: &AtomicU64) -> Option<Time> {
    Some(value.load(Ordering::Acquire)).filter(|t| *t != 0).map(Time)
}
