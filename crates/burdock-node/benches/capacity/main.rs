//! Measures the cost of each role at several sizes and computes the cost at the size to design for.
//!
//! `cargo bench -p burdock-node --bench capacity` writes `docs/results/capacity.json` and plots, and replaces
//! the tables of `docs/CAPACITY.md`.

mod fit;
mod fleet;
mod measure;
mod report;
mod sizes;

use std::alloc::System;
use std::path::PathBuf;

use serde_json::json;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Allocator that counts allocated bytes.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() {
    let series = measure::measure_all();
    let roles = sizes::role_costs(&series);
    let propagation = sizes::propagation_times(&series);
    let results = json!({
        "command": "cargo bench -p burdock-node --bench capacity",
        "series": series.iter().map(fit::Series::to_json).collect::<Vec<_>>(),
        "roles": roles,
        "reach": propagation,
    });
    let docs = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs"));
    std::fs::create_dir_all(docs.join("results")).expect("the results directory is created");
    let text = serde_json::to_string_pretty(&results).expect("JSON");
    std::fs::write(docs.join("results/capacity.json"), format!("{text}\n")).expect("the results are written");
    report::write_plots(&docs.join("results"), &series);
    report::write_tables(&docs.join("CAPACITY.md"), &results);
    println!("{text}");
}
