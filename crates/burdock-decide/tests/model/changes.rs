//! Configuration changes: once one is accepted, no instance serves by the old one for long.

use std::time::Duration;

use burdock_decide::connectivity::{CHANGE_TIMEOUT, ISOLATION_GRACE_TIME, STORE_CONTACT_TIMEOUT};
use burdock_decide::membership::suspect_timeout;

use crate::search::{Found, search};
use crate::world::{Fault, Mutation, N, START, World, ticks};

/// The revision that everybody begins with; the one change of a run makes the next.
const FIRST: u8 = 1;

/// Ticks searched.
const TICKS: u8 = 12;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    world: World,
    stored: u8,
    held: [u8; N],
    /// When an instance promised to count contact as lost until the change is settled; 0 for never.
    promised: [u8; N],
    change: Change,
    mutation: Mutation,
}

/// How far the one change of a run has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Change {
    /// Not yet asked for.
    Waiting,
    /// Announced at this tick by an instance; to be written before its bound.
    Announced { at: u8, by: usize },
    /// Written at this tick.
    Accepted { at: u8 },
    /// Refused or given up.
    Over,
}

/// How long an instance may serve by the old configuration after a change was accepted.
fn bound() -> u8 {
    let heard_last = suspect_timeout(N) + ISOLATION_GRACE_TIME;
    let store_last = STORE_CONTACT_TIMEOUT + ISOLATION_GRACE_TIME;
    let one_tick = Duration::from_secs(1);
    // Heartbeats and confirmations are relayed, a tick at each hop.
    ticks(heard_last.max(store_last)) + ticks(one_tick * 2)
}

fn start(faults: u8, mutation: Mutation) -> State {
    State {
        world: World::healthy(faults),
        stored: FIRST,
        held: [FIRST; N],
        promised: [0; N],
        change: Change::Waiting,
        mutation,
    }
}

fn next(state: &State) -> Vec<State> {
    if state.world.tick >= START + TICKS {
        return Vec::new();
    }
    let mut successors = Vec::new();
    for fault in state.world.faults() {
        let mut next = state.clone();
        next.world = state.world.after(fault);
        if let Fault::Crash(ix) = fault {
            next.held[ix] = 0;
            next.promised[ix] = 0;
        }
        let resumed = matches!(fault, Fault::Pause(ix) if !next.world.instances[ix].paused);
        if resumed {
            successors.push(next.clone());
        }
        successors.extend(rounds(next));
    }
    successors
}

fn rounds(mut state: State) -> Vec<State> {
    for ix in 0..N {
        let caught_up = state.world.instances[ix].unread.is_some();
        state.world.read_unread(ix, state.mutation, caught_up);
    }
    if !state.mutation.no_catch_up {
        catch_up(&mut state);
    }
    let (held, stored) = (state.held, state.stored);
    state.world.exchange(state.mutation, |ix, other| held[ix] >= other.map_or(stored, |o| held[o]));
    if state.mutation.no_catch_up {
        // Contact counted first; what is new is installed afterwards, if at all in this tick.
        let late = state.clone();
        catch_up(&mut state);
        let mut outcomes = operator_steps(state);
        outcomes.push(late);
        return outcomes;
    }
    operator_steps(state)
}

fn catch_up(state: &mut State) {
    let before = state.held;
    for ix in 0..N {
        for other in (0..N).filter(|o| state.world.reaches(ix, *o)) {
            state.held[ix] = state.held[ix].max(before[other]);
        }
        if state.world.reaches_store(ix) {
            state.held[ix] = state.held[ix].max(state.stored);
        }
    }
}

fn operator_steps(state: State) -> Vec<State> {
    match state.change {
        Change::Waiting => {
            let announced = (0..N).filter_map(|ix| announce(&state, ix));
            announced.chain([state.clone()]).collect()
        }
        Change::Announced { at, by } => write(&state, at, by),
        Change::Accepted { .. } | Change::Over => vec![state],
    }
}

fn announce(state: &State, by: usize) -> Option<State> {
    if !state.world.may_take_over(by, state.mutation) {
        return None;
    }
    let mut next = state.clone();
    let mut promises = 0;
    for ix in (0..N).filter(|ix| *ix == by || state.world.reaches(by, *ix)) {
        if !state.mutation.no_announcement {
            next.promised[ix] = state.world.tick;
        }
        promises += 1;
    }
    if promises * 2 <= N && !state.mutation.no_majority {
        return None;
    }
    next.change = Change::Announced { at: state.world.tick, by };
    Some(next)
}

// The write takes effect in this tick or the next, its answer may be lost, or the writer gives up.
fn write(state: &State, at: u8, by: usize) -> Vec<State> {
    let in_time = state.world.tick - at < ticks(CHANGE_TIMEOUT);
    let mut outcomes = Vec::new();
    if in_time && state.world.reaches_store(by) {
        let mut written = state.clone();
        written.stored += 1;
        written.change = Change::Accepted { at: state.world.tick };
        outcomes.push(written);
    }
    let mut later = state.clone();
    if !in_time || !state.world.runs(by) {
        later.change = Change::Over;
    }
    outcomes.push(later);
    outcomes
}

// An instance knows of a pending change by its own promise, or by that of one it hears.
fn pending(state: &State, ix: usize) -> bool {
    let own = |of: usize| {
        let promised = state.promised[of];
        let store_known = state.world.instances[of].store > promised + ticks(CHANGE_TIMEOUT);
        // The change itself is settled for who has it in force.
        let in_force = state.held[of] > FIRST;
        promised > 0 && !store_known && !in_force
    };
    let heard = |of: usize| {
        let (life, heard, _) = state.world.instances[ix].heard[of];
        let recent = state.world.tick.saturating_sub(heard) <= ticks(suspect_timeout(N));
        of == ix || (life == state.world.instances[of].life && heard > state.promised[of] && recent)
    };
    (0..N).any(|of| own(of) && heard(of))
}

fn violates(state: &State) -> bool {
    let Change::Accepted { at } = state.change else {
        return false;
    };
    let old = |ix: usize| state.held[ix] < state.stored;
    let serves = |ix: usize| state.world.serves(ix, pending(state, ix), state.mutation);
    state.world.tick > at + bound() && (0..N).any(|ix| old(ix) && serves(ix))
}

fn check(faults: u8, mutation: Mutation) -> Found<State> {
    search(&start(faults, mutation), next, violates)
}

#[test]
fn no_instance_serves_long_by_an_old_configuration() {
    check(2, Mutation::default()).assert_safe("changes in force within the bound");
}

#[test]
fn changes_without_a_majority_are_caught() {
    let mutation = Mutation { no_majority: true, no_announcement: true, ..Mutation::default() };
    check(2, mutation).assert_caught("changes without a majority");
}

#[test]
fn changes_that_are_not_announced_are_caught() {
    check(2, Mutation { no_announcement: true, ..Mutation::default() })
        .assert_caught("changes without announcement");
}

#[test]
fn serving_without_contact_is_caught() {
    check(2, Mutation { no_isolation: true, ..Mutation::default() }).assert_caught("serving without contact");
}

#[test]
fn contact_from_old_messages_is_caught() {
    let mutation = Mutation { contact_from_old_messages: true, no_catch_up: true, ..Mutation::default() };
    check(3, mutation).assert_caught("contact from old messages");
}
