//! Accepts connections and serves HTTP/1.1 on them.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Duration;

use burdock_decide::body_memory::caller_receive_buffer_bytes;
use futures::FutureExt;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::clock::Clock;
use crate::forward::pool::enable_dead_peer_detection;
use crate::observe::counters::Counter;
use crate::phase::Phase;
use crate::site::SiteNode;
use crate::site::body::ResponseBody;
use crate::site::caller_body::CallerBody;
use crate::site::head_scan::HeadScanner;
use crate::site::pipeline::Pipeline;
use crate::site::read_ahead::{Filled, MAX_WRITE_STALL, OnBytes, ReadAhead};
use crate::site::{directory, handle, metrics};

/// File descriptors that are reserved for uses other than callers' connections.
const RESERVED_FILES: usize = 1100;

/// Connection limit of the directory, readiness and metrics listeners, and minimum of that for callers.
const MIN_CONNECTION_LIMIT: usize = 256;

/// Time for which a new connection stays open in a stop although no request has come.
pub const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);

/// Interval at which a stop checks whether a new connection has brought its first request.
const FIRST_REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Delay after an accept that failed, as it does when the process is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Serves callers until `stop` becomes true. Then accepts no more connections and closes each open one once
/// it is idle.
pub async fn serve_callers(node: Arc<SiteNode>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let max_connections =
        node.settings.max_open_files.saturating_sub(RESERVED_FILES).max(MIN_CONNECTION_LIMIT);
    accept(node, listener, stop, max_connections, |node, stream, stop| async move {
        let pipeline = Arc::new(Pipeline::new(Arc::clone(&node)));
        let (handler_node, handler_pipeline) = (Arc::clone(&node), Arc::clone(&pipeline));
        serve_connection(&node, stream, stop, Some(&pipeline), move |req| {
            serve_request(Arc::clone(&handler_node), Arc::clone(&handler_pipeline), req)
        })
        .await;
    })
    .await;
}

/// Serves the directory or the readiness check until `stop` becomes true.
pub async fn serve_directory(node: Arc<SiteNode>, listener: TcpListener, stop: watch::Receiver<bool>) {
    accept(node, listener, stop, MIN_CONNECTION_LIMIT, |node, stream, stop| async move {
        let handler_node = Arc::clone(&node);
        serve_connection(&node, stream, stop, None, move |req| {
            directory::handle(Arc::clone(&handler_node), req)
        })
        .await;
    })
    .await;
}

/// Serves metrics until `stop` becomes true.
pub async fn serve_metrics(node: Arc<SiteNode>, listener: TcpListener, stop: watch::Receiver<bool>) {
    accept(node, listener, stop, MIN_CONNECTION_LIMIT, |node, stream, stop| async move {
        let handler_node = Arc::clone(&node);
        serve_connection(&node, stream, stop, None, move |req| {
            metrics::handle(Arc::clone(&handler_node), req)
        })
        .await;
    })
    .await;
}

