//! Bodies on their way to a backend server.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use snafu::Snafu;

/// Why a body ended early.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The caller's connection broke.
    #[snafu(display("the caller's body broke off: {source}"))]
    Broken {
        /// What the library saw.
        source: hyper::Error,
    },
    /// The body passed its limit.
    #[snafu(display("the body passed its limit of {limit} bytes"))]
    TooLong {
        /// The limit.
        limit: u64,
    },
}

/// A request's body: held in whole, or streamed from its caller.
#[derive(Debug)]
pub enum RequestBody {
    /// All of it, which can be sent again.
    Buffered(Bytes),
    /// What comes from the caller, counted against its limit.
    Streamed {
        /// The caller's body.
        incoming: Incoming,
        /// Bytes forwarded on.
        forwarded: u64,
        /// The most that may be.
        limit: u64,
    },
}

impl RequestBody {
    /// The whole body, if it is held.
    #[must_use]
    pub const fn buffered(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes),
            Self::Streamed { .. } => None,
        }
    }

    /// A copy for another attempt, if all of it is held.
    #[must_use]
    pub fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(bytes.clone())),
            Self::Streamed { .. } => None,
        }
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
            Self::Streamed { incoming, forwarded, limit } => {
                let frame = std::task::ready!(Pin::new(incoming).poll_frame(cx));
                Poll::Ready(frame.map(|f| count_frame(f, forwarded, *limit)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streamed { incoming, .. } => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed { incoming, .. } => incoming.size_hint(),
        }
    }
}

fn count_frame(
    frame: Result<Frame<Bytes>, hyper::Error>,
    forwarded: &mut u64,
    limit: u64,
) -> Result<Frame<Bytes>, BodyError> {
    let frame = frame.map_err(|source| BodyError::Broken { source })?;
    *forwarded += frame.data_ref().map_or(0, |data| data.len() as u64);
    if *forwarded > limit {
        return Err(BodyError::TooLong { limit });
    }
    Ok(frame)
}

/// Whether the headers state a body's length twice: two lengths, or a length beside chunks, mean different bodies to
/// different readers.
#[must_use]
pub fn has_conflicting_lengths(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    lengths > 1 || (lengths == 1 && headers.contains_key(TRANSFER_ENCODING))
}
