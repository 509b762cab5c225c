//! Requests that must not be repeated: several attempts with one idempotency key lead to at most one run.

use burdock_decide::once::{
    AttemptDecision, AttemptRoute, KeyRecord, RunProgress, decide_attempt, route_attempt,
};
use burdock_decide::time::Time;
use burdock_model::ids::{Incarnation, InstanceId, InstanceIncarnation};

use crate::search::{SearchResult, search};

const INSTANCES: usize = 3;

/// Number of attempts that the caller makes.
const MAX_ATTEMPTS: u8 = 3;

/// Number of crashes, restarts, hand-overs, lapsed claims and store outages in one run of the model.
const MAX_FAULTS: u8 = 3;

/// Parts of the protocol that are disabled or broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Mutation {
    /// The receiving instance owns the key without a claim.
    no_claim: bool,
    /// Another instance takes over the key of an owner that is gone.
    replace_owner: bool,
    /// A successor runs requests whose keys it does not know.
    successor_runs: bool,
    /// The claim is deleted when its holder's lease ends.
    claim_lapses: bool,
    /// An owner removes the record of a key whose outcome is unknown.
    remove_unknown: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    store_reachable: bool,
    claim: Option<(usize, u32)>,
    instances: [Instance; INSTANCES],
    /// Incarnation that left, and the instance that answers for it.
    successor: Option<((usize, u32), usize)>,
    messages: Vec<Message>,
    attempts_left: u8,
    faults_left: u8,
    run_count: u8,
    mutation: Mutation,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Instance {
    running: bool,
    incarnation: u32,
    record: Option<KeyRecord<()>>,
    successor_of: Option<(usize, u32)>,
    /// Whether an attempt still needs the outcome of its claim.
    claim_pending: bool,
}

/// A message in transit, which may arrive late or never.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    /// An attempt that is relayed to an instance, for the given owner of its key.
    Relay { to: usize, owner: (usize, u32) },
}

fn instance_id(ix: usize) -> InstanceId {
    InstanceId::new(&format!("i{ix}")).expect("a valid instance id")
}

fn incarnation(owner: (usize, u32)) -> InstanceIncarnation {
    InstanceIncarnation { instance: instance_id(owner.0), incarnation: Incarnation(owner.1) }
}

fn initial_state(mutation: Mutation) -> State {
    let instance =
        Instance { running: true, incarnation: 1, record: None, successor_of: None, claim_pending: false };
    State {
        store_reachable: true,
        claim: None,
        instances: [instance.clone(), instance.clone(), instance],
        successor: None,
        messages: Vec::new(),
        attempts_left: MAX_ATTEMPTS,
        faults_left: MAX_FAULTS,
        run_count: 0,
        mutation,
    }
}

fn next_states(state: &State) -> Vec<State> {
    let mut successors = Vec::new();
    for ix in 0..INSTANCES {
        if state.attempts_left > 0 && state.instances[ix].running {
            successors.extend(attempt_outcomes(state, ix));
        }
        successors.extend(retry_claim(state, ix));
        successors.extend(finish_outcomes(state, ix));
        successors.extend(fault_outcomes(state, ix));
    }
    for index in 0..state.messages.len() {
        successors.extend(deliver_message(state, index));
    }
    if state.faults_left > 0 {
        let mut toggled = state.clone();
        toggled.store_reachable = !state.store_reachable;
        toggled.faults_left -= 1;
        successors.push(toggled);
    }
    successors
}

// An attempt reaches an instance, which claims the key or finds an earlier claim. The store's answer may be
// lost.
fn attempt_outcomes(state: &State, ix: usize) -> Vec<State> {
    let mut next = state.clone();
    next.attempts_left -= 1;
    let own = (ix, state.instances[ix].incarnation);
    if state.mutation.no_claim {
        return route_outcomes(&next, ix, own);
    }
    if !state.store_reachable {
        // The attempt is refused as not run. This is correct, since nothing was forwarded.
        return vec![next];
    }
    let owner = *next.claim.get_or_insert(own);
    let mut answer_lost = next.clone();
    answer_lost.instances[ix].claim_pending = true;
    let mut outcomes = route_outcomes(&next, ix, owner);
    outcomes.push(answer_lost);
    outcomes
}

// After a lost answer, the instance claims the key again and finds the owner.
fn retry_claim(state: &State, ix: usize) -> Vec<State> {
    if !state.instances[ix].claim_pending || !state.instances[ix].running || !state.store_reachable {
        return Vec::new();
    }
    let mut next = state.clone();
    next.instances[ix].claim_pending = false;
    let own = (ix, state.instances[ix].incarnation);
    let owner = *next.claim.get_or_insert(own);
    route_outcomes(&next, ix, owner)
}

fn route_outcomes(state: &State, ix: usize, owner: (usize, u32)) -> Vec<State> {
    let own = incarnation((ix, state.instances[ix].incarnation));
    let holder = &state.instances[owner.0];
    let is_alive = holder.running && holder.incarnation == owner.1;
    let successor = state.successor.filter(|(departed, _)| *departed == owner);
    let successor = successor.map(|(_, to)| incarnation((to, state.instances[to].incarnation)));
    let owner_incarnation = incarnation(owner);
    match route_attempt(&own, &owner_incarnation, is_alive, successor.as_ref()) {
        AttemptRoute::Local => run_outcomes(state, ix, owner),
        AttemptRoute::Relay(_) => vec![send_relay(state, owner.0, owner)],
        AttemptRoute::Successor(to) => {
            let to =
                (0..INSTANCES).find(|ix| instance_id(*ix) == to.instance).expect("an instance of the model");
            vec![send_relay(state, to, owner)]
        }
        AttemptRoute::OwnerGone if state.mutation.replace_owner => {
            run_outcomes(state, ix, (ix, state.instances[ix].incarnation))
        }
        AttemptRoute::OwnerGone => vec![state.clone()],
    }
}

