//! Quota shares: no sequence of faults makes the shares in use add up to more than the organisation's limits.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use burdock_decide::connectivity::takeover_delay;
use burdock_decide::limit::TOKEN;
use burdock_decide::shares::{
    HolderView, KeeperAction, KeeperView, ShareRecord, even_split, next_keeper_action,
};
use burdock_model::ids::{Incarnation, InstanceId, InstanceIncarnation};
use burdock_model::units::Rate;

use crate::model_state::{Fault, INSTANCES, ModelState, Mutation, START_TICK};
use crate::search::{SearchResult, search};

const RATE: u64 = 30;
const BURST: u32 = 7;

/// Depth of the search in ticks. A takeover and the start of one more move fit into it.
const TICKS: u8 = 11;

// Records are interned, and states hold only their indices, which keeps states small.
thread_local! {
    static RECORDS: RefCell<Vec<ShareRecord>> = const { RefCell::new(Vec::new()) };
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    model_state: ModelState,
    stored_record: usize,
    held_records: [usize; INSTANCES],
    /// When each instance first held its current version.
    known_since: [u8; INSTANCES],
    delayed_write: Option<(u64, usize)>,
    just_resumed: bool,
    mutation: Mutation,
}

fn intern_record(record: &ShareRecord) -> usize {
    RECORDS.with_borrow_mut(|records| {
        records.iter().position(|r| r == record).unwrap_or_else(|| {
            records.push(record.clone());
            records.len() - 1
        })
    })
}

fn interned_record(index: usize) -> ShareRecord {
    RECORDS.with_borrow(|records| records[index].clone())
}

fn incarnation(ix: usize, number: u8) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: InstanceId::new(&format!("i{ix}")).expect("a valid instance id"),
        incarnation: Incarnation(u32::from(number)),
    }
}

// Returns a state in which the shares are settled among the first `holders` instances.
fn initial_state(holders: usize, faults: u8, mutation: Mutation) -> State {
    let incarnations: BTreeSet<InstanceIncarnation> = (0..holders).map(|ix| incarnation(ix, 1)).collect();
    let split = even_split(&incarnations);
    let settled = intern_record(&ShareRecord { version: 1, current: split.clone(), target: split });
    State {
        model_state: ModelState::healthy(faults),
        stored_record: settled,
        held_records: [settled; INSTANCES],
        known_since: [START_TICK; INSTANCES],
        delayed_write: None,
        just_resumed: false,
        mutation,
    }
}

fn next_states(state: &State) -> Vec<State> {
    if state.model_state.tick >= START_TICK + TICKS {
        return Vec::new();
    }
    let mut successors = Vec::new();
    for fault in state.model_state.possible_faults() {
        let mut next = state.clone();
        next.model_state = state.model_state.next_tick(fault);
        next.just_resumed = matches!(fault, Fault::TogglePause(ix) if !next.model_state.instances[ix].paused);
        if let Fault::ToggleCrash(ix) = fault {
            next.held_records[ix] = intern_record(&ShareRecord::default());
        }
        if next.just_resumed {
            // A resumed process may serve before it reads any message.
            successors.push(next.clone());
        }
        successors.extend(round_outcomes(next));
    }
    successors
}

fn round_outcomes(mut state: State) -> Vec<State> {
    state.just_resumed = false;
    apply_delayed_write(&mut state);
    for ix in 0..INSTANCES {
        let caught_up = state.model_state.instances[ix].pending_reply.is_some();
        state.model_state.read_pending_reply(ix, state.mutation, caught_up);
    }
    sync_records(&mut state);
    let held = state.held_records;
    let stored = state.stored_record;
    let version = |n: usize| interned_record(n).version;
    state
        .model_state
        .gossip(state.mutation, |ix, other| version(held[ix]) >= version(other.map_or(stored, |o| held[o])));
    let mut outcomes = vec![state.clone()];
    for keeper in 0..INSTANCES {
        let first_step = keeper_outcomes(&state, keeper);
        // Where possible, a keeper takes two steps in one round.
        outcomes.extend(first_step.iter().flat_map(|s| keeper_outcomes(s, keeper)));
        outcomes.extend(first_step);
    }
    outcomes
}

// An instance copies all records it can reach before contact counts, unless a mutation leaves this out.
fn sync_records(state: &mut State) {
    if state.mutation.no_catch_up {
        return;
    }
    for ix in 0..INSTANCES {
        let mut newest = state.held_records[ix];
        for other in (0..INSTANCES).filter(|o| state.model_state.can_reach(ix, *o)) {
            if interned_record(state.held_records[other]).version > interned_record(newest).version {
                newest = state.held_records[other];
            }
        }
        if state.model_state.can_reach_store(ix) {
            newest = state.stored_record;
        }
        set_held_record(state, ix, newest);
    }
}

fn set_held_record(state: &mut State, ix: usize, index: usize) {
    if state.held_records[ix] != index {
        state.held_records[ix] = index;
        state.known_since[ix] = state.model_state.tick;
    }
}

