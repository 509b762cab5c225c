//! Server side of the protocol: answers to the calls of other instances.

use std::rc::Rc;
use std::sync::Arc;

use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::{InstanceId, InstanceIncarnation, Revision};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::client::PeerClient;
use crate::convert;
use crate::keep_alive::enable_keep_alive;
use crate::messages::{
    BufferedResponse, Configuration, Exchange, HandoverRecord, Hello, Loan, RelayedRequest, ShareBucket,
    TokenGrant, TokenRequest, TrafficReport,
};
use crate::peer_capnp::peer;

/// Limit on sessions opened by other instances.
const MAX_SESSIONS: usize = 4096;

/// Handler that answers a call with a value or an error.
pub type Handler<A, R> = Arc<dyn Fn(A) -> BoxFuture<'static, Result<R>> + Send + Sync>;

/// Handlers for the calls of other instances, one for each call.
///
/// They run on the runtime that [`serve`] was called on.
#[derive(Clone)]
pub struct Handlers {
    /// Introduces this instance to the caller.
    pub hello: Hello,
    /// Takes the caller's gossip message and returns this instance's.
    pub exchange: Handler<Exchange, Exchange>,
    /// Returns the configuration's head and the blobs with the given names.
    pub fetch_configuration: Handler<Vec<String>, Configuration>,
    /// Handles the notice that a newer head of the configuration exists, by its revision and the sender.
    pub notify_head_changed: Handler<(Revision, InstanceId), ()>,
    /// Answers the announcement of a change that is about to be written: whether this instance promises to
    /// treat contact as lost until the change is settled.
    pub announce_change: Handler<String, bool>,
    /// Voids the promise for an announced change that was certainly not written.
    pub withdraw_change: Handler<String, ()>,
    /// Returns all share records.
    pub fetch_share_buckets: Handler<(), Vec<ShareBucket>>,
    /// Returns the versions of the share records that this instance applies in the given bucket, as JSON.
    pub fetch_applied_share_versions: Handler<u32, String>,
    /// Lends the given number of an organisation's tokens, or fewer.
    pub borrow_tokens: Handler<(String, u32), Loan>,
    /// Runs a relayed request.
    pub relay: Handler<RelayedRequest, BufferedResponse>,
    /// Takes over idempotency keys of departed incarnations and returns whether it did.
    pub hand_over_records: Handler<(Vec<InstanceIncarnation>, Vec<HandoverRecord>), bool>,
    /// Takes a traffic report and returns the report on the other instances.
    pub report_traffic: Handler<TrafficReport, TrafficReport>,
    /// Grants tokens of an organisation.
    pub request_tokens: Handler<TokenRequest, TokenGrant>,
}

impl Handlers {
    /// Creates handlers that reject every call except the hello. Callers replace those that they support.
    #[must_use]
    pub fn reject_all(hello: Hello) -> Self {
        Self {
            hello,
            exchange: reject(),
            fetch_configuration: reject(),
            notify_head_changed: reject(),
            announce_change: reject(),
            withdraw_change: reject(),
            fetch_share_buckets: reject(),
            fetch_applied_share_versions: reject(),
            borrow_tokens: reject(),
            relay: reject(),
            hand_over_records: reject(),
            report_traffic: reject(),
            request_tokens: reject(),
        }
    }
}

fn reject<A, R: Send + 'static>() -> Handler<A, R> {
    let error = || Error::new(ErrorKind::BadRequest, "this instance does not support this call");
    Arc::new(move |_| std::future::ready(Err(error())).boxed())
}

impl std::fmt::Debug for Handlers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handlers").field("hello", &self.hello).finish_non_exhaustive()
    }
}

