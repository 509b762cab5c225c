//! Stand-in for an upstream, as PROTOCOL.md describes it: slots and a queue, a deadline, reports to the store,
//! and an end by crash from which it comes back as a new boot.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::Head;
use crate::record::Record;
use crate::store::Store;

const SLOTS: usize = 6;
const QUEUE: usize = 18;
const HEARTBEAT: Duration = Duration::from_millis(1500);
const COLD_TIME: Duration = Duration::from_secs(3);

/// What an upstream does with a request.
#[derive(Clone)]
pub struct Work {
    /// Time that it works on a request.
    pub time: fn(&str) -> Duration,
    /// Size of its answer.
    pub answer_bytes: fn(&str) -> usize,
    /// Whether a request with this path crashes it.
    pub crashes: fn(&str) -> bool,
    /// Time until it is back after a crash.
    pub restart: Duration,
    /// Whether it is back under the id that it had.
    pub keeps_id: bool,
    /// Whether it has sent the head of its answer when it crashes.
    pub answers_before_crash: bool,
    /// Id of the upstream that fails part of its requests while `FAILS` is set: it runs them, and answers 503
    /// without saying that it has not.
    pub failing: &'static str,
    /// Whether its answer to a request with this path breaks off.
    pub truncates: fn(&str) -> bool,
}

/// A request that an upstream began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at_ms: u64,
    pub crashed: bool,
    pub service: String,
}

/// Whether the failing upstream fails now.
pub static FAILS: AtomicBool = AtomicBool::new(false);

/// Share of its requests that the failing upstream fails, in percent.
const FAILING_PERCENT: usize = 45;

#[derive(Clone)]
pub struct Upstreams {
    store: Store,
    work: Work,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

struct Boot {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    up: AtomicBool,
    is_listening: AtomicBool,
    running: Mutex<(usize, usize)>,
    changed: Condvar,
    connections: Mutex<Vec<TcpStream>>,
}

impl Upstreams {
    pub fn new(store: &Store, work: Work, record: &Record) -> Self {
        Self { store: store.clone(), work, runs: Arc::default(), record: record.clone() }
    }

    /// Returns what was run so far, by any upstream.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the service by which a request was run.
    pub fn service_of(&self, id: &str) -> Option<String> {
        self.runs.lock().unwrap().iter().find(|r| r.id == id).map(|r| r.service.clone())
    }

    pub fn has_run(&self, id: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|r| r.id == id)
    }

