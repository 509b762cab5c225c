//! A stand-in backend server: a JSON echo with slots, a log of what ran, and faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use burdock_platform::dialect::Dialect;
use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Header by which a backend server says that it did not run a request.
pub const SHED_HEADER: &str = "x-shed";

/// One request that ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedRequest {
    /// The request id that the system added.
    pub id: String,
    /// The path.
    pub path: String,
    /// The idempotency key, empty for none.
    pub idempotency_key: String,
    /// The organisation that the system added, empty for none.
    pub organisation: String,
    /// Start, in microseconds of the wall clock.
    pub start_us: u64,
    /// End; 0 while at work or when it never ended.
    pub end_us: u64,
}

/// A fault to inject. Fields left out stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Say that it is leaving and wants no new work. It still runs what comes.
    pub drain: Option<bool>,
    /// Shed every request.
    pub shed: Option<bool>,
    /// Take requests and never answer.
    pub stall: Option<bool>,
    /// Crash on a request whose path holds this text; empty for never.
    pub crash_on: Option<String>,
    /// Report this many requests at work, whatever the truth; negative for the truth.
    pub lie_load: Option<i64>,
    /// Answer the health endpoint with an error.
    pub unhealthy: Option<bool>,
}

/// What the health endpoint answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// It takes new work.
    pub accepting: bool,
    /// Requests at work.
    pub in_flight: u32,
    /// Requests it works on at once.
    pub slots: u32,
}

/// A stand-in backend server.
#[derive(Clone, Debug)]
pub struct BackendStandin {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    name: String,
    slots: u32,
    keep_log: bool,
    state: Mutex<Work>,
    up: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct Work {
    in_flight: u32,
    log: Vec<LoggedRequest>,
    fault: Fault,
}

/// The addresses that a stand-in serves on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendAddresses {
    /// For requests.
    pub service: SocketAddr,
    /// For control.
    pub control: SocketAddr,
}

type Body = BoxBody<Bytes, std::io::Error>;

impl BackendStandin {
    /// A backend server with a name and slots. Without a log it is fit for benches.
    #[must_use]
    pub fn new(name: &str, slots: u32, keep_log: bool) -> Self {
        let (up, _) = watch::channel(true);
        let inner = Inner { name: name.to_owned(), slots, keep_log, state: Mutex::default(), up };
        Self { inner: Arc::new(inner) }
    }

    /// Serves requests and control. Port 0 takes any free port.
    ///
    /// # Errors
    /// When an address can't be listened on.
    pub async fn serve(&self, service: SocketAddr, control: SocketAddr) -> std::io::Result<BackendAddresses> {
        let listener = TcpListener::bind(service).await?;
        let service = listener.local_addr()?;
        let control_listener = TcpListener::bind(control).await?;
        let control = control_listener.local_addr()?;
        tokio::spawn(self.clone().listen(listener, service));
        let router = self.control_router();
        tokio::spawn(async move {
            if let Err(e) = axum::serve(control_listener, router).await {
                eprintln!("backend stand-in: {e}");
            }
        });
        Ok(BackendAddresses { service, control })
    }

    /// What ran so far.
    #[must_use]
    pub fn log(&self) -> Vec<LoggedRequest> {
        self.inner.state.lock().log.clone()
    }

    /// Injects a fault.
    pub fn inject(&self, fault: Fault) {
        let mut state = self.inner.state.lock();
        let now = &mut state.fault;
        now.drain = fault.drain.or(now.drain);
        now.shed = fault.shed.or(now.shed);
        now.stall = fault.stall.or(now.stall);
        now.crash_on = fault.crash_on.or_else(|| now.crash_on.take());
        now.lie_load = fault.lie_load.or(now.lie_load);
        now.unhealthy = fault.unhealthy.or(now.unhealthy);
    }

    /// Closes the listener and every connection, as a crash does.
    pub fn stop(&self) {
        self.inner.up.send_replace(false);
        self.inner.state.lock().in_flight = 0;
    }

    /// Listens again on the same address.
    pub fn start(&self) {
        self.inner.up.send_replace(true);
    }

