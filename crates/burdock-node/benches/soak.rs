//! Runs the soak test with many seeds: `cargo test -p burdock-node --bench soak -- --seeds 50 --first 100`.

#[path = "../tests/soak/callers.rs"]
mod callers;
#[path = "../tests/soak/checks.rs"]
mod checks;
#[path = "../tests/soak/deployment.rs"]
mod deployment;
#[path = "../tests/soak/faults.rs"]
mod faults;
#[path = "../tests/support/link.rs"]
mod link;
#[path = "../tests/support/ports.rs"]
mod ports;
#[path = "../tests/support/process.rs"]
mod process;
#[path = "../tests/soak/scenario.rs"]
mod scenario;

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use futures::StreamExt;
use scenario::{Scenario, run_scenario};

/// Runs seeds of the soak test and reports the guarantees that each run violated.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Number of seeds to run.
    #[bpaf(fallback(10))]
    seeds: u64,
    /// First seed; a random one is chosen if absent.
    first: Option<u64>,
    /// Start runs until this many minutes have passed, regardless of the number of seeds.
    minutes: Option<u64>,
    /// Instances in each run, each a process of its own.
    #[bpaf(fallback(5))]
    processes: usize,
    /// Seconds during which each run injects faults.
    #[bpaf(fallback(12))]
    seconds: u64,
    /// How often the store of each run comes back from an older copy.
    #[bpaf(fallback(0))]
    restores: usize,
    /// How many reports of backend servers the store of each run executes late.
    #[bpaf(fallback(0))]
    late_reports: usize,
    /// Number of runs at the same time.
    #[bpaf(fallback(3))]
    jobs: usize,
    /// Passed by cargo, without effect.
    #[allow(dead_code, reason = "cargo passes it to every bench")]
    bench: bool,
}

fn main() {
    let options = options().run();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let failed = runtime.block_on(run_seeds(&options));
    std::process::exit(i32::from(failed > 0));
}

async fn run_seeds(options: &Options) -> usize {
    let first = options.first.unwrap_or_else(|| rand::random_range(1000..1_000_000_000));
    let started_at = Instant::now();
    let has_more = |nth: u64| match options.minutes {
        Some(minutes) => started_at.elapsed() < Duration::from_secs(minutes * 60),
        None => nth < options.seeds,
    };
    let scenarios = (0..).take_while(|nth| has_more(*nth)).map(|nth| Scenario {
        seed: first + nth,
        instances: options.processes,
        fault_time: Duration::from_secs(options.seconds),
        restores: options.restores,
        late_reports: options.late_reports,
        ..Scenario::default()
    });
    let mut outcomes = futures::stream::iter(scenarios)
        .map(|scenario| async move { run_scenario(&scenario).await })
        .buffer_unordered(options.jobs);
    let (mut completed, mut failed) = (0, 0);
    while let Some(outcome) = outcomes.next().await {
        completed += 1;
        failed += usize::from(!outcome.violations.is_empty());
        println!(
            "seed {}: {} requests, {} served, {} faults, {} broken",
            outcome.seed,
            outcome.requests,
            outcome.served,
            outcome.faults.len(),
            outcome.violations.len()
        );
        if !outcome.violations.is_empty() {
            outcome.violations.iter().take(10).for_each(|line| println!("  broken: {line}"));
            outcome.faults.iter().for_each(|line| println!("  fault: {line}"));
            println!("  logs: {}", outcome.log_directory.display());
        }
    }
    println!("{completed} seeds from {first}, {failed} failed, {:.0} s", started_at.elapsed().as_secs_f64());
    failed
}
