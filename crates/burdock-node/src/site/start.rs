//! Starting and stopping an instance of a deployment.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use burdock_model::ids::InstanceIncarnation;
use burdock_model::prelude::*;
use burdock_model::site_settings::SiteSettings;
use burdock_wire::client::PeerClient;
use burdock_wire::messages::Hello;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::phase::Phase;
use crate::shutdown::StopSignals;
use crate::site::serve::{serve_callers, serve_directory, serve_metrics};
use crate::site::{SiteNode, fleet, report, sync};
use crate::start::new_incarnation;

/// The part of the time to stop after which new requests are refused as not run and idle connections close. Until
/// then callers learn from the directory that this instance leaves; a request taken later might not end in time.
const REFUSE_AT: f64 = 0.4;

/// The part of the time to stop after which the process ends whatever still runs.
const END_AT: f64 = 0.88;

/// How long no request must have come before a stop counts as done.
const QUIET: Duration = Duration::from_millis(300);

/// Threads for sessions with other instances: one carries some thousand messages a second.
const PEER_THREADS: usize = 1;

/// How often a stop looks whether it is done.
const LOOK: Duration = Duration::from_millis(50);

/// A running instance.
#[derive(Debug)]
pub struct RunningSite {
    /// What its parts share.
    pub node: Arc<SiteNode>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts an instance.
///
/// # Errors
/// [`ErrorKind::InvalidSettings`] with the address that can't be bound.
pub async fn start(settings: SiteSettings) -> Result<RunningSite> {
    let listen = settings.listen;
    let callers = bind(listen.callers, "callers").await?;
    let ready = bind(listen.ready, "ready").await?;
    let directory = bind(listen.directory, "directory").await?;
    let life = InstanceIncarnation { instance: settings.instance.clone(), incarnation: new_incarnation() };
    let inner = bind(listen.peers, "peers").await?;
    let hello =
        Hello { incarnation: life.clone(), region: settings.region.clone(), zone: settings.zone.clone() };
    let peers =
        PeerClient::start(hello, PEER_THREADS).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    let node = Arc::new(SiteNode::new(settings, life, peers));
    let (stop, stopping) = watch::channel(false);
    let metrics = match listen.metrics {
        Some(address) => Some(bind(address, "metrics").await?),
        None => None,
    };
    let mut tasks = vec![
        tokio::spawn(serve_callers(Arc::clone(&node), callers, stopping.clone())),
        tokio::spawn(serve_directory(Arc::clone(&node), ready, stopping.clone())),
        tokio::spawn(serve_directory(Arc::clone(&node), directory, stopping.clone())),
        tokio::spawn(fleet::register_loop(Arc::clone(&node))),
        tokio::spawn(sync::follow_loop(Arc::clone(&node))),
        tokio::spawn(sync::sweep_loop(Arc::clone(&node))),
        tokio::spawn(burdock_wire::server::serve(inner, node.peers.clone(), report::handlers(&node))),
        tokio::spawn(report::report_loop(Arc::clone(&node))),
    ];
    if let Some(listener) = metrics {
        tasks.push(tokio::spawn(serve_metrics(Arc::clone(&node), listener, stopping)));
    }
    Ok(RunningSite { node, stop, tasks })
}

/// Runs an instance until it is told to stop.
///
/// # Errors
/// When it can't be started.
pub async fn run(settings: SiteSettings, path: &Path) -> Result<()> {
    let mut signals = StopSignals::listen().map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    let mut reload =
        signal(SignalKind::hangup()).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    let running = start(settings).await?;
    log::info!(life:% = running.node.life; "started");
    loop {
        tokio::select! {
            () = signals.next() => break,
            _ = reload.recv() => reloaded(&running.node, path),
        }
    }
    running.stop().await;
    Ok(())
}

impl RunningSite {
    /// Stops: out of the directory first, then connections as they come to rest, within the time to stop.
    pub async fn stop(self) {
        let node = &self.node;
        let limit = node.settings.bounds.stop_timeout;
        let began = node.clock.now();
        log::info!(in_flight = node.in_flight(); "stop begun");
        node.advance(Phase::Draining);
        let withdrawn = Arc::clone(node);
        tokio::spawn(async move { fleet::deregister(&withdrawn).await });
        loop {
            tokio::time::sleep(LOOK).await;
            let elapsed = node.clock.now().since(began);
            let closing = elapsed >= limit.mul_f64(REFUSE_AT);
            if closing {
                node.advance(Phase::Finishing);
                self.stop.send_replace(true);
            }
            let done = closing && node.in_flight() == 0 && node.quiet_for() >= QUIET;
            if done || elapsed >= limit.mul_f64(END_AT) {
                break;
            }
        }
        log::info!(in_flight = node.in_flight(); "stopped");
        for task in &self.tasks {
            task.abort();
        }
    }
}

// Addresses can't change while the process runs, so a changed file is checked and what differs is told.
fn reloaded(node: &SiteNode, path: &Path) {
    match burdock_platform::settings::load(path) {
        Ok(settings) if settings == node.settings => log::info!("settings read again: no change"),
        Ok(_) => log::info!("settings read again: changes take effect at the next start"),
        Err(e) => log::warn!("settings could not be read again, the former hold: {e}"),
    }
}

async fn bind(address: SocketAddr, what: &str) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|e| Error::new(ErrorKind::InvalidSettings, format!("{what}: {address}: {e}")))
}
