//! One attempt of a request at one backend server.

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
use crate::site::body::{AnswerBody, Held, hold};
use crate::site::outbound::Outbound;
use crate::site::send::Answered;

/// The longest wait for a connection to a backend server: a few round trips on the longest link.
const CONNECT_LIMIT: Duration = Duration::from_millis(700);

/// The slowness that is noted when a backend server did not answer by the deadline.
const SLOW_AT_DEADLINE: f64 = 8.0;

/// One attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// This instance.
    pub node: &'a Arc<SiteNode>,
    /// The request.
    pub outbound: &'a Outbound<'a>,
    /// Its service.
    pub service: &'a Service,
    /// The backend server.
    pub backend: &'a Arc<Backend>,
    /// Why it was chosen.
    pub chosen: &'a Placement,
    /// What stands for the request in quarantine.
    pub fingerprint: u64,
}

/// Why an attempt brought no answer to pass on.
#[derive(Debug)]
pub struct Failed {
    /// How far it got.
    pub progress: SendProgress,
    /// What to answer if there is no other attempt.
    pub error: Error,
    /// The body, if none of it was used.
    pub body: Option<RequestBody>,
    /// An answer that is passed on if there is no better one.
    pub answer: Option<Box<Answered>>,
}

// The head of an answer, when it was asked for, and what is held while its body comes.
struct Head {
    parts: Parts,
    sent: Time,
    connection: Connection,
    in_flight: InFlight,
}

