//! One run of the soak test, from its seed to the guarantees that it violated.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::callers::Callers;
use crate::checks;
use crate::deployment::{BACKENDS_PER_SERVICE, Deployment};
use crate::faults;

/// Maximum time from the end of faults until the guarantees for fault-free times apply: the operators' bound
/// on recovery, minus the time that callers need for their last requests.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(10);

/// How long a backend server that restarted at the end of the faults accepts only few requests.
const BACKEND_RAMP_UP_TIME: Duration = Duration::from_millis(3500);

/// How long traffic is observed without faults, before and again after one more planned stop.
const CALM_TIME: Duration = Duration::from_secs(3);

/// Time after which the store executes the last report of the backend server that leaves.
const LATE_REPORT_DELAY: Duration = Duration::from_secs(3);

/// Index of the backend server that drains at the end.
const DRAINED_BACKEND: usize = 0;

/// Index of the backend server that leaves at the end, of the other service.
const LEAVING_BACKEND: usize = BACKENDS_PER_SERVICE;

/// Settings of one run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Seed of every random choice.
    pub seed: u64,
    /// Number of entry instances, each a process.
    pub instances: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// How long faults are injected.
    pub fault_time: Duration,
    /// How often the store comes back from an older copy meanwhile.
    pub restores: usize,
    /// How many reports of backend servers the store executes late meanwhile. With any, a backend server also leaves at
    /// the end, and its last report is late.
    pub late_reports: usize,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            instances: 5,
            callers: 12,
            fault_time: Duration::from_secs(12),
            restores: 0,
            late_reports: 0,
        }
    }
}

/// Result of one run.
#[derive(Debug)]
pub struct RunOutcome {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests that callers sent.
    pub requests: usize,
    /// Number of requests that backend servers answered.
    pub served: usize,
    /// Injected faults, one line each.
    pub faults: Vec<String>,
    /// Violated guarantees, one line each.
    pub violations: Vec<String>,
    /// Directory of the instances' logs.
    pub log_directory: PathBuf,
}

/// Runs one scenario and checks its guarantees.
pub async fn run_scenario(scenario: &Scenario) -> RunOutcome {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let deployment = Arc::new(Deployment::start(scenario.seed, scenario.instances).await);
    let callers = Callers::start(&deployment, scenario.seed, scenario.callers);
    let sampled_faults = faults::sample_faults(&mut rng, scenario);
    let fault_lines = sampled_faults.iter().map(ToString::to_string).collect();
    faults::inject_all(&deployment, sampled_faults).await;
    deployment.end_faults().await;
    tokio::time::sleep(BACKEND_RAMP_UP_TIME).await;

    let mut violations = wait_until_settled(&deployment).await;
    let calm_started_at = Instant::now();
    tokio::time::sleep(CALM_TIME).await;
    deployment.drain_backend(DRAINED_BACKEND);
    let drained_at = Instant::now();
    let late_report = (scenario.late_reports > 0).then(|| deployment.remove_backend(LEAVING_BACKEND));
    let execute_late = async {
        tokio::time::sleep(LATE_REPORT_DELAY).await;
        if let Some(report) = &late_report {
            report.publish(&deployment.store);
        }
    };
    let (exit_code, ()) = tokio::join!(deployment.stop_gracefully(0), execute_late);
    tokio::time::sleep(CALM_TIME).await;
    let calm_ended_at = Instant::now();

    let records = callers.stop().await;
    if exit_code != Some(0) {
        violations.push(format!("a planned stop without faults ended with exit code {exit_code:?}"));
    }
    let executed_requests = deployment.executed_requests();
    violations.extend(checks::check_always(&records, &executed_requests));
    violations.extend(checks::check_calm_period(
        &records,
        &executed_requests,
        calm_started_at,
        calm_ended_at,
    ));
    violations.extend(checks::check_backend_drain(&deployment, DRAINED_BACKEND, drained_at));
    if late_report.is_some() {
        violations.extend(checks::check_backend_drain(&deployment, LEAVING_BACKEND, drained_at));
    }
    let served = records.iter().filter(|r| r.is_served()).count();
    RunOutcome {
        seed: scenario.seed,
        requests: records.len(),
        served,
        faults: fault_lines,
        violations,
        log_directory: deployment.log_directory(),
    }
}

// Waits until all instances serve the newest configuration, and describes those that did not in time.
async fn wait_until_settled(deployment: &Deployment) -> Vec<String> {
    let started_at = Instant::now();
    let mut unsettled = deployment.unsettled_instances().await;
    while !unsettled.is_empty() && started_at.elapsed() < MAX_SETTLE_TIME {
        tokio::time::sleep(Duration::from_millis(100)).await;
        unsettled = deployment.unsettled_instances().await;
    }
    unsettled
        .iter()
        .map(|state| format!("not settled {:?} after the end of faults: {state}", started_at.elapsed()))
        .collect()
}

/// Signal that starts a planned stop.
pub const PLANNED_STOP: Signal = Signal::SIGTERM;
