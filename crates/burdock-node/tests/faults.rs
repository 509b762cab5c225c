//! The fault matrix: each fault at each step of a request and of a configuration change, and each pair of
//! faults.
//!
//! Every cell runs a small system in this process, with the real decisions and sockets. A cell passes when
//! the answers to callers and operators agree with what backend servers ran and with the configuration in
//! force, and when a fresh request is served after the faults have ended. With `UPDATE_DOCS=1` the verdicts
//! are written to `docs/FAULTS.md`.

use std::time::{Duration, Instant};

use burdock_node::demo::{Demo, DemoSettings};
use burdock_standin::backend::Fault as BackendFault;
use burdock_standin::store::Fault as StoreFault;
use bytes::Bytes;
use futures::StreamExt;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

/// Header rows of the page's tables.
const TABLE_HEADER: &str = "| fault | request or step | verdict |\n| --- | --- | --- |\n";

/// Number of cells that run at the same time.
const MAX_CONCURRENT_CELLS: usize = 8;

/// Time that a system may take to serve again after its faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);

/// Service time of a request, long enough for a fault to occur during it.
const SERVICE_TIME_MS: u64 = 200;

/// Delay from sending a request to a fault that occurs while it runs.
const MID_REQUEST_DELAY: Duration = Duration::from_millis(90);

/// Deadline that callers send, in milliseconds.
const CALLER_DEADLINE_MS: &str = "1500";

const ORGANISATION: &str = "zemgale-probes";

/// A fault of the system. Rows of the results page are written from `Debug`.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    AllBackendsStop,
    LocalBackendStops,
    BackendsShed,
    BackendsStall,
    BackendsDrain,
    HealthLies,
    LoadLies,
    RequestCrashesBackends,
    StoreDown,
    StoreSlow,
    StoreAnswerLost,
    LeasesLapse,
    ReceiverStops,
    OtherInstanceStops,
}

const FAULTS: [Fault; 14] = [
    Fault::AllBackendsStop,
    Fault::LocalBackendStops,
    Fault::BackendsShed,
    Fault::BackendsStall,
    Fault::BackendsDrain,
    Fault::HealthLies,
    Fault::LoadLies,
    Fault::RequestCrashesBackends,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreAnswerLost,
    Fault::LeasesLapse,
    Fault::ReceiverStops,
    Fault::OtherInstanceStops,
];

/// The step at which a fault occurs. Rows of the results page are written from `Debug`.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    BeforeTheRequest,
    WhileItRuns,
    BeforeTheResend,
}

const STEPS: [Step; 3] = [Step::BeforeTheRequest, Step::WhileItRuns, Step::BeforeTheResend];

/// One cell: faults with their steps, and the kind of request.
#[derive(Clone, Debug)]
struct Cell {
    faults: Vec<(Fault, Step)>,
    repeatable: bool,
}

type Http = Client<HttpConnector, Full<Bytes>>;

struct System {
    demo: Demo,
    http: Http,
    key: String,
}

