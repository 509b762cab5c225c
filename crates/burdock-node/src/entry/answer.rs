//! Responses to callers: bodies, refusals and the headers that burdockcroft adds.

use std::pin::Pin;
use std::task::{Context, Poll};

use burdock_decide::headers::is_forwarded_to_caller;
use burdock_model::error::{Error, ErrorKind, Outcome};
use burdock_wire::messages::BufferedResponse;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

use crate::entry::guarded::GuardedBody;
use crate::forward::outbound::REQUEST_ID;
use crate::node::Node;
use crate::observe::counters::Counter;

/// Header that states whether a refused request may have run.
pub const OUTCOME: HeaderName = HeaderName::from_static("burdock-outcome");

const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body.
    Buffered(Full<Bytes>),
    /// The body of a backend server's response, forwarded as it arrives.
    Guarded(Box<GuardedBody>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Guarded(body) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Guarded(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Guarded(body) => body.size_hint(),
        }
    }
}

/// Builds the response to a refused request and counts the refusal.
#[must_use]
pub fn refusal_response(node: &Node, e: &Error, request_id: HeaderValue) -> Response<ResponseBody> {
    let answer = e.kind.answer();
    node.counters.add(match answer.outcome {
        Outcome::NotRun => Counter::RefusedNotRun,
        Outcome::Unknown => Counter::RefusedUnknown,
    });
    if e.kind == ErrorKind::Overloaded {
        node.counters.add(Counter::Overloaded);
    }
    let mut resp = text_response(answer.status, e.problem().to_string(), PROBLEM_JSON);
    let headers = resp.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(answer.outcome.as_str()));
    headers.insert(REQUEST_ID, request_id);
    if let Some(seconds) = answer.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    resp
}

/// Builds a JSON response of this instance.
#[must_use]
pub fn json_response(status: u16, value: &impl serde::Serialize) -> Response<ResponseBody> {
    let text = serde_json::to_string(value).unwrap_or_default();
    text_response(status, text, JSON)
}

/// Builds a response from a buffered response of a backend server.
#[must_use]
pub fn buffered_response(answer: &BufferedResponse, request_id: HeaderValue) -> Response<ResponseBody> {
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name.as_str()), HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    let body = ResponseBody::Buffered(Full::new(Bytes::copy_from_slice(&answer.body)));
    let mut resp = Response::new(body);
    *resp.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *resp.headers_mut() = caller_headers(&headers, request_id);
    // The HTTP library sets the length from the buffered body.
    resp.headers_mut().remove(CONTENT_LENGTH);
    resp
}

/// Returns the headers of a backend server's response that are forwarded to the caller, with the request id.
#[must_use]
pub fn caller_headers(headers: &HeaderMap, request_id: HeaderValue) -> HeaderMap {
    let connection = headers.get(CONNECTION).and_then(|v| v.to_str().ok());
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 1);
    for (name, value) in headers {
        if is_forwarded_to_caller(name.as_str(), connection) {
            forwarded.append(name, value.clone());
        }
    }
    forwarded.insert(REQUEST_ID, request_id);
    forwarded
}

fn text_response(status: u16, text: String, content_type: HeaderValue) -> Response<ResponseBody> {
    let mut resp = Response::new(ResponseBody::Buffered(Full::new(Bytes::from(text))));
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    resp.headers_mut().insert(CONTENT_TYPE, content_type);
    resp
}
