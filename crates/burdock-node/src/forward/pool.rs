//! Connections to one backend server: one request at a time on each.

use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::forward::body::RequestBody;

/// Connections to one backend server before the first plan has counted the senders.
const FIRST_LIMIT: usize = 32;

/// The longest time to connect.
const CONNECT_LIMIT: Duration = Duration::from_millis(1000);

/// The longest that a used connection may take to be ready again before another is taken.
const READY_LIMIT: Duration = Duration::from_millis(5);

/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// How long a connection is kept idle, below the ten seconds after which backend servers close theirs.
const IDLE_LIMIT: Duration = Duration::from_secs(8);

/// How long sent bytes may stay unacknowledged before a connection counts as broken: several retransmissions
/// on the longest link, so that lost packets alone don't break it.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1500);

/// Idle time before the system asks whether the other end is still there, and the time between two questions.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Unanswered questions after which the other end counts as gone.
const KEEPALIVE_RETRIES: u32 = 2;

/// A connection that is free for one request. Dropping it closes it, and thereby ends the request on it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    task: AbortHandle,
    idle_since: Instant,
    idle_limit: Duration,
}

impl Connection {
    /// Sets how long the other end keeps the connection when idle.
    pub fn set_idle_limit(&mut self, limit: Duration) {
        self.idle_limit = limit.min(IDLE_LIMIT);
    }

    fn is_stale(&self) -> bool {
        self.idle_since.elapsed() >= self.idle_limit
    }
}

impl Deref for Connection {
    type Target = SendRequest<RequestBody>;

    fn deref(&self) -> &Self::Target {
        &self.sender
    }
}

impl DerefMut for Connection {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.sender
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections that are open and idle, newest last.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    open: Arc<AtomicUsize>,
    limit: AtomicUsize,
    connect_us: AtomicU64,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            open: Arc::default(),
            limit: AtomicUsize::new(FIRST_LIMIT),
            connect_us: AtomicU64::new(0),
        }
    }

    /// Connections that are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// How long the last connection took to be made; `None` before the first.
    pub fn connect_time(&self) -> Option<Duration> {
        Some(self.connect_us.load(Ordering::Relaxed)).filter(|us| *us > 0).map(Duration::from_micros)
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
            if connection.is_stale() {
                continue;
            }
            let ready = tokio::time::timeout(READY_LIMIT, connection.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(connection);
            }
        }
        self.connect().await
    }

    /// Puts a connection back after a whole answer.
    pub fn put(&self, mut connection: Connection) {
        let within = self.open() <= self.limit.load(Ordering::Relaxed);
        if within && !connection.is_closed() {
            connection.idle_since = Instant::now();
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

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        self.idle.lock().retain(|connection| !connection.is_stale() && !connection.is_closed());
    }

    async fn connect(&self) -> Result<Connection, String> {
        let limit = self.limit.load(Ordering::Relaxed);
        let opened =
            Opened::count(&self.open, limit).ok_or_else(|| format!("{limit} connections are open"))?;
        let began = Instant::now();
        let connect = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(self.address)).await;
        let stream = connect.map_err(|_elapsed| format!("no connection within {CONNECT_LIMIT:?}"))?;
        let stream = stream.map_err(|e| e.to_string())?;
        self.connect_us
            .store(u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX), Ordering::Relaxed);
        detect_silence(&stream).map_err(|e| e.to_string())?;
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| e.to_string())?;
        let task = tokio::spawn(async move {
            // How it ends is seen by the request that was on it.
            let _ended = connection.await;
            drop(opened);
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            idle_since: Instant::now(),
            idle_limit: IDLE_LIMIT,
        })
    }
}

/// Has the system find out by itself when the other end of a connection falls silent.
///
/// # Errors
/// When the system refuses a socket option.
pub fn detect_silence(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_TIME);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_RETRIES))
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
