//! A request crashes each upstream that runs it, and comes again.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::platform::Platform;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Run, Upstreams, Work};
use crate::{Verdict, manifest, request_head, route, route_with_homes};

/// What is particular about the request or the upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Variant {
    /// The request has a long body.
    LongBody,
    /// The upstreams start again under the ids that they had.
    SameId,
    /// The upstreams crash when they have sent the head of their answer.
    AfterHead,
}

/// Size of the long body, far below `max_body_bytes` (67,108,864).
const LONG_BODY_BYTES: usize = 300_000;

const SHORT_BODY_BYTES: usize = 300;

/// `contact_s` of the settings.
const CONTACT_MS: u64 = 4000;

/// Retries that the rule allows: "more than three".
const ALLOWED_RETRIES: usize = 3;

/// Time for which the request comes again, and the pause before each time.
const SENT_FOR: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(1000);

/// Clients of other requests, half of them at each instance.
const CLIENTS: usize = 6;

/// Runs a variant. `CONTROL=1` leaves out what is particular, and the request still crashes upstreams.
pub fn run(variant: Variant, is_troubled: bool, record: &Record) -> Verdict {
    let is_control = std::env::var("CONTROL").is_ok_and(|v| v == "1");
    let is = |asked: Variant| variant == asked && !is_control;
    let (store, store_address) = Store::serve();
    // As in the pages' site, where a route may have homes and a region two upstreams of a service.
    let homes = if variant == Variant::SameId { "\"jelgava\"" } else { "" };
    let routes = [
        route_with_homes("read", "/read/", "idempotent", "field-ops", 2, homes),
        route("valve", "/valve/", "non_idempotent", "field-ops", 3),
    ];
    store.publish("op/config", Some(&manifest(&routes.join(","), &["field-ops"], 500, 500)));
    let work = Work {
        time: |_| Duration::from_millis(500),
        answer_bytes: |_| 1500,
        crashes: if is_troubled { |path| path.starts_with("/read/") } else { |_| false },
        restart: Duration::from_secs(2),
        keeps_id: is(Variant::SameId),
        answers_before_crash: is(Variant::AfterHead),
        failing: "",
        truncates: |_| false,
    };
    let upstreams = Upstreams::new(&store, work, record);
    for zone in ["riga-a", "riga-b", "jelgava-a", "jelgava-b"] {
        let count = if zone.starts_with("riga") { 2 } else { 1 };
        for nth in 0..count {
            upstreams.start(&format!("i-{zone}-{nth}.0"), "field-ops", zone, false);
        }
    }
    let machines = [
        ("edge-riga-a-1", "riga", "riga-a"),
        ("edge-riga-b-1", "riga", "riga-b"),
        ("edge-jelgava-a-1", "jelgava", "jelgava-a"),
        ("edge-jelgava-b-1", "jelgava", "jelgava-b"),
    ];
    let platform = Platform::start(store_address, &machines, record);
    platform.wait_until_in_touch();

    let end = Instant::now() + SENT_FOR;
    let counts = Arc::new(Mutex::new((0, 0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (platform, upstreams, record, counts) =
                (platform.clone(), upstreams.clone(), record.clone(), Arc::clone(&counts));
            thread::spawn(move || {
                let mut nth = 0;
                while Instant::now() < end {
                    nth += 1;
                    let id = format!("v{client:02}{nth:04}");
                    let head =
                        request_head("POST", &format!("/valve/{client}"), &id, 3000, "Content-Length: 0\r\n");
                    let status = ask(platform.instances[client % 4].front, &head, &[]);
                    let is_lost = status != 200 && upstreams.has_run(&id);
                    record.line(&format!("client {client} has {status} for {id}, begun and lost: {is_lost}"));
                    let mut counts = counts.lock().unwrap();
                    counts.0 += 1;
                    counts.1 += usize::from(is_lost);
                    drop(counts);
                    thread::sleep(Duration::from_millis(if status == 200 { 100 } else { 500 }));
                }
            })
        })
        .collect();
    let body = vec![b'p'; if is(Variant::LongBody) { LONG_BODY_BYTES } else { SHORT_BODY_BYTES }];
    let mut nth = 0;
    while Instant::now() < end {
        nth += 1;
        let id = format!("p{nth:04}");
        let head =
            request_head("POST", "/read/17", &id, 2000, &format!("Content-Length: {}\r\n", body.len()));
        let status = ask(platform.instances[nth % 4].front, &head, &body);
        record
            .line(&format!("the request comes again as {id}, {} bytes, and ends with {status}", body.len()));
        thread::sleep(PAUSE);
    }
    for client in clients {
        drop(client.join());
    }
    let runs: Vec<Run> = upstreams.runs().into_iter().filter(|r| r.crashed).collect();
    let late: BTreeSet<&str> = match runs.get(2) {
        Some(third) => {
            runs.iter().filter(|r| r.at_ms > third.at_ms + CONTACT_MS).map(|r| r.id.as_str()).collect()
        }
        None => BTreeSet::new(),
    };
    let (others, lost) = *counts.lock().unwrap();
    let result = format!(
        "sent {nth} times, crashed {} upstreams; retries that reached one later than contact_s after the third: {}; \
         other requests: {others}, begun and lost: {lost}",
        runs.len(),
        late.len()
    );
    record.line(&format!("{result} {late:?}"));
    println!("{result}");
    platform.end();
    if late.len() > ALLOWED_RETRIES { Verdict::Broken } else { Verdict::Held }
}

// Sends a request on a connection of its own. Returns its status, 0 for none.
fn ask(front: std::net::SocketAddr, head: &str, body: &[u8]) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let mut connection = Connection::open(front)?;
        connection.send(head.as_bytes())?;
        connection.send(body)?;
        connection.read_answer().map(|answer| answer.status)
    };
    exchange().unwrap_or(0)
}
