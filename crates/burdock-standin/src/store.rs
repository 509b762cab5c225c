//! Stand-in for the platform's store, with revisions, transactions, leases, long-poll watches and fault
//! injection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::extract::{Path, Query, Request, State};
use axum::http::{HeaderName, HeaderValue, StatusCode};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use burdock_platform::protocol::{
    CommitAnswer, CommitBody, EventsAnswer, Item, LeaseAnswer, LeaseBody, ListedInstance, PageAnswer,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Header of every answer that states the era of the store.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Largest accepted value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Changes kept for watches. A watch from an older revision gets status 410.
const MAX_HISTORY_ITEMS: usize = 4096;

/// Largest number of items on one page.
const PAGE_ITEMS: usize = 500;

/// Size of the values on one page in bytes of base64 from which no item is added.
const PAGE_BYTES: usize = 1 << 20;

/// Largest number of conditions, writes and deletions in one transaction.
const MAX_TRANSACTION_ENTRIES: usize = 32;

/// Key prefixes that only the operator and backend servers may write, not the system's instances.
const READ_ONLY_PREFIXES: [&str; 2] = ["op/", "servers/"];

/// Faults to inject. A field that is `None` leaves the current state of that fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Answer every call with status 503 for this time in milliseconds.
    pub down_ms: Option<u64>,
    /// Delay every call by this time in milliseconds.
    pub slow_ms: Option<u64>,
    /// Apply this number of writes without ever answering them.
    pub lose_answers: Option<u32>,
    /// End every lease once.
    pub lapse_leases: Option<bool>,
    /// Discard the history once, so that every watch has to read all keys again.
    pub forget_history: Option<bool>,
    /// Answer every call with invalid JSON.
    pub garbage: Option<bool>,
}

/// Number of calls received, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Number of reads, lists and watches.
    pub reads: u64,
    /// Number of transactions and lease calls.
    pub writes: u64,
}

/// Contents of a store at one moment, from which it can be restored later.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    revision: u64,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

/// Stand-in for the platform's store. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct StoreStandin {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<StoreState>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct StoreState {
    // Number of restores from a copy.
    era: u64,
    revision: u64,
    keys: BTreeMap<String, Entry>,
    history: Vec<Item>,
    // Revision of the newest change that is no longer in the history.
    compacted_revision: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    instances: Vec<ListedInstance>,
    down_until: Option<Instant>,
    slow: Duration,
    lose_answers: u32,
    garbage: bool,
    calls: CallCounts,
}

#[derive(Clone, Debug)]
struct Entry {
    value: String,
    revision: u64,
    created_revision: u64,
    lease: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    expires_at: Instant,
    ttl: Duration,
}

#[derive(Debug, Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(Debug, Deserialize)]
struct RangeQuery {
    #[serde(default)]
    path_prefix: String,
    #[serde(default)]
    after: String,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    #[serde(default)]
    path_prefix: String,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl StoreStandin {
    /// Starts to serve on an address. Returns the address and the task that serves. Port 0 selects a free
    /// port.
    ///
    /// # Errors
    /// Fails if it can't listen on the address.
    pub async fn serve(
        &self,
        address: SocketAddr,
    ) -> std::io::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let router = self.router();
        let task = tokio::spawn(async move {
            if let Err(e) = axum::serve(listener, router).await {
                eprintln!("store stand-in: HTTP interface stopped: {e}");
            }
        });
        Ok((address, task))
    }

