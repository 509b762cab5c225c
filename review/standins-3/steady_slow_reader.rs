//! Clients read a long answer slowly and without a pause, within their time budget. The answer was whole at the
//! process at once. Every other request may run only once.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::base::{Node, Record, TIME_IN_TOUCH, TempDir, read_message, read_more, request, take_head};
use crate::platform::{Store, manifest};
use crate::upstream::{self, Behaviour, Runs};

const CLIENTS: usize = 6;
const ANSWER_BYTES: usize = 90_000;
const DEADLINE_MS: u64 = 20_000;
const TIMEOUT_S: u32 = 20;

/// Receive buffer of a slow client, which the kernel doubles.
const RECEIVE_BUFFER_BYTES: i32 = 2048;

/// What a slow client reads at once and the time it takes for it: somewhat under 10 KB/s, so about 13 s for the answer.
const READ_BYTES: usize = 1000;
const READ_TIME: Duration = Duration::from_millis(100);

/// Number of requests that may be lost so: the rule says "more than three times".
const MAX_LOST: usize = 3;

/// Returns what broke the rule, if anything did.
pub fn run(record: &Record, is_disrupted: bool) -> std::io::Result<Option<String>> {
    let dir = TempDir::create()?;
    let store = Store::start()?;
    store.publish(
        "op/config",
        &manifest(
            7,
            &[
                ("reads", "/read/", "idempotent", TIMEOUT_S),
                ("commands", "/cmd/", "non_idempotent", TIMEOUT_S),
            ],
        ),
    );
    let runs = Runs::default();
    for nth in 1..=4 {
        let behaviour = Behaviour { work: Duration::from_millis(30), broken_after: None };
        upstream::start(&store, &format!("i-{nth}"), behaviour, &runs, record)?;
    }
    let node = Node::start(&dir.0, "edge-riga-a-1", store.address, 6)?;
    node.wait_until_ready()?;
    std::thread::sleep(TIME_IN_TOUCH);

    let lost = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for nth in 0..CLIENTS {
        let mut stream = if is_disrupted {
            connect_with_small_buffer(node.front)?
        } else {
            TcpStream::connect(node.front)?
        };
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let mut buf = Vec::new();
        stream.write_all(&request("GET", "/read/20", &format!("first-{nth}"), DEADLINE_MS, None))?;
        if read_message(&mut stream, &mut buf)?.is_none_or(|(head, _)| head.status() != 200) {
            return Err(std::io::Error::other("a first request was not served"));
        }
        let (record, lost) = (record.clone(), Arc::clone(&lost));
        clients.push(std::thread::spawn(move || {
            let (received, end) = read_answer(&mut stream, nth, is_disrupted, &record);
            record.line(&format!("client {nth}: {received} of {ANSWER_BYTES} bytes, then {end}"));
            if received < ANSWER_BYTES {
                lost.lock().unwrap().push(nth);
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let lost = lost.lock().unwrap().len();
    Ok((lost > MAX_LOST).then(|| {
        format!("LOST: {lost} requests were passed on from kept connections to a sound upstream, which answered at once, and \
                 the connections were closed without a complete answer, while the client read on and within its time \
                 budget; {MAX_LOST} are allowed")
    }))
}

fn read_answer(stream: &mut TcpStream, nth: usize, is_slow: bool, record: &Record) -> (usize, String) {
    let (id, started_at) = (format!("long-{nth}"), Instant::now());
    let (method, route, body) =
        if nth % 2 == 0 { ("GET", "read", None) } else { ("POST", "cmd", Some(&[][..])) };
    let path = format!("/{route}/{ANSWER_BYTES}");
    record.line(&format!("client {nth} sends {method} {path} as {id} with {DEADLINE_MS} ms"));
    if let Err(e) = stream.write_all(&request(method, &path, &id, DEADLINE_MS, body)) {
        return (0, e.to_string());
    }
    let (mut buf, mut has_head) = (Vec::new(), false);
    loop {
        if !has_head && let Some(head) = take_head(&mut buf) {
            record.line(&format!("client {nth} gets {} for {}", head.line, head.id()));
            has_head = true;
        }
        let received = if has_head { buf.len() } else { 0 };
        if received >= ANSWER_BYTES {
            return (ANSWER_BYTES, format!("complete after {:.1} s", started_at.elapsed().as_secs_f64()));
        }
        if is_slow {
            std::thread::sleep(READ_TIME);
        }
        match read_more(stream, &mut buf, READ_BYTES) {
            Ok(true) => {}
            Ok(false) => {
                return (
                    received,
                    format!("the end of the connection after {:.1} s", started_at.elapsed().as_secs_f64()),
                );
            }
            Err(e) => return (received, format!("{e} after {:.1} s", started_at.elapsed().as_secs_f64())),
        }
    }
}

// The receive buffer must be set before the connection is made, since a window that was offered stays.
fn connect_with_small_buffer(to: SocketAddr) -> std::io::Result<TcpStream> {
    #[repr(C)]
    struct Address {
        family: u16,
        port: [u8; 2],
        ip: [u8; 4],
        padding: [u8; 8],
    }
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(fd: i32, address: *const Address, length: u32) -> i32;
    }
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let address = Address {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        ip: [127, 0, 0, 1],
        padding: [0; 8],
    };
    let bytes = RECEIVE_BUFFER_BYTES;
    // The pointers are to values of the stated sizes, and the descriptor is owned by the stream from then on.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, 4) != 0 || connect(fd, &address, 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}
