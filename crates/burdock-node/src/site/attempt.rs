//! One attempt to send a request to a backend server.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::headers::HOP_BY_HOP;
use burdock_decide::place::Placement;
use burdock_decide::retry::SendProgress;
use burdock_decide::time::Time;
use burdock_model::prelude::*;
use burdock_model::site::Service;
use http::header::CONNECTION;
use http::response::Parts;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;

use crate::forward::body::RequestBody;
use crate::forward::pool::Connection;
use crate::observe::counters::Counter;
use crate::site::SiteNode;
use crate::site::backend::{Backend, InFlight};
use crate::site::body::{ReadAnswer, ResponseBody, read_answer};
use crate::site::outbound::Outbound;
use crate::site::send::BackendAnswer;

/// Time limit of a connection to a backend server: a few round trips on the longest link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Slowness that is recorded for a backend server that did not answer by the deadline, relative to the
/// expected time.
const MISSED_DEADLINE_SLOWNESS: f64 = 8.0;

/// One attempt to send a request to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// State of this instance.
    pub node: &'a Arc<SiteNode>,
    /// Request to send.
    pub outbound: &'a Outbound<'a>,
    /// Service that was selected for the request.
    pub service: &'a Service,
    /// Backend server that the request goes to.
    pub backend: &'a Arc<Backend>,
    /// Placement that selected the backend server.
    pub placement: &'a Placement,
    /// Fingerprint by which quarantine recognises the request.
    pub fingerprint: u64,
}

/// An attempt without an answer that may go to the caller.
#[derive(Debug)]
pub struct AttemptFailure {
    /// How much of the request had been sent.
    pub progress: SendProgress,
    /// Error for the caller if there is no other attempt.
    pub error: Error,
    /// Body of the request, if none of it was sent.
    pub body: Option<RequestBody>,
    /// Error answer of the backend server, which goes to the caller unless another attempt succeeds.
    pub answer: Option<Box<BackendAnswer>>,
}

// Head of an answer, and what is in use until its body has arrived.
struct AnswerHead {
    parts: Parts,
    sent_at: Time,
    connection: Connection,
    in_flight: InFlight,
}

