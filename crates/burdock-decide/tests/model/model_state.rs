//! Model of three instances and one store, with the faults that can occur.
//!
//! Time advances in ticks of one second. In each tick at most one fault occurs, then every running instance
//! exchanges messages with all instances that it can reach. Contact is evaluated by the production functions.

use std::time::Duration;

use burdock_decide::connectivity::{
    ContactStatus, ContactView, evaluate_contact, majority_contact_at, may_take_over,
};
use burdock_decide::membership::suspect_timeout;
use burdock_decide::time::Time;

/// Number of instances.
pub const INSTANCES: usize = 3;

/// Tick at which searches start. It is above 0, so that earlier ticks can stand for earlier times.
pub const START_TICK: u8 = 20;

const TICK_MS: u64 = 1000;

/// Parts of the protocol that are disabled or broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Mutation {
    /// A takeover happens without the takeover delay.
    pub no_takeover_delay: bool,
    /// A holder's silence also counts from before the keeper knew of the move.
    pub silence_before_move: bool,
    /// Takeovers and changes happen without a majority.
    pub no_majority: bool,
    /// Contact counts before the peer's data has been copied.
    pub no_catch_up: bool,
    /// A reply that is read after a pause counts as contact at the time of reading.
    pub stale_messages_as_contact: bool,
    /// Shares grow before the holders that lose shares have confirmed.
    pub no_confirmation: bool,
    /// Changes are written although no majority tracks them.
    pub no_announcement: bool,
    /// An instance without contact never stops serving.
    pub no_isolation: bool,
}

/// State of one instance and what it knows about the others. Times are ticks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    /// Whether the process exists.
    pub running: bool,
    /// Whether the process is paused.
    pub paused: bool,
    /// Incarnation of the process.
    pub incarnation: u8,
    /// For each instance: newest known incarnation, time of its newest heartbeat, and when it was first seen.
    pub members: [(u8, u8, u8); INSTANCES],
    /// For each instance: time of its newest heartbeat known from replies; 0 for never.
    pub confirmed_at: [u8; INSTANCES],
    /// When the store's state was last confirmed; 0 for never.
    pub store_confirmed_at: u8,
    /// Reply that is read after a pause: when it was requested, and the state of the sender.
    pub pending_reply: Option<(u8, Box<Self>)>,
}

/// State of all instances and links.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
    /// Current tick.
    pub tick: u8,
    /// Links between instances 0-1, 0-2 and 1-2.
    pub links: [bool; INSTANCES],
    /// Links of the instances to the store.
    pub store_links: [bool; INSTANCES],
    /// State of each instance.
    pub instances: [Instance; INSTANCES],
    /// Number of faults that may still occur.
    pub faults_left: u8,
}

/// Start or end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No fault.
    None,
    /// A link between two instances fails or recovers.
    ToggleLink(usize),
    /// The link of an instance to the store fails or recovers.
    ToggleStoreLink(usize),
    /// The store fails or recovers for all instances.
    ToggleStore,
    /// An instance is paused or resumed.
    TogglePause(usize),
    /// An instance crashes, or starts as a new incarnation.
    ToggleCrash(usize),
    /// An instance is disconnected from the others and the store, or connected again.
    ToggleIsolation(usize),
}

impl ModelState {
    /// Returns a state in which all instances and the store are in contact.
    pub fn healthy(faults: u8) -> Self {
        let instance = Instance {
            running: true,
            paused: false,
            incarnation: 1,
            members: [(1, START_TICK, 1); INSTANCES],
            confirmed_at: [START_TICK; INSTANCES],
            store_confirmed_at: START_TICK,
            pending_reply: None,
        };
        let instances = [instance.clone(), instance.clone(), instance];
        Self {
            tick: START_TICK,
            links: [true; INSTANCES],
            store_links: [true; INSTANCES],
            instances,
            faults_left: faults,
        }
    }

    /// Returns every fault that can occur in the next tick.
    pub fn possible_faults(&self) -> Vec<Fault> {
        let mut faults = vec![Fault::None];
        if self.faults_left == 0 {
            return faults;
        }
        faults.push(Fault::ToggleStore);
        for ix in 0..INSTANCES {
            faults.extend([
                Fault::ToggleLink(ix),
                Fault::ToggleStoreLink(ix),
                Fault::ToggleCrash(ix),
                Fault::ToggleIsolation(ix),
            ]);
            if self.instances[ix].running {
                faults.push(Fault::TogglePause(ix));
            }
        }
        faults
    }

