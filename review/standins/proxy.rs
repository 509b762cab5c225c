//! A link that can be cut: connections on both sides stay open, and nothing passes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    calls: Arc<AtomicUsize>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Self {
            address: listener.local_addr().expect("an address"),
            is_cut: Arc::default(),
            calls: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = accepting.clone();
                thread::spawn(move || {
                    let Ok(other) = TcpStream::connect(to) else { return };
                    let copies = stream.try_clone().and_then(|s| Ok((s, other.try_clone()?)));
                    let Ok((stream_copy, other_copy)) = copies else { return };
                    let back = proxy.clone();
                    thread::spawn(move || back.copy(other_copy, stream_copy));
                    proxy.copy(stream, other);
                });
            }
        });
        proxy
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Returns how often bytes have passed, in either direction.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        drop(to.set_nodelay(true));
        let mut bytes = [0; 16 << 10];
        while let Ok(count) = from.read(&mut bytes) {
            self.calls.fetch_add(1, Ordering::SeqCst);
            while self.is_cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        drop(to.shutdown(std::net::Shutdown::Both));
        drop(from.shutdown(std::net::Shutdown::Both));
    }
}