#[derive(Debug)]
struct ReceivedAnswer {
    status: u16,
    outcome: String,
    body: Value,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_are_truthful_for_every_fault_at_every_request_step() {
    let single = |fault: Fault, step: Step| {
        [true, false].map(|repeatable| Cell { faults: vec![(fault, step)], repeatable })
    };
    let cells: Vec<Cell> =
        FAULTS.iter().flat_map(|f| STEPS.iter().flat_map(move |s| single(*f, *s))).collect();
    let verdicts = run_all(cells).await;
    write_page("single faults at a request", &verdicts);
    assert_all_hold(&verdicts);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_are_truthful_for_every_pair_of_faults() {
    let pair = |first: Fault, second: Fault| Cell {
        faults: vec![(first, Step::BeforeTheRequest), (second, Step::WhileItRuns)],
        repeatable: false,
    };
    let cells: Vec<Cell> = FAULTS.iter().flat_map(|f| FAULTS.iter().map(move |s| pair(*f, *s))).collect();
    let verdicts = run_all(cells).await;
    write_page("pairs of faults at a request that may not be repeated", &verdicts);
    assert_all_hold(&verdicts);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn change_answers_are_truthful_for_every_fault_at_every_step() {
    let cells = FAULTS.iter().flat_map(|f| STEPS[..2].iter().map(move |s| (*f, *s)));
    let verdicts: Vec<(String, Result<(), String>)> = futures::stream::iter(cells)
        .map(|(fault, step)| async move { (format!("{fault:?} | {step:?}"), change_cell(fault, step).await) })
        .buffer_unordered(MAX_CONCURRENT_CELLS)
        .collect()
        .await;
    write_page("single faults at a configuration change", &verdicts);
    assert_all_hold(&verdicts);
}

async fn run_all(cells: Vec<Cell>) -> Vec<(String, Result<(), String>)> {
    let run = |cell: Cell| async move {
        let kind = if cell.repeatable { "repeatable" } else { "once" };
        let faults: Vec<String> = cell.faults.iter().map(|(f, s)| format!("{f:?} {s:?}")).collect();
        (format!("{} | {kind}", faults.join(" + ")), request_cell(&cell).await)
    };
    let mut verdicts: Vec<_> =
        futures::stream::iter(cells).map(run).buffer_unordered(MAX_CONCURRENT_CELLS).collect().await;
    verdicts.sort_by(|a, b| a.0.cmp(&b.0));
    verdicts
}

async fn request_cell(cell: &Cell) -> Result<(), String> {
    let mut system = System::start().await;
    let path = if cell.repeatable { "/quotes/cell" } else { "/valves/cell" };
    let mut answers = Vec::new();
    let mut contradictions = Vec::new();
    // Checks a "not run" against the requests that started since its attempt was sent.
    let mut record_answer = |system: &System, before: usize, answer: Option<ReceivedAnswer>| {
        let now = system.run_count(path);
        if answer.as_ref().is_some_and(|a| a.outcome == "not-run") && now > before {
            contradictions.push(format!("refused as not run, but it ran: {answer:?}"));
        }
        answers.extend(answer);
    };
    system.inject(cell, Step::BeforeTheRequest).await;
    let first = system.spawn_request(0, path, cell.repeatable);
    tokio::time::sleep(MID_REQUEST_DELAY).await;
    system.inject(cell, Step::WhileItRuns).await;
    let answer = first.await.ok().flatten();
    record_answer(&system, 0, answer);
    system.inject(cell, Step::BeforeTheResend).await;
    let before = system.run_count(path);
    let answer = system.spawn_request(1, path, cell.repeatable).await.ok().flatten();
    record_answer(&system, before, answer);
    system.clear_faults();
    let before = system.run_count(path);
    let answer = system.spawn_request(1, path, cell.repeatable).await.ok().flatten();
    record_answer(&system, before, answer);
    if !contradictions.is_empty() {
        system.demo.stop().await;
        return Err(contradictions.join("; "));
    }
    let verdict =
        check_answers(cell, &answers, system.run_count(path)).and(system.check_serves_again().await);
    system.demo.stop().await;
    verdict
}

fn check_answers(cell: &Cell, answers: &[ReceivedAnswer], runs: usize) -> Result<(), String> {
    let ran = answers.iter().any(|a| a.outcome == "ran");
    let summary = || format!("ran {runs} times, answers {answers:?}");
    if !cell.repeatable && runs > 1 {
        return Err(format!("a request that may not be repeated ran more than once: {}", summary()));
    }
    if ran && runs == 0 {
        return Err(format!("answered as run, but never ran: {}", summary()));
    }
    // An instance that stops may lose an answer, so a missing answer says nothing about whether the request
    // ran.
    let all_answered = answers.len() == 3;
    if all_answered && answers.iter().all(|a| a.outcome == "not-run") && runs > 0 {
        return Err(format!("every answer says not run, but it ran: {}", summary()));
    }
    let is_complete = |a: &ReceivedAnswer| a.outcome != "ran" || a.body["backend"].is_string();
    if answers.iter().all(is_complete) {
        Ok(())
    } else {
        Err(format!("an answer is incomplete: {}", summary()))
    }
}

async fn change_cell(fault: Fault, step: Step) -> Result<(), String> {
    let mut system = System::start().await;
    // A slow store gives the fault time to occur between the steps of a change.
    system.demo.store.inject(StoreFault { slow_ms: Some(40), ..StoreFault::default() });
    let cell = Cell { faults: vec![(fault, step)], repeatable: true };
    system.inject(&cell, Step::BeforeTheRequest).await;
    let change = system.spawn_change(0);
    tokio::time::sleep(MID_REQUEST_DELAY).await;
    system.inject(&cell, Step::WhileItRuns).await;
    let answer = change.await.ok().flatten();
    system.clear_faults();
    let verdict = system.check_agreement(answer.as_ref()).await.and(system.check_serves_again().await);
    system.demo.stop().await;
    verdict
}

impl System {
    async fn start() -> Self {
        let demo = DemoSettings::default().instances(3).backends(3).start().await.expect("the system starts");
        let http = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
        let key = demo.keys.iter().find(|k| k.organisation == ORGANISATION).expect("a key").key.clone();
        Self { demo, http, key }
    }

    async fn inject(&mut self, cell: &Cell, current_step: Step) {
        for (fault, step) in &cell.faults {
            if *step == current_step {
                self.inject_one(*fault).await;
            }
        }
    }

    async fn inject_one(&mut self, fault: Fault) {
        let backends = |fault: &BackendFault| {
            for backend in &self.demo.backends {
                backend.standin.inject(fault.clone());
            }
        };
        let none = BackendFault::default();
        let store = StoreFault::default();
        match fault {
            Fault::AllBackendsStop => self.demo.backends.iter().for_each(|b| b.standin.stop()),
            Fault::LocalBackendStops => {
                let region = self.demo.nodes[0].node.settings.region.to_string();
                let local = self.demo.backends.iter().filter(|b| b.sample.region == region);
                local.for_each(|b| b.standin.stop());
            }
            Fault::BackendsShed => backends(&BackendFault { shed: Some(true), ..none }),
            Fault::BackendsStall => backends(&BackendFault { stall: Some(true), ..none }),
            Fault::BackendsDrain => backends(&BackendFault { drain: Some(true), ..none }),
            Fault::HealthLies => backends(&BackendFault { unhealthy: Some(true), ..none }),
            Fault::LoadLies => backends(&BackendFault { lie_load: Some(1000), ..none }),
            Fault::RequestCrashesBackends => {
                backends(&BackendFault { crash_on: Some("cell".to_owned()), ..none })
            }
            Fault::StoreDown => self.demo.store.inject(StoreFault { down_ms: Some(60_000), ..store }),
            Fault::StoreSlow => self.demo.store.inject(StoreFault { slow_ms: Some(700), ..store }),
            Fault::StoreAnswerLost => self.demo.store.inject(StoreFault { lose_answers: Some(1), ..store }),
            Fault::LeasesLapse => self.demo.store.inject(StoreFault { lapse_leases: Some(true), ..store }),
            Fault::ReceiverStops => self.kill_instance("riga-1").await,
            Fault::OtherInstanceStops => self.kill_instance("daugavpils-1").await,
        }
    }

    // Leaves `jelgava-1` running, which receives the second attempt.
    async fn kill_instance(&mut self, id: &str) {
        let found = self.demo.nodes.iter().position(|n| n.node.settings.instance.as_str() == id);
        if let Some(ix) = found {
            self.demo.nodes.remove(ix).stop_at_once();
            tokio::task::yield_now().await;
        }
    }

    fn clear_faults(&self) {
        let store =
            StoreFault { down_ms: Some(0), slow_ms: Some(0), lose_answers: Some(0), ..StoreFault::default() };
        self.demo.store.inject(store);
        for backend in &self.demo.backends {
            backend.standin.inject(BackendFault {
                drain: Some(false),
                shed: Some(false),
                stall: Some(false),
                crash_on: Some(String::new()),
                lie_load: Some(-1),
                unhealthy: Some(false),
            });
            backend.standin.start();
        }
    }

    fn spawn_request(
        &self,
        ix: usize,
        path: &str,
        repeatable: bool,
    ) -> tokio::task::JoinHandle<Option<ReceivedAnswer>> {
        let instances = ["riga-1", "jelgava-1"];
        let alive = |id: &str| self.demo.nodes.iter().find(|n| n.node.settings.instance.as_str() == id);
        let node = alive(instances[ix]).or_else(|| alive(instances[1])).expect("an instance is running");
        let method = if repeatable { Method::GET } else { Method::POST };
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}?delay_ms={SERVICE_TIME_MS}", node.node.settings.listen.callers))
            .header("x-api-key", &self.key)
            .header("burdock-deadline-ms", CALLER_DEADLINE_MS);
        if !repeatable {
            req = req.header("idempotency-key", "cell");
        }
        let req = req.body(Full::default()).expect("a request");
        tokio::spawn(send(self.http.clone(), req))
    }

    fn spawn_change(&self, ix: usize) -> tokio::task::JoinHandle<Option<ReceivedAnswer>> {
        let settings = &self.demo.nodes[ix].node.settings;
        let req = Request::builder()
            .method(Method::PATCH)
            .uri(format!("http://{}/v1/tree/settings", settings.listen.admin))
            .header("authorization", format!("Bearer {}", self.demo.token))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(json!({"retries": 1}).to_string())))
            .expect("a request");
        tokio::spawn(send(self.http.clone(), req))
    }

