//! Requests that may not be repeated: one idempotency key, several attempts, at most one run.

use burdock_decide::once::{
    AttemptDecision, AttemptRoute, KeyRecord, RunProgress, decide_attempt, route_attempt,
};
use burdock_decide::time::Time;
use burdock_model::ids::{Incarnation, InstanceId, Life};

use crate::search::{Found, search};

const N: usize = 3;

/// Attempts that the caller makes in all.
const ATTEMPTS: u8 = 3;

/// Crashes, restarts, hand-overs and store outages in one run.
const FAULTS: u8 = 3;

/// Which parts of the protocol are left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Mutation {
    /// The receiver owns the key, without a claim.
    no_claim: bool,
    /// An owner that is gone is replaced.
    replace_owner: bool,
    /// A successor runs keys it does not know.
    successor_runs: bool,
    /// The claim is deleted when its holder's lease lapses.
    claim_lapses: bool,
    /// An owner forgets a key whose outcome is unknown.
    forget_unknown: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    store_up: bool,
    claim: Option<(usize, u32)>,
    instances: [Instance; N],
    /// Who answers for a life that left.
    successor: Option<((usize, u32), usize)>,
    messages: Vec<Message>,
    attempts_left: u8,
    faults_left: u8,
    runs: u8,
    mutation: Mutation,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Instance {
    up: bool,
    life: u32,
    record: Option<KeyRecord<()>>,
    answers_for: Option<(usize, u32)>,
    /// An attempt whose claim's answer is awaited.
    claiming: bool,
}

/// A message under way. It may come late, or be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    /// A relayed attempt for the owner, to an instance.
    Relay { to: usize, owner: (usize, u32) },
}

fn name(ix: usize) -> InstanceId {
    InstanceId::new(&format!("i{ix}")).expect("a name")
}

fn life(of: (usize, u32)) -> Life {
    Life { instance: name(of.0), incarnation: Incarnation(of.1) }
}

fn start(mutation: Mutation) -> State {
    let instance = Instance { up: true, life: 1, record: None, answers_for: None, claiming: false };
    State {
        store_up: true,
        claim: None,
        instances: [instance.clone(), instance.clone(), instance],
        successor: None,
        messages: Vec::new(),
        attempts_left: ATTEMPTS,
        faults_left: FAULTS,
        runs: 0,
        mutation,
    }
}

fn next(state: &State) -> Vec<State> {
    let mut successors = Vec::new();
    for ix in 0..N {
        if state.attempts_left > 0 && state.instances[ix].up {
            successors.extend(arrive(state, ix));
        }
        successors.extend(settle_claim(state, ix));
        successors.extend(finish(state, ix));
        successors.extend(faults(state, ix));
    }
    for at in 0..state.messages.len() {
        successors.extend(deliver(state, at));
    }
    if state.faults_left > 0 {
        let mut toggled = state.clone();
        toggled.store_up = !state.store_up;
        toggled.faults_left -= 1;
        successors.push(toggled);
    }
    successors
}

// An attempt reaches an instance, which claims the key or finds the claim. The answer may be lost.
fn arrive(state: &State, ix: usize) -> Vec<State> {
    let mut next = state.clone();
    next.attempts_left -= 1;
    let own = (ix, state.instances[ix].life);
    if state.mutation.no_claim {
        return route(&next, ix, own);
    }
    if !state.store_up {
        // Refused as not run, which is true: nothing was passed on.
        return vec![next];
    }
    let owner = *next.claim.get_or_insert(own);
    let mut lost = next.clone();
    lost.instances[ix].claiming = true;
    let mut outcomes = route(&next, ix, owner);
    outcomes.push(lost);
    outcomes
}

// After a lost answer the claim is tried again, and found.
fn settle_claim(state: &State, ix: usize) -> Vec<State> {
    if !state.instances[ix].claiming || !state.instances[ix].up || !state.store_up {
        return Vec::new();
    }
    let mut next = state.clone();
    next.instances[ix].claiming = false;
    let own = (ix, state.instances[ix].life);
    let owner = *next.claim.get_or_insert(own);
    route(&next, ix, owner)
}

fn route(state: &State, ix: usize, owner: (usize, u32)) -> Vec<State> {
    let own = life((ix, state.instances[ix].life));
    let holder = &state.instances[owner.0];
    let alive = holder.up && holder.life == owner.1;
    let successor = state.successor.filter(|(left, _)| *left == owner);
    let successor = successor.map(|(_, to)| life((to, state.instances[to].life)));
    let owner_life = life(owner);
    match route_attempt(&own, &owner_life, alive, successor.as_ref()) {
        AttemptRoute::Local => run(state, ix, owner),
        AttemptRoute::Relay(_) => vec![relay(state, owner.0, owner)],
        AttemptRoute::Successor(to) => {
            let to = (0..N).find(|ix| name(*ix) == to.instance).expect("one of the instances");
            vec![relay(state, to, owner)]
        }
        AttemptRoute::OwnerGone if state.mutation.replace_owner => {
            run(state, ix, (ix, state.instances[ix].life))
        }
        AttemptRoute::OwnerGone => vec![state.clone()],
    }
}

