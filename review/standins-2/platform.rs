//! Stand-in for the platform's metadata store, as the protocol page describes it. It is sound all the time.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Response};
use crate::json::{self, Json};

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    /// Base64 text of the value and the lease; `None` for a deletion.
    value: Option<(String, u64)>,
}

struct Lease {
    ttl: f64,
    left: f64,
}

struct State {
    revision: u64,
    keys: BTreeMap<String, Event>,
    history: Vec<Event>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    aged_at: Instant,
}

/// The store. Copies share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = State {
            revision: 7,
            keys: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 100,
            aged_at: Instant::now(),
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().unwrap(),
        };
        let shared = store.clone();
        http::serve(listener, move |req, _| shared.handle(&req));
        let aging = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                aging.state.0.lock().unwrap().age();
                aging.state.1.notify_all();
            }
        });
        store
    }

    /// Writes a key as the operator or an upstream does.
    pub fn put(&self, key: &str, value: &str) {
        self.state.0.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn handle(&self, req: &http::Request) -> Response {
        let (path, query) = req.path.split_once('?').unwrap_or((&req.path, ""));
        let field = |name: &str| http::query_field(query, name);
        match path {
            "/-/kv-key" => {
                let state = self.state.0.lock().unwrap();
                match state.keys.get(&field("key")) {
                    Some(event) => Response::json(item(event, state.revision)),
                    None => Response::new(404),
                }
            }
            "/-/kv-range" => {
                let (prefix, after) = (field("path_prefix"), field("after"));
                let state = self.state.0.lock().unwrap();
                let items: Vec<String> = state
                    .keys
                    .values()
                    .filter(|e| e.key.starts_with(&prefix) && e.key > after)
                    .map(|e| item(e, state.revision))
                    .collect();
                let (items, revision) = (items.join(","), state.revision);
                Response::json(format!(
                    "{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}"
                ))
            }
            "/-/kv-watch" => self.watch(
                &field("path_prefix"),
                field("after").parse().unwrap_or(0),
                Duration::from_millis(field("wait_ms").parse().unwrap_or(0)),
            ),
            "/-/kv-txn" => self.commit(&req.body),
            "/-/kv-lease" => {
                let ttl = json::parse(&req.body).get("ttl_s_time").number().max(1.0);
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, Lease { ttl, left: ttl });
                Response::json(format!("{{\"lease\":{id},\"ttl_s_time\":{ttl}}}"))
            }
            _ if path.starts_with("/-/kv-keep/") => {
                let id = path.rsplit('/').next().unwrap().parse().unwrap_or(0);
                match self.state.0.lock().unwrap().leases.get_mut(&id) {
                    Some(lease) => {
                        lease.left = lease.ttl;
                        Response::json(format!("{{\"ttl_s_time\":{}}}", lease.ttl))
                    }
                    None => Response::new(404),
                }
            }
            _ if path.starts_with("/-/kv-lease-end/") => {
                let id = path.rsplit('/').next().unwrap().parse().unwrap_or(0);
                self.state.0.lock().unwrap().end_lease(id);
                self.state.1.notify_all();
                Response::json("{}".to_owned())
            }
            _ => Response::new(404),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Response {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let found: Vec<String> = state
                .history
                .iter()
                .filter(|e| e.revision > after && e.key.starts_with(prefix))
                .map(|e| item(e, state.revision))
                .collect();
            if !found.is_empty() || Instant::now() >= end {
                let (events, revision) = (found.join(","), state.revision);
                return Response::json(format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"));
            }
            state = self.state.1.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
        }
    }

    fn commit(&self, body: &[u8]) -> Response {
        let body = json::parse(body);
        let mut state = self.state.0.lock().unwrap();
        for expected in body.get("expected_revision").items() {
            let current = state.keys.get(expected.get("key").text()).map_or(0, |e| e.revision);
            if current != expected.get("revision").number() as u64 {
                return Response { status: 412, ..Response::json("{\"items\":[]}".to_owned()) };
            }
        }
        let lease_of = |put: &Json| put.get("lease").number() as u64;
        if body.get("put_items").items().any(|p| lease_of(p) != 0 && !state.leases.contains_key(&lease_of(p)))
        {
            return Response::new(404);
        }
        for put in body.get("put_items").items() {
            state.put(put.get("key").text(), put.get("value").text().to_owned(), lease_of(put));
        }
        for key in body.get("remove").items() {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        Response::json(format!("{{\"revision\":{revision}}}"))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let event = Event { key: key.to_owned(), revision: self.revision, value: Some((value, lease)) };
        self.history.push(event.clone());
        self.keys.insert(key.to_owned(), event);
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Event { key: key.to_owned(), revision: self.revision, value: None });
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = |e: &&Event| e.value.as_ref().is_some_and(|(_, lease)| *lease == id);
        let keys: Vec<String> = self.keys.values().filter(attached).map(|e| e.key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn age(&mut self) {
        let elapsed = self.aged_at.elapsed().as_secs_f64();
        self.aged_at = Instant::now();
        self.leases.values_mut().for_each(|lease| lease.left -= elapsed);
        let ended: Vec<u64> = self.leases.iter().filter(|(_, l)| l.left <= 0.0).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

fn item(event: &Event, store_revision: u64) -> String {
    let (key, revision) = (json::quote(&event.key), event.revision);
    match &event.value {
        Some((value, lease)) => format!(
            "{{\"key\":{key},\"value\":\"{value}\",\"revision\":{revision},\"create_rev\":{revision},\"lease\":{lease},\"store_revision\":{store_revision}}}"
        ),
        None => format!("{{\"key\":{key},\"revision\":{revision},\"tombstone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group =
            chunk.iter().fold(0u32, |group, byte| group << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}
