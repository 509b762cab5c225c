//! Compares the decisions with simpler policies and with perfect knowledge, under seeded load in simulated
//! time.
//!
//! `cargo bench -p burdock-decide --bench policy -- --seed 1 --compare` prints a table and writes
//! `docs/results/policy.json`. Backend servers, callers and messages are simulated; the decisions are those
//! that instances use.

mod admission;
mod backends;
mod deployment;
mod limits;
mod shifts;

use serde_json::{Value, json};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let seed =
        args.iter().position(|a| a == "--seed").and_then(|ix| args.get(ix + 1)).and_then(|s| s.parse().ok());
    let seed: u64 = seed.unwrap_or(1);
    let compare = args.iter().any(|a| a == "--compare");
    let mut rows: Vec<Value> = Vec::new();
    for deployment in [deployment::ZEMGALE, deployment::SABARMATI] {
        rows.extend(backends::rows(&deployment, seed, compare));
        rows.extend(limits::rows(&deployment, seed, compare));
        rows.extend(admission::rows(&deployment, seed, compare));
        rows.extend(shifts::rows(&deployment));
    }
    for row in &rows {
        println!("{row}");
    }
    let command = "cargo bench -p burdock-decide --bench policy -- --seed 1 --compare";
    let report = json!({"command": command, "seed": seed, "rows": rows});
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/results");
    std::fs::create_dir_all(folder).expect("a folder");
    let text = serde_json::to_string_pretty(&report).expect("JSON");
    std::fs::write(format!("{folder}/policy.json"), format!("{text}\n")).expect("the results are written");
}
