//! Placement of requests on backend servers that work faster on objects in their warm cache.
//!
//! Weighted rendezvous hashing gives each object a few preferred backend servers, so that all instances of a
//! region send it to the same ones without coordination. Load, distance and measured slowness move it to
//! other backend servers.

/// Service time at a backend server that has not run the object recently, relative to one that has.
const COLD_FACTOR: f64 = 3.0;

/// Expected service time at each of an object's preferred backend servers, relative to the first. A later one
/// has run the object recently only if the first was full.
const PREFERRED_FACTORS: [f64; PREFERRED_PER_OBJECT] = [1.0, 2.2];

/// Preferred backend servers of each object. With more of them, a backend server would get more objects than
/// it can keep warm, and all its work would be cold.
const PREFERRED_PER_OBJECT: usize = 2;

/// Rendezvous weight of a backend server in the local region, relative to one in another region.
const LOCAL_WEIGHT: f64 = 5.0;

/// Size of a route's answers from which its objects stay in their region more, in bytes: what a new connection
/// carries in its first round trip.
const SMALL_ANSWER_BYTES: f64 = 16_384.0;

/// Bytes of an answer that add as much to the local weight as one remote backend server weighs.
const ANSWER_BYTES_PER_WEIGHT: f64 = 8_192.0;

/// Upper bound of the local weight. A region with few backend servers must still pass on work.
const MAX_LOCAL_WEIGHT: f64 = 15.0;

/// Requests per slot below which a backend server takes objects that do not prefer it. A cold run costs as
/// much as several warm ones, so only idle slots are spent on it.
const OTHER_MAX_LOAD_PER_SLOT: f64 = 0.25;

/// Requests per slot below which a backend server takes objects that prefer another one first. Only free
/// slots are spent on them, or in an overload each backend server would get more objects than it keeps warm.
const LATER_PREFERRED_MAX_LOAD_PER_SLOT: f64 = 0.75;

/// Fraction of a service time that is added for a full backend server before any request waits there. Among
/// otherwise equal backend servers, the least loaded one is chosen.
const FILL_FACTOR: f64 = 0.25;

/// Upper bound of the excess of a failure or refusal ratio over the mean, which keeps costs finite.
const MAX_LOSS_RATIO: f64 = 0.95;

/// Time lost by a refused request, in usual service times: it goes to a later preferred backend server, or
/// its caller retries.
const REFUSAL_FACTOR: f64 = 2.5;

/// A backend server as a candidate for one request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of the id of the backend server.
    pub id_hash: u64,
    /// Whether it is in the region of this instance.
    pub is_local: bool,
    /// Index of its region.
    pub region: usize,
    /// Network round trip to it.
    pub round_trip_ms: f64,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests admitted there, as far as known or estimated.
    pub load: u32,
    /// Measured service time relative to the usual one.
    pub slowness: f64,
    /// Fraction of its requests that fail.
    pub failure_ratio: f64,
    /// Fraction of its requests that it refuses without running them.
    pub refusal_ratio: f64,
    /// Whether this instance knows that it ran the object recently.
    pub is_warm: bool,
    /// Whether it may take this request.
    pub is_available: bool,
}

/// Inputs of [`place_request`].
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// All backend servers of the service.
    pub candidates: &'a [Candidate],
    /// Hash of the object; `None` if backend servers work equally fast on all objects.
    pub object: Option<u64>,
    /// Usual service time where the object ran recently.
    pub warm_service_ms: f64,
    /// Usual service time of all requests of the service, which determines the wait in a queue.
    pub mean_service_ms: f64,
    /// Maximum load of a backend server, in requests per slot.
    pub max_load_per_slot: f64,
    /// Rendezvous weight of a backend server in the local region; see [`local_weight`].
    pub local_weight: f64,
    /// Weight of each region by index; see [`crate::region_plan`]. Regions that are not listed have the weight 1.
    pub region_weights: &'a [f64],
    /// Random number, uniform over all `u64`, that breaks ties.
    pub random: u64,
}

/// The backend server chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Index of the candidate.
    pub ix: usize,
    /// Expected time until its answer arrives, if it neither fails nor refuses.
    pub expected_ms: f64,
    /// Whether all its slots were taken, so that the request waits there.
    pub is_queued: bool,
    /// Load of the candidate when it was chosen, in requests.
    pub load: u32,
    /// Its rank among the preferred backend servers of the object; `None` if it is warm or not one of them.
    pub rank: Option<usize>,
}

