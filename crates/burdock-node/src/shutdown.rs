//! Graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::shutdown::{ShutdownStage, ShutdownView, shutdown_stage};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::node::{Node, Phase};
use crate::once::hand_over::hand_over;
use crate::start::RunningNode;

/// Interval at which the stage of the shutdown is updated.
const STAGE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Signals that request a shutdown.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Starts to listen for SIGTERM and SIGINT.
    ///
    /// # Errors
    /// When the runtime can't listen for signals.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Self { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Waits for the next signal.
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
        () = signals.next() => log::warn!("second signal: ending at once with {} requests in flight", node.in_flight()),
    }
    running.stop().await;
}

/// Withdraws the instance from steering answers, finishes requests in flight and hands over idempotency keys.
pub async fn drain(node: &Arc<Node>) {
    let started_at = node.clock.now();
    let mut handed_over = false;
    node.advance(Phase::Draining);
    loop {
        let now = node.clock.now();
        let idle_since = node.last_request_at().max(started_at);
        let view = ShutdownView {
            elapsed: now.since(started_at),
            in_flight: node.in_flight(),
            idle_time: now.since(idle_since),
            handed_over,
        };
        match shutdown_stage(&view) {
            ShutdownStage::Draining => {}
            ShutdownStage::Finishing => node.advance(Phase::Finishing),
            ShutdownStage::HandingOver => {
                node.advance(Phase::Finishing);
                if !hand_over(node).await && !node.once.is_empty() {
                    log::warn!("no instance took over the {} idempotency keys held here", node.once.len());
                }
                handed_over = true;
                wait_for_gossip(node).await;
            }
            ShutdownStage::Done => return,
        }
        tokio::time::sleep(STAGE_POLL_INTERVAL).await;
    }
}

// Waits for gossip rounds that carry the succession and the leaving heartbeat to the other instances.
async fn wait_for_gossip(node: &Arc<Node>) {
    const ROUNDS: u32 = 2;
    let members = node.fleet.view().entries.len();
    if members > 1 {
        tokio::time::sleep(burdock_decide::membership::round_interval(members) * ROUNDS).await;
    }
}
