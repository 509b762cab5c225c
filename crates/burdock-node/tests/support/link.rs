//! A TCP link that can be cut.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Passes connections on to an address until it is cut.
pub struct Link {
    pub address: SocketAddr,
    up: watch::Sender<bool>,
}

impl Link {
    /// A link that is up.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (up, watched) = watch::channel(true);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, watched.clone()));
            }
        });
        Self { address, up }
    }

    /// Breaks every connection, and every new one at once.
    pub fn cut(&self) {
        self.up.send_replace(false);
    }

    /// Passes connections again.
    pub fn join(&self) {
        self.up.send_replace(true);
    }
}

async fn pass(mut from: TcpStream, target: SocketAddr, mut up: watch::Receiver<bool>) {
    if !*up.borrow() {
        return;
    }
    let Ok(mut to) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut from, &mut to) => {}
        _ = up.wait_for(|up| !up) => {}
    }
}
