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

/// How often tables are swept.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Lives are numbered from here, 2026-01-01, after the start of the wall clock.
const FIRST_LIFE: Duration = Duration::from_secs(1_767_225_600);

/// The shortest time between two lives of an instance.
const LIFE_UNIT: Duration = Duration::from_millis(100);

/// Listeners that are bound before anything else starts.
#[derive(Debug)]
pub struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
}

impl Listeners {
    /// Binds all addresses. Port 0 takes any free port.
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

    /// The addresses that are bound.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when the system can't tell.
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
    /// What its parts share.
    pub node: Arc<Node>,
    stop: watch::Sender<bool>,
    callers: JoinHandle<()>,
    loops: Vec<JoinHandle<()>>,
}

/// Starts an instance on bound listeners.
///
/// # Errors
/// [`ErrorKind::Internal`] when threads or sockets can't be had.
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
    let (stop, stopping) = watch::channel(false);
    let callers = tokio::spawn(entry::serve::serve(Arc::clone(&node), listeners.callers, stopping));
    let statsd = metrics::client(&node).map_err(failed)?;
    let loops = vec![
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
    Ok(RunningNode { node, stop, callers, loops })
}

impl RunningNode {
    /// Ends listeners and loops at once. Connections that are open go on until they close.
    pub fn stop_at_once(self) {
        self.callers.abort();
        for task in &self.loops {
            task.abort();
        }
    }

    /// Stops: listeners and loops end, open connections get a moment to come to rest.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        // The task ends by itself within its own bound.
        let _ended = self.callers.await;
        for task in &self.loops {
            task.abort();
        }
    }
}

async fn serve_admin(node: Arc<Node>, listener: TcpListener) {
    if let Err(e) = axum::serve(listener, admin::router::router(&node)).await {
        log::error!("the operators' API ended: {e}");
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

// Instances keep nothing, so a life is numbered by the wall clock at its start.
pub(crate) fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH + FIRST_LIFE).unwrap_or_default();
    let number = since.as_millis() / LIFE_UNIT.as_millis();
    Incarnation(u32::try_from(number).unwrap_or(u32::MAX).max(1))
}
