//! Reports of instances to their hub, of hubs to each other, and questions for leave.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use burdock_model::prelude::*;
use burdock_model::site::Organisation;
use burdock_wire::messages::{Hello, StoreDelta, TokenGrant, TokenRequest, TrafficReport};
use burdock_wire::server::{Handler, Handlers};
use futures::FutureExt;

use crate::site::hub::Population;
use crate::site::{SiteNode, fleet, hash_of, sync};

/// Time between two reports: within it a few requests are placed at each backend server.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The longest that a report may take within a region, and between regions.
const REPORT_LIMIT: Duration = Duration::from_millis(700);

/// The longest wait for leave, small against every latency target.
const LEAVE_LIMIT: Duration = Duration::from_millis(150);

/// What answers the calls of other instances.
#[must_use]
pub fn handlers(node: &Arc<SiteNode>) -> Handlers {
    let hello = hello(node);
    Handlers {
        report_traffic: on(node, |node, traffic: TrafficReport| {
            let (now, revision) = (node.clock.now(), traffic.store.revision);
            node.quarantine.merge_strikes(&traffic.strikes, now);
            let mut answer = node.hub.heard(&node.life.instance, traffic, now);
            answer.store = node.mirror.news_since(revision, now);
            answer.strikes = node.quarantine.recent_strikes(now);
            Ok(answer)
        }),
        request_tokens: on(node, |node, question: TokenRequest| Ok(leave(node, &question))),
        ..Handlers::reject_all(hello)
    }
}

/// How this instance introduces itself.
#[must_use]
pub fn hello(node: &SiteNode) -> Hello {
    Hello {
        incarnation: node.life.clone(),
        region: node.settings.region.clone(),
        zone: node.settings.zone.clone(),
    }
}

/// Reports this instance's traffic, and as a hub that of its followers, again and again.
pub async fn report_loop(node: Arc<SiteNode>) {
    let mut tick = tokio::time::interval(REPORT_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        report(&node).await;
    }
}

async fn report(node: &Arc<SiteNode>) {
    let now = node.clock.now();
    let plan = node.plan.load();
    node.hub.refresh(&plan.config.organisations, Population::of(node), now);
    let traffic = TrafficReport {
        sender: node.life.instance.clone(),
        instance_count: 1,
        demands: node.allowances.demands(now),
        in_flight: node.table.at_work(),
        is_from_hub: false,
        store: StoreDelta { revision: node.mirror.revision().unwrap_or(0), ..StoreDelta::default() },
        strikes: node.quarantine.recent_strikes(now),
    };
    let from = traffic.store.revision;
    let Some(hub) = node.hub.hub_of(node, &node.settings.region) else {
        let answer = node.hub.heard(&node.life.instance, traffic, now);
        node.table.set_elsewhere(&answer.in_flight);
        report_to_hubs(node).await;
        let is_first = node.fleet.view().first_region() == Some(&node.settings.region);
        if is_first && Population::of(node).is_settled && node.mirror.is_fresh(now) {
            fleet::record_size(node).await;
        }
        return;
    };
    match node.peers.report_traffic(&hub, traffic, REPORT_LIMIT).await {
        Ok(answer) => {
            node.table.set_elsewhere(&answer.in_flight);
            node.quarantine.merge_strikes(&answer.strikes, node.clock.now());
            sync::relayed(node, answer.store, now, from);
        }
        Err(e) => {
            log::info!(hub = hub.id.as_str(); "the hub does not answer: {e:?}");
            node.hub.set_out(&hub.id, node.clock.now());
            node.table.set_elsewhere(&[]);
        }
    }
}

// Each pair of regions talks once: the first in order of name asks. A hub that is out of touch with the store asks
// all others, for what they know of it.
async fn report_to_hubs(node: &Arc<SiteNode>) {
    let own = &node.settings.region;
    let asks_all = node.mirror.is_late(node.clock.now());
    let asked = |region: &&RegionName| *region > own || (asks_all && *region != own);
    let regions: BTreeSet<&RegionName> = node.settings.regions.values().filter(asked).collect();
    let calls = regions.into_iter().filter_map(|region| {
        let hub = node.hub.hub_of(node, region)?;
        Some(async move {
            let now = node.clock.now();
            let mut summary = node.hub.summary(&node.life.instance, now);
            let from = node.mirror.revision().unwrap_or(0);
            summary.store.revision = from;
            summary.strikes = node.quarantine.recent_strikes(now);
            match node.peers.report_traffic(&hub, summary, REPORT_LIMIT).await {
                Ok(mut answer) => {
                    node.quarantine.merge_strikes(&answer.strikes, node.clock.now());
                    sync::relayed(node, std::mem::take(&mut answer.store), now, from);
                    node.hub.heard_hub(answer, node.clock.now());
                }
                Err(e) => {
                    log::info!(hub = hub.id.as_str(); "the hub of another region does not answer: {e:?}");
                    node.hub.set_out(&hub.id, node.clock.now());
                }
            }
        })
    });
    futures::future::join_all(calls).await;
}

/// Asks for leave to pass on requests of an organisation: the hub, or this instance where it is its own.
pub async fn ask(node: &Arc<SiteNode>, organisation: &Organisation, wanted: u32) -> TokenGrant {
    let population = Population::of(node);
    if let Some(hub) = node.hub.hub_of(node, &node.settings.region) {
        let question = TokenRequest {
            sender: node.life.instance.clone(),
            organisation_hash: hash_of(organisation.name.as_str()),
            wanted,
        };
        match node.peers.request_tokens(&hub, question, LEAVE_LIMIT).await {
            Ok(leave) => return leave,
            Err(e) => {
                log::info!(hub = hub.id.as_str(); "the hub gives no leave: {e:?}");
                node.hub.set_out(&hub.id, node.clock.now());
            }
        }
    }
    node.hub.give_leave(organisation, wanted, population, node.clock.now())
}

fn leave(node: &SiteNode, question: &TokenRequest) -> TokenGrant {
    let plan = node.plan.load();
    let found =
        plan.config.organisations.iter().find(|o| hash_of(o.name.as_str()) == question.organisation_hash);
    let Some(organisation) = found else {
        return TokenGrant::default();
    };
    node.hub.give_leave(organisation, question.wanted, Population::of(node), node.clock.now())
}

fn on<A, R, F>(node: &Arc<SiteNode>, f: F) -> Handler<A, R>
where
    F: Fn(&SiteNode, A) -> Result<R> + Send + Sync + 'static,
    R: Send + 'static,
{
    let node = Arc::clone(node);
    Arc::new(move |arg| std::future::ready(f(&node, arg)).boxed())
}
