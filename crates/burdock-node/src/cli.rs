//! The command line of `burdockd`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::hedging::HedgeLimit;
use burdock_model::jsonc;
use burdock_standin::backend::BackendStandin;
use burdock_standin::store::StoreStandin;

use crate::demo::{DemoSettings, write_tree};
use crate::demo_site;
use crate::observe::logs;
use crate::settings::{InstanceSettings, LogSettings};
use crate::shutdown::{StopSignals, shut_down};
use crate::start::{Listeners, start};

/// Threads of the runtime for commands other than `run` and `site`.
const TOOL_THREADS: usize = 4;

/// Entry instance of burdockcroft, a global traffic steering system.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run an instance.
    #[bpaf(command)]
    Run {
        /// Settings file, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Run an instance of a deployment on the platform.
    #[bpaf(command)]
    Site {
        /// Settings file of the platform; by default the one that its environment names
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
        /// Port for metrics; none are served without one
        #[bpaf(argument("PORT"))]
        metrics_port: Option<u16>,
        /// Share of requests for which a second copy may be sent, up to 0.2; the store may hold another
        #[bpaf(argument("SHARE"), fallback(HedgeLimit::default()), display_fallback)]
        hedge_limit: HedgeLimit,
    },
    /// Check a settings file, or a tree, and say what is wrong with it.
    #[bpaf(command)]
    Check {
        /// Settings file, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
        /// Tree file, JSON with comments
        #[bpaf(argument("FILE"))]
        tree: Option<PathBuf>,
        /// Settings file of the platform
        #[bpaf(argument("FILE"))]
        platform_settings: Option<PathBuf>,
        /// Configuration as the platform's store holds it
        #[bpaf(argument("FILE"))]
        platform_config: Option<PathBuf>,
    },
    /// Run a whole system in one process, to be tried out.
    #[bpaf(command)]
    Demo {
        /// Entry instances
        #[bpaf(argument("N"), fallback(6), display_fallback)]
        instances: usize,
        /// Backend servers for each service
        #[bpaf(argument("N"), fallback(6), display_fallback)]
        backends: usize,
        /// Seed of keys and tokens
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// First port; 0 for any free ones
        #[bpaf(argument("N"), fallback(0), display_fallback)]
        port: u16,
        /// Output: text or json
        #[bpaf(argument("FORM"), fallback(Output::Text))]
        output: Output,
    },
    /// Run a stand-in for the platform's store.
    #[bpaf(command("standin-store"))]
    StandinStore {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Tree to begin with, JSON with comments
        #[bpaf(argument("FILE"))]
        tree: Option<PathBuf>,
    },
    /// Run a stand-in for a backend server.
    #[bpaf(command("standin-backend"))]
    StandinBackend {
        /// Its name
        #[bpaf(argument("NAME"))]
        name: String,
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Address for control
        #[bpaf(argument("ADDRESS"))]
        control: SocketAddr,
        /// Requests it works on at once
        #[bpaf(argument("N"), fallback(6), display_fallback)]
        slots: u32,
        /// Keep no log of what ran
        no_log: bool,
    },
}

/// Format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("`{other}` is neither `text` nor `json`")),
        }
    }
}

/// Parses the command line and runs the command.
#[must_use]
pub fn main() -> ExitCode {
    match execute(command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("burdockd: {e}");
            ExitCode::from(e.kind.answer().exit_code)
        }
    }
}

fn execute(command: Command) -> Result<()> {
    match command {
        Command::Run { settings } => run(InstanceSettings::load(&settings)?),
        Command::Site { settings, metrics_port, hedge_limit } => site(settings, metrics_port, hedge_limit),
        Command::Check { settings, tree, platform_settings, platform_config } => {
            check(settings, tree, platform_settings, platform_config)
        }
        Command::Demo { instances, backends, seed, port, output } => {
            let settings =
                DemoSettings::default().instances(instances).backends(backends).seed(seed).port(port);
            block_on(TOOL_THREADS, demo(settings, output))
        }
        Command::StandinStore { listen, tree } => block_on(TOOL_THREADS, standin_store(listen, tree)),
        Command::StandinBackend { name, listen, control, slots, no_log } => {
            let backend = BackendStandin::new(&name, slots, !no_log);
            block_on(TOOL_THREADS, standin_backend(backend, listen, control))
        }
    }
}