// A keeper's write takes effect at once or later. If its answer is lost, the keeper learns of the write in
// the same way as other instances.
fn keeper_outcomes(state: &State, keeper: usize) -> Vec<State> {
    if !state.model_state.may_take_over(keeper, state.mutation) || !state.model_state.can_reach_store(keeper)
    {
        return Vec::new();
    }
    let held = interned_record(state.held_records[keeper]);
    let alive: BTreeSet<InstanceIncarnation> =
        state.model_state.alive_members(keeper).into_iter().map(|(ix, n)| incarnation(ix, n)).collect();
    let desired = even_split(&alive);
    let delay = if state.mutation.no_takeover_delay { Duration::ZERO } else { takeover_delay(INSTANCES) };
    let version_known_time = if state.mutation.silence_before_move {
        Duration::MAX
    } else {
        state.model_state.time_since(state.known_since[keeper])
    };
    let view = KeeperView { record: &held, version_known_time, desired: &desired, takeover_delay: delay };
    let KeeperAction::Write(next) = next_keeper_action(&view, |holder| holder_view(state, keeper, holder))
    else {
        return Vec::new();
    };
    let written = intern_record(&next);
    let mut outcomes = Vec::new();
    if interned_record(state.stored_record).version == held.version {
        let mut written_now = state.clone();
        written_now.stored_record = written;
        outcomes.push(written_now.clone());
        set_held_record(&mut written_now, keeper, written);
        outcomes.push(written_now);
    }
    if state.delayed_write.is_none() && state.model_state.faults_left > 0 {
        let mut delayed = state.clone();
        delayed.model_state.faults_left -= 1;
        delayed.delayed_write = Some((held.version, written));
        outcomes.push(delayed);
    }
    outcomes
}

fn holder_view(state: &State, keeper: usize, holder: &InstanceIncarnation) -> HolderView {
    let ix = (0..INSTANCES)
        .find(|ix| incarnation(*ix, 0).instance == holder.instance)
        .expect("an instance of the model");
    let number = u8::try_from(holder.incarnation.0).expect("an incarnation below 256");
    let can_reply = ix == keeper || state.model_state.can_reach(keeper, ix);
    let is_same_incarnation = state.model_state.instances[ix].incarnation == number;
    let confirmed_version =
        if can_reply && is_same_incarnation { interned_record(state.held_records[ix]).version } else { 0 };
    let confirmed_version = if state.mutation.no_confirmation { u64::MAX } else { confirmed_version };
    HolderView { confirmed_version, silent_time: state.model_state.silence_of(keeper, ix, number) }
}

fn apply_delayed_write(state: &mut State) {
    if let Some((replaced_version, written)) = state.delayed_write.take()
        && interned_record(state.stored_record).version == replaced_version
    {
        state.stored_record = written;
    }
}

fn violates(state: &State) -> bool {
    let serving = (0..INSTANCES).filter(|ix| state.model_state.may_serve(*ix, false, state.mutation));
    let (mut cap, mut rate) = (0, 0);
    for ix in serving {
        let own = incarnation(ix, state.model_state.instances[ix].incarnation);
        let allotment =
            interned_record(state.held_records[ix]).allotment_of(&own, Rate::per_second(RATE), BURST);
        cap += allotment.cap;
        rate += allotment.rate;
    }
    cap > u64::from(BURST) * TOKEN || rate > RATE * TOKEN
}

fn check(holders: usize, faults: u8, mutation: Mutation) -> SearchResult<State> {
    search(&initial_state(holders, faults, mutation), next_states, violates)
}

#[test]
fn used_shares_never_exceed_the_limits() {
    check(INSTANCES, 2, Mutation::default()).assert_safe("shares within the whole");
}

#[test]
fn used_shares_never_exceed_the_limits_when_an_instance_joins() {
    check(2, 2, Mutation::default()).assert_safe("shares within the whole while one joins");
}

#[test]
fn takeover_without_delay_is_caught() {
    check(INSTANCES, 2, Mutation { no_takeover_delay: true, ..Mutation::default() })
        .assert_caught("takeover without the wait");
}

#[test]
fn takeover_that_counts_silence_before_the_move_is_caught() {
    check(2, 2, Mutation { silence_before_move: true, ..Mutation::default() })
        .assert_caught("silence before the move");
}

#[test]
fn share_growth_before_confirmation_is_caught() {
    check(2, 2, Mutation { no_confirmation: true, ..Mutation::default() })
        .assert_caught("growth before confirmation");
}

#[test]
fn serving_without_contact_is_caught() {
    check(INSTANCES, 2, Mutation { no_isolation: true, ..Mutation::default() })
        .assert_caught("serving without contact");
}

#[test]
fn target_split_is_reached_without_faults() {
    let all: BTreeMap<InstanceIncarnation, u64> =
        even_split(&(0..INSTANCES).map(|ix| incarnation(ix, 1)).collect());
    let result = search(&initial_state(2, 0, Mutation::default()), next_states, |s| {
        interned_record(s.stored_record).current == all
    });
    assert!(result.violation.is_some(), "the third instance never got a share");
}
