//! Request bodies on their way to a backend server.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use snafu::Snafu;

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
}

/// Body of a request: buffered, or streamed from its caller.
#[derive(Debug)]
pub enum RequestBody {
    /// The complete body, which can be sent again.
    Buffered(Bytes),
    /// A body that is forwarded as it arrives, up to its limit.
    Streamed {
        /// The caller's body.
        incoming: Incoming,
        /// Number of bytes forwarded so far.
        forwarded: u64,
        /// Maximum number of bytes.
        limit: u64,
    },
}

impl RequestBody {
    /// Returns the complete body if it is buffered.
    #[must_use]
    pub const fn buffered(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes),
            Self::Streamed { .. } => None,
        }
    }

    /// Returns a copy for another attempt if the body is buffered.
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

/// Returns whether the headers state the length of a body more than once.
///
/// Two lengths, or a length next to chunked encoding, mean different bodies to different readers.
#[must_use]
pub fn has_conflicting_lengths(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    lengths > 1 || (lengths == 1 && headers.contains_key(TRANSFER_ENCODING))
}
