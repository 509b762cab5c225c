//! A TCP link that can be cut, slowed or silenced.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;

/// How a link treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    Pass,
    /// Passes everything on after a while.
    Delay(Duration),
    /// Breaks every connection, and every new one at once.
    Cut,
    /// Keeps connections open and passes nothing on, in one direction or both.
    Silent {
        /// From the side that connects.
        forth: bool,
        /// To the side that connects.
        back: bool,
    },
}

/// Passes connections on to an address.
pub struct Link {
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Link {
    /// A link that is up.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (mode, watched) = watch::channel(Mode::Pass);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, watched.clone()));
            }
        });
        Self { address, mode }
    }

    /// Treats all connections in another way from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Breaks every connection, and every new one at once.
    pub fn cut(&self) {
        self.set(Mode::Cut);
    }

    /// Passes connections again.
    pub fn join(&self) {
        self.set(Mode::Pass);
    }
}

async fn pass(from: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Cut {
        return;
    }
    let Ok(to) = TcpStream::connect(target).await else {
        return;
    };
    let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
    let forth =
        copy(from_read, to_write, mode.clone(), |mode| matches!(mode, Mode::Silent { forth: true, .. }));
    let back =
        copy(to_read, from_write, mode.clone(), |mode| matches!(mode, Mode::Silent { back: true, .. }));
    // How a connection ends is seen at its ends.
    tokio::select! {
        _ended = futures::future::join(forth, back) => {}
        _cut = mode.wait_for(|mode| *mode == Mode::Cut) => {}
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<Mode>,
    is_silent: impl Fn(Mode) -> bool,
) -> io::Result<()> {
    let mut buf = vec![0; CHUNK];
    loop {
        let count = from.read(&mut buf).await?;
        let passing = mode.wait_for(|mode| !is_silent(*mode)).await.map(|mode| *mode);
        if let Ok(Mode::Delay(delay)) = passing {
            tokio::time::sleep(delay).await;
        }
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..count]).await?;
    }
}