/// Accepts sessions until the task is dropped, and distributes them over the threads of `peers`.
pub async fn serve(listener: TcpListener, peers: PeerClient, handlers: Handlers) {
    let session_permits = Arc::new(Semaphore::new(MAX_SESSIONS));
    let runtime = Handle::current();
    let mut session_count = 0;
    loop {
        let Ok(permit) = Arc::clone(&session_permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let Ok(stream) = stream.into_std() else {
            continue;
        };
        let (handlers, runtime) = (handlers.clone(), runtime.clone());
        session_count += 1;
        let job = move |_state| {
            async move {
                // The caller opens a new session when this one breaks.
                let _result = run_session(stream, handlers, runtime).await;
                drop(permit);
            }
            .boxed_local()
        };
        peers.threads().submit(session_count, Box::new(job));
    }
}

async fn run_session(
    stream: std::net::TcpStream,
    handlers: Handlers,
    runtime: Handle,
) -> std::result::Result<(), String> {
    let stream = TcpStream::from_std(stream).map_err(|e| e.to_string())?;
    enable_keep_alive(&stream).map_err(|e| e.to_string())?;
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
    // Handlers use shared state and wait for other tasks, so they run on the main runtime and not on the
    // session thread.
    async fn run_handler<A, R: Send + 'static>(&self, handler: &Handler<A, R>, arg: A) -> capnp::Result<R> {
        let result = self.runtime.spawn(handler(arg)).await;
        result.map_err(|e| rpc_error(&e.to_string()))?.map_err(|e: Error| rpc_error(&e.to_string()))
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
        let answer = self.run_handler(&self.handlers.exchange, exchange).await?;
        convert::write_exchange(&answer, results.get().init_exchange());
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        params: peer::ConfigurationParams,
        mut results: peer::ConfigurationResults,
    ) -> capnp::Result<()> {
        let names = params.get()?.get_blobs()?;
        let names = names.iter().map(|n| convert::read_string(n?)).collect::<capnp::Result<Vec<String>>>()?;
        let answer = self.run_handler(&self.handlers.fetch_configuration, names).await?;
        convert::write_configuration(&answer, results.get().init_configuration());
        Ok(())
    }

    async fn head_changed(
        self: Rc<Self>,
        params: peer::HeadChangedParams,
        _: peer::HeadChangedResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let sender = InstanceId::new(convert::read_str(params.get_sender()?)?)
            .map_err(|e| rpc_error(&e.to_string()))?;
        self.run_handler(&self.handlers.notify_head_changed, (Revision(params.get_revision()), sender)).await
    }

    async fn announce_change(
        self: Rc<Self>,
        params: peer::AnnounceChangeParams,
        mut results: peer::AnnounceChangeResults,
    ) -> capnp::Result<()> {
        let change = convert::read_string(params.get()?.get_change()?)?;
        let promised = self.run_handler(&self.handlers.announce_change, change).await?;
        results.get().set_promised(promised);
        Ok(())
    }

    async fn withdraw_change(
        self: Rc<Self>,
        params: peer::WithdrawChangeParams,
        _: peer::WithdrawChangeResults,
    ) -> capnp::Result<()> {
        let change = convert::read_string(params.get()?.get_change()?)?;
        self.run_handler(&self.handlers.withdraw_change, change).await
    }

    async fn shares(
        self: Rc<Self>,
        _: peer::SharesParams,
        mut results: peer::SharesResults,
    ) -> capnp::Result<()> {
        let buckets = self.run_handler(&self.handlers.fetch_share_buckets, ()).await?;
        let mut list = results.get().init_buckets(convert::list_len(&buckets));
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
            self.run_handler(&self.handlers.fetch_applied_share_versions, params.get()?.get_bucket()).await?;
        results.get().set_versions(&versions);
        Ok(())
    }

    async fn lend(
        self: Rc<Self>,
        params: peer::LendParams,
        mut results: peer::LendResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let organisation = convert::read_string(params.get_organisation()?)?;
        let loan =
            self.run_handler(&self.handlers.borrow_tokens, (organisation, params.get_wanted())).await?;
        convert::write_loan(&loan, results.get().init_loan());
        Ok(())
    }

    async fn relay(
        self: Rc<Self>,
        params: peer::RelayParams,
        mut results: peer::RelayResults,
    ) -> capnp::Result<()> {
        let req = convert::read_relayed_request(params.get()?.get_request()?)?;
        let result =
            self.runtime.spawn((self.handlers.relay)(req)).await.map_err(|e| rpc_error(&e.to_string()))?;
        convert::write_relay_result(&result, results.get().init_answer());
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: peer::HandOverParams,
        mut results: peer::HandOverResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let departed = params
            .get_left()?
            .iter()
            .map(convert::read_incarnation)
            .collect::<capnp::Result<Vec<InstanceIncarnation>>>()?;
        let records = params.get_records()?.iter().map(convert::read_handover_record);
        let records = records.collect::<capnp::Result<Vec<HandoverRecord>>>()?;
        let taken = self.run_handler(&self.handlers.hand_over_records, (departed, records)).await?;
        results.get().set_taken(taken);
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: peer::ReportParams,
        mut results: peer::ReportResults,
    ) -> capnp::Result<()> {
        let report = convert::read_traffic_report(params.get()?.get_traffic()?)?;
        let answer = self.run_handler(&self.handlers.report_traffic, report).await?;
        convert::write_traffic_report(&answer, results.get().init_traffic());
        Ok(())
    }

    async fn take_leave(
        self: Rc<Self>,
        params: peer::TakeLeaveParams,
        mut results: peer::TakeLeaveResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let sender = InstanceId::new(convert::read_str(params.get_sender()?)?)
            .map_err(|e| rpc_error(&e.to_string()))?;
        let (organisation_hash, wanted) = (params.get_organisation(), params.get_wanted());
        let grant = self
            .run_handler(&self.handlers.request_tokens, TokenRequest { sender, organisation_hash, wanted })
            .await?;
        results.get().set_granted(grant.granted);
        results.get().set_wait_ms(grant.wait_ms);
        Ok(())
    }
}

fn rpc_error(detail: &str) -> capnp::Error {
    capnp::Error::failed(detail.to_owned())
}
