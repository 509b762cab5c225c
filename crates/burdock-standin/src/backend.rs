//! Stand-in for a backend server: a JSON echo with a limited number of slots, a request log and fault
//! injection.

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
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;

/// Header in the answer to a request that the backend server shed without running it.
pub const SHED_HEADER: &str = "x-shed";

/// A request that the backend server started to run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedRequest {
    /// Request id that the instance added.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Idempotency key; empty if the request has none.
    pub idempotency_key: String,
    /// Organisation that the instance added; empty for none.
    pub organisation: String,
    /// Start as Unix time in microseconds.
    pub start_us: u64,
    /// End as Unix time in microseconds; 0 while the request runs or if it never finished.
    pub end_us: u64,
}

/// Faults to inject. A field that is `None` leaves the current state of that fault.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Report on the health endpoint that it accepts no new requests, but still run those that arrive.
    pub drain: Option<bool>,
    /// Shed every request.
    pub shed: Option<bool>,
    /// Accept requests and never answer them.
    pub stall: Option<bool>,
    /// Crash on a request whose path contains this text; empty turns it off.
    pub crash_on: Option<String>,
    /// Report this number of requests in flight instead of the actual one; negative turns it off.
    pub lie_load: Option<i64>,
    /// Answer the health endpoint with status 500.
    pub unhealthy: Option<bool>,
}

/// Body of the health endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Whether the backend server accepts new requests.
    pub accepting: bool,
    /// Requests in flight.
    pub in_flight: u32,
    /// Number of requests that it can run at once.
    pub slots: u32,
}

/// Stand-in for a backend server. Clones share its state.
#[derive(Clone, Debug)]
pub struct BackendStandin {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    name: String,
    slots: u32,
    keep_log: bool,
    state: Mutex<BackendState>,
    up: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct BackendState {
    in_flight: u32,
    log: Vec<LoggedRequest>,
    fault: Fault,
}

/// Addresses on which a stand-in listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendAddresses {
    /// Address for requests.
    pub service: SocketAddr,
    /// Address for faults, the request log, stop and start.
    pub control: SocketAddr,
}

type Body = BoxBody<Bytes, std::io::Error>;

impl BackendStandin {
    /// Creates a backend server with a name and a number of slots. The log grows with each request, so
    /// benches run without it.
    #[must_use]
    pub fn new(name: &str, slots: u32, keep_log: bool) -> Self {
        let (up, _) = watch::channel(true);
        let inner = Inner { name: name.to_owned(), slots, keep_log, state: Mutex::default(), up };
        Self { inner: Arc::new(inner) }
    }

    /// Starts to serve requests and control calls. Port 0 selects a free port.
    ///
    /// # Errors
    /// Fails if it can't listen on an address.
    pub async fn serve(&self, service: SocketAddr, control: SocketAddr) -> std::io::Result<BackendAddresses> {
        let listener = TcpListener::bind(service).await?;
        let service = listener.local_addr()?;
        let control_listener = TcpListener::bind(control).await?;
        let control = control_listener.local_addr()?;
        tokio::spawn(self.clone().accept_connections(listener, service));
        let router = self.control_router();
        tokio::spawn(async move {
            if let Err(e) = axum::serve(control_listener, router).await {
                eprintln!("backend stand-in: control interface stopped: {e}");
            }
        });
        Ok(BackendAddresses { service, control })
    }

    /// Returns the requests started so far.
    #[must_use]
    pub fn log(&self) -> Vec<LoggedRequest> {
        self.inner.state.lock().log.clone()
    }

    /// Injects faults.
    pub fn inject(&self, fault: Fault) {
        let mut state = self.inner.state.lock();
        let current = &mut state.fault;
        current.drain = fault.drain.or(current.drain);
        current.shed = fault.shed.or(current.shed);
        current.stall = fault.stall.or(current.stall);
        current.crash_on = fault.crash_on.or_else(|| current.crash_on.take());
        current.lie_load = fault.lie_load.or(current.lie_load);
        current.unhealthy = fault.unhealthy.or(current.unhealthy);
    }

    /// Closes the listener and every connection, as a crash of the process does.
    pub fn stop(&self) {
        self.inner.up.send_replace(false);
        self.inner.state.lock().in_flight = 0;
    }

    /// Listens again on the same address.
    pub fn start(&self) {
        self.inner.up.send_replace(true);
    }

