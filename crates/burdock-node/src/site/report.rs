//! Periodic traffic reports to hubs and between them, and token requests.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use burdock_model::prelude::*;
use burdock_model::site::{Organisation, allowance_weight};
use burdock_wire::messages::{Hello, TokenGrant, TokenRequest, TrafficReport};
use burdock_wire::server::{Handler, Handlers};
use futures::FutureExt;

use crate::site::hub::FleetSize;
use crate::site::{SiteNode, fleet, name_hash, plan, sync};

/// Time between two reports, in which an instance places a few requests at each backend server.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a report, within a region and between regions.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a token request, small compared with every latency target.
const TOKEN_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which a hub that was too busy to grant tokens is asked again.
const BUSY_HUB_WAIT_MS: u32 = 50;

/// Returns the weight of this instance when allowances are divided; 0 while it is not registered, since others
/// don't count it.
#[must_use]
pub fn own_weight(node: &SiteNode) -> u32 {
    if node.fleet.is_registered() { allowance_weight(node.settings.capacity_class()) } else { 0 }
}

/// Returns the handlers for calls of other instances.
#[must_use]
pub fn handlers(node: &Arc<SiteNode>) -> Handlers {
    let hello = hello(node);
    Handlers {
        report_traffic: handler(node, |node, report: TrafficReport| {
            let now = node.clock.now();
            let asked = report.store.clone();
            node.quarantine.merge_strikes(&report.strikes, now);
            node.backends.merge_leaving(&report.leaving, now);
            node.backends.merge_confirmed(&report.confirmed, now);
            let asks_for_plan = !report.is_from_hub && !report.service_demands.is_empty();
            if report.is_from_hub {
                plan::record_region_demand(node, &report.sender, &report.service_demands);
            }
            let mut answer = node.hub.record_report(&node.incarnation.instance, report, now);
            if asks_for_plan {
                (answer.splits, answer.service_demands) = plan::messages(node);
            }
            answer.store = node.mirror.changes_since(&asked, now);
            answer.strikes = node.quarantine.recent_strikes(now);
            answer.leaving = node.backends.recently_leaving(now);
            answer.confirmed = node.backends.recently_confirmed(now);
            Ok(answer)
        }),
        request_tokens: handler(node, |node, request: TokenRequest| Ok(grant_tokens(node, &request))),
        ..Handlers::reject_all(hello)
    }
}

/// Returns the greeting with which this instance opens a session.
#[must_use]
pub fn hello(node: &SiteNode) -> Hello {
    Hello {
        incarnation: node.incarnation.clone(),
        region: node.settings.region.clone(),
        zone: node.settings.zone.clone(),
    }
}

/// Reports this instance's traffic at a fixed interval, and as a hub also the sum over its reporters.
pub async fn report_loop(node: Arc<SiteNode>) {
    let mut tick = tokio::time::interval(REPORT_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        send_report(&node).await;
    }
}

async fn send_report(node: &Arc<SiteNode>) {
    let now = node.clock.now();
    let config = node.config.load();
    node.hub.refresh(&config.published.organisations, FleetSize::of(node), now);
    let report = TrafficReport {
        instance_count: u32::from(node.fleet.is_registered()),
        weight: own_weight(node),
        demands: node.allowances.demands(now),
        in_flight: node.backends.in_flight(),
        store: node.mirror.query(),
        strikes: node.quarantine.recent_strikes(now),
        leaving: node.backends.recently_leaving(now),
        confirmed: node.backends.recently_confirmed(now),
        slowness: node.backends.slowness(now),
        service_demands: node.plans.demands(now),
        paces: node.backends.paces(now),
        refusals: node.admission.refusals(now),
        ..TrafficReport::new(node.incarnation.instance.clone())
    };
    let from = report.store.position();
    let Some(hub) = node.hub.hub_of(node, &node.settings.region) else {
        let answer = node.hub.record_report(&node.incarnation.instance, report, now);
        node.backends.set_remote_load(&answer.in_flight, &answer.slowness);
        node.backends.record_told_paces(&answer.paces, now);
        node.admission.set_remote_refusals(&answer.refusals, now);
        exchange_with_hubs(node).await;
        let is_first = node.fleet.view().first_region() == Some(&node.settings.region);
        if is_first && FleetSize::of(node).is_settled && node.mirror.is_fresh(now) {
            fleet::record_size(node).await;
        }
        return;
    };
    match node.peers.report_traffic(&hub, report, REPORT_TIMEOUT).await {
        Ok(answer) => {
            node.hub.record_contact(&hub.id, node.clock.now());
            node.backends.set_remote_load(&answer.in_flight, &answer.slowness);
            node.backends.record_told_paces(&answer.paces, node.clock.now());
            node.admission.set_remote_refusals(&answer.refusals, node.clock.now());
            node.quarantine.merge_strikes(&answer.strikes, node.clock.now());
            node.backends.merge_leaving(&answer.leaving, node.clock.now());
            node.backends.merge_confirmed(&answer.confirmed, node.clock.now());
            plan::record_answer(node, &answer, node.clock.now());
            sync::apply_relayed(node, answer.store, now, from);
        }
        Err(e) => {
            log::info!(hub = hub.id.as_str(); "the hub does not answer: {e:?}");
            node.hub.mark_unreachable(&hub.id, node.clock.now());
            node.backends.set_remote_load(&[], &[]);
        }
    }
}

