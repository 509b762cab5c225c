//! LOST: a SIGTERM while clients still read their answers slowly.

use std::io::{BufReader, Read, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::deployment::{
    HOST, Instance, Record, SIGTERM, connect_as_over_ethernet, publish_manifest, register_upstream, route,
};
use crate::http::{self, Response};
use crate::platform::Store;

const INSTANCES: usize = 24;
/// The answers differ in length, so that their ends meet the buffers of the connection in different states.
const STEP: usize = 4_000;
const ANSWER_BYTES: usize = 940_000;
/// At this rate the answers are read within 5.2 to 5.7 s, less than `grace_s`.
const BYTES_PER_S: f64 = 180_000.0;
const GRACE: Duration = Duration::from_secs(6);

pub fn run(record: &Record, with_trouble: bool) -> bool {
    let store = Store::start();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    register_upstream(&store, "i-7f3a91c2", "agenda", "almaty-a", listener.local_addr().unwrap());
    let log = Arc::new(std::sync::Mutex::new(Vec::new()));
    let runs = Arc::clone(&log);
    http::serve(listener, move |req, _| {
        let id = req.header("x-burdockcroft-attempt-id").to_owned();
        let bytes: usize = id.split('-').next().unwrap().parse().unwrap();
        runs.lock().unwrap().push(format!("upstream i-7f3a91c2 runs {id} and answers {bytes} bytes"));
        Response {
            status: 200,
            headers: vec![
                ("X-Burdockcroft-Attempt-Id".to_owned(), id),
                ("X-Burdockcroft-Response-Seal".to_owned(), "3e1b.07".to_owned()),
            ],
            body: vec![b'x'; bytes],
        }
    });
    let routes = [route("schedule", "/schedule/", "idempotent", "agenda", 12.0, false)];
    let tenant =
        "{\"name\":\"huka270\",\"api_keys\":[\"xd9dnn2ctnfzs989anu6\"],\"rate_per_s\":0,\"burst\":0}"
            .to_owned();
    publish_manifest(&store, 3, &routes, &["agenda"], &[tenant]);
    let mut instances: Vec<Instance> = (1..=INSTANCES)
        .map(|nth| Instance::start(&format!("edge-almaty-a-{nth}"), "almaty", "almaty-a", store.address, ""))
        .collect();
    instances.iter().for_each(Instance::wait_until_ready);
    std::thread::sleep(Duration::from_secs(3));

    let fronts: Vec<_> = instances.iter().map(|i| i.front).collect();
    let clients: Vec<_> = fronts
        .into_iter()
        .enumerate()
        .map(|(nth, front)| {
            let bytes = ANSWER_BYTES + nth * STEP;
            std::thread::spawn(move || read_slowly(front, &format!("{bytes}-{nth}")))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let signalled_at = Instant::now();
    if with_trouble {
        record.line("SIGTERM to all machines");
        instances.iter().for_each(|i| i.signal(SIGTERM));
    }
    let mut ended: Vec<Option<Duration>> = vec![None; INSTANCES];
    while signalled_at.elapsed() < GRACE + Duration::from_secs(1) {
        std::thread::sleep(Duration::from_millis(10));
        for (instance, ended) in instances.iter_mut().zip(&mut ended) {
            if ended.is_none() && instance.has_ended() {
                *ended = Some(signalled_at.elapsed());
            }
        }
    }
    log.lock().unwrap().drain(..).for_each(|line| record.line(&line));
    let mut lost = 0;
    for (nth, client) in clients.into_iter().enumerate() {
        let (text, is_whole) = client.join().unwrap();
        record.line(&format!("client {nth}: {text}; process ended {:?}", ended[nth]));
        lost += usize::from(!is_whole);
    }
    record.line(&format!(
        "{lost} of {INSTANCES} requests that an upstream had answered ended without a complete answer"
    ));
    lost == 0
}

fn read_slowly(to: std::net::SocketAddr, id: &str) -> (String, bool) {
    let stream = connect_as_over_ethernet(to, 8 << 10);
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let head = format!(
        "GET /schedule/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Burdockcroft-Attempt-Id: {id}\r\n\
         X-Burdockcroft-Deadline-Ms: 12000\r\nX-Burdockcroft-Key: xd9dnn2ctnfzs989anu6\r\n\r\n"
    );
    (&stream).write_all(head.as_bytes()).unwrap();
    let started_at = Instant::now();
    let mut from = BufReader::with_capacity(4096, &stream);
    let (status, headers) = match http::read_head(&mut from) {
        Ok(Some(found)) => found,
        other => return (format!("no answer: {other:?}"), false),
    };
    let length: usize = headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, v)| v.parse().unwrap());
    let mut read = 0;
    let mut chunk = vec![0; 4096];
    while read < length {
        let due = Duration::from_secs_f64(read as f64 / BYTES_PER_S);
        std::thread::sleep(due.saturating_sub(started_at.elapsed()));
        match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => read += count,
            Err(e) => {
                return (
                    format!(
                        "{status}: {read} of {length} bytes, then {e} after {:.2} s",
                        started_at.elapsed().as_secs_f64()
                    ),
                    false,
                );
            }
        }
    }
    (
        format!("{status}: {read} of {length} bytes after {:.2} s", started_at.elapsed().as_secs_f64()),
        read == length,
    )
}
