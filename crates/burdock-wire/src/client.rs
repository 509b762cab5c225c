//! Client side of the protocol: calls to other instances.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use burdock_model::error::Error;
use burdock_model::hash::stable_hash;
use burdock_model::ids::{InstanceIncarnation, Revision};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, oneshot};
use tokio::task::AbortHandle;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::convert;
use crate::keep_alive::enable_keep_alive;
use crate::messages::{
    BufferedResponse, Configuration, Exchange, HandoverRecord, Hello, Loan, PeerAddress, PeerError,
    RelayedRequest, ShareBucket, TokenGrant, TokenRequest, TrafficReport,
};
use crate::peer_capnp::peer;
use crate::threads::{LocalState, SessionThreads};

/// Limit on concurrent calls to one instance.
const MAX_CALLS_PER_PEER: usize = 512;

/// Time limit for opening a session: to connect and exchange hellos.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time limit of the probe of a session on which a call timed out.
const PROBE_TIMEOUT: Duration = CONNECT_TIMEOUT;

/// Time limit of a call for which the caller sets none.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

// Shared, so that concurrent calls wait for the same session to open.
type SharedSession = Shared<LocalBoxFuture<'static, Result<OpenSession, String>>>;

#[derive(Clone)]
struct OpenSession {
    client: peer::Client,
    // Whether a probe of the session is in progress. Its address identifies the session.
    is_probed: Rc<Cell<bool>>,
    task: AbortHandle,
}

/// Outgoing sessions of one thread, by id and address of the other instance.
#[derive(Default)]
pub struct Sessions(HashMap<PeerAddress, SharedSession>);

/// Client for calls to other instances. Clones share sessions and limits, and are cheap.
#[derive(Clone, Debug)]
pub struct PeerClient {
    threads: SessionThreads,
    hello: Arc<Hello>,
    call_permits: Arc<Mutex<HashMap<SocketAddr, Arc<Semaphore>>>>,
    bytes_written: Arc<AtomicUsize>,
}

impl PeerClient {
    /// Starts session threads for a client that introduces itself with `hello`.
    ///
    /// # Errors
    /// If a thread can't be started.
    pub fn start(hello: Hello, threads: usize) -> std::io::Result<Self> {
        let threads = SessionThreads::start(threads)?;
        Ok(Self {
            threads,
            hello: Arc::new(hello),
            call_permits: Arc::default(),
            bytes_written: Arc::default(),
        })
    }

    /// Returns the bytes of gossip messages written so far, without framing.
    #[must_use]
    pub fn bytes_written(&self) -> usize {
        self.bytes_written.load(Ordering::Relaxed)
    }

    pub(crate) const fn threads(&self) -> &SessionThreads {
        &self.threads
    }

    /// Sends a gossip message and returns the other instance's message.
    ///
    /// # Errors
    /// If the other instance can't be reached or does not answer in time.
    pub async fn exchange(&self, to: &PeerAddress, exchange: Exchange) -> Result<Exchange, PeerError> {
        let bytes_written = Arc::clone(&self.bytes_written);
        self.call(to, CALL_TIMEOUT, move |client| async move {
            let mut req = client.exchange_request();
            convert::write_exchange(&exchange, req.get().init_exchange());
            count_bytes(&bytes_written, req.get().total_size()?.word_count);
            let resp = req.send().promise.await?;
            convert::read_exchange(resp.get()?.get_exchange()?)
        })
        .await
    }

    /// Fetches the configuration's head and the named blobs from another instance.
    ///
    /// # Errors
    /// If the other instance can't be reached or does not answer in time.
    pub async fn fetch_configuration(
        &self,
        to: &PeerAddress,
        blobs: Vec<String>,
    ) -> Result<Configuration, PeerError> {
        self.call(to, CALL_TIMEOUT, move |client| async move {
            let mut req = client.configuration_request();
            let mut list = req.get().init_blobs(convert::list_len(&blobs));
            for (ix, blob) in (0..).zip(&blobs) {
                list.set(ix, blob);
            }
            let resp = req.send().promise.await?;
            convert::read_configuration(resp.get()?.get_configuration()?)
        })
        .await
    }