/// Returns the candidate with the lowest expected cost, or `None` if all are unavailable or full.
///
/// ```
/// use burdock_decide::place::*;
/// let local = Candidate { id_hash: 1, is_local: true, region: 0, round_trip_ms: 1.0, slots: 2, load: 0,
///     slowness: 1.0, failure_ratio: 0.0, refusal_ratio: 0.0, is_warm: true, is_available: true };
/// let remote = Candidate { id_hash: 2, is_local: false, region: 1, round_trip_ms: 100.0, ..local };
/// let view = PlacementView { candidates: &[local, remote], object: Some(9), warm_service_ms: 50.0,
///     mean_service_ms: 50.0, max_load_per_slot: 3.0, local_weight: 5.0, region_weights: &[], random: 0 };
/// assert_eq!(place_request(&view).unwrap().ix, 0);
/// let full = [Candidate { load: 6, ..local }, remote];
/// assert_eq!(place_request(&PlacementView { candidates: &full, ..view }).unwrap().ix, 1);
/// ```
#[must_use]
pub fn place_request(view: &PlacementView<'_>) -> Option<Placement> {
    let preferred = PreferredBackends::of(view);
    let mean_losses = MeanLosses::of(view.candidates);
    let count = view.candidates.len();
    let start = usize::try_from(view.random % count.max(1) as u64).unwrap_or(0);
    let mut best: Option<(f64, Placement)> = None;
    for step in 0..count {
        let ix = (start + step) % count;
        let candidate = &view.candidates[ix];
        let affinity = preferred.affinity(ix, candidate);
        if !candidate.is_available
            || !has_capacity(candidate, affinity.max_load_per_slot(view.max_load_per_slot))
        {
            continue;
        }
        let expected_ms = expected_ms(candidate, affinity.factor(), view);
        let cost_ms = expected_ms + mean_losses.extra_cost_ms(candidate, expected_ms, view.warm_service_ms);
        if best.is_none_or(|(best_ms, _)| cost_ms < best_ms) {
            let is_queued = !has_capacity(candidate, 1.0);
            let placement =
                Placement { ix, expected_ms, is_queued, load: candidate.load, rank: affinity.rank() };
            best = Some((cost_ms, placement));
        }
    }
    best.map(|(_, placement)| placement)
}

/// Returns the rendezvous weight of a backend server in the local region for a route whose answers have
/// `answer_bytes` in the mean. Load pattern: downloads of which a third travelled between regions, where each
/// takes several round trips and most of the bytes of all routes.
///
/// ```
/// use burdock_decide::place::local_weight;
/// assert_eq!(local_weight(5_000.0), local_weight(0.0));
/// assert!(local_weight(90_000.0) > 2.0 * local_weight(5_000.0));
/// ```
#[must_use]
pub fn local_weight(answer_bytes: f64) -> f64 {
    let excess = (answer_bytes - SMALL_ANSWER_BYTES).max(0.0);
    (LOCAL_WEIGHT + excess / ANSWER_BYTES_PER_WEIGHT).min(MAX_LOCAL_WEIGHT)
}

/// Returns how many requests are admitted at a backend server for each of its slots, by urgency (0 is the
/// most urgent). The more urgent a request, the longer the queue that it may join.
#[must_use]
pub fn max_load_per_slot(urgency: u32) -> f64 {
    match urgency {
        0 => 2.75,
        1 => 2.25,
        2 => 1.5,
        _ => 1.25,
    }
}

// How a backend server relates to an object.
#[derive(Clone, Copy)]
enum ObjectAffinity {
    // It works equally fast on all objects, or ran this one recently.
    Warm,
    // One of the preferred backend servers of the object, by rank.
    Preferred(usize),
    Other,
}

impl ObjectAffinity {
    const fn rank(self) -> Option<usize> {
        match self {
            Self::Preferred(rank) => Some(rank),
            Self::Warm | Self::Other => None,
        }
    }

    const fn factor(self) -> f64 {
        match self {
            Self::Warm => 1.0,
            Self::Preferred(rank) => PREFERRED_FACTORS[rank],
            Self::Other => COLD_FACTOR,
        }
    }

