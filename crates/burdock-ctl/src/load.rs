//! A load tool: requests at a steady rate, with latency from the time each was due.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use burdock_model::error::{Error, ErrorKind, Result};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::cli::Output;
use crate::print;

/// The longest run, in seconds.
const MAX_SECONDS: u64 = 3600;

/// The highest latency recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// What to send.
#[derive(Clone, Debug, Bpaf)]
pub struct LoadSettings {
    /// Address of an entry instance
    #[bpaf(argument("ADDRESS"))]
    entry: SocketAddr,
    /// Key of an organisation
    #[bpaf(argument("KEY"))]
    key: String,
    /// Requests a second, all connections together
    #[bpaf(argument("N"), fallback(100), display_fallback)]
    rate: u64,
    /// Seconds to go on
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    seconds: u64,
    /// Connections
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    connections: u64,
    /// Method
    #[bpaf(argument("METHOD"), fallback(Method::GET), display_fallback)]
    method: Method,
    /// Path and query
    #[bpaf(positional("PATH"))]
    path: String,
}

#[derive(Debug)]
struct Seen {
    latency_us: Histogram<u64>,
    outcomes: BTreeMap<String, u64>,
}

/// Sends the load and prints what came back.
///
/// # Errors
/// When the settings make no sense or the entry can't be reached.
pub async fn run(settings: &LoadSettings, output: Output) -> Result<()> {
    check(settings)?;
    let shared = Arc::new(settings.clone());
    let begin = Instant::now();
    let tasks: Vec<_> = (0..settings.connections)
        .map(|nth| tokio::spawn(connection(Arc::clone(&shared), nth, begin)))
        .collect();
    let mut total = Seen::new()?;
    for task in tasks {
        let seen = task.await.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))??;
        total.add(seen)?;
    }
    print::value(&total.report(), output);
    Ok(())
}

fn check(settings: &LoadSettings) -> Result<()> {
    let in_range =
        settings.rate > 0 && settings.connections > 0 && (1..=MAX_SECONDS).contains(&settings.seconds);
    if in_range {
        return Ok(());
    }
    Err(Error::new(ErrorKind::BadRequest, "rate, connections or seconds out of range")
        .hint(format!("rate and connections are 1 or more, seconds 1 to {MAX_SECONDS}")))
}

// Requests are due at fixed times. A late answer delays what follows on its connection, and that delay
// counts, so that a stall is not left out of the figures.
async fn connection(settings: Arc<LoadSettings>, nth: u64, begin: Instant) -> Result<Seen> {
    let mut seen = Seen::new()?;
    let interval = Duration::from_secs(1).mul_f64(settings.connections as f64 / settings.rate as f64);
    let end = begin + Duration::from_secs(settings.seconds);
    let mut due = begin + interval.mul_f64(nth as f64 / settings.connections as f64);
    let mut sender = None;
    while due < end {
        tokio::time::sleep_until(due).await;
        let outcome = send(&settings, &mut sender).await;
        let latency = u64::try_from(due.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US);
        seen.note(outcome, latency.clamp(1, MAX_LATENCY_US));
        due += interval;
    }
    Ok(seen)
}

async fn send(settings: &LoadSettings, sender: &mut Option<SendRequest<Full<Bytes>>>) -> String {
    match exchange(settings, sender).await {
        Ok(outcome) => outcome,
        Err(e) => {
            *sender = None;
            e.kind.as_str()
        }
    }
}

async fn exchange(settings: &LoadSettings, sender: &mut Option<SendRequest<Full<Bytes>>>) -> Result<String> {
    let broken = |e: &dyn std::fmt::Display| Error::new(ErrorKind::BadAnswer, e.to_string());
    let open = match sender.take().filter(|s| !s.is_closed()) {
        Some(open) => sender.insert(open),
        None => sender.insert(connect(settings.entry).await?),
    };
    open.ready().await.map_err(|e| broken(&e))?;
    let req = Request::builder()
        .method(settings.method.clone())
        .uri(&settings.path)
        .header("host", settings.entry.to_string())
        .header("x-api-key", &settings.key)
        .body(Full::default())
        .map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()))?;
    let resp = open.send_request(req).await.map_err(|e| broken(&e))?;
    let status = resp.status().as_u16();
    let ran = resp.headers().get("burdock-outcome").and_then(|v| v.to_str().ok()).map(str::to_owned);
    resp.into_body().collect().await.map_err(|e| broken(&e))?;
    Ok(ran.map_or_else(|| status.to_string(), |ran| format!("{status} {ran}")))
}

async fn connect(entry: SocketAddr) -> Result<SendRequest<Full<Bytes>>> {
    let refused = |detail: String| Error::new(ErrorKind::NoBackend, detail);
    let stream = TcpStream::connect(entry).await.map_err(|e| refused(e.to_string()))?;
    stream.set_nodelay(true).map_err(|e| refused(e.to_string()))?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|e| refused(e.to_string()))?;
    tokio::spawn(connection);
    Ok(sender)
}

impl Seen {
    fn new() -> Result<Self> {
        const DIGITS: u8 = 3;
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, DIGITS)
            .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
        Ok(Self { latency_us, outcomes: BTreeMap::new() })
    }

    fn note(&mut self, outcome: String, latency_us: u64) {
        self.latency_us.saturating_record(latency_us);
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    fn add(&mut self, other: Self) -> Result<()> {
        self.latency_us.add(&other.latency_us).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
        for (outcome, count) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
        Ok(())
    }

    fn report(&self) -> serde_json::Value {
        let at = |quantile: f64| self.latency_us.value_at_quantile(quantile);
        json!({
            "requests": self.latency_us.len(),
            "latency_us": {"p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "p99.9": at(0.999), "max": self.latency_us.max()},
            "outcomes": self.outcomes,
        })
    }
}
