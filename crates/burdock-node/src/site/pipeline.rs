//! Pipelined requests: those that a caller sends on a connection before it has the answers to earlier ones.
//!
//! hyper serves the requests of a connection one after the other. Repeatable requests are started here as
//! soon as they arrive. When hyper hands such a request over, its answer is in progress or ready, so that
//! answers keep the order of the requests.
//!
//! An answer that is forwarded before it is whole may break off and take the connection with it. So none is
//! started behind a request whose route has had such answers; see [`burdock_decide::pipeline`]. Nor is one started
//! behind a body that may be left unread; see [`crate::site::caller_body`].

use std::collections::VecDeque;
use std::sync::Arc;

use burdock_decide::pipeline::MAX_EARLY_REQUESTS;
use burdock_decide::time::Time;
use burdock_model::site::{Route, SiteConfigIndex};
use http::header::HOST;
use http::request::Parts;
use http::{HeaderValue, Response, Uri};
use parking_lot::Mutex;
use tokio_util::task::AbortOnDropHandle;

use crate::phase::Phase;
use crate::site::SiteNode;
use crate::site::body::ResponseBody;
use crate::site::handle::handle;
use crate::site::head_scan::ScannedHead;

/// Queue of the requests of a connection that have arrived and that hyper has not handed over yet.
#[derive(Debug)]
pub struct Pipeline {
    node: Arc<SiteNode>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    // In order of arrival.
    requests: VecDeque<PipelinedRequest>,
    // Number of requests that may start behind the one that hyper took over last.
    max_behind_current: Option<usize>,
    // Number of requests that hyper has taken over.
    position: u64,
    // The body of the request that hyper took over last has not been read to its end.
    is_body_unread: bool,
    // No further request is started early, because the connection is to close.
    is_closing: bool,
}

#[derive(Debug)]
enum PipelinedRequest {
    Waiting(ScannedHead),
    // Is not repeatable, so it runs only when its turn comes.
    InTurn { arrived_at: Time, max_behind: usize },
    Started(EarlyRequest),
}

#[derive(Debug)]
struct EarlyRequest {
    arrived_at: Time,
    max_behind: usize,
    target: Uri,
    attempt_id: Option<HeaderValue>,
    answer: AbortOnDropHandle<Response<ResponseBody>>,
}

/// What the pipeline knows of a request that hyper hands over.
#[derive(Debug)]
pub struct PoppedRequest {
    /// Time at which its head arrived, if known.
    pub arrived_at: Option<Time>,
    /// Task of its answer, in progress or complete, if the request was started early.
    pub answer: Option<AbortOnDropHandle<Response<ResponseBody>>>,
}

impl Pipeline {
    /// Creates the pipeline of a new connection.
    #[must_use]
    pub fn new(node: Arc<SiteNode>) -> Self {
        Self { node, state: Mutex::default() }
    }

    /// Adds a request whose head has arrived.
    pub fn push(&self, head: ScannedHead) {
        self.state.lock().requests.push_back(PipelinedRequest::Waiting(head));
    }

    /// Starts the waiting requests that may run before their turn. Must be called after hyper has consumed
    /// all the bytes that it can.
    pub fn start_waiting(&self) {
        let mut state = self.state.lock();
        if state.is_closing || state.is_body_unread {
            return;
        }
        let mut room = state.max_behind_current.unwrap_or(MAX_EARLY_REQUESTS);
        for request in state.requests.iter_mut().take(MAX_EARLY_REQUESTS) {
            if let PipelinedRequest::Waiting(head) = request {
                if room == 0 {
                    return;
                }
                // Where a body follows, hyper takes the request over before more is known of it.
                let Some(parts) = head.parts.take() else {
                    return;
                };
                *request = self.classify(*parts, head.arrived_at);
            }
            room = room.saturating_sub(1).min(request.max_behind());
        }
    }