async fn accept<F, Fut>(
    node: Arc<SiteNode>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    max_connections: usize,
    serve: F,
) where
    F: Fn(Arc<SiteNode>, TcpStream, watch::Receiver<bool>) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Those that the system has accepted already are served, too.
            _ = stop.wait_for(|stop| *stop) => match listener.accept().now_or_never() {
                Some(accepted) => accepted,
                None => return,
            },
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("a connection could not be accepted: {e}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        // Over the limit a connection is closed unread, so that the caller tries another instance.
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let connection = serve(Arc::clone(&node), stream, stop.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
}

async fn serve_connection<F, Fut>(
    node: &SiteNode,
    stream: TcpStream,
    mut stop: watch::Receiver<bool>,
    pipeline: Option<&Arc<Pipeline>>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Result<Response<ResponseBody>, Infallible>>,
{
    let set_up = enable_dead_peer_detection(&stream, MAX_WRITE_STALL).and_then(|()| {
        let bytes = caller_receive_buffer_bytes(node.settings.memory_bytes);
        bytes.map_or(Ok(()), |bytes| SockRef::from(&stream).set_recv_buffer_size(bytes))
    });
    if let Err(e) = set_up {
        log::warn!("a caller's connection could not be set up: {e}");
        return;
    }
    let limits = node.config.load().published.caller_limits;
    let has_request = Arc::new(AtomicBool::new(false));
    let noted_request = Arc::clone(&has_request);
    let is_working = Arc::new(AtomicBool::new(false));
    let noted_work = Arc::clone(&is_working);
    let answer = move |req| {
        noted_request.store(true, Ordering::Relaxed);
        let (work, noted_work) = (handler(req), Arc::clone(&noted_work));
        // Boxed, so that an idle connection does not hold the memory of a request's future.
        Box::pin(async move {
            noted_work.store(true, Ordering::Relaxed);
            let resp = work.await;
            noted_work.store(false, Ordering::Relaxed);
            resp
        })
    };
    let io = ReadAhead::new(stream, scan_heads(node.clock, pipeline.map(Arc::clone)));
    let mut connection = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .half_close(true)
            // hyper measures this from the end of the last answer, so it bounds idle time and head together.
            .header_read_timeout(limits.idle_timeout + limits.header_timeout)
            .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BYTES) * 2)
            .serve_connection(TokioIo::new(io.clone()), service_fn(answer))
    );
    let first_request_by = tokio::time::Instant::now() + FIRST_REQUEST_WAIT;
    let mut stop_signal = pin!(async {
        // A dropped sender means stop, too.
        drop(stop.wait_for(|stop| *stop).await);
        // A connection that was just accepted may have a request on its way.
        while !has_request.load(Ordering::Relaxed) && tokio::time::Instant::now() < first_request_by {
            tokio::time::sleep(FIRST_REQUEST_POLL_INTERVAL).await;
        }
    });
    let (mut is_stopping, mut is_closing, mut is_half_closed) = (false, false, false);
    std::future::poll_fn(|cx| {
        if !is_stopping && stop_signal.as_mut().poll(cx).is_ready() {
            is_stopping = true;
            pipeline.into_iter().for_each(|p| p.stop_starting());
        }
        loop {
            // An error of the connection concerns only its caller. A request that has arrived is read before
            // the connection may close as idle.
            if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                if ended.is_ok() {
                    pipeline.into_iter().for_each(|p| record_dropped_requests(node, p));
                }
                return Poll::Ready(());
            }
            // Requests that were started ahead of their turn are answered before the connection closes.
            if is_stopping && !is_closing && pipeline.is_none_or(|p| p.is_drained()) {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
                if connection.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(());
                }
            }
            pipeline.into_iter().for_each(|p| p.start_waiting());
            if is_half_closed && is_working.load(Ordering::Relaxed) {
                io.send_first_byte();
            }
            match std::task::ready!(io.poll_fill(cx)) {
                Filled::Bytes => {}
                Filled::HalfClosed => {
                    is_half_closed = true;
                    if is_working.load(Ordering::Relaxed) {
                        node.counters.add(Counter::CallersHalfClosed);
                    }
                }
                Filled::Ended => return Poll::Ready(()),
            }
        }
    })
    .await;
}

// Counts the requests of a connection that was closed on this side while they were at work.
fn record_dropped_requests(node: &SiteNode, pipeline: &Pipeline) {
    let count = pipeline.started_count();
    if count > 0 {
        node.counters.add_many(Counter::EarlyRequestsDropped, count as u64);
        log::warn!(requests = count; "a connection was closed before requests that were started early were answered");
    }
}

// Returns a callback that finds the heads of requests in a connection's bytes and adds them to its pipeline.
fn scan_heads(clock: Clock, pipeline: Option<Arc<Pipeline>>) -> OnBytes {
    let mut scanner = HeadScanner::default();
    match pipeline {
        Some(pipeline) => Box::new(move |bytes| scanner.feed(bytes, clock.now(), |head| pipeline.push(head))),
        None => Box::new(|_bytes| {}),
    }
}

// Answers a caller's request that hyper hands over, with the answer that was started early if there is one.
async fn serve_request(
    node: Arc<SiteNode>,
    pipeline: Arc<Pipeline>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let (parts, incoming) = req.into_parts();
    let pipelined = pipeline.pop(&parts);
    let arrived_at = pipelined.arrived_at.unwrap_or_else(|| node.clock.now());
    let early_resp = match pipelined.answer {
        Some(answer) => answer
            .await
            .inspect_err(|e| log::error!("the task of a request that was started early failed: {e}"))
            .ok(),
        None => None,
    };
    let mut resp = match early_resp {
        Some(resp) => resp,
        None => {
            let body = CallerBody::new(incoming, Arc::clone(&pipeline));
            handle::handle(Arc::clone(&node), parts, body, arrived_at).await
        }
    };
    if resp.body().is_streamed() {
        pipeline.start_none_behind_current();
        if !pipeline.is_drained() {
            resp = handle::hold_rest(&node, resp).await;
        }
    }
    if node.phase() >= Phase::Draining && pipeline.is_drained() {
        resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(resp)
}

/// Minimum limit on the size of a request's head, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;
