//! Two clients send long bodies in chunks to one instance, beside usual requests.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::platform::Platform;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Upstreams, Work};
use crate::{Verdict, manifest, request_head, route};

/// Size of a long body, under `max_body_bytes` (67,108,864).
const BODY_BYTES: usize = 60_000_000;

/// Rate at which a client sends it, well below the machine's link of 700 Mbit/s.
const BODY_BYTES_PER_S: usize = 30_000_000;

/// Clients that send long bodies.
const UPLOADS: usize = 2;

/// Clients of usual requests, each on a kept connection.
const CLIENTS: usize = 12;

/// Losses that the rule allows: "more than three times".
const ALLOWED_LOSSES: usize = 3;

pub fn run(is_troubled: bool, record: &Record) -> Verdict {
    let (store, store_address) = Store::serve();
    let routes = [
        route("valve", "/valve/", "non_idempotent", "field-ops", 3),
        route("upload", "/upload/", "non_idempotent", "agro-archive", 10),
    ];
    store.publish("op/config", Some(&manifest(&routes.join(","), &["field-ops", "agro-archive"], 500, 500)));
    let work = Work {
        time: |_| Duration::from_millis(300),
        answer_bytes: |_| 1500,
        crashes: |_| false,
        restart: Duration::ZERO,
        keeps_id: false,
        answers_before_crash: false,
        failing: "",
        truncates: |_| false,
    };
    let upstreams = Upstreams::new(&store, work, record);
    for nth in 0..4 {
        upstreams.start(&format!("i-field-{nth}"), "field-ops", "riga-a", false);
        upstreams.start(&format!("i-archive-{nth}"), "agro-archive", "riga-a", false);
    }
    let machines = [("edge-riga-a-1", "riga", "riga-a"), ("edge-riga-a-2", "riga", "riga-a")];
    let platform = Platform::start(store_address, &machines, record);
    platform.wait_until_in_touch();

    let end = Instant::now() + Duration::from_secs(20);
    let losses = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (platform, upstreams, record, losses) =
            (platform.clone(), upstreams.clone(), record.clone(), Arc::clone(&losses));
        clients.push(thread::spawn(move || {
            let mut connection = None;
            let mut nth = 0;
            while Instant::now() < end {
                nth += 1;
                let id = format!("v{client:02}{nth:04}");
                // A connection counts as kept once a request was answered on it.
                let is_kept = connection.is_some();
                let opened = connection.take().map_or_else(|| Connection::open(platform.instances[0].front), Ok);
                let Ok(mut open) = opened else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                let body = "b".repeat(300);
                let head = request_head("POST", &format!("/valve/{client}"), &id, 3000, "Content-Length: 300\r\n");
                record.line(&format!("client {client} sends {id}"));
                let answer = open.send(format!("{head}{body}").as_bytes()).and_then(|()| open.read_answer());
                match answer {
                    Ok(answer) => {
                        record.line(&format!("client {client} has {} for {id}", answer.status));
                        connection = (answer.head.header("connection") != Some("close")).then_some(open);
                    }
                    Err(e) => {
                        let has_run = upstreams.has_run(&id);
                        record.line(&format!("client {client}: no answer for {id} (kept connection: {is_kept}, run: {has_run}): {e}"));
                        if is_kept && has_run {
                            losses.lock().unwrap().push(id);
                        }
                    }
                }
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    thread::sleep(Duration::from_secs(5));
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|client| {
            let (platform, record) = (platform.clone(), record.clone());
            thread::spawn(move || upload(client, is_troubled, &platform, &record))
        })
        .collect();
    for thread in uploads.into_iter().chain(clients) {
        drop(thread.join());
    }
    let losses = losses.lock().unwrap().clone();
    let (ends, peak) = (platform.ends(0), platform.peak_mb(0));
    record.line(&format!("ends of the first instance: {ends:?}; its peak memory: {peak} MB"));
    record.line(&format!(
        "requests from kept connections that were passed on and not answered: {} {losses:?}",
        losses.len()
    ));
    println!("peak memory {peak} MB, ends {}, losses {}", ends.len(), losses.len());
    platform.end();
    if losses.len() > ALLOWED_LOSSES { Verdict::Broken } else { Verdict::Held }
}

// Sends a long body: in chunks, or with a length if there is to be no trouble.
fn upload(client: usize, in_chunks: bool, platform: &Platform, record: &Record) {
    const PIECE: usize = 60_000;
    let id = format!("u{client:02}");
    let framing = if in_chunks {
        "Transfer-Encoding: chunked\r\n".to_owned()
    } else {
        format!("Content-Length: {BODY_BYTES}\r\n")
    };
    let send = || -> std::io::Result<u16> {
        let mut connection = Connection::open(platform.instances[0].front)?;
        record
            .line(&format!("upload client {client} sends {id}, {BODY_BYTES} bytes, in chunks: {in_chunks}"));
        connection.send(request_head("POST", "/upload/1", &id, 10_000, &framing).as_bytes())?;
        let mut piece = Vec::new();
        if in_chunks {
            piece.extend_from_slice(format!("{PIECE:x}\r\n").as_bytes());
        }
        piece.resize(piece.len() + PIECE, b'u');
        if in_chunks {
            piece.extend_from_slice(b"\r\n");
        }
        let started_at = Instant::now();
        for sent in 0..BODY_BYTES / PIECE {
            connection.send(&piece)?;
            let due = Duration::from_secs_f64((sent * PIECE) as f64 / BODY_BYTES_PER_S as f64);
            thread::sleep(due.saturating_sub(started_at.elapsed()));
        }
        if in_chunks {
            connection.send(b"0\r\n\r\n")?;
        }
        connection.read_answer().map(|answer| answer.status)
    };
    record.line(&format!("upload client {client}: {id} ends with {:?}", send()));
}
