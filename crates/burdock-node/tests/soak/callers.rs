//! Callers that look up instances in the directory, keep their connections and record the outcome of each
//! request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use burdock_standin::site::HOST;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::deployment::{BUSY_KEY, Deployment, HttpClient, OLD_KEY, Response, VALID_KEY, send_request};

/// Range of the delay between two requests of one caller.
const REQUEST_DELAY: std::ops::Range<Duration> = Duration::from_millis(10)..Duration::from_millis(60);

/// How long a caller waits for a response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a caller uses an answer of the directory.
const DIRECTORY_ANSWER_TTL: Duration = Duration::from_millis(2500);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A request that may be repeated.
    Read,
    /// A request that may run at most once.
    Command,
    /// A request of the organisation that exceeds its rate.
    Busy,
    /// A request with the key that a fault withdraws.
    OldKey,
    /// A request on the route that this configuration version added.
    Route(u64),
}

impl RequestKind {
    /// Name of the kind in messages.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Command => "command",
            Self::Busy => "busy",
            Self::OldKey => "old key",
            Self::Route(_) => "route",
        }
    }
}

/// Outcome of one request.
#[derive(Clone, Debug)]
pub struct Record {
    pub id: String,
    pub kind: RequestKind,
    /// Index of the instance that the request was sent to.
    pub instance: usize,
    /// Incarnation of the instance's process; `None` if the process was restarted meanwhile.
    pub incarnation: Option<u64>,
    pub sent_at: Instant,
    pub done_at: Instant,
    /// `None` if no complete response arrived.
    pub status: Option<u16>,
    /// Defect of a successful response.
    pub defect: Option<String>,
}

impl Record {
    /// Whether the response of a backend server arrived.
    pub fn is_served(&self) -> bool {
        self.status == Some(200)
    }
}

/// The running callers.
pub struct Callers {
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<Vec<Record>>>,
}

impl Callers {
    pub fn start(deployment: &Arc<Deployment>, seed: u64, count: usize) -> Self {
        let (stop, stopping) = watch::channel(false);
        let caller = |number: usize| {
            let rng = StdRng::seed_from_u64(seed ^ ((number as u64 + 1) << 32));
            let client = Client::builder(TokioExecutor::new()).build_http();
            let caller = Caller {
                deployment: Arc::clone(deployment),
                rng,
                client,
                number,
                listed_addresses: Vec::new(),
                listed_at: None,
            };
            tokio::spawn(caller.run(stopping.clone()))
        };
        Self { tasks: (0..count).map(caller).collect(), stop }
    }

    /// Stops all callers and returns their records.
    pub async fn stop(self) -> Vec<Record> {
        self.stop.send_replace(true);
        let records = futures::future::join_all(self.tasks).await;
        records.into_iter().flat_map(|r| r.expect("the task of a caller does not panic")).collect()
    }
}

struct Caller {
    deployment: Arc<Deployment>,
    rng: StdRng,
    client: HttpClient,
    number: usize,
    listed_addresses: Vec<SocketAddr>,
    listed_at: Option<Instant>,
}

impl Caller {
    async fn run(mut self, stop: watch::Receiver<bool>) -> Vec<Record> {
        let mut records = Vec::new();
        while !*stop.borrow() {
            tokio::time::sleep(self.rng.random_range(REQUEST_DELAY)).await;
            if self.listed_at.is_none_or(|at| at.elapsed() >= DIRECTORY_ANSWER_TTL) {
                self.query_directory().await;
            }
            let Some(instance) = self.select_instance() else {
                continue;
            };
            let id = format!("c{}-{}", self.number, records.len());
            records.push(self.request_instance(instance, id).await);
        }
        records
    }

    // Keeps the previous addresses if the directory does not answer.
    async fn query_directory(&mut self) {
        let instances = &self.deployment.instances;
        let to = instances[self.rng.random_range(0..instances.len())].directory_address;
        let path = format!("/-/resolve?name={HOST}&region=riga&zone=riga-a");
        let response =
            send_request(&self.client, to, "GET", &path, "", "directory", Duration::from_secs(1)).await;
        let json: Option<serde_json::Value> = response.and_then(|a| serde_json::from_slice(&a.body).ok());
        if let Some(listed_addresses) = json.and_then(|j| serde_json::from_value(j["addresses"].clone()).ok())
        {
            self.listed_addresses = listed_addresses;
            self.listed_at = Some(Instant::now());
        }
    }

    // Mostly selects a listed instance, sometimes any instance, since callers are free to do so.
    fn select_instance(&mut self) -> Option<usize> {
        const ANY_INSTANCE_FRACTION: f64 = 0.3;
        let instances = &self.deployment.instances;
        if self.listed_addresses.is_empty() || self.rng.random_bool(ANY_INSTANCE_FRACTION) {
            return Some(self.rng.random_range(0..instances.len()));
        }
        let address = self.listed_addresses[self.rng.random_range(0..self.listed_addresses.len())];
        instances.iter().position(|i| i.caller_address == address)
    }

    async fn request_instance(&mut self, instance: usize, id: String) -> Record {
        let (version, _) = self.deployment.published_config();
        let kind = match self.rng.random_range(0..100) {
            0..40 => RequestKind::Read,
            40..65 => RequestKind::Command,
            65..85 => RequestKind::Busy,
            85..90 => RequestKind::OldKey,
            _ => RequestKind::Route(self.rng.random_range(1..=version)),
        };
        let (key, method, path) = match kind {
            RequestKind::Read => (VALID_KEY, "GET", "/quotes/".to_owned()),
            RequestKind::Command => (VALID_KEY, "POST", "/valves/".to_owned()),
            RequestKind::Busy => (BUSY_KEY, "GET", "/quotes/".to_owned()),
            RequestKind::OldKey => (OLD_KEY, "GET", "/quotes/".to_owned()),
            RequestKind::Route(version) => (VALID_KEY, "GET", format!("/n{version}/")),
        };
        let path =
            format!("{path}{}?delay_ms={}", self.rng.random_range(0..40), self.rng.random_range(1..60));
        let to = &self.deployment.instances[instance];
        let incarnation = to.incarnation();
        let sent_at = Instant::now();
        let response =
            send_request(&self.client, to.caller_address, method, &path, key, &id, REQUEST_TIMEOUT).await;
        let defect = response.as_ref().filter(|a| a.status == 200).and_then(|a| find_defect(a, &id, &path));
        Record {
            kind,
            instance,
            incarnation: Some(incarnation).filter(|incarnation| *incarnation == to.incarnation()),
            sent_at,
            done_at: Instant::now(),
            status: response.map(|a| a.status),
            defect,
            id,
        }
    }
}

// Describes the defect of a successful response, which must be complete and belong to this request.
fn find_defect(response: &Response, id: &str, path: &str) -> Option<String> {
    let header = |name: &str| response.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if header("x-burdockcroft-response-seal").is_empty() || header("x-burdockcroft-attempt-id") != id {
        return Some("without the response seal or the id of its request".to_owned());
    }
    let Ok(echo) = serde_json::from_slice::<serde_json::Value>(&response.body) else {
        return Some("with an incomplete body".to_owned());
    };
    let echoed_headers = &echo["headers"];
    let request_path = path.split('?').next().unwrap_or_default();
    let matches_request = echoed_headers["x-burdockcroft-attempt-id"] == id && echo["path"] == request_path;
    if !matches_request || !echoed_headers["x-burdockcroft-key"].is_null() {
        return Some(format!(
            "that belongs to another request or whose key reached the backend server: {echo}"
        ));
    }
    None
}