fn relay(state: &State, to: usize, owner: (usize, u32)) -> State {
    let mut next = state.clone();
    next.messages.push(Message::Relay { to, owner });
    next.messages.sort_unstable();
    next
}

// Delivered, or lost.
fn deliver(state: &State, at: usize) -> Vec<State> {
    let mut next = state.clone();
    let Message::Relay { to, owner } = next.messages.remove(at);
    let mut outcomes = vec![next.clone()];
    let instance = &next.instances[to];
    let is_owner = instance.up && (to, instance.life) == owner;
    let answers = instance.up && instance.answers_for == Some(owner);
    if is_owner || answers {
        outcomes.extend(run(&next, to, owner));
    }
    outcomes
}

// The owner looks at its record and begins; a successor only answers.
fn run(state: &State, ix: usize, owner: (usize, u32)) -> Vec<State> {
    let own = (ix, state.instances[ix].life);
    if owner != own && !state.mutation.successor_runs {
        return vec![state.clone()];
    }
    match decide_attempt(state.instances[ix].record.as_ref(), 1) {
        AttemptDecision::Run => {
            let mut next = state.clone();
            next.instances[ix].record =
                Some(KeyRecord { fingerprint: 1, progress: RunProgress::Started, started_at: Time(0) });
            // Passed on: it runs. Refused before that: the record is freed, and "not run" is true.
            let mut refused = next.clone();
            refused.instances[ix].record = None;
            next.runs += 1;
            vec![next, refused]
        }
        AttemptDecision::Join
        | AttemptDecision::Replay(())
        | AttemptDecision::Unknown
        | AttemptDecision::Reused => vec![state.clone()],
    }
}

// The answer comes, or does not.
fn finish(state: &State, ix: usize) -> Vec<State> {
    let at_work = |r: &KeyRecord<()>| r.progress == RunProgress::Started;
    if !state.instances[ix].record.as_ref().is_some_and(at_work) {
        return Vec::new();
    }
    let with = |progress: Option<RunProgress<()>>| {
        let mut next = state.clone();
        next.instances[ix].record =
            progress.map(|progress| KeyRecord { fingerprint: 1, progress, started_at: Time(0) });
        next
    };
    let unknown = if state.mutation.forget_unknown { None } else { Some(RunProgress::Unknown) };
    vec![with(Some(RunProgress::Finished(()))), with(unknown)]
}

fn faults(state: &State, ix: usize) -> Vec<State> {
    if state.faults_left == 0 {
        return Vec::new();
    }
    let mut spent = state.clone();
    spent.faults_left -= 1;
    let mut outcomes = Vec::new();
    let mut crashed = spent.clone();
    let instance = &mut crashed.instances[ix];
    instance.up = !instance.up;
    if instance.up {
        instance.life += 1;
    }
    instance.record = None;
    instance.answers_for = None;
    instance.claiming = false;
    outcomes.push(crashed);
    if state.instances[ix].up {
        outcomes.extend(
            (0..N).filter(|to| *to != ix && state.instances[*to].up).map(|to| hand_over(&spent, ix, to)),
        );
    }
    if state.mutation.claim_lapses {
        let mut lapsed = spent;
        lapsed.claim = None;
        outcomes.push(lapsed);
    }
    outcomes
}

// A graceful end: the record goes to a successor, a request at work counts as unknown.
fn hand_over(state: &State, from: usize, to: usize) -> State {
    let mut next = state.clone();
    let left = (from, state.instances[from].life);
    let record = state.instances[from].record.clone().map(|r| KeyRecord {
        progress: if r.progress == RunProgress::Started { RunProgress::Unknown } else { r.progress },
        ..r
    });
    let taker = &mut next.instances[to];
    taker.record = taker.record.take().or(record);
    taker.answers_for = Some(left);
    next.successor = Some((left, to));
    let leaver = &mut next.instances[from];
    leaver.up = false;
    leaver.record = None;
    leaver.claiming = false;
    next
}

fn violates(state: &State) -> bool {
    state.runs > 1
}

fn check(mutation: Mutation) -> Found<State> {
    search(&start(mutation), next, violates)
}

#[test]
fn a_key_runs_at_most_once() {
    check(Mutation::default()).assert_safe("at most one run");
}

#[test]
fn a_run_without_a_claim_is_caught() {
    check(Mutation { no_claim: true, ..Mutation::default() }).assert_caught("no claim");
}

#[test]
fn replacing_an_owner_is_caught() {
    check(Mutation { replace_owner: true, ..Mutation::default() }).assert_caught("owner replaced");
}

#[test]
fn a_successor_that_runs_is_caught() {
    check(Mutation { successor_runs: true, ..Mutation::default() }).assert_caught("successor runs");
}

#[test]
fn a_claim_that_lapses_is_caught() {
    check(Mutation { claim_lapses: true, ..Mutation::default() }).assert_caught("claim lapses");
}

#[test]
fn forgetting_an_unknown_outcome_is_caught() {
    check(Mutation { forget_unknown: true, ..Mutation::default() }).assert_caught("unknown forgotten");
}
