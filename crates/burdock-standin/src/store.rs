//! A stand-in for the platform's store: versions, compare-and-swap, leases, long-poll watches, faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::extract::{Path, Query, Request, State};
use axum::http::StatusCode;
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use burdock_platform::protocol::{
    KeyVersion, LeaseAnswer, LeaseBody, ListedInstance, PutAnswer, PutBody, Versioned, WatchAnswer,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// The largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Changes that watches can still ask for; an older index gets every key.
const HISTORY: usize = 4096;

/// A fault to inject. Fields left out stay as they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Refuse everything for this long.
    pub down_ms: Option<u64>,
    /// Answer this much later.
    pub slow_ms: Option<u64>,
    /// Take effect, but lose the answers to this many writes.
    pub lose_answers: Option<u32>,
    /// End every lease at once.
    pub lapse_leases: Option<bool>,
}

/// Counts of calls by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes, deletes and lease calls.
    pub writes: u64,
}

/// The stand-in's state, shared with its HTTP interface.
#[derive(Clone, Debug, Default)]
pub struct StoreStandin {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<KeyState>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct KeyState {
    index: u64,
    keys: BTreeMap<String, Entry>,
    history: Vec<(u64, String)>,
    leases: BTreeMap<u64, Instant>,
    next_lease: u64,
    instances: Vec<ListedInstance>,
    down_until: Option<Instant>,
    slow: Duration,
    lose_answers: u32,
    calls: Calls,
}

#[derive(Debug)]
struct Entry {
    value: String,
    version: u64,
    lease: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Expect {
    expect: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Prefix {
    #[serde(default)]
    prefix: String,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    since: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl StoreStandin {
    /// Serves on an address until the returned task is dropped. Port 0 takes any free port.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub async fn serve(
        &self,
        address: SocketAddr,
    ) -> std::io::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let router = self.router();
        let task = tokio::spawn(async move {
            if let Err(e) = axum::serve(listener, router).await {
                eprintln!("store stand-in: {e}");
            }
        });
        Ok((address, task))
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        self.inner.state.lock().instances = instances;
    }

    /// Calls counted so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.inner.state.lock().calls
    }

    /// Injects a fault.
    pub fn inject(&self, fault: Fault) {
        let mut state = self.inner.state.lock();
        if let Some(ms) = fault.down_ms {
            state.down_until = Some(Instant::now() + Duration::from_millis(ms));
        }
        if let Some(ms) = fault.slow_ms {
            state.slow = Duration::from_millis(ms);
        }
        if let Some(count) = fault.lose_answers {
            state.lose_answers = count;
        }
        if fault.lapse_leases == Some(true) {
            let all: Vec<u64> = state.leases.keys().copied().collect();
            state.end_leases(&all);
        }
    }

    fn router(&self) -> Router {
        let platform = Router::new()
            .route("/v1/kv", get(list))
            .route("/v1/kv/{*key}", get(read).put(write).delete(remove))
            .route("/v1/watch", get(watch))
            .route("/v1/leases", post(grant))
            .route("/v1/leases/{id}/renew", post(renew))
            .layer(from_fn_with_state(self.clone(), apply_faults));
        // The list of instances is a service of its own, which the store's faults leave alone.
        let list = Router::new().route("/v1/instances", get(instances).put(put_instances));
        let control = Router::new().route("/fault", post(fault)).route("/calls", get(calls));
        platform.merge(list).merge(control).with_state(self.clone())
    }
}

impl KeyState {
    fn record(&mut self, key: &str) {
        self.history.push((self.index, key.to_owned()));
        let extra = self.history.len().saturating_sub(HISTORY);
        self.history.drain(..extra);
    }

    fn put(&mut self, key: &str, body: PutBody) -> Result<u64, u64> {
        self.expire_leases();
        let present = self.keys.get(key).map_or(0, |e| e.version);
        if body.expect.is_some_and(|expect| expect != present) {
            return Err(present);
        }
        self.index += 1;
        let version = self.index;
        self.keys.insert(key.to_owned(), Entry { value: body.value, version, lease: body.lease });
        self.record(key);
        Ok(version)
    }

    fn delete(&mut self, key: &str, expect: Option<u64>) -> Result<(), u64> {
        let present = self.keys.get(key).map_or(0, |e| e.version);
        if expect.is_some_and(|expect| expect != present) {
            return Err(present);
        }
        if self.keys.remove(key).is_some() {
            self.index += 1;
            self.record(key);
        }
        Ok(())
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self.leases.iter().filter(|(_, end)| **end <= now).map(|(id, _)| *id).collect();
        self.end_leases(&over);
    }

    fn end_leases(&mut self, over: &[u64]) {
        if over.is_empty() {
            return;
        }
        self.leases.retain(|id, _| !over.contains(id));
        let held = |e: &Entry| e.lease.is_some_and(|l| over.contains(&l));
        let keys: Vec<String> = self.keys.iter().filter(|(_, e)| held(e)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.keys.remove(&key);
            self.index += 1;
            self.record(&key);
        }
    }