fn check(
    settings: Option<PathBuf>,
    tree: Option<PathBuf>,
    platform: Option<PathBuf>,
    platform_config: Option<PathBuf>,
) -> Result<()> {
    if settings.is_none() && tree.is_none() && platform.is_none() && platform_config.is_none() {
        return Err(Error::new(ErrorKind::InvalidSettings, "nothing to check")
            .hint("give --settings, --tree, --platform-settings or --platform-config"));
    }
    if let Some(path) = platform_config {
        let value = std::fs::read(&path)
            .map_err(|e| Error::new(ErrorKind::InvalidTree, e.to_string()).at(path.display()))?;
        let config = burdock_platform::decode::decode_config(&value).map_err(|e| e.at(path.display()))?;
        let counts = (config.routes.len(), config.organisations.len());
        println!(
            "{}: configuration {} with {} routes and {} organisations is valid",
            path.display(),
            config.version,
            counts.0,
            counts.1
        );
    }
    if let Some(path) = platform {
        let settings = burdock_platform::settings::load(&path)?;
        println!("{}: settings of {} are valid", path.display(), settings.instance);
    }
    if let Some(path) = settings {
        let settings = InstanceSettings::load(&path)?;
        println!("{}: settings of {} are valid", path.display(), settings.instance);
    }
    if let Some(path) = tree {
        let tree =
            burdock_model::tree::Tree::from_value(&read_json(&path)?).map_err(|e| e.at(path.display()))?;
        let counts = (tree.services.len(), tree.organisations.len());
        println!(
            "{}: tree with {} services and {} organisations is valid",
            path.display(),
            counts.0,
            counts.1
        );
    }
    Ok(())
}

fn run(settings: InstanceSettings) -> Result<()> {
    logs::init(settings.log);
    block_on(settings.threads.workers, async move {
        let mut signals = StopSignals::listen().map_err(|e| internal(&e))?;
        let listeners = Listeners::bind(&settings.listen).await?;
        let running = start(settings, listeners)?;
        log::info!("{} started", running.node.incarnation);
        signals.next().await;
        shut_down(running, &mut signals).await;
        Ok(())
    })
}

/// Threads for requests per core of the machine.
const SITE_THREADS_PER_CORE: f64 = 1.0;

fn site(path: Option<PathBuf>, metrics_port: Option<u16>, hedge_limit: HedgeLimit) -> Result<()> {
    logs::init_lines().map_err(|e| internal(&e))?;
    let path = path.unwrap_or_else(burdock_platform::settings::path);
    let mut settings = burdock_platform::settings::load(&path)?;
    settings.hedge_limit = hedge_limit;
    settings.listen.metrics = metrics_port.map(|port| SocketAddr::new(settings.listen.peers.ip(), port));
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
    let threads = (settings.cores * SITE_THREADS_PER_CORE).ceil().max(1.0) as usize;
    block_on(threads, async move { crate::site::start::run(settings, &path).await })
}

async fn demo(settings: DemoSettings, output: Output) -> Result<()> {
    logs::init(LogSettings::default());
    let mut signals = StopSignals::listen().map_err(|e| internal(&e))?;
    let demo = settings.start().await?;
    let sites = demo_site::start_sites(&demo).await?;
    match output {
        Output::Text => println!("{}{}", demo.explain(), demo_site::explain(&sites)),
        Output::Json => {
            let mut line = demo.describe();
            line["platform"] = demo_site::describe(&sites);
            println!("{line}");
        }
    }
    signals.next().await;
    demo.stop().await;
    Ok(())
}

async fn standin_store(listen: SocketAddr, tree: Option<PathBuf>) -> Result<()> {
    let store = StoreStandin::default();
    let (address, task) = store.serve(listen).await.map_err(|e| internal(&e))?;
    if let Some(path) = tree {
        write_tree(address, &read_json(&path)?).await?;
    }
    println!("{}", serde_json::json!({ "listen": address }));
    wait_for_signal().await?;
    task.abort();
    Ok(())
}

async fn standin_backend(backend: BackendStandin, listen: SocketAddr, control: SocketAddr) -> Result<()> {
    let addresses = backend.serve(listen, control).await.map_err(|e| internal(&e))?;
    println!("{}", serde_json::json!({ "listen": addresses.service, "control": addresses.control }));
    wait_for_signal().await
}

async fn wait_for_signal() -> Result<()> {
    StopSignals::listen().map_err(|e| internal(&e))?.next().await;
    Ok(())
}

fn read_json(path: &PathBuf) -> Result<serde_json::Value> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::new(ErrorKind::InvalidTree, e.to_string()).at(path.display()))?;
    jsonc::parse(&text, ErrorKind::InvalidTree).map_err(|e| e.at(path.display()))
}

fn block_on(threads: usize, future: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    let runtime = runtime.map_err(|e| internal(&e))?;
    let result = runtime.block_on(future);
    // Does not wait for tasks that still run: on a slow machine that could take longer than a stop may.
    runtime.shutdown_background();
    result
}

fn internal(e: &std::io::Error) -> Error {
    Error::new(ErrorKind::Internal, e.to_string())
}
