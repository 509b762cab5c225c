//! Handlers of calls from other instances.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::once::OnceKey;
use burdock_decide::time::Time;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::{ChangeId, OrganisationName};
use burdock_model::snapshot::Snapshot;
use burdock_wire::messages::{BufferedResponse, Hello, Loan, RelayedRequest};
use burdock_wire::server::{Handler, Handlers};
use bytes::Bytes;
use futures::FutureExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::fleet::{exchange, install};
use crate::forward::outbound::Outbound;
use crate::limits::keeper::applied_versions_answer;
use crate::node::{Node, Phase};
use crate::observe::counters::Counter;
use crate::observe::trace::Trace;
use crate::once::handle::run_locally;

/// Creates the message by which an instance introduces itself at the start of a session.
#[must_use]
pub fn hello(node: &Node) -> Hello {
    Hello {
        incarnation: node.incarnation.clone(),
        region: node.settings.region.clone(),
        zone: node.settings.zone.clone(),
    }
}

/// Creates the handlers of calls from other instances.
#[must_use]
pub fn handlers(node: &Arc<Node>) -> Handlers {
    Handlers {
        hello: hello(node),
        exchange: handler(node, async |node, received| Ok(exchange::answer_exchange(&node, &received))),
        fetch_configuration: handler(node, async |node, names: Vec<String>| {
            Ok(node.config.configuration(&names))
        }),
        notify_head_changed: handler(node, async |node, (revision, sender)| {
            install::install_revision_from(&node, revision, &sender).await;
            Ok(())
        }),
        announce_change: handler(node, async |node, change: String| {
            node.fleet.track_change(&ChangeId::new(&change)?, node.clock.now());
            Ok(true)
        }),
        withdraw_change: handler(node, async |node, change: String| {
            node.fleet.remove_settled_changes(|id| id.as_str() == change, node.clock.now());
            Ok(())
        }),
        fetch_share_buckets: handler(node, async |node, ()| Ok(node.limits.records.all_buckets())),
        fetch_applied_share_versions: handler(node, async |node, bucket| {
            Ok(applied_versions_answer(&node, bucket))
        }),
        borrow_tokens: handler(node, async |node, (organisation, wanted): (String, u32)| {
            lend_tokens(&node, &organisation, wanted)
        }),
        relay: handler(node, async |node, req| run_relayed(&node, req).await),
        hand_over_records: handler(node, async |node, (departed, records)| {
            // An instance that is shutting down takes over no idempotency keys.
            let accepts = node.phase() < Phase::Draining;
            if accepts {
                node.once.import(departed, records, node.clock.now());
            }
            Ok(accepts)
        }),
        ..Handlers::reject_all(hello(node))
    }
}

fn handler<A, R, F, Fut>(node: &Arc<Node>, f: F) -> Handler<A, R>
where
    F: Fn(Arc<Node>, A) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<R>> + Send + 'static,
{
    let node = Arc::clone(node);
    Arc::new(move |arg| f(Arc::clone(&node), arg).boxed())
}

fn lend_tokens(node: &Node, organisation: &str, wanted: u32) -> Result<Loan> {
    let now = node.clock.now();
    let name = OrganisationName::new(organisation)?;
    // An instance that has lost contact does not lend: another one may hold its share by now.
    let may_lend = now < node.fleet.contact(now).serve_until
        && node.active_config.load().snapshot.organisation_named(organisation).is_some();
    if !may_lend {
        return Ok(Loan { is_refused: true, ..Loan::default() });
    }
    let (granted, tokens_left) = node.limits.lend(&name, wanted, now);
    node.counters.add_many(Counter::TokensLent, u64::from(granted));
    Ok(Loan { granted, remaining: tokens_left, is_refused: false })
}

// Runs a request whose API key was checked by the instance that relays it. The organisation must still exist
// here, and this instance must own the idempotency key or have taken it over from its owner.
async fn run_relayed(node: &Arc<Node>, req: RelayedRequest) -> Result<BufferedResponse> {
    let now = node.clock.now();
    if now >= node.fleet.contact(now).serve_until {
        return Err(Error::from(ErrorKind::Isolated));
    }
    if req.owner != node.incarnation && !node.once.answers_for(&req.owner) {
        return Err(Error::new(
            ErrorKind::OwnerGone,
            format!("this instance does not hold the keys of `{}`", req.owner),
        ));
    }
    if node.phase() >= Phase::Finishing {
        return Err(Error::new(ErrorKind::OwnerGone, "the owner is shutting down; this attempt did not run"));
    }
    let key = OnceKey::new(&req.organisation, &req.idempotency_key);
    let mut outbound = outbound(node, &req, now)?;
    let body = Bytes::from(req.body);
    outbound.set_fingerprint(Some(&body), Some(&req.idempotency_key));
    let _guard = node.begin_request(now);
    let resp = run_locally(node, outbound, key, &req.owner, body).await?;
    Ok(Arc::unwrap_or_clone(resp))
}

fn outbound(node: &Node, req: &RelayedRequest, now: Time) -> Result<Outbound> {
    let active_config = node.active_config.load_full();
    let snapshot = &active_config.snapshot;
    let malformed =
        |part: &str| Error::new(ErrorKind::BadRequest, format!("malformed {part} in a relayed request"));
    let organisation = organisation(snapshot, &req.organisation)?;
    let target: http::Uri = req.target.parse().map_err(|_unparsed| malformed("target"))?;
    let host = req.host.split(':').next().filter(|h| !h.is_empty());
    let route = snapshot.route(host, target.path()).ok_or(ErrorKind::NoRoute)?;
    let policy = Arc::clone(snapshot.policy(organisation.as_ref().map(|(ix, _)| *ix), route));
    if !policy.allow {
        return Err(Error::from(ErrorKind::RouteForbidden));
    }
    let mut headers = HeaderMap::new();
    for (name, value) in &req.headers {
        let name = HeaderName::try_from(name.as_str()).map_err(|_invalid| malformed("header"))?;
        headers.append(name, HeaderValue::from_bytes(value).map_err(|_invalid| malformed("header"))?);
    }
    let method = Method::from_bytes(req.method.as_bytes()).map_err(|_invalid| malformed("method"))?;
    Ok(Outbound {
        fingerprint: 0,
        repeatable: snapshot.routes[route].is_repeatable(method.as_str()),
        route,
        organisation,
        policy,
        method,
        target,
        headers,
        deadline: now + Duration::from_millis(u64::from(req.remaining_ms)),
        request_id: HeaderValue::from_str(&req.request_id).map_err(|_invalid| malformed("request id"))?,
        trace: Trace::start(Some(req.traceparent.as_str()).filter(|t| !t.is_empty()), false),
        active_config,
    })
}

fn organisation(snapshot: &Snapshot, name: &str) -> Result<Option<(usize, OrganisationName)>> {
    if name.is_empty() {
        return Ok(None);
    }
    let ix = snapshot.organisation_named(name).ok_or(ErrorKind::KeyRefused)?;
    Ok(Some((ix, snapshot.organisations[ix].name.clone())))
}