// Each pair of regions exchanges reports once: the first by name calls the other. A hub whose store
// confirmation is overdue calls all others, for their newer view of the store.
async fn exchange_with_hubs(node: &Arc<SiteNode>) {
    let own = &node.settings.region;
    let calls_all = node.mirror.is_overdue(node.clock.now());
    let is_called = |region: &&RegionName| *region > own || (calls_all && *region != own);
    let regions: BTreeSet<&RegionName> = node.settings.regions.values().filter(is_called).collect();
    let calls = regions.into_iter().filter_map(|region| {
        let hub = node.hub.hub_of(node, region)?;
        Some(async move {
            let now = node.clock.now();
            let mut summary = node.hub.summary(&node.incarnation.instance, now);
            summary.store = node.mirror.query();
            let from = summary.store.position();
            summary.strikes = node.quarantine.recent_strikes(now);
            summary.leaving = node.backends.recently_leaving(now);
            summary.confirmed = node.backends.recently_confirmed(now);
            match node.peers.report_traffic(&hub, summary, REPORT_TIMEOUT).await {
                Ok(mut answer) => {
                    node.quarantine.merge_strikes(&answer.strikes, node.clock.now());
                    node.backends.merge_leaving(&answer.leaving, node.clock.now());
                    node.backends.merge_confirmed(&answer.confirmed, node.clock.now());
                    sync::apply_relayed(node, std::mem::take(&mut answer.store), now, from);
                    plan::record_region_demand(node, &answer.sender, &answer.service_demands);
                    node.hub.record_hub_answer(answer, node.clock.now());
                }
                Err(e) => {
                    log::info!(hub = hub.id.as_str(); "the hub of another region does not answer: {e:?}");
                    node.hub.mark_unreachable(&hub.id, node.clock.now());
                }
            }
        })
    });
    futures::future::join_all(calls).await;
}

/// Requests tokens for an organisation from the hub, or from this instance if it is the hub or can't reach
/// one.
pub async fn request_tokens(node: &Arc<SiteNode>, organisation: &Organisation, wanted: u32) -> TokenGrant {
    let fleet_size = FleetSize::of(node);
    if let Some(hub) = node.hub.hub_of(node, &node.settings.region) {
        let request = TokenRequest {
            sender: node.incarnation.instance.clone(),
            organisation_hash: name_hash(organisation.name.as_str()),
            wanted,
        };
        match node.peers.request_tokens(&hub, request, TOKEN_REQUEST_TIMEOUT).await {
            Ok(grant) => {
                node.hub.record_contact(&hub.id, node.clock.now());
                return grant;
            }
            Err(e) => {
                log::info!(hub = hub.id.as_str(); "the hub grants no tokens: {e:?}");
                if !node.hub.record_lost_call(&hub.id, e.is_not_sent(), node.clock.now()) {
                    return TokenGrant { granted: 0, wait_ms: BUSY_HUB_WAIT_MS };
                }
            }
        }
    }
    node.hub.grant_tokens(organisation, wanted, fleet_size, node.clock.now())
}

fn grant_tokens(node: &SiteNode, request: &TokenRequest) -> TokenGrant {
    let config = node.config.load();
    let found = config
        .published
        .organisations
        .iter()
        .find(|o| name_hash(o.name.as_str()) == request.organisation_hash);
    let Some(organisation) = found else {
        return TokenGrant::default();
    };
    node.hub.grant_tokens(organisation, request.wanted, FleetSize::of(node), node.clock.now())
}

fn handler<A, R, F>(node: &Arc<SiteNode>, f: F) -> Handler<A, R>
where
    F: Fn(&SiteNode, A) -> Result<R> + Send + Sync + 'static,
    R: Send + 'static,
{
    let node = Arc::clone(node);
    Arc::new(move |arg| std::future::ready(f(&node, arg)).boxed())
}
