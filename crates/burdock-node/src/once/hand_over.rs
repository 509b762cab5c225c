//! Handing the table over to a successor when an instance leaves.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::membership::MemberState;
use burdock_model::fleet::Succession;
use burdock_model::hash::rendezvous_order;
use burdock_wire::messages::PeerAddress;

use crate::fleet::Entry;
use crate::node::Node;

/// The longest that one attempt may take.
const LIMIT: Duration = Duration::from_secs(3);

/// Successors that are tried.
const ATTEMPTS: usize = 3;

/// Hands the table to a live instance, one of the own region first. Returns whether one took it.
///
/// Whoever takes it only answers from it and never runs its keys, so a hand-over that is repeated
/// because its answer was lost does no harm.
pub async fn hand_over(node: &Arc<Node>) -> bool {
    let mut left = node.once.taken_over();
    left.push(node.incarnation.clone());
    let records = node.once.export(node.clock.now());
    for entry in successors(node).into_iter().take(ATTEMPTS) {
        let peer = PeerAddress { id: entry.life.instance.clone(), address: entry.peer_address };
        let taken = node.peers.hand_over_records(&peer, left.clone(), records.clone(), LIMIT).await;
        if !matches!(taken, Ok(true)) {
            continue;
        }
        let successions =
            left.iter().map(|l| Succession { departed: l.clone(), successor: entry.life.clone() });
        node.fleet.note_successions(successions.collect(), node.clock.now());
        log::info!("{} idempotency keys handed over to {}", records.len(), entry.life);
        return true;
    }
    false
}

fn successors(node: &Node) -> Vec<Entry> {
    let view = node.fleet.view();
    let alive = view
        .entries
        .iter()
        .filter(|e| e.member_state == MemberState::Alive && e.life != node.incarnation)
        .cloned();
    let mut ranked = rendezvous_order(10, alive, |e| e.life.instance.as_str());
    ranked.sort_by_key(|e| e.region != node.settings.region);
    ranked
}
