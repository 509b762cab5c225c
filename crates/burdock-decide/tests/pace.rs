//! Replay of backend servers that are slow in phases of about 600 ms.

use std::collections::VecDeque;
use std::time::Duration;

use burdock_decide::pace::{PaceStatement, PhaseLength, expected_pace};
use burdock_decide::place::{Candidate, PlacementView, place_request};
use burdock_decide::time::Time;
use burdock_model::hash::stable_hash;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const BACKENDS: usize = 24;
const SLOTS: usize = 9;
const OBJECTS: u64 = 480;
const WARM_CACHE_SIZE: usize = 40;
const WARM_MS: f64 = 510.0;
const COLD_MS: f64 = 1700.0;
const TARGET_MS: f64 = 1500.0;
const REQUESTS_PER_S: f64 = 200.0;

/// Mean time after which it is drawn anew whether a backend server is slow.
const PHASE_MS: f64 = 600.0;
const SLOW_RATIO: f64 = 0.15;
const SLOW_FACTOR: f64 = 2.5;

/// Time after which an instance learns what a backend server stated to another.
const NEWS_DELAY_MS: f64 = 300.0;

#[derive(Default)]
struct Backend {
    free_at: Vec<f64>,
    ends: Vec<f64>,
    warm: VecDeque<u64>,
    is_slow: bool,
    phase_ends: f64,
    // Statements under way, by the time at which they are known.
    news: VecDeque<(f64, PaceStatement)>,
    stated: Option<PaceStatement>,
}

#[derive(Default)]
struct Outcome {
    sent: u32,
    late: u32,
    preferred: u32,
    total_ms: f64,
}

fn time(ms: f64) -> Time {
    Time::from_millis(ms as u64)
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -rng.random::<f64>().max(1e-9).ln() * mean
}

fn replay(seed: u64, uses_pace: bool) -> (Outcome, PhaseLength) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut backends: Vec<Backend> =
        (0..BACKENDS).map(|_| Backend { free_at: vec![0.0; SLOTS], ..Backend::default() }).collect();
    let (mut now, mut length, mut outcome) = (0.0, PhaseLength::default(), Outcome::default());
    while now < 60_000.0 {
        now += exponential(&mut rng, 1e3 / REQUESTS_PER_S);
        for backend in &mut backends {
            backend.advance(now, &mut length, &mut rng);
        }
        let candidate = |(ix, backend): (usize, &Backend)| Candidate {
            id_hash: stable_hash(&ix.to_le_bytes(), 31),
            is_local: true,
            region: 0,
            round_trip_ms: 1.0,
            slots: SLOTS as u32,
            load: backend.ends.len() as u32,
            slowness: if uses_pace {
                expected_pace(backend.stated.as_ref(), length.mean(), time(now))
            } else {
                1.0
            },
            failure_ratio: 0.0,
            refusal_ratio: 0.0,
            is_warm: false,
            is_available: true,
        };
        let candidates: Vec<_> = backends.iter().enumerate().map(candidate).collect();
        let object = stable_hash(&rng.random_range(0..OBJECTS).to_le_bytes(), 1);
        let view = PlacementView {
            candidates: &candidates,
            object: Some(object),
            warm_service_ms: WARM_MS,
            mean_service_ms: WARM_MS,
            max_load_per_slot: 1.5,
            local_weight: 5.0,
            region_weights: &[],
            random: rng.random(),
        };
        // The first seconds warm up the caches.
        let is_counted = now > 10_000.0;
        outcome.sent += u32::from(is_counted);
        let Some(chosen) = place_request(&view) else {
            outcome.late += u32::from(is_counted);
            continue;
        };
        let took = backends[chosen.ix].run(object, now);
        if is_counted {
            outcome.late += u32::from(took > TARGET_MS);
            outcome.preferred += u32::from(chosen.rank == Some(0));
            outcome.total_ms += took;
        }
    }
    (outcome, length)
}

impl Backend {
    fn advance(&mut self, now: f64, length: &mut PhaseLength, rng: &mut StdRng) {
        while self.phase_ends <= now {
            self.is_slow = rng.random::<f64>() < SLOW_RATIO;
            self.phase_ends += exponential(rng, PHASE_MS);
        }
        let factor = if self.is_slow { SLOW_FACTOR } else { 1.0 };
        let ended = self.ends.iter().filter(|end| **end <= now).count();
        self.ends.retain(|end| *end > now);
        if ended > 0 {
            self.news.push_back((now + NEWS_DELAY_MS, PaceStatement { factor, at: time(now) }));
        }
        while let Some((_, news)) = self.news.pop_front_if(|(at, _)| *at <= now) {
            if news.replaces(self.stated.as_ref()) {
                self.stated.into_iter().for_each(|known| length.record(known, news));
                self.stated = Some(news);
            }
        }
    }

    fn run(&mut self, object: u64, now: f64) -> f64 {
        let is_warm = self.warm.contains(&object);
        self.warm.retain(|cached| *cached != object);
        self.warm.push_back(object);
        if self.warm.len() > WARM_CACHE_SIZE {
            self.warm.pop_front();
        }
        let slot = self.free_at.iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
        let pace = if self.is_slow { SLOW_FACTOR } else { 1.0 };
        *slot = slot.max(now) + pace * if is_warm { WARM_MS } else { COLD_MS };
        self.ends.push(*slot);
        *slot - now
    }
}

fn ratio(count: u32, total: u32) -> f64 {
    f64::from(count) / f64::from(total)
}

// Guards against placement by statements alone, which would move each object twice in every slow phase and leave
// it cold, and against ignoring them.
#[gtest]
fn work_avoids_slow_phases_and_objects_keep_their_backend() {
    for seed in 0..4 {
        let ((without, _), (with, length)) = (replay(seed, false), replay(seed, true));
        expect_that!(ratio(with.late, with.sent), lt(ratio(without.late, without.sent) * 0.9));
        expect_that!(with.total_ms, lt(without.total_ms));
        expect_that!(ratio(with.preferred, with.sent), gt(0.85));
        // A draw may find the same state again, so that phases last longer than the time between draws.
        let expected_ms = PHASE_MS / (1.0 - SLOW_RATIO);
        expect_that!(length.mean().as_secs_f64() * 1e3, all!(gt(expected_ms * 0.6), lt(expected_ms * 1.6)));
    }
}

#[gtest]
fn old_statements_are_forgotten_and_repeated_ones_teach_nothing() {
    let length = Duration::from_millis(600);
    let stated = PaceStatement { factor: 2.5, at: Time::from_millis(1000) };
    expect_that!(expected_pace(Some(&stated), length, Time::from_millis(3500)), eq(1.0));
    expect_that!(expected_pace(None, length, Time::from_millis(3500)), eq(1.0));
    let repeated = PaceStatement { at: Time::from_millis(1060), ..stated };
    expect_that!(repeated.replaces(Some(&stated)), eq(false));
    expect_that!(PaceStatement { at: Time::from_millis(1250), ..stated }.replaces(Some(&stated)), eq(true));
}
