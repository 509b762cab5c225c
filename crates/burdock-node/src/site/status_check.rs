//! Status checks of backend servers whose entries came back after their removal. The hub of each region makes them and
//! tells the other instances.

use std::sync::Arc;
use std::time::Duration;

use burdock_model::site::SiteConfigIndex;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};

use crate::forward::body::RequestBody;
use crate::observe::counters::Counter;
use crate::site::SiteNode;
use crate::site::backend::Backend;

/// Interval at which a hub looks for checks that are due while any entry waits for one.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit of a check, a connection on the longest link included.
const CHECK_TIMEOUT: Duration = Duration::from_millis(900);

/// Checks backend servers until the process ends, while this instance is the hub of its region.
pub async fn check_loop(node: Arc<SiteNode>) {
    loop {
        if node.backends.has_unconfirmed() {
            tokio::time::sleep(POLL_INTERVAL).await;
        } else {
            node.backends.wait_for_return().await;
        }
        if node.hub.hub_of(&node, &node.settings.region).is_some() {
            continue;
        }
        for (backend, revision) in node.backends.take_due_checks(node.clock.now()) {
            tokio::spawn(check(Arc::clone(&node), backend, revision));
        }
    }
}

async fn check(node: Arc<SiteNode>, backend: Arc<Backend>, revision: u64) {
    let Some(path) = status_path(&node.config.load(), &backend) else {
        return;
    };
    node.counters.add(Counter::StatusChecks);
    let id = backend.registered.id.as_str();
    match tokio::time::timeout(CHECK_TIMEOUT, request_status(&backend, &path)).await {
        Ok(Ok(resp)) if resp.status() == StatusCode::OK && is_from(&node, resp.headers(), id) => {
            node.backends.record_confirmed(backend.run_hash(), revision, node.clock.now());
        }
        Ok(Ok(resp)) => log::info!(backend = id, status = resp.status().as_u16(); "status check failed"),
        Ok(Err(e)) => log::info!(backend = id; "status check failed: {e}"),
        Err(_elapsed) => log::info!(backend = id; "no answer to a status check in time"),
    }
}

fn status_path(config: &SiteConfigIndex, backend: &Backend) -> Option<String> {
    let ix = config.service(&backend.registered.service)?;
    config.published.services[ix].status_path.clone()
}

// The connection closes with the answer, of which only the head is read.
async fn request_status(backend: &Backend, path: &str) -> Result<Response<hyper::body::Incoming>, String> {
    let mut connection = backend.pool.acquire().await?;
    let host = HeaderValue::from_str(&backend.registered.address.to_string()).map_err(|e| e.to_string())?;
    let body = RequestBody::Buffered(Bytes::new());
    let req = Request::get(path).header(HOST, host).body(body).map_err(|e| e.to_string())?;
    connection.send_request(req).await.map_err(|e| e.to_string())
}

// Another backend server may have the address by now.
fn is_from(node: &SiteNode, headers: &HeaderMap, id: &str) -> bool {
    let says_leaving = |name| headers.get(name).is_some_and(|value: &HeaderValue| value.as_bytes() != b"0");
    let is_leaving = node.dialect.leaving.iter().any(says_leaving);
    !is_leaving
        && headers.get(&node.dialect.backend_id).is_some_and(|value| value.as_bytes() == id.as_bytes())
}
