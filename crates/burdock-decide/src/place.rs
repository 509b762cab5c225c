//! Which backend server takes a request, when one that ran the same object lately works faster.
//!
//! Each object has a few homes by weighted rendezvous rank, so that all instances of a region send it to the same
//! backend servers without talking about it. Load, distance and measured slowness move it elsewhere.

/// Working time at a backend server that has not run the object lately, relative to one that has.
const COLD_FACTOR: f64 = 3.0;

/// The working time to reckon with at each of an object's homes, relative to the first: a later one ran the object
/// lately only if the first was full.
const HOME_FACTORS: [f64; HOMES] = [1.0, 2.2];

/// Homes of each object. With more of them a backend server would get more objects than it can keep warm, and
/// then all its work is cold.
const HOMES: usize = 2;

/// Weight of a backend server of the own region when homes are ranked, relative to one of another region.
const NEAR_WEIGHT: f64 = 5.0;

/// Requests for each slot up to which a backend server takes objects that it is no home of: a cold run takes as
/// much work as several warm ones, so only idle slots are spent on it.
const STRANGER_CROWDING: f64 = 0.25;

/// Requests for each slot up to which a backend server takes objects whose first home is another: only free slots are
/// spent on that, or in an overload each backend server would get more objects than it keeps warm.
const LATER_HOME_CROWDING: f64 = 0.75;

/// The part of a working time that a full backend server adds before any request waits there: among backend
/// servers that are alike otherwise, the emptier one is taken.
const FILL_FACTOR: f64 = 0.25;

/// The highest part of failed or refused requests that is reckoned with, so that a cost stays finite.
const MAX_FAILING: f64 = 0.95;

/// What a refused request loses, in usual working times: it goes to a later home, or its caller comes again.
const REFUSAL_FACTOR: f64 = 2.5;

/// A backend server as a candidate for one request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of its id.
    pub id_hash: u64,
    /// It is in the region of this instance.
    pub is_local: bool,
    /// Time there and back.
    pub round_trip_ms: f64,
    /// Requests it works on at once.
    pub slots: u32,
    /// Requests that are known or assumed to be there.
    pub load: u32,
    /// Measured working time relative to the usual one.
    pub slowness: f64,
    /// Part of its requests that fail.
    pub failure_ratio: f64,
    /// Part of its requests that it refuses without running them.
    pub refusal_ratio: f64,
    /// This instance knows that it ran the object lately.
    pub is_warm: bool,
    /// It takes this request.
    pub is_available: bool,
}

/// What a place is decided from.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// All backend servers of the service.
    pub candidates: &'a [Candidate],
    /// Hash of the object; none where backend servers work alike on all.
    pub object: Option<u64>,
    /// Usual working time where the object ran lately.
    pub warm_service_ms: f64,
    /// Usual working time of the service's requests.
    pub mean_service_ms: f64,
    /// Requests that may be at a backend server for each of its slots.
    pub max_load_per_slot: f64,
    /// Uniform over all `u64`; decides ties.
    pub random: u64,
}

/// The place for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Index of the candidate.
    pub ix: usize,
    /// The time to expect until its answer is here, if it neither fails nor refuses.
    pub expected_ms: f64,
    /// All slots were taken, so that it has to wait there.
    pub queued: bool,
    /// Requests that were reckoned to be there.
    pub load: u32,
    /// Its rank among the object's homes in its region; none where it is no home.
    pub rank: Option<usize>,
}

/// The place with the least expected time; none when all are closed or too crowded.
///
/// ```
/// use burdock_decide::place::*;
/// let near = Candidate { id_hash: 1, is_local: true, round_trip_ms: 1.0, slots: 2, load: 0, slowness: 1.0,
///     failure_ratio: 0.0, refusal_ratio: 0.0, is_warm: true, is_available: true };
/// let far = Candidate { id_hash: 2, is_local: false, round_trip_ms: 100.0, ..near };
/// let view = PlacementView { candidates: &[near, far], object: Some(9), warm_service_ms: 50.0, mean_service_ms: 50.0,
///     max_load_per_slot: 3.0, random: 0 };
/// assert_eq!(place_request(&view).unwrap().ix, 0);
/// let crowded = [Candidate { load: 6, ..near }, far];
/// assert_eq!(place_request(&PlacementView { candidates: &crowded, ..view }).unwrap().ix, 1);
/// ```
#[must_use]
pub fn place_request(view: &PlacementView<'_>) -> Option<Placement> {
    let homes = Homes::of(view);
    let usual = Usual::of(view.candidates);
    let count = view.candidates.len();
    let start = usize::try_from(view.random % count.max(1) as u64).unwrap_or(0);
    let mut best: Option<(f64, Placement)> = None;
    for step in 0..count {
        let ix = (start + step) % count;
        let candidate = &view.candidates[ix];
        let kinship = homes.kinship(ix, candidate);
        if !candidate.is_available || !has_room(candidate, kinship.max_load_per_slot(view.max_load_per_slot))
        {
            continue;
        }
        let expected_ms = expected_ms(candidate, kinship.factor(), view);
        let cost_ms = expected_ms + usual.lost_ms(candidate, expected_ms, view.warm_service_ms);
        if best.is_none_or(|(least_ms, _)| cost_ms < least_ms) {
            let queued = !has_room(candidate, 1.0);
            let place = Placement { ix, expected_ms, queued, load: candidate.load, rank: kinship.rank() };
            best = Some((cost_ms, place));
        }
    }
    best.map(|(_, place)| place)
}