impl Attempt<'_> {
    /// Sends the request and reads the answer.
    ///
    /// # Errors
    /// [`AttemptFailure`] if there is no connection, the answer is missing, incomplete or not for this
    /// request, the backend server refuses the request, or it answers a repeatable one with a server error.
    pub async fn run(&self, body: RequestBody) -> Result<BackendAnswer, AttemptFailure> {
        let in_flight = self.backend.begin_request();
        let (mut connection, body) = self.connect(body).await?;
        let sent_at = self.now();
        let req = self.outbound.build_request(&self.node.dialect, self.name(), body, sent_at);
        let answer =
            tokio::time::timeout(self.outbound.time_left(sent_at), connection.try_send_request(req)).await;
        let resp = match answer {
            Ok(Ok(resp)) => resp,
            Ok(Err(mut e)) => {
                return Err(match e.take_message() {
                    Some(req) => self.not_written_failure("closed", req.into_body()),
                    None => self.broken_connection_failure(&e.into_error()),
                });
            }
            Err(_elapsed) => {
                self.backend.record_answer(MISSED_DEADLINE_SLOWNESS, true, self.now());
                return Err(self.written_failure(ErrorKind::DeadlineAfter, "no answer by the deadline"));
            }
        };
        self.record_reported_load(resp.headers());
        if let Some(failure) = self.check_head(&resp) {
            return Err(failure);
        }
        let (parts, incoming) = resp.into_parts();
        self.receive_body(AnswerHead { parts, sent_at, connection, in_flight }, incoming).await
    }

    async fn connect(&self, body: RequestBody) -> Result<(Connection, RequestBody), AttemptFailure> {
        let timeout = self.outbound.time_left(self.now()).min(CONNECT_TIMEOUT);
        let detail = match tokio::time::timeout(timeout, self.backend.pool.acquire()).await {
            Ok(Ok(connection)) => return Ok((connection, body)),
            Ok(Err(detail)) => detail,
            Err(_elapsed) => "no connection within the time limit".to_owned(),
        };
        self.backend.record_unreachable(self.service.cold_time, self.now());
        log::info!(backend = self.name().as_str(), id = self.id(); "unreachable: {detail}");
        Err(self.not_written_failure(&detail, body))
    }

    // A broken connection may mean that only this answer broke. Whether the backend server died is checked in
    // the background, while the next attempt goes to another one.
    fn broken_connection_failure(&self, e: &hyper::Error) -> AttemptFailure {
        self.backend.record_broken_answer(self.now());
        if !e.is_parse() {
            tokio::spawn(record_crash_if_unreachable(
                Arc::clone(self.node),
                Arc::clone(self.backend),
                self.service.cold_time,
                self.fingerprint,
            ));
        }
        log::info!(backend = self.name().as_str(), id = self.id(); "broke its answer: {e}");
        self.written_failure(ErrorKind::BadAnswer, &format!("broke its answer: {e}"))
    }

    fn record_reported_load(&self, headers: &HeaderMap) {
        let Some(text) = headers.get(&self.node.dialect.backend_load).and_then(|v| v.to_str().ok()) else {
            return;
        };
        let numbers: Vec<u32> = text.split(',').filter_map(|part| part.trim().parse().ok()).collect();
        if let [running, waiting, ..] = numbers.as_slice() {
            self.backend.record_load_report(running + waiting, self.now());
        }
    }

    // Returns a failure if the answer belongs to another request, the backend server refused the request
    // without running it, or a success does not carry the backend server's seal.
    fn check_head(&self, resp: &Response<Incoming>) -> Option<AttemptFailure> {
        let headers = resp.headers();
        let echoed_id = headers.get(&self.node.dialect.attempt_id);
        if echoed_id.is_some_and(|id| *id != self.outbound.attempt_id) {
            return Some(self.invalid_answer_failure("the answer belongs to another request"));
        }
        let is_not_run = headers.contains_key(&self.node.dialect.not_run);
        if is_not_run || resp.status() == StatusCode::MISDIRECTED_REQUEST {
            self.backend.record_refusal(self.now());
            let error = self.error(ErrorKind::Overloaded, "refused the request without running it");
            return Some(AttemptFailure { progress: SendProgress::Shed, error, body: None, answer: None });
        }
        let has_seal = headers.contains_key(&self.node.dialect.response_seal);
        if resp.status().is_success() && (!has_seal || echoed_id.is_none()) {
            return Some(self.invalid_answer_failure("a success that no backend server made"));
        }
        None
    }

    fn invalid_answer_failure(&self, detail: &str) -> AttemptFailure {
        self.backend.record_broken_answer(self.now());
        log::info!(backend = self.name().as_str(), id = self.id(); "{detail}");
        self.written_failure(ErrorKind::BadAnswer, detail)
    }

    async fn receive_body(
        &self,
        head: AnswerHead,
        incoming: Incoming,
    ) -> Result<BackendAnswer, AttemptFailure> {
        let AnswerHead { parts, sent_at, mut connection, in_flight } = head;
        let is_closing = has_connection_close(&parts.headers);
        if let Some(limit) = usable_idle_time(&parts.headers) {
            connection.set_max_idle_time(limit);
        }
        let timeout = self.outbound.time_left(self.now());
        let body = match tokio::time::timeout(timeout, read_answer(incoming, connection, in_flight)).await {
            Ok(Ok(ReadAnswer::Buffered(bytes, connection))) => {
                if !is_closing {
                    self.backend.pool.release(connection);
                }
                ResponseBody::buffered(bytes)
            }
            Ok(Ok(ReadAnswer::Streamed(body))) => body,
            Ok(Err(e)) => {
                self.backend.record_broken_answer(self.now());
                log::info!(backend = self.name().as_str(), id = self.id(); "the answer broke off: {e}");
                return Err(self.written_failure(ErrorKind::BadAnswer, "the answer broke off"));
            }
            Err(_elapsed) => {
                return Err(self
                    .written_failure(ErrorKind::DeadlineAfter, "the answer was incomplete at the deadline"));
            }
        };
        let is_server_error = parts.status.is_server_error();
        self.record_answer(sent_at, is_server_error);
        let mut resp = Response::from_parts(parts, body);
        for name in HOP_BY_HOP {
            resp.headers_mut().remove(name);
        }
        let answer = BackendAnswer { resp, backend: self.name().clone() };
        if is_server_error && self.outbound.route.repeatable {
            let failure = self.written_failure(ErrorKind::BadAnswer, "failed");
            return Err(AttemptFailure { answer: Some(Box::new(answer)), ..failure });
        }
        Ok(answer)
    }

    fn record_answer(&self, sent_at: Time, is_server_error: bool) {
        let now = self.now();
        if is_server_error {
            self.backend.record_answer(1.0, false, now);
            return;
        }
        self.node.quarantine.clear(self.fingerprint, now);
        let took_ms = now.since(sent_at).as_secs_f64() * 1e3;
        self.backend.record_answer(took_ms / self.placement.expected_ms.max(1.0), true, now);
        if !self.placement.is_queued {
            let round_trips_ms = self.node.backends.round_trips_ms(std::slice::from_ref(self.backend));
            let service_ms = took_ms - round_trips_ms[self.backend.region];
            self.node.record_service_time(self.outbound.route, service_ms.max(1.0));
        }
    }

    fn not_written_failure(&self, detail: &str, body: RequestBody) -> AttemptFailure {
        let error = self.error(ErrorKind::NoBackend, detail);
        AttemptFailure { progress: SendProgress::NotWritten, error, body: Some(body), answer: None }
    }

    fn written_failure(&self, kind: ErrorKind, detail: &str) -> AttemptFailure {
        AttemptFailure {
            progress: SendProgress::Written,
            error: self.error(kind, detail),
            body: None,
            answer: None,
        }
    }

    fn error(&self, kind: ErrorKind, detail: &str) -> Error {
        Error::new(kind, format!("backend server `{}`: {detail}", self.name()))
    }

    fn name(&self) -> &BackendId {
        &self.backend.registered.id
    }

    fn id(&self) -> &str {
        self.outbound.attempt_id.to_str().unwrap_or_default()
    }

    fn now(&self) -> Time {
        self.node.clock.now()
    }
}

// Records a crash if the backend server accepts no connection. It has died while it ran the request, which
// may or may not be the cause.
async fn record_crash_if_unreachable(
    node: Arc<SiteNode>,
    backend: Arc<Backend>,
    cold_time: Duration,
    fingerprint: u64,
) {
    if backend.pool.accepts_connections().await {
        return;
    }
    let now = node.clock.now();
    backend.pool.close_idle();
    backend.record_unreachable(cold_time, now);
    let id = &backend.registered.id;
    log::info!(backend = id.as_str(), request = fingerprint; "died while a request was at work there");
    if node.quarantine.record_crash(fingerprint, id, now) {
        node.counters.add(Counter::Strikes);
    }
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let value = headers.get(CONNECTION).and_then(|v| v.to_str().ok());
    value.is_some_and(|v| v.to_ascii_lowercase().contains("close"))
}

// Returns how long the connection may be idle and still be used: less than the time that the backend server
// states, so that it does not close the connection while a request is on its way.
fn usable_idle_time(headers: &HeaderMap) -> Option<Duration> {
    const USED_FRACTION: f64 = 0.8;
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds: u32 = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?.parse().ok()?;
    Some(Duration::from_secs(u64::from(seconds)).mul_f64(USED_FRACTION))
}
