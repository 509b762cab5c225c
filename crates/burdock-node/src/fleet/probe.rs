//! Probing the health and load of backend servers. A few instances probe each one and tell the rest.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::membership::MemberState;
use burdock_decide::pick::is_assigned_prober;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::forward::backends::{BackendState, Report};
use crate::node::Node;
use crate::observe::counters::Counter;

/// Time between two probes of one backend server by one instance.
const INTERVAL: Duration = Duration::from_millis(1000);

/// The longest that a probe may take.
const LIMIT: Duration = Duration::from_millis(800);

/// The largest answer read, in bytes.
const MAX_ANSWER_BYTES: usize = 4096;

/// Path of the health endpoint.
const PATH: &str = "/health";

/// What a health endpoint answers.
#[derive(Debug, Deserialize)]
struct HealthAnswer {
    accepting: bool,
    in_flight: u32,
}

type Probe = Client<HttpConnector, Empty<Bytes>>;

/// Probes the backend servers that fall to this instance, again and again.
pub async fn probe_loop(node: Arc<Node>) {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(LIMIT));
    let client: Probe = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
    loop {
        let active_config = node.active_config.load_full();
        for backend in active_config.backends().into_values().filter(|b| is_prober(&node, b)) {
            let (node, backend, client) = (Arc::clone(&node), Arc::clone(backend), client.clone());
            tokio::spawn(async move { probe(&node, &backend, &client).await });
        }
        tokio::time::sleep(INTERVAL.mul_f64(rand::random_range(0.9..1.1))).await;
    }
}

fn is_prober(node: &Node, backend: &BackendState) -> bool {
    let view = node.fleet.view();
    let alive = || view.entries.iter().filter(|e| e.member_state == MemberState::Alive);
    let near = || alive().filter(|e| e.region == backend.region);
    let ids = |e: &crate::fleet::Entry| e.life.instance.as_str().to_owned();
    let candidates: Vec<String> =
        if near().next().is_some() { near().map(ids).collect() } else { alive().map(ids).collect() };
    is_assigned_prober(
        backend.id.as_str(),
        node.incarnation.instance.as_str(),
        candidates.iter().map(String::as_str),
    )
}

async fn probe(node: &Node, backend: &BackendState, client: &Probe) {
    node.counters.add(Counter::Probes);
    let asked = node.clock.now();
    let answer = tokio::time::timeout(LIMIT, ask(backend, client)).await.ok().flatten();
    let report = match &answer {
        Some(health) => Report { in_flight: Some(health.in_flight), at: asked, accepting: health.accepting },
        // Others are told that it takes no work; the load is what it was.
        None => {
            Report { in_flight: Some(backend.report().in_flight.unwrap_or(0)), at: asked, accepting: false }
        }
    };
    backend.reported(report);
    if backend.probed(answer.is_some(), asked) {
        let state = if answer.is_some() { "back" } else { "out" };
        log::warn!("backend server {} is {state} by its health endpoint", backend.id);
    }
}

async fn ask(backend: &BackendState, client: &Probe) -> Option<HealthAnswer> {
    let uri = format!("http://{}{PATH}", backend.address).parse().ok()?;
    let resp = client.get(uri).await.ok()?;
    if !resp.status().is_success() {
        return None;
    }
    let body = Limited::new(resp.into_body(), MAX_ANSWER_BYTES).collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
