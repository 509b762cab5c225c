//! A TCP forwarder that can break, delay or hold back its connections.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are read and forwarded at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// How a link treats its connections. The soak prints variants and fields through `Debug`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards everything.
    Pass,
    /// Forwards everything after a delay.
    Delay(Duration),
    /// Closes every connection, including new ones.
    Cut,
    /// Keeps connections open and forwards nothing in one direction or both.
    Silent {
        /// Holds back bytes from the connecting side.
        forth: bool,
        /// Holds back bytes to the connecting side.
        back: bool,
    },
}

/// Forwards connections to an address.
pub struct Link {
    pub address: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl Link {
    /// Starts a link that forwards to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (mode, watched) = watch::channel(LinkMode::Pass);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, watched.clone()));
            }
        });
        Self { address, mode }
    }

    /// Sets the mode of existing and new connections.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Closes every connection, including new ones.
    pub fn cut(&self) {
        self.set(LinkMode::Cut);
    }

    /// Forwards connections again.
    pub fn restore(&self) {
        self.set(LinkMode::Pass);
    }
}

async fn forward(from: TcpStream, target: SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    if *mode.borrow() == LinkMode::Cut {
        return;
    }
    let Ok(to) = TcpStream::connect(target).await else {
        return;
    };
    let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
    let forth =
        copy(from_read, to_write, mode.clone(), |mode| matches!(mode, LinkMode::Silent { forth: true, .. }));
    let back =
        copy(to_read, from_write, mode.clone(), |mode| matches!(mode, LinkMode::Silent { back: true, .. }));
    // Both ends observe how the connection closed, so copy errors are ignored.
    tokio::select! {
        _ended = futures::future::join(forth, back) => {}
        _cut = mode.wait_for(|mode| *mode == LinkMode::Cut) => {}
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<LinkMode>,
    is_silent: impl Fn(LinkMode) -> bool,
) -> io::Result<()> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        let passing = mode.wait_for(|mode| !is_silent(*mode)).await.map(|mode| *mode);
        if let Ok(LinkMode::Delay(delay)) = passing {
            tokio::time::sleep(delay).await;
        }
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..count]).await?;
    }
}
