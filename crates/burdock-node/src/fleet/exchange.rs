//! Gossip rounds with other instances.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::membership::{
    HeartbeatSource, MAX_DIGEST_HEARTBEATS, MAX_WATCHER_DIGEST_HEARTBEATS, Member, round_interval,
    select_gossip_partners, watcher_digest_limit,
};
use burdock_decide::time::Time;
use burdock_model::error::Result;
use burdock_model::fleet::{BackendLoad, Split};
use burdock_wire::messages::{Exchange, PeerAddress};

use crate::fleet::install;
use crate::forward::backends::LoadReport;
use crate::limits::records;
use crate::node::{Node, Phase};
use crate::observe::counters::Counter;

/// Maximum number of load reports in one message.
const MAX_LOADS: usize = 12;

/// Runs gossip rounds for as long as the instance runs.
pub async fn exchange_loop(node: Arc<Node>) {
    loop {
        for (peer, limit) in begin_round(&node) {
            let node = Arc::clone(&node);
            tokio::spawn(async move { exchange_with(&node, &peer, limit).await });
        }
        let members = node.fleet.view().entries.len();
        // The jitter keeps rounds of different instances from coinciding.
        let pause = round_interval(members).mul_f64(rand::random_range(0.9..1.1));
        tokio::time::sleep(pause).await;
    }
}

// Advances this instance's heartbeat and returns the partners of this round, each with its maximum number of
// heartbeats.
fn begin_round(node: &Node) -> Vec<(PeerAddress, usize)> {
    let revision = node.active_config.load().snapshot.revision;
    node.fleet.advance_heartbeat(revision, node.phase() >= Phase::Draining, node.clock.now());
    let members = node.fleet.members();
    let chosen =
        select_gossip_partners(&node.incarnation.instance, &node.settings.zone, &members, rand::random());
    let limit = watcher_digest_limit(members.len());
    let watchers = chosen.watchers.into_iter().map(|m| (m, limit));
    let others = chosen.others.into_iter().map(|m| (m, MAX_DIGEST_HEARTBEATS));
    let address =
        |m: &Member| Some(PeerAddress { id: m.id.clone(), address: node.fleet.peer_address(&m.id)? });
    watchers.chain(others).filter_map(|(m, limit)| Some((address(m)?, limit))).collect()
}

async fn exchange_with(node: &Arc<Node>, peer: &PeerAddress, limit: usize) {
    let sent_at = node.clock.now();
    node.counters.add(Counter::Exchanges);
    let Ok(answer) = node.peers.exchange(peer, build_exchange(node, limit)).await else {
        node.counters.add(Counter::ExchangesFailed);
        return;
    };
    if answer.sender.instance != peer.id {
        return;
    }
    // Contact counts only after the partner's configuration and share records are installed here: an instance
    // that was cut off must not serve between learning of a change and installing it.
    let caught_up = catch_up(node, peer, &answer).await.is_ok();
    let source =
        if caught_up { HeartbeatSource::Reply(sent_at) } else { HeartbeatSource::Push(node.clock.now()) };
    merge_exchange(node, &answer, source);
    if let Some(age) = answer.store_age_ms.filter(|_| caught_up) {
        node.fleet.record_store_confirmed(sent_at - Duration::from_millis(u64::from(age)));
    }
}

async fn catch_up(node: &Arc<Node>, peer: &PeerAddress, received: &Exchange) -> Result<()> {
    install::install_revision(node, received.revision, Some(peer)).await?;
    if received.shares_digest == node.limits.records.digest() {
        return Ok(());
    }
    let mut records_changed = false;
    for bucket in node.peers.fetch_share_buckets(peer).await? {
        records_changed |= node.limits.records.apply_bucket(&bucket, node.clock.now())?;
    }
    if records_changed {
        records::apply_allotments(node);
    }
    Ok(())
}

/// Merges another instance's message and builds the reply.
#[must_use]
pub fn answer_exchange(node: &Arc<Node>, received: &Exchange) -> Exchange {
    merge_exchange(node, received, HeartbeatSource::Push(node.clock.now()));
    if received.revision > node.active_config.load().snapshot.revision {
        let (node, revision, id) = (Arc::clone(node), received.revision, received.sender.instance.clone());
        tokio::spawn(async move { install::install_revision_from(&node, revision, &id).await });
    }
    // The reply has as many heartbeats as were received, which limits the work of watchers in a large fleet.
    let members = node.fleet.view().entries.len();
    build_exchange(node, received.heartbeats.len().max(watcher_digest_limit(members)))
}