    /// Replaces the platform's list of instances.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        self.inner.state.lock().instances = instances;
    }

    /// Returns the number of calls received so far.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.inner.state.lock().calls
    }

    /// Writes a key as the operator or a backend server does, or deletes it if `value` is `None`.
    pub fn publish(&self, key: &str, value: Option<&[u8]>) {
        let mut state = self.inner.state.lock();
        match value {
            Some(value) => state.put(key, STANDARD.encode(value), 0),
            None => state.remove(key),
        }
        drop(state);
        self.inner.changed.notify_waiters();
    }

    /// Writes a key with a value as the store's answers show it, which need not be base64.
    pub fn publish_raw(&self, key: &str, value: &str) {
        self.inner.state.lock().put(key, value.to_owned(), 0);
        self.inner.changed.notify_waiters();
    }

    /// Returns the names of the present keys.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        self.inner.state.lock().keys.keys().cloned().collect()
    }

    /// Returns a copy of the present contents.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let state = self.inner.state.lock();
        StoreCopy {
            revision: state.revision,
            keys: state.keys.clone(),
            leases: state.leases.clone(),
            next_lease: state.next_lease,
        }
    }

    /// Restores the contents of a copy. Whatever was written since is gone, leases too; revisions are given out again,
    /// and the era rises by one. The leases of the copy run on from now.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.inner.state.lock();
        state.era += 1;
        state.revision = copy.revision;
        state.keys.clone_from(&copy.keys);
        state.leases.clone_from(&copy.leases);
        state.next_lease = copy.next_lease;
        state.history.retain(|item| item.revision <= copy.revision);
        state.compacted_revision = state.compacted_revision.min(copy.revision);
        let now = Instant::now();
        for lease in state.leases.values_mut() {
            lease.expires_at = now + lease.ttl;
        }
        drop(state);
        self.inner.changed.notify_waiters();
    }

    /// Injects faults.
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
            let ids: Vec<u64> = state.leases.keys().copied().collect();
            state.end_leases(&ids);
        }
        if fault.forget_history == Some(true) {
            state.history.clear();
            state.compacted_revision = state.revision;
        }
        if let Some(garbage) = fault.garbage {
            state.garbage = garbage;
        }
        drop(state);
        // Ended leases delete keys, which watches report at once.
        self.inner.changed.notify_waiters();
    }

    fn router(&self) -> Router {
        let platform = Router::new()
            .route("/-/kv-key", get(read_key))
            .route("/-/kv-range", get(read_range))
            .route("/-/kv-watch", get(watch))
            .route("/-/kv-txn", post(commit))
            .route("/-/kv-lease", post(grant_lease))
            .route("/-/kv-keep/{id}", post(renew_lease))
            .route("/-/kv-lease-end/{id}", delete(end_lease))
            .layer(from_fn_with_state(self.clone(), apply_faults))
            .layer(from_fn_with_state(self.clone(), add_era));
        // The list of instances is a separate service of the platform, so the store's faults do not apply to
        // it.
        let list = Router::new().route("/v1/instances", get(list_instances).put(put_instances));
        let control = Router::new().route("/fault", post(inject_fault)).route("/calls", get(call_counts));
        platform.merge(list).merge(control).with_state(self.clone())
    }
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created_revision = self.keys.get(key).map_or(self.revision, |e| e.created_revision);
        let entry = Entry { value, revision: self.revision, created_revision, lease };
        self.append_history(entry.item(key));
        self.keys.insert(key.to_owned(), entry);
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.append_history(Item {
                key: key.to_owned(),
                revision: self.revision,
                tombstone: true,
                ..Item::default()
            });
        }
    }

    fn append_history(&mut self, item: Item) {
        self.history.push(item);
        let excess = self.history.len().saturating_sub(MAX_HISTORY_ITEMS);
        if let Some(last) = self.history.drain(..excess).next_back() {
            self.compacted_revision = last.revision;
        }
    }

    // Applies all of a transaction or nothing. A conflict carries the current items of the expected keys.
    fn commit(&mut self, body: &CommitBody) -> Result<u64, CommitError> {
        self.expire_leases();
        let lease_missing = |lease: u64| lease != 0 && !self.leases.contains_key(&lease);
        if body.put_items.iter().any(|item| lease_missing(item.lease)) {
            return Err(CommitError::NoLease);
        }
        let current_revision = |key: &str| self.keys.get(key).map_or(0, |e| e.revision);
        if body.expected_revision.iter().any(|expected| current_revision(&expected.key) != expected.revision)
        {
            let found =
                body.expected_revision.iter().filter_map(|e| Some(self.keys.get(&e.key)?.item(&e.key)));
            return Err(CommitError::Conflict(found.collect()));
        }
        for item in &body.put_items {
            self.put(&item.key, item.value.clone().unwrap_or_default(), item.lease);
        }
        for key in &body.remove {
            self.remove(key);
        }
        Ok(self.revision)
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(id, _)| *id).collect();
        self.end_leases(&expired);
    }

    fn end_leases(&mut self, ids: &[u64]) {
        if ids.is_empty() {
            return;
        }
        self.leases.retain(|id, _| !ids.contains(id));
        let is_attached = |e: &Entry| e.lease != 0 && ids.contains(&e.lease);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, e)| is_attached(e)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn events_after(&self, prefix: &str, after: u64) -> Vec<Item> {
        let newer = self.history.iter().filter(|item| item.revision > after && item.key.starts_with(prefix));
        newer.cloned().collect()
    }
}

impl Entry {
    fn item(&self, key: &str) -> Item {
        Item {
            key: key.to_owned(),
            value: Some(self.value.clone()),
            revision: self.revision,
            create_rev: self.created_revision,
            lease: self.lease,
            tombstone: false,
        }
    }
}

enum CommitError {
    NoLease,
    Conflict(Vec<Item>),
}

// States the era in which the answer was made.
async fn add_era(State(store): State<StoreStandin>, req: Request, next: Next) -> Response {
    let mut answer = next.run(req).await;
    let era = store.inner.state.lock().era;
    answer.headers_mut().insert(STORE_ERA, HeaderValue::from(era));
    answer
}

// Counts a call of the platform's interface and applies the faults to it. The control calls are exempt.
async fn apply_faults(State(store): State<StoreStandin>, req: Request, next: Next) -> Response {
    let is_write = req.method() != axum::http::Method::GET;
    let (down, slow, garbage) = {
        let mut state = store.inner.state.lock();
        if is_write {
            state.calls.writes += 1;
        } else {
            state.calls.reads += 1;
        }
        state.expire_leases();
        (state.down_until.is_some_and(|until| Instant::now() < until), state.slow, state.garbage)
    };
    if down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if garbage {
        return "{\"items\":[{\"key\"".into_response();
    }
    tokio::time::sleep(slow).await;
    let answer = next.run(req).await;
    if is_write && store.take_lost_answer() {
        // The answer never arrives, so the caller's timeout expires.
        std::future::pending::<()>().await;
    }
    answer
}

