//! The directory and the readiness check.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use burdock_model::site::RegisteredInstance;
use burdock_platform::dialect::{DirectoryQuestion, directory_answer};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::observe::counters::Counter;
use crate::phase::Phase;
use crate::site::SiteNode;
use crate::site::body::AnswerBody;
use crate::site::fleet_view::FleetView;

/// How long callers may keep an answer, below the operators' bound: an instance that leaves is forgotten by
/// callers before it ends.
const ANSWER_TTL: Duration = Duration::from_millis(2500);

/// Addresses in one answer, as many as callers use.
const MAX_ADDRESSES: usize = 64;

/// With fewer instances than this in the caller's region, others are named beside them.
const LEAST_NEAR: usize = 2;

/// Answers the directory's calls and the readiness check.
///
/// # Errors
/// Never.
pub async fn handle(node: Arc<SiteNode>, req: Request<Incoming>) -> Result<Response<AnswerBody>, Infallible> {
    let path = req.uri().path();
    if path == node.dialect.ready_path {
        return Ok(status(if node.phase() == Phase::Ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }));
    }
    if path != node.dialect.directory_path {
        return Ok(status(StatusCode::NOT_FOUND));
    }
    let question = DirectoryQuestion::parse(req.uri().query());
    let addresses = addresses(&node.fleet.view(), &question);
    if addresses.is_empty() || node.phase() == Phase::Starting {
        return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
    }
    node.counters.add(Counter::SteeringAnswers);
    let ttl = ANSWER_TTL.min(node.settings.bounds.directory_ttl);
    let mut resp = Response::new(AnswerBody::buffered(directory_answer(&addresses, ttl)));
    resp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(resp)
}

/// The instances for a caller: those of its region that take callers, and others where those are few.
#[must_use]
pub fn addresses(view: &FleetView, question: &DirectoryQuestion) -> Vec<SocketAddr> {
    let (near, far): (Vec<&RegisteredInstance>, Vec<&RegisteredInstance>) =
        view.all_takers().partition(|i| i.region.as_str() == question.region);
    let more = if near.len() < LEAST_NEAR { far } else { Vec::new() };
    near.iter().chain(&more).map(|i| i.callers).take(MAX_ADDRESSES).collect()
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut resp = Response::new(AnswerBody::buffered(""));
    *resp.status_mut() = status;
    resp
}
