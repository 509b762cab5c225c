//! Series of overlapping faults, sampled from a seed.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use burdock_standin::backend::Fault as BackendFault;
use burdock_standin::store::Fault as StoreFault;
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::deployment::Deployment;
use crate::link::LinkMode;
use crate::scenario::{PLANNED_STOP, Scenario};

/// Mean time between the starts of two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);

/// Range of the duration of a fault.
const FAULT_DURATION: std::ops::Range<Duration> = Duration::from_millis(300)..Duration::from_millis(5000);

/// Time from a backend server's report to the next one.
const REPORT_INTERVAL: Duration = Duration::from_millis(1500);

/// One fault of a series.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    at: Duration,
    duration: Duration,
    // Index of the instance or backend server, taken modulo their number.
    target: usize,
    kind: FaultKind,
}

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    Kill,
    PlannedStop,
    Pause,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreGarbage,
    LeasesLapse,
    HistoryForgotten,
    StoreLink(LinkMode),
    BackendCrash,
    BackendSheds,
    BackendStalls,
    BackendLink(LinkMode),
    BackendDrains,
    Evacuation,
    NewVersion,
    KeyWithdrawn,
    StoreRestored,
    LateReport,
}

/// Samples the faults of a scenario, in order of their start.
pub fn sample_faults(rng: &mut StdRng, scenario: &Scenario) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += rng.random_range(Duration::ZERO..FAULT_INTERVAL * 2);
        if at >= scenario.fault_time {
            break;
        }
        let (duration, target) = (rng.random_range(FAULT_DURATION), rng.random_range(0..64));
        faults.push(Fault { at, duration, target, kind: sample_kind(rng) });
    }
    // Sampled after the others, which stay the same for a seed.
    faults.extend((0..scenario.restores).map(|_| Fault {
        at: rng.random_range(Duration::ZERO..scenario.fault_time),
        duration: rng.random_range(FAULT_DURATION),
        target: 0,
        kind: FaultKind::StoreRestored,
    }));
    faults.extend((0..scenario.late_reports).map(|_| Fault {
        at: rng.random_range(Duration::ZERO..scenario.fault_time),
        duration: rng.random_range(FAULT_DURATION),
        target: rng.random_range(0..64),
        kind: FaultKind::LateReport,
    }));
    faults
}

fn sample_kind(rng: &mut StdRng) -> FaultKind {
    match rng.random_range(0..22) {
        0..3 => FaultKind::Kill,
        3..5 => FaultKind::PlannedStop,
        5 => FaultKind::Pause,
        6 => FaultKind::StoreDown,
        7 => FaultKind::StoreSlow,
        8 => FaultKind::StoreLosesAnswers,
        9 => FaultKind::StoreGarbage,
        10 => FaultKind::LeasesLapse,
        11 => FaultKind::HistoryForgotten,
        12 | 13 => FaultKind::StoreLink(sample_link_mode(rng)),
        14 => FaultKind::BackendCrash,
        15 => FaultKind::BackendSheds,
        16 => FaultKind::BackendStalls,
        17 => FaultKind::BackendLink(sample_link_mode(rng)),
        18 => FaultKind::BackendDrains,
        19 => FaultKind::Evacuation,
        20 => FaultKind::NewVersion,
        _ => FaultKind::KeyWithdrawn,
    }
}

fn sample_link_mode(rng: &mut StdRng) -> LinkMode {
    match rng.random_range(0..5) {
        0 => LinkMode::Cut,
        1 => LinkMode::Delay(Duration::from_millis(rng.random_range(20..400))),
        2 => LinkMode::Silent { forth: true, back: true },
        3 => LinkMode::Silent { forth: true, back: false },
        _ => LinkMode::Silent { forth: false, back: true },
    }
}

/// Injects all faults and waits until the last one is over.
pub async fn inject_all(deployment: &Arc<Deployment>, faults: Vec<Fault>) {
    let started_at = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    for fault in faults {
        let deployment = Arc::clone(deployment);
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep_until(started_at + fault.at).await;
            fault.inject(&deployment).await;
        }));
    }
    for task in tasks {
        task.await.expect("the task of a fault does not panic");
    }
}

