//! Which backend server takes a request, when one that ran the same object lately works faster.
//!
//! Each object has a home in each region by rendezvous rank, so that all instances send it to the same few
//! backend servers without talking about it. Load, distance and measured slowness move it elsewhere.

/// Working time at a backend server that is not known to have run the object lately, relative to one that has.
const COLD_FACTOR: f64 = 3.0;

/// The same for the second in rank, which gets the object whenever the first is full.
const SECOND_FACTOR: f64 = 1.5;

/// The part of a working time that a full backend server adds before any request waits there: among backend
/// servers that are alike otherwise, the emptier one is taken.
const FILL_FACTOR: f64 = 0.25;

/// The highest part of failed requests that is reckoned with, so that a cost stays finite.
const MAX_FAILING: f64 = 0.95;

/// A backend server as a candidate for one request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of its id.
    pub id_hash: u64,
    /// Its region, as a small number.
    pub region: usize,
    /// Time there and back.
    pub round_trip_ms: f64,
    /// Requests it works on at once.
    pub slots: u32,
    /// Requests that are known or assumed to be there.
    pub load: u32,
    /// Measured working time relative to the usual one.
    pub slowness: f64,
    /// Part of its requests that fail.
    pub failing: f64,
    /// This instance knows that it ran the object lately.
    pub is_warm: bool,
    /// It takes this request.
    pub is_open: bool,
}

/// What a place is decided from.
#[derive(Clone, Copy, Debug)]
pub struct PlaceView<'a> {
    /// All backend servers of the service.
    pub candidates: &'a [Candidate],
    /// Hash of the object; none where backend servers work alike on all.
    pub object: Option<u64>,
    /// Usual working time where the object ran lately.
    pub work_ms: f64,
    /// Usual working time of the service's requests.
    pub queue_ms: f64,
    /// Requests that may be at a backend server for each of its slots.
    pub crowding: f64,
    /// Uniform over all `u64`; decides ties.
    pub draw: u64,
}

/// The place for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Index of the candidate.
    pub ix: usize,
    /// The time to expect until its answer is here.
    pub expected_ms: f64,
}

/// The place with the least expected time; none when all are closed or too crowded.
///
/// ```
/// use burdock_decide::place::*;
/// let near = Candidate { id_hash: 1, region: 0, round_trip_ms: 1.0, slots: 2, load: 0, slowness: 1.0,
///     failing: 0.0, is_warm: true, is_open: true };
/// let far = Candidate { id_hash: 2, region: 1, round_trip_ms: 100.0, ..near };
/// let view = PlaceView { candidates: &[near, far], object: Some(9), work_ms: 50.0, queue_ms: 50.0,
///     crowding: 3.0, draw: 0 };
/// assert_eq!(place(&view).unwrap().ix, 0);
/// let crowded = [Candidate { load: 6, ..near }, far];
/// assert_eq!(place(&PlaceView { candidates: &crowded, ..view }).unwrap().ix, 1);
/// ```
#[must_use]
pub fn place(view: &PlaceView<'_>) -> Option<Place> {
    let homes = Homes::of(view);
    let count = view.candidates.len();
    let start = usize::try_from(view.draw % count.max(1) as u64).unwrap_or(0);
    let mut best: Option<Place> = None;
    for step in 0..count {
        let ix = (start + step) % count;
        let candidate = &view.candidates[ix];
        if !candidate.is_open || !has_room(candidate, view.crowding) {
            continue;
        }
        let expected_ms = expected_ms(candidate, homes.factor(ix, candidate), view);
        if best.is_none_or(|b| expected_ms < b.expected_ms) {
            best = Some(Place { ix, expected_ms });
        }
    }
    best
}

/// Requests that may be at a backend server for each of its slots, by urgency (0 is the most urgent): the more
/// urgent a request, the longer a queue it may still join.
#[must_use]
pub fn crowding(urgency: u32) -> f64 {
    match urgency {
        0 => 2.75,
        1 => 2.25,
        2 => 1.5,
        _ => 1.25,
    }
}

// The first and second in rank of each region.
struct Homes(Vec<[Option<(u64, usize)>; 2]>);

impl Homes {
    fn of(view: &PlaceView<'_>) -> Self {
        let mut regions: Vec<[Option<(u64, usize)>; 2]> = Vec::new();
        let Some(object) = view.object else {
            return Self(regions);
        };
        for (ix, candidate) in view.candidates.iter().enumerate().filter(|(_, c)| c.is_open) {
            if regions.len() <= candidate.region {
                regions.resize(candidate.region + 1, [None; 2]);
            }
            let rank = mix(object ^ candidate.id_hash);
            let [first, second] = &mut regions[candidate.region];
            if first.is_none_or(|(r, _)| rank > r) {
                *second = *first;
                *first = Some((rank, ix));
            } else if second.is_none_or(|(r, _)| rank > r) {
                *second = Some((rank, ix));
            }
        }
        Self(regions)
    }

    fn factor(&self, ix: usize, candidate: &Candidate) -> f64 {
        let Some([first, second]) = self.0.get(candidate.region) else {
            return 1.0;
        };
        if candidate.is_warm || first.is_some_and(|(_, home)| home == ix) {
            return 1.0;
        }
        if second.is_some_and(|(_, home)| home == ix) { SECOND_FACTOR } else { COLD_FACTOR }
    }
}

fn has_room(candidate: &Candidate, crowding: f64) -> bool {
    f64::from(candidate.load) < f64::from(candidate.slots) * crowding
}

fn expected_ms(candidate: &Candidate, factor: f64, view: &PlaceView<'_>) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let load = f64::from(candidate.load);
    let ahead = (load + 1.0 - slots).max(0.0);
    let fill = (load / slots).min(1.0) * FILL_FACTOR * view.work_ms;
    let at_work = candidate.slowness * (factor * view.work_ms + ahead / slots * view.queue_ms + fill);
    let failing = candidate.failing.min(MAX_FAILING);
    // A failed request has to be sent again elsewhere, at best.
    let again = failing / (1.0 - failing) * (at_work + COLD_FACTOR * view.work_ms);
    at_work + again + candidate.round_trip_ms
}

// A well-spread hash of an already random word.
const fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
