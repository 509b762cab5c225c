//! Membership of the fleet: heartbeats, suspicion, and the choice of gossip partners.

use std::time::Duration;

use burdock_model::fleet::Heartbeat;
use burdock_model::hash::{rendezvous_order, stable_hash};
use burdock_model::ids::{Incarnation, InstanceId, RegionName, Revision, ZoneName};

use crate::time::Time;

/// Time between two gossip rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two gossip rounds in a fleet of more than [`LARGE_FLEET_SIZE`] instances.
pub const LARGE_FLEET_ROUND_INTERVAL: Duration = Duration::from_millis(1000);

/// Largest number of instances for which [`ROUND_INTERVAL`] applies.
pub const LARGE_FLEET_SIZE: usize = 100;

/// Instances in each availability zone that watch the store and relay its changes to the rest of the zone.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Gossip partners in one round besides the zone's watchers.
pub const RANDOM_PARTNERS: usize = 2;

/// Maximum number of heartbeats in one message.
pub const MAX_DIGEST_HEARTBEATS: usize = 128;

/// Maximum number of heartbeats in a message between a watcher and its zone once the fleet exceeds
/// [`MAX_DIGEST_HEARTBEATS`].
///
/// A watcher exchanges messages with its whole zone in each round. These only have to confirm the state of
/// the store.
pub const MAX_WATCHER_DIGEST_HEARTBEATS: usize = 4;

const BASE_SUSPECT_TIMEOUT: Duration = Duration::from_millis(2000);
const SUSPECT_TIMEOUT_PER_MEMBER: Duration = Duration::from_millis(12);
const UNLISTED_MEMBER_RETENTION: Duration = Duration::from_secs(60);

/// State known about one instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Unique id of the instance.
    pub id: InstanceId,
    /// Region that the instance runs in.
    pub region: RegionName,
    /// Availability zone that the instance runs in.
    pub zone: ZoneName,
    /// Newest known incarnation; 0 if no heartbeat has arrived yet.
    pub incarnation: Incarnation,
    /// Counter of the newest heartbeat of that incarnation.
    pub heartbeat: u32,
    /// When the newest heartbeat was made, computed from its age in the message that brought it.
    pub heartbeat_at: Time,
    /// When the newest incarnation was first seen.
    pub incarnation_seen_at: Time,
    /// Like `heartbeat_at`, but only from replies, whose age counts from the request.
    ///
    /// A message that arrived while this process was paused thus never looks new.
    pub confirmed_at: Option<Time>,
    /// Configuration revision that the instance last reported as in force.
    pub revision: Revision,
    /// Whether the instance, or the platform's list, has announced that it is leaving.
    pub leaving: bool,
    /// Whether the platform's list contains the instance.
    pub listed: bool,
    /// Whether the instance knows of a configuration change that is not settled.
    pub change_pending: bool,
}

/// State of a member as seen by this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// A recent heartbeat is known.
    Alive,
    /// Alive, but shutting down: it gets no new work.
    Leaving,
    /// No heartbeat within [`suspect_timeout`].
    Suspect,
    /// Not in the platform's list and silent for so long that the member can be removed.
    Gone,
}

/// Returns how long a member may be silent before it is suspected.
///
/// The timeout grows with the fleet, since heartbeats take more gossip rounds to spread.
#[must_use]
pub fn suspect_timeout(members: usize) -> Duration {
    BASE_SUSPECT_TIMEOUT + SUSPECT_TIMEOUT_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX)
}

/// Returns the time between two gossip rounds in a fleet of this size.
#[must_use]
pub const fn round_interval(members: usize) -> Duration {
    if members > LARGE_FLEET_SIZE { LARGE_FLEET_ROUND_INTERVAL } else { ROUND_INTERVAL }
}

/// Returns the hash that identifies an instance in heartbeats.
#[must_use]
pub fn id_hash(id: &InstanceId) -> u32 {
    const UPPER_HALF_SHIFT: u32 = 32;
    u32::try_from(stable_hash(id.as_str().as_bytes(), 0) >> UPPER_HALF_SHIFT).unwrap_or(0)
}

/// How a heartbeat arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// In an unsolicited message that arrived at this time.
    Push(Time),
    /// In the reply to a request that was sent at this time.
    Reply(Time),
}

/// Records a heartbeat and returns whether it is newer than the one known.
///
/// A lower incarnation never replaces a higher one.
///
/// ```
/// use burdock_decide::membership::*;
/// use burdock_decide::time::Time;
/// use burdock_model::fleet::Heartbeat;
/// use burdock_model::prelude::*;
/// let mut member = Member {
///     id: InstanceId::new("a").unwrap(), region: RegionName::new("r").unwrap(),
///     zone: ZoneName::new("z").unwrap(), incarnation: Incarnation(2), heartbeat: 5,
///     heartbeat_at: Time(0), incarnation_seen_at: Time(0), confirmed_at: None, revision: Revision(1),
///     leaving: false, listed: true, change_pending: false,
/// };
/// let stale = Heartbeat {
///     id_hash: id_hash(&member.id), incarnation: Incarnation(1), heartbeat: 9, leaving: false,
///     change_pending: false, age_ms: 0, revision: Revision(1),
/// };
/// assert!(!record_heartbeat(&mut member, &stale, HeartbeatSource::Push(Time(10))));
/// let newer = Heartbeat { incarnation: Incarnation(3), ..stale };
/// assert!(record_heartbeat(&mut member, &newer, HeartbeatSource::Reply(Time(10))));
/// assert_eq!(member.confirmed_at, Some(Time(10)));
/// ```
pub fn record_heartbeat(member: &mut Member, heartbeat: &Heartbeat, source: HeartbeatSource) -> bool {
    let received = (heartbeat.incarnation, heartbeat.heartbeat);
    let known = (member.incarnation, member.heartbeat);
    if received < known {
        return false;
    }
    let age = Duration::from_millis(u64::from(heartbeat.age_ms));
    if let HeartbeatSource::Reply(requested_at) = source {
        member.confirmed_at = member.confirmed_at.max(Some(requested_at - age));
    }
    if received == known {
        return false;
    }
    if heartbeat.incarnation > member.incarnation {
        member.leaving = false;
    }
    let (HeartbeatSource::Push(at) | HeartbeatSource::Reply(at)) = source;
    if heartbeat.incarnation > member.incarnation {
        member.incarnation_seen_at = at;
    }
    member.heartbeat_at = member.heartbeat_at.max(at - age);
    member.incarnation = heartbeat.incarnation;
    member.heartbeat = heartbeat.heartbeat;
    member.revision = heartbeat.revision;
    member.leaving |= heartbeat.leaving;
    member.change_pending = heartbeat.change_pending;
    true
}

