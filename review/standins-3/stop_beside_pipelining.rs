//! A process gets SIGTERM while clients send further idempotent requests behind one whose answer is 300,000 bytes
//! long. The answer is whole at the process, which closes the connection behind it. The first request of every other
//! client may run only once.

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::base::{Node, Record, TIME_IN_TOUCH, TempDir, read_message, read_more, request, take_head};
use crate::platform::{Store, manifest};
use crate::upstream::{self, Behaviour, Run, Runs};

const CLIENTS: usize = 20;
const ANSWER_BYTES: usize = 300_000;
const PIPELINED_BODY_BYTES: usize = 200_000;
const GRACE_S: u32 = 6;
const DEADLINE_MS: u64 = 5000;

/// Time between the starts of two clients' requests. All are sent within a second of the SIGTERM.
const CLIENT_INTERVAL: Duration = Duration::from_millis(40);

/// Time that a client takes for what it reads at once: 8 MB/s.
const READ_BYTES: usize = 16 << 10;
const READ_TIME: Duration = Duration::from_millis(2);

struct Answer {
    id: String,
    received: usize,
    end: String,
}

/// Returns what broke the rule, if anything did.
pub fn run(record: &Record, is_disrupted: bool) -> std::io::Result<Option<String>> {
    let dir = TempDir::create()?;
    let store = Store::start()?;
    store.publish("op/config", &manifest(7, &[("reads", "/read/", "idempotent", 6), ("puts", "/put/", "idempotent", 6), ("commands", "/cmd/", "non_idempotent", 6)]));
    let runs = Runs::default();
    let behaviour = Behaviour { work: Duration::from_millis(100), broken_after: None };
    for nth in 1..=4 {
        upstream::start(&store, &format!("i-{nth}"), behaviour, &runs, record)?;
    }
    let mut node = Node::start(&dir.0, "edge-riga-a-1", store.address, GRACE_S)?;
    node.wait_until_ready()?;
    std::thread::sleep(TIME_IN_TOUCH);

    let mut streams = Vec::new();
    for nth in 0..CLIENTS {
        let mut stream = TcpStream::connect(node.front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        stream.write_all(&request("GET", "/read/20", &format!("first-{nth}"), DEADLINE_MS, None))?;
        let answer = read_message(&mut stream, &mut Vec::new())?;
        if answer.is_none_or(|(head, _)| head.status() != 200) {
            return Err(std::io::Error::other("a first request was not served"));
        }
        streams.push(stream);
    }
    if is_disrupted {
        record.line("SIGTERM to edge-riga-a-1");
        node.terminate();
    }
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = streams
        .into_iter()
        .enumerate()
        .map(|(nth, stream)| {
            let (record, answers) = (record.clone(), Arc::clone(&answers));
            std::thread::spawn(move || {
                std::thread::sleep(CLIENT_INTERVAL * nth as u32);
                let answer = serve_client(stream, nth, &record);
                record.line(&format!("client {nth}: {} bytes of the answer to {}, then {}", answer.received, answer.id, answer.end));
                answers.lock().unwrap().push(answer);
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if is_disrupted && !node.wait(Duration::from_secs(u64::from(GRACE_S))) {
        return Err(std::io::Error::other("the process did not end within its grace"));
    }
    let runs = runs.lock().unwrap();
    let answers = answers.lock().unwrap();
    let has_run = |id: &str| runs.iter().any(|run: &Run| run.id == id && run.is_answered);
    let lost: Vec<&Answer> = answers.iter().filter(|a| a.received < ANSWER_BYTES && has_run(&a.id)).collect();
    Ok((!lost.is_empty()).then(|| {
        format!(
            "LOST: {} of {CLIENTS} requests ran and were answered whole by a sound upstream, and their connections ended \
             without a complete answer",
            lost.len()
        )
    }))
}

// Sends a request, then one with a body behind it, and reads the first answer meanwhile.
fn serve_client(mut stream: TcpStream, nth: usize, record: &Record) -> Answer {
    let id = format!("long-{nth}");
    let mut answer = Answer { id: id.clone(), received: 0, end: String::new() };
    let (method, route, body) = if nth % 2 == 0 { ("GET", "read", None) } else { ("POST", "cmd", Some(&[][..])) };
    let path = format!("/{route}/{ANSWER_BYTES}");
    record.line(&format!("client {nth} sends {method} {path} as {id}, and PUT /put/20 behind it"));
    let sent = stream.write_all(&request(method, &path, &id, DEADLINE_MS, body));
    let writing = stream.try_clone().map(|mut stream| {
        let body = vec![b'b'; PIPELINED_BODY_BYTES];
        let pipelined = request("PUT", "/put/20", &format!("behind-{nth}"), DEADLINE_MS, Some(&body));
        std::thread::spawn(move || stream.write_all(&pipelined))
    });
    if let Err(e) = sent {
        answer.end = format!("could not be sent: {e}");
        return answer;
    }
    let (mut buf, mut has_head) = (Vec::new(), false);
    loop {
        if !has_head && let Some(head) = take_head(&mut buf) {
            record.line(&format!("client {nth} gets {} for {}, Connection: {:?}", head.line, head.id(), head.get("connection")));
            has_head = true;
        }
        if has_head {
            answer.received = buf.len().min(ANSWER_BYTES);
            if answer.received == ANSWER_BYTES {
                answer.end = "complete".to_owned();
                break;
            }
        }
        std::thread::sleep(READ_TIME);
        match read_more(&mut stream, &mut buf, READ_BYTES) {
            Ok(true) => {}
            Ok(false) => {
                answer.end = "the end of the connection".to_owned();
                break;
            }
            Err(e) => {
                answer.end = e.to_string();
                break;
            }
        }
    }
    drop(stream);
    if let Ok(writing) = writing {
        let _ = writing.join();
    }
    answer
}
