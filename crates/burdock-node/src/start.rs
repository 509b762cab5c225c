//! Starting an instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::{Incarnation, InstanceIncarnation};
use burdock_platform::http::HttpStoreBuilder;
use burdock_wire::client::PeerClient;
use burdock_wire::messages::Hello;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::fleet::{exchange, probe, split, watch as store_watch};
use crate::limits::keeper;
use crate::node::{Node, NodeParts};
use crate::observe::metrics;
use crate::once::claims;
use crate::settings::{InstanceSettings, Listen};
use crate::{admin, entry, peers};

/// Interval at which expired idempotency keys are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Incarnations are numbered from 2026-01-01, as Unix time.
const INCARNATION_EPOCH: Duration = Duration::from_secs(1_767_225_600);

/// Unit of incarnation numbers: two processes of an instance that start further apart get different numbers.
const INCARNATION_UNIT: Duration = Duration::from_millis(100);

/// Listeners of an instance, bound before anything else starts.
#[derive(Debug)]
pub struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
}

impl Listeners {
    /// Binds all addresses. Port 0 stands for any free port.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidSettings`] with the address that can't be bound.
    pub async fn bind(listen: &Listen) -> Result<Self> {
        Ok(Self {
            callers: bind(listen.callers, "listen.callers").await?,
            peers: bind(listen.peers, "listen.peers").await?,
            admin: bind(listen.admin, "listen.admin").await?,
        })
    }

    /// Returns the bound addresses.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when the system does not report an address.
    pub fn addresses(&self) -> Result<Listen> {
        let address =
            |l: &TcpListener| l.local_addr().map_err(|e| Error::new(ErrorKind::Internal, e.to_string()));
        Ok(Listen {
            callers: address(&self.callers)?,
            peers: address(&self.peers)?,
            admin: address(&self.admin)?,
        })
    }
}

/// A running instance.
#[derive(Debug)]
pub struct RunningNode {
    /// State that the parts of the instance share.
    pub node: Arc<Node>,
    stop_tx: watch::Sender<bool>,
    caller_task: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts an instance on bound listeners.
///
/// # Errors
/// [`ErrorKind::Internal`] when the system provides no thread or socket.
pub fn start(mut settings: InstanceSettings, listeners: Listeners) -> Result<RunningNode> {
    settings.listen = listeners.addresses()?;
    let failed = |e: std::io::Error| Error::new(ErrorKind::Internal, e.to_string());
    let (store, store_calls) = HttpStoreBuilder::new(settings.store.address)
        .timeout(settings.store.time_limit.duration())
        .calls_per_second(settings.store.calls_per_second)
        .build();
    let incarnation = new_incarnation();
    let hello = Hello {
        incarnation: InstanceIncarnation { instance: settings.instance.clone(), incarnation },
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    let peers = PeerClient::start(hello, settings.threads.peers).map_err(failed)?;
    let node = Arc::new(Node::new(NodeParts { settings, incarnation, store, store_calls, peers }));
    let (stop_tx, stop_rx) = watch::channel(false);
    let caller_task = tokio::spawn(entry::serve::serve(Arc::clone(&node), listeners.callers, stop_rx));
    let statsd = metrics::client(&node).map_err(failed)?;
    let tasks = vec![
        tokio::spawn(burdock_wire::server::serve(
            listeners.peers,
            node.peers.clone(),
            peers::handlers(&node),
        )),
        tokio::spawn(serve_admin(Arc::clone(&node), listeners.admin)),
        tokio::spawn(store_watch::list_loop(Arc::clone(&node))),
        tokio::spawn(store_watch::watch_loop(Arc::clone(&node))),
        tokio::spawn(exchange::exchange_loop(Arc::clone(&node))),
        tokio::spawn(split::split_loop(Arc::clone(&node))),
        tokio::spawn(probe::probe_loop(Arc::clone(&node))),
        tokio::spawn(keeper::keeper_loop(Arc::clone(&node))),
        tokio::spawn(claims::cleanup_loop(Arc::clone(&node))),
        tokio::spawn(sweep_loop(Arc::clone(&node))),
        tokio::spawn(metrics::send_loop(Arc::clone(&node), statsd)),
    ];
    Ok(RunningNode { node, stop_tx, caller_task, tasks })
}

impl RunningNode {
    /// Aborts listeners and background tasks. Open connections stay until they close.
    pub fn stop_at_once(self) {
        self.caller_task.abort();
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Stops listeners and background tasks, after a short time for open connections to finish.
    pub async fn stop(self) {
        self.stop_tx.send_replace(true);
        // The task limits by itself how long it waits for open connections.
        let _ended = self.caller_task.await;
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn serve_admin(node: Arc<Node>, listener: TcpListener) {
    if let Err(e) = axum::serve(listener, admin::router::router(&node)).await {
        log::error!("the operators' API stopped: {e}");
    }
}

async fn sweep_loop(node: Arc<Node>) {
    let mut tick = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        tick.tick().await;
        node.once.remove_expired(node.clock.now());
    }
}

async fn bind(address: SocketAddr, setting: &str) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|e| Error::new(ErrorKind::InvalidSettings, format!("{setting}: {address}: {e}")))
}

// Numbers the incarnation by the wall clock, since instances have no storage of their own to count in.
pub(crate) fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH + INCARNATION_EPOCH).unwrap_or_default();
    let number = since.as_millis() / INCARNATION_UNIT.as_millis();
    Incarnation(u32::try_from(number).unwrap_or(u32::MAX).max(1))
}
