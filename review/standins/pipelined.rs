//! Clients send further idempotent requests behind one with a long answer, and some of the long answers break
//! off.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::platform::Platform;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Upstreams, Work};
use crate::{Verdict, manifest, request_head, route};

/// Size of a long answer.
const LONG_ANSWER_BYTES: usize = 2_000_000;

/// One in so many long answers breaks off.
const TRUNCATED_ONE_IN: usize = 100;

/// Clients, and the groups of requests that each sends.
const CLIENTS: usize = 10;
const GROUPS: usize = 50;

/// Requests behind the one with the long answer.
const BEHIND: usize = 4;

/// Losses that the rule allows: "more than three times".
const ALLOWED_LOSSES: usize = 3;

pub fn run(is_troubled: bool, record: &Record) -> Verdict {
    let (store, store_address) = Store::serve();
    let routes = [
        route("hist", "/hist/", "idempotent", "agro-archive", 5),
        route("read", "/read/", "idempotent", "field-ops", 5),
    ];
    store
        .publish("op/config", Some(&manifest(&routes.join(","), &["agro-archive", "field-ops"], 2000, 2000)));
    let work = Work {
        time: |path| Duration::from_millis(if path.starts_with("/hist/") { 100 } else { 300 }),
        answer_bytes: |path| if path.starts_with("/hist/") { LONG_ANSWER_BYTES } else { 1500 },
        crashes: |_| false,
        restart: Duration::ZERO,
        keeps_id: false,
        answers_before_crash: false,
        failing: "",
        truncates: if is_troubled { |path| group_of(path) % TRUNCATED_ONE_IN == 7 } else { |_| false },
    };
    let upstreams = Upstreams::new(&store, work, record);
    for nth in 0..10 {
        upstreams.start(&format!("i-archive-{nth}"), "agro-archive", "riga-a", false);
        upstreams.start(&format!("i-field-{nth}"), "field-ops", "riga-a", false);
    }
    let machines = [("edge-riga-a-1", "riga", "riga-a"), ("edge-riga-a-2", "riga", "riga-a")];
    let platform = Platform::start(store_address, &machines, record);
    platform.wait_until_in_touch();
    let losses = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (platform, upstreams, record, losses) =
                (platform.clone(), upstreams.clone(), record.clone(), Arc::clone(&losses));
            thread::spawn(move || {
                let mut connection = None;
                for group in 0..GROUPS {
                    let front = platform.instances[client % 2].front;
                    let Ok(mut open) = connection.take().map_or_else(|| open_kept(front, client, group), Ok)
                    else {
                        continue;
                    };
                    let number = client * GROUPS + group;
                    let ids: Vec<String> = (0..=BEHIND).map(|nth| format!("g{number:04}{nth}")).collect();
                    let path = |nth: usize| {
                        if nth == 0 { format!("/hist/{number}") } else { format!("/read/{number}") }
                    };
                    let heads: String = ids
                        .iter()
                        .enumerate()
                        .map(|(nth, id)| request_head("GET", &path(nth), id, 5000, ""))
                        .collect();
                    record.line(&format!("client {client} sends {ids:?} on a kept connection"));
                    let mut answered = 0;
                    if open.send(heads.as_bytes()).is_ok() {
                        while answered < ids.len() && open.read_answer().is_ok() {
                            answered += 1;
                        }
                    }
                    if answered == ids.len() {
                        connection = Some(open);
                        continue;
                    }
                    // What was broken off by its upstream is excused; what was sent behind it and is run by another
                    // upstream is not.
                    for id in &ids[answered..] {
                        let service = upstreams.service_of(id).unwrap_or_default();
                        record.line(&format!("client {client}: no answer for {id}, run by {service}"));
                        if service == "field-ops" {
                            losses.lock().unwrap().push(id.clone());
                        }
                    }
                }
            })
        })
        .collect();
    for client in clients {
        drop(client.join());
    }
    let losses = losses.lock().unwrap().clone();
    record.line(&format!(
        "passed on to sound upstreams from kept connections and not answered: {} {losses:?}",
        losses.len()
    ));
    println!("passed on to sound upstreams from kept connections and not answered: {}", losses.len());
    platform.end();
    if losses.len() > ALLOWED_LOSSES { Verdict::Broken } else { Verdict::Held }
}

fn group_of(path: &str) -> usize {
    path.strip_prefix("/hist/").and_then(|n| n.parse().ok()).unwrap_or(0)
}

// Opens a connection on which a first request has been answered.
fn open_kept(front: std::net::SocketAddr, client: usize, group: usize) -> std::io::Result<Connection> {
    let mut connection = Connection::open(front)?;
    connection
        .send(request_head("GET", "/read/first", &format!("f{client:02}{group:02}"), 5000, "").as_bytes())?;
    connection.read_answer().map(|_answer| connection)
}
