//! Body of a backend server's response on its way to the caller.
//!
//! It ends early, with an error that the caller sees, when the backend server breaks it off, the deadline
//! passes, the caller's API key is withdrawn, or this instance has lost contact with the others for too long.

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

/// How often the contact with other instances is checked while a body is idle.
const CONTACT_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A response body with the resources that are held until its end.
pub struct GuardedBody {
    incoming: Incoming,
    framing: Framing,
    received: u64,
    authorisation: StreamAuthorisation,
    watchdog: Option<BoxFuture<'static, Error>>,
    resources: Option<RequestResources>,
}

/// Resources that are released at the end of a response body.
#[derive(Debug)]
pub struct RequestResources {
    /// Connection to the backend server.
    pub connection: Connection,
    /// Counts the request as in flight at the backend server.
    pub in_flight: InFlight,
    /// Permit of the admission queue.
    pub permit: Permit,
    /// Counts the request as in flight at this instance.
    pub request_guard: RequestGuard,
    /// Size of the request body, in bytes.
    pub sent_bytes: u64,
    /// Fingerprint by which quarantine recognises the request.
    pub fingerprint: u64,
    /// Whether the request is suspected of crashes and so runs alone on its backend server.
    pub runs_alone: bool,
}

/// What entitles a caller to go on receiving a response body.
#[derive(Clone, Debug)]
pub struct StreamAuthorisation {
    /// This instance.
    pub node: Arc<Node>,
    /// API key and its organisation; `None` on an open route.
    pub key: Option<(HeaderValue, OrganisationName)>,
    /// Configuration revision against which the key was last checked.
    pub checked_revision: Revision,
    /// Time by which the response must have ended.
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
    /// Wraps a body whose head has arrived.
    #[must_use]
    pub fn new(
        incoming: Incoming,
        framing: Framing,
        authorisation: StreamAuthorisation,
        resources: RequestResources,
    ) -> Self {
        let mut body = Self {
            incoming,
            framing,
            received: 0,
            authorisation,
            watchdog: None,
            resources: Some(resources),
        };
        if framing == Framing::Empty {
            body.finish(true);
        }
        body
    }

    fn poll_incoming(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match Pin::new(&mut self.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.received += frame.data_ref().map_or(0, |data| data.len() as u64);
                // Once the announced length has arrived, the HTTP library does not poll for the end.
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
        let authorisation = &self.authorisation;
        let watchdog =
            self.watchdog.get_or_insert_with(|| watch_authorisation(authorisation.clone()).boxed());
        let e = std::task::ready!(watchdog.poll_unpin(cx));
        self.resources = None;
        Poll::Ready(Some(Err(e)))
    }

    // Returns an error when the response must not look complete to the caller.
    fn finish(&mut self, clean: bool) -> Option<Error> {
        let resources = self.resources.take()?;
        let node = &self.authorisation.node;
        let now = node.clock.now();
        match classify_body_end(self.framing, self.received, clean) {
            BodyEnd::Complete => {
                resources.in_flight.backend().record_outcome(true, now);
                if resources.runs_alone {
                    node.quarantine.clear(resources.fingerprint, now);
                }
                node.record_bytes(
                    &resources.in_flight.backend().region,
                    self.received + resources.sent_bytes,
                );
                resources.in_flight.backend().pool.release(resources.connection);
                None
            }
            BodyEnd::CompleteNotReusable => None,
            BodyEnd::Truncated => {
                node.counters.add(Counter::AnswersCut);
                tokio::spawn(record_broken_answer(Arc::clone(node), resources));
                Some(Error::new(ErrorKind::BadAnswer, "the backend server broke off its answer"))
            }
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let this = self.get_mut();
        if this.resources.is_none() {
            return Poll::Ready(None);
        }
        if let Some(e) = this.authorisation.check_key() {
            this.resources = None;
            return Poll::Ready(Some(Err(e)));
        }
        this.poll_incoming(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.resources.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl StreamAuthorisation {
    // Returns an error if the key no longer belongs to its organisation. Checks it once for each revision of
    // the configuration.
    fn check_key(&mut self) -> Option<Error> {
        let (key, organisation) = self.key.as_ref()?;
        let active_config = self.node.active_config.load();
        let snapshot = &active_config.snapshot;
        if snapshot.revision == self.checked_revision {
            return None;
        }
        self.checked_revision = snapshot.revision;
        let current_organisation = organisation_of(snapshot, key).map(|ix| &snapshot.organisations[ix].name);
        if current_organisation == Some(organisation) {
            return None;
        }
        self.node.counters.add(Counter::StreamsEnded);
        Some(Error::from(ErrorKind::KeyRefused))
    }

    fn is_out_of_contact(&self) -> bool {
        let now = self.node.clock.now();
        self.key.is_some() && now >= self.node.fleet.contact(now).serve_until
    }
}

// Resolves when the body must end although nothing arrives from the backend server.
async fn watch_authorisation(mut authorisation: StreamAuthorisation) -> Error {
    let mut revision = authorisation.node.revision_tx.subscribe();
    let deadline = authorisation.node.clock.instant(authorisation.deadline);
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(deadline) => return Error::from(ErrorKind::DeadlineAfter),
            _ = revision.changed() => {}
            () = tokio::time::sleep(CONTACT_POLL_INTERVAL) => {}
        }
        if let Some(e) = authorisation.check_key() {
            return e;
        }
        if authorisation.is_out_of_contact() {
            return Error::from(ErrorKind::Isolated);
        }
    }
}

async fn record_broken_answer(node: Arc<Node>, resources: RequestResources) {
    let backend = resources.in_flight.backend();
    let crashed = !backend.pool.accepts_connections().await;
    backend.record_outcome(false, node.clock.now());
    if crashed && node.quarantine.record_crash(resources.fingerprint, &backend.id, node.clock.now()) {
        node.counters.add(Counter::Strikes);
        log::warn!("backend server {} died while it sent a response", backend.id);
    }
}
