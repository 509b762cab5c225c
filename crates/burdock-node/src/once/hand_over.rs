//! Hand-over of the idempotency keys to a successor when this instance shuts down.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::membership::MemberState;
use burdock_model::fleet::Succession;
use burdock_model::hash::rendezvous_order;
use burdock_wire::messages::PeerAddress;

use crate::fleet::Entry;
use crate::node::Node;

/// Timeout of one hand-over attempt.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of successors to try.
const MAX_ATTEMPTS: usize = 3;

/// Hands the table over to an alive instance, preferably in this region. Returns whether one accepted it.
///
/// A successor only replays answers from the table and never runs its keys, so repeating a hand-over whose
/// answer was lost is harmless.
pub async fn hand_over(node: &Arc<Node>) -> bool {
    let mut departed = node.once.taken_over();
    departed.push(node.incarnation.clone());
    let records = node.once.export(node.clock.now());
    for entry in successors(node).into_iter().take(MAX_ATTEMPTS) {
        let peer = PeerAddress { id: entry.incarnation.instance.clone(), address: entry.peer_address };
        let accepted =
            node.peers.hand_over_records(&peer, departed.clone(), records.clone(), HANDOVER_TIMEOUT).await;
        if !matches!(accepted, Ok(true)) {
            continue;
        }
        let successions =
            departed.iter().map(|l| Succession { departed: l.clone(), successor: entry.incarnation.clone() });
        node.fleet.record_successions(successions.collect(), node.clock.now());
        log::info!("{} idempotency keys handed over to {}", records.len(), entry.incarnation);
        return true;
    }
    false
}

fn successors(node: &Node) -> Vec<Entry> {
    let view = node.fleet.view();
    let alive = view
        .entries
        .iter()
        .filter(|e| e.member_state == MemberState::Alive && e.incarnation != node.incarnation)
        .cloned();
    let mut ranked = rendezvous_order(10, alive, |e| e.incarnation.instance.as_str());
    ranked.sort_by_key(|e| e.region != node.settings.region);
    ranked
}
