//! Health and load probes of backend servers. A few instances probe each one and gossip the result.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::membership::MemberState;
use burdock_decide::pick::is_assigned_prober;
use burdock_platform::body::read_whole;
use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::forward::backends::{BackendState, LoadReport};
use crate::node::Node;
use crate::observe::counters::Counter;

/// Time between two probes of a backend server by the same instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);

/// Maximum duration of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of a health endpoint's response in bytes.
const MAX_ANSWER_BYTES: usize = 4096;

/// Path of the health endpoint.
const HEALTH_PATH: &str = "/health";

/// Response of a health endpoint.
#[derive(Debug, Deserialize)]
struct HealthAnswer {
    accepting: bool,
    in_flight: u32,
}

type ProbeClient = Client<HttpConnector, Empty<Bytes>>;

/// Probes the backend servers that are assigned to this instance periodically.
pub async fn probe_loop(node: Arc<Node>) {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(PROBE_TIMEOUT));
    let client: ProbeClient =
        Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
    loop {
        let active_config = node.active_config.load_full();
        for backend in active_config.backends().into_values().filter(|b| is_prober(&node, b)) {
            let (node, backend, client) = (Arc::clone(&node), Arc::clone(backend), client.clone());
            tokio::spawn(async move { probe(&node, &backend, &client).await });
        }
        tokio::time::sleep(PROBE_INTERVAL.mul_f64(rand::random_range(0.9..1.1))).await;
    }
}

fn is_prober(node: &Node, backend: &BackendState) -> bool {
    let view = node.fleet.view();
    let alive = || view.entries.iter().filter(|e| e.member_state == MemberState::Alive);
    let local = || alive().filter(|e| e.region == backend.region);
    let ids = |e: &crate::fleet::Entry| e.incarnation.instance.as_str().to_owned();
    let candidates: Vec<String> =
        if local().next().is_some() { local().map(ids).collect() } else { alive().map(ids).collect() };
    is_assigned_prober(
        backend.id.as_str(),
        node.incarnation.instance.as_str(),
        candidates.iter().map(String::as_str),
    )
}

async fn probe(node: &Node, backend: &BackendState, client: &ProbeClient) {
    node.counters.add(Counter::Probes);
    let sent_at = node.clock.now();
    let answer = tokio::time::timeout(PROBE_TIMEOUT, fetch_health(backend, client)).await.ok().flatten();
    let report = match &answer {
        Some(health) => {
            LoadReport { in_flight: Some(health.in_flight), at: sent_at, accepting: health.accepting }
        }
        // A failed probe is reported as not accepting; the load stays as last reported.
        None => LoadReport {
            in_flight: Some(backend.load_report().in_flight.unwrap_or(0)),
            at: sent_at,
            accepting: false,
        },
    };
    backend.record_load_report(report);
    if backend.record_probe(answer.is_some(), sent_at) {
        let state = if answer.is_some() { "back" } else { "out" };
        log::warn!("backend server {} is {state} by its health endpoint", backend.id);
    }
}

async fn fetch_health(backend: &BackendState, client: &ProbeClient) -> Option<HealthAnswer> {
    let uri = format!("http://{}{HEALTH_PATH}", backend.address).parse().ok()?;
    let resp = client.get(uri).await.ok()?;
    if !resp.status().is_success() {
        return None;
    }
    let body = read_whole(resp.into_body(), MAX_ANSWER_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
