//! Three instances and one store, with the faults that can befall them.
//!
//! Time goes in ticks of a second. In each tick at most one fault happens, then every instance that runs
//! exchanges with all it can reach. Contact is judged by the functions of the node.

use std::time::Duration;

use burdock_decide::connectivity::{
    ContactStatus, ContactView, evaluate_contact, majority_contact_at, may_take_over,
};
use burdock_decide::membership::suspect_timeout;
use burdock_decide::time::Time;

/// Instances.
pub const N: usize = 3;

/// The tick that searches start at; earlier ones stand for the time before.
pub const START: u8 = 20;

const TICK_MS: u64 = 1000;

/// Which parts of the protocol are left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Mutation {
    /// Takeover without the wait.
    pub no_takeover_wait: bool,
    /// Silence counts from before the move is known.
    pub no_wait_for_move: bool,
    /// Takeover and change without a majority.
    pub no_majority: bool,
    /// Contact counts before what the other holds is held.
    pub no_catch_up: bool,
    /// A queued message that is read after a pause counts as contact now.
    pub contact_from_old_messages: bool,
    /// Shares grow before those that lose have confirmed.
    pub no_confirmation: bool,
    /// Changes are written without a majority's promise.
    pub no_announcement: bool,
    /// A store outage counts as contact for ever.
    pub no_isolation: bool,
}

/// One instance's contacts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    /// It runs.
    pub up: bool,
    /// It is frozen.
    pub paused: bool,
    /// Its life.
    pub life: u8,
    /// For each instance the newest life heard of, when that made its newest heartbeat, and when it was
    /// first heard of.
    pub heard: [(u8, u8, u8); N],
    /// For each instance the newest heartbeat known from answers to own questions; 0 for never.
    pub confirmed: [u8; N],
    /// The newest confirmation of the store's state; 0 for never.
    pub store: u8,
    /// An answer that waits to be read after a pause: when it was asked for, and from whom.
    pub unread: Option<(u8, Box<Self>)>,
}

/// Contacts of all instances.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// Now.
    pub tick: u8,
    /// Links between instances 0-1, 0-2 and 1-2.
    pub links: [bool; N],
    /// Links to the store.
    pub store_links: [bool; N],
    /// Instances.
    pub instances: [Instance; N],
    /// Faults that may still happen.
    pub faults_left: u8,
}

/// One fault, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Nothing happens.
    None,
    /// A link between instances goes or comes back.
    Link(usize),
    /// A link to the store goes or comes back.
    StoreLink(usize),
    /// The store goes or comes back for all.
    Store,
    /// An instance is frozen or goes on.
    Pause(usize),
    /// An instance crashes, or starts with a new life.
    Crash(usize),
    /// One instance is cut off from the others and the store, or joined again.
    CutOff(usize),
}

impl World {
    /// Everybody in contact with everybody.
    pub fn healthy(faults: u8) -> Self {
        let instance = Instance {
            up: true,
            paused: false,
            life: 1,
            heard: [(1, START, 1); N],
            confirmed: [START; N],
            store: START,
            unread: None,
        };
        let instances = [instance.clone(), instance.clone(), instance];
        Self { tick: START, links: [true; N], store_links: [true; N], instances, faults_left: faults }
    }

