//! Connections to one backend server: one request at a time on each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::forward::body::RequestBody;

/// Connections to one backend server before the first plan has counted the senders.
const FIRST_LIMIT: usize = 32;

/// The longest time to connect.
const CONNECT_LIMIT: Duration = Duration::from_millis(1000);

/// The longest that a used connection may take to be ready again before another is taken.
const READY_LIMIT: Duration = Duration::from_millis(5);

/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A connection that is free for one request.
pub type Connection = SendRequest<RequestBody>;

/// Connections that are open and idle, newest last.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    open: Arc<AtomicUsize>,
    limit: AtomicUsize,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::default(), open: Arc::default(), limit: AtomicUsize::new(FIRST_LIMIT) }
    }

    /// Connections that are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Changes how many may be open. Those beyond it go as they come to rest.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// A free connection: the one used last, or a new one.
    ///
    /// # Errors
    /// What was seen, when no connection can be had. Nothing was sent then.
    pub async fn take(&self) -> Result<Connection, String> {
        while let Some(mut connection) = self.pop() {
            let ready = tokio::time::timeout(READY_LIMIT, connection.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(connection);
            }
        }
        self.connect().await
    }

    /// Puts a connection back after a whole answer.
    pub fn put(&self, connection: Connection) {
        let within = self.open() <= self.limit.load(Ordering::Relaxed);
        if within && !connection.is_closed() {
            self.idle.lock().push(connection);
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.lock().clear();
    }

    /// Whether a new connection is accepted at this moment.
    pub async fn accepts(&self) -> bool {
        matches!(tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(self.address)).await, Ok(Ok(_)))
    }

    fn pop(&self) -> Option<Connection> {
        self.idle.lock().pop()
    }

    async fn connect(&self) -> Result<Connection, String> {
        let limit = self.limit.load(Ordering::Relaxed);
        let opened =
            Opened::count(&self.open, limit).ok_or_else(|| format!("{limit} connections are open"))?;
        let connect = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(self.address)).await;
        let stream = connect.map_err(|_elapsed| format!("no connection within {CONNECT_LIMIT:?}"))?;
        let stream = stream.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| e.to_string())?;
        tokio::spawn(async move {
            // How it ends is seen by the request that was on it.
            let _ended = connection.await;
            drop(opened);
        });
        Ok(sender)
    }
}

// Counts one open connection until it is dropped.
struct Opened(Arc<AtomicUsize>);

impl Opened {
    fn count(open: &Arc<AtomicUsize>, limit: usize) -> Option<Self> {
        let before = open.fetch_add(1, Ordering::Relaxed);
        let counted = Self(Arc::clone(open));
        (before < limit).then_some(counted)
    }
}

impl Drop for Opened {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
