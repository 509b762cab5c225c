//! LOST: a SIGTERM while clients send idempotent requests behind others on kept connections.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deployment::{
    HOST, Instance, Record, SIGTERM, connect_as_over_ethernet, publish_manifest, register_upstream, route,
};
use crate::http::{self, Response};
use crate::platform::Store;

const CLIENTS: usize = 8;
const ROUNDS: usize = 6;
const ANSWER_BYTES: usize = 300_000;
const BODY_BYTES: usize = 100_000;
/// Answers arrive at the speed of a link of 100 Mbit/s.
const BYTES_PER_S: f64 = 12_500_000.0;
const WORK: Duration = Duration::from_millis(200);

type Ran = Arc<Mutex<Vec<String>>>;

pub fn run(record: &Record, with_trouble: bool) -> bool {
    let store = Store::start();
    let ran = Ran::default();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    register_upstream(&store, "i-7f3a91c2", "agenda", "almaty-a", listener.local_addr().unwrap());
    let runs = Arc::clone(&ran);
    http::serve(listener, move |req, _| {
        let id = req.header("x-burdockcroft-attempt-id").to_owned();
        runs.lock().unwrap().push(id.clone());
        std::thread::sleep(WORK);
        let headers = vec![
            ("X-Burdockcroft-Attempt-Id".to_owned(), id),
            ("X-Burdockcroft-Response-Seal".to_owned(), "3e1b.07".to_owned()),
        ];
        let bytes = if req.method == "GET" { ANSWER_BYTES } else { 400 };
        Response { status: 200, headers, body: vec![b'x'; bytes] }
    });
    let routes = [route("schedule", "/schedule/", "idempotent", "agenda", 5.0, true)];
    publish_manifest(&store, 3, &routes, &["agenda"], &[]);
    let instance = Instance::start("edge-almaty-a-1", "almaty", "almaty-a", store.address, "");
    instance.wait_until_ready();
    std::thread::sleep(Duration::from_secs(2));
    let (front, started_at) = (instance.front, Instant::now());
    let clients: Vec<_> =
        (0..CLIENTS).map(|nth| std::thread::spawn(move || run_client(front, nth, started_at))).collect();
    std::thread::sleep(Duration::from_millis(1100));
    if with_trouble {
        record.line("SIGTERM to edge-almaty-a-1");
        instance.signal(SIGTERM);
    }
    let mut lost = 0;
    for client in clients {
        for (id, text, is_whole) in client.join().unwrap() {
            let has_run = ran.lock().unwrap().contains(&id);
            let is_lost = !is_whole && has_run;
            record.line(&format!(
                "{id}: {text}{}",
                if is_lost {
                    "; it was passed on and run: LOST"
                } else if is_whole {
                    ""
                } else {
                    "; it was not passed on"
                }
            ));
            lost += usize::from(is_lost);
        }
    }
    record.line(&format!(
        "{lost} requests that an upstream had run and answered ended without a complete answer"
    ));
    lost == 0
}

// Sends in each round a GET and, behind it, an idempotent POST. Ends with its connection.
fn run_client(to: SocketAddr, client: usize, started_at: Instant) -> Vec<(String, String, bool)> {
    // The clients are at different points of their rounds when the SIGTERM comes.
    std::thread::sleep(WORK.mul_f64(2.0 * client as f64 / CLIENTS as f64));
    let stream = connect_as_over_ethernet(to, 64 << 10);
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    let mut from = BufReader::new(&stream);
    let mut results = Vec::new();
    for round in 0..ROUNDS {
        let (first, behind) = (format!("{client}-{round}-first"), format!("{client}-{round}-behind"));
        let mut bytes = format!(
            "GET /schedule/{first} HTTP/1.1\r\nHost: {HOST}\r\nX-Burdockcroft-Attempt-Id: {first}\r\n\
             X-Burdockcroft-Deadline-Ms: 10000\r\n\r\n\
             POST /schedule/{behind} HTTP/1.1\r\nHost: {HOST}\r\nX-Burdockcroft-Attempt-Id: {behind}\r\n\
             X-Burdockcroft-Deadline-Ms: 10000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        )
        .into_bytes();
        bytes.resize(bytes.len() + BODY_BYTES, b'q');
        let mut writer = stream.try_clone().unwrap();
        let writing = std::thread::spawn(move || writer.write_all(&bytes).is_ok());
        for id in [first, behind] {
            let (text, is_whole, is_closing) = read_answer(&mut from);
            let at = started_at.elapsed().as_secs_f64();
            results.push((id, format!("{text} at {at:.2} s"), is_whole));
            if is_closing {
                // What was sent behind a response that closes the connection counts as not read.
                return results;
            }
        }
        let _ = writing.join();
    }
    results
}

// Returns what came, whether it is a complete answer, and whether the connection ends with it.
fn read_answer(from: &mut impl std::io::BufRead) -> (String, bool, bool) {
    let (start, headers) = match http::read_head(from) {
        Ok(Some(head)) => head,
        Ok(None) => return ("closed without an answer".to_owned(), false, true),
        Err(e) => return (format!("no answer: {}", e.kind()), false, true),
    };
    let value =
        |name: &str| headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v);
    let length: usize = value("content-length").parse().unwrap_or(0);
    let is_closing = value("connection").eq_ignore_ascii_case("close");
    let close = if is_closing { " with Connection: close" } else { "" };
    let status = start.split(' ').nth(1).unwrap_or("").to_owned();
    let (mut read, mut end) = (0, String::new());
    let mut chunk = vec![0; 16 << 10];
    let began_at = Instant::now();
    while read < length {
        std::thread::sleep(
            Duration::from_secs_f64(read as f64 / BYTES_PER_S).saturating_sub(began_at.elapsed()),
        );
        let wanted = chunk.len().min(length - read);
        match from.read(&mut chunk[..wanted]) {
            Ok(0) => {
                end = ", then the end".to_owned();
                break;
            }
            Ok(count) => read += count,
            Err(e) => {
                end = format!(", then {}", e.kind());
                break;
            }
        }
    }
    (format!("{status}{close}, {read} of {length} bytes{end}"), read == length, is_closing || read < length)
}
