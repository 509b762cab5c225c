//! One attempt to send a request to a backend server.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use burdock_decide::answer::{is_final_status, is_misleading};
use burdock_decide::headers::HOP_BY_HOP;
use burdock_decide::place::Placement;
use burdock_decide::retry::SendProgress;
use burdock_decide::time::Time;
use burdock_model::prelude::*;
use burdock_model::site::Service;
use burdock_platform::dialect::parse_retry_after;
use burdock_platform::load::parse_load;
use http::header::{CONNECTION, RETRY_AFTER};
use http::response::Parts;
use http::{HeaderMap, Response, StatusCode};
use http_body::Body;
use hyper::body::Incoming;

use crate::forward::attempt::is_caller_fault;
use crate::forward::body::{BodyError, RequestBody, find_body_error};
use crate::forward::pool::Connection;
use crate::observe::counters::Counter;
use crate::site::SiteNode;
use crate::site::backend::{Backend, InFlight};
use crate::site::body::{AnswerSource, ReadAnswer, read_answer};
use crate::site::outbound::Outbound;
use crate::site::send::BackendAnswer;
use crate::site::suspect::{CrashReport, Suspect};

/// Time limit of a connection to a backend server: a few round trips on the longest link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Slowness that is recorded for a backend server that did not answer by the deadline, relative to the
/// expected time.
const MISSED_DEADLINE_SLOWNESS: f64 = 8.0;

/// Times at which a missing answer counts as slow, relative to the expected one.
const OVERDUE_FACTORS: [f64; 3] = [3.0, 6.0, 12.0];

