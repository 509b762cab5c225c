//! A single attempt to run a request on one backend server.

use std::sync::Arc;

use burdock_decide::answer::is_final_status;
use burdock_decide::retry::SendProgress;
use burdock_model::error::{Error, ErrorKind};
use http::{Response, StatusCode};
use hyper::body::Incoming;

use crate::forward::backends::{BackendState, InFlight};
use crate::forward::body::{RequestBody, find_body_error};
use crate::forward::outbound::Outbound;
use crate::forward::pool::Connection;
use crate::node::Node;

/// Header by which a backend server declares that it did not run a request.
const SHED: &str = "x-shed";

/// Response of a backend server whose body has not been read yet.
#[derive(Debug)]
pub struct AttemptResponse {
    /// The response head and its body.
    pub resp: Response<Incoming>,
    /// The connection, which can be reused once the whole body has been read.
    pub connection: Connection,
    /// Counts the request as in flight at the backend server.
    pub in_flight: InFlight,
}

/// A failed attempt.
#[derive(Debug)]
pub struct AttemptFailure {
    /// How much of the request had been sent.
    pub progress: SendProgress,
    /// Error for the caller if there is no other attempt.
    pub error: Error,
    /// Body of the request, if none of it was sent.
    pub body: Option<RequestBody>,
    /// Whether the backend server died while it ran the request.
    pub crashed: bool,
}

/// Sends a request to a backend server and waits for the head of its response.
///
/// # Errors
/// Returns how much of the request had been sent, and the error for the caller.
pub async fn attempt(
    node: &Node,
    outbound: &Outbound,
    backend: &Arc<BackendState>,
    body: RequestBody,
    runs_alone: bool,
) -> Result<AttemptResponse, AttemptFailure> {
    let in_flight = backend.begin_request(node.clock.now(), runs_alone);
    let deadline = node.clock.instant(outbound.deadline);
    let connect_result = {
        let _span = outbound.trace.start_span("connect");
        tokio::time::timeout_at(deadline, backend.pool.acquire()).await
    };
    let mut connection = match connect_result {
        Ok(Ok(connection)) => connection,
        Ok(Err(detail)) => {
            let error =
                Error::new(ErrorKind::NoBackend, format!("backend server `{}`: {detail}", backend.id));
            return Err(AttemptFailure {
                progress: SendProgress::NotWritten,
                error,
                body: Some(body),
                crashed: false,
            });
        }
        Err(_elapsed) => {
            let error = Error::from(ErrorKind::DeadlineBefore);
            return Err(AttemptFailure {
                progress: SendProgress::NotWritten,
                error,
                body: Some(body),
                crashed: false,
            });
        }
    };
    let _span = outbound.trace.start_span("forward");
    let req = outbound.build_request(body, node.clock.now());
    match tokio::time::timeout_at(deadline, connection.try_send_request(req)).await {
        Ok(Ok(resp)) => {
            in_flight.record_response_head(node.clock.now());
            check_head(resp, connection, in_flight)
        }
        Ok(Err(mut e)) => match e.take_message() {
            Some(req) => {
                let error = Error::new(
                    ErrorKind::NoBackend,
                    format!("backend server `{}` closed the connection", backend.id),
                );
                let body = Some(req.into_body());
                Err(AttemptFailure { progress: SendProgress::NotWritten, error, body, crashed: false })
            }
            None => Err(connection_failure(backend, &e.into_error()).await),
        },
        Err(_elapsed) => {
            let error = Error::from(ErrorKind::DeadlineAfter);
            Err(AttemptFailure { progress: SendProgress::Written, error, body: None, crashed: false })
        }
    }
}

fn check_head(
    resp: Response<Incoming>,
    connection: Connection,
    in_flight: InFlight,
) -> Result<AttemptResponse, AttemptFailure> {
    let status = resp.status();
    if !is_final_status(status.as_u16()) {
        let detail = format!("backend server `{}` answered with the status {status}", in_flight.backend().id);
        let error = Error::new(ErrorKind::BadAnswer, detail);
        return Err(AttemptFailure { progress: SendProgress::Written, error, body: None, crashed: false });
    }
    let is_shed = status == StatusCode::SERVICE_UNAVAILABLE && resp.headers().contains_key(SHED);
    if !is_shed {
        return Ok(AttemptResponse { resp, connection, in_flight });
    }
    let backend = in_flight.backend();
    let error =
        Error::new(ErrorKind::Overloaded, format!("backend server `{}` shed the request", backend.id));
    Err(AttemptFailure { progress: SendProgress::Shed, error, body: None, crashed: false })
}

// A broken connection may be a single failed response. The backend server counts as dead only if it accepts
// no new connection either.
async fn connection_failure(backend: &BackendState, e: &hyper::Error) -> AttemptFailure {
    if is_caller_fault(e) {
        let error = Error::new(ErrorKind::BodyCut, "the request body ended early or exceeded its limit");
        return AttemptFailure { progress: SendProgress::Written, error, body: None, crashed: false };
    }
    let crashed = !backend.pool.accepts_connections().await;
    if crashed {
        backend.pool.close_idle();
    }
    let event = if crashed { "died" } else { "broke its answer" };
    let error = Error::new(ErrorKind::BadAnswer, format!("backend server `{}` {event}: {e}", backend.id));
    AttemptFailure { progress: SendProgress::Written, error, body: None, crashed }
}

/// Returns whether an exchange with a backend server failed because the caller's body ended early or exceeds its
/// limit.
#[must_use]
pub fn is_caller_fault(e: &hyper::Error) -> bool {
    find_body_error(e).is_some() || e.is_user()
}
