//! Callers that ask the directory, keep their connections, and write down what they were told.

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

use crate::world::{Answer, BUSY_KEY, Http, KEY, OLD_KEY, World, ask};

/// The pause between two requests of one caller.
const PAUSE: std::ops::Range<Duration> = Duration::from_millis(10)..Duration::from_millis(60);

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1500);

/// How long a caller keeps what the directory said.
const KEPT: Duration = Duration::from_millis(2500);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request that may be repeated.
    Read,
    /// A request that may run once.
    Command,
    /// A request of the organisation that is over its rate.
    Busy,
    /// A request with the key that is withdrawn at some time.
    OldKey,
    /// A request on the route that a version added.
    Route(u64),
}

impl Kind {
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

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Record {
    pub id: String,
    pub kind: Kind,
    /// The instance that it was sent to, and the life of its process, if that was the same all the while.
    pub instance: usize,
    pub life: Option<u64>,
    pub sent: Instant,
    pub done: Instant,
    /// None when no whole answer came.
    pub status: Option<u16>,
    /// What is wrong with a success.
    pub fault: Option<String>,
}

impl Record {
    /// Whether a backend server's answer came.
    pub fn is_served(&self) -> bool {
        self.status == Some(200)
    }
}

/// Callers at work.
pub struct Callers {
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<Vec<Record>>>,
}

impl Callers {
    pub fn start(world: &Arc<World>, seed: u64, count: usize) -> Self {
        let (stop, stopping) = watch::channel(false);
        let caller = |nth: usize| {
            let rng = StdRng::seed_from_u64(seed ^ ((nth as u64 + 1) << 32));
            let http = Client::builder(TokioExecutor::new()).build_http();
            let caller = Caller { world: Arc::clone(world), rng, http, nth, named: Vec::new(), asked: None };
            tokio::spawn(caller.run(stopping.clone()))
        };
        Self { tasks: (0..count).map(caller).collect(), stop }
    }

    /// Ends all callers and returns what they wrote down.
    pub async fn stop(self) -> Vec<Record> {
        self.stop.send_replace(true);
        let records = futures::future::join_all(self.tasks).await;
        records.into_iter().flat_map(|r| r.expect("a caller ends")).collect()
    }
}

struct Caller {
    world: Arc<World>,
    rng: StdRng,
    http: Http,
    nth: usize,
    named: Vec<SocketAddr>,
    asked: Option<Instant>,
}

impl Caller {
    async fn run(mut self, stop: watch::Receiver<bool>) -> Vec<Record> {
        let mut records = Vec::new();
        while !*stop.borrow() {
            tokio::time::sleep(self.rng.random_range(PAUSE)).await;
            if self.asked.is_none_or(|at| at.elapsed() >= KEPT) {
                self.ask_directory().await;
            }
            let Some(instance) = self.pick() else {
                continue;
            };
            let id = format!("c{}-{}", self.nth, records.len());
            records.push(self.request(instance, id).await);
        }
        records
    }

    // Keeps what it knows when nobody answers.
    async fn ask_directory(&mut self) {
        let instances = &self.world.instances;
        let to = instances[self.rng.random_range(0..instances.len())].directory;
        let path = format!("/-/resolve?name={HOST}&region=riga&zone=riga-a");
        let answer = ask(&self.http, to, "GET", &path, "", "directory", Duration::from_secs(1)).await;
        let json: Option<serde_json::Value> = answer.and_then(|a| serde_json::from_slice(&a.body).ok());
        if let Some(named) = json.and_then(|j| serde_json::from_value(j["addresses"].clone()).ok()) {
            self.named = named;
            self.asked = Some(Instant::now());
        }
    }

    // Mostly an instance that was named; now and then any, since nobody stops a caller from that.
    fn pick(&mut self) -> Option<usize> {
        const ANY_PART: f64 = 0.3;
        let instances = &self.world.instances;
        if self.named.is_empty() || self.rng.random_bool(ANY_PART) {
            return Some(self.rng.random_range(0..instances.len()));
        }
        let address = self.named[self.rng.random_range(0..self.named.len())];
        instances.iter().position(|i| i.callers == address)
    }

    async fn request(&mut self, instance: usize, id: String) -> Record {
        let (version, _) = self.world.published();
        let kind = match self.rng.random_range(0..100) {
            0..40 => Kind::Read,
            40..65 => Kind::Command,
            65..85 => Kind::Busy,
            85..90 => Kind::OldKey,
            _ => Kind::Route(self.rng.random_range(1..=version)),
        };
        let (key, method, path) = match kind {
            Kind::Read => (KEY, "GET", "/quotes/".to_owned()),
            Kind::Command => (KEY, "POST", "/valves/".to_owned()),
            Kind::Busy => (BUSY_KEY, "GET", "/quotes/".to_owned()),
            Kind::OldKey => (OLD_KEY, "GET", "/quotes/".to_owned()),
            Kind::Route(version) => (KEY, "GET", format!("/n{version}/")),
        };
        let path =
            format!("{path}{}?delay_ms={}", self.rng.random_range(0..40), self.rng.random_range(1..60));
        let to = &self.world.instances[instance];
        let life = to.life();
        let sent = Instant::now();
        let answer = ask(&self.http, to.callers, method, &path, key, &id, PATIENCE).await;
        let fault = answer.as_ref().filter(|a| a.status == 200).and_then(|a| fault_of(a, &id, &path));
        Record {
            kind,
            instance,
            life: Some(life).filter(|life| *life == to.life()),
            sent,
            done: Instant::now(),
            status: answer.map(|a| a.status),
            fault,
            id,
        }
    }
}

// What is wrong with a success, if anything: it must be the whole answer to this very request.
fn fault_of(answer: &Answer, id: &str, path: &str) -> Option<String> {
    let header = |name: &str| answer.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if header("x-burdockcroft-response-seal").is_empty() || header("x-burdockcroft-attempt-id") != id {
        return Some("without the seal or the id of its request".to_owned());
    }
    let Ok(echo) = serde_json::from_slice::<serde_json::Value>(&answer.body) else {
        return Some("with a body that is not whole".to_owned());
    };
    let seen = &echo["headers"];
    let own_path = path.split('?').next().unwrap_or_default();
    let right = seen["x-burdockcroft-attempt-id"] == id && echo["path"] == own_path;
    if !right || !seen["x-burdockcroft-key"].is_null() {
        return Some(format!("of another request, or with the key passed on: {echo}"));
    }
    None
}
