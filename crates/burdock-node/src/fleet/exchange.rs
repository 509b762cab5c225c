//! Rounds of exchange with other instances.

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
use crate::forward::backends::Report;
use crate::limits::records;
use crate::node::{Node, Phase};
use crate::observe::counters::Counter;

/// Load reports in one message.
const MAX_LOADS: usize = 12;

/// Runs rounds of exchange for as long as the instance lives.
pub async fn exchange_loop(node: Arc<Node>) {
    loop {
        for (peer, limit) in begin_round(&node) {
            let node = Arc::clone(&node);
            tokio::spawn(async move { exchange_with(&node, &peer, limit).await });
        }
        let members = node.fleet.view().entries.len();
        // Rounds of different instances must not fall together.
        let pause = round_interval(members).mul_f64(rand::random_range(0.9..1.1));
        tokio::time::sleep(pause).await;
    }
}

// The partners of this round, each with the number of heartbeats for it.
fn begin_round(node: &Node) -> Vec<(PeerAddress, usize)> {
    let revision = node.active_config.load().snapshot.revision;
    node.fleet.beat(revision, node.phase() >= Phase::Draining, node.clock.now());
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
    let asked = node.clock.now();
    node.counters.add(Counter::Exchanges);
    let Ok(answer) = node.peers.exchange(peer, compose(node, limit)).await else {
        node.counters.add(Counter::ExchangesFailed);
        return;
    };
    if answer.sender.instance != peer.id {
        return;
    }
    // Contact counts only once what the other holds is held here too: an instance that was cut off must
    // not serve in the moment between hearing of a change and installing it.
    let caught_up = catch_up(node, peer, &answer).await.is_ok();
    let source =
        if caught_up { HeartbeatSource::Reply(asked) } else { HeartbeatSource::Push(node.clock.now()) };
    absorb(node, &answer, source);
    if let Some(age) = answer.store_age_ms.filter(|_| caught_up) {
        node.fleet.confirm_store(asked - Duration::from_millis(u64::from(age)));
    }
}

async fn catch_up(node: &Arc<Node>, peer: &PeerAddress, theirs: &Exchange) -> Result<()> {
    install::reach(node, theirs.revision, Some(peer)).await?;
    if theirs.shares_digest == node.limits.records.digest() {
        return Ok(());
    }
    let mut news = false;
    for bucket in node.peers.fetch_share_buckets(peer).await? {
        news |= node.limits.records.take(&bucket, node.clock.now())?;
    }
    if news {
        records::apply(node);
    }
    Ok(())
}

/// Answers another instance's round.
#[must_use]
pub fn answer(node: &Arc<Node>, theirs: &Exchange) -> Exchange {
    absorb(node, theirs, HeartbeatSource::Push(node.clock.now()));
    if theirs.revision > node.active_config.load().snapshot.revision {
        let (node, revision, id) = (Arc::clone(node), theirs.revision, theirs.sender.instance.clone());
        tokio::spawn(async move { install::reach_from(&node, revision, &id).await });
    }
    // As many heartbeats go back as came, so that watchers of a large fleet are asked for little.
    let members = node.fleet.view().entries.len();
    compose(node, theirs.heartbeats.len().max(watcher_digest_limit(members)))
}

/// Takes in what another instance tells.
pub fn absorb(node: &Node, theirs: &Exchange, source: HeartbeatSource) {
    let now = node.clock.now();
    // Records name lives: whoever holds a share can be asked for tokens only once its life is known.
    if node.fleet.observe(&theirs.heartbeats, source, now) {
        records::apply(node);
    }
    node.fleet.note_load(&theirs.sender.instance, theirs.load_per_mille);
    node.fleet.note_successions(theirs.successions.clone(), now);
    let news = node.quarantine.heard(&theirs.strikes, now);
    node.counters.add_many(Counter::Strikes, news as u64);
    absorb_loads(node, &theirs.backend_loads, now);
    adopt_splits(node, theirs);
}

fn absorb_loads(node: &Node, loads: &[BackendLoad], now: Time) {
    let active_config = node.active_config.load();
    let backends = active_config.backends();
    for load in loads {
        let at = now - Duration::from_millis(u64::from(load.age_ms));
        if let Some(backend) = backends.get(&load.id) {
            backend.reported(Report { in_flight: Some(load.in_flight), at, accepting: load.accepting });
        }
    }
}

// An instance that has just started takes up the split of its region, which may be in mid-shift.
fn adopt_splits(node: &Node, theirs: &Exchange) {
    let view = node.fleet.view();
    let same_region =
        view.entries.iter().any(|e| e.life == theirs.sender && e.region == node.settings.region);
    if !same_region {
        return;
    }
    let active_config = node.active_config.load();
    for service in &active_config.services {
        let told = theirs.splits.iter().find(|s| s.service == service.name);
        if let Some(split) = told.filter(|s| s.per_million.len() == service.regions.len()) {
            super::plan::adopt(service, &split.per_million, node.clock.now());
        }
    }
}

/// What this instance tells another, with at most `limit` heartbeats. Short messages have no load reports.
#[must_use]
pub fn compose(node: &Node, limit: usize) -> Exchange {
    let now = node.clock.now();
    let active_config = node.active_config.load();
    let age = node.fleet.store_confirmed_at().map(|at| now.since(at).as_millis());
    Exchange {
        sender: node.incarnation.clone(),
        heartbeats: node.fleet.digest(limit, rand::random(), now),
        revision: active_config.snapshot.revision,
        store_age_ms: age.and_then(|ms| u32::try_from(ms).ok()),
        shares_digest: node.limits.records.digest(),
        load_per_mille: super::plan::load_per_mille(node),
        backend_loads: if limit > MAX_WATCHER_DIGEST_HEARTBEATS { loads(node, now) } else { Vec::new() },
        strikes: node.quarantine.told(now),
        successions: node.fleet.successions(),
        splits: active_config.services.iter().filter_map(split_of).collect(),
    }
}

fn split_of(service: &crate::active_config::ServiceState) -> Option<Split> {
    let split = service.split.load();
    split.computed_at?;
    Some(Split { service: service.name.clone(), per_million: split.per_million.clone() })
}

fn loads(node: &Node, now: Time) -> Vec<BackendLoad> {
    let active_config = node.active_config.load();
    let load = |backend: &Arc<crate::forward::backends::BackendState>| {
        let report = backend.report();
        let in_flight = report.in_flight?;
        let age_ms = u32::try_from(now.since(report.at).as_millis()).ok()?;
        Some(BackendLoad { id: backend.id.clone(), accepting: report.accepting, in_flight, age_ms })
    };
    let mut loads: Vec<BackendLoad> = active_config.backends().into_values().filter_map(load).collect();
    loads.sort_unstable_by_key(|l| l.age_ms);
    loads.truncate(MAX_LOADS);
    loads
}