/// Merges the state received from another instance.
pub fn merge_exchange(node: &Node, received: &Exchange, source: HeartbeatSource) {
    let now = node.clock.now();
    // Share records name incarnations, and a holder can be asked for tokens only once its incarnation is
    // known here.
    if node.fleet.record_heartbeats(&received.heartbeats, source, now) {
        records::apply_allotments(node);
    }
    node.fleet.record_load(&received.sender.instance, received.load_per_mille);
    node.fleet.record_successions(received.successions.clone(), now);
    let new_strikes = node.quarantine.merge_strikes(&received.strikes, now);
    node.counters.add_many(Counter::Strikes, new_strikes as u64);
    record_backend_loads(node, &received.backend_loads, now);
    adopt_region_splits(node, received);
}

fn record_backend_loads(node: &Node, loads: &[BackendLoad], now: Time) {
    let active_config = node.active_config.load();
    let backends = active_config.backends();
    for load in loads {
        let at = now - Duration::from_millis(u64::from(load.age_ms));
        if let Some(backend) = backends.get(&load.id) {
            backend.record_load_report(LoadReport {
                in_flight: Some(load.in_flight),
                at,
                accepting: load.accepting,
            });
        }
    }
}

// An instance that has just started adopts the split of its own region, where a shift of traffic may be in
// progress.
fn adopt_region_splits(node: &Node, received: &Exchange) {
    let view = node.fleet.view();
    let same_region =
        view.entries.iter().any(|e| e.incarnation == received.sender && e.region == node.settings.region);
    if !same_region {
        return;
    }
    let active_config = node.active_config.load();
    for service in &active_config.services {
        let split = received.splits.iter().find(|s| s.service == service.name);
        if let Some(split) = split.filter(|s| s.per_million.len() == service.regions.len()) {
            super::split::adopt_split(service, &split.per_million, node.clock.now());
        }
    }
}

/// Builds the message for another instance, with at most `limit` heartbeats. Messages of up to
/// [`MAX_WATCHER_DIGEST_HEARTBEATS`] have no load reports.
#[must_use]
pub fn build_exchange(node: &Node, limit: usize) -> Exchange {
    let now = node.clock.now();
    let active_config = node.active_config.load();
    let age = node.fleet.store_confirmed_at().map(|at| now.since(at).as_millis());
    Exchange {
        sender: node.incarnation.clone(),
        heartbeats: node.fleet.digest(limit, rand::random(), now),
        revision: active_config.snapshot.revision,
        store_age_ms: age.and_then(|ms| u32::try_from(ms).ok()),
        shares_digest: node.limits.records.digest(),
        load_per_mille: super::split::load_per_mille(node),
        backend_loads: if limit > MAX_WATCHER_DIGEST_HEARTBEATS {
            recent_loads(node, now)
        } else {
            Vec::new()
        },
        strikes: node.quarantine.recent_strikes(now),
        successions: node.fleet.successions(),
        splits: active_config.services.iter().filter_map(active_split).collect(),
    }
}

fn active_split(service: &crate::active_config::ServiceState) -> Option<Split> {
    let split = service.split.load();
    split.computed_at?;
    Some(Split { service: service.name.clone(), per_million: split.per_million.clone() })
}

fn recent_loads(node: &Node, now: Time) -> Vec<BackendLoad> {
    let active_config = node.active_config.load();
    let load = |backend: &Arc<crate::forward::backends::BackendState>| {
        let report = backend.load_report();
        let in_flight = report.in_flight?;
        let age_ms = u32::try_from(now.since(report.at).as_millis()).ok()?;
        Some(BackendLoad { id: backend.id.clone(), accepting: report.accepting, in_flight, age_ms })
    };
    let mut loads: Vec<BackendLoad> = active_config.backends().into_values().filter_map(load).collect();
    loads.sort_unstable_by_key(|l| l.age_ms);
    loads.truncate(MAX_LOADS);
    loads
}
