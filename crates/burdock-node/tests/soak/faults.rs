//! Series of faults, drawn from a seed; they overlap.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use burdock_standin::backend::Fault as BackendFault;
use burdock_standin::site::evacuate;
use burdock_standin::store::Fault as StoreFault;
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::link::LinkMode;
use crate::play::{PLANNED_STOP, Plan};
use crate::world::World;

/// How often a fault begins, on average.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);

/// How long a fault lasts.
const LASTS: std::ops::Range<Duration> = Duration::from_millis(300)..Duration::from_millis(5000);

/// One fault of a series.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    at: Duration,
    lasts: Duration,
    // Which instance or backend server, taken modulo their number.
    target: usize,
    kind: Kind,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
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
}

/// The faults of a seed, in order of time.
pub fn draw(rng: &mut StdRng, plan: &Plan) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += rng.random_range(Duration::ZERO..FAULT_INTERVAL * 2);
        if at >= plan.trouble {
            return faults;
        }
        let (lasts, target) = (rng.random_range(LASTS), rng.random_range(0..64));
        faults.push(Fault { at, lasts, target, kind: kind(rng) });
    }
}

fn kind(rng: &mut StdRng) -> Kind {
    match rng.random_range(0..22) {
        0..3 => Kind::Kill,
        3..5 => Kind::PlannedStop,
        5 => Kind::Pause,
        6 => Kind::StoreDown,
        7 => Kind::StoreSlow,
        8 => Kind::StoreLosesAnswers,
        9 => Kind::StoreGarbage,
        10 => Kind::LeasesLapse,
        11 => Kind::HistoryForgotten,
        12 | 13 => Kind::StoreLink(mode(rng)),
        14 => Kind::BackendCrash,
        15 => Kind::BackendSheds,
        16 => Kind::BackendStalls,
        17 => Kind::BackendLink(mode(rng)),
        18 => Kind::BackendDrains,
        19 => Kind::Evacuation,
        20 => Kind::NewVersion,
        _ => Kind::KeyWithdrawn,
    }
}

fn mode(rng: &mut StdRng) -> LinkMode {
    match rng.random_range(0..5) {
        0 => LinkMode::Cut,
        1 => LinkMode::Delay(Duration::from_millis(rng.random_range(20..400))),
        2 => LinkMode::Silent { forth: true, back: true },
        3 => LinkMode::Silent { forth: true, back: false },
        _ => LinkMode::Silent { forth: false, back: true },
    }
}

/// Plays a series to its end.
pub async fn inject(world: &Arc<World>, series: Vec<Fault>) {
    let began = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    for fault in series {
        let world = Arc::clone(world);
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep_until(began + fault.at).await;
            fault.play(&world).await;
        }));
    }
    for task in tasks {
        task.await.expect("a fault is played");
    }
}

impl Fault {
    async fn play(&self, world: &World) {
        let instance = &world.instances[self.target % world.instances.len()];
        let backend = &world.backends[self.target % world.backends.len()];
        let store = |fault: StoreFault| world.store.inject(fault);
        let ms = u64::try_from(self.lasts.as_millis()).unwrap_or(u64::MAX);
        match self.kind {
            Kind::Kill => {
                instance.kill();
                tokio::time::sleep(self.lasts / 2).await;
                instance.start_if_ended();
            }
            Kind::PlannedStop => {
                instance.signal(PLANNED_STOP);
                // The platform kills what has not ended by then.
                tokio::time::sleep(Duration::from_secs(6)).await;
                instance.start_if_ended();
            }
            Kind::Pause => {
                instance.signal(Signal::SIGSTOP);
                tokio::time::sleep(self.lasts).await;
                instance.signal(Signal::SIGCONT);
            }
            Kind::StoreDown => store(StoreFault { down_ms: Some(ms), ..StoreFault::default() }),
            Kind::StoreSlow => {
                store(StoreFault { slow_ms: Some(250), ..StoreFault::default() });
                tokio::time::sleep(self.lasts).await;
                store(StoreFault { slow_ms: Some(0), ..StoreFault::default() });
            }
            Kind::StoreLosesAnswers => store(StoreFault { lose_answers: Some(4), ..StoreFault::default() }),
            Kind::StoreGarbage => {
                store(StoreFault { garbage: Some(true), ..StoreFault::default() });
                tokio::time::sleep(self.lasts).await;
                store(StoreFault { garbage: Some(false), ..StoreFault::default() });
            }
            Kind::LeasesLapse => store(StoreFault { lapse_leases: Some(true), ..StoreFault::default() }),
            Kind::HistoryForgotten => {
                store(StoreFault { forget_history: Some(true), ..StoreFault::default() })
            }
            Kind::StoreLink(mode) => {
                instance.to_store.set(mode);
                tokio::time::sleep(self.lasts).await;
                instance.to_store.restore();
            }
            Kind::BackendCrash => {
                backend.crash();
                tokio::time::sleep(self.lasts).await;
                backend.come_back(&world.store);
            }
            Kind::BackendSheds => {
                backend.standin.inject(BackendFault { shed: Some(true), ..BackendFault::default() });
                tokio::time::sleep(self.lasts).await;
                backend.standin.inject(BackendFault { shed: Some(false), ..BackendFault::default() });
            }
            Kind::BackendStalls => {
                backend.standin.inject(BackendFault { stall: Some(true), ..BackendFault::default() });
                tokio::time::sleep(self.lasts).await;
                backend.standin.inject(BackendFault { stall: Some(false), ..BackendFault::default() });
            }
            Kind::BackendLink(mode) => {
                backend.link.set(mode);
                tokio::time::sleep(self.lasts).await;
                backend.link.restore();
            }
            Kind::BackendDrains => {
                world.drain_backend(self.target % world.backends.len());
                tokio::time::sleep(self.lasts).await;
                backend.come_back(&world.store);
            }
            Kind::Evacuation => {
                evacuate(&world.store, &backend.zone, true);
                tokio::time::sleep(self.lasts).await;
                evacuate(&world.store, &backend.zone, false);
            }
            Kind::NewVersion => world.publish(|_| {}),
            Kind::KeyWithdrawn => world.publish(|old_key| *old_key = false),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.1} s, for {:.1} s: {:?} at {}",
            self.at.as_secs_f64(),
            self.lasts.as_secs_f64(),
            self.kind,
            self.target
        )
    }
}
