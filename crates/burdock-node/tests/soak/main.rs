//! A randomized soak: real instances as processes, faults from outside them, promises checked from what callers and
//! backend servers saw. `benches/soak.rs` plays as many seeds as wanted by hand; here are a short run and the seeds that
//! once failed.

mod callers;
mod checks;
mod faults;
#[path = "../support/link.rs"]
mod link;
mod play;
#[path = "../support/ports.rs"]
mod ports;
#[path = "../support/process.rs"]
mod process;
mod world;

use googletest::prelude::*;
use play::{Plan, play};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_short_run_keeps_all_promises() {
    let verdict = play(&Plan { seed: 1, ..Plan::default() }).await;
    let told = format!("seed {}, logs in {}, {:#?}", verdict.seed, verdict.logs.display(), verdict.faults);
    expect_that!(verdict.broken, is_empty(), "{told}");
    expect_that!(verdict.asked, ge(500));
    expect_that!(verdict.served, ge(verdict.asked / 4));
}
