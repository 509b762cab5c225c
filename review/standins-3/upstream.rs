//! Stand-in for an upstream: runs a request for some time and answers with a body whose length the path names.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::base::{Head, Record, answer_head, now_ms, read_message};
use crate::platform::{Entry, Store};

/// How an upstream treats the requests that reach it.
#[derive(Clone, Copy)]
pub struct Behaviour {
    /// Time that each request takes.
    pub work: Duration,
    /// Whether it breaks off the answers to paths that end with `/broken` after this many bytes.
    pub broken_after: Option<usize>,
}

/// A request that an upstream ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    /// Whether the whole answer was written.
    pub is_answered: bool,
    /// When the request arrived.
    pub arrived_at: Instant,
}

/// All requests that ran, in the order of their ends.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts an upstream and registers it.
pub fn start(
    store: &Store,
    id: &str,
    behaviour: Behaviour,
    runs: &Runs,
    record: &Record,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (name, runs, record) = (id.to_owned(), Arc::clone(runs), record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, runs, record) = (name.clone(), Arc::clone(&runs), record.clone());
            std::thread::spawn(move || serve(stream, &name, behaviour, &runs, &record));
        }
    });
    store.register(&Entry { id, service: "a", address, slots: 24, born: now_ms(), sequence: 1 });
    Ok(address)
}

fn serve(mut stream: TcpStream, name: &str, behaviour: Behaviour, runs: &Runs, record: &Record) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    while let Ok(Some((head, _body))) = read_message(&mut stream, &mut buf) {
        if head.get("x-burdockcroft-expect-instance") != name {
            let _ = stream.write_all(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let arrived_at = Instant::now();
        record.line(&format!("{name} runs {} {}", head.id(), head.path()));
        std::thread::sleep(behaviour.work);
        let (is_answered, is_open) = answer(&mut stream, &head, behaviour);
        record.line(&format!(
            "{name} ends {}: answer {}",
            head.id(),
            if is_answered { "written" } else { "broken off" }
        ));
        runs.lock().unwrap().push(Run {
            id: head.id().to_owned(),
            upstream: name.to_owned(),
            is_answered,
            arrived_at,
        });
        if !is_open {
            return;
        }
    }
}

// Returns whether the whole answer was written, and whether the connection stays open.
fn answer(stream: &mut TcpStream, head: &Head, behaviour: Behaviour) -> (bool, bool) {
    let path = head.path();
    let size = path.split('/').nth(2).and_then(|text| text.parse().ok()).unwrap_or(20);
    let mut bytes = answer_head(head.id(), size);
    let body = vec![b'y'; size];
    match behaviour.broken_after.filter(|_| path.ends_with("/broken")) {
        Some(after) => {
            bytes.extend_from_slice(&body[..after.min(size)]);
            let _ = stream.write_all(&bytes);
            std::thread::sleep(Duration::from_millis(300));
            (false, false)
        }
        None => {
            bytes.extend_from_slice(&body);
            let is_answered = stream.write_all(&bytes).is_ok();
            (is_answered, is_answered)
        }
    }
}
