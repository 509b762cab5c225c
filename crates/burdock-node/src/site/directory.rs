//! The directory, which steers callers to instances, and the readiness check.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use burdock_decide::directory::adds_region;
use burdock_model::site::{RegisteredInstance, SiteConfigIndex};
use burdock_platform::dialect::{DirectoryQuery, directory_response};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::observe::counters::Counter;
use crate::phase::Phase;
use crate::site::SiteNode;
use crate::site::body::ResponseBody;
use crate::site::fleet_view::FleetView;

/// Time for which callers may cache an answer. It is below the operators' bound, so that callers no longer
/// use a leaving instance by the time it ends.
const ANSWER_TTL: Duration = Duration::from_millis(2500);

/// Maximum number of addresses in one answer, as many as callers use.
const MAX_ADDRESSES: usize = 64;

/// Answers the directory's calls and the readiness check.
///
/// # Errors
/// Never.
pub async fn handle(
    node: Arc<SiteNode>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let path = req.uri().path();
    if path == node.dialect.ready_path {
        return Ok(readiness(&node));
    }
    if path != node.dialect.directory_path {
        return Ok(status(StatusCode::NOT_FOUND));
    }
    let query = DirectoryQuery::parse(req.uri().query());
    let view = node.fleet.view();
    let instances = select_instances(&view, &node.config.load(), &query);
    if instances.is_empty() || node.phase() == Phase::Starting {
        return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
    }
    node.counters.add(Counter::SteeringAnswers);
    if instances.iter().any(|i| i.region.as_str() != query.region) {
        node.counters.add(Counter::SteeringAnswersAbroad);
    }
    let addresses: Vec<SocketAddr> = instances.iter().map(|i| i.callers).collect();
    let ttl = ANSWER_TTL.min(node.settings.bounds.directory_ttl);
    let mut resp = Response::new(ResponseBody::buffered(directory_response(&addresses, ttl)));
    resp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(resp)
}

/// Returns the instances for a caller: the steering targets of its region, and others where it has too few.
#[must_use]
pub fn select_instances<'a>(
    view: &'a FleetView,
    config: &SiteConfigIndex,
    query: &DirectoryQuery,
) -> Vec<&'a RegisteredInstance> {
    let (local, remote): (Vec<_>, Vec<_>) =
        view.all_steering_targets().partition(|i| i.region.as_str() == query.region);
    let homes = config.homes(&query.host);
    let added = remote.into_iter().filter(|i| adds_region(&i.region, local.len(), homes));
    local.iter().copied().chain(added).take(MAX_ADDRESSES).collect()
}

fn readiness(node: &SiteNode) -> Response<ResponseBody> {
    if node.phase() == Phase::Ready {
        return status(StatusCode::OK);
    }
    let reason = match node.phase() {
        Phase::Starting => node.missing_config_reason(),
        phase => format!("this instance is in phase {phase:?}"),
    };
    let mut resp = Response::new(ResponseBody::buffered(reason + "\n"));
    *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    resp
}

fn status(status: StatusCode) -> Response<ResponseBody> {
    let mut resp = Response::new(ResponseBody::buffered(""));
    *resp.status_mut() = status;
    resp
}