    // While down there is no listener, so connections are refused.
    async fn listen(self, first: TcpListener, address: SocketAddr) {
        let mut up = self.inner.up.subscribe();
        let mut listener = Some(first);
        loop {
            if !*up.borrow_and_update() {
                listener = None;
                if up.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(open) = &listener else {
                listener = rebind(address).await;
                continue;
            };
            tokio::select! {
                accepted = open.accept() => {
                    if let Ok((stream, _)) = accepted {
                        self.spawn_connection(stream);
                    }
                }
                _ = up.changed() => {}
            }
        }
    }

    fn spawn_connection(&self, stream: tokio::net::TcpStream) {
        let backend = self.clone();
        let mut up = self.inner.up.subscribe();
        tokio::spawn(async move {
            if stream.set_nodelay(true).is_err() {
                return;
            }
            let service = service_fn(|req| {
                let backend = backend.clone();
                async move { backend.answer(req).await }
            });
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                _ = up.wait_for(|up| !up) => {}
            }
        });
    }

    // Answers a request, with the platform's headers where it came with them.
    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
        let dialect = Dialect::platform();
        let asked = req.headers().clone();
        let own = HeaderValue::from_str(&self.inner.name).map_err(std::io::Error::other)?;
        if asked.get(&dialect.expected_backend).is_some_and(|only| *only != own) {
            let mut resp = shed();
            *resp.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return Ok(resp);
        }
        let mut resp = self.run(req).await?;
        if let Some(id) = asked.get(&dialect.attempt_id) {
            self.seal(&dialect, id, resp.headers_mut());
        }
        Ok(resp)
    }

    fn seal(&self, dialect: &Dialect, id: &HeaderValue, headers: &mut HeaderMap) {
        headers.insert(&dialect.attempt_id, id.clone());
        if headers.contains_key(SHED_HEADER) {
            headers.insert(&dialect.not_run, HeaderValue::from_static("1"));
            return;
        }
        headers.insert(&dialect.response_seal, HeaderValue::from_static("0.1.2"));
        let (in_flight, slots) = (self.inner.state.lock().in_flight, self.inner.slots);
        let load = format!("{},{},{slots}", in_flight.min(slots), in_flight.saturating_sub(slots));
        if let Ok(load) = HeaderValue::from_str(&load) {
            headers.insert(&dialect.backend_load, load);
        }
    }

    async fn run(&self, req: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
        if req.uri().path() == "/health" {
            return Ok(self.health());
        }
        let query = req.uri().query().unwrap_or("").to_owned();
        let options = options_of(&query);
        let fault = self.inner.state.lock().fault.clone();
        if options.contains_key("shed") || fault.shed == Some(true) {
            return Ok(shed());
        }
        let Some(_slot) = self.begin() else {
            return Ok(shed());
        };
        let entry = self.note_start(&req);
        if fault.crash_on.as_ref().is_some_and(|text| !text.is_empty() && req.uri().path().contains(text)) {
            self.stop();
            return Err(std::io::Error::other("crashed"));
        }
        let (parts, body) = req.into_parts();
        let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
        if fault.stall == Some(true) {
            std::future::pending::<()>().await;
        }
        if let Some(ms) = options.get("delay_ms").and_then(|v| v.parse().ok()) {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        let answer = self.echo(&parts, &body, &options);
        self.note_end(entry);
        answer
    }

    fn health(&self) -> Response<Body> {
        let state = self.inner.state.lock();
        let truth = i64::from(state.in_flight);
        let told = state.fault.lie_load.filter(|lie| *lie >= 0).unwrap_or(truth);
        let report = HealthReport {
            accepting: state.fault.drain != Some(true),
            in_flight: u32::try_from(told).unwrap_or(u32::MAX),
            slots: self.inner.slots,
        };
        let status = if state.fault.unhealthy == Some(true) { 500 } else { 200 };
        json_response(status, &report)
    }

    fn begin(&self) -> Option<Slot> {
        // A short queue stands before the slots; beyond it requests are shed.
        const QUEUE_PER_SLOT: u32 = 20;
        let mut state = self.inner.state.lock();
        if state.in_flight >= self.inner.slots * QUEUE_PER_SLOT {
            return None;
        }
        state.in_flight += 1;
        Some(Slot { inner: Arc::clone(&self.inner) })
    }

    fn note_start(&self, req: &Request<Incoming>) -> Option<usize> {
        if !self.inner.keep_log {
            return None;
        }
        let header =
            |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
        let dialect = Dialect::platform();
        let either = |own: &str, platform: &http::HeaderName| {
            let found = header(own);
            if found.is_empty() { header(platform.as_str()) } else { found }
        };
        let ran = LoggedRequest {
            id: either("burdock-request-id", &dialect.attempt_id),
            path: req.uri().path().to_owned(),
            idempotency_key: header("idempotency-key"),
            organisation: either("burdock-organisation", &dialect.organisation),
            start_us: wall_clock_us(),
            end_us: 0,
        };
        let mut state = self.inner.state.lock();
        state.log.push(ran);
        Some(state.log.len() - 1)
    }

    fn note_end(&self, entry: Option<usize>) {
        if let Some(ix) = entry {
            self.inner.state.lock().log[ix].end_us = wall_clock_us();
        }
    }

    fn echo(
        &self,
        parts: &http::request::Parts,
        body: &Bytes,
        options: &BTreeMap<&str, &str>,
    ) -> Result<Response<Body>, std::io::Error> {
        match options.get("close").copied() {
            Some("headers") => return Err(std::io::Error::other("closed before headers")),
            Some("body") => return Ok(cut_answer()),
            _ => {}
        }
        if let Some(bytes) = options.get("bytes").and_then(|v| v.parse().ok()) {
            return Ok(long_answer(bytes));
        }
        let headers: BTreeMap<&str, &str> =
            parts.headers.iter().map(|(n, v)| (n.as_str(), v.to_str().unwrap_or("?"))).collect();
        let echo = serde_json::json!({
            "backend": self.inner.name,
            "method": parts.method.as_str(),
            "path": parts.uri.path(),
            "query": parts.uri.query(),
            "headers": headers,
            "body_sha256": burdock_model::hash::sha256_hex(body),
        });
        Ok(json_response(200, &echo))
    }

    fn control_router(&self) -> Router {
        Router::new()
            .route("/log", get(async |State(b): State<Self>| Json(b.log())))
            .route(
                "/fault",
                post(async |State(b): State<Self>, Json(fault): Json<Fault>| {
                    b.inject(fault);
                    StatusCode::OK
                }),
            )
            .route("/stop", post(async |State(b): State<Self>| b.stop()))
            .route("/start", post(async |State(b): State<Self>| b.start()))
            .with_state(self.clone())
    }
}