    /// Notifies another instance that a newer head of the configuration exists.
    ///
    /// # Errors
    /// If the other instance can't be reached or does not answer in time.
    pub async fn notify_head_changed(&self, to: &PeerAddress, revision: Revision) -> Result<(), PeerError> {
        let sender = self.hello.incarnation.instance.clone();
        self.call(to, CALL_TIMEOUT, move |client| async move {
            let mut req = client.head_changed_request();
            req.get().set_revision(revision.0);
            req.get().set_sender(sender.as_str());
            req.send().promise.await.map(|_| ())
        })
        .await
    }

    /// Announces a change that is about to be written.
    ///
    /// Returns whether the other instance promised to count contact without the store as lost until the change
    /// is settled. The promise makes the change safe to write.
    ///
    /// # Errors
    /// If the other instance can't be reached or does not answer in time.
    pub async fn announce_change(&self, to: &PeerAddress, change: String) -> Result<bool, PeerError> {
        self.call(to, CALL_TIMEOUT, move |client| async move {
            let mut req = client.announce_change_request();
            req.get().set_change(&change);
            Ok(req.send().promise.await?.get()?.get_promised())
        })
        .await
    }

    /// Withdraws an announced change that was certainly not written, which voids the promise.
    ///
    /// # Errors
    /// If the other instance can't be reached or does not answer in time.
    pub async fn withdraw_change(&self, to: &PeerAddress, change: String) -> Result<(), PeerError> {
        self.call(to, CALL_TIMEOUT, move |client| async move {
            let mut req = client.withdraw_change_request();
            req.get().set_change(&change);
            req.send().promise.await.map(|_| ())
        })
        .await
    }

    /// Fetches all share records from another instance.
    ///
    /// # Errors
    /// If the other instance can't be reached or does not answer in time.
    pub async fn fetch_share_buckets(&self, to: &PeerAddress) -> Result<Vec<ShareBucket>, PeerError> {
        self.call(to, CALL_TIMEOUT, move |client| async move {
            let resp = client.shares_request().send().promise.await?;
            resp.get()?.get_buckets()?.iter().map(convert::read_share_bucket).collect()
        })
        .await
    }

    /// Fetches the versions of a bucket's share records that another instance applies, as JSON.
    ///
    /// # Errors
    /// If the other instance can't be reached or does not answer in time.
    pub async fn fetch_applied_share_versions(
        &self,
        to: &PeerAddress,
        bucket: u32,
    ) -> Result<String, PeerError> {
        self.call(to, CALL_TIMEOUT, move |client| async move {
            let mut req = client.acting_shares_request();
            req.get().set_bucket(bucket);
            let resp = req.send().promise.await?;
            convert::read_string(resp.get()?.get_versions()?)
        })
        .await
    }

    /// Borrows tokens of an organisation from another share holder.
    ///
    /// # Errors
    /// If the other instance can't be reached or does not answer in time. Tokens that it lent are lost then.
    pub async fn borrow_tokens(
        &self,
        to: &PeerAddress,
        organisation: String,
        wanted: u32,
        timeout: Duration,
    ) -> Result<Loan, PeerError> {
        self.call(to, timeout, move |client| async move {
            let mut req = client.lend_request();
            req.get().set_organisation(&organisation);
            req.get().set_wanted(wanted);
            let resp = req.send().promise.await?;
            Ok(convert::read_loan(resp.get()?.get_loan()?))
        })
        .await
    }

    /// Reports this instance's traffic to a hub and returns the report on the other instances.
    ///
    /// # Errors
    /// If the other instance can't be reached or does not answer in time.
    pub async fn report_traffic(
        &self,
        to: &PeerAddress,
        traffic: TrafficReport,
        timeout: Duration,
    ) -> Result<TrafficReport, PeerError> {
        self.call(to, timeout, move |client| async move {
            let mut req = client.report_request();
            convert::write_traffic_report(&traffic, req.get().init_traffic());
            let resp = req.send().promise.await?;
            convert::read_traffic_report(resp.get()?.get_traffic()?)
        })
        .await
    }

    /// Requests tokens of an organisation from a hub, one for each request to forward.
    ///
    /// # Errors
    /// If the hub can't be reached or does not answer in time. Tokens that it granted are lost then.
    pub async fn request_tokens(
        &self,
        to: &PeerAddress,
        request: TokenRequest,
        timeout: Duration,
    ) -> Result<TokenGrant, PeerError> {
        self.call(to, timeout, move |client| async move {
            let mut req = client.take_leave_request();
            req.get().set_sender(request.sender.as_str());
            req.get().set_organisation(request.organisation_hash);
            req.get().set_wanted(request.wanted);
            let resp = req.send().promise.await?;
            let resp = resp.get()?;
            Ok(TokenGrant { granted: resp.get_granted(), wait_ms: resp.get_wait_ms() })
        })
        .await
    }

