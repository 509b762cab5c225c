//! Accepting connections.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::clock::Clock;
use crate::forward::pool::enable_dead_peer_detection;
use crate::phase::Phase;
use crate::site::SiteNode;
use crate::site::body::AnswerBody;
use crate::site::head_scan::HeadScan;
use crate::site::pipeline::Pipeline;
use crate::site::read_ahead::{Filled, OnBytes, ReadAhead};
use crate::site::{directory, handle, metrics};

/// Descriptors that are kept for other things than callers' connections.
const OTHER_FILES: usize = 1100;

/// The fewest connections that callers may have open at one instance.
const LEAST_CONNECTIONS: usize = 256;

/// The pause after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until `stop` turns true; then connections close as they come to rest.
pub async fn serve_callers(node: Arc<SiteNode>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let room = node.settings.max_open_files.saturating_sub(OTHER_FILES).max(LEAST_CONNECTIONS);
    accept(node, listener, stop, room, |node, stream, stop| async move {
        let pipeline = Arc::new(Pipeline::new(Arc::clone(&node)));
        let (handler, requests) = (Arc::clone(&node), Arc::clone(&pipeline));
        connection(&node, stream, stop, Some(&pipeline), move |req| {
            answer(Arc::clone(&handler), Arc::clone(&requests), req)
        })
        .await;
    })
    .await;
}

/// Serves the directory or the readiness check until the task is dropped.
pub async fn serve_directory(node: Arc<SiteNode>, listener: TcpListener, stop: watch::Receiver<bool>) {
    accept(node, listener, stop, LEAST_CONNECTIONS, |node, stream, stop| async move {
        let handler = Arc::clone(&node);
        connection(&node, stream, stop, None, move |req| directory::handle(Arc::clone(&handler), req)).await;
    })
    .await;
}

/// Serves metrics until the task is dropped.
pub async fn serve_metrics(node: Arc<SiteNode>, listener: TcpListener, stop: watch::Receiver<bool>) {
    accept(node, listener, stop, LEAST_CONNECTIONS, |node, stream, stop| async move {
        let handler = Arc::clone(&node);
        connection(&node, stream, stop, None, move |req| metrics::handle(Arc::clone(&handler), req)).await;
    })
    .await;
}

async fn accept<F, Fut>(
    node: Arc<SiteNode>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    room: usize,
    serve: F,
) where
    F: Fn(Arc<SiteNode>, TcpStream, watch::Receiver<bool>) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let room = Arc::new(Semaphore::new(room));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("a connection could not be accepted: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Over the limit the connection is closed unread, so that the caller tries another instance.
        let Ok(permit) = Arc::clone(&room).try_acquire_owned() else {
            continue;
        };
        let connection = serve(Arc::clone(&node), stream, stop.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
}

async fn connection<F, Fut>(
    node: &SiteNode,
    stream: TcpStream,
    mut stop: watch::Receiver<bool>,
    pipeline: Option<&Arc<Pipeline>>,
    f: F,
) where
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Result<Response<AnswerBody>, Infallible>>,
{
    if let Err(e) = enable_dead_peer_detection(&stream) {
        log::warn!("a caller's connection could not be set up: {e}");
        return;
    }
    let limits = node.plan.load().config.caller_limits;
    let io = ReadAhead::new(stream, scan(node.clock, pipeline.map(Arc::clone)));
    let mut connection = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            // The library counts from the end of the last answer, so this bounds idle time and head together.
            .header_read_timeout(limits.idle_timeout + limits.header_timeout)
            .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BYTES) * 2)
            // Boxed, so that a connection at rest does not hold the room of a request.
            .serve_connection(TokioIo::new(io.clone()), service_fn(|req| Box::pin(f(req))))
    );
    let mut told = pin!(async move {
        // A sender that is gone means the same.
        let _stop = stop.wait_for(|stop| *stop).await;
    });
    let (mut stopping, mut closing) = (false, false);
    std::future::poll_fn(|cx| {
        if !stopping && told.as_mut().poll(cx).is_ready() {
            stopping = true;
            pipeline.into_iter().for_each(|p| p.close());
        }
        loop {
            // What was started behind another request is answered before the connection closes.
            if stopping && !closing && pipeline.is_none_or(|p| p.is_drained()) {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            // How a connection ends is its caller's affair.
            if connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            pipeline.into_iter().for_each(|p| p.start());
            match std::task::ready!(io.poll_fill(cx)) {
                Filled::Bytes => {}
                Filled::Ended => return Poll::Ready(()),
            }
        }
    })
    .await;
}

// Tells a pipeline of the requests in a connection's bytes.
fn scan(clock: Clock, pipeline: Option<Arc<Pipeline>>) -> OnBytes {
    let mut scan = HeadScan::default();
    match pipeline {
        Some(pipeline) => {
            Box::new(move |bytes| scan.feed(bytes, clock.now(), |found| pipeline.arrived(found)))
        }
        None => Box::new(|_bytes| {}),
    }
}

// Answers a request of a caller when its turn has come.
async fn answer(
    node: Arc<SiteNode>,
    pipeline: Arc<Pipeline>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let (parts, incoming) = req.into_parts();
    let turn = pipeline.turn(&parts);
    let arrived = turn.arrived.unwrap_or_else(|| node.clock.now());
    let early = match turn.answer {
        Some(answer) => answer.await.inspect_err(|e| log::error!("a request's task ended: {e}")).ok(),
        None => None,
    };
    let mut resp = match early {
        Some(resp) => resp,
        None => handle::handle(Arc::clone(&node), parts, Some(incoming), arrived).await,
    };
    if node.phase() >= Phase::Draining && pipeline.is_drained() {
        resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(resp)
}

/// The least room for a request's head, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;
