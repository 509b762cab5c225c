//! Configuration changes: once a change is accepted, every instance soon stops serving by the old
//! configuration.

use std::time::Duration;

use burdock_decide::connectivity::{CHANGE_TIMEOUT, ISOLATION_GRACE_TIME, STORE_CONTACT_TIMEOUT};
use burdock_decide::membership::suspect_timeout;

use crate::model_state::{Fault, INSTANCES, ModelState, Mutation, START_TICK, ticks_covering};
use crate::search::{SearchResult, search};

/// Revision that all instances start with. The only change of a run creates the next one.
const INITIAL_REVISION: u8 = 1;

/// Depth of the search in ticks.
const TICKS: u8 = 12;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    model_state: ModelState,
    stored_revision: u8,
    held_revisions: [u8; INSTANCES],
    /// When an instance began to track the announced change; 0 for never. Until the change is settled, the
    /// instance counts contact without the store as lost.
    change_tracked_at: [u8; INSTANCES],
    change: Change,
    mutation: Mutation,
}

/// State of the only change of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Change {
    /// Not yet requested.
    NotRequested,
    /// Announced at this tick by an instance. The write must happen within [`CHANGE_TIMEOUT`].
    Announced { at: u8, announcer: usize },
    /// Written to the store at this tick.
    Accepted { at: u8 },
    /// Refused or given up.
    Abandoned,
}

/// Returns how many ticks after the acceptance of a change an instance may still serve by the old
/// configuration.
fn max_stale_ticks() -> u8 {
    let majority_contact_end = suspect_timeout(INSTANCES) + ISOLATION_GRACE_TIME;
    let store_contact_end = STORE_CONTACT_TIMEOUT + ISOLATION_GRACE_TIME;
    let one_tick = Duration::from_secs(1);
    // Heartbeats and confirmations are relayed, which takes one tick at each hop.
    ticks_covering(majority_contact_end.max(store_contact_end)) + ticks_covering(one_tick * 2)
}

fn initial_state(faults: u8, mutation: Mutation) -> State {
    State {
        model_state: ModelState::healthy(faults),
        stored_revision: INITIAL_REVISION,
        held_revisions: [INITIAL_REVISION; INSTANCES],
        change_tracked_at: [0; INSTANCES],
        change: Change::NotRequested,
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
        if let Fault::ToggleCrash(ix) = fault {
            next.held_revisions[ix] = 0;
            next.change_tracked_at[ix] = 0;
        }
        let resumed = matches!(fault, Fault::TogglePause(ix) if !next.model_state.instances[ix].paused);
        if resumed {
            successors.push(next.clone());
        }
        successors.extend(round_outcomes(next));
    }
    successors
}

fn round_outcomes(mut state: State) -> Vec<State> {
    for ix in 0..INSTANCES {
        let caught_up = state.model_state.instances[ix].pending_reply.is_some();
        state.model_state.read_pending_reply(ix, state.mutation, caught_up);
    }
    if !state.mutation.no_catch_up {
        sync_revisions(&mut state);
    }
    let (held, stored) = (state.held_revisions, state.stored_revision);
    state.model_state.gossip(state.mutation, |ix, other| held[ix] >= other.map_or(stored, |o| held[o]));
    if state.mutation.no_catch_up {
        // Contact counts first. The new revision is installed after that, or not at all in this tick.
        let unsynced = state.clone();
        sync_revisions(&mut state);
        let mut outcomes = operator_outcomes(state);
        outcomes.push(unsynced);
        return outcomes;
    }
    operator_outcomes(state)
}

fn sync_revisions(state: &mut State) {
    let previous = state.held_revisions;
    for ix in 0..INSTANCES {
        for other in (0..INSTANCES).filter(|o| state.model_state.can_reach(ix, *o)) {
            state.held_revisions[ix] = state.held_revisions[ix].max(previous[other]);
        }
        if state.model_state.can_reach_store(ix) {
            state.held_revisions[ix] = state.held_revisions[ix].max(state.stored_revision);
        }
    }
}

fn operator_outcomes(state: State) -> Vec<State> {
    match state.change {
        Change::NotRequested => {
            let announced = (0..INSTANCES).filter_map(|ix| announce_change(&state, ix));
            announced.chain([state.clone()]).collect()
        }
        Change::Announced { at, announcer } => write_outcomes(&state, at, announcer),
        Change::Accepted { .. } | Change::Abandoned => vec![state],
    }
}

