//! Body of a caller's request, behind which further requests may arrive on its connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::site::pipeline::Pipeline;

/// Maximum size of the rest of a refused body that is read so that its connection stays usable, in bytes. Longer
/// ones cost more than a new connection.
const MAX_DISCARDED_BYTES: u64 = 64 << 10;

/// Time within which the rest of a refused body must arrive.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of a caller's request that is still to be read. hyper closes the connection if a body is dropped before it
/// was read, so requests behind it start only once it was read to its end.
#[derive(Debug)]
pub struct CallerBody {
    incoming: Incoming,
    pipeline: Arc<Pipeline>,
    // Position of the request on its connection.
    position: u64,
}

impl CallerBody {
    /// Wraps the body of the request that hyper took over last. `None` if it has none.
    #[must_use]
    pub fn new(incoming: Incoming, pipeline: Arc<Pipeline>) -> Option<Self> {
        if incoming.is_end_stream() {
            return None;
        }
        let position = pipeline.begin_body();
        Some(Self { incoming, pipeline, position })
    }

    /// Returns the next frame, `None` at the end.
    ///
    /// # Errors
    /// When the caller's connection fails.
    pub async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        let frame = self.incoming.frame().await;
        // hyper does not report the end of a body whose length is known.
        if frame.is_none() || self.incoming.is_end_stream() {
            self.pipeline.end_body(self.position);
        }
        frame
    }

    /// Reads and drops the rest of a refused body while the refusal is sent, so that the connection can serve the
    /// requests behind it. The connection closes if the rest is long or late.
    pub fn discard(self) {
        let is_long = self.incoming.size_hint().exact().is_some_and(|bytes| bytes > MAX_DISCARDED_BYTES);
        if !is_long {
            tokio::spawn(tokio::time::timeout(DISCARD_TIMEOUT, self.read_rest()));
        }
    }

    async fn read_rest(mut self) {
        let mut bytes = 0;
        while bytes <= MAX_DISCARDED_BYTES
            && let Some(Ok(frame)) = self.frame().await
        {
            bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
        }
    }

    /// Returns what is left of the body. Requests behind it wait for their turn.
    pub fn into_incoming(self) -> Incoming {
        self.incoming
    }
}
