//! Calls to other instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use burdock_model::error::Error;
use burdock_model::hash::stable;
use burdock_model::ids::{Life, Revision};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, oneshot};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::convert;
use crate::messages::{
    BufferedResponse, Configuration, Exchange, HandoverRecord, Hello, Loan, PeerAddress, PeerError,
    RelayedRequest, ShareBucket, TokenGrant, TokenRequest, TrafficReport,
};
use crate::peer_capnp::peer;
use crate::threads::{LocalState, SessionThreads};

/// Calls that may be under way to one instance.
const MAX_CALLS_PER_PEER: usize = 512;

/// The longest time to connect and to say hello.
const CONNECT_LIMIT: Duration = Duration::from_millis(1000);

/// The longest that a short call may take.
pub const CALL_LIMIT: Duration = Duration::from_millis(1500);

type Opening = Shared<LocalBoxFuture<'static, Result<peer::Client, String>>>;

/// The outgoing sessions of one thread, by whom they are with and where.
#[derive(Default)]
pub struct Sessions(HashMap<PeerAddress, Opening>);

/// Calls other instances. Cheap to clone.
#[derive(Clone, Debug)]
pub struct PeerClient {
    threads: SessionThreads,
    hello: Arc<Hello>,
    rooms: Arc<Mutex<HashMap<SocketAddr, Arc<Semaphore>>>>,
    bytes: Arc<AtomicUsize>,
}

impl PeerClient {
    /// A caller that introduces itself with this hello.
    ///
    /// # Errors
    /// When threads can't be started.
    pub fn start(hello: Hello, threads: usize) -> std::io::Result<Self> {
        let threads = SessionThreads::start(threads)?;
        Ok(Self { threads, hello: Arc::new(hello), rooms: Arc::default(), bytes: Arc::default() })
    }