/// Requests that may be at a backend server for each of its slots, by urgency (0 is the most urgent): the more
/// urgent a request, the longer a queue it may still join.
#[must_use]
pub fn max_load_per_slot(urgency: u32) -> f64 {
    match urgency {
        0 => 2.75,
        1 => 2.25,
        2 => 1.5,
        _ => 1.25,
    }
}

// How a backend server stands to an object.
#[derive(Clone, Copy)]
enum Kinship {
    // It works alike on all objects, or ran this one lately.
    Warm,
    // One of the object's homes, by rank.
    Home(usize),
    Stranger,
}

impl Kinship {
    const fn rank(self) -> Option<usize> {
        match self {
            Self::Home(rank) => Some(rank),
            Self::Warm | Self::Stranger => None,
        }
    }

    const fn factor(self) -> f64 {
        match self {
            Self::Warm => 1.0,
            Self::Home(rank) => HOME_FACTORS[rank],
            Self::Stranger => COLD_FACTOR,
        }
    }

    const fn max_load_per_slot(self, usual: f64) -> f64 {
        match self {
            Self::Warm | Self::Home(0) => usual,
            Self::Home(_) => usual.min(LATER_HOME_CROWDING),
            Self::Stranger => usual.min(STRANGER_CROWDING),
        }
    }
}

// What backend servers lose on average. Only what one loses beyond that speaks against it: where all lose alike, leaving
// an object's homes would make its work cold and gain nothing.
struct Usual {
    failure_ratio: f64,
    refusal_ratio: f64,
}

impl Usual {
    fn of(candidates: &[Candidate]) -> Self {
        let count = candidates.len().max(1) as f64;
        let mean = |part: fn(&Candidate) -> f64| candidates.iter().map(part).sum::<f64>() / count;
        Self { failure_ratio: mean(|c| c.failure_ratio), refusal_ratio: mean(|c| c.refusal_ratio) }
    }

    // Time lost by failures and refusals beyond the usual. A failed request has to be sent again elsewhere, at best.
    fn lost_ms(&self, candidate: &Candidate, expected_ms: f64, warm_service_ms: f64) -> f64 {
        let odds = |part: f64, usual: f64| {
            let beyond = (part - usual).clamp(0.0, MAX_FAILING);
            beyond / (1.0 - beyond)
        };
        odds(candidate.failure_ratio, self.failure_ratio) * (expected_ms + COLD_FACTOR * warm_service_ms)
            + odds(candidate.refusal_ratio, self.refusal_ratio) * REFUSAL_FACTOR * warm_service_ms
    }
}

// The homes of an object, best first.
struct Homes(Option<[Option<(f64, usize)>; HOMES]>);

impl Homes {
    fn of(view: &PlacementView<'_>) -> Self {
        let Some(object) = view.object else {
            return Self(None);
        };
        let mut homes: [Option<(f64, usize)>; HOMES] = [None; HOMES];
        for (ix, candidate) in view.candidates.iter().enumerate().filter(|(_, c)| c.is_available) {
            let mut next = (score(object, candidate), ix);
            for home in &mut homes {
                match home {
                    Some(held) if held.0 >= next.0 => {}
                    Some(held) => std::mem::swap(held, &mut next),
                    None => {
                        *home = Some(next);
                        break;
                    }
                }
            }
        }
        Self(Some(homes))
    }

    fn kinship(&self, ix: usize, candidate: &Candidate) -> Kinship {
        let Some(homes) = self.0.as_ref().filter(|_| !candidate.is_warm) else {
            return Kinship::Warm;
        };
        let rank = homes.iter().position(|home| home.is_some_and(|(_, home)| home == ix));
        rank.map_or(Kinship::Stranger, Kinship::Home)
    }
}

// Weighted rendezvous: the part of objects whose best score a backend server has is its part of the weights.
fn score(object: u64, candidate: &Candidate) -> f64 {
    const STEPS: f64 = (1_u64 << 53) as f64;
    const UNUSED_BITS: u32 = 11;
    let weight = if candidate.is_local { NEAR_WEIGHT } else { 1.0 };
    let uniform = ((mix(object ^ candidate.id_hash) >> UNUSED_BITS) as f64 + 0.5) / STEPS;
    -weight / uniform.ln()
}

fn has_room(candidate: &Candidate, max_load_per_slot: f64) -> bool {
    f64::from(candidate.load) < f64::from(candidate.slots) * max_load_per_slot
}

fn expected_ms(candidate: &Candidate, factor: f64, view: &PlacementView<'_>) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let load = f64::from(candidate.load);
    let ahead = (load + 1.0 - slots).max(0.0);
    let fill = (load / slots).min(1.0) * FILL_FACTOR * view.warm_service_ms;
    candidate.slowness * (factor * view.warm_service_ms + ahead / slots * view.mean_service_ms + fill)
        + candidate.round_trip_ms
}

// A well-spread hash of an already random word.
const fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