    const fn max_load_per_slot(self, default: f64) -> f64 {
        match self {
            Self::Warm | Self::Preferred(0) => default,
            Self::Preferred(_) => default.min(LATER_PREFERRED_MAX_LOAD_PER_SLOT),
            Self::Other => default.min(OTHER_MAX_LOAD_PER_SLOT),
        }
    }
}

// Mean failure and refusal ratios. Only what a backend server loses beyond them counts against it: where all
// lose alike, leaving the preferred backend servers of an object would make its work cold and gain nothing.
struct MeanLosses {
    failure_ratio: f64,
    refusal_ratio: f64,
}

impl MeanLosses {
    fn of(candidates: &[Candidate]) -> Self {
        let count = candidates.len().max(1) as f64;
        let mean = |ratio: fn(&Candidate) -> f64| candidates.iter().map(ratio).sum::<f64>() / count;
        Self { failure_ratio: mean(|c| c.failure_ratio), refusal_ratio: mean(|c| c.refusal_ratio) }
    }

    // Expected time lost by failures and refusals beyond the mean. A failed request is at best retried
    // on another backend server, where it runs cold.
    fn extra_cost_ms(&self, candidate: &Candidate, expected_ms: f64, warm_service_ms: f64) -> f64 {
        let odds = |ratio: f64, mean: f64| {
            let excess = (ratio - mean).clamp(0.0, MAX_LOSS_RATIO);
            excess / (1.0 - excess)
        };
        odds(candidate.failure_ratio, self.failure_ratio) * (expected_ms + COLD_FACTOR * warm_service_ms)
            + odds(candidate.refusal_ratio, self.refusal_ratio) * REFUSAL_FACTOR * warm_service_ms
    }
}

// The preferred backend servers of an object as scores and indices, highest score first.
struct PreferredBackends(Option<[Option<(f64, usize)>; PREFERRED_PER_OBJECT]>);

impl PreferredBackends {
    fn of(view: &PlacementView<'_>) -> Self {
        let Some(object) = view.object else {
            return Self(None);
        };
        let mut preferred: [Option<(f64, usize)>; PREFERRED_PER_OBJECT] = [None; PREFERRED_PER_OBJECT];
        for (ix, candidate) in view.candidates.iter().enumerate().filter(|(_, c)| c.is_available) {
            let mut next = (rendezvous_score(object, candidate, view), ix);
            for entry in &mut preferred {
                match entry {
                    Some(better) if better.0 >= next.0 => {}
                    Some(worse) => std::mem::swap(worse, &mut next),
                    None => {
                        *entry = Some(next);
                        break;
                    }
                }
            }
        }
        Self(Some(preferred))
    }

    fn affinity(&self, ix: usize, candidate: &Candidate) -> ObjectAffinity {
        let Some(preferred) = self.0.as_ref().filter(|_| !candidate.is_warm) else {
            return ObjectAffinity::Warm;
        };
        let rank = preferred.iter().position(|entry| entry.is_some_and(|(_, entry)| entry == ix));
        rank.map_or(ObjectAffinity::Other, ObjectAffinity::Preferred)
    }
}

// Weighted rendezvous hashing: a backend server scores highest for a fraction of objects equal to its
// fraction of the weights.
fn rendezvous_score(object: u64, candidate: &Candidate, view: &PlacementView<'_>) -> f64 {
    const STEPS: f64 = (1_u64 << 53) as f64;
    const UNUSED_BITS: u32 = 11;
    let region_weight = view.region_weights.get(candidate.region).copied().unwrap_or(1.0);
    let weight = region_weight * if candidate.is_local { view.local_weight } else { 1.0 };
    let uniform = ((mix(object ^ candidate.id_hash) >> UNUSED_BITS) as f64 + 0.5) / STEPS;
    -weight / uniform.ln()
}

fn has_capacity(candidate: &Candidate, max_load_per_slot: f64) -> bool {
    f64::from(candidate.load) < f64::from(candidate.slots) * max_load_per_slot
}

fn expected_ms(candidate: &Candidate, factor: f64, view: &PlacementView<'_>) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let load = f64::from(candidate.load);
    let ahead = (load + 1.0 - slots).max(0.0);
    let fill_ms = (load / slots).min(1.0) * FILL_FACTOR * view.warm_service_ms;
    candidate.slowness * (factor * view.warm_service_ms + ahead / slots * view.mean_service_ms + fill_ms)
        + candidate.round_trip_ms
}

// Finalizer of SplitMix64, which spreads an already random word over all bits.
const fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