    /// Bytes of messages written so far, without framing.
    #[must_use]
    pub fn bytes_written(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    pub(crate) const fn threads(&self) -> &SessionThreads {
        &self.threads
    }

    /// One round of exchange.
    ///
    /// # Errors
    /// When the other instance does not answer in time.
    pub async fn exchange(&self, to: &PeerAddress, exchange: Exchange) -> Result<Exchange, PeerError> {
        let bytes = Arc::clone(&self.bytes);
        self.call(to, CALL_LIMIT, move |client| async move {
            let mut req = client.exchange_request();
            convert::write_exchange(&exchange, req.get().init_exchange());
            count_bytes(&bytes, req.get().total_size()?.word_count);
            let resp = req.send().promise.await?;
            convert::read_exchange(resp.get()?.get_exchange()?)
        })
        .await
    }

    /// Reads the head and the named blobs from another instance.
    ///
    /// # Errors
    /// When the other instance does not answer in time.
    pub async fn fetch_configuration(
        &self,
        to: &PeerAddress,
        blobs: Vec<String>,
    ) -> Result<Configuration, PeerError> {
        self.call(to, CALL_LIMIT, move |client| async move {
            let mut req = client.configuration_request();
            let mut list = req.get().init_blobs(convert::count(&blobs));
            for (ix, blob) in (0..).zip(&blobs) {
                list.set(ix, blob);
            }
            let resp = req.send().promise.await?;
            convert::read_configuration(resp.get()?.get_configuration()?)
        })
        .await
    }

    /// Tells that a newer head exists.
    ///
    /// # Errors
    /// When the other instance does not answer in time.
    pub async fn notify_head_changed(&self, to: &PeerAddress, revision: Revision) -> Result<(), PeerError> {
        let sender = self.hello.incarnation.instance.clone();
        self.call(to, CALL_LIMIT, move |client| async move {
            let mut req = client.head_changed_request();
            req.get().set_revision(revision.0);
            req.get().set_sender(sender.as_str());
            req.send().promise.await.map(|_| ())
        })
        .await
    }

    /// Announces a change and asks for the promise that makes it safe. See the schema.
    ///
    /// # Errors
    /// When the other instance does not answer in time.
    pub async fn announce_change(&self, to: &PeerAddress, change: String) -> Result<bool, PeerError> {
        self.call(to, CALL_LIMIT, move |client| async move {
            let mut req = client.announce_change_request();
            req.get().set_change(&change);
            Ok(req.send().promise.await?.get()?.get_promised())
        })
        .await
    }

    /// Tells that an announced change was certainly not written.
    ///
    /// # Errors
    /// When the other instance does not answer in time.
    pub async fn withdraw_change(&self, to: &PeerAddress, change: String) -> Result<(), PeerError> {
        self.call(to, CALL_LIMIT, move |client| async move {
            let mut req = client.withdraw_change_request();
            req.get().set_change(&change);
            req.send().promise.await.map(|_| ())
        })
        .await
    }

    /// Reads all share records from another instance.
    ///
    /// # Errors
    /// When the other instance does not answer in time.
    pub async fn fetch_share_buckets(&self, to: &PeerAddress) -> Result<Vec<ShareBucket>, PeerError> {
        self.call(to, CALL_LIMIT, move |client| async move {
            let resp = client.shares_request().send().promise.await?;
            resp.get()?.get_buckets()?.iter().map(convert::read_share_bucket).collect()
        })
        .await
    }

    /// Asks which versions of a bucket's records another instance acts on; the answer is JSON.
    ///
    /// # Errors
    /// When the other instance does not answer in time.
    pub async fn fetch_applied_share_versions(
        &self,
        to: &PeerAddress,
        bucket: u32,
    ) -> Result<String, PeerError> {
        self.call(to, CALL_LIMIT, move |client| async move {
            let mut req = client.acting_shares_request();
            req.get().set_bucket(bucket);
            let resp = req.send().promise.await?;
            convert::string_of(resp.get()?.get_versions()?)
        })
        .await
    }

    /// Asks for tokens of an organisation.
    ///
    /// # Errors
    /// When the other instance does not answer in time; tokens it gave are lost then.
    pub async fn borrow_tokens(
        &self,
        to: &PeerAddress,
        organisation: String,
        wanted: u32,
        limit: Duration,
    ) -> Result<Loan, PeerError> {
        self.call(to, limit, move |client| async move {
            let mut req = client.lend_request();
            req.get().set_organisation(&organisation);
            req.get().set_wanted(wanted);
            let resp = req.send().promise.await?;
            Ok(convert::read_loan(resp.get()?.get_loan()?))
        })
        .await
    }

    /// Tells a hub of this instance's traffic, and hears of the others'.
    ///
    /// # Errors
    /// When the other instance does not answer in time.
    pub async fn report_traffic(
        &self,
        to: &PeerAddress,
        traffic: TrafficReport,
        limit: Duration,
    ) -> Result<TrafficReport, PeerError> {
        self.call(to, limit, move |client| async move {
            let mut req = client.report_request();
            convert::write_traffic(&traffic, req.get().init_traffic());
            let resp = req.send().promise.await?;
            convert::read_traffic(resp.get()?.get_traffic()?)
        })
        .await
    }

    /// Asks a hub for leave to pass on requests.
    ///
    /// # Errors
    /// When the other instance does not answer in time; leave that it gave is lost then.
    pub async fn request_tokens(
        &self,
        to: &PeerAddress,
        question: TokenRequest,
        limit: Duration,
    ) -> Result<TokenGrant, PeerError> {
        self.call(to, limit, move |client| async move {
            let mut req = client.take_leave_request();
            req.get().set_sender(question.sender.as_str());
            req.get().set_organisation(question.organisation_hash);
            req.get().set_wanted(question.wanted);
            let resp = req.send().promise.await?;
            let resp = resp.get()?;
            Ok(TokenGrant { granted: resp.get_granted(), wait_ms: resp.get_wait_ms() })
        })
        .await
    }

    /// Has another instance run a request.
    ///
    /// # Errors
    /// [`PeerError::NotSent`] when it certainly did not run there by this call.
    pub async fn relay(
        &self,
        to: &PeerAddress,
        req: RelayedRequest,
        limit: Duration,
    ) -> Result<Result<BufferedResponse, Error>, PeerError> {
        self.call(to, limit, move |client| async move {
            let mut call = client.relay_request();
            convert::write_relayed(&req, call.get().init_request());
            let resp = call.send().promise.await?;
            convert::read_relay_result(resp.get()?.get_answer()?)
        })
        .await
    }

    /// Hands over what this instance knew of idempotency keys, for itself and those it answered for.
    ///
    /// # Errors
    /// When the other instance does not answer in time.
    pub async fn hand_over_records(
        &self,
        to: &PeerAddress,
        left: Vec<Life>,
        records: Vec<HandoverRecord>,
        limit: Duration,
    ) -> Result<bool, PeerError> {
        self.call(to, limit, move |client| async move {
            let mut req = client.hand_over_request();
            let mut list = req.get().init_left(convert::count(&left));
            for (ix, life) in (0..).zip(&left) {
                convert::write_life(life, list.reborrow().get(ix));
            }
            let mut list = req.get().init_records(convert::count(&records));
            for (ix, record) in (0..).zip(&records) {
                convert::write_once_record(record, list.reborrow().get(ix));
            }
            Ok(req.send().promise.await?.get()?.get_taken())
        })
        .await
    }

    async fn call<T, F, Fut>(&self, to: &PeerAddress, limit: Duration, f: F) -> Result<T, PeerError>
    where
        T: Send + 'static,
        F: FnOnce(peer::Client) -> Fut + Send + 'static,
        Fut: Future<Output = capnp::Result<T>> + 'static,
    {
        let room = self.room(to.address);
        let Ok(_permit) = room.try_acquire() else {
            return Err(PeerError::NotSent(format!(
                "{MAX_CALLS_PER_PEER} calls to `{}` wait already",
                to.id
            )));
        };
        let (tx, rx) = oneshot::channel();
        let (hello, target) = (Arc::clone(&self.hello), to.clone());
        let job = move |state: Rc<LocalState>| {
            let work = async move {
                let result = run_call(&state, &hello, &target, limit, f).await;
                // A caller that gave up does not want the result.
                let _gone = tx.send(result);
            };
            work.boxed_local()
        };
        if !self.threads.submit(stable(to.id.as_str().as_bytes(), 0), Box::new(job)) {
            return Err(PeerError::NotSent("the session thread's queue is full".to_owned()));
        }
        rx.await.unwrap_or_else(|_closed| Err(PeerError::Lost("the session thread ended".to_owned())))
    }

    fn room(&self, address: SocketAddr) -> Arc<Semaphore> {
        let mut rooms = self.rooms.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(rooms.entry(address).or_insert_with(|| Arc::new(Semaphore::new(MAX_CALLS_PER_PEER))))
    }
}

fn count_bytes(bytes: &AtomicUsize, words: u64) {
    let count = usize::try_from(words).unwrap_or(0) * size_of::<u64>();
    bytes.fetch_add(count, Ordering::Relaxed);
}

async fn run_call<T, F, Fut>(
    state: &Rc<LocalState>,
    hello: &Arc<Hello>,
    to: &PeerAddress,
    limit: Duration,
    f: F,
) -> Result<T, PeerError>
where
    F: FnOnce(peer::Client) -> Fut,
    Fut: Future<Output = capnp::Result<T>>,
{
    let client = session(state, hello, to).await.map_err(PeerError::NotSent)?;
    match tokio::time::timeout(limit, f(client)).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(e)) => {
            forget_if_broken(state, to, &e);
            Err(PeerError::Lost(e.to_string()))
        }
        Err(_elapsed) => Err(PeerError::Lost(format!("`{}` did not answer within {limit:?}", to.id))),
    }
}

