//! Bodies of answers: held until they are whole where memory allows it, otherwise streamed.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use burdock_decide::time::Time;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Sleep;

use crate::forward::pool::Connection;
use crate::site::backend::InFlight;
use crate::site::suspect::CrashReport;
use crate::site::{RequestGuard, SiteNode};

/// Size up to which every answer is held before any of it goes to the caller, in bytes. Until then one that
/// breaks off can be replaced by that of another attempt.
const ALWAYS_HELD_BYTES: usize = 64 << 10;

/// Size up to which an answer is held while [`AnswerMemory`] has room, in bytes. A held answer frees its
/// backend server, however slowly the caller reads it.
const MAX_HELD_BYTES: usize = 1 << 20;

/// Number of chunks from which held ones are joined. Each chunk keeps the buffer that it was read into.
const MAX_HELD_CHUNKS: usize = 64;

/// Size up to which held bytes are handed to the HTTP server at once.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// Memory for answers beyond [`ALWAYS_HELD_BYTES`] of all requests of an instance, in bytes.
const ANSWER_MEMORY_BYTES: usize = 16 << 20;

/// Unit in which answer memory is taken, in bytes.
const MEMORY_UNIT_BYTES: usize = 1 << 10;

/// Memory of an instance for the parts of answers that it holds.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    units: Arc<Semaphore>,
}

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
    memory: Option<OwnedSemaphorePermit>,
    request: Option<RequestGuard>,
}

impl Default for AnswerMemory {
    fn default() -> Self {
        Self { units: Arc::new(Semaphore::new(ANSWER_MEMORY_BYTES / MEMORY_UNIT_BYTES)) }
    }
}

impl AnswerMemory {
    /// Returns the memory that is free, in bytes.
    #[must_use]
    pub fn free_bytes(&self) -> usize {
        self.units.available_permits() * MEMORY_UNIT_BYTES
    }

    // Adds memory for `bytes` to `taken`. Returns `false` if there is none.
    fn take(&self, taken: &mut Option<OwnedSemaphorePermit>, bytes: usize) -> bool {
        let Ok(count) = u32::try_from(bytes.div_ceil(MEMORY_UNIT_BYTES)) else {
            return false;
        };
        let Ok(more) = Arc::clone(&self.units).try_acquire_many_owned(count) else {
            return false;
        };
        match taken {
            Some(permit) => permit.merge(more),
            None => *taken = Some(more),
        }
        true
    }
}

impl ResponseBody {
    /// Creates a body from bytes that are complete.
    #[must_use]
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        let held = if bytes.is_empty() { VecDeque::new() } else { VecDeque::from([bytes]) };
        Self { held, rest: None, in_use: InUse::default() }
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
    let (mut held, mut bytes, mut permit) = (VecDeque::new(), 0, None);
    while bytes <= ALWAYS_HELD_BYTES || (bytes <= MAX_HELD_BYTES && permit.is_some()) {
        let Some(frame) = incoming.frame().await else {
            let in_use = InUse { memory: permit, request: None };
            return Ok(ReadAnswer::Whole(ResponseBody { held, rest: None, in_use }, source.connection));
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let length = data.len();
        bytes += length;
        held.push_back(data);
        if held.len() >= MAX_HELD_CHUNKS {
            held = VecDeque::from([concat(&held)]);
        }
        if bytes > ALWAYS_HELD_BYTES && !node.answer_memory.take(&mut permit, length) {
            break;
        }
    }
    let rest = Rest {
        incoming,
        deadline: Box::pin(tokio::time::sleep_until(node.clock.instant(deadline))),
        source: Some(source),
    };
    let in_use = InUse { memory: permit, request: None };
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
        body.in_use.memory = None;
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