/// Expected time below which an answer is not overdue, in milliseconds.
const MIN_EXPECTED_MS: f64 = 50.0;

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
    /// Identity by which quarantine recognises the request.
    pub suspect: &'a Suspect,
    /// Set when the head of the answer has arrived.
    pub has_head: &'a AtomicBool,
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
    /// request, the backend server refuses the request, it answers a repeatable one with a server error, or it
    /// answers another one with a status that would wrongly mean "not run".
    pub async fn run(&self, body: RequestBody) -> Result<BackendAnswer, AttemptFailure> {
        let in_flight = self.backend.begin_request();
        let begun_before = self.backend.own_in_flight().saturating_sub(1);
        let (mut connection, body) = self.connect(body).await?;
        let sent_at = self.now();
        if !self.backend.accepts(begun_before, sent_at) {
            if !self.backend.is_leaving() {
                self.backend.pool.release(connection);
            }
            return Err(self.not_written_failure("takes no further requests", body));
        }
        let req = self.outbound.build_request(&self.node.dialect, self.name(), body, sent_at);
        let answer = self.wait_for_head(connection.try_send_request(req), sent_at).await;
        let resp = match answer {
            Some(Ok(resp)) => resp,
            Some(Err(mut e)) => {
                return Err(match e.take_message() {
                    Some(req) => self.not_written_failure("closed", req.into_body()),
                    None => self.broken_connection_failure(&e.into_error()),
                });
            }
            None => {
                self.backend.record_answer(MISSED_DEADLINE_SLOWNESS, true, self.now());
                return Err(self.written_failure(ErrorKind::DeadlineAfter, "no answer by the deadline"));
            }
        };
        self.has_head.store(true, Ordering::Relaxed);
        self.record_reported_state(&resp);
        if let Some(failure) = self.check_head(&resp, connection.has_carried_answers()) {
            return Err(failure);
        }
        let (parts, incoming) = resp.into_parts();
        self.receive_body(AnswerHead { parts, sent_at, connection, in_flight }, incoming).await
    }

    // Waits for an answer until the deadline. One that is overdue counts as slow before it arrives, so that
    // further requests avoid the backend server meanwhile.
    async fn wait_for_head<T>(&self, answer: impl Future<Output = T>, sent_at: Time) -> Option<T> {
        let mut answer = std::pin::pin!(answer);
        let expected = Duration::from_secs_f64(self.placement.expected_ms.max(MIN_EXPECTED_MS) / 1e3);
        for factor in OVERDUE_FACTORS {
            let left = (sent_at + expected.mul_f64(factor)).since(self.now());
            if left >= self.outbound.time_left(self.now()) {
                break;
            }
            if let Ok(found) = tokio::time::timeout(left, &mut answer).await {
                return Some(found);
            }
            self.backend.record_overdue(factor, self.now());
        }
        tokio::time::timeout(self.outbound.time_left(self.now()), answer).await.ok()
    }

    async fn connect(&self, body: RequestBody) -> Result<(Connection, RequestBody), AttemptFailure> {
        let time_left = self.outbound.time_left(self.now());
        let timeout = time_left.min(CONNECT_TIMEOUT);
        let detail = match tokio::time::timeout(timeout, self.backend.pool.acquire()).await {
            Ok(Ok(connection)) => return Ok((connection, body)),
            Ok(Err(detail)) => detail,
            // The backend server had less time than a connection may take, which says nothing about it.
            Err(_elapsed) if time_left < CONNECT_TIMEOUT => {
                tokio::spawn(record_unreachable_if_confirmed(
                    Arc::clone(self.node),
                    Arc::clone(self.backend),
                    self.service.cold_time,
                ));
                return Err(self.not_written_failure("no connection in the time that was left", body));
            }
            Err(_elapsed) => "no connection within the time limit".to_owned(),
        };
        self.backend.record_unreachable(self.service.cold_time, self.now());
        log::info!(backend = self.name().as_str(), id = self.id(); "unreachable: {detail}");
        Err(self.not_written_failure(&detail, body))
    }

    // A broken connection may mean that only this answer broke. Whether the backend server died is checked in
    // the background, while the next attempt goes to another one. The backend server is not at fault if the
    // caller's part of the exchange ended early.
    fn broken_connection_failure(&self, e: &hyper::Error) -> AttemptFailure {
        if let Some(cause) = find_body_error(e) {
            let kind = match cause {
                BodyError::Broken { .. } => ErrorKind::BodyCut,
                BodyError::TooLong { .. } => ErrorKind::TooLarge,
                // The backend server had begun to receive it, so that "not run" would be a promise too many.
                BodyError::Refused => {
                    self.node.counters.add(Counter::Quarantined);
                    ErrorKind::BadAnswer
                }
            };
            log::info!(backend = self.name().as_str(), id = self.id(); "the request was cut off: {cause}");
            return self.written_failure(kind, &cause.to_string());
        }
        if is_caller_fault(e) {
            return self.written_failure(ErrorKind::BodyCut, "the request body ended early");
        }
        self.backend.record_broken_answer(self.now());
        if !e.is_parse() {
            self.crash_report().spawn();
        }
        log::info!(backend = self.name().as_str(), id = self.id(); "broke its answer: {e}");
        self.written_failure(ErrorKind::BadAnswer, &format!("broke its answer: {e}"))
    }

    // Records what the head of an answer says of the backend server. An answer of another request came on this
    // connection, too, so it says the same.
    fn record_reported_state(&self, resp: &Response<Incoming>) {
        let (dialect, headers) = (&self.node.dialect, resp.headers());
        let is_leaving = |name| headers.get(name).is_some_and(|value| value.as_bytes() != b"0");
        if dialect.leaving.iter().any(is_leaving) {
            self.node.backends.record_leaving(self.backend, self.now());
        }
        let retry_after = headers.get(RETRY_AFTER).and_then(|v| parse_retry_after(v.to_str().ok()?));
        if let Some(wait) = retry_after.filter(|_| resp.status() == StatusCode::SERVICE_UNAVAILABLE) {
            log::info!(backend = self.name().as_str(), wait_ms:? = wait.as_millis(); "turns this instance away");
            self.backend.record_turned_away(wait, self.now());
        }
        let Some(text) = headers.get(&dialect.backend_load).and_then(|v| v.to_str().ok()) else {
            return;
        };
        let load = parse_load(text);
        if load.is_none_or(|load| load.has_invalid_figure) {
            self.node.counters.add(Counter::InvalidLoads);
        }
        if let Some(load) = load {
            self.backend.record_load(&load, self.now());
        }
    }

    // Returns a failure if the answer has no valid status or belongs to another request, the backend server refused
    // the request without running it, or a success does not carry the backend server's seal. `may_be_late` says that
    // an answer without an id may be one to an earlier request.
    fn check_head(&self, resp: &Response<Incoming>, may_be_late: bool) -> Option<AttemptFailure> {
        if !is_final_status(resp.status().as_u16()) {
            return Some(self.invalid_answer_failure(&format!("answered with the status {}", resp.status())));
        }
        let headers = resp.headers();
        let echoed_id = headers.get(&self.node.dialect.attempt_id);
        if echoed_id.is_some_and(|id| *id != self.outbound.attempt_id) {
            return Some(self.invalid_answer_failure("the answer belongs to another request"));
        }
        let is_not_run = headers.contains_key(&self.node.dialect.not_run);
        let is_misdirected = resp.status() == StatusCode::MISDIRECTED_REQUEST;
        if is_not_run || is_misdirected {
            self.backend.record_refusal(self.now());
            let is_repeatable = self.outbound.route.repeatable;
            if !is_not_run && is_misleading(resp.status().as_u16(), is_repeatable) {
                return Some(self.misleading_status_failure(resp.status()));
            }
            if echoed_id.is_none() && may_be_late && !is_repeatable {
                return Some(self.unattributed_refusal_failure());
            }
            let error = self.error(ErrorKind::Overloaded, "refused the request without running it");
            return Some(AttemptFailure { progress: SendProgress::Shed, error, body: None, answer: None });
        }
        let has_seal = headers.contains_key(&self.node.dialect.response_seal);
        if resp.status().is_success() && (!has_seal || echoed_id.is_none()) {
            return Some(self.invalid_answer_failure("a success that no backend server made"));
        }
        None
    }

    // The caller gets an answer of this instance's own: another status with the backend server's seal would be
    // a forged answer.
    fn misleading_status_failure(&self, status: StatusCode) -> AttemptFailure {
        let detail = format!("answered {status} without stating that the request did not run");
        log::info!(backend = self.name().as_str(), id = self.id(); "{detail}");
        self.node.counters.add(Counter::MisleadingStatuses);
        self.written_failure(ErrorKind::BadAnswer, &detail)
    }

    // The refusal may be that of an earlier request, while the backend server runs this one.
    fn unattributed_refusal_failure(&self) -> AttemptFailure {
        let detail = "sent a refusal without an id on a connection with earlier answers";
        log::info!(backend = self.name().as_str(), id = self.id(); "{detail}");
        self.node.counters.add(Counter::UnattributedRefusals);
        self.written_failure(ErrorKind::BadAnswer, detail)
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
        // Without an id, a second copy of this answer can't be told from the answer to the next request.
        let is_reusable = parts.headers.contains_key(&self.node.dialect.attempt_id)
            && !has_connection_close(&parts.headers)
            && !self.backend.is_leaving();
        if let Some(limit) = usable_idle_time(&parts.headers) {
            connection.set_max_idle_time(limit);
        }
        let timeout = self.outbound.time_left(self.now());
        let is_server_error = parts.status.is_server_error();
        let source = AnswerSource {
            connection,
            in_flight,
            is_reusable,
            is_success: !is_server_error,
            crash: self.crash_report(),
        };
        let read = read_answer(incoming, source, self.node, self.outbound.deadline);
        let body = match tokio::time::timeout(timeout, read).await {
            Ok(Ok(ReadAnswer::Whole(body, connection))) => {
                self.node.record_answer_delivery(self.outbound.route, true);
                if is_reusable {
                    self.backend.pool.release(connection);
                }
                if !is_server_error {
                    self.suspect.clear(self.node);
                }
                body
            }
            Ok(Ok(ReadAnswer::Partial(body))) => {
                self.node.record_answer_delivery(self.outbound.route, false);
                body
            }
            Ok(Err(e)) => {
                self.backend.record_broken_answer(self.now());
                if !e.is_parse() {
                    self.crash_report().spawn();
                }
                log::info!(backend = self.name().as_str(), id = self.id(); "the answer broke off: {e}");
                return Err(self.written_failure(ErrorKind::BadAnswer, "the answer broke off"));
            }
            Err(_elapsed) => {
                self.backend.record_broken_answer(self.now());
                return Err(self
                    .written_failure(ErrorKind::DeadlineAfter, "the answer was incomplete at the deadline"));
            }
        };
        if let Some(bytes) = body.size_hint().exact().filter(|_| parts.status.is_success()) {
            self.node.record_answer_bytes(self.outbound.route, bytes);
        }
        self.record_answer(sent_at, is_server_error);
        if is_misleading(parts.status.as_u16(), self.outbound.route.repeatable) {
            return Err(self.misleading_status_failure(parts.status));
        }
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
        let took_ms = now.since(sent_at).as_secs_f64() * 1e3;
        self.backend.record_answer(took_ms / self.placement.expected_ms.max(1.0), true, now);
        let round_trips_ms = self.node.backends.round_trips_ms(std::slice::from_ref(self.backend));
        let service_ms = took_ms - round_trips_ms[self.backend.region];
        let (load, slots) = (self.placement.load, self.backend.slots());
        self.node.admission.record_answer(&self.service.name, service_ms.max(1.0), load, slots);
        if !self.placement.is_queued {
            self.node.record_service_time(self.outbound.route, service_ms.max(1.0));
        }
    }

    fn crash_report(&self) -> CrashReport {
        CrashReport {
            node: Arc::clone(self.node),
            backend: Arc::clone(self.backend),
            cold_time: self.service.cold_time,
            suspect: self.suspect.clone(),
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

// Records that a backend server is unreachable if it accepts no connection in the time that one may take.
// Otherwise requests with short time limits would never find out.
async fn record_unreachable_if_confirmed(node: Arc<SiteNode>, backend: Arc<Backend>, cold_time: Duration) {
    if !backend.pool.accepts_connections().await {
        log::info!(backend = backend.registered.id.as_str(); "unreachable: no connection for an attempt that was short of time");
        backend.record_unreachable(cold_time, node.clock.now());
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
