//! Bodies of answers: short ones are buffered, longer ones are streamed.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::forward::pool::Connection;
use crate::site::backend::InFlight;

/// Maximum size of a body that is buffered before any of it goes to the caller, in bytes. Until then an
/// answer that breaks off can be replaced by that of another attempt.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body.
    Buffered(Full<Bytes>),
    /// A backend server's body that is passed on as it arrives.
    Streamed(Box<Streamed>),
}

/// A body that is streamed from a backend server.
#[derive(Debug)]
pub struct Streamed {
    buffered: VecDeque<Bytes>,
    remaining: Incoming,
    // Released at the end of the body.
    in_use: Option<(Connection, InFlight)>,
}

/// Result of reading a backend server's body up to the buffer's limit.
#[derive(Debug)]
pub enum ReadAnswer {
    /// A complete body, and the connection, which is free again.
    Buffered(Bytes, Connection),
    /// A body that is longer than the limit.
    Streamed(ResponseBody),
}

impl ResponseBody {
    /// Creates a body from bytes that are complete.
    #[must_use]
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        Self::Buffered(Full::new(bytes.into()))
    }
}

/// Reads a body until it ends or is too long to be buffered.
///
/// # Errors
/// When the connection fails before the body's end.
pub async fn read_answer(
    mut body: Incoming,
    connection: Connection,
    in_flight: InFlight,
) -> Result<ReadAnswer, hyper::Error> {
    let mut buffered = VecDeque::new();
    let mut bytes = 0;
    while bytes <= MAX_BUFFERED_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok(ReadAnswer::Buffered(concat(buffered, bytes), connection));
        };
        if let Ok(data) = frame?.into_data() {
            bytes += data.len();
            buffered.push_back(data);
        }
    }
    let streamed = Streamed { buffered, remaining: body, in_use: Some((connection, in_flight)) };
    Ok(ReadAnswer::Streamed(ResponseBody::Streamed(Box::new(streamed))))
}

fn concat(mut chunks: VecDeque<Bytes>, bytes: usize) -> Bytes {
    if chunks.len() <= 1 {
        return chunks.pop_front().unwrap_or_default();
    }
    let mut all = Vec::with_capacity(bytes);
    for data in chunks {
        all.extend_from_slice(&data);
    }
    Bytes::from(all)
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Streamed(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(body) => {
                let buffered: usize = body.buffered.iter().map(Bytes::len).sum();
                let remaining = body.remaining.size_hint();
                remaining
                    .exact()
                    .map_or_else(SizeHint::default, |exact| SizeHint::with_exact(exact + buffered as u64))
            }
        }
    }
}

impl Streamed {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(data) = self.buffered.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        let frame = std::task::ready!(Pin::new(&mut self.remaining).poll_frame(cx));
        if frame.is_none()
            && let Some((connection, in_flight)) = self.in_use.take()
        {
            in_flight.backend().pool.release(connection);
        }
        Poll::Ready(frame)
    }
}
