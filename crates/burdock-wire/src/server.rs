//! Answers to the calls of other instances.

use std::rc::Rc;
use std::sync::Arc;

use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::{InstanceId, Life, Revision};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::client::PeerClient;
use crate::convert;
use crate::messages::{
    BufferedResponse, Configuration, Exchange, HandoverRecord, Hello, Loan, RelayedRequest, ShareBucket,
    TokenGrant, TokenRequest, TrafficReport,
};
use crate::peer_capnp::peer;

/// Sessions that other instances may have open here.
const MAX_SESSIONS: usize = 4096;

/// Answers a call with a value or an error.
pub type Handler<A, R> = Arc<dyn Fn(A) -> BoxFuture<'static, Result<R>> + Send + Sync>;

/// What answers each call. Handlers run on the runtime that [`serve`] was called on.
#[derive(Clone)]
pub struct Handlers {
    /// Who this instance is.
    pub hello: Hello,
    /// A round of exchange.
    pub exchange: Handler<Exchange, Exchange>,
    /// The head and the named blobs.
    pub fetch_configuration: Handler<Vec<String>, Configuration>,
    /// A newer head exists, as that instance tells.
    pub notify_head_changed: Handler<(Revision, InstanceId), ()>,
    /// A change is about to be written.
    pub announce_change: Handler<String, bool>,
    /// An announced change was certainly not written.
    pub withdraw_change: Handler<String, ()>,
    /// All share records.
    pub fetch_share_buckets: Handler<(), Vec<ShareBucket>>,
    /// The versions acted on in one bucket, as JSON.
    pub fetch_applied_share_versions: Handler<u32, String>,
    /// Tokens of an organisation.
    pub borrow_tokens: Handler<(String, u32), Loan>,
    /// A request to run.
    pub relay: Handler<RelayedRequest, BufferedResponse>,
    /// What an instance that leaves knew.
    pub hand_over_records: Handler<(Vec<Life>, Vec<HandoverRecord>), bool>,
    /// Traffic of another instance.
    pub report_traffic: Handler<TrafficReport, TrafficReport>,
    /// Leave to pass on requests.
    pub request_tokens: Handler<TokenRequest, TokenGrant>,
}

impl Handlers {
    /// Handlers that refuse every call but the hello, to be replaced one by one.
    #[must_use]
    pub fn reject_all(hello: Hello) -> Self {
        Self {
            hello,
            exchange: refuse(),
            fetch_configuration: refuse(),
            notify_head_changed: refuse(),
            announce_change: refuse(),
            withdraw_change: refuse(),
            fetch_share_buckets: refuse(),
            fetch_applied_share_versions: refuse(),
            borrow_tokens: refuse(),
            relay: refuse(),
            hand_over_records: refuse(),
            report_traffic: refuse(),
            request_tokens: refuse(),
        }
    }
}

fn refuse<A, R: Send + 'static>() -> Handler<A, R> {
    let error = || Error::new(ErrorKind::BadRequest, "this instance does not answer this call");
    Arc::new(move |_| std::future::ready(Err(error())).boxed())
}

impl std::fmt::Debug for Handlers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handlers").field("hello", &self.hello).finish_non_exhaustive()
    }
}

/// Accepts sessions until the task is dropped. Sessions are spread over the threads of `peers`.
pub async fn serve(listener: TcpListener, peers: PeerClient, handlers: Handlers) {
    let room = Arc::new(Semaphore::new(MAX_SESSIONS));
    let runtime = Handle::current();
    let mut number = 0;
    loop {
        let Ok(permit) = Arc::clone(&room).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let Ok(stream) = stream.into_std() else {
            continue;
        };
        let (handlers, runtime) = (handlers.clone(), runtime.clone());
        number += 1;
        let job = move |_state| {
            async move {
                // A session that breaks is opened again by its caller.
                let _ended = session(stream, handlers, runtime).await;
                drop(permit);
            }
            .boxed_local()
        };
        peers.threads().submit(number, Box::new(job));
    }
}

async fn session(
    stream: std::net::TcpStream,
    handlers: Handlers,
    runtime: Handle,
) -> std::result::Result<(), String> {
    let stream = TcpStream::from_std(stream).map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (read, write) = stream.into_split();
    let network =
        VatNetwork::new(read.compat(), write.compat_write(), Side::Server, convert::reader_options());
    let server: peer::Client = capnp_rpc::new_client(Server { handlers, runtime });
    RpcSystem::new(Box::new(network), Some(server.client)).await.map_err(|e| e.to_string())
}

struct Server {
    handlers: Handlers,
    runtime: Handle,
}

impl Server {
    // Handlers touch shared state and wait on other tasks, so they run on the main runtime.
    async fn run<A, R: Send + 'static>(&self, handler: &Handler<A, R>, arg: A) -> capnp::Result<R> {
        let result = self.runtime.spawn(handler(arg)).await;
        result.map_err(|e| failed(&e.to_string()))?.map_err(|e: Error| failed(&e.to_string()))
    }
}

