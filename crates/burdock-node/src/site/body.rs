//! Bodies of answers: held until they are whole where memory allows it, otherwise streamed.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use burdock_decide::body_memory::BodyUse;
use burdock_decide::time::Time;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::time::Sleep;

use crate::forward::pool::Connection;
use crate::observe::counters::Counter;
use crate::site::backend::InFlight;
use crate::site::memory::{BodyMemory, Reservation};
use crate::site::suspect::CrashReport;
use crate::site::{RequestGuard, SiteNode};

/// Size up to which an answer is held while there is memory for it, in bytes. A held answer frees its
/// backend server, however slowly the caller reads it.
const MAX_HELD_BYTES: usize = 1 << 20;

/// Size up to which an answer is held that others of its connection wait behind, in bytes. A few long answers
/// must not take all memory for bodies.
const MAX_HELD_FOR_OTHERS_BYTES: usize = 4 << 20;

/// Number of chunks from which held ones are joined, each once. Each chunk keeps the buffer that it was read
/// into.
const MAX_HELD_CHUNKS: usize = 64;

/// Size up to which held bytes are handed to the HTTP server at once.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// Body of an answer to a caller.
#[derive(Debug)]
pub struct ResponseBody {
    held: VecDeque<Bytes>,
    rest: Option<Box<Rest>>,
    // Released once the body was sent.
    in_use: InUse,
}

/// Reason for which the body of an answer ends early.
#[derive(Debug, Snafu)]
pub enum AnswerError {
    /// The backend server's connection failed.
    #[snafu(display("the backend server's answer broke off: {source}"))]
    Broken {
        /// Cause that the HTTP library reports.
        source: hyper::Error,
    },
    /// The request's deadline passed.
    #[snafu(display("the answer was incomplete at the deadline"))]
    Late,
}

/// Result of reading a backend server's body.
#[derive(Debug)]
pub enum ReadAnswer {
    /// A complete body, and the connection, which is free again.
    Whole(ResponseBody, Connection),
    /// A body of which a part is still to come.
    Partial(ResponseBody),
}

// The part of a body that the backend server has not sent yet.
#[derive(Debug)]
struct Rest {
    incoming: Incoming,
    deadline: Pin<Box<Sleep>>,
    // Released at the end of the body.
    source: Option<AnswerSource>,
    transit_bytes: usize,
}

/// Where an answer comes from.
#[derive(Debug)]
pub struct AnswerSource {
    /// Connection that the answer arrives on.
    pub connection: Connection,
    /// Counts the request as in flight at the backend server.
    pub in_flight: InFlight,
    /// Whether the connection may carry another request after the answer.
    pub is_reusable: bool,
    /// Whether the complete answer shows that the request crashes no backend server.
    pub is_success: bool,
    /// What to record if the backend server crashes before the answer's end.
    pub crash: CrashReport,
}

#[derive(Debug, Default)]
struct InUse {
    memory: Option<Reservation>,
    request: Option<RequestGuard>,
}

impl ResponseBody {
    /// Creates a body from bytes that are complete.
    #[must_use]
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        let held = if bytes.is_empty() { VecDeque::new() } else { VecDeque::from([bytes]) };
        Self { held, rest: None, in_use: InUse::default() }
    }

    /// Returns whether a part of the body is still to come from the backend server.
    #[must_use]
    pub const fn is_streamed(&self) -> bool {
        self.rest.is_some()
    }

    /// Reads what is still to come, as far as memory allows. What remains then is streamed as before.
    ///
    /// # Errors
    /// When the body breaks off. Nothing of it has been forwarded then.
    pub async fn hold_rest(&mut self, memory: &BodyMemory) -> Result<(), AnswerError> {
        let taken = self.in_use.memory.get_or_insert_with(|| memory.reserve());
        let mut bytes: usize = self.held.iter().map(Bytes::len).sum();
        while let Some(rest) = &mut self.rest
            && bytes <= MAX_HELD_FOR_OTHERS_BYTES
        {
            let Some(frame) = std::future::poll_fn(|cx| rest.poll(cx)).await else {
                self.rest = None;
                return Ok(());
            };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let length = data.len();
            bytes += length;
            self.held.push_back(data);
            if self.held.len() >= MAX_HELD_CHUNKS {
                self.held = VecDeque::from([concat(&self.held)]);
            }
            if !taken.try_grow(length, BodyUse::HeldAnswer) {
                taken.grow(length);
                return Ok(());
            }
        }
        Ok(())
    }

    /// Takes the request that is counted as in flight.
    pub fn take_request(&mut self) -> Option<RequestGuard> {
        self.in_use.request.take()
    }

    /// Counts a request as in flight until the body was sent or dropped.
    pub fn hold_request(&mut self, guard: RequestGuard) {
        self.in_use.request = Some(guard);
    }
}