    /// Returns the state at the next tick with a fault applied, before the gossip of that tick.
    pub fn next_tick(&self, fault: Fault) -> Self {
        let mut next = self.clone();
        next.tick += 1;
        if fault != Fault::None {
            next.faults_left -= 1;
        }
        match fault {
            Fault::None => {}
            Fault::ToggleLink(ix) => next.links[ix] = !next.links[ix],
            Fault::ToggleStoreLink(ix) => next.store_links[ix] = !next.store_links[ix],
            Fault::ToggleStore => {
                let reachable = next.store_links.iter().any(|l| *l);
                next.store_links = [!reachable; INSTANCES];
            }
            Fault::TogglePause(ix) => next.toggle_pause(ix),
            Fault::ToggleCrash(ix) => next.toggle_crash(ix),
            Fault::ToggleIsolation(ix) => {
                let connected = next.store_links[ix];
                next.store_links[ix] = !connected;
                for other in (0..INSTANCES).filter(|o| *o != ix) {
                    next.links[link_index(ix, other)] = !connected;
                }
            }
        }
        next
    }

    /// Returns whether two instances can exchange messages now.
    pub fn can_reach(&self, a: usize, b: usize) -> bool {
        a != b && self.is_running(a) && self.is_running(b) && self.links[link_index(a, b)]
    }

    /// Returns whether an instance can use the store now.
    pub fn can_reach_store(&self, ix: usize) -> bool {
        self.is_running(ix) && self.store_links[ix]
    }

    /// Returns whether an instance exists and is not paused.
    pub fn is_running(&self, ix: usize) -> bool {
        self.instances[ix].running && !self.instances[ix].paused
    }

    /// Exchanges messages between all instances that can reach each other, and records confirmations by the
    /// store.
    ///
    /// `caught_up` returns whether an instance holds the data of another one, or of the store (`None`).
    pub fn gossip(&mut self, mutation: Mutation, caught_up: impl Fn(usize, Option<usize>) -> bool) {
        let previous = self.instances.clone();
        for ix in 0..INSTANCES {
            self.record_own_heartbeat(ix);
            for (other, peer) in previous.iter().enumerate() {
                if !self.can_reach(ix, other) {
                    continue;
                }
                let counts_as_contact = mutation.no_catch_up || caught_up(ix, Some(other));
                let reply = with_own_heartbeat(peer, other, self.tick);
                self.apply_reply(ix, &reply, self.tick, counts_as_contact);
            }
            if self.can_reach_store(ix) && (mutation.no_catch_up || caught_up(ix, None)) {
                self.instances[ix].store_confirmed_at = self.tick;
            }
        }
    }

    /// Reads the reply that arrived during a pause.
    pub fn read_pending_reply(&mut self, ix: usize, mutation: Mutation, caught_up: bool) {
        if !self.is_running(ix) {
            return;
        }
        if let Some((requested_at, reply)) = self.instances[ix].pending_reply.take() {
            let requested_at = if mutation.stale_messages_as_contact { self.tick } else { requested_at };
            self.apply_reply(ix, &reply, requested_at, caught_up || mutation.no_catch_up);
        }
    }

    /// Evaluates the contact of an instance.
    pub fn contact_status(&self, ix: usize, change_pending: bool, mutation: Mutation) -> ContactStatus {
        let mut status = evaluate_contact(&self.contact_view(ix, change_pending));
        if mutation.no_isolation {
            status.serve_until = Time(u64::MAX);
        }
        status
    }

    /// Returns whether an instance may serve now.
    pub fn may_serve(&self, ix: usize, change_pending: bool, mutation: Mutation) -> bool {
        self.is_running(ix) && self.now() < self.contact_status(ix, change_pending, mutation).serve_until
    }

    /// Returns whether an instance may take over or accept a change now.
    pub fn may_take_over(&self, ix: usize, mutation: Mutation) -> bool {
        let mut view = self.contact_view(ix, false);
        if mutation.no_majority {
            view.majority_contact_at = Some(view.now);
        }
        self.is_running(ix) && may_take_over(&view)
    }

    /// Returns how long an incarnation of `member` has been silent, as seen by instance `ix`.
    pub fn silence_of(&self, ix: usize, member: usize, incarnation: u8) -> Duration {
        let (newest_incarnation, heartbeat_at, incarnation_seen_at) = self.instances[ix].members[member];
        let last = if newest_incarnation == incarnation { heartbeat_at } else { incarnation_seen_at };
        if member == ix { Duration::ZERO } else { self.now().since(tick_time(last)) }
    }

    /// Returns the time passed since a tick.
    pub fn time_since(&self, tick: u8) -> Duration {
        self.now().since(tick_time(tick))
    }

    /// Returns the members, with their incarnations, that an instance considers alive.
    pub fn alive_members(&self, ix: usize) -> Vec<(usize, u8)> {
        let alive = |member: &usize| {
            let (incarnation, heartbeat_at, _) = self.instances[ix].members[*member];
            incarnation > 0 && self.now().since(tick_time(heartbeat_at)) <= suspect_timeout(INSTANCES)
        };
        (0..INSTANCES).filter(alive).map(|member| (member, self.instances[ix].members[member].0)).collect()
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        tick_time(self.tick)
    }

