//! Bodies of answers: held in whole where they are short, else passed on as they come.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::forward::pool::Connection;
use crate::site::backend::InFlight;

/// The longest body that is held before any of it goes to the caller, so that a break is noticed in time for
/// another attempt.
const HELD_BYTES: usize = 64 << 10;

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Full<Bytes>),
    /// A backend server's, as it comes.
    Streamed(Box<Streamed>),
}

/// A body on its way from a backend server.
#[derive(Debug)]
pub struct Streamed {
    held: VecDeque<Bytes>,
    rest: Incoming,
    at_work: Option<(Connection, InFlight)>,
}

/// A body as far as it was read.
#[derive(Debug)]
pub enum Held {
    /// All of it, and the connection, which is free again.
    Whole(Bytes, Connection),
    /// A long one.
    Long(AnswerBody),
}

impl AnswerBody {
    /// A body that is all here.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

/// Reads a body until it ends or is too long to be held.
///
/// # Errors
/// When it breaks off.
pub async fn hold(
    mut body: Incoming,
    connection: Connection,
    in_flight: InFlight,
) -> Result<Held, hyper::Error> {
    let mut held = VecDeque::new();
    let mut bytes = 0;
    while bytes <= HELD_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok(Held::Whole(joined(held, bytes), connection));
        };
        if let Ok(data) = frame?.into_data() {
            bytes += data.len();
            held.push_back(data);
        }
    }
    let streamed = Streamed { held, rest: body, at_work: Some((connection, in_flight)) };
    Ok(Held::Long(AnswerBody::Streamed(Box::new(streamed))))
}

fn joined(mut held: VecDeque<Bytes>, bytes: usize) -> Bytes {
    if held.len() <= 1 {
        return held.pop_front().unwrap_or_default();
    }
    let mut all = Vec::with_capacity(bytes);
    for data in held {
        all.extend_from_slice(&data);
    }
    Bytes::from(all)
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Streamed(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Streamed(body) => {
                let held: usize = body.held.iter().map(Bytes::len).sum();
                let rest = body.rest.size_hint();
                rest.exact().map_or_else(SizeHint::default, |exact| SizeHint::with_exact(exact + held as u64))
            }
        }
    }
}

impl Streamed {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(data) = self.held.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        let frame = std::task::ready!(Pin::new(&mut self.rest).poll_frame(cx));
        if frame.is_none()
            && let Some((connection, in_flight)) = self.at_work.take()
        {
            in_flight.backend().pool.release(connection);
        }
        Poll::Ready(frame)
    }
}