    /// Every fault that can happen now.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = vec![Fault::None];
        if self.faults_left == 0 {
            return faults;
        }
        faults.push(Fault::Store);
        for ix in 0..N {
            faults.extend([Fault::Link(ix), Fault::StoreLink(ix), Fault::Crash(ix), Fault::CutOff(ix)]);
            if self.instances[ix].up {
                faults.push(Fault::Pause(ix));
            }
        }
        faults
    }

    /// The next tick, with a fault. Exchanges are still to come.
    pub fn after(&self, fault: Fault) -> Self {
        let mut next = self.clone();
        next.tick += 1;
        if fault != Fault::None {
            next.faults_left -= 1;
        }
        match fault {
            Fault::None => {}
            Fault::Link(ix) => next.links[ix] = !next.links[ix],
            Fault::StoreLink(ix) => next.store_links[ix] = !next.store_links[ix],
            Fault::Store => {
                let up = next.store_links.iter().any(|l| *l);
                next.store_links = [!up; N];
            }
            Fault::Pause(ix) => next.pause_or_go_on(ix),
            Fault::Crash(ix) => next.crash_or_start(ix),
            Fault::CutOff(ix) => {
                let joined = next.store_links[ix];
                next.store_links[ix] = !joined;
                for other in (0..N).filter(|o| *o != ix) {
                    next.links[link(ix, other)] = !joined;
                }
            }
        }
        next
    }

    /// Whether two instances can exchange now.
    pub fn reaches(&self, a: usize, b: usize) -> bool {
        a != b && self.runs(a) && self.runs(b) && self.links[link(a, b)]
    }

    /// Whether an instance can use the store now.
    pub fn reaches_store(&self, ix: usize) -> bool {
        self.runs(ix) && self.store_links[ix]
    }

    /// Whether an instance runs and is not frozen.
    pub fn runs(&self, ix: usize) -> bool {
        self.instances[ix].up && !self.instances[ix].paused
    }

    /// Exchanges in both directions among all that reach each other, and confirmations by the store.
    ///
    /// `caught_up` tells whether an instance holds what another one, or the store (`None`), holds.
    pub fn exchange(&mut self, mutation: Mutation, caught_up: impl Fn(usize, Option<usize>) -> bool) {
        let before = self.instances.clone();
        for ix in 0..N {
            self.beat(ix);
            for (other, table) in before.iter().enumerate() {
                if !self.reaches(ix, other) {
                    continue;
                }
                let contact = mutation.no_catch_up || caught_up(ix, Some(other));
                let told = beaten(table, other, self.tick);
                self.take_answer(ix, &told, self.tick, contact);
            }
            if self.reaches_store(ix) && (mutation.no_catch_up || caught_up(ix, None)) {
                self.instances[ix].store = self.tick;
            }
        }
    }

    /// Reads the answer that waited during a pause.
    pub fn read_unread(&mut self, ix: usize, mutation: Mutation, caught_up: bool) {
        if !self.runs(ix) {
            return;
        }
        if let Some((asked, told)) = self.instances[ix].unread.take() {
            let asked = if mutation.contact_from_old_messages { self.tick } else { asked };
            self.take_answer(ix, &told, asked, caught_up || mutation.no_catch_up);
        }
    }

    /// How an instance stands.
    pub fn contact(&self, ix: usize, pending: bool, mutation: Mutation) -> ContactStatus {
        let mut contact = evaluate_contact(&self.view(ix, pending));
        if mutation.no_isolation {
            contact.serve_until = Time(u64::MAX);
        }
        contact
    }

    /// Whether an instance may serve now.
    pub fn serves(&self, ix: usize, pending: bool, mutation: Mutation) -> bool {
        self.runs(ix) && self.now() < self.contact(ix, pending, mutation).serve_until
    }

    /// Whether an instance may take over or accept a change now.
    pub fn may_take_over(&self, ix: usize, mutation: Mutation) -> bool {
        let mut view = self.view(ix, false);
        if mutation.no_majority {
            view.majority_contact_at = Some(view.now);
        }
        self.runs(ix) && may_take_over(&view)
    }

    /// How long, as an instance sees it, a life has been silent.
    pub fn silent_for(&self, ix: usize, of: usize, life: u8) -> Duration {
        let (newest, heard, began) = self.instances[ix].heard[of];
        let last = if newest == life { heard } else { began };
        if of == ix { Duration::ZERO } else { self.now().since(at(last)) }
    }

    /// How long ago a tick was.
    pub fn since(&self, tick: u8) -> Duration {
        self.now().since(at(tick))
    }

    /// The lives that an instance holds to be alive.
    pub fn alive(&self, ix: usize) -> Vec<(usize, u8)> {
        let alive = |of: &usize| {
            let (life, heard, _) = self.instances[ix].heard[*of];
            life > 0 && self.now().since(at(heard)) <= suspect_timeout(N)
        };
        (0..N).filter(alive).map(|of| (of, self.instances[ix].heard[of].0)).collect()
    }

    /// Now.
    pub fn now(&self) -> Time {
        at(self.tick)
    }

    fn view(&self, ix: usize, change_pending: bool) -> ContactView {
        let instance = &self.instances[ix];
        let seen = |tick: u8| (tick > 0).then(|| at(tick));
        let mut others: Vec<Option<Time>> =
            (0..N).filter(|o| *o != ix).map(|o| seen(instance.confirmed[o])).collect();
        ContactView {
            now: self.now(),
            store_confirmed_at: seen(instance.store),
            majority_contact_at: majority_contact_at(self.now(), &mut others),
            members: N,
            change_pending,
        }
    }

    fn beat(&mut self, ix: usize) {
        if self.runs(ix) {
            let tick = self.tick;
            let instance = &mut self.instances[ix];
            instance.heard[ix] = (instance.life, tick, instance.heard[ix].2);
        }
    }

    fn take_answer(&mut self, ix: usize, told: &Instance, asked: u8, contact: bool) {
        let tick = self.tick;
        let own = &mut self.instances[ix];
        for of in (0..N).filter(|of| *of != ix) {
            let (life, heard, _) = told.heard[of];
            if life > own.heard[of].0 {
                own.heard[of] = (life, heard, tick);
            } else if life == own.heard[of].0 {
                own.heard[of].1 = own.heard[of].1.max(heard);
            }
            // Ages are told as of the answer; an answer read late was asked for long ago.
            let age = told_age(told, of);
            if contact && life == own.heard[of].0 {
                own.confirmed[of] = own.confirmed[of].max(asked.saturating_sub(age));
            }
        }
        if contact && told.store > 0 {
            let age = told.heard.iter().map(|h| h.1).max().unwrap_or(0).saturating_sub(told.store);
            own.store = own.store.max(asked.saturating_sub(age));
        }
    }

    fn pause_or_go_on(&mut self, ix: usize) {
        let paused = self.instances[ix].paused;
        if !paused {
            // The answer to a question asked just now comes while the process is frozen.
            let other = (0..N).find(|o| self.reaches(ix, *o));
            let unread = other.map(|o| (self.tick, Box::new(beaten(&self.instances[o], o, self.tick))));
            self.instances[ix].unread = unread;
        }
        self.instances[ix].paused = !paused;
    }

    fn crash_or_start(&mut self, ix: usize) {
        let tick = self.tick;
        let instance = &mut self.instances[ix];
        if instance.up {
            *instance = Instance { up: false, ..blank(instance.life) };
            return;
        }
        let life = instance.life + 1;
        *instance = blank(life);
        instance.heard[ix] = (life, tick, tick);
        // What was before is not known, so everybody counts as first heard of now.
        for of in (0..N).filter(|of| *of != ix) {
            instance.heard[of] = (0, tick, tick);
        }
    }
}

fn blank(life: u8) -> Instance {
    Instance {
        up: true,
        paused: false,
        life,
        heard: [(0, 0, 0); N],
        confirmed: [0; N],
        store: 0,
        unread: None,
    }
}

// An instance's table with its own heartbeat of this tick.
fn beaten(instance: &Instance, ix: usize, tick: u8) -> Instance {
    let mut told = instance.clone();
    told.heard[ix] = (told.life, tick, told.heard[ix].2);
    told.unread = None;
    told
}

fn told_age(told: &Instance, of: usize) -> u8 {
    let newest = told.heard.iter().map(|h| h.1).max().unwrap_or(0);
    newest.saturating_sub(told.heard[of].1)
}

fn link(a: usize, b: usize) -> usize {
    a + b - 1
}

fn at(tick: u8) -> Time {
    Time::from_millis(u64::from(tick) * TICK_MS)
}

/// Ticks that cover a duration.
pub fn ticks(duration: Duration) -> u8 {
    u8::try_from(duration.as_millis().div_ceil(u128::from(TICK_MS))).expect("a short time")
}
