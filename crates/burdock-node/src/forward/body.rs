//! Request bodies on their way to a backend server.

use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

use burdock_model::hash::{StableHasher, stable_hash};
use bytes::Bytes;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use snafu::Snafu;

use crate::site::memory::Reservation;

/// Seed of the hash of a body.
const BODY_HASH_SEED: u64 = 0;

/// Reason for which a request body ended early.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The caller's connection failed.
    #[snafu(display("the caller's request body ended early: {source}"))]
    Broken {
        /// Cause that the HTTP library reports.
        source: hyper::Error,
    },
    /// The body exceeds its limit.
    #[snafu(display("the request body exceeds its limit of {limit} bytes"))]
    TooLong {
        /// Limit in bytes.
        limit: u64,
    },
    /// The whole body shows that the request must not run.
    #[snafu(display("the request is in quarantine"))]
    Refused,
}

/// Body of a request: buffered, or streamed from its caller.
#[derive(Debug)]
pub enum RequestBody {
    /// The complete body, which can be sent again.
    Buffered(Bytes),
    /// A body that is forwarded as it arrives, up to its limit.
    Streamed(Box<StreamedBody>),
}

/// A body that is forwarded as it arrives.
#[derive(Debug)]
pub struct StreamedBody {
    // Was read before the rest is forwarded.
    start: Bytes,
    incoming: Incoming,
    arrived: u64,
    limit: u64,
    hasher: StableHasher,
    digest: BodyDigest,
    end_check: Option<EndCheck>,
    // Free again once the body was forwarded or abandoned.
    memory: Option<Reservation>,
}

/// Hash of a whole body, known once all of it has arrived. Copies share it.
#[derive(Clone, Debug, Default)]
pub struct BodyDigest(Arc<OnceLock<u64>>);

/// Decides by the digest of a whole body whether its last part may be forwarded.
pub struct EndCheck(Box<dyn Fn(u64) -> bool + Send + Sync>);

impl BodyDigest {
    /// Returns the digest of a body that is complete.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Arc::new(OnceLock::from(stable_hash(bytes, BODY_HASH_SEED))))
    }

    /// Returns the hash if the whole body has arrived.
    #[must_use]
    pub fn get(&self) -> Option<u64> {
        self.0.get().copied()
    }
}

impl EndCheck {
    /// Creates a check from a function that returns whether the body may end.
    #[must_use]
    pub fn new(may_end: impl Fn(u64) -> bool + Send + Sync + 'static) -> Self {
        Self(Box::new(may_end))
    }
}

impl std::fmt::Debug for EndCheck {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EndCheck").finish_non_exhaustive()
    }
}

impl RequestBody {
    /// Creates a body of which `start` has arrived and that is forwarded as the rest of `incoming` arrives. It
    /// fails once it is longer than `limit` bytes.
    #[must_use]
    pub fn streamed(start: Bytes, incoming: Incoming, limit: u64) -> Self {
        let mut hasher = StableHasher::new(BODY_HASH_SEED);
        hasher.update(&start);
        Self::Streamed(Box::new(StreamedBody {
            arrived: start.len() as u64,
            start,
            incoming,
            limit,
            hasher,
            digest: BodyDigest::default(),
            end_check: None,
            memory: None,
        }))
    }

    /// Returns the complete body if it is buffered.
    #[must_use]
    pub const fn buffered(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes),
            Self::Streamed(_) => None,
        }
    }

    /// Returns the part of the body that has arrived and was not forwarded yet.
    #[must_use]
    pub fn start(&self) -> &Bytes {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streamed(body) => &body.start,
        }
    }

    /// Returns the digest of the whole body, which may still be to come.
    #[must_use]
    pub fn digest(&self) -> BodyDigest {
        match self {
            Self::Buffered(bytes) => BodyDigest::of(bytes),
            Self::Streamed(body) => body.digest.clone(),
        }
    }

    /// Sets the check that a streamed body must pass before its last part is forwarded.
    pub fn check_end(&mut self, check: EndCheck) {
        if let Self::Streamed(body) = self {
            body.end_check = Some(check);
        }
    }

    /// Lets a streamed body keep memory until it was forwarded or is dropped.
    pub fn hold_memory(&mut self, memory: Reservation) {
        if let Self::Streamed(body) = self {
            body.memory = Some(memory);
        }
    }

    /// Returns a copy for another attempt if the body is buffered.
    #[must_use]
    pub fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(bytes.clone())),
            Self::Streamed(_) => None,
        }
    }
}

impl StreamedBody {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.start.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.start)))));
        }
        let frame = match std::task::ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
            Some(Ok(frame)) => Some(frame),
            Some(Err(source)) => return Poll::Ready(Some(Err(BodyError::Broken { source }))),
            None => None,
        };
        if let Some(data) = frame.as_ref().and_then(Frame::data_ref) {
            self.hasher.update(data);
            self.arrived += data.len() as u64;
        }
        if self.arrived > self.limit {
            return Poll::Ready(Some(Err(BodyError::TooLong { limit: self.limit })));
        }
        // The HTTP library does not ask for the end of a body whose length is known.
        let is_end = frame.is_none() || self.incoming.is_end_stream();
        if is_end && !self.may_end() {
            return Poll::Ready(Some(Err(BodyError::Refused)));
        }
        Poll::Ready(frame.map(Ok))
    }

    fn may_end(&mut self) -> bool {
        let digest = *self.digest.0.get_or_init(|| self.hasher.finish());
        self.end_check.as_ref().is_none_or(|check| (check.0)(digest))
    }

    fn size_hint(&self) -> SizeHint {
        let exact = self.incoming.size_hint().exact();
        exact.map_or_else(SizeHint::default, |rest| SizeHint::with_exact(rest + self.start.len() as u64))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(body) => body.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streamed(body) => body.start.is_empty() && body.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(body) => body.size_hint(),
        }
    }
}

/// Returns why a request body ended early if that made a request fail.
#[must_use]
pub fn find_body_error(e: &hyper::Error) -> Option<&BodyError> {
    let mut source = std::error::Error::source(e);
    while let Some(inner) = source {
        if let Some(found) = inner.downcast_ref::<BodyError>() {
            return Some(found);
        }
        source = inner.source();
    }
    None
}

/// Returns whether the headers state the length of a body more than once.
///
/// Two lengths, or a length next to chunked encoding, mean different bodies to different readers.
#[must_use]
pub fn has_conflicting_lengths(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    lengths > 1 || (lengths == 1 && headers.contains_key(TRANSFER_ENCODING))
}
