//! One seed from start to verdict.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::callers::Callers;
use crate::checks;
use crate::faults;
use crate::world::World;

/// How long calm lasts before the promises about calm times bind: the operators' bound on recovery, less what callers
/// need for their last requests.
const SETTLE: Duration = Duration::from_secs(10);

/// How long a backend server that came back at the end of the faults takes but little.
const COLD: Duration = Duration::from_millis(3500);

/// How long traffic is looked at in calm, before and after one more planned stop.
const CALM: Duration = Duration::from_secs(3);

/// What one run plays.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Decides everything that is drawn.
    pub seed: u64,
    /// Entry instances, each a process.
    pub instances: usize,
    /// Callers.
    pub callers: usize,
    /// How long faults come.
    pub trouble: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self { seed: 1, instances: 5, callers: 12, trouble: Duration::from_secs(12) }
    }
}

/// What a run showed.
#[derive(Debug)]
pub struct Verdict {
    /// Its seed.
    pub seed: u64,
    /// Requests that callers made.
    pub asked: usize,
    /// Requests that were answered by backend servers.
    pub served: usize,
    /// The faults, as lines.
    pub faults: Vec<String>,
    /// Promises that were broken, as lines.
    pub broken: Vec<String>,
    /// Where the instances' logs are.
    pub logs: PathBuf,
}

/// Plays one seed.
pub async fn play(plan: &Plan) -> Verdict {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let world = Arc::new(World::start(plan.seed, plan.instances).await);
    let callers = Callers::start(&world, plan.seed, plan.callers);
    let series = faults::draw(&mut rng, plan);
    let lines = series.iter().map(ToString::to_string).collect();
    faults::inject(&world, series).await;
    world.calm().await;
    tokio::time::sleep(COLD).await;

    let mut broken = settle(&world).await;
    let calm_from = Instant::now();
    tokio::time::sleep(CALM).await;
    world.drain_backend(0);
    let drained = Instant::now();
    let ended = world.stop_gracefully(0).await;
    tokio::time::sleep(CALM).await;
    let calm_to = Instant::now();

    let records = callers.stop().await;
    if ended != Some(0) {
        broken.push(format!("a planned stop in calm ended with {ended:?}"));
    }
    let ran = world.ran();
    broken.extend(checks::always(&records, &ran));
    broken.extend(checks::in_calm(&records, &ran, calm_from, calm_to));
    broken.extend(checks::drained(&world, drained));
    let served = records.iter().filter(|r| r.is_served()).count();
    Verdict { seed: plan.seed, asked: records.len(), served, faults: lines, broken, logs: world.logs() }
}

// Waits until all instances serve the newest configuration. Returns what did not come in time.
async fn settle(world: &World) -> Vec<String> {
    let began = Instant::now();
    let mut missing = world.unsettled().await;
    while !missing.is_empty() && began.elapsed() < SETTLE {
        tokio::time::sleep(Duration::from_millis(100)).await;
        missing = world.unsettled().await;
    }
    missing.iter().map(|what| format!("after {:?} of calm: {what}", began.elapsed())).collect()
}

/// The signal of a planned stop.
pub const PLANNED_STOP: Signal = Signal::SIGTERM;
