//! Graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::shutdown::{ShutdownStage, ShutdownView, shutdown_stage};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::node::{Node, Phase};
use crate::once::hand_over::hand_over;
use crate::start::RunningNode;

/// How often the stage is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// Signals that ask for a stop.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Listens for SIGTERM and SIGINT from now on.
    ///
    /// # Errors
    /// When the runtime can't listen for signals.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Self { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Waits for the next one.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Shuts an instance down gracefully; a second signal ends it at once.
pub async fn shut_down(running: RunningNode, signals: &mut StopSignals) {
    let node = Arc::clone(&running.node);
    tokio::select! {
        () = drain(&node) => log::info!("shutdown complete"),
        () = signals.next() => log::warn!("second signal: ended with {} requests at work", node.in_flight()),
    }
    running.stop().await;
}

/// Leaves steering answers, finishes what runs, and hands over.
pub async fn drain(node: &Arc<Node>) {
    let began = node.clock.now();
    let mut handed_over = false;
    node.advance(Phase::Draining);
    loop {
        let now = node.clock.now();
        let last = node.last_request_at().max(began);
        let view = ShutdownView {
            elapsed: now.since(began),
            in_flight: node.in_flight(),
            idle_time: now.since(last),
            handed_over,
        };
        match shutdown_stage(&view) {
            ShutdownStage::Draining => {}
            ShutdownStage::Finishing => node.advance(Phase::Finishing),
            ShutdownStage::HandingOver => {
                node.advance(Phase::Finishing);
                if !hand_over(node).await && !node.once.is_empty() {
                    log::warn!("nobody took over {} idempotency keys", node.once.len());
                }
                handed_over = true;
                tell_others(node).await;
            }
            ShutdownStage::Done => return,
        }
        tokio::time::sleep(LOOK).await;
    }
}

// One more round of exchange carries the succession and the leaving heartbeat to the others.
async fn tell_others(node: &Arc<Node>) {
    const ROUNDS: u32 = 2;
    let members = node.fleet.view().entries.len();
    if members > 1 {
        tokio::time::sleep(burdock_decide::membership::round_interval(members) * ROUNDS).await;
    }
}
