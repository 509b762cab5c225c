//! Endpoints for callers: steering answers and the health of this instance.

use std::net::SocketAddr;
use std::sync::Arc;

use burdock_decide::connectivity::Connectivity;
use burdock_decide::membership::MemberState;
use burdock_decide::shares::select_holders;
use burdock_decide::steer::{ANSWER_TTL, EntryView, SteeringView, select_entries};
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::hash::stable_hash;
use burdock_model::ids::{InstanceId, InstanceIncarnation, RegionName};
use burdock_model::snapshot::{OrganisationIx, Snapshot};
use burdock_model::units::MICROS_PER_UNIT;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use serde::Serialize;

use crate::entry::answer::{ResponseBody, json_response, refusal_response};
use crate::entry::head::{authenticate, presented_key, request_id};
use crate::fleet::FleetView;
use crate::node::{Node, Phase};
use crate::observe::counters::Counter;

/// Steering answer: the entry instances to which a caller should send its requests.
#[derive(Debug, Serialize)]
pub struct SteerAnswer {
    /// Configuration revision from which the answer was made.
    pub revision: u64,
    /// Time to live of the answer, in milliseconds.
    pub ttl_ms: u64,
    /// Entry instances, best first.
    pub entries: Vec<SteerEntry>,
}

/// One entry instance in a steering answer.
#[derive(Debug, Serialize)]
pub struct SteerEntry {
    /// Address for requests.
    pub address: SocketAddr,
    /// Region of the instance.
    pub region: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Incarnation of the instance, in the form used in `Burdock-Owner` and in idempotency keys.
    pub incarnation: String,
}

/// Handles a request below the reserved prefix `/.burdock/`.
pub fn handle(node: &Arc<Node>, req: &Request<Incoming>, remote: SocketAddr) -> Response<ResponseBody> {
    if req.method() != Method::GET {
        return refusal_response(
            node,
            &Error::new(ErrorKind::BadRequest, "only GET is supported here"),
            request_id(),
        );
    }
    match req.uri().path() {
        "/.burdock/v1/health" => health(node),
        "/.burdock/v1/steer" => match answer(node, req, remote) {
            Ok(answer) => json_response(200, &answer),
            Err(e) => refusal_response(node, &e, request_id()),
        },
        path => refusal_response(
            node,
            &Error::new(ErrorKind::NoRoute, format!("no endpoint at `{path}`")),
            request_id(),
        ),
    }
}

fn health(node: &Node) -> Response<ResponseBody> {
    let connectivity = node.fleet.contact(node.clock.now()).connectivity;
    let ready =
        node.phase() == Phase::Ready && connectivity != Connectivity::Isolated && !node.fleet.is_superseded();
    let body = serde_json::json!({
        "ready": ready,
        "phase": format!("{:?}", node.phase()),
        "connectivity": format!("{connectivity:?}"),
    });
    json_response(if ready { 200 } else { 503 }, &body)
}

fn answer(node: &Node, req: &Request<Incoming>, remote: SocketAddr) -> Result<SteerAnswer> {
    let active_config = node.active_config.load();
    let snapshot = &active_config.snapshot;
    let (organisation, name) = authenticate(node, snapshot, presented_key(req.headers()), node.clock.now())?;
    check_service(snapshot, req.uri().query())?;
    node.counters.add(Counter::SteeringAnswers);
    let view = node.fleet.view();
    let caller = stable_hash(format!("{name}/{}", remote.ip()).as_bytes(), 11);
    let preference = region_preference(node, snapshot, remote);
    Ok(select_answer(&view, snapshot, organisation, &preference, caller))
}

/// Selects the entry instances for one caller from this instance's view of the fleet.
#[must_use]
pub fn select_answer(
    view: &FleetView,
    snapshot: &Snapshot,
    organisation: OrganisationIx,
    preference: &[RegionName],
    caller: u64,
) -> SteerAnswer {
    let assigned = assigned_instances(view, snapshot, organisation);
    let entries: Vec<EntryView<'_>> = view
        .entries
        .iter()
        .map(|e| EntryView {
            id: e.incarnation.instance.as_str(),
            region: &e.region,
            accepts_callers: e.member_state == MemberState::Alive
                && !snapshot.tree.drains.regions.contains(&e.region),
            is_assigned: assigned.contains(&&e.incarnation.instance),
            load_per_mille: e.load_per_mille,
        })
        .collect();
    let order = select_entries(&SteeringView { entries: &entries, preference, caller });
    let entry = |ix: usize| {
        let e = &view.entries[ix];
        let incarnation = InstanceIncarnation {
            instance: e.incarnation.instance.clone(),
            incarnation: e.incarnation.incarnation,
        };
        SteerEntry {
            address: e.address,
            region: e.region.to_string(),
            zone: e.zone.to_string(),
            incarnation: incarnation.to_string(),
        }
    };
    SteerAnswer {
        revision: snapshot.revision.0,
        ttl_ms: u64::try_from(ANSWER_TTL.as_millis()).unwrap_or(u64::MAX),
        entries: order.into_iter().map(entry).collect(),
    }
}

fn assigned_instances<'a>(
    view: &'a FleetView,
    snapshot: &Snapshot,
    organisation: OrganisationIx,
) -> Vec<&'a InstanceId> {
    let organisation = &snapshot.organisations[organisation];
    let alive = view.entries.iter().filter(|e| e.member_state == MemberState::Alive);
    let rate = organisation.rate.micros_per_second() / MICROS_PER_UNIT;
    select_holders(
        organisation.name.as_str(),
        rate,
        organisation.burst,
        alive.map(|e| (&e.incarnation.instance, &e.region)),
    )
}

// Returns the region of the caller's address block, or else that of this instance, followed by the other
// regions by increasing latency from it.
fn region_preference(node: &Node, snapshot: &Snapshot, remote: SocketAddr) -> Vec<RegionName> {
    let caller_region = snapshot.blocks.region(remote.ip()).unwrap_or(&node.settings.region);
    let mut order = vec![caller_region.clone()];
    if let Some(region) = snapshot.tree.regions.get(caller_region) {
        let mut others: Vec<(&RegionName, u32)> = region.one_way_ms.iter().map(|(r, ms)| (r, *ms)).collect();
        others.sort_by_key(|(_, ms)| *ms);
        order.extend(others.into_iter().map(|(r, _)| r.clone()));
    }
    order
}

fn check_service(snapshot: &Snapshot, query: Option<&str>) -> Result<()> {
    let named = query.unwrap_or("").split('&').find_map(|pair| pair.strip_prefix("service="));
    match named {
        None => Err(Error::new(ErrorKind::BadRequest, "the query parameter `service` is missing")
            .hint("add `?service=NAME`")),
        Some(name) if snapshot.service_named(name).is_some() => Ok(()),
        Some(name) => Err(Error::new(ErrorKind::NoRoute, format!("service `{name}` does not exist"))),
    }
}
