//! The soak by hand: `cargo test -p burdock-node --bench soak -- --seeds 50 --first 100`.

#[path = "../tests/soak/callers.rs"]
mod callers;
#[path = "../tests/soak/checks.rs"]
mod checks;
#[path = "../tests/soak/faults.rs"]
mod faults;
#[path = "../tests/support/link.rs"]
mod link;
#[path = "../tests/soak/play.rs"]
mod play;
#[path = "../tests/support/ports.rs"]
mod ports;
#[path = "../tests/support/process.rs"]
mod process;
#[path = "../tests/soak/world.rs"]
mod world;

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use futures::StreamExt;
use play::{Plan, play};

/// Plays seeds of the soak and tells which promises were broken.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Seeds to play.
    #[bpaf(fallback(10))]
    seeds: u64,
    /// The first of them; without it a fresh one is drawn.
    first: Option<u64>,
    /// Play until this many minutes have passed, whatever the number of seeds.
    minutes: Option<u64>,
    /// Instances in each run.
    #[bpaf(fallback(5))]
    processes: usize,
    /// Seconds for which faults come.
    #[bpaf(fallback(12))]
    seconds: u64,
    /// Runs beside each other.
    #[bpaf(fallback(3))]
    jobs: usize,
    /// Given by cargo.
    #[allow(dead_code, reason = "cargo passes it to every bench")]
    bench: bool,
}

fn main() {
    let options = options().run();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let failed = runtime.block_on(soak(&options));
    std::process::exit(i32::from(failed > 0));
}

async fn soak(options: &Options) -> usize {
    let first = options.first.unwrap_or_else(|| rand::random_range(1000..1_000_000_000));
    let began = Instant::now();
    let goes_on = |nth: u64| match options.minutes {
        Some(minutes) => began.elapsed() < Duration::from_secs(minutes * 60),
        None => nth < options.seeds,
    };
    let plans = (0..).take_while(|nth| goes_on(*nth)).map(|nth| Plan {
        seed: first + nth,
        instances: options.processes,
        trouble: Duration::from_secs(options.seconds),
        ..Plan::default()
    });
    let mut verdicts = futures::stream::iter(plans)
        .map(|plan| async move { play(&plan).await })
        .buffer_unordered(options.jobs);
    let (mut played, mut failed) = (0, 0);
    while let Some(verdict) = verdicts.next().await {
        played += 1;
        failed += usize::from(!verdict.broken.is_empty());
        println!(
            "seed {}: {} requests, {} served, {} faults, {} broken",
            verdict.seed,
            verdict.asked,
            verdict.served,
            verdict.faults.len(),
            verdict.broken.len()
        );
        if !verdict.broken.is_empty() {
            verdict.broken.iter().take(10).for_each(|line| println!("  broken: {line}"));
            verdict.faults.iter().for_each(|line| println!("  fault: {line}"));
            println!("  logs: {}", verdict.logs.display());
        }
    }
    println!("{played} seeds from {first}, {failed} failed, {:.0} s", began.elapsed().as_secs_f64());
    failed
}
