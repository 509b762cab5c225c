//! The body of a backend server's answer on its way to the caller.
//!
//! It ends early, and visibly so, when the answer is cut, time is up, or the caller's key is withdrawn.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use burdock_decide::answer::{BodyEnd, Framing, classify_body_end};
use burdock_decide::time::Time;
use burdock_model::error::{Error, ErrorKind};
use burdock_model::ids::{OrganisationName, Revision};
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::HeaderValue;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::entry::head::organisation_of;
use crate::forward::admission::Permit;
use crate::forward::backends::InFlight;
use crate::forward::pool::Connection;
use crate::node::{Node, RequestGuard};
use crate::observe::counters::Counter;

/// How often contact is looked at while a body is idle.
const CONTACT_LOOK: Duration = Duration::from_millis(500);

/// A body with all that must be held until its end.
pub struct GuardedBody {
    incoming: Incoming,
    framing: Framing,
    received: u64,
    rights: Rights,
    watchdog: Option<BoxFuture<'static, Error>>,
    held: Option<Held>,
}

/// What is given back at the end of a body.
#[derive(Debug)]
pub struct Held {
    /// The connection to the backend server.
    pub connection: Connection,
    /// Counts the request there.
    pub in_flight: InFlight,
    /// Leave to run.
    pub permit: Permit,
    /// Counts the request here.
    pub at_work: RequestGuard,
    /// Bytes of the request's body.
    pub sent_bytes: u64,
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// It is a suspect that ran alone.
    pub alone: bool,
}

/// By what right a body goes to its caller.
#[derive(Clone, Debug)]
pub struct Rights {
    /// The instance.
    pub node: Arc<Node>,
    /// Key and organisation; none on an open route.
    pub key: Option<(HeaderValue, OrganisationName)>,
    /// The revision that the key was last checked against.
    pub checked: Revision,
    /// When the caller's time is up.
    pub deadline: Time,
}

impl std::fmt::Debug for GuardedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GuardedBody")
            .field("framing", &self.framing)
            .field("received", &self.received)
            .finish()
    }
}

impl GuardedBody {
    /// Guards a body.
    #[must_use]
    pub fn new(incoming: Incoming, framing: Framing, rights: Rights, held: Held) -> Self {
        let mut body = Self { incoming, framing, received: 0, rights, watchdog: None, held: Some(held) };
        if framing == Framing::Empty {
            body.finish(true);
        }
        body
    }

    fn poll_incoming(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match Pin::new(&mut self.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.received += frame.data_ref().map_or(0, |data| data.len() as u64);
                // A server that has sent the announced length does not ask for the end.
                if self.incoming.is_end_stream() {
                    self.finish(true);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => Poll::Ready(self.finish(true).map(Err)),
            Poll::Ready(Some(Err(_))) => Poll::Ready(self.finish(false).map(Err)),
            Poll::Pending => self.poll_watchdog(cx),
        }
    }

    fn poll_watchdog(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let rights = &self.rights;
        let watchdog = self.watchdog.get_or_insert_with(|| watch(rights.clone()).boxed());
        let e = std::task::ready!(watchdog.poll_unpin(cx));
        self.held = None;
        Poll::Ready(Some(Err(e)))
    }

    // Returns an error when the answer must not look whole.
    fn finish(&mut self, clean: bool) -> Option<Error> {
        let held = self.held.take()?;
        let node = &self.rights.node;
        let now = node.clock.now();
        match classify_body_end(self.framing, self.received, clean) {
            BodyEnd::Complete => {
                held.in_flight.backend().outcome(true, now);
                if held.alone {
                    node.quarantine.cleared(held.fingerprint, now);
                }
                node.record_bytes(&held.in_flight.backend().region, self.received + held.sent_bytes);
                held.in_flight.backend().pool.put(held.connection);
                None
            }
            BodyEnd::CompleteNotReusable => None,
            BodyEnd::Truncated => {
                node.counters.add(Counter::AnswersCut);
                tokio::spawn(note_cut(Arc::clone(node), held));
                Some(Error::new(ErrorKind::BadAnswer, "the backend server cut its answer"))
            }
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let this = self.get_mut();
        if this.held.is_none() {
            return Poll::Ready(None);
        }
        if let Some(e) = this.rights.lost() {
            this.held = None;
            return Poll::Ready(Some(Err(e)));
        }
        this.poll_incoming(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Rights {
    // Looks at the key again when the configuration has changed since the last look.
    fn lost(&mut self) -> Option<Error> {
        let (key, organisation) = self.key.as_ref()?;
        let active_config = self.node.active_config.load();
        let snapshot = &active_config.snapshot;
        if snapshot.revision == self.checked {
            return None;
        }
        self.checked = snapshot.revision;
        let holder = organisation_of(snapshot, key).map(|ix| &snapshot.organisations[ix].name);
        if holder == Some(organisation) {
            return None;
        }
        self.node.counters.add(Counter::StreamsEnded);
        Some(Error::from(ErrorKind::KeyRefused))
    }

    fn out_of_contact(&self) -> bool {
        let now = self.node.clock.now();
        self.key.is_some() && now >= self.node.fleet.contact(now).serve_until
    }
}

// Ends when the body must end though nothing comes from the backend server.
async fn watch(mut rights: Rights) -> Error {
    let mut revision = rights.node.revision_tx.subscribe();
    let deadline = rights.node.clock.instant(rights.deadline);
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(deadline) => return Error::from(ErrorKind::DeadlineAfter),
            _ = revision.changed() => {}
            () = tokio::time::sleep(CONTACT_LOOK) => {}
        }
        if let Some(e) = rights.lost() {
            return e;
        }
        if rights.out_of_contact() {
            return Error::from(ErrorKind::Isolated);
        }
    }
}

async fn note_cut(node: Arc<Node>, held: Held) {
    let backend = held.in_flight.backend();
    let crashed = !backend.pool.accepts().await;
    backend.outcome(false, node.clock.now());
    if crashed && node.quarantine.crashed(held.fingerprint, &backend.id, node.clock.now()) {
        node.counters.add(Counter::Strikes);
        log::warn!("backend server {} died in mid-answer", backend.id);
    }
}