    /// Relays a request with an idempotency key to another instance, which runs it.
    ///
    /// # Errors
    /// [`PeerError::NotSent`] if this call certainly did not run the request there, [`PeerError::Lost`] if it
    /// may have.
    pub async fn relay(
        &self,
        to: &PeerAddress,
        req: RelayedRequest,
        timeout: Duration,
    ) -> Result<Result<BufferedResponse, Error>, PeerError> {
        self.call(to, timeout, move |client| async move {
            let mut call = client.relay_request();
            convert::write_relayed_request(&req, call.get().init_request());
            let resp = call.send().promise.await?;
            convert::read_relay_result(resp.get()?.get_answer()?)
        })
        .await
    }

    /// Hands over the idempotency keys of departed incarnations: those of this instance and those it answered
    /// for.
    ///
    /// Returns whether the other instance took them over.
    ///
    /// # Errors
    /// If the other instance can't be reached or does not answer in time.
    pub async fn hand_over_records(
        &self,
        to: &PeerAddress,
        departed: Vec<InstanceIncarnation>,
        records: Vec<HandoverRecord>,
        timeout: Duration,
    ) -> Result<bool, PeerError> {
        self.call(to, timeout, move |client| async move {
            let mut req = client.hand_over_request();
            let mut list = req.get().init_left(convert::list_len(&departed));
            for (ix, incarnation) in (0..).zip(&departed) {
                convert::write_incarnation(incarnation, list.reborrow().get(ix));
            }
            let mut list = req.get().init_records(convert::list_len(&records));
            for (ix, record) in (0..).zip(&records) {
                convert::write_handover_record(record, list.reborrow().get(ix));
            }
            Ok(req.send().promise.await?.get()?.get_taken())
        })
        .await
    }

    async fn call<T, F, Fut>(&self, to: &PeerAddress, timeout: Duration, f: F) -> Result<T, PeerError>
    where
        T: Send + 'static,
        F: FnOnce(peer::Client) -> Fut + Send + 'static,
        Fut: Future<Output = capnp::Result<T>> + 'static,
    {
        let call_permits = self.call_permits(to.address);
        let Ok(_permit) = call_permits.try_acquire() else {
            return Err(PeerError::NotSent(format!(
                "{MAX_CALLS_PER_PEER} calls to `{}` are pending already",
                to.id
            )));
        };
        let (tx, rx) = oneshot::channel();
        let (hello, peer) = (Arc::clone(&self.hello), to.clone());
        let job = move |state: Rc<LocalState>| {
            let task = async move {
                let result = run_call(&state, &hello, &peer, timeout, f).await;
                // The receiver is gone if the caller stopped waiting.
                let _dropped = tx.send(result);
            };
            task.boxed_local()
        };
        if !self.threads.submit(stable_hash(to.id.as_str().as_bytes(), 0), Box::new(job)) {
            return Err(PeerError::NotSent("the session thread's queue is full".to_owned()));
        }
        rx.await.unwrap_or_else(|_closed| Err(PeerError::Lost("the session thread ended".to_owned())))
    }

    fn call_permits(&self, address: SocketAddr) -> Arc<Semaphore> {
        let mut permits = self.call_permits.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(permits.entry(address).or_insert_with(|| Arc::new(Semaphore::new(MAX_CALLS_PER_PEER))))
    }
}

fn count_bytes(total: &AtomicUsize, words: u64) {
    let bytes = usize::try_from(words).unwrap_or(0) * size_of::<u64>();
    total.fetch_add(bytes, Ordering::Relaxed);
}

async fn run_call<T, F, Fut>(
    state: &Rc<LocalState>,
    hello: &Arc<Hello>,
    to: &PeerAddress,
    timeout: Duration,
    f: F,
) -> Result<T, PeerError>
where
    F: FnOnce(peer::Client) -> Fut,
    Fut: Future<Output = capnp::Result<T>>,
{
    let session = get_or_open_session(state, hello, to).await.map_err(PeerError::NotSent)?;
    match tokio::time::timeout(timeout, f(session.client.clone())).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(e)) => {
            remove_if_disconnected(state, to, &e);
            Err(PeerError::Lost(e.to_string()))
        }
        Err(_elapsed) => {
            probe_session(state, hello, to, session);
            Err(PeerError::Lost(format!("`{}` did not answer within {timeout:?}", to.id)))
        }
    }
}

