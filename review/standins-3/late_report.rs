//! An upstream's report gets no answer from the store. Seconds later, after the upstream has left and its entry was
//! removed, the store executes the report.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::base::{Node, Record, TIME_IN_TOUCH, TempDir, now_ms, read_message, request};
use crate::platform::{Entry, Store, manifest};
use crate::upstream::{self, Behaviour, Runs};

const CLIENTS: usize = 8;
const DEADLINE_MS: u64 = 5000;

/// Times after the report that got no answer. The removal is confirmed later than `contact_s` (4 s) after it, so that
/// the store is stable, and the report is executed within 6 s, as `kinds` says of `platform_lost` with `late`.
const REMOVAL_AFTER: Duration = Duration::from_millis(4300);
const EXECUTION_AFTER: Duration = Duration::from_millis(5900);

/// The entry is removed again after three status report intervals of silence.
const SECOND_REMOVAL_AFTER: Duration = Duration::from_millis(5900 + 4500);
const END_AFTER: Duration = Duration::from_millis(5900 + 4500 + 1000);

/// `drain_s`.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(2500);

/// Returns what broke the rule, if anything did.
pub fn run(record: &Record, is_disrupted: bool) -> std::io::Result<Option<String>> {
    let dir = TempDir::create()?;
    let store = Store::start()?;
    store.publish(
        "op/config",
        &manifest(7, &[("reads", "/read/", "idempotent", 6), ("commands", "/cmd/", "non_idempotent", 6)]),
    );
    let runs = Runs::default();
    let behaviour = Behaviour { work: Duration::from_millis(50), broken_after: None };
    for nth in 1..=3 {
        upstream::start(&store, &format!("i-{nth}"), behaviour, &runs, record)?;
    }
    let (id, born) = ("i-leaving", now_ms());
    let address = upstream::start(&store, id, behaviour, &runs, record)?;
    let report = |sequence| Entry { id, service: "a", address, slots: 24, born, sequence };
    store.register(&report(9));
    let node = Node::start(&dir.0, "edge-riga-a-1", store.address, 6)?;
    node.wait_until_ready()?;
    std::thread::sleep(TIME_IN_TOUCH);

    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|nth| {
            let (front, is_over, record) = (node.front, Arc::clone(&is_over), record.clone());
            std::thread::spawn(move || {
                if let Err(e) = send_requests(front, nth, &is_over) {
                    record.line(&format!("client {nth}: {e}"));
                }
            })
        })
        .collect();
    let lost_at = Instant::now();
    let sleep_until =
        |after: Duration| std::thread::sleep((lost_at + after).saturating_duration_since(Instant::now()));
    record.line("i-leaving sends report 10 (ready); the call gets no response");
    std::thread::sleep(Duration::from_millis(300));
    record.line("i-leaving sends report 11 (ready); the store accepts it");
    store.register(&report(11));
    sleep_until(REMOVAL_AFTER);
    store.unregister(id);
    let removed_at = Instant::now();
    record.line(
        "i-leaving has left: the store confirms the removal of its entry; it goes on serving what reaches it",
    );
    if is_disrupted {
        sleep_until(EXECUTION_AFTER);
        record.line("the store executes report 10");
        store.register(&report(10));
        sleep_until(SECOND_REMOVAL_AFTER);
        record.line("three status report intervals of silence: the store removes the entry");
        store.unregister(id);
    }
    sleep_until(END_AFTER);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs = runs.lock().unwrap();
    let served = runs.len();
    let before = runs.iter().filter(|run| run.upstream == id && run.arrived_at < removed_at).count();
    let late: Vec<Duration> = runs
        .iter()
        .filter(|run| run.upstream == id && run.arrived_at > removed_at + MAX_DRAIN_TIME)
        .map(|run| run.arrived_at - removed_at)
        .collect();
    record.line(&format!(
        "{served} requests ran, {before} of them on i-leaving before its removal and {} too late",
        late.len()
    ));
    if before == 0 {
        return Err(std::io::Error::other("the upstream got no request while it was in use"));
    }
    let latest = late.iter().max().copied().unwrap_or_default().as_secs_f64();
    Ok((!late.is_empty()).then(|| {
        format!(
            "DRAIN: {} requests reached an upstream later than 2.5 s after the removal of its entry was confirmed, the last \
             after {latest:.1} s",
            late.len()
        )
    }))
}

fn send_requests(front: std::net::SocketAddr, nth: usize, is_over: &AtomicBool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let (mut buf, mut count) = (Vec::new(), 0);
    while !is_over.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("client-{nth}-{count}");
        let bytes = match count % 2 {
            0 => request("POST", "/cmd/20", &id, DEADLINE_MS, Some(&[])),
            _ => request("GET", "/read/20", &id, DEADLINE_MS, None),
        };
        stream.write_all(&bytes)?;
        if read_message(&mut stream, &mut buf)?.is_none() {
            return Err(std::io::Error::other("the connection was closed"));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}