/// Reads a body until it ends, or until it is too long to be held. What remains then is read as the caller
/// takes it, up to `deadline`.
///
/// # Errors
/// When the connection fails before the body's end.
pub async fn read_answer(
    mut incoming: Incoming,
    source: AnswerSource,
    node: &SiteNode,
    deadline: Time,
) -> Result<ReadAnswer, hyper::Error> {
    let (mut held, mut bytes, mut unjoined) = (VecDeque::new(), 0, 0);
    let mut memory = node.body_memory.reserve();
    loop {
        let Some(frame) = incoming.frame().await else {
            let in_use = InUse { memory: Some(memory), request: None };
            return Ok(ReadAnswer::Whole(ResponseBody { held, rest: None, in_use }, source.connection));
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let length = data.len();
        bytes += length;
        held.push_back(data);
        unjoined += 1;
        if unjoined >= MAX_HELD_CHUNKS {
            let joined = concat(&held.split_off(held.len() - unjoined));
            held.push_back(joined);
            unjoined = 0;
        }
        if bytes <= node.body_memory.always_held_bytes() {
            memory.grow(length);
        } else if bytes > MAX_HELD_BYTES || !memory.try_grow(length, BodyUse::HeldAnswer) {
            memory.grow(length + node.body_memory.transit_bytes());
            break;
        }
    }
    node.counters.add(Counter::AnswersStreamed);
    let rest = Rest {
        incoming,
        deadline: Box::pin(tokio::time::sleep_until(node.clock.instant(deadline))),
        source: Some(source),
        transit_bytes: node.body_memory.transit_bytes(),
    };
    let in_use = InUse { memory: Some(memory), request: None };
    Ok(ReadAnswer::Partial(ResponseBody { held, rest: Some(Box::new(rest)), in_use }))
}

fn concat(chunks: &VecDeque<Bytes>) -> Bytes {
    let mut all = Vec::with_capacity(chunks.iter().map(Bytes::len).sum());
    for data in chunks {
        all.extend_from_slice(data);
    }
    Bytes::from(all)
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let body = self.get_mut();
        if let Some(mut data) = body.held.pop_front() {
            // The HTTP server takes whole frames, so that small ones let it wait for the caller.
            if data.len() > MAX_FRAME_BYTES {
                body.held.push_front(data.split_off(MAX_FRAME_BYTES));
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        // What was held has been sent.
        if let Some(memory) = &mut body.in_use.memory {
            memory.shrink_to(body.rest.as_ref().map_or(0, |rest| rest.transit_bytes));
        }
        match &mut body.rest {
            Some(rest) => rest.poll(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let held: usize = self.held.iter().map(Bytes::len).sum();
        match &self.rest {
            None => SizeHint::with_exact(held as u64),
            Some(rest) => {
                let exact = rest.incoming.size_hint().exact();
                exact.map_or_else(SizeHint::default, |rest| SizeHint::with_exact(rest + held as u64))
            }
        }
    }
}

impl Rest {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(self.break_off(AnswerError::Late))));
        }
        match std::task::ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(source)) => Poll::Ready(Some(Err(self.break_off(AnswerError::Broken { source })))),
            None => {
                if let Some(source) = self.source.take() {
                    source.finish();
                }
                Poll::Ready(None)
            }
        }
    }

    // Closes the connection to the backend server, which cancels the request there.
    fn break_off(&mut self, e: AnswerError) -> AnswerError {
        if let Some(AnswerSource { crash, .. }) = self.source.take() {
            crash.backend.record_broken_answer(crash.node.clock.now());
            if matches!(&e, AnswerError::Broken { source } if !source.is_parse()) {
                crash.spawn();
            }
        }
        e
    }
}

impl AnswerSource {
    // Records that the answer is complete.
    fn finish(self) {
        if self.is_success {
            self.crash.suspect.clear(&self.crash.node);
        }
        if self.is_reusable {
            self.in_flight.backend().pool.release(self.connection);
        }
    }
}
