//! Status of an instance, of its services and of the fleet, for operators.

use burdock_decide::membership::MemberState;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::ChangeId;
use serde_json::{Map, Value, json};

use crate::active_config::ServiceState;
use crate::fleet::Entry;
use crate::node::Node;
use crate::observe::counters::Counter;

/// Returns the status of the instance, of its services and of the fleet as this instance sees it.
#[must_use]
pub fn status(node: &Node) -> Value {
    let now = node.clock.now();
    let active_config = node.active_config.load();
    let view = node.fleet.view();
    let counters: Map<String, Value> =
        Counter::ALL.iter().map(|c| (c.name().to_owned(), json!(node.counters.get(*c)))).collect();
    json!({
        "instance": node.incarnation.to_string(),
        "region": node.settings.region,
        "zone": node.settings.zone,
        "phase": format!("{:?}", node.phase()),
        "revision": active_config.snapshot.revision,
        "connectivity": format!("{:?}", node.fleet.contact(now).connectivity),
        "may_accept_changes": node.fleet.may_take_over(now),
        "in_flight": node.in_flight(),
        "idempotency_keys": node.once.len(),
        "client_blocks": active_config.snapshot.blocks.len(),
        "store_calls": node.store_calls.total_calls(),
        "peer_bytes_written": node.peers.bytes_written(),
        "fleet": view.entries.iter().map(entry).collect::<Vec<_>>(),
        "services": active_config.services.iter().map(|s| service(s, now)).collect::<Vec<_>>(),
        "shares": shares(node),
        "counters": counters,
    })
}

/// Returns which instances have installed a change.
///
/// # Errors
/// [`ErrorKind::NoSuchPath`] when the change is not among the recent ones that the head lists.
pub fn change(node: &Node, id: &ChangeId) -> Result<Value> {
    let head = node.config.head().head;
    let change = head.change(id).ok_or_else(|| {
        Error::new(ErrorKind::NoSuchPath, format!("change `{id}` is not among the recent ones"))
            .hint("it was not accepted, or too many changes followed it")
    })?;
    let view = node.fleet.view();
    let has_installed = |e: &&Entry| e.revision >= change.revision;
    let names =
        |entries: Vec<&Entry>| entries.iter().map(|e| e.incarnation.instance.to_string()).collect::<Vec<_>>();
    let (confirmed, waiting): (Vec<&Entry>, Vec<&Entry>) = view.entries.iter().partition(has_installed);
    Ok(json!({
        "id": change.id,
        "revision": change.revision,
        "by": change.by,
        "path": change.path,
        "confirmed": names(confirmed),
        "waiting": names(waiting),
    }))
}

fn entry(entry: &Entry) -> Value {
    json!({
        "instance": entry.incarnation.to_string(),
        "region": entry.region,
        "zone": entry.zone,
        "address": entry.address,
        "standing": match entry.member_state {
            MemberState::Alive => "alive",
            MemberState::Leaving => "leaving",
            MemberState::Suspect => "suspect",
            MemberState::Gone => "gone",
        },
        "revision": entry.revision,
        "load_per_mille": entry.load_per_mille,
    })
}

fn service(service: &ServiceState, now: burdock_decide::time::Time) -> Value {
    let split = service.split.load();
    let load = service.admission.load();
    let regions: Vec<Value> = service
        .regions
        .iter()
        .enumerate()
        .map(|(ix, region)| {
            let backends: Vec<Value> = region
                .backends
                .iter()
                .map(|b| {
                    let view = b.view(now);
                    json!({
                        "id": b.id,
                        "address": b.address,
                        "open": view.is_available,
                        "in_flight_from_here": view.own_in_flight,
                        "reported_in_flight": view.reported_in_flight,
                        "report_age_ms": view.reported_in_flight.map(|_| now.since(view.reported_at).as_millis()),
                        "service_time_us": view.service_time.as_micros(),
                        "connections": b.pool.open_connections(),
                    })
                })
                .collect();
            json!({"region": region.name, "split_per_million": split.per_million.get(ix), "backends": backends})
        })
        .collect();
    json!({
        "name": service.name,
        "running": load.running,
        "waiting": load.waiting,
        "limit": load.max_running,
        "regions": regions,
    })
}

fn shares(node: &Node) -> Value {
    let active_config = node.active_config.load();
    let share = |o: &burdock_model::snapshot::Organisation| {
        let record = node.limits.records.record(&o.name)?;
        let holders: Vec<String> = record.current.keys().map(ToString::to_string).collect();
        Some((o.name.to_string(), json!({"holders": holders, "settled": record.is_settled()})))
    };
    Value::Object(active_config.snapshot.organisations.iter().filter_map(share).collect())
}
