//! Which instances are there: heartbeats, suspicion, and whom to exchange with.

use std::time::Duration;

use burdock_model::fleet::Heartbeat;
use burdock_model::hash::{ranked, stable};
use burdock_model::ids::{Incarnation, InstanceId, RegionName, Revision, ZoneName};

use crate::time::Time;

/// Time between two rounds of exchange.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two rounds in a fleet of more than [`LARGE_FLEET_SIZE`] instances.
pub const LARGE_FLEET_ROUND_INTERVAL: Duration = Duration::from_millis(1000);

/// Instances from which a fleet counts as large.
pub const LARGE_FLEET_SIZE: usize = 100;

/// Instances in each zone that watch the store for the others.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Partners outside the watchers in one round.
pub const RANDOM_PARTNERS: usize = 2;

/// The most heartbeats in one message.
pub const MAX_DIGEST_HEARTBEATS: usize = 128;

/// The most heartbeats in a message between a watcher and its zone, in a fleet too large for one message.
/// Watchers hear from their whole zone in each round, and only tell it that the store's state is known.
pub const MAX_WATCHER_DIGEST_HEARTBEATS: usize = 4;

const SUSPECT_BASE: Duration = Duration::from_millis(2000);
const SUSPECT_PER_MEMBER: Duration = Duration::from_millis(12);
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// What is known of one instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its id.
    pub id: InstanceId,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its latest life.
    pub incarnation: Incarnation,
    /// The newest heartbeat of that life.
    pub heartbeat: u32,
    /// When its newest heartbeat was made, as early as any message tells.
    pub heartbeat_at: Time,
    /// When its latest life was first heard of.
    pub incarnation_seen_at: Time,
    /// As `heartbeat_at`, but from answers to own questions only, which a pause of this process can't make look new.
    pub confirmed_at: Option<Time>,
    /// The revision it had in force.
    pub revision: Revision,
    /// It has said that it is leaving, or the platform's list says so.
    pub leaving: bool,
    /// The platform's list holds it.
    pub listed: bool,
    /// It knows of a configuration change that is not settled.
    pub change_pending: bool,
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Heard of lately.
    Alive,
    /// Alive and leaving: no new work.
    Leaving,
    /// Not heard of for a while.
    Suspect,
    /// Neither listed nor heard of: to be dropped.
    Gone,
}

/// How long a member may be silent before it is suspected. It grows with the fleet, since heartbeats
/// take more rounds to spread.
#[must_use]
pub fn suspect_timeout(members: usize) -> Duration {
    SUSPECT_BASE + SUSPECT_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX)
}

/// The time between rounds for a fleet of this size.
#[must_use]
pub const fn round_interval(members: usize) -> Duration {
    if members > LARGE_FLEET_SIZE { LARGE_FLEET_ROUND_INTERVAL } else { ROUND_INTERVAL }
}

/// The hash that stands for an instance in heartbeats.
#[must_use]
pub fn id_hash(id: &InstanceId) -> u32 {
    const HALF: u32 = 32;
    u32::try_from(stable(id.as_str().as_bytes(), 0) >> HALF).unwrap_or(0)
}

/// How a heartbeat came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// In a message that another instance sent on its own, which arrived now.
    Push(Time),
    /// In the answer to a question that was sent at this time.
    Reply(Time),
}

/// Takes in a heartbeat. Returns whether it was news. A lower incarnation never replaces a higher one.
///
/// ```
/// use burdock_decide::membership::*;
/// use burdock_decide::time::Time;
/// use burdock_model::fleet::Heartbeat;
/// use burdock_model::prelude::*;
/// let mut member = Member {
///     id: InstanceId::new("a").unwrap(), region: RegionName::new("r").unwrap(),
///     zone: ZoneName::new("z").unwrap(), incarnation: Incarnation(2), heartbeat: 5,
///     heartbeat_at: Time(0), incarnation_seen_at: Time(0), confirmed_at: None, revision: Revision(1), leaving: false, listed: true,
///     change_pending: false,
/// };
/// let beat = Heartbeat { id_hash: id_hash(&member.id), incarnation: Incarnation(1), heartbeat: 9, leaving: false,
///     change_pending: false, age_ms: 0, revision: Revision(1) };
/// assert!(!record_heartbeat(&mut member, &beat, HeartbeatSource::Push(Time(10))));
/// let newer = Heartbeat { incarnation: Incarnation(3), ..beat };
/// assert!(record_heartbeat(&mut member, &newer, HeartbeatSource::Reply(Time(10))));
/// assert_eq!(member.confirmed_at, Some(Time(10)));
/// ```
pub fn record_heartbeat(member: &mut Member, beat: &Heartbeat, source: HeartbeatSource) -> bool {
    let theirs = (beat.incarnation, beat.heartbeat);
    let ours = (member.incarnation, member.heartbeat);
    if theirs < ours {
        return false;
    }
    let age = Duration::from_millis(u64::from(beat.age_ms));
    if let HeartbeatSource::Reply(asked) = source {
        member.confirmed_at = member.confirmed_at.max(Some(asked - age));
    }
    if theirs == ours {
        return false;
    }
    if beat.incarnation > member.incarnation {
        member.leaving = false;
    }
    let (HeartbeatSource::Push(at) | HeartbeatSource::Reply(at)) = source;
    if beat.incarnation > member.incarnation {
        member.incarnation_seen_at = at;
    }
    member.heartbeat_at = member.heartbeat_at.max(at - age);
    member.incarnation = beat.incarnation;
    member.heartbeat = beat.heartbeat;
    member.revision = beat.revision;
    member.leaving |= beat.leaving;
    member.change_pending = beat.change_pending;
    true
}