impl peer::Server for Server {
    async fn hello(
        self: Rc<Self>,
        params: peer::HelloParams,
        mut results: peer::HelloResults,
    ) -> capnp::Result<()> {
        convert::read_hello(params.get()?.get_hello()?)?;
        convert::write_hello(&self.handlers.hello, results.get().init_hello());
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> capnp::Result<()> {
        let exchange = convert::read_exchange(params.get()?.get_exchange()?)?;
        let answer = self.run(&self.handlers.exchange, exchange).await?;
        convert::write_exchange(&answer, results.get().init_exchange());
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        params: peer::ConfigurationParams,
        mut results: peer::ConfigurationResults,
    ) -> capnp::Result<()> {
        let names = params.get()?.get_blobs()?;
        let names = names.iter().map(|n| convert::string_of(n?)).collect::<capnp::Result<Vec<String>>>()?;
        let answer = self.run(&self.handlers.fetch_configuration, names).await?;
        convert::write_configuration(&answer, results.get().init_configuration());
        Ok(())
    }

    async fn head_changed(
        self: Rc<Self>,
        params: peer::HeadChangedParams,
        _: peer::HeadChangedResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let sender =
            InstanceId::new(convert::str_of(params.get_sender()?)?).map_err(|e| failed(&e.to_string()))?;
        self.run(&self.handlers.notify_head_changed, (Revision(params.get_revision()), sender)).await
    }

    async fn announce_change(
        self: Rc<Self>,
        params: peer::AnnounceChangeParams,
        mut results: peer::AnnounceChangeResults,
    ) -> capnp::Result<()> {
        let change = convert::string_of(params.get()?.get_change()?)?;
        let promised = self.run(&self.handlers.announce_change, change).await?;
        results.get().set_promised(promised);
        Ok(())
    }

    async fn withdraw_change(
        self: Rc<Self>,
        params: peer::WithdrawChangeParams,
        _: peer::WithdrawChangeResults,
    ) -> capnp::Result<()> {
        let change = convert::string_of(params.get()?.get_change()?)?;
        self.run(&self.handlers.withdraw_change, change).await
    }

    async fn shares(
        self: Rc<Self>,
        _: peer::SharesParams,
        mut results: peer::SharesResults,
    ) -> capnp::Result<()> {
        let buckets = self.run(&self.handlers.fetch_share_buckets, ()).await?;
        let mut list = results.get().init_buckets(convert::count(&buckets));
        for (ix, bucket) in (0..).zip(&buckets) {
            convert::write_share_bucket(bucket, list.reborrow().get(ix));
        }
        Ok(())
    }

    async fn acting_shares(
        self: Rc<Self>,
        params: peer::ActingSharesParams,
        mut results: peer::ActingSharesResults,
    ) -> capnp::Result<()> {
        let versions =
            self.run(&self.handlers.fetch_applied_share_versions, params.get()?.get_bucket()).await?;
        results.get().set_versions(&versions);
        Ok(())
    }

    async fn lend(
        self: Rc<Self>,
        params: peer::LendParams,
        mut results: peer::LendResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let organisation = convert::string_of(params.get_organisation()?)?;
        let loan = self.run(&self.handlers.borrow_tokens, (organisation, params.get_wanted())).await?;
        convert::write_loan(&loan, results.get().init_loan());
        Ok(())
    }

    async fn relay(
        self: Rc<Self>,
        params: peer::RelayParams,
        mut results: peer::RelayResults,
    ) -> capnp::Result<()> {
        let req = convert::read_relayed(params.get()?.get_request()?)?;
        let result =
            self.runtime.spawn((self.handlers.relay)(req)).await.map_err(|e| failed(&e.to_string()))?;
        convert::write_relay_result(&result, results.get().init_answer());
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: peer::HandOverParams,
        mut results: peer::HandOverResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let left = params.get_left()?.iter().map(convert::read_life).collect::<capnp::Result<Vec<Life>>>()?;
        let records = params.get_records()?.iter().map(convert::read_once_record);
        let records = records.collect::<capnp::Result<Vec<HandoverRecord>>>()?;
        let taken = self.run(&self.handlers.hand_over_records, (left, records)).await?;
        results.get().set_taken(taken);
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: peer::ReportParams,
        mut results: peer::ReportResults,
    ) -> capnp::Result<()> {
        let traffic = convert::read_traffic(params.get()?.get_traffic()?)?;
        let answer = self.run(&self.handlers.report_traffic, traffic).await?;
        convert::write_traffic(&answer, results.get().init_traffic());
        Ok(())
    }

    async fn take_leave(
        self: Rc<Self>,
        params: peer::TakeLeaveParams,
        mut results: peer::TakeLeaveResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let sender =
            InstanceId::new(convert::str_of(params.get_sender()?)?).map_err(|e| failed(&e.to_string()))?;
        let (organisation_hash, wanted) = (params.get_organisation(), params.get_wanted());
        let leave = self
            .run(&self.handlers.request_tokens, TokenRequest { sender, organisation_hash, wanted })
            .await?;
        results.get().set_granted(leave.granted);
        results.get().set_wait_ms(leave.wait_ms);
        Ok(())
    }
}

fn failed(detail: &str) -> capnp::Error {
    capnp::Error::failed(detail.to_owned())
}