    fn run_count(&self, path: &str) -> usize {
        self.demo.backends.iter().flat_map(|b| b.standin.log()).filter(|ran| ran.path == path).count()
    }

    async fn check_serves_again(&self) -> Result<(), String> {
        let end = Instant::now() + RECOVERY_TIMEOUT;
        let mut last_answer = None;
        while Instant::now() < end {
            last_answer = self.spawn_request(1, "/quotes/fresh", true).await.ok().flatten();
            if last_answer.as_ref().is_some_and(|a| a.outcome == "ran") {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(format!("no fresh request is served after the faults: {last_answer:?}"))
    }

    // Waits until all running instances have the same revision in force, and it agrees with the operator's
    // answer.
    async fn check_agreement(&self, answer: Option<&ReceivedAnswer>) -> Result<(), String> {
        let end = Instant::now() + RECOVERY_TIMEOUT;
        let agrees = |revision: u64, retries: Option<u8>| match answer.map(|a| (a.status, a.outcome.as_str()))
        {
            Some((200, _)) => revision == 2 && retries == Some(1),
            Some((_, "not-run")) => revision == 1 && retries == Some(2),
            _ => (revision == 2) == (retries == Some(1)),
        };
        loop {
            let active_config: Vec<(u64, Option<u8>)> = self
                .demo
                .nodes
                .iter()
                .map(|n| n.node.active_config.load())
                .map(|f| (f.snapshot.revision.0, f.snapshot.tree.settings.retries))
                .collect();
            let same = active_config.windows(2).all(|w| w[0] == w[1]);
            if same && active_config.iter().all(|(revision, retries)| agrees(*revision, *retries)) {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(format!("in force {active_config:?}, answer {answer:?}"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn send(http: Http, req: Request<Full<Bytes>>) -> Option<ReceivedAnswer> {
    let resp = http.request(req).await.ok()?;
    let status = resp.status().as_u16();
    let outcome =
        resp.headers().get("burdock-outcome").and_then(|v| v.to_str().ok()).unwrap_or("ran").to_owned();
    let body = resp.into_body().collect().await.ok()?.to_bytes();
    Some(ReceivedAnswer { status, outcome, body: serde_json::from_slice(&body).unwrap_or_default() })
}

fn assert_all_hold(verdicts: &[(String, Result<(), String>)]) {
    let failures: Vec<String> =
        verdicts.iter().filter_map(|(name, v)| v.as_ref().err().map(|e| format!("{name}: {e}"))).collect();
    assert!(
        failures.is_empty(),
        "{} of {} cells fail:\n{}",
        failures.len(),
        verdicts.len(),
        failures.join("\n")
    );
}

fn write_page(title: &str, verdicts: &[(String, Result<(), String>)]) {
    if std::env::var_os("UPDATE_DOCS").is_none() {
        return;
    }
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/FAULTS.md");
    let start_mark = format!("<!-- {title} -->");
    let end_mark = format!("<!-- end of {title} -->");
    let old_page = std::fs::read_to_string(page).expect("the page exists");
    let (head, rest) = old_page.split_once(&start_mark).expect("the page has its marks");
    let (_, tail) = rest.split_once(&end_mark).expect("the page has its marks");
    let row = |(name, verdict): &(String, Result<(), String>)| {
        format!("| {name} | {} |\n", if verdict.is_ok() { "holds" } else { "fails" })
    };
    let rows: String = verdicts.iter().map(row).collect();
    std::fs::write(page, format!("{head}{start_mark}\n\n{TABLE_HEADER}{rows}\n{end_mark}{tail}"))
        .expect("the page is written");
}
