//! Free ports for instances.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below the range that the system hands out by itself, so that nobody takes one between this look and the moment
/// when an instance binds it. Each test process has a part of its own.
const FIRST_PORT: u16 = 12_000;
const PORTS_PER_PROCESS: u16 = 300;
const PARTS: u32 = 64;

/// The first of some free ports in a row on the loopback interface.
pub fn free_ports(count: u16) -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let part = u16::try_from(std::process::id() % PARTS).expect("a small number");
    let first = FIRST_PORT + part * PORTS_PER_PROCESS;
    loop {
        let offset = NEXT.fetch_add(count, Ordering::Relaxed) % (PORTS_PER_PROCESS - count);
        let free = |port: u16| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
        if (first + offset..first + offset + count).all(free) {
            return first + offset;
        }
    }
}
