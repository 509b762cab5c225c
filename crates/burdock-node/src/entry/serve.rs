//! Listener for callers' connections.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::entry::handle::handle;
use crate::node::Node;

/// Maximum number of open connections from callers.
const MAX_CONNECTIONS: usize = 20_000;

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Timeout for reading a request head.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_STREAMS: u32 = 200;

/// Time for which new connections stay open in a shutdown although no request has come.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);

/// How long a shutdown waits for open connections.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves callers until `stop` becomes true, then closes connections once they are idle.
pub async fn serve(node: Arc<Node>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let graceful = GracefulShutdown::new();
    let builder = Arc::new(connection_builder());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Those that the system has accepted already are served, too.
            _ = stop.wait_for(|stop| *stop) => match listener.accept().now_or_never() {
                Some(accepted) => accepted,
                None => break,
            },
        };
        let Ok((stream, remote)) = accepted else {
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let connection = serve_connection(&node, &builder, &graceful, stream, remote);
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    // A connection that was just accepted may have a request on its way.
    tokio::time::sleep(FIRST_REQUEST_WAIT).await;
    // Connections that are still busy are closed; their requests were finished or refused before.
    let _late = tokio::time::timeout(SHUTDOWN_TIMEOUT, graceful.shutdown()).await;
}

fn connection_builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_READ_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(MAX_HEAD_BYTES).unwrap_or(u32::MAX));
    builder
}

fn serve_connection(
    node: &Arc<Node>,
    builder: &Arc<auto::Builder<TokioExecutor>>,
    graceful: &GracefulShutdown,
    stream: TcpStream,
    remote: SocketAddr,
) -> impl Future<Output = ()> + use<> {
    let node = Arc::clone(node);
    let builder = Arc::clone(builder);
    let watcher = graceful.watcher();
    async move {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let service = service_fn(move |req: Request<Incoming>| {
            let node = Arc::clone(&node);
            // Boxed, so that an idle connection does not reserve the memory of a request.
            Box::pin(async move { Ok::<_, Infallible>(handle(node, req, remote).await) })
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        // Errors of a caller's connection need no handling: each request has its own outcome.
        let _ended = watcher.watch(connection).await;
    }
}