    /// Starts an upstream. `is_cold` is set if it starts during traffic.
    pub fn start(&self, id: &str, service: &str, zone: &str, is_cold: bool) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let boot = Arc::new(Boot {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            up: AtomicBool::new(true),
            is_listening: AtomicBool::new(true),
            running: Mutex::default(),
            changed: Condvar::new(),
            connections: Mutex::default(),
        });
        listener.set_nonblocking(true).expect("a listener that does not block");
        let (all, accepting) = (self.clone(), Arc::clone(&boot));
        thread::spawn(move || {
            while accepting.up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).expect("a socket that blocks");
                        accepting.connections.lock().unwrap().push(stream.try_clone().expect("a copy"));
                        let (all, boot) = (all.clone(), Arc::clone(&accepting));
                        thread::spawn(move || drop(all.serve(&boot, stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_micros(200)),
                }
            }
            drop(listener);
            accepting.is_listening.store(false, Ordering::SeqCst);
        });
        let (store, reporting) = (self.store.clone(), boot);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a date").as_millis();
        self.record.line(&format!("upstream {id} of {service} starts at {}", reporting.address));
        thread::spawn(move || {
            let mut sequence = 0_u32;
            while reporting.up.load(Ordering::SeqCst) {
                sequence += 1;
                let age = HEARTBEAT * (sequence - 1);
                let cold_s = if is_cold { COLD_TIME.saturating_sub(age).as_secs_f64() } else { 0.0 };
                let Boot { id, service, zone, address, .. } = &*reporting;
                store.publish(&format!("servers/{id}"), Some(&format!(
                    "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
                     \"zone\":\"{zone}\",\"slots\":{SLOTS}}},\"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\
                     \"warmup_left_s\":{cold_s}}}}}")));
                thread::sleep(HEARTBEAT);
            }
        });
    }

    // Ends a boot as a crash of its process does, and starts the next one.
    fn crash(&self, boot: &Arc<Boot>) {
        if !boot.up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.line(&format!("upstream {} crashes", boot.id));
        // The listener is closed before any connection, so that nobody who sees a reset can still connect.
        while boot.is_listening.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(100));
        }
        for connection in boot.connections.lock().unwrap().drain(..) {
            drop(connection.shutdown(Shutdown::Both));
        }
        boot.changed.notify_all();
        let (all, boot) = (self.clone(), Arc::clone(boot));
        thread::spawn(move || {
            thread::sleep(all.work.restart);
            let (name, nth) = boot.id.rsplit_once('.').unwrap_or((&boot.id, "0"));
            let nth: u32 = nth.parse().unwrap_or(0);
            let id = if all.work.keeps_id { boot.id.clone() } else { format!("{name}.{}", nth + 1) };
            all.start(&id, &boot.service, &boot.zone, true);
            if !all.work.keeps_id {
                // The store removes the entry of the silent boot after three intervals.
                thread::sleep((HEARTBEAT * 3).saturating_sub(all.work.restart));
                all.store.publish(&format!("servers/{}", boot.id), None);
            }
        });
    }

    fn serve(&self, boot: &Arc<Boot>, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            let body = head.read_body(&mut reader)?;
            let path = head.word(1).to_owned();
            let id = head.header("x-burdockcroft-attempt-id").unwrap_or("").to_owned();
            if !boot.up.load(Ordering::SeqCst) {
                return Ok(());
            }
            if path == "/health" {
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nX-Burdockcroft-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    boot.id
                )?;
                continue;
            }
            let expected = head.header("x-burdockcroft-expect-instance");
            if expected.is_some_and(|expected| expected != boot.id) {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Burdockcroft-Attempt-Id: {id}\r\n\
                    X-Burdockcroft-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    boot.id
                )?;
                continue;
            }
            let mut running = boot.running.lock().unwrap();
            if id.is_empty() || running.0 >= SLOTS && running.1 >= QUEUE {
                drop(running);
                let status = if id.is_empty() { "400 Bad Request" } else { "503 Service Unavailable" };
                write!(
                    stream,
                    "HTTP/1.1 {status}\r\nX-Burdockcroft-Attempt-Id: {id}\r\n\
                    X-Burdockcroft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            running.1 += 1;
            while running.0 >= SLOTS && boot.up.load(Ordering::SeqCst) {
                running = boot.changed.wait(running).unwrap();
            }
            running.1 -= 1;
            running.0 += 1;
            drop(running);
            if !boot.up.load(Ordering::SeqCst) {
                return Ok(());
            }
            let crashed = (self.work.crashes)(&path);
            self.record.line(&format!("upstream {} runs {id} {path} body {}", boot.id, body.len()));
            self.runs.lock().unwrap().push(Run {
                id: id.clone(),
                at_ms: self.record.ms(),
                crashed,
                service: boot.service.clone(),
            });
            drop(body);
            if crashed {
                if self.work.answers_before_crash {
                    write!(
                        stream,
                        "HTTP/1.1 200 OK\r\nX-Burdockcroft-Attempt-Id: {id}\r\n\
                        X-Burdockcroft-Response-Seal: s.{id}\r\nContent-Length: 5000\r\n\r\nstart"
                    )?;
                    thread::sleep(Duration::from_millis(20));
                }
                self.crash(boot);
                return Ok(());
            }
            thread::sleep((self.work.time)(&path));
            let mut running = boot.running.lock().unwrap();
            running.0 -= 1;
            let load = format!("{},{},{SLOTS}", running.0, running.1);
            drop(running);
            boot.changed.notify_one();
            if !boot.up.load(Ordering::SeqCst) {
                return Ok(());
            }
            static COUNT: AtomicUsize = AtomicUsize::new(0);
            let is_failing = boot.id == self.work.failing && FAILS.load(Ordering::SeqCst);
            if is_failing && COUNT.fetch_add(37, Ordering::SeqCst) % 100 < FAILING_PERCENT {
                self.record.line(&format!("upstream {} has run {id} and answers 503", boot.id));
                write!(
                    stream,
                    "HTTP/1.1 503 Service Unavailable\r\nX-Burdockcroft-Attempt-Id: {id}\r\n\
                     X-Burdockcroft-Response-Seal: s.{id}\r\nX-Burdockcroft-Server-Load: {load}\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            let length = (self.work.answer_bytes)(&path);
            let mut answer = format!("HTTP/1.1 200 OK\r\nX-Burdockcroft-Attempt-Id: {id}\r\nX-Burdockcroft-Response-Seal: s.{id}\r\n\
                X-Burdockcroft-Server-Load: {load}\r\nKeep-Alive: timeout=10\r\nContent-Length: {length}\r\n\r\n").into_bytes();
            answer.resize(answer.len() + length, b'a');
            if (self.work.truncates)(&path) {
                stream.write_all(&answer[..answer.len() / 4 * 3])?;
                self.record.line(&format!("upstream {} breaks off its answer to {id}", boot.id));
                thread::sleep(Duration::from_millis(50));
                return stream.shutdown(Shutdown::Both);
            }
            stream.write_all(&answer)?;
            self.record.line(&format!("upstream {} has answered {id}", boot.id));
        }
        Ok(())
    }
}