/// How a member stands now.
#[must_use]
pub fn member_state(member: &Member, members: usize, now: Time) -> MemberState {
    let silent = now.since(member.heartbeat_at);
    if member.incarnation.0 > 0 && silent <= suspect_timeout(members) {
        return if member.leaving { MemberState::Leaving } else { MemberState::Alive };
    }
    if !member.listed && silent > FORGET_AFTER {
        return MemberState::Gone;
    }
    MemberState::Suspect
}

/// Whether an instance is one of those that watch the store for its zone.
///
/// Every member that is listed or heard of competes, so that views that differ by one still agree on
/// at least one watcher.
#[must_use]
pub fn select_watchers<'a>(zone: &ZoneName, members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let subject = stable(zone.as_str().as_bytes(), 1);
    let mut found = ranked(subject, members.filter(|m| m.zone == *zone), |m| m.id.as_str());
    found.truncate(WATCHERS_PER_ZONE);
    found
}

/// The partners of one round.
#[derive(Clone, Debug)]
pub struct GossipPartners<'a> {
    /// The watchers of the own zone.
    pub watchers: Vec<&'a Member>,
    /// Others, drawn at random.
    pub others: Vec<&'a Member>,
}

/// The partners of one round: the zone's watchers, then a walk over all members that starts at a place
/// drawn at random, so that every pair meets in turn.
#[must_use]
pub fn select_gossip_partners<'a>(
    own: &InstanceId,
    zone: &ZoneName,
    members: &'a [Member],
    draw: u64,
) -> GossipPartners<'a> {
    let mut watching = select_watchers(zone, members.iter().filter(|m| m.id != *own));
    // In a large zone each member asks one of the watchers in turn.
    if members.len() > MAX_DIGEST_HEARTBEATS && watching.len() > 1 {
        watching.swap_remove(usize::from(draw.count_ones().is_multiple_of(2)));
    }
    let mut chosen = watching.clone();
    let others: Vec<&Member> =
        members.iter().filter(|m| m.id != *own && !chosen.iter().any(|c| c.id == m.id)).collect();
    if others.is_empty() {
        return GossipPartners { watchers: watching, others: Vec::new() };
    }
    let start = usize::try_from(draw % others.len() as u64).unwrap_or(0);
    let stride = 1 + usize::try_from((draw >> 32) % others.len() as u64).unwrap_or(0);
    for step in 0..RANDOM_PARTNERS.min(others.len()) {
        let candidate = others[(start + step * stride) % others.len()];
        if !chosen.iter().any(|c| c.id == candidate.id) {
            chosen.push(candidate);
        }
    }
    let others = chosen.split_off(watching.len());
    GossipPartners { watchers: watching, others }
}

/// How many heartbeats go into a message between a watcher and its zone.
#[must_use]
pub const fn watcher_digest_limit(members: usize) -> usize {
    if members > MAX_DIGEST_HEARTBEATS { MAX_WATCHER_DIGEST_HEARTBEATS } else { MAX_DIGEST_HEARTBEATS }
}

/// The heartbeats to send: the most recently heard first, at most `limit`.
///
/// Half of a full message goes to the newest, the other half walks over the rest, so that no member's
/// heartbeat is left behind in a large fleet.
#[must_use]
pub fn build_digest(members: &[Member], limit: usize, draw: u64, now: Time) -> Vec<Heartbeat> {
    let mut known: Vec<&Member> = members.iter().filter(|m| m.incarnation.0 > 0).collect();
    let limit = limit.max(2);
    if known.len() > limit {
        let newest = limit / 2;
        known.select_nth_unstable_by_key(newest - 1, |m| std::cmp::Reverse(m.heartbeat_at));
        let rest = known.len() - newest;
        let start = usize::try_from(draw % rest as u64).unwrap_or(0);
        let walk: Vec<&Member> = (0..limit - newest).map(|i| known[newest + (start + i) % rest]).collect();
        known.truncate(newest);
        known.extend(walk);
    }
    known.into_iter().map(|m| heartbeat_of(m, now)).collect()
}

fn heartbeat_of(member: &Member, now: Time) -> Heartbeat {
    Heartbeat {
        id_hash: id_hash(&member.id),
        incarnation: member.incarnation,
        heartbeat: member.heartbeat,
        leaving: member.leaving,
        change_pending: member.change_pending,
        age_ms: u32::try_from(now.since(member.heartbeat_at).as_millis()).unwrap_or(u32::MAX),
        revision: member.revision,
    }
}
