//! Pool of connections to one backend server, each with one request at a time.

use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

use crate::forward::body::RequestBody;

/// Maximum number of open connections until the first plan has computed it from the number of senders.
const INITIAL_MAX_OPEN: usize = 32;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long an idle connection may take to be ready before another one is used.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Maximum size of a response head and of the buffer that responses are read into, in bytes, unless it is set.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// How long an idle connection is kept, below the ten seconds after which backend servers close theirs.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

/// How long bytes sent to a backend server may stay unacknowledged before the connection is closed: enough for
/// several retransmissions on the longest link, so that packet loss alone doesn't close it.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Idle time before the first TCP keep-alive probe, and the interval between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// An open connection that can carry one request. Dropping it closes it and so cancels the request on it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    task: AbortHandle,
    idle_since: Instant,
    max_idle_time: Duration,
    has_carried_answers: bool,
}

impl Connection {
    /// Returns whether an answer to an earlier request came on the connection, so that a late copy of it may follow.
    #[must_use]
    pub const fn has_carried_answers(&self) -> bool {
        self.has_carried_answers
    }

    /// Sets how long the backend server keeps the connection while it is idle.
    pub fn set_max_idle_time(&mut self, max_idle_time: Duration) {
        self.max_idle_time = max_idle_time.min(MAX_IDLE_TIME);
    }

    fn is_stale(&self) -> bool {
        self.idle_since.elapsed() >= self.max_idle_time
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

/// Connections to one backend server. The idle ones are kept with the most recently used last.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    open: Arc<AtomicUsize>,
    max_open: AtomicUsize,
    max_buffer_bytes: AtomicUsize,
    // 0 leaves the size to the kernel.
    receive_buffer_bytes: AtomicUsize,
    connect_us: AtomicU64,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            open: Arc::default(),
            max_open: AtomicUsize::new(INITIAL_MAX_OPEN),
            max_buffer_bytes: AtomicUsize::new(MAX_BUFFER_BYTES),
            receive_buffer_bytes: AtomicUsize::new(0),
            connect_us: AtomicU64::new(0),
        }
    }

    /// Returns the number of open connections, idle or in use.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns how long it took to open the newest connection; `None` before the first.
    pub fn last_connect_time(&self) -> Option<Duration> {
        Some(self.connect_us.load(Ordering::Relaxed)).filter(|us| *us > 0).map(Duration::from_micros)
    }

    /// Sets the maximum number of open connections. Connections beyond it close once they are idle.
    pub fn set_max_open(&self, max_open: usize) {
        self.max_open.store(max_open, Ordering::Relaxed);
    }

    /// Sets the size of the buffer that responses are read into, which bounds their heads, too.
    pub fn set_max_buffer(&self, bytes: usize) {
        self.max_buffer_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Sets the size of the kernel's receive buffer of new connections.
    pub fn set_receive_buffer(&self, bytes: usize) {
        self.receive_buffer_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Returns the most recently used idle connection, or opens a new one.
    ///
    /// # Errors
    /// Returns the reason when no connection is available. Nothing of the request was sent in that case.
    pub async fn acquire(&self) -> Result<Connection, String> {
        while let Some(mut connection) = self.pop() {
            if connection.is_stale() {
                continue;
            }
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(connection);
            }
        }
        self.connect().await
    }

    /// Returns a connection to the pool after a complete response.
    pub fn release(&self, mut connection: Connection) {
        let has_room = self.open_connections() <= self.max_open.load(Ordering::Relaxed);
        if has_room && !connection.is_closed() {
            connection.idle_since = Instant::now();
            connection.has_carried_answers = true;
            self.idle.lock().push(connection);
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.lock().clear();
    }

    /// Returns whether the backend server accepts a new connection at this moment.
    pub async fn accepts_connections(&self) -> bool {
        matches!(tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await, Ok(Ok(_)))
    }

    fn pop(&self) -> Option<Connection> {
        self.idle.lock().pop()
    }

    /// Closes connections that have been idle for too long.
    pub fn close_stale(&self) {
        self.idle.lock().retain(|connection| !connection.is_stale() && !connection.is_closed());
    }

    // The receive buffer must be set before the connection is made, since a window that was offered stays.
    fn socket(&self) -> std::io::Result<TcpSocket> {
        let socket = if self.address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        let bytes = self.receive_buffer_bytes.load(Ordering::Relaxed);
        if bytes > 0 {
            socket.set_recv_buffer_size(u32::try_from(bytes).unwrap_or(u32::MAX))?;
        }
        Ok(socket)
    }

    async fn connect(&self) -> Result<Connection, String> {
        let max_open = self.max_open.load(Ordering::Relaxed);
        let open_count = OpenCount::count(&self.open, max_open)
            .ok_or_else(|| format!("the limit of {max_open} open connections is reached"))?;
        let started_at = Instant::now();
        let socket = self.socket().map_err(|e| e.to_string())?;
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(self.address)).await;
        let stream = connect.map_err(|_elapsed| format!("no connection within {CONNECT_TIMEOUT:?}"))?;
        let stream = stream.map_err(|e| e.to_string())?;
        self.connect_us
            .store(u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX), Ordering::Relaxed);
        enable_dead_peer_detection(&stream, UNACKNOWLEDGED_TIMEOUT).map_err(|e| e.to_string())?;
        let max_buffer_bytes = self.max_buffer_bytes.load(Ordering::Relaxed);
        let handshake =
            http1::Builder::new().max_buf_size(max_buffer_bytes).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| e.to_string())?;
        let task = tokio::spawn(async move {
            // The request on the connection gets the error, if any.
            let _ended = connection.await;
            drop(open_count);
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            idle_since: Instant::now(),
            max_idle_time: MAX_IDLE_TIME,
            has_carried_answers: false,
        })
    }
}

/// Lets the kernel close a connection whose peer no longer responds, or takes no bytes for
/// `unacknowledged_timeout`.
///
/// # Errors
/// Returns an error when the kernel refuses a socket option.
pub fn enable_dead_peer_detection(
    stream: &TcpStream,
    unacknowledged_timeout: Duration,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacknowledged_timeout))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_RETRIES))
}

// Counts one open connection until it is dropped.
struct OpenCount(Arc<AtomicUsize>);

impl OpenCount {
    fn count(open: &Arc<AtomicUsize>, max_open: usize) -> Option<Self> {
        let before = open.fetch_add(1, Ordering::Relaxed);
        let counted = Self(Arc::clone(open));
        (before < max_open).then_some(counted)
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