    fn changes(&self, prefix: &str, since: u64) -> Vec<KeyVersion> {
        let oldest = self.history.first().map_or(self.index, |(index, _)| *index);
        let complete = since + 1 >= oldest;
        let mut keys: Vec<&String> = if complete {
            self.history.iter().filter(|(index, _)| *index > since).map(|(_, key)| key).collect()
        } else {
            self.keys.keys().collect()
        };
        keys.sort_unstable();
        keys.dedup();
        let version = |key: &str| self.keys.get(key).map_or(0, |e| e.version);
        let matching = keys.into_iter().filter(|key| key.starts_with(prefix));
        matching.map(|key| KeyVersion { key: key.clone(), version: version(key) }).collect()
    }
}

// Faults apply to the platform's calls only, not to the stand-in's own controls.
async fn apply_faults(State(store): State<StoreStandin>, req: Request, next: Next) -> Response {
    let is_write = req.method() != axum::http::Method::GET;
    let (down, slow) = {
        let mut state = store.inner.state.lock();
        if is_write {
            state.calls.writes += 1;
        } else {
            state.calls.reads += 1;
        }
        state.expire_leases();
        (state.down_until.is_some_and(|until| Instant::now() < until), state.slow)
    };
    if down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    tokio::time::sleep(slow).await;
    let answer = next.run(req).await;
    if is_write && store.lose_answer() {
        // The answer never comes: the caller runs into its time limit.
        std::future::pending::<()>().await;
    }
    answer
}

impl StoreStandin {
    fn lose_answer(&self) -> bool {
        let mut state = self.inner.state.lock();
        let lose = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        lose
    }
}

async fn read(State(store): State<StoreStandin>, Path(key): Path<String>) -> Response {
    let state = store.inner.state.lock();
    match state.keys.get(&key) {
        Some(entry) => Json(Versioned { value: entry.value.clone(), version: entry.version }).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write(
    State(store): State<StoreStandin>,
    Path(key): Path<String>,
    Json(body): Json<PutBody>,
) -> Response {
    if body.value.len() > MAX_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let result = store.inner.state.lock().put(&key, body);
    store.inner.changed.notify_waiters();
    answer_version(result)
}

async fn remove(
    State(store): State<StoreStandin>,
    Path(key): Path<String>,
    Query(query): Query<Expect>,
) -> Response {
    let result = store.inner.state.lock().delete(&key, query.expect);
    store.inner.changed.notify_waiters();
    answer_version(result.map(|()| 0))
}

fn answer_version(result: Result<u64, u64>) -> Response {
    match result {
        Ok(version) => Json(PutAnswer { version }).into_response(),
        Err(version) => (StatusCode::CONFLICT, Json(PutAnswer { version })).into_response(),
    }
}

async fn list(State(store): State<StoreStandin>, Query(query): Query<Prefix>) -> Json<Vec<KeyVersion>> {
    let state = store.inner.state.lock();
    let matching = state.keys.iter().filter(|(key, _)| key.starts_with(&query.prefix));
    Json(matching.map(|(key, e)| KeyVersion { key: key.clone(), version: e.version }).collect())
}

async fn watch(State(store): State<StoreStandin>, Query(query): Query<WatchQuery>) -> Json<WatchAnswer> {
    let end = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = store.inner.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let answer = {
            let state = store.inner.state.lock();
            WatchAnswer { index: state.index, changes: state.changes(&query.prefix, query.since) }
        };
        if !answer.changes.is_empty() || tokio::time::Instant::now() >= end {
            return Json(answer);
        }
        if tokio::time::timeout_at(end, changed).await.is_err() {
            return Json(answer);
        }
    }
}

async fn grant(State(store): State<StoreStandin>, Json(body): Json<LeaseBody>) -> Json<LeaseAnswer> {
    let mut state = store.inner.state.lock();
    state.next_lease += 1;
    let lease = state.next_lease;
    state.leases.insert(lease, Instant::now() + Duration::from_millis(body.ttl_ms));
    Json(LeaseAnswer { lease })
}

async fn renew(State(store): State<StoreStandin>, Path(id): Path<u64>) -> StatusCode {
    const RENEWED_FOR: Duration = Duration::from_secs(10);
    match store.inner.state.lock().leases.get_mut(&id) {
        Some(end) => {
            *end = Instant::now() + RENEWED_FOR;
            StatusCode::OK
        }
        None => StatusCode::NOT_FOUND,
    }
}

async fn instances(State(store): State<StoreStandin>) -> Json<Vec<ListedInstance>> {
    Json(store.inner.state.lock().instances.clone())
}

async fn put_instances(
    State(store): State<StoreStandin>,
    Json(list): Json<Vec<ListedInstance>>,
) -> StatusCode {
    store.set_instances(list);
    StatusCode::OK
}

async fn fault(State(store): State<StoreStandin>, Json(fault): Json<Fault>) -> StatusCode {
    store.inject(fault);
    StatusCode::OK
}

async fn calls(State(store): State<StoreStandin>) -> Json<Calls> {
    Json(store.calls())
}