impl Fault {
    async fn inject(&self, deployment: &Deployment) {
        let instance = &deployment.instances[self.target % deployment.instances.len()];
        let backend = &deployment.backends[self.target % deployment.backends.len()];
        let inject = |fault: StoreFault| deployment.store.inject(fault);
        let ms = u64::try_from(self.duration.as_millis()).unwrap_or(u64::MAX);
        match self.kind {
            FaultKind::Kill => {
                instance.kill();
                tokio::time::sleep(self.duration / 2).await;
                instance.start_if_not_running();
            }
            FaultKind::PlannedStop => {
                instance.signal(PLANNED_STOP);
                // The platform kills a process that is still running then.
                tokio::time::sleep(Duration::from_secs(6)).await;
                instance.start_if_not_running();
            }
            FaultKind::Pause => {
                instance.signal(Signal::SIGSTOP);
                tokio::time::sleep(self.duration).await;
                instance.signal(Signal::SIGCONT);
            }
            FaultKind::StoreDown => inject(StoreFault { down_ms: Some(ms), ..StoreFault::default() }),
            FaultKind::StoreSlow => {
                inject(StoreFault { slow_ms: Some(250), ..StoreFault::default() });
                tokio::time::sleep(self.duration).await;
                inject(StoreFault { slow_ms: Some(0), ..StoreFault::default() });
            }
            FaultKind::StoreLosesAnswers => {
                inject(StoreFault { lose_answers: Some(4), ..StoreFault::default() })
            }
            FaultKind::StoreGarbage => {
                inject(StoreFault { garbage: Some(true), ..StoreFault::default() });
                tokio::time::sleep(self.duration).await;
                inject(StoreFault { garbage: Some(false), ..StoreFault::default() });
            }
            FaultKind::LeasesLapse => {
                inject(StoreFault { lapse_leases: Some(true), ..StoreFault::default() })
            }
            FaultKind::HistoryForgotten => {
                inject(StoreFault { forget_history: Some(true), ..StoreFault::default() })
            }
            FaultKind::StoreLink(mode) => {
                instance.store_link.set(mode);
                tokio::time::sleep(self.duration).await;
                instance.store_link.restore();
            }
            FaultKind::BackendCrash => {
                backend.crash();
                tokio::time::sleep(self.duration).await;
                backend.restart(&deployment.store);
            }
            FaultKind::BackendSheds => {
                backend.standin.inject(BackendFault { shed: Some(true), ..BackendFault::default() });
                tokio::time::sleep(self.duration).await;
                backend.standin.inject(BackendFault { shed: Some(false), ..BackendFault::default() });
            }
            FaultKind::BackendStalls => {
                backend.standin.inject(BackendFault { stall: Some(true), ..BackendFault::default() });
                tokio::time::sleep(self.duration).await;
                backend.standin.inject(BackendFault { stall: Some(false), ..BackendFault::default() });
            }
            FaultKind::BackendLink(mode) => {
                backend.link.set(mode);
                tokio::time::sleep(self.duration).await;
                backend.link.restore();
            }
            FaultKind::BackendDrains => {
                deployment.drain_backend(self.target % deployment.backends.len());
                tokio::time::sleep(self.duration).await;
                backend.restart(&deployment.store);
            }
            FaultKind::Evacuation => {
                deployment.set_evacuated(&backend.zone, true);
                tokio::time::sleep(self.duration).await;
                deployment.set_evacuated(&backend.zone, false);
            }
            FaultKind::StoreRestored => {
                let copy = deployment.store.copy();
                tokio::time::sleep(self.duration).await;
                inject(StoreFault { down_ms: Some(300), ..StoreFault::default() });
                tokio::time::sleep(Duration::from_millis(300)).await;
                deployment.restore_store(&copy).await;
            }
            FaultKind::LateReport if backend.is_running() => {
                let report = backend.next_report();
                tokio::time::sleep(self.duration).await;
                report.publish(&deployment.store);
                tokio::time::sleep(REPORT_INTERVAL).await;
                if backend.is_running() {
                    backend.publish(&deployment.store);
                }
            }
            FaultKind::LateReport => {}
            FaultKind::NewVersion => deployment.publish(|_| {}),
            FaultKind::KeyWithdrawn => deployment.publish(|old_key_accepted| *old_key_accepted = false),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.1} s, for {:.1} s: {:?} at {}",
            self.at.as_secs_f64(),
            self.duration.as_secs_f64(),
            self.kind,
            self.target
        )
    }
}
