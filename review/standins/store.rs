//! Stand-in for the platform's store, as PROTOCOL.md describes it. It has no faults.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Head;
use crate::json::{Json, base64};

#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

struct Item {
    json: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Store {
    /// Starts to serve on a free port.
    pub fn serve() -> (Self, SocketAddr) {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || drop(store.serve_connection(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        (store, address)
    }

    /// Writes a key as the operator or an upstream does; `None` removes it.
    pub fn publish(&self, key: &str, value: Option<&str>) {
        let mut state = self.inner.state.lock().unwrap();
        match value {
            Some(value) => state.put(key, &base64(value.as_bytes()), 0),
            None => state.remove(key),
        }
        drop(state);
        self.inner.changed.notify_all();
    }

    fn expire(&self) {
        let mut state = self.inner.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (at, _))| *at <= now).map(|(id, _)| *id).collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        drop(state);
        if !ended.is_empty() {
            self.inner.changed.notify_all();
        }
    }

    fn serve_connection(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            let body = head.read_body(&mut reader)?;
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            write!(
                stream,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            )?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query: HashMap<&str, String> =
            query.split('&').filter_map(|p| p.split_once('=')).map(|(n, v)| (n, unescape(v))).collect();
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let mut state = self.inner.state.lock().unwrap();
        match path {
            "/-/kv-key" => match state.item(&field("key")) {
                Some(json) => (200, json),
                None => (404, "{}".to_owned()),
            },
            "/-/kv-range" => {
                let (prefix, after) = (field("path_prefix"), field("after"));
                let mut page = Vec::new();
                let mut bytes = 0;
                let mut more = false;
                for (key, item) in &state.items {
                    if !key.starts_with(&prefix) || *key <= after {
                        continue;
                    }
                    // A page has at most 500 items or about 1 MB.
                    if page.len() == 500 || bytes > 1_000_000 {
                        more = true;
                        break;
                    }
                    bytes += item.json.len();
                    page.push(item.json.clone());
                }
                let revision = state.revision;
                let items = page.join(",");
                (200, format!("{{\"items\":[{items}],\"has_more\":{more},\"store_revision\":{revision}}}"))
            }
            "/-/kv-watch" => {
                let (prefix, after) = (field("path_prefix"), field("after").parse().unwrap_or(0));
                let end = Instant::now() + Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(revision, json)| {
                            *revision > after && json.starts_with(&format!("{{\"key\":\"{prefix}"))
                        })
                        .map(|(_, json)| json.clone())
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        return (
                            200,
                            format!("{{\"events\":[{events}],\"store_revision\":{}}}", state.revision),
                        );
                    }
                    state = self.inner.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/-/kv-txn" => {
                let answer = state.commit(&Json::parse(body).unwrap_or(Json::Null));
                drop(state);
                self.inner.changed.notify_all();
                answer
            }
            "/-/kv-lease" => {
                let ttl =
                    Json::parse(body).unwrap_or(Json::Null).get("ttl_s_time").number().clamp(1.0, 600.0);
                state.next_lease += 1;
                let id = 7000 + state.next_lease;
                let ttl_time = Duration::from_secs_f64(ttl);
                state.leases.insert(id, (Instant::now() + ttl_time, ttl_time));
                (200, format!("{{\"lease\":{id},\"ttl_s_time\":{ttl}}}"))
            }
            _ if path.starts_with("/-/kv-keep/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((at, ttl)) => {
                        *at = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_s_time\":{}}}", ttl.as_secs_f64()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ if path.starts_with("/-/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                state.end_lease(id);
                drop(state);
                self.inner.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl State {
    fn item(&self, key: &str) -> Option<String> {
        self.items.get(key).map(|item| item.json.clone())
    }

    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let json = format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"create_rev\":{created},\"lease\":{lease}}}"
        );
        self.history.push((revision, json.clone()));
        self.items.insert(key.to_owned(), Item { json, revision, created, lease });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push((
                revision,
                format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
            ));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        let expected = body.get("expected_revision").list();
        let current = |key: &str| self.items.get(key).map_or(0, |i| i.revision);
        if expected.iter().any(|e| current(e.get("key").text()) as f64 != e.get("revision").number()) {
            let items: Vec<String> = expected.iter().filter_map(|e| self.item(e.get("key").text())).collect();
            return (
                412,
                format!(
                    "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
                    items.join(","),
                    self.revision
                ),
            );
        }
        let puts = body.get("put_items").list();
        let lease_of = |put: &Json| put.get("lease").number() as u64;
        if puts.iter().any(|p| lease_of(p) != 0 && !self.leases.contains_key(&lease_of(p))) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            self.put(put.get("key").text(), put.get("value").text(), lease_of(put));
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
