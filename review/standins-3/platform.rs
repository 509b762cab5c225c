//! Stand-in for the platform's store, as far as a small deployment uses it, and for the operator who writes to it.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::base::{HOST, Head, read_message};
use crate::json;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    // JSON of each event with its revision.
    events: Vec<(u64, String)>,
    leases: HashMap<u64, (Instant, f64)>,
    next_lease: u64,
}

/// A report of an upstream that is ready.
pub struct Entry<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub address: SocketAddr,
    pub slots: u32,
    /// Unix time of its start in milliseconds.
    pub born: u64,
    pub sequence: u64,
}

/// The platform's store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { revision: 10, next_lease: 100, ..State::default() };
        let store =
            Self { address: listener.local_addr()?, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(200));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator or an upstream does.
    pub fn publish(&self, key: &str, json: &str) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().put(key, base64(json.as_bytes()), 0);
        changed.notify_all();
    }

    /// Writes the entry of an upstream that is ready, as its report has it.
    pub fn register(&self, entry: &Entry) {
        let Entry { id, service, address, slots, born, sequence } = entry;
        let text = format!(
            "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
             \"zone\":\"riga-a\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\
             \"warmup_left_s\":0}}}}"
        );
        self.publish(&format!("servers/{id}"), &text);
    }

    /// Removes the entry of an upstream that has left.
    pub fn unregister(&self, id: &str) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().remove(&format!("servers/{id}"));
        changed.notify_all();
    }

    fn expire(&self) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (end, _))| *end <= Instant::now()).map(|(id, _)| *id).collect();
        for id in ended {
            state.leases.remove(&id);
            let keys: Vec<String> =
                state.items.iter().filter(|(_, i)| i.lease == id).map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| state.remove(key));
            changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Ok(Some((head, body))) = read_message(&mut stream, &mut buf) {
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let resp = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(resp.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let query: HashMap<&str, String> =
            query.split('&').filter_map(|p| p.split_once('=')).map(|(n, v)| (n, percent_decode(v))).collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (state, changed) = &*self.shared;
        match path {
            "/-/kv-range" => {
                let state = state.lock().unwrap();
                let (prefix, after) = (text("path_prefix"), text("after"));
                let found = state.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = found.map(|(key, item)| item.json(key)).collect();
                let revision = state.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{revision}}}",
                        items.join(",")
                    ),
                )
            }
            "/-/kv-watch" => {
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                let state = state.lock().unwrap();
                let (state, _) = changed.wait_timeout_while(state, wait, |s| s.revision <= after).unwrap();
                let events: Vec<&str> =
                    state.events.iter().filter(|(r, _)| *r > after).map(|(_, text)| text.as_str()).collect();
                (200, format!("{{\"events\":[{}],\"store_revision\":{}}}", events.join(","), state.revision))
            }
            "/-/kv-txn" => {
                let mut state = state.lock().unwrap();
                let call = json::parse(body);
                let puts = call.get("put_items").items();
                if puts
                    .iter()
                    .map(|p| p.get("lease").number())
                    .any(|l| l > 0.0 && !state.leases.contains_key(&(l as u64)))
                {
                    return (404, "{}".to_owned());
                }
                for put in puts {
                    let (key, value) = (put.get("key").text(), put.get("value").text());
                    state.put(&key, value, put.get("lease").number() as u64);
                }
                call.get("remove").items().iter().for_each(|key| state.remove(&key.text()));
                changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            "/-/kv-lease" => {
                let mut state = state.lock().unwrap();
                let ttl = json::parse(body).get("ttl_s_time").number();
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, (Instant::now() + Duration::from_secs_f64(ttl), ttl));
                (200, format!("{{\"lease\":{id},\"ttl_s_time\":{ttl}}}"))
            }
            _ => {
                let id = path.strip_prefix("/-/kv-keep/").and_then(|id| id.parse::<u64>().ok());
                let mut state = state.lock().unwrap();
                match id.and_then(|id| state.leases.get_mut(&id)) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + Duration::from_secs_f64(*ttl);
                        (200, format!("{{\"ttl_s_time\":{ttl}}}"))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let item = Item { value, revision: self.revision, lease };
        self.events.push((self.revision, item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.events.push((
                revision,
                format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
            ));
        }
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Self { value, revision, lease } = self;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"create_rev\":{revision},\"lease\":{lease}}}"
        )
    }
}

/// Builds a manifest with routes given as name, prefix, kind and time-out in seconds, all to the service `a`.
pub fn manifest(version: u64, routes: &[(&str, &str, &str, u32)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix, kind, timeout_s)| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
                 \"timeout_s\":{timeout_s},\"target_latency_s\":0.4,\"priority\":1,\"service\":\"a\",\
                 \"max_attempts\":2,\"auth_exempt\":false,\"session_affinity\":false,\"allowed_regions\":[]}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"a\",\"health_path\":\"/health\",\
         \"max_connections\":813,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":6.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\
         \"idle_timeout_s\":15}},\"tenants\":[]}}",
        routes.join(",")
    )
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut ix) = (Vec::new(), 0);
    while ix < bytes.len() {
        let hex = text.get(ix + 1..ix + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match hex.filter(|_| bytes[ix] == b'%') {
            Some(byte) => {
                decoded.push(byte);
                ix += 3;
            }
            None => {
                decoded.push(bytes[ix]);
                ix += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |sum, b| sum << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for nth in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * nth) & 63) as usize] as char;
            text.push(if nth <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