// Checks whether a session on which a call timed out still answers, and closes it if it does not. The other
// instance may only have been busy with that call, which is no reason to open a new session.
fn probe_session(state: &Rc<LocalState>, hello: &Arc<Hello>, to: &PeerAddress, session: OpenSession) {
    if session.is_probed.replace(true) {
        return;
    }
    let mut req = session.client.hello_request();
    convert::write_hello(hello, req.get().init_hello());
    let (state, peer) = (Rc::clone(state), to.clone());
    tokio::task::spawn_local(async move {
        if matches!(tokio::time::timeout(PROBE_TIMEOUT, req.send().promise).await, Ok(Ok(_))) {
            session.is_probed.set(false);
            return;
        }
        remove_session(&state, &peer, &session.is_probed);
        session.task.abort();
    });
}

// Removes a session unless it was replaced by another one.
fn remove_session(state: &Rc<LocalState>, peer: &PeerAddress, is_probed: &Rc<Cell<bool>>) {
    let mut sessions = state.sessions.borrow_mut();
    let known = sessions.0.get(peer).and_then(Shared::peek);
    if matches!(known, Some(Ok(session)) if Rc::ptr_eq(&session.is_probed, is_probed)) {
        sessions.0.remove(peer);
    }
}

async fn get_or_open_session(
    state: &Rc<LocalState>,
    hello: &Arc<Hello>,
    to: &PeerAddress,
) -> Result<OpenSession, String> {
    let existing = state.sessions.borrow().0.get(to).cloned();
    let session = existing.unwrap_or_else(|| {
        let session = open_session(Rc::clone(state), Arc::clone(hello), to.clone()).boxed_local().shared();
        state.sessions.borrow_mut().0.insert(to.clone(), session.clone());
        session
    });
    let result = session.await;
    if result.is_err() {
        state.sessions.borrow_mut().0.remove(to);
    }
    result
}

async fn open_session(
    state: Rc<LocalState>,
    hello: Arc<Hello>,
    to: PeerAddress,
) -> Result<OpenSession, String> {
    let connect = async {
        let stream = TcpStream::connect(to.address).await.map_err(|e| format!("{}: {e}", to.address))?;
        enable_keep_alive(&stream).map_err(|e| e.to_string())?;
        let (read, write) = stream.into_split();
        let network =
            VatNetwork::new(read.compat(), write.compat_write(), Side::Client, convert::reader_options());
        let mut rpc_system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = rpc_system.bootstrap(Side::Server);
        let is_probed = Rc::new(Cell::new(false));
        let (peer, identity) = (to.clone(), Rc::clone(&is_probed));
        let task = tokio::task::spawn_local(async move {
            // A session that ends for any reason is removed, so that the next call opens a new one.
            let _result = rpc_system.await;
            remove_session(&state, &peer, &identity);
        });
        let mut req = client.hello_request();
        convert::write_hello(&hello, req.get().init_hello());
        let resp = req.send().promise.await.map_err(|e| e.to_string())?;
        let answer = resp.get().and_then(|r| r.get_hello()).and_then(convert::read_hello);
        let answer = answer.map_err(|e| e.to_string())?;
        if answer.incarnation.instance != to.id {
            return Err(format!(
                "{} is instance `{}`, expected `{}`",
                to.address, answer.incarnation.instance, to.id
            ));
        }
        Ok(OpenSession { client, is_probed, task: task.abort_handle() })
    };
    let timed_out = |_elapsed| format!("{} did not open a session within {CONNECT_TIMEOUT:?}", to.address);
    tokio::time::timeout(CONNECT_TIMEOUT, connect).await.map_err(timed_out)?
}

fn remove_if_disconnected(state: &Rc<LocalState>, peer: &PeerAddress, e: &capnp::Error) {
    if e.kind == capnp::ErrorKind::Disconnected {
        state.sessions.borrow_mut().0.remove(peer);
    }
}

impl std::fmt::Debug for Sessions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sessions").field("open", &self.0.len()).finish()
    }
}