fn send_relay(state: &State, to: usize, owner: (usize, u32)) -> State {
    let mut next = state.clone();
    next.messages.push(Message::Relay { to, owner });
    next.messages.sort_unstable();
    next
}

// A message is delivered or lost.
fn deliver_message(state: &State, index: usize) -> Vec<State> {
    let mut next = state.clone();
    let Message::Relay { to, owner } = next.messages.remove(index);
    let mut outcomes = vec![next.clone()];
    let instance = &next.instances[to];
    let is_owner = instance.running && (to, instance.incarnation) == owner;
    let is_successor = instance.running && instance.successor_of == Some(owner);
    if is_owner || is_successor {
        outcomes.extend(run_outcomes(&next, to, owner));
    }
    outcomes
}

// The owner checks its record and starts the request. A successor only answers from the record.
fn run_outcomes(state: &State, ix: usize, owner: (usize, u32)) -> Vec<State> {
    let own = (ix, state.instances[ix].incarnation);
    if owner != own && !state.mutation.successor_runs {
        return vec![state.clone()];
    }
    match decide_attempt(state.instances[ix].record.as_ref(), 1) {
        AttemptDecision::Run => {
            let mut next = state.clone();
            next.instances[ix].record =
                Some(KeyRecord { fingerprint: 1, progress: RunProgress::Started, started_at: Time(0) });
            // Either the request is forwarded and runs, or it is refused before that. In the latter case the
            // record is removed, and the answer "not run" is correct.
            let mut refused = next.clone();
            refused.instances[ix].record = None;
            next.run_count += 1;
            vec![next, refused]
        }
        AttemptDecision::Join
        | AttemptDecision::Replay(())
        | AttemptDecision::Unknown
        | AttemptDecision::Reused => vec![state.clone()],
    }
}

// The backend server's answer arrives, or its outcome stays unknown.
fn finish_outcomes(state: &State, ix: usize) -> Vec<State> {
    let in_flight = |r: &KeyRecord<()>| r.progress == RunProgress::Started;
    if !state.instances[ix].record.as_ref().is_some_and(in_flight) {
        return Vec::new();
    }
    let with = |progress: Option<RunProgress<()>>| {
        let mut next = state.clone();
        next.instances[ix].record =
            progress.map(|progress| KeyRecord { fingerprint: 1, progress, started_at: Time(0) });
        next
    };
    let unknown = if state.mutation.remove_unknown { None } else { Some(RunProgress::Unknown) };
    vec![with(Some(RunProgress::Finished(()))), with(unknown)]
}

fn fault_outcomes(state: &State, ix: usize) -> Vec<State> {
    if state.faults_left == 0 {
        return Vec::new();
    }
    let mut after_fault = state.clone();
    after_fault.faults_left -= 1;
    let mut outcomes = Vec::new();
    let mut crashed = after_fault.clone();
    let instance = &mut crashed.instances[ix];
    instance.running = !instance.running;
    if instance.running {
        instance.incarnation += 1;
    }
    instance.record = None;
    instance.successor_of = None;
    instance.claim_pending = false;
    outcomes.push(crashed);
    if state.instances[ix].running {
        outcomes.extend(
            (0..INSTANCES)
                .filter(|to| *to != ix && state.instances[*to].running)
                .map(|to| hand_over(&after_fault, ix, to)),
        );
    }
    if state.mutation.claim_lapses {
        let mut lapsed = after_fault;
        lapsed.claim = None;
        outcomes.push(lapsed);
    }
    outcomes
}

// Graceful shutdown: the record is handed over to a successor, and a request in flight counts as unknown.
fn hand_over(state: &State, from: usize, to: usize) -> State {
    let mut next = state.clone();
    let departed = (from, state.instances[from].incarnation);
    let record = state.instances[from].record.clone().map(|r| KeyRecord {
        progress: if r.progress == RunProgress::Started { RunProgress::Unknown } else { r.progress },
        ..r
    });
    let successor = &mut next.instances[to];
    successor.record = successor.record.take().or(record);
    successor.successor_of = Some(departed);
    next.successor = Some((departed, to));
    let departing = &mut next.instances[from];
    departing.running = false;
    departing.record = None;
    departing.claim_pending = false;
    next
}

fn violates(state: &State) -> bool {
    state.run_count > 1
}

fn check(mutation: Mutation) -> SearchResult<State> {
    search(&initial_state(mutation), next_states, violates)
}

#[test]
fn request_runs_at_most_once_per_key() {
    check(Mutation::default()).assert_safe("at most one run");
}

#[test]
fn run_without_a_claim_is_caught() {
    check(Mutation { no_claim: true, ..Mutation::default() }).assert_caught("no claim");
}

#[test]
fn replacing_an_owner_is_caught() {
    check(Mutation { replace_owner: true, ..Mutation::default() }).assert_caught("owner replaced");
}

#[test]
fn successor_that_runs_a_request_is_caught() {
    check(Mutation { successor_runs: true, ..Mutation::default() }).assert_caught("successor runs");
}

#[test]
fn lapsed_claim_is_caught() {
    check(Mutation { claim_lapses: true, ..Mutation::default() }).assert_caught("claim lapses");
}

#[test]
fn removal_of_an_unknown_outcome_is_caught() {
    check(Mutation { remove_unknown: true, ..Mutation::default() }).assert_caught("unknown forgotten");
}