struct Slot {
    inner: Arc<Inner>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.inner.state.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}

async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    const PAUSE: Duration = Duration::from_millis(20);
    let bound = TcpListener::bind(address).await;
    if bound.is_err() {
        tokio::time::sleep(PAUSE).await;
    }
    bound.ok()
}

fn options_of(query: &str) -> BTreeMap<&str, &str> {
    query.split('&').filter_map(|pair| pair.split_once('=')).collect()
}

fn shed() -> Response<Body> {
    let body = Full::new(Bytes::from_static(b"{\"shed\":true}")).map_err(|never| match never {}).boxed();
    let mut resp = Response::new(body);
    *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    resp.headers_mut().insert(SHED_HEADER, http::HeaderValue::from_static("1"));
    resp
}

fn json_response(status: u16, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut resp = Response::new(Full::new(Bytes::from(bytes)).map_err(|never| match never {}).boxed());
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    resp.headers_mut().insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    resp
}

// Says it is longer than it is, then ends.
fn cut_answer() -> Response<Body> {
    let chunks = futures::stream::iter([
        Ok(Frame::data(Bytes::from_static(b"half of it"))),
        Err(std::io::Error::other("cut")),
    ]);
    // The pause lets the first half leave before the connection breaks.
    let paced = chunks.then(|chunk| async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        chunk
    });
    let mut resp = Response::new(BodyExt::boxed(StreamBody::new(paced)));
    resp.headers_mut().insert(http::header::CONTENT_LENGTH, http::HeaderValue::from_static("20"));
    resp
}

fn long_answer(bytes: usize) -> Response<Body> {
    const CHUNK: usize = 16 << 10;
    let chunk = Bytes::from(vec![b'x'; CHUNK]);
    let whole = bytes / CHUNK;
    let rest = chunk.slice(..bytes % CHUNK);
    let chunks = std::iter::repeat_n(chunk, whole).chain(std::iter::once(rest));
    let stream = futures::stream::iter(chunks.map(|c| Ok(Frame::data(c))));
    let mut resp = Response::new(BodyExt::boxed(StreamBody::new(stream)));
    resp.headers_mut().insert(http::header::CONTENT_LENGTH, bytes.into());
    resp
}

fn wall_clock_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
