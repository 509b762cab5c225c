//! A caller's connection that is read ahead of the HTTP server. Thus the caller's end of the connection is
//! noticed while a request runs, even if pipelined requests come before the end.
//!
//! A caller that closes its sending side may still wait for its answer, and its end looks the same as that of a
//! caller that is gone. Only a system without a reader answers further bytes with a reset. So the first byte of
//! the answer, which is the same for every answer, is sent at once.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Maximum number of bytes that are read ahead of the HTTP server. A caller that sends more without waiting
/// for answers is not read further, and its end is noticed later.
const MAX_AHEAD_BYTES: usize = 32 << 10;

/// Time after which a connection is closed whose caller takes none of an answer's bytes.
pub const MAX_WRITE_STALL: Duration = Duration::from_secs(10);

/// Interval at which a connection whose caller has closed its sending side is checked for a reset. The end of
/// the caller's bytes hides a reset from reads.
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// First byte of every answer: that of the protocol's name.
const FIRST_BYTE: u8 = b'H';

/// Maximum number of bytes that one read takes from the socket.
const READ_CHUNK_BYTES: usize = 4 << 10;

/// A TCP connection whose bytes can be read before the HTTP server asks for them.
#[derive(Clone, Debug)]
pub struct ReadAhead {
    shared: Arc<Mutex<Shared>>,
}

/// Callback that receives all bytes of a connection, once and in order.
pub type OnBytes = Box<dyn FnMut(&[u8]) + Send>;

struct Shared {
    stream: TcpStream,
    // Runs while the caller takes no bytes.
    write_stall: Option<Pin<Box<Sleep>>>,
    // Bytes that were read and that the HTTP server has not taken yet.
    ahead: BytesMut,
    input: Input,
    reset_check: Option<Pin<Box<Sleep>>>,
    // The first byte of the next answer has been sent.
    first_byte_sent: bool,
    on_bytes: OnBytes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    Open,
    // The caller has closed its sending side.
    Closed,
    // The connection failed.
    Failed,
}

/// Result of reading ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Filled {
    /// Bytes that the HTTP server has not seen yet.
    Bytes,
    /// The caller has closed its sending side. The caller of [`ReadAhead::poll_fill`] must poll the HTTP server.
    HalfClosed,
    /// The connection failed, or its caller no longer reads from it.
    Ended,
}

impl ReadAhead {
    /// Wraps a connection. `on_bytes` receives all bytes that are read from it.
    #[must_use]
    pub fn new(stream: TcpStream, on_bytes: OnBytes) -> Self {
        let shared = Shared {
            stream,
            write_stall: None,
            ahead: BytesMut::new(),
            input: Input::Open,
            reset_check: None,
            first_byte_sent: false,
            on_bytes,
        };
        Self { shared: Arc::new(Mutex::new(shared)) }
    }

    /// Reads the bytes that have arrived. On [`Filled::Bytes`] the caller must poll the HTTP server, whose
    /// task is not woken for them.
    pub fn poll_fill(&self, cx: &mut Context<'_>) -> Poll<Filled> {
        self.shared.lock().poll_fill(cx)
    }

    /// Sends the first byte of the next answer ahead of the answer, so that the system of a caller that is gone
    /// resets the connection. Must be called only while a request is at work, when the HTTP server has written all
    /// earlier answers.
    pub fn send_first_byte(&self) {
        let mut shared = self.shared.lock();
        // Bytes of an earlier answer that wait for the caller have the same effect.
        if !shared.first_byte_sent && shared.write_stall.is_none() {
            shared.first_byte_sent = matches!(shared.stream.try_write(&[FIRST_BYTE]), Ok(1));
        }
    }
}

impl Shared {
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<Filled> {
        match self.input {
            Input::Open => {}
            Input::Closed => return self.poll_reset(cx).map(|()| Filled::Ended),
            Input::Failed => return Poll::Ready(Filled::Ended),
        }
        if self.ahead.len() >= MAX_AHEAD_BYTES {
            return Poll::Pending;
        }
        let mut bytes = [0; READ_CHUNK_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        match std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf)) {
            Ok(()) if !buf.filled().is_empty() => {
                (self.on_bytes)(buf.filled());
                self.ahead.extend_from_slice(buf.filled());
                Poll::Ready(Filled::Bytes)
            }
            Ok(()) => {
                self.input = Input::Closed;
                Poll::Ready(Filled::HalfClosed)
            }
            Err(_) => {
                self.input = Input::Failed;
                Poll::Ready(Filled::Ended)
            }
        }
    }

    // Ready once the caller's system has reset the connection.
    fn poll_reset(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if !matches!(self.stream.take_error(), Ok(None)) {
                self.input = Input::Failed;
                return Poll::Ready(());
            }
            let check =
                self.reset_check.get_or_insert_with(|| Box::pin(tokio::time::sleep(RESET_CHECK_INTERVAL)));
            std::task::ready!(check.as_mut().poll(cx));
            self.reset_check = None;
        }
    }

    // Writes an answer whose first byte has been sent already.
    fn poll_write_rest(&mut self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let Some((&FIRST_BYTE, rest)) = buf.split_first() else {
            return Poll::Ready(Err(io::Error::other("an answer does not begin as all others do")));
        };
        let written = match rest {
            [] => 0,
            rest => std::task::ready!(Pin::new(&mut self.stream).poll_write(cx, rest))?,
        };
        self.first_byte_sent = false;
        Poll::Ready(Ok(written + 1))
    }

    // Fails once the caller has taken no bytes for too long. An answer that waits holds memory.
    fn check_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_stall = None;
            return written;
        }
        let stall = self.write_stall.get_or_insert_with(|| Box::pin(tokio::time::sleep(MAX_WRITE_STALL)));
        std::task::ready!(stall.as_mut().poll(cx));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the caller takes no bytes")))
    }

    fn poll_read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) {
            (self.on_bytes)(&buf.filled()[before..]);
        }
        read
    }
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { stream, ahead, input, .. } = self;
        f.debug_struct("Shared")
            .field("stream", stream)
            .field("ahead", &ahead.len())
            .field("input", input)
            .finish_non_exhaustive()
    }
}

impl AsyncRead for ReadAhead {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut shared = self.shared.lock();
        if shared.ahead.is_empty() {
            if shared.input != Input::Open {
                return Poll::Ready(Ok(()));
            }
            return shared.poll_read(cx, buf);
        }
        let count = shared.ahead.len().min(buf.remaining());
        buf.put_slice(&shared.ahead[..count]);
        shared.ahead.advance(count);
        if shared.ahead.is_empty() {
            // Frees the buffer: most connections never need it.
            shared.ahead = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ReadAhead {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let mut shared = self.shared.lock();
        let written = if shared.first_byte_sent && !buf.is_empty() {
            shared.poll_write_rest(cx, buf)
        } else {
            Pin::new(&mut shared.stream).poll_write(cx, buf)
        };
        shared.check_write(cx, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.shared.lock();
        let first = bufs.iter().find(|buf| !buf.is_empty()).filter(|_| shared.first_byte_sent);
        let written = match first {
            Some(buf) => shared.poll_write_rest(cx, buf),
            None => Pin::new(&mut shared.stream).poll_write_vectored(cx, bufs),
        };
        shared.check_write(cx, written)
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
