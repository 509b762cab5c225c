//! Free loopback ports for instances.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Lies below the ephemeral range, so that the system assigns no port between this check and the moment when
/// an instance binds it. Each test process has a range of its own.
const FIRST_PORT: u16 = 12_000;
const PORTS_PER_PROCESS: u16 = 300;
const PORT_RANGES: u32 = 64;

/// Returns the first of `count` consecutive free ports on the loopback interface.
pub fn find_free_ports(count: u16) -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let range = u16::try_from(std::process::id() % PORT_RANGES).expect("a small number");
    let first = FIRST_PORT + range * PORTS_PER_PROCESS;
    loop {
        let offset = NEXT.fetch_add(count, Ordering::Relaxed) % (PORTS_PER_PROCESS - count);
        let free = |port: u16| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
        if (first + offset..first + offset + count).all(free) {
            return first + offset;
        }
    }
}