impl StoreStandin {
    // Returns whether the answer to the current write is to be lost, and counts it.
    fn take_lost_answer(&self) -> bool {
        let mut state = self.inner.state.lock();
        let lose = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        lose
    }
}

async fn read_key(State(store): State<StoreStandin>, Query(query): Query<KeyQuery>) -> Response {
    let state = store.inner.state.lock();
    match state.keys.get(&query.key) {
        Some(entry) => Json(entry.item(&query.key)).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn read_range(State(store): State<StoreStandin>, Query(query): Query<RangeQuery>) -> Json<PageAnswer> {
    let state = store.inner.state.lock();
    let matching = |key: &str| key.starts_with(&query.path_prefix) && key > query.after.as_str();
    let mut rest = state.keys.iter().filter(|(key, _)| matching(key)).map(|(key, e)| e.item(key)).peekable();
    let (mut items, mut bytes) = (Vec::new(), 0);
    while let Some(item) = rest.next_if(|_| items.len() < PAGE_ITEMS && bytes < PAGE_BYTES) {
        bytes += item.value.as_ref().map_or(0, String::len);
        items.push(item);
    }
    let has_more = rest.peek().is_some();
    Json(PageAnswer { items, has_more, store_revision: state.revision })
}

async fn watch(State(store): State<StoreStandin>, Query(query): Query<WatchQuery>) -> Response {
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = store.inner.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let answer = {
            let state = store.inner.state.lock();
            if query.after < state.compacted_revision || query.after > state.revision {
                return StatusCode::GONE.into_response();
            }
            EventsAnswer {
                events: state.events_after(&query.path_prefix, query.after),
                store_revision: state.revision,
            }
        };
        if !answer.events.is_empty() || tokio::time::Instant::now() >= deadline {
            return Json(answer).into_response();
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return Json(answer).into_response();
        }
    }
}

async fn commit(State(store): State<StoreStandin>, Json(body): Json<CommitBody>) -> Response {
    let keys = body.put_items.iter().map(|item| &item.key).chain(&body.remove);
    if keys.clone().any(|key| READ_ONLY_PREFIXES.iter().any(|prefix| key.starts_with(prefix))) {
        return StatusCode::FORBIDDEN.into_response();
    }
    let too_large = |item: &Item| {
        let decoded = STANDARD.decode(item.value.as_deref().unwrap_or_default());
        decoded.is_ok_and(|bytes| bytes.len() > MAX_VALUE_BYTES)
    };
    let entries = body.expected_revision.len() + body.put_items.len() + body.remove.len();
    if entries > MAX_TRANSACTION_ENTRIES || body.put_items.iter().any(too_large) {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let result = store.inner.state.lock().commit(&body);
    store.inner.changed.notify_waiters();
    match result {
        Ok(revision) => Json(CommitAnswer { revision }).into_response(),
        Err(CommitError::NoLease) => StatusCode::NOT_FOUND.into_response(),
        Err(CommitError::Conflict(items)) => {
            let store_revision = store.inner.state.lock().revision;
            let answer = PageAnswer { items, has_more: false, store_revision };
            (StatusCode::PRECONDITION_FAILED, Json(answer)).into_response()
        }
    }
}

async fn grant_lease(State(store): State<StoreStandin>, Json(body): Json<LeaseBody>) -> Json<LeaseAnswer> {
    let mut state = store.inner.state.lock();
    state.next_lease += 1;
    let (lease, ttl) = (state.next_lease, Duration::from_secs_f64(body.ttl_s_time.max(0.0)));
    state.leases.insert(lease, Lease { expires_at: Instant::now() + ttl, ttl });
    Json(LeaseAnswer { lease, ttl_s_time: body.ttl_s_time })
}

async fn renew_lease(State(store): State<StoreStandin>, Path(id): Path<u64>) -> Response {
    match store.inner.state.lock().leases.get_mut(&id) {
        Some(lease) => {
            lease.expires_at = Instant::now() + lease.ttl;
            Json(LeaseBody { ttl_s_time: lease.ttl.as_secs_f64() }).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn end_lease(State(store): State<StoreStandin>, Path(id): Path<u64>) -> StatusCode {
    store.inner.state.lock().end_leases(&[id]);
    store.inner.changed.notify_waiters();
    StatusCode::OK
}

async fn list_instances(State(store): State<StoreStandin>) -> Json<Vec<ListedInstance>> {
    Json(store.inner.state.lock().instances.clone())
}

async fn put_instances(
    State(store): State<StoreStandin>,
    Json(list): Json<Vec<ListedInstance>>,
) -> StatusCode {
    store.set_instances(list);
    StatusCode::OK
}

async fn inject_fault(State(store): State<StoreStandin>, Json(fault): Json<Fault>) -> StatusCode {
    store.inject(fault);
    StatusCode::OK
}

async fn call_counts(State(store): State<StoreStandin>) -> Json<CallCounts> {
    Json(store.calls())
}
