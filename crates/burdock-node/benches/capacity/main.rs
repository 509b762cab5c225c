//! What each role costs, as slopes over sizes, and what that comes to at the size to design for.
//!
//! `cargo bench -p burdock-node --bench capacity` measures, writes `docs/results/capacity.json` and plots, and
//! puts the tables into `docs/CAPACITY.md`.

mod fit;
mod fleet;
mod measure;
mod report;
mod sizes;

use std::alloc::System;
use std::path::PathBuf;

use serde_json::json;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts what is allocated.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() {
    let series = measure::all();
    let roles = sizes::roles(&series);
    let reach = sizes::reach(&series);
    let results = json!({
        "command": "cargo bench -p burdock-node --bench capacity",
        "series": series.iter().map(fit::Series::to_json).collect::<Vec<_>>(),
        "roles": roles,
        "reach": reach,
    });
    let docs = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs"));
    std::fs::create_dir_all(docs.join("results")).expect("a folder");
    let text = serde_json::to_string_pretty(&results).expect("JSON");
    std::fs::write(docs.join("results/capacity.json"), format!("{text}\n")).expect("the results are written");
    report::plots(&docs.join("results"), &series);
    report::tables(&docs.join("CAPACITY.md"), &results);
    println!("{text}");
}
