//! Requests that a caller sends behind one that is still at work.
//!
//! The protocol's library serves the requests of a connection one after the other. Those that may be repeated are
//! started here as soon as they arrive; the library then finds the answer at work or ready when their turn comes,
//! so that answers keep the order of the requests.

use std::collections::VecDeque;
use std::sync::Arc;

use burdock_decide::time::Time;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderValue, Response, Uri};
use parking_lot::Mutex;
use tokio_util::task::AbortOnDropHandle;

use crate::phase::Phase;
use crate::site::SiteNode;
use crate::site::body::AnswerBody;
use crate::site::handle::handle;
use crate::site::head_scan::Found;

/// Requests of one connection that are at work before their turn, at most: as many as callers keep waiting behind
/// another in practice, and a bound on what one connection takes from others.
const MAX_EARLY: usize = 8;

/// What is known of the requests that follow the one at work on a connection.
#[derive(Debug)]
pub struct Pipeline {
    node: Arc<SiteNode>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    // In the order of their arrival.
    following: VecDeque<Following>,
    closed: bool,
}

#[derive(Debug)]
enum Following {
    Waiting(Found),
    // It has a body, or must not run twice: it waits for its turn.
    InTurn(Time),
    Started(Early),
}

#[derive(Debug)]
struct Early {
    arrived: Time,
    target: Uri,
    attempt_id: Option<HeaderValue>,
    answer: AbortOnDropHandle<Response<AnswerBody>>,
}

/// A request whose turn has come.
#[derive(Debug)]
pub struct Turn {
    /// When its head arrived, if that is known.
    pub arrived: Option<Time>,
    /// Its answer, at work or ready.
    pub answer: Option<AbortOnDropHandle<Response<AnswerBody>>>,
}

impl Pipeline {
    /// The requests of a new connection.
    #[must_use]
    pub fn new(node: Arc<SiteNode>) -> Self {
        Self { node, state: Mutex::default() }
    }

    /// Takes in a request whose head has arrived.
    pub fn arrived(&self, found: Found) {
        self.state.lock().following.push_back(Following::Waiting(found));
    }

    /// Starts what waits behind the request at work. To be called when the protocol has taken all it can.
    pub fn start(&self) {
        let mut state = self.state.lock();
        if state.closed {
            return;
        }
        for following in state.following.iter_mut().take(MAX_EARLY) {
            if let Following::Waiting(found) = following {
                *following = match found.whole.take() {
                    Some(parts) if self.may_start(&parts) => self.begin(*parts, found.arrived),
                    Some(_) | None => Following::InTurn(found.arrived),
                };
            }
        }
    }

    /// The turn of a request that the protocol hands over.
    #[must_use]
    pub fn turn(&self, parts: &Parts) -> Turn {
        let next = self.state.lock().following.pop_front();
        match next {
            None => Turn { arrived: None, answer: None },
            Some(Following::Waiting(Found { arrived, .. }) | Following::InTurn(arrived)) => {
                Turn { arrived: Some(arrived), answer: None }
            }
            Some(Following::Started(early)) => {
                let attempt_id = parts.headers.get(&self.node.dialect.attempt_id);
                let same = early.target == parts.uri && early.attempt_id.as_ref() == attempt_id;
                if !same {
                    log::error!(found:% = early.target, given:% = parts.uri; "requests of a connection are out of step");
                }
                Turn { arrived: Some(early.arrived), answer: same.then_some(early.answer) }
            }
        }
    }

    /// Starts nothing more, because the connection is to close.
    pub fn close(&self) {
        self.state.lock().closed = true;
    }

    /// Whether nothing that was started is still to be handed over.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        !self.state.lock().following.iter().any(|f| matches!(f, Following::Started(_)))
    }

    // A request that may run only once is not started: if the connection closes before its turn, the caller counts
    // it as never read and sends it again.
    fn may_start(&self, parts: &Parts) -> bool {
        if self.node.phase() >= Phase::Draining {
            return false;
        }
        let plan = self.node.config.load();
        let host = parts.headers.get(HOST).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let route = plan.route(host, parts.uri.path()).map(|ix| &plan.config.routes[ix]);
        route.is_some_and(|route| route.repeatable)
    }

    fn begin(&self, parts: Parts, arrived: Time) -> Following {
        let target = parts.uri.clone();
        let attempt_id = parts.headers.get(&self.node.dialect.attempt_id).cloned();
        let work = handle(Arc::clone(&self.node), parts, None, arrived);
        let answer = AbortOnDropHandle::new(tokio::spawn(work));
        Following::Started(Early { arrived, target, attempt_id, answer })
    }
}
