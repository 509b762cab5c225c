//! Shares: whatever happens, the shares in use add up to no more than the whole.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use burdock_decide::connectivity::takeover_delay;
use burdock_decide::limit::TOKEN;
use burdock_decide::shares::{
    HolderView, KeeperAction, KeeperView, ShareRecord, even_split, next_keeper_action,
};
use burdock_model::ids::{Incarnation, InstanceId, Life};
use burdock_model::units::Rate;

use crate::search::{Found, search};
use crate::world::{Fault, Mutation, N, START, World};

const RATE: u64 = 30;
const BURST: u32 = 7;

/// Ticks searched: a takeover, and one more share on the way.
const TICKS: u8 = 11;

// Records are kept once and states hold their numbers, which keeps states small.
thread_local! {
    static RECORDS: RefCell<Vec<ShareRecord>> = const { RefCell::new(Vec::new()) };
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    world: World,
    stored: usize,
    held: [usize; N],
    /// When each instance first knew the version it holds.
    known: [u8; N],
    late_write: Option<(u64, usize)>,
    resumed: bool,
    mutation: Mutation,
}

fn number(record: &ShareRecord) -> usize {
    RECORDS.with_borrow_mut(|records| {
        records.iter().position(|r| r == record).unwrap_or_else(|| {
            records.push(record.clone());
            records.len() - 1
        })
    })
}

fn record(number: usize) -> ShareRecord {
    RECORDS.with_borrow(|records| records[number].clone())
}

fn life(ix: usize, life: u8) -> Life {
    Life {
        instance: InstanceId::new(&format!("i{ix}")).expect("a name"),
        incarnation: Incarnation(u32::from(life)),
    }
}

// Everything is settled among the first `holders` instances.
fn start(holders: usize, faults: u8, mutation: Mutation) -> State {
    let lives: BTreeSet<Life> = (0..holders).map(|ix| life(ix, 1)).collect();
    let split = even_split(&lives);
    let settled = number(&ShareRecord { version: 1, current: split.clone(), target: split });
    State {
        world: World::healthy(faults),
        stored: settled,
        held: [settled; N],
        known: [START; N],
        late_write: None,
        resumed: false,
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
        next.resumed = matches!(fault, Fault::Pause(ix) if !next.world.instances[ix].paused);
        if let Fault::Crash(ix) = fault {
            next.held[ix] = number(&ShareRecord::default());
        }
        if next.resumed {
            // A process that goes on may serve before it reads anything.
            successors.push(next.clone());
        }
        successors.extend(rounds(next));
    }
    successors
}

fn rounds(mut state: State) -> Vec<State> {
    state.resumed = false;
    deliver_late_write(&mut state);
    for ix in 0..N {
        let caught_up = state.world.instances[ix].unread.is_some();
        state.world.read_unread(ix, state.mutation, caught_up);
    }
    catch_up(&mut state);
    let held = state.held;
    let stored = state.stored;
    let version = |n: usize| record(n).version;
    state.world.exchange(state.mutation, |ix, other| {
        version(held[ix]) >= version(other.map_or(stored, |o| held[o]))
    });
    let mut outcomes = vec![state.clone()];
    for keeper in 0..N {
        let first = keep(&state, keeper);
        // A keeper takes the next step at once where it can.
        outcomes.extend(first.iter().flat_map(|s| keep(s, keeper)));
        outcomes.extend(first);
    }
    outcomes
}

// What can be reached is held before contact counts, unless a mutation turns that round.
fn catch_up(state: &mut State) {
    if state.mutation.no_catch_up {
        return;
    }
    for ix in 0..N {
        let mut best = state.held[ix];
        for other in (0..N).filter(|o| state.world.reaches(ix, *o)) {
            if record(state.held[other]).version > record(best).version {
                best = state.held[other];
            }
        }
        if state.world.reaches_store(ix) {
            best = state.stored;
        }
        hold(state, ix, best);
    }
}

fn hold(state: &mut State, ix: usize, number: usize) {
    if state.held[ix] != number {
        state.held[ix] = number;
        state.known[ix] = state.world.tick;
    }
}