fn announce_change(state: &State, announcer: usize) -> Option<State> {
    if !state.model_state.may_take_over(announcer, state.mutation) {
        return None;
    }
    let mut next = state.clone();
    let mut tracking_instances = 0;
    for ix in (0..INSTANCES).filter(|ix| *ix == announcer || state.model_state.can_reach(announcer, *ix)) {
        if !state.mutation.no_announcement {
            next.change_tracked_at[ix] = state.model_state.tick;
        }
        tracking_instances += 1;
    }
    if tracking_instances * 2 <= INSTANCES && !state.mutation.no_majority {
        return None;
    }
    next.change = Change::Announced { at: state.model_state.tick, announcer };
    Some(next)
}

// The write takes effect in this tick or the next, its answer may be lost, or the writer gives up.
fn write_outcomes(state: &State, at: u8, announcer: usize) -> Vec<State> {
    let in_time = state.model_state.tick - at < ticks_covering(CHANGE_TIMEOUT);
    let mut outcomes = Vec::new();
    if in_time && state.model_state.can_reach_store(announcer) {
        let mut written = state.clone();
        written.stored_revision += 1;
        written.change = Change::Accepted { at: state.model_state.tick };
        outcomes.push(written);
    }
    let mut unwritten = state.clone();
    if !in_time || !state.model_state.is_running(announcer) {
        unwritten.change = Change::Abandoned;
    }
    outcomes.push(unwritten);
    outcomes
}

// An instance knows of a pending change if it tracks the change itself, or if an instance does that it has
// recent heartbeats from.
fn is_change_pending(state: &State, ix: usize) -> bool {
    let tracks_change = |member: usize| {
        let tracked_at = state.change_tracked_at[member];
        let settled_by_store = state.model_state.instances[member].store_confirmed_at
            > tracked_at + ticks_covering(CHANGE_TIMEOUT);
        // The change is settled for an instance that has it in force.
        let in_force = state.held_revisions[member] > INITIAL_REVISION;
        tracked_at > 0 && !settled_by_store && !in_force
    };
    let is_reachable = |member: usize| {
        let (incarnation, heartbeat_at, _) = state.model_state.instances[ix].members[member];
        let is_recent =
            state.model_state.tick.saturating_sub(heartbeat_at) <= ticks_covering(suspect_timeout(INSTANCES));
        member == ix
            || (incarnation == state.model_state.instances[member].incarnation
                && heartbeat_at > state.change_tracked_at[member]
                && is_recent)
    };
    (0..INSTANCES).any(|member| tracks_change(member) && is_reachable(member))
}

fn violates(state: &State) -> bool {
    let Change::Accepted { at } = state.change else {
        return false;
    };
    let is_stale = |ix: usize| state.held_revisions[ix] < state.stored_revision;
    let may_serve = |ix: usize| state.model_state.may_serve(ix, is_change_pending(state, ix), state.mutation);
    state.model_state.tick > at + max_stale_ticks() && (0..INSTANCES).any(|ix| is_stale(ix) && may_serve(ix))
}

fn check(faults: u8, mutation: Mutation) -> SearchResult<State> {
    search(&initial_state(faults, mutation), next_states, violates)
}

#[test]
fn old_configuration_is_served_no_longer_than_the_bound() {
    check(2, Mutation::default()).assert_safe("changes in force within the bound");
}

#[test]
fn changes_without_a_majority_are_caught() {
    let mutation = Mutation { no_majority: true, no_announcement: true, ..Mutation::default() };
    check(2, mutation).assert_caught("changes without a majority");
}

#[test]
fn unannounced_changes_are_caught() {
    check(2, Mutation { no_announcement: true, ..Mutation::default() })
        .assert_caught("changes without announcement");
}

#[test]
fn serving_without_contact_is_caught() {
    check(2, Mutation { no_isolation: true, ..Mutation::default() }).assert_caught("serving without contact");
}

#[test]
fn contact_from_stale_messages_is_caught() {
    let mutation = Mutation { stale_messages_as_contact: true, no_catch_up: true, ..Mutation::default() };
    check(3, mutation).assert_caught("contact from old messages");
}