impl Attempt<'_> {
    /// Sends the request and reads the answer.
    ///
    /// # Errors
    /// How far it got, and what to answer.
    pub async fn make(&self, body: RequestBody) -> Result<Answered, Failed> {
        let in_flight = self.backend.begin();
        let (mut connection, body) = self.connect(body).await?;
        let sent = self.now();
        let req = self.outbound.request(&self.node.dialect, self.name(), body, sent);
        let answer =
            tokio::time::timeout(self.outbound.time_left(sent), connection.try_send_request(req)).await;
        let resp = match answer {
            Ok(Ok(resp)) => resp,
            Ok(Err(mut e)) => {
                return Err(match e.take_message() {
                    Some(req) => self.not_written("closed", req.into_body()),
                    None => self.broken(&e.into_error()),
                });
            }
            Err(_elapsed) => {
                self.backend.answered(SLOW_AT_DEADLINE, true, self.now());
                return Err(self.written(ErrorKind::DeadlineAfter, "still at work"));
            }
        };
        self.note_load(resp.headers());
        if let Some(failed) = self.fault_of(&resp) {
            return Err(failed);
        }
        let (parts, incoming) = resp.into_parts();
        self.receive(Head { parts, sent, connection, in_flight }, incoming).await
    }

    async fn connect(&self, body: RequestBody) -> Result<(Connection, RequestBody), Failed> {
        let limit = self.outbound.time_left(self.now()).min(CONNECT_LIMIT);
        let detail = match tokio::time::timeout(limit, self.backend.pool.take()).await {
            Ok(Ok(connection)) => return Ok((connection, body)),
            Ok(Err(detail)) => detail,
            Err(_elapsed) => "no connection in time".to_owned(),
        };
        self.backend.unreachable(self.service.cold_time, self.now());
        log::info!(backend = self.name().as_str(), id = self.id(); "unreachable: {detail}");
        Err(self.not_written(&detail, body))
    }

    // A broken connection may be one broken answer. Whether the backend server died is found out beside the next
    // attempt, which goes elsewhere.
    fn broken(&self, e: &hyper::Error) -> Failed {
        self.backend.broke_answer(self.now());
        if !e.is_parse() {
            tokio::spawn(note_if_dead(
                Arc::clone(self.node),
                Arc::clone(self.backend),
                self.service.cold_time,
                self.fingerprint,
            ));
        }
        log::info!(backend = self.name().as_str(), id = self.id(); "broke its answer: {e}");
        self.written(ErrorKind::BadAnswer, &format!("broke its answer: {e}"))
    }

    fn note_load(&self, headers: &HeaderMap) {
        let Some(text) = headers.get(&self.node.dialect.backend_load).and_then(|v| v.to_str().ok()) else {
            return;
        };
        let numbers: Vec<u32> = text.split(',').filter_map(|part| part.trim().parse().ok()).collect();
        if let [running, waiting, ..] = numbers.as_slice() {
            self.backend.reported(running + waiting, self.now());
        }
    }

    // Why an answer is not to be passed on: it is not this request's, or the request did not run.
    fn fault_of(&self, resp: &Response<Incoming>) -> Option<Failed> {
        let headers = resp.headers();
        let echoed = headers.get(&self.node.dialect.attempt_id);
        if echoed.is_some_and(|id| *id != self.outbound.attempt_id) {
            return Some(self.stray("the answer belongs to another request"));
        }
        let not_run = headers.contains_key(&self.node.dialect.not_run);
        if not_run || resp.status() == StatusCode::MISDIRECTED_REQUEST {
            self.backend.refused(self.now());
            let error = self.error(ErrorKind::Overloaded, "refused it as not run");
            return Some(Failed { progress: SendProgress::Shed, error, body: None, answer: None });
        }
        let sealed = headers.contains_key(&self.node.dialect.response_seal);
        if resp.status().is_success() && (!sealed || echoed.is_none()) {
            return Some(self.stray("a success that no backend server made"));
        }
        None
    }

    fn stray(&self, what: &str) -> Failed {
        self.backend.broke_answer(self.now());
        log::info!(backend = self.name().as_str(), id = self.id(); "{what}");
        self.written(ErrorKind::BadAnswer, what)
    }

    async fn receive(&self, head: Head, incoming: Incoming) -> Result<Answered, Failed> {
        let Head { parts, sent, mut connection, in_flight } = head;
        let closing = says_close(&parts.headers);
        if let Some(limit) = keep_alive(&parts.headers) {
            connection.set_idle_limit(limit);
        }
        let left = self.outbound.time_left(self.now());
        let body = match tokio::time::timeout(left, hold(incoming, connection, in_flight)).await {
            Ok(Ok(Held::Whole(bytes, connection))) => {
                if !closing {
                    self.backend.pool.put(connection);
                }
                AnswerBody::whole(bytes)
            }
            Ok(Ok(Held::Long(body))) => body,
            Ok(Err(e)) => {
                self.backend.broke_answer(self.now());
                log::info!(backend = self.name().as_str(), id = self.id(); "the answer broke off: {e}");
                return Err(self.written(ErrorKind::BadAnswer, "the answer broke off"));
            }
            Err(_elapsed) => return Err(self.written(ErrorKind::DeadlineAfter, "still answers")),
        };
        let failure = parts.status.is_server_error();
        self.note_answer(sent, failure);
        let mut resp = Response::from_parts(parts, body);
        for name in HOP_BY_HOP {
            resp.headers_mut().remove(name);
        }
        let answered = Answered { resp, backend: self.name().clone() };
        if failure && self.outbound.route.repeatable {
            let failed = self.written(ErrorKind::BadAnswer, "failed");
            return Err(Failed { answer: Some(Box::new(answered)), ..failed });
        }
        Ok(answered)
    }

    fn note_answer(&self, sent: Time, failure: bool) {
        let now = self.now();
        if failure {
            self.backend.answered(1.0, false, now);
            return;
        }
        self.node.quarantine.cleared(self.fingerprint, now);
        let took_ms = now.since(sent).as_secs_f64() * 1e3;
        self.backend.answered(took_ms / self.chosen.expected_ms.max(1.0), true, now);
        if !self.chosen.is_queued {
            let round_trips = self.node.table.round_trips_ms(std::slice::from_ref(self.backend));
            let worked_ms = took_ms - round_trips[self.backend.region];
            self.node.observe_work(self.outbound.route, worked_ms.max(1.0));
        }
    }

    fn not_written(&self, detail: &str, body: RequestBody) -> Failed {
        let error = self.error(ErrorKind::NoBackend, detail);
        Failed { progress: SendProgress::NotWritten, error, body: Some(body), answer: None }
    }

    fn written(&self, kind: ErrorKind, detail: &str) -> Failed {
        Failed { progress: SendProgress::Written, error: self.error(kind, detail), body: None, answer: None }
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

// A backend server that broke off a request and accepts no connection now has died on it, or beside it.
async fn note_if_dead(node: Arc<SiteNode>, backend: Arc<Backend>, cold_for: Duration, fingerprint: u64) {
    if backend.pool.accepts().await {
        return;
    }
    let now = node.clock.now();
    backend.pool.clear();
    backend.unreachable(cold_for, now);
    let id = &backend.registered.id;
    log::info!(backend = id.as_str(), request = fingerprint; "died while a request was at work there");
    if node.quarantine.crashed(fingerprint, id, now) {
        node.counters.add(Counter::Strikes);
    }
}

fn says_close(headers: &HeaderMap) -> bool {
    let value = headers.get(CONNECTION).and_then(|v| v.to_str().ok());
    value.is_some_and(|v| v.to_ascii_lowercase().contains("close"))
}

// Below the time that the backend server states, so that a request does not cross its close.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    const USED_PART: f64 = 0.8;
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds: u32 = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?.parse().ok()?;
    Some(Duration::from_secs(u64::from(seconds)).mul_f64(USED_PART))
}