/// Returns the state of a member at `now`.
#[must_use]
pub fn member_state(member: &Member, members: usize, now: Time) -> MemberState {
    let silence = now.since(member.heartbeat_at);
    if member.incarnation.0 > 0 && silence <= suspect_timeout(members) {
        return if member.leaving { MemberState::Leaving } else { MemberState::Alive };
    }
    if !member.listed && silence > UNLISTED_MEMBER_RETENTION {
        return MemberState::Gone;
    }
    MemberState::Suspect
}

/// Selects the instances that watch the store for a zone, by rendezvous hashing.
///
/// Listed members take part even without a heartbeat, so that two instances whose views differ by one member
/// still agree on at least one watcher.
#[must_use]
pub fn select_watchers<'a>(zone: &ZoneName, members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let subject = stable_hash(zone.as_str().as_bytes(), 1);
    let mut selected = rendezvous_order(subject, members.filter(|m| m.zone == *zone), |m| m.id.as_str());
    selected.truncate(WATCHERS_PER_ZONE);
    selected
}

/// Instances to exchange messages with in one gossip round.
#[derive(Clone, Debug)]
pub struct GossipPartners<'a> {
    /// Store watchers of the local zone.
    pub watchers: Vec<&'a Member>,
    /// Other members, selected at random.
    pub others: Vec<&'a Member>,
}

/// Selects the partners of one gossip round: watchers of the local zone and a few other members.
///
/// The others are found by stepping through the list of members from a random start with a random stride, so
/// that every pair of instances exchanges messages from time to time.
#[must_use]
pub fn select_gossip_partners<'a>(
    own: &InstanceId,
    zone: &ZoneName,
    members: &'a [Member],
    random: u64,
) -> GossipPartners<'a> {
    let mut zone_watchers = select_watchers(zone, members.iter().filter(|m| m.id != *own));
    // In a large fleet, each round contacts only one of the watchers, chosen at random.
    if members.len() > MAX_DIGEST_HEARTBEATS && zone_watchers.len() > 1 {
        zone_watchers.swap_remove(usize::from(random.count_ones().is_multiple_of(2)));
    }
    let mut selected = zone_watchers.clone();
    let others: Vec<&Member> =
        members.iter().filter(|m| m.id != *own && !selected.iter().any(|c| c.id == m.id)).collect();
    if others.is_empty() {
        return GossipPartners { watchers: zone_watchers, others: Vec::new() };
    }
    let start = usize::try_from(random % others.len() as u64).unwrap_or(0);
    let stride = 1 + usize::try_from((random >> 32) % others.len() as u64).unwrap_or(0);
    for step in 0..RANDOM_PARTNERS.min(others.len()) {
        let candidate = others[(start + step * stride) % others.len()];
        if !selected.iter().any(|c| c.id == candidate.id) {
            selected.push(candidate);
        }
    }
    let others = selected.split_off(zone_watchers.len());
    GossipPartners { watchers: zone_watchers, others }
}

/// Returns the maximum number of heartbeats in a message between a watcher and its zone.
#[must_use]
pub const fn watcher_digest_limit(members: usize) -> usize {
    if members > MAX_DIGEST_HEARTBEATS { MAX_WATCHER_DIGEST_HEARTBEATS } else { MAX_DIGEST_HEARTBEATS }
}

/// Builds the digest of heartbeats to send, with at most `limit` entries (at least two).
///
/// If not all heartbeats fit, half of the digest holds the newest ones and the other half a random run of the
/// rest, so that every member's heartbeat is sent from time to time in a large fleet.
#[must_use]
pub fn build_digest(members: &[Member], limit: usize, random: u64, now: Time) -> Vec<Heartbeat> {
    let mut known: Vec<&Member> = members.iter().filter(|m| m.incarnation.0 > 0).collect();
    let limit = limit.max(2);
    if known.len() > limit {
        let newest_count = limit / 2;
        known.select_nth_unstable_by_key(newest_count - 1, |m| std::cmp::Reverse(m.heartbeat_at));
        let rest_count = known.len() - newest_count;
        let start = usize::try_from(random % rest_count as u64).unwrap_or(0);
        let sample: Vec<&Member> =
            (0..limit - newest_count).map(|i| known[newest_count + (start + i) % rest_count]).collect();
        known.truncate(newest_count);
        known.extend(sample);
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
