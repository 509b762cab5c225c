//! LOST: a SIGTERM while an upstream reads uploads slowly.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deployment::{
    HOST, Instance, Record, SIGTERM, listen_as_over_ethernet, publish_manifest, register_upstream, route,
};
use crate::http::{self, Response};
use crate::platform::Store;

const KEY: &str = "xd9dnn2ctnfzs989anu6";
const UPLOADS: usize = 4;
const BODY_BYTES: usize = 3_000_000;
/// The upstream reads this much at once, then rests.
const READ_FIRST: usize = 100_000;
const REST: Duration = Duration::from_millis(2500);

type Log = Arc<Mutex<Vec<String>>>;

pub fn run(record: &Record, with_trouble: bool) -> bool {
    let store = Store::start();
    let log = Log::default();
    let started_at = Instant::now();
    let listener = listen_as_over_ethernet(64 << 10);
    register_upstream(&store, "i-7f3a91c2", "archive", "almaty-a", listener.local_addr().unwrap());
    let upstream_log = Arc::clone(&log);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let log = Arc::clone(&upstream_log);
            std::thread::spawn(move || serve(&stream, with_trouble, &log, started_at));
        }
    });
    let routes = [route("recording", "/recording/", "upload", "archive", 12.0, false)];
    let tenant = format!("{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":0,\"burst\":0}}");
    publish_manifest(&store, 3, &routes, &["archive"], &[tenant]);
    let instance = Instance::start("edge-almaty-a-1", "almaty", "almaty-a", store.address, "");
    instance.wait_until_ready();
    std::thread::sleep(Duration::from_secs(2));
    let front = instance.front;
    let clients: Vec<_> = (0..UPLOADS).map(|nth| std::thread::spawn(move || upload(front, nth))).collect();
    std::thread::sleep(Duration::from_millis(300));
    record.line("SIGTERM to edge-almaty-a-1");
    instance.signal(SIGTERM);
    let mut lost = 0;
    for (nth, client) in clients.into_iter().enumerate() {
        let (text, is_answered) = client.join().unwrap();
        record.line(&format!("client {nth}: {text}"));
        lost += usize::from(!is_answered);
    }
    log.lock().unwrap().iter().for_each(|line| record.line(line));
    record.line(&format!("{lost} of {UPLOADS} uploads were broken off while their upstream was at work"));
    lost == 0
}

fn serve(stream: &TcpStream, with_trouble: bool, log: &Log, started_at: Instant) -> std::io::Result<()> {
    let note = |text: String| {
        log.lock()
            .unwrap()
            .push(format!("upstream, {:.3} s after its start: {text}", started_at.elapsed().as_secs_f64()));
    };
    let mut from = BufReader::new(stream);
    while let Some(req) = http::read_request_head(&mut from)? {
        let id = req.header("x-burdockcroft-attempt-id").to_owned();
        let length: usize = req.header("content-length").parse().unwrap_or(0);
        note(format!("begins {id}"));
        let mut read = 0;
        let mut chunk = vec![0; 16 << 10];
        let mut has_rested = !with_trouble;
        while read < length {
            if read >= READ_FIRST && !has_rested {
                has_rested = true;
                std::thread::sleep(REST);
            }
            let wanted = chunk.len().min(length - read);
            match from.read(&mut chunk[..wanted]) {
                Ok(count) if count > 0 => read += count,
                other => {
                    note(format!("the connection of {id} ended after {read} of {length} bytes: {other:?}"));
                    return Ok(());
                }
            }
        }
        note(format!("ran {id} and answers it"));
        let headers = vec![
            ("X-Burdockcroft-Attempt-Id".to_owned(), id),
            ("X-Burdockcroft-Response-Seal".to_owned(), "3e1b.07".to_owned()),
        ];
        Response { status: 200, headers, body: vec![b'x'; 400] }.write(&mut &*stream)?;
    }
    Ok(())
}

fn upload(to: SocketAddr, nth: usize) -> (String, bool) {
    let stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(14))).unwrap();
    let mut bytes = format!(
        "POST /recording/{nth} HTTP/1.1\r\nHost: {HOST}\r\nX-Burdockcroft-Attempt-Id: upload-{nth}\r\n\
         X-Burdockcroft-Deadline-Ms: 12000\r\nX-Burdockcroft-Key: {KEY}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES, b'u');
    let sent_at = Instant::now();
    let mut writer = stream.try_clone().unwrap();
    // An answer may come before the whole body was sent.
    std::thread::spawn(move || drop(writer.write_all(&bytes)));
    let answer = http::read_response(&mut BufReader::new(&stream));
    let after = sent_at.elapsed().as_secs_f64();
    match answer {
        Ok(Some(resp)) => {
            let sealed =
                if resp.header("x-burdockcroft-response-seal").is_empty() { "without" } else { "with" };
            let body = String::from_utf8_lossy(&resp.body[..resp.body.len().min(120)]).into_owned();
            let is_answered = resp.status == 200;
            let body = if is_answered { String::new() } else { body };
            (
                format!("{} {sealed} the upstream's signature after {after:.2} s {body}", resp.status),
                is_answered,
            )
        }
        Ok(None) => (format!("closed after {after:.2} s"), false),
        Err(e) => (format!("{e} after {after:.2} s"), false),
    }
}