    // While the backend server is stopped there is no listener, so the system refuses connections.
    async fn accept_connections(self, bound: TcpListener, address: SocketAddr) {
        let mut up = self.inner.up.subscribe();
        let mut listener = Some(bound);
        loop {
            if !*up.borrow_and_update() {
                drop(listener.take());
                let held = hold_port(address).await;
                if up.changed().await.is_err() {
                    return;
                }
                listener = held.listen(ACCEPT_BACKLOG).ok();
                continue;
            }
            let Some(open) = &listener else {
                listener = hold_port(address).await.listen(ACCEPT_BACKLOG).ok();
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

    // Answers a request, and adds the platform's headers if the request has an attempt id.
    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
        let dialect = Dialect::platform();
        let req_headers = req.headers().clone();
        let own_id = HeaderValue::from_str(&self.inner.name).map_err(std::io::Error::other)?;
        if req_headers.get(&dialect.expected_backend).is_some_and(|expected| *expected != own_id) {
            let mut resp = shed_response();
            *resp.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            resp.headers_mut().insert(&dialect.not_run, HeaderValue::from_static("1"));
            return Ok(resp);
        }
        let mut resp = self.run(req).await?;
        if let Some(id) = req_headers.get(&dialect.attempt_id) {
            self.add_platform_headers(&dialect, id, resp.headers_mut());
        }
        Ok(resp)
    }

    fn add_platform_headers(&self, dialect: &Dialect, id: &HeaderValue, headers: &mut HeaderMap) {
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
        let options = parse_options(&query);
        let fault = self.inner.state.lock().fault.clone();
        if options.contains_key("shed") || fault.shed == Some(true) {
            return Ok(shed_response());
        }
        let Some(_in_flight) = self.try_admit() else {
            return Ok(shed_response());
        };
        let entry = self.log_start(&req);
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
        self.log_end(entry);
        answer
    }

    fn health(&self) -> Response<Body> {
        let state = self.inner.state.lock();
        let actual = i64::from(state.in_flight);
        let reported = state.fault.lie_load.filter(|load| *load >= 0).unwrap_or(actual);
        let report = HealthReport {
            accepting: state.fault.drain != Some(true),
            in_flight: u32::try_from(reported).unwrap_or(u32::MAX),
            slots: self.inner.slots,
        };
        let status = if state.fault.unhealthy == Some(true) { 500 } else { 200 };
        let mut resp = json_response(status, &report);
        if let Ok(id) = http::HeaderValue::from_str(&self.inner.name) {
            resp.headers_mut().insert(Dialect::platform().backend_id, id);
        }
        resp
    }

    fn try_admit(&self) -> Option<InFlight> {
        // Requests beyond the slots count as waiting; those beyond this limit are shed.
        const MAX_IN_FLIGHT_PER_SLOT: u32 = 20;
        let mut state = self.inner.state.lock();
        if state.in_flight >= self.inner.slots * MAX_IN_FLIGHT_PER_SLOT {
            return None;
        }
        state.in_flight += 1;
        Some(InFlight { inner: Arc::clone(&self.inner) })
    }

    fn log_start(&self, req: &Request<Incoming>) -> Option<usize> {
        if !self.inner.keep_log {
            return None;
        }
        let header =
            |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
        let dialect = Dialect::platform();
        let first_of = |own: &str, platform: &http::HeaderName| {
            let found = header(own);
            if found.is_empty() { header(platform.as_str()) } else { found }
        };
        let logged = LoggedRequest {
            id: first_of("burdock-request-id", &dialect.attempt_id),
            path: req.uri().path().to_owned(),
            idempotency_key: header("idempotency-key"),
            organisation: first_of("burdock-organisation", &dialect.organisation),
            start_us: wall_clock_us(),
            end_us: 0,
        };
        let mut state = self.inner.state.lock();
        state.log.push(logged);
        Some(state.log.len() - 1)
    }

    fn log_end(&self, entry: Option<usize>) {
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
            Some("body") => return Ok(truncated_response()),
            _ => {}
        }
        if let Some(bytes) = options.get("bytes").and_then(|v| v.parse().ok()) {
            return Ok(long_response(bytes));
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

// A request in flight; dropping it ends the request.
struct InFlight {
    inner: Arc<Inner>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.inner.state.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}

/// Connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

// Binds a port without listening, so that connections are refused and no other server gets the port.
async fn hold_port(address: SocketAddr) -> TcpSocket {
    const RETRY_DELAY: Duration = Duration::from_millis(5);
    loop {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
        let held = socket.and_then(|s| s.set_reuseaddr(true).and(s.bind(address)).map(|()| s));
        if let Ok(held) = held {
            return held;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn parse_options(query: &str) -> BTreeMap<&str, &str> {
    query.split('&').filter_map(|pair| pair.split_once('=')).collect()
}

fn shed_response() -> Response<Body> {
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

// Sends fewer bytes than its `Content-Length` and then breaks the connection.
fn truncated_response() -> Response<Body> {
    let chunks = futures::stream::iter([
        Ok(Frame::data(Bytes::from_static(b"half of it"))),
        Err(std::io::Error::other("cut")),
    ]);
    // The delay lets the first half leave before the connection breaks.
    let paced = chunks.then(|chunk| async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        chunk
    });
    let mut resp = Response::new(BodyExt::boxed(StreamBody::new(paced)));
    resp.headers_mut().insert(http::header::CONTENT_LENGTH, http::HeaderValue::from_static("20"));
    resp
}

fn long_response(bytes: usize) -> Response<Body> {
    const CHUNK_BYTES: usize = 16 << 10;
    let chunk = Bytes::from(vec![b'x'; CHUNK_BYTES]);
    let full_chunks = bytes / CHUNK_BYTES;
    let rest = chunk.slice(..bytes % CHUNK_BYTES);
    let chunks = std::iter::repeat_n(chunk, full_chunks).chain(std::iter::once(rest));
    let stream = futures::stream::iter(chunks.map(|c| Ok(Frame::data(c))));
    let mut resp = Response::new(BodyExt::boxed(StreamBody::new(stream)));
    resp.headers_mut().insert(http::header::CONTENT_LENGTH, bytes.into());
    resp
}

fn wall_clock_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
