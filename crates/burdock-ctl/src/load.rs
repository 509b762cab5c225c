//! Load generator: sends requests at a steady rate and measures latency from the time at which each was due.

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

use crate::cli::OutputFormat;
use crate::print;

/// Upper bound on `seconds`.
const MAX_SECONDS: u64 = 3600;

/// Higher latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Requests to send:
#[derive(Clone, Debug, Bpaf)]
pub struct LoadSettings {
    /// Address of the entry instance
    #[bpaf(argument("ADDRESS"))]
    entry: SocketAddr,
    /// API key of an organisation
    #[bpaf(argument("KEY"))]
    key: String,
    /// Requests per second over all connections
    #[bpaf(argument("N"), fallback(100), display_fallback)]
    rate: u64,
    /// Duration in seconds
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    seconds: u64,
    /// Number of connections
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    connections: u64,
    /// Method of the requests
    #[bpaf(argument("METHOD"), fallback(Method::GET), display_fallback)]
    method: Method,
    /// Path of the requests, with query
    #[bpaf(positional("PATH"))]
    path: String,
}

#[derive(Debug)]
struct LoadStats {
    latency_us: Histogram<u64>,
    outcomes: BTreeMap<String, u64>,
}

/// Sends the load and prints counts of outcomes and percentiles of latency.
///
/// # Errors
/// Fails if a setting is out of range or a statistic can't be computed. Failed requests are counted as
/// outcomes.
pub async fn run(settings: &LoadSettings, output: OutputFormat) -> Result<()> {
    validate(settings)?;
    let shared = Arc::new(settings.clone());
    let started_at = Instant::now();
    let tasks: Vec<_> = (0..settings.connections)
        .map(|ix| tokio::spawn(run_connection(Arc::clone(&shared), ix, started_at)))
        .collect();
    let mut total = LoadStats::new()?;
    for task in tasks {
        let stats = task.await.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))??;
        total.merge(stats)?;
    }
    print::value(&total.to_json(), output);
    Ok(())
}

fn validate(settings: &LoadSettings) -> Result<()> {
    let in_range =
        settings.rate > 0 && settings.connections > 0 && (1..=MAX_SECONDS).contains(&settings.seconds);
    if in_range {
        return Ok(());
    }
    Err(Error::new(ErrorKind::BadRequest, "rate, connections or seconds is out of range")
        .hint(format!("rate and connections must be at least 1, seconds from 1 to {MAX_SECONDS}")))
}

// Sends the requests of one connection at fixed times. A late answer delays the requests that follow it, and
// their latency includes that delay, so that a stall is not omitted from the figures.
async fn run_connection(settings: Arc<LoadSettings>, ix: u64, started_at: Instant) -> Result<LoadStats> {
    let mut stats = LoadStats::new()?;
    let interval = Duration::from_secs(1).mul_f64(settings.connections as f64 / settings.rate as f64);
    let end_at = started_at + Duration::from_secs(settings.seconds);
    let mut due_at = started_at + interval.mul_f64(ix as f64 / settings.connections as f64);
    let mut sender = None;
    while due_at < end_at {
        tokio::time::sleep_until(due_at).await;
        let outcome = request_outcome(&settings, &mut sender).await;
        let latency_us = u64::try_from(due_at.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US);
        stats.record(outcome, latency_us.clamp(1, MAX_LATENCY_US));
        due_at += interval;
    }
    Ok(stats)
}

async fn request_outcome(settings: &LoadSettings, sender: &mut Option<SendRequest<Full<Bytes>>>) -> String {
    match send_request(settings, sender).await {
        Ok(outcome) => outcome,
        Err(e) => {
            *sender = None;
            e.kind.as_str()
        }
    }
}

async fn send_request(
    settings: &LoadSettings,
    sender: &mut Option<SendRequest<Full<Bytes>>>,
) -> Result<String> {
    let exchange_error = |e: &dyn std::fmt::Display| Error::new(ErrorKind::BadAnswer, e.to_string());
    let connection = match sender.take().filter(|s| !s.is_closed()) {
        Some(connection) => sender.insert(connection),
        None => sender.insert(connect(settings.entry).await?),
    };
    connection.ready().await.map_err(|e| exchange_error(&e))?;
    let req = Request::builder()
        .method(settings.method.clone())
        .uri(&settings.path)
        .header("host", settings.entry.to_string())
        .header("x-api-key", &settings.key)
        .body(Full::default())
        .map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()))?;
    let resp = connection.send_request(req).await.map_err(|e| exchange_error(&e))?;
    let status = resp.status().as_u16();
    let outcome = resp.headers().get("burdock-outcome").and_then(|v| v.to_str().ok()).map(str::to_owned);
    resp.into_body().collect().await.map_err(|e| exchange_error(&e))?;
    Ok(outcome.map_or_else(|| status.to_string(), |outcome| format!("{status} {outcome}")))
}

async fn connect(entry: SocketAddr) -> Result<SendRequest<Full<Bytes>>> {
    let connect_error = |detail: String| Error::new(ErrorKind::NoBackend, detail);
    let stream = TcpStream::connect(entry).await.map_err(|e| connect_error(e.to_string()))?;
    stream.set_nodelay(true).map_err(|e| connect_error(e.to_string()))?;
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|e| connect_error(e.to_string()))?;
    tokio::spawn(connection);
    Ok(sender)
}

impl LoadStats {
    fn new() -> Result<Self> {
        const DIGITS: u8 = 3;
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, DIGITS)
            .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
        Ok(Self { latency_us, outcomes: BTreeMap::new() })
    }

    fn record(&mut self, outcome: String, latency_us: u64) {
        self.latency_us.saturating_record(latency_us);
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    fn merge(&mut self, other: Self) -> Result<()> {
        self.latency_us.add(&other.latency_us).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
        for (outcome, count) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
        Ok(())
    }

    fn to_json(&self) -> serde_json::Value {
        let value_at = |quantile: f64| self.latency_us.value_at_quantile(quantile);
        json!({
            "requests": self.latency_us.len(),
            "latency_us": {
                "p50": value_at(0.5), "p90": value_at(0.9), "p99": value_at(0.99), "p99.9": value_at(0.999),
                "max": self.latency_us.max(),
            },
            "outcomes": self.outcomes,
        })
    }
}
