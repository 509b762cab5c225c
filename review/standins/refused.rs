//! An upstream fails part of the requests that it has run, with a status that is a promise when it comes from
//! the system.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::platform::Platform;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{FAILS, Upstreams, Work};
use crate::{Verdict, manifest, request_head, route};

/// Upstreams of the service; one of them fails, a share of 0.14.
const UPSTREAMS: usize = 7;

/// Time for which it fails, as in the site file.
const FAILS_FOR: Duration = Duration::from_millis(6500);

const CLIENTS: usize = 30;

pub fn run(is_troubled: bool, record: &Record) -> Verdict {
    let (store, store_address) = Store::serve();
    let routes = [route("valve", "/valve/", "non_idempotent", "field-ops", 3)];
    store.publish("op/config", Some(&manifest(&routes.join(","), &["field-ops"], 500, 500)));
    let work = Work {
        time: |_| Duration::from_millis(300),
        answer_bytes: |_| 1500,
        crashes: |_| false,
        restart: Duration::ZERO,
        keeps_id: false,
        answers_before_crash: false,
        failing: "i-field-0",
        truncates: |_| false,
    };
    let upstreams = Upstreams::new(&store, work, record);
    for nth in 0..UPSTREAMS {
        upstreams.start(&format!("i-field-{nth}"), "field-ops", "riga-a", false);
    }
    let machines = [("edge-riga-a-1", "riga", "riga-a"), ("edge-riga-a-2", "riga", "riga-a")];
    let platform = Platform::start(store_address, &machines, record);
    platform.wait_until_in_touch();
    let end = Instant::now() + Duration::from_secs(12);
    let counts = Arc::new(Mutex::new((0, 0, 0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (platform, upstreams, record, counts) =
                (platform.clone(), upstreams.clone(), record.clone(), Arc::clone(&counts));
            thread::spawn(move || {
                let mut nth = 0;
                while Instant::now() < end {
                    nth += 1;
                    // A command is sent once more only after a promise, as PROTOCOL.md says.
                    let mut runs = 0;
                    for attempt in 0..2 {
                        let id = format!("v{client:02}{nth:04}{attempt}");
                        let status = ask(platform.instances[client % 2].front, client, &id);
                        let has_run = upstreams.has_run(&id);
                        record.line(&format!("client {client} has {status} for {id}, run: {has_run}"));
                        runs += usize::from(has_run);
                        let is_promise = matches!(status, 408 | 421 | 429 | 503);
                        let mut counts = counts.lock().unwrap();
                        counts.0 += 1;
                        counts.1 += usize::from(is_promise && has_run);
                        counts.2 += usize::from(attempt == 1 && runs == 2);
                        drop(counts);
                        if !is_promise {
                            break;
                        }
                        thread::sleep(Duration::from_millis(200));
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    FAILS.store(is_troubled, Ordering::SeqCst);
    thread::sleep(FAILS_FOR);
    FAILS.store(false, Ordering::SeqCst);
    for client in clients {
        drop(client.join());
    }
    let (all, broken, twice) = *counts.lock().unwrap();
    let result = format!(
        "requests: {all}; answered with a promise although run: {broken}; commands that ran again after it: {twice}"
    );
    record.line(&result);
    println!("{result}");
    platform.end();
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

fn ask(front: std::net::SocketAddr, client: usize, id: &str) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let mut connection = Connection::open(front)?;
        connection.send(
            request_head("POST", &format!("/valve/{client}"), id, 3000, "Content-Length: 0\r\n").as_bytes(),
        )?;
        connection.read_answer().map(|answer| answer.status)
    };
    exchange().unwrap_or(0)
}
