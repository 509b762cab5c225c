//! Detection of sessions whose other end no longer responds.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keep-alive probe, and the interval between two probes. Reports come more often, so
/// that probes are sent only on sessions that nothing else uses.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Number of unanswered probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// How long sent bytes may stay unacknowledged before the connection is closed: enough for several
/// retransmissions on the longest link.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Sends small messages at once, and lets the kernel close a connection whose other end no longer responds.
///
/// # Errors
/// When the kernel refuses a socket option.
pub fn enable_keep_alive(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_RETRIES))
}
