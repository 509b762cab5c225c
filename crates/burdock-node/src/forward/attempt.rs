//! One attempt at one backend server.

use std::sync::Arc;

use burdock_decide::retry::SendProgress;
use burdock_model::error::{Error, ErrorKind};
use http::Response;
use hyper::body::Incoming;

use crate::forward::backends::{BackendState, InFlight};
use crate::forward::body::RequestBody;
use crate::forward::outbound::Outbound;
use crate::forward::pool::Connection;
use crate::node::Node;

/// Header by which a backend server says that it did not run a request.
const SHED: &str = "x-shed";

/// A backend server's answer whose body is still to come.
#[derive(Debug)]
pub struct Answered {
    /// The answer.
    pub resp: Response<Incoming>,
    /// The connection, free again after the whole body.
    pub connection: Connection,
    /// Counts the request as at work.
    pub in_flight: InFlight,
}

/// A failed attempt.
#[derive(Debug)]
pub struct Failed {
    /// How far it got.
    pub progress: SendProgress,
    /// What to answer if there is no other attempt.
    pub error: Error,
    /// The body, if none of it was used.
    pub body: Option<RequestBody>,
    /// The backend server died while it ran the request.
    pub crashed: bool,
}

/// Sends a request to a backend server and waits for the head of its answer.
///
/// # Errors
/// How far it got, and what to answer.
pub async fn attempt(
    node: &Node,
    outbound: &Outbound,
    backend: &Arc<BackendState>,
    body: RequestBody,
    alone: bool,
) -> Result<Answered, Failed> {
    let in_flight = backend.begin(node.clock.now(), alone);
    let deadline = node.clock.instant(outbound.deadline);
    let connect = {
        let _span = outbound.trace.start_span("connect");
        tokio::time::timeout_at(deadline, backend.pool.take()).await
    };
    let mut connection = match connect {
        Ok(Ok(connection)) => connection,
        Ok(Err(detail)) => {
            let error =
                Error::new(ErrorKind::NoBackend, format!("backend server `{}`: {detail}", backend.id));
            return Err(Failed {
                progress: SendProgress::NotWritten,
                error,
                body: Some(body),
                crashed: false,
            });
        }
        Err(_elapsed) => {
            let error = Error::from(ErrorKind::DeadlineBefore);
            return Err(Failed {
                progress: SendProgress::NotWritten,
                error,
                body: Some(body),
                crashed: false,
            });
        }
    };
    let _span = outbound.trace.start_span("forward");
    let req = outbound.request(body, node.clock.now());
    match tokio::time::timeout_at(deadline, connection.try_send_request(req)).await {
        Ok(Ok(resp)) => {
            in_flight.answered(node.clock.now());
            check_shed(resp, connection, in_flight)
        }
        Ok(Err(mut e)) => match e.take_message() {
            Some(req) => {
                let error =
                    Error::new(ErrorKind::NoBackend, format!("backend server `{}` closed", backend.id));
                let body = Some(req.into_body());
                Err(Failed { progress: SendProgress::NotWritten, error, body, crashed: false })
            }
            None => Err(broken(backend, &e.into_error()).await),
        },
        Err(_elapsed) => {
            let error = Error::from(ErrorKind::DeadlineAfter);
            Err(Failed { progress: SendProgress::Written, error, body: None, crashed: false })
        }
    }
}

fn check_shed(
    resp: Response<Incoming>,
    connection: Connection,
    in_flight: InFlight,
) -> Result<Answered, Failed> {
    let shed = resp.status() == http::StatusCode::SERVICE_UNAVAILABLE && resp.headers().contains_key(SHED);
    if !shed {
        return Ok(Answered { resp, connection, in_flight });
    }
    let backend = in_flight.backend();
    let error =
        Error::new(ErrorKind::Overloaded, format!("backend server `{}` shed the request", backend.id));
    Err(Failed { progress: SendProgress::Shed, error, body: None, crashed: false })
}

// A connection that breaks may be one broken answer. If no new one is accepted, the backend server died.
async fn broken(backend: &BackendState, e: &hyper::Error) -> Failed {
    if is_callers_fault(e) {
        let error = Error::new(ErrorKind::BodyCut, "the body broke off or passed its limit");
        return Failed { progress: SendProgress::Written, error, body: None, crashed: false };
    }
    let crashed = !backend.pool.accepts().await;
    if crashed {
        backend.pool.clear();
    }
    let what = if crashed { "died" } else { "broke its answer" };
    let error = Error::new(ErrorKind::BadAnswer, format!("backend server `{}` {what}: {e}", backend.id));
    Failed { progress: SendProgress::Written, error, body: None, crashed }
}

fn is_callers_fault(e: &hyper::Error) -> bool {
    let mut source = std::error::Error::source(e);
    while let Some(inner) = source {
        if inner.is::<crate::forward::body::BodyError>() {
            return true;
        }
        source = inner.source();
    }
    e.is_user()
}