async fn session(
    state: &Rc<LocalState>,
    hello: &Arc<Hello>,
    to: &PeerAddress,
) -> Result<peer::Client, String> {
    let known = state.sessions.borrow().0.get(to).cloned();
    let opening = known.unwrap_or_else(|| {
        let opening = open(Rc::clone(state), Arc::clone(hello), to.clone()).boxed_local().shared();
        state.sessions.borrow_mut().0.insert(to.clone(), opening.clone());
        opening
    });
    let result = opening.await;
    if result.is_err() {
        state.sessions.borrow_mut().0.remove(to);
    }
    result
}

async fn open(state: Rc<LocalState>, hello: Arc<Hello>, to: PeerAddress) -> Result<peer::Client, String> {
    let connect = async {
        let stream = TcpStream::connect(to.address).await.map_err(|e| format!("{}: {e}", to.address))?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let (read, write) = stream.into_split();
        let network =
            VatNetwork::new(read.compat(), write.compat_write(), Side::Client, convert::reader_options());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let peer = to.clone();
        tokio::task::spawn_local(async move {
            // However the session ends, the next call opens a new one.
            let _ended = system.await;
            state.sessions.borrow_mut().0.remove(&peer);
        });
        let mut req = client.hello_request();
        convert::write_hello(&hello, req.get().init_hello());
        let resp = req.send().promise.await.map_err(|e| e.to_string())?;
        let answer = resp.get().and_then(|r| r.get_hello()).and_then(convert::read_hello);
        let answer = answer.map_err(|e| e.to_string())?;
        if answer.incarnation.instance != to.id {
            return Err(format!("{} is `{}`, not `{}`", to.address, answer.incarnation.instance, to.id));
        }
        Ok(client)
    };
    let late = |_elapsed| format!("{} did not open a session within {CONNECT_LIMIT:?}", to.address);
    tokio::time::timeout(CONNECT_LIMIT, connect).await.map_err(late)?
}

fn forget_if_broken(state: &Rc<LocalState>, peer: &PeerAddress, e: &capnp::Error) {
    if e.kind == capnp::ErrorKind::Disconnected {
        state.sessions.borrow_mut().0.remove(peer);
    }
}

impl std::fmt::Debug for Sessions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sessions").field("open", &self.0.len()).finish()
    }
}