// A keeper's write takes effect now, or late. Its answer may be lost: the keeper learns of it like others.
fn keep(state: &State, keeper: usize) -> Vec<State> {
    if !state.world.may_take_over(keeper, state.mutation) || !state.world.reaches_store(keeper) {
        return Vec::new();
    }
    let held = record(state.held[keeper]);
    let wanted: BTreeSet<Life> = state.world.alive(keeper).into_iter().map(|(ix, l)| life(ix, l)).collect();
    let desired = even_split(&wanted);
    let wait = if state.mutation.no_takeover_wait { Duration::ZERO } else { takeover_delay(N) };
    let version_known_time =
        if state.mutation.no_wait_for_move { Duration::MAX } else { state.world.since(state.known[keeper]) };
    let view = KeeperView { record: &held, version_known_time, desired: &desired, takeover_delay: wait };
    let KeeperAction::Write(next) = next_keeper_action(&view, |of| holder_view(state, keeper, of)) else {
        return Vec::new();
    };
    let written = number(&next);
    let mut outcomes = Vec::new();
    if record(state.stored).version == held.version {
        let mut now = state.clone();
        now.stored = written;
        outcomes.push(now.clone());
        hold(&mut now, keeper, written);
        outcomes.push(now);
    }
    if state.late_write.is_none() && state.world.faults_left > 0 {
        let mut late = state.clone();
        late.world.faults_left -= 1;
        late.late_write = Some((held.version, written));
        outcomes.push(late);
    }
    outcomes
}

fn holder_view(state: &State, keeper: usize, of: &Life) -> HolderView {
    let ix = (0..N).find(|ix| life(*ix, 0).instance == of.instance).expect("one of the instances");
    let number = u8::try_from(of.incarnation.0).expect("a small number");
    let answers = ix == keeper || state.world.reaches(keeper, ix);
    let same = state.world.instances[ix].life == number;
    let confirmed_version = if answers && same { record(state.held[ix]).version } else { 0 };
    let confirmed_version = if state.mutation.no_confirmation { u64::MAX } else { confirmed_version };
    HolderView { confirmed_version, silent_time: state.world.silent_for(keeper, ix, number) }
}

fn deliver_late_write(state: &mut State) {
    if let Some((replaces, written)) = state.late_write.take()
        && record(state.stored).version == replaces
    {
        state.stored = written;
    }
}

fn violates(state: &State) -> bool {
    let serving = (0..N).filter(|ix| state.world.serves(*ix, false, state.mutation));
    let (mut cap, mut rate) = (0, 0);
    for ix in serving {
        let own = life(ix, state.world.instances[ix].life);
        let allotment = record(state.held[ix]).allotment_of(&own, Rate::per_second(RATE), BURST);
        cap += allotment.cap;
        rate += allotment.rate;
    }
    cap > u64::from(BURST) * TOKEN || rate > RATE * TOKEN
}

fn check(holders: usize, faults: u8, mutation: Mutation) -> Found<State> {
    search(&start(holders, faults, mutation), next, violates)
}

#[test]
fn shares_never_add_up_to_more_than_the_whole() {
    check(N, 2, Mutation::default()).assert_safe("shares within the whole");
}

#[test]
fn shares_never_add_up_to_more_than_the_whole_when_an_instance_joins() {
    check(2, 2, Mutation::default()).assert_safe("shares within the whole while one joins");
}

#[test]
fn a_takeover_without_the_wait_is_caught() {
    check(N, 2, Mutation { no_takeover_wait: true, ..Mutation::default() })
        .assert_caught("takeover without the wait");
}

#[test]
fn a_takeover_that_counts_silence_from_before_the_move_is_caught() {
    check(2, 2, Mutation { no_wait_for_move: true, ..Mutation::default() })
        .assert_caught("silence before the move");
}

#[test]
fn growth_before_confirmation_is_caught() {
    check(2, 2, Mutation { no_confirmation: true, ..Mutation::default() })
        .assert_caught("growth before confirmation");
}

#[test]
fn serving_without_contact_is_caught() {
    check(N, 2, Mutation { no_isolation: true, ..Mutation::default() })
        .assert_caught("serving without contact");
}

#[test]
fn the_wanted_split_is_reached_when_nothing_fails() {
    let all: BTreeMap<Life, u64> = even_split(&(0..N).map(|ix| life(ix, 1)).collect());
    let found = search(&start(2, 0, Mutation::default()), next, |s| record(s.stored).current == all);
    assert!(found.violation.is_some(), "the third instance never got a share");
}
