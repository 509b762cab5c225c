//! A caller's connection that notices its end while a request runs, also with further requests behind it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Buf, BytesMut};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are read ahead of the protocol at most. A caller that sends more without waiting for answers is
/// not read further, and its end is noticed later.
const MAX_AHEAD: usize = 32 << 10;

/// Bytes read at once.
const READ_BYTES: usize = 4 << 10;

/// A connection whose bytes are read before the protocol asks for them.
#[derive(Clone, Debug)]
pub struct ReadAhead {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    ahead: BytesMut,
    ended: bool,
}

impl ReadAhead {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        let shared = Shared { stream, ahead: BytesMut::new(), ended: false };
        Self { shared: Arc::new(Mutex::new(shared)) }
    }

    /// Ready when the caller has closed its end.
    pub fn poll_ended(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.shared.lock().poll_ended(cx)
    }
}

impl Shared {
    fn poll_ended(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.ended && self.ahead.len() < MAX_AHEAD {
            let mut bytes = [0; READ_BYTES];
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => self.ahead.extend_from_slice(buf.filled()),
                Poll::Ready(_) => self.ended = true,
            }
        }
        if self.ended { Poll::Ready(()) } else { Poll::Pending }
    }
}

impl AsyncRead for ReadAhead {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut shared = self.shared.lock();
        if shared.ahead.is_empty() {
            if shared.ended {
                return Poll::Ready(Ok(()));
            }
            return Pin::new(&mut shared.stream).poll_read(cx, buf);
        }
        let count = shared.ahead.len().min(buf.remaining());
        buf.put_slice(&shared.ahead[..count]);
        shared.ahead.advance(count);
        if shared.ahead.is_empty() {
            // Gives the room back: most connections never hold anything here.
            shared.ahead = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ReadAhead {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.shared.lock().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.shared.lock().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.shared.lock().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.shared.lock().stream).poll_shutdown(cx)
    }
}