    fn contact_view(&self, ix: usize, change_pending: bool) -> ContactView {
        let instance = &self.instances[ix];
        let known_time = |tick: u8| (tick > 0).then(|| tick_time(tick));
        let mut others: Vec<Option<Time>> =
            (0..INSTANCES).filter(|o| *o != ix).map(|o| known_time(instance.confirmed_at[o])).collect();
        ContactView {
            now: self.now(),
            store_confirmed_at: known_time(instance.store_confirmed_at),
            majority_contact_at: majority_contact_at(self.now(), &mut others),
            members: INSTANCES,
            change_pending,
        }
    }

    fn record_own_heartbeat(&mut self, ix: usize) {
        if self.is_running(ix) {
            let tick = self.tick;
            let instance = &mut self.instances[ix];
            instance.members[ix] = (instance.incarnation, tick, instance.members[ix].2);
        }
    }

    fn apply_reply(&mut self, ix: usize, reply: &Instance, requested_at: u8, counts_as_contact: bool) {
        let tick = self.tick;
        let own = &mut self.instances[ix];
        for member in (0..INSTANCES).filter(|member| *member != ix) {
            let (incarnation, heartbeat_at, _) = reply.members[member];
            if incarnation > own.members[member].0 {
                own.members[member] = (incarnation, heartbeat_at, tick);
            } else if incarnation == own.members[member].0 {
                own.members[member].1 = own.members[member].1.max(heartbeat_at);
            }
            // Ages in a reply are as of its creation, so a reply that is read late counts from its request.
            let age = heartbeat_age(reply, member);
            if counts_as_contact && incarnation == own.members[member].0 {
                own.confirmed_at[member] = own.confirmed_at[member].max(requested_at.saturating_sub(age));
            }
        }
        if counts_as_contact && reply.store_confirmed_at > 0 {
            let age =
                reply.members.iter().map(|m| m.1).max().unwrap_or(0).saturating_sub(reply.store_confirmed_at);
            own.store_confirmed_at = own.store_confirmed_at.max(requested_at.saturating_sub(age));
        }
    }

    fn toggle_pause(&mut self, ix: usize) {
        let paused = self.instances[ix].paused;
        if !paused {
            // The reply to a request sent just now arrives while the process is paused.
            let other = (0..INSTANCES).find(|o| self.can_reach(ix, *o));
            let pending_reply =
                other.map(|o| (self.tick, Box::new(with_own_heartbeat(&self.instances[o], o, self.tick))));
            self.instances[ix].pending_reply = pending_reply;
        }
        self.instances[ix].paused = !paused;
    }

    fn toggle_crash(&mut self, ix: usize) {
        let tick = self.tick;
        let instance = &mut self.instances[ix];
        if instance.running {
            *instance = Instance { running: false, ..fresh_instance(instance.incarnation) };
            return;
        }
        let incarnation = instance.incarnation + 1;
        *instance = fresh_instance(incarnation);
        instance.members[ix] = (incarnation, tick, tick);
        // A restarted process knows nothing about earlier times, so every instance counts as first seen now.
        for member in (0..INSTANCES).filter(|member| *member != ix) {
            instance.members[member] = (0, tick, tick);
        }
    }
}

fn fresh_instance(incarnation: u8) -> Instance {
    Instance {
        running: true,
        paused: false,
        incarnation,
        members: [(0, 0, 0); INSTANCES],
        confirmed_at: [0; INSTANCES],
        store_confirmed_at: 0,
        pending_reply: None,
    }
}

// The instance's state as sent in a reply, with its own heartbeat of this tick.
fn with_own_heartbeat(instance: &Instance, ix: usize, tick: u8) -> Instance {
    let mut reply = instance.clone();
    reply.members[ix] = (reply.incarnation, tick, reply.members[ix].2);
    reply.pending_reply = None;
    reply
}

fn heartbeat_age(reply: &Instance, member: usize) -> u8 {
    let newest_heartbeat_at = reply.members.iter().map(|m| m.1).max().unwrap_or(0);
    newest_heartbeat_at.saturating_sub(reply.members[member].1)
}

fn link_index(a: usize, b: usize) -> usize {
    a + b - 1
}

fn tick_time(tick: u8) -> Time {
    Time::from_millis(u64::from(tick) * TICK_MS)
}

/// Returns the number of ticks that cover a duration.
pub fn ticks_covering(duration: Duration) -> u8 {
    u8::try_from(duration.as_millis().div_ceil(u128::from(TICK_MS))).expect("a duration of at most 255 ticks")
}
