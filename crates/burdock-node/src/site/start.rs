//! Start and graceful stop of an instance of a deployment.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use burdock_model::ids::InstanceIncarnation;
use burdock_model::prelude::*;
use burdock_model::site_settings::{SiteListen, SiteSettings};
use burdock_wire::client::PeerClient;
use burdock_wire::messages::Hello;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::task::AbortOnDropHandle;

use crate::observe::counters::Counter;
use crate::phase::Phase;
use crate::shutdown::StopSignals;
use crate::site::serve::{FIRST_REQUEST_WAIT, serve_callers, serve_directory, serve_metrics};
use crate::site::{SiteNode, fleet, report, status_check, sync};
use crate::start::new_incarnation;

/// Fraction of the stop timeout after which new requests are refused as not run and idle connections close.
/// Until then callers learn from the directory that this instance leaves; a request accepted later might not
/// end in time.
const REFUSE_AFTER_FRACTION: f64 = 0.4;

/// Fraction of the stop timeout after which the process ends even if requests are still in flight.
const ABORT_AFTER_FRACTION: f64 = 0.88;

/// Time without a new request after which a stop is complete.
const STOP_IDLE_TIME: Duration = Duration::from_millis(300);

/// Threads for sessions with other instances. One thread carries some thousand messages per second.
const PEER_THREADS: usize = 1;

/// Interval at which a stop checks whether it is complete.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running instance with its tasks.
#[derive(Debug)]
pub struct RunningInstance {
    /// State that the tasks share.
    pub node: Arc<SiteNode>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

/// Binds the listeners of an instance and starts its tasks.
///
/// # Errors
/// [`ErrorKind::InvalidSettings`] with the address that can't be bound.
pub async fn start(settings: SiteSettings) -> Result<RunningInstance> {
    let listen = settings.listen;
    let caller_listener = bind(listen.callers, "callers").await?;
    let readiness_listener = bind(listen.ready, "ready").await?;
    let directory_listener = bind(listen.directory, "directory").await?;
    let incarnation =
        InstanceIncarnation { instance: settings.instance.clone(), incarnation: new_incarnation() };
    let peer_listener = bind(listen.peers, "peers").await?;
    let hello = Hello {
        incarnation: incarnation.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    let peers =
        PeerClient::start(hello, PEER_THREADS).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    let node = Arc::new(SiteNode::new(settings, incarnation, peers));
    let (stop, stop_rx) = watch::channel(false);
    let metrics_listener = match listen.metrics {
        Some(address) => Some(bind(address, "metrics").await?),
        None => None,
    };
    let mut tasks = vec![
        tokio::spawn(serve_callers(Arc::clone(&node), caller_listener, stop_rx.clone())),
        tokio::spawn(serve_directory(Arc::clone(&node), readiness_listener, stop_rx.clone())),
        tokio::spawn(serve_directory(Arc::clone(&node), directory_listener, stop_rx.clone())),
        tokio::spawn(supervise(Arc::clone(&node), fleet::register_loop)),
        tokio::spawn(supervise(Arc::clone(&node), sync::follow_loop)),
        tokio::spawn(supervise(Arc::clone(&node), sync::sweep_loop)),
        tokio::spawn(supervise(Arc::clone(&node), status_check::check_loop)),
        tokio::spawn(burdock_wire::server::serve(peer_listener, node.peers.clone(), report::handlers(&node))),
        tokio::spawn(supervise(Arc::clone(&node), report::report_loop)),
    ];
    if let Some(listener) = metrics_listener {
        tasks.push(tokio::spawn(serve_metrics(Arc::clone(&node), listener, stop_rx)));
    }
    Ok(RunningInstance { node, stop, tasks })
}

/// Runs an instance until the process receives a stop signal. Reads the settings file again on SIGHUP.
///
/// # Errors
/// When a signal handler can't be installed or the instance can't be started; see [`start`].
pub async fn run(settings: SiteSettings, path: &Path) -> Result<()> {
    let mut signals = StopSignals::listen().map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    let mut reload =
        signal(SignalKind::hangup()).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    let running = start(settings).await?;
    log::info!(life:% = running.node.incarnation; "started");
    loop {
        tokio::select! {
            () = signals.next() => break,
            _ = reload.recv() => check_reloaded_settings(&running.node, path),
        }
    }
    running.stop().await;
    Ok(())
}

impl RunningInstance {
    /// Stops within the stop timeout: leaves the directory, then refuses new requests and closes each
    /// connection once it is idle.
    pub async fn stop(self) {
        let node = &self.node;
        let timeout = node.settings.bounds.stop_timeout;
        let started_at = node.clock.now();
        log::info!(in_flight = node.in_flight(); "stop begun");
        node.begin_stop(started_at + timeout.mul_f64(ABORT_AFTER_FRACTION));
        let shared = Arc::clone(node);
        tokio::spawn(async move { fleet::deregister(&shared).await });
        loop {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
            let elapsed = node.clock.now().since(started_at);
            let refuses_requests = elapsed >= timeout.mul_f64(REFUSE_AFTER_FRACTION);
            if refuses_requests {
                node.advance(Phase::Finishing);
                self.stop.send_replace(true);
            }
            let refused_for = elapsed.saturating_sub(timeout.mul_f64(REFUSE_AFTER_FRACTION));
            let is_idle = node.in_flight() == 0 && node.idle_time() >= STOP_IDLE_TIME;
            let is_done = is_idle && refused_for >= FIRST_REQUEST_WAIT + STOP_IDLE_TIME;
            if is_done || elapsed >= timeout.mul_f64(ABORT_AFTER_FRACTION) {
                break;
            }
        }
        log::info!(in_flight = node.in_flight(); "stopped");
        for task in &self.tasks {
            task.abort();
        }
    }
}

// Settings can't change while the process runs, since its addresses are bound. A changed file is only
// validated, and the log says whether it takes effect at the next start.
fn check_reloaded_settings(node: &SiteNode, path: &Path) {
    let (metrics, hedge_limit) = (node.settings.listen.metrics, node.settings.hedge_limit);
    // Two settings come from the command line.
    let loaded = burdock_platform::settings::load(path).map(|settings| SiteSettings {
        listen: SiteListen { metrics, ..settings.listen },
        hedge_limit,
        ..settings
    });
    match loaded {
        Ok(settings) if settings == node.settings => log::info!("settings read again: no change"),
        Ok(_) => log::info!("settings read again: changes take effect at the next start"),
        Err(e) => log::warn!("settings could not be read again, the current ones stay in force: {e}"),
    }
}

/// Delay before a task that ended by an unexpected error is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a task until it ends. One that ends by a panic is started again, since the instance depends on it.
pub async fn supervise<F>(node: Arc<SiteNode>, run: impl Fn(Arc<SiteNode>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        // Aborted with this future, unlike a task that is only spawned.
        match AbortOnDropHandle::new(tokio::spawn(run(Arc::clone(&node)))).await {
            Ok(()) => return,
            Err(e) => {
                node.counters.add(Counter::TasksRestarted);
                log::error!("a task ended by an unexpected error and is started again: {e}");
                tokio::time::sleep(RESTART_DELAY).await;
            }
        }
    }
}

async fn bind(address: SocketAddr, listener: &str) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|e| Error::new(ErrorKind::InvalidSettings, format!("{listener}: {address}: {e}")))
}