    /// Removes the next request, which hyper hands over with the given head.
    #[must_use]
    pub fn pop(&self, parts: &Parts) -> PoppedRequest {
        let max_behind = self.max_behind(parts);
        let next = {
            let mut state = self.state.lock();
            state.max_behind_current = Some(max_behind);
            state.position += 1;
            state.is_body_unread = false;
            state.requests.pop_front()
        };
        match next {
            None => PoppedRequest { arrived_at: None, answer: None },
            Some(
                PipelinedRequest::Waiting(ScannedHead { arrived_at, .. })
                | PipelinedRequest::InTurn { arrived_at, .. },
            ) => PoppedRequest { arrived_at: Some(arrived_at), answer: None },
            Some(PipelinedRequest::Started(early)) => {
                let attempt_id = parts.headers.get(&self.node.dialect.attempt_id);
                let is_same = early.target == parts.uri && early.attempt_id.as_ref() == attempt_id;
                if !is_same {
                    log::error!(found:% = early.target, given:% = parts.uri;
                        "answer of an early request discarded: the connection's next request is another one");
                }
                PoppedRequest { arrived_at: Some(early.arrived_at), answer: is_same.then_some(early.answer) }
            }
        }
    }

    /// Starts no further request early until hyper takes over the next one, because the answer to the current one may
    /// break off.
    pub fn start_none_behind_current(&self) {
        self.state.lock().max_behind_current = Some(0);
    }

    /// Starts no further request early until the body of the request that hyper took over last was read. Returns
    /// the position of that request.
    pub fn begin_body(&self) -> u64 {
        let mut state = self.state.lock();
        state.is_body_unread = true;
        state.position
    }

    /// Records that the body of the request at a position was read to its end.
    pub fn end_body(&self, position: u64) {
        let mut state = self.state.lock();
        // hyper may have taken over another request with a body since.
        if state.position == position {
            state.is_body_unread = false;
        }
    }

    /// Starts no further request early, because the connection is to close.
    pub fn stop_starting(&self) {
        self.state.lock().is_closing = true;
    }

    /// Returns whether hyper has taken over every request that was started early.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.started_count() == 0
    }

    /// Returns the number of requests that were started early and that hyper has not taken over.
    #[must_use]
    pub fn started_count(&self) -> usize {
        self.state.lock().requests.iter().filter(|r| matches!(r, PipelinedRequest::Started(_))).count()
    }

    // A request that is not repeatable must not start early: if the connection closes before its turn, the
    // caller takes it for unread and sends it again.
    fn classify(&self, parts: Parts, arrived_at: Time) -> PipelinedRequest {
        let max_behind = self.max_behind(&parts);
        let config = self.node.config.load();
        let is_repeatable = route_of(&config, &parts).is_some_and(|route| route.repeatable);
        if self.node.phase() >= Phase::Draining || !is_repeatable {
            return PipelinedRequest::InTurn { arrived_at, max_behind };
        }
        let target = parts.uri.clone();
        let attempt_id = parts.headers.get(&self.node.dialect.attempt_id).cloned();
        let work = handle(Arc::clone(&self.node), parts, None, arrived_at);
        let answer = AbortOnDropHandle::new(tokio::spawn(work));
        PipelinedRequest::Started(EarlyRequest { arrived_at, max_behind, target, attempt_id, answer })
    }

    // A request without a route gets a short answer of this instance's own.
    fn max_behind(&self, parts: &Parts) -> usize {
        let config = self.node.config.load();
        let route = route_of(&config, parts);
        route.map_or(MAX_EARLY_REQUESTS, |route| self.node.max_started_behind(route))
    }
}

impl PipelinedRequest {
    fn max_behind(&self) -> usize {
        match self {
            Self::Waiting(_) => 0,
            Self::InTurn { max_behind, .. } => *max_behind,
            Self::Started(early) => early.max_behind,
        }
    }
}

fn route_of<'a>(config: &'a SiteConfigIndex, parts: &Parts) -> Option<&'a Route> {
    let host = parts.headers.get(HOST).and_then(|v| v.to_str().ok()).unwrap_or_default();
    config.route(host, parts.uri.path()).map(|ix| &config.published.routes[ix])
}
