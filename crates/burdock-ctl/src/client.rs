//! HTTP client for the administration API.

use burdock_model::error::{Error, ErrorKind, Result};
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, IF_MATCH};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// HTTP client for one instance.
#[derive(Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    base: String,
    token: String,
}

/// Request to the administration API.
#[derive(Debug)]
pub struct Call<'a> {
    /// Method of the request.
    pub method: Method,
    /// Path with query, appended to the base address.
    pub path: &'a str,
    /// Body, empty if not given.
    pub body: Option<Bytes>,
    /// Entity tag for `If-Match`.
    pub if_match: Option<&'a str>,
    /// Media type of the body.
    pub content_type: &'static str,
}

impl<'a> Call<'a> {
    /// Builds a call with an optional JSON body and no entity tag.
    pub fn json(method: Method, path: &'a str, body: Option<&Value>) -> Self {
        let body = body.map(|value| Bytes::from(value.to_string()));
        Self { method, path, body, if_match: None, content_type: "application/json" }
    }
}

impl Client {
    /// Builds a client for the instance at a base address. An empty token sends no authorization.
    pub fn new(base: &str, token: &str) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Self { http, base: base.trim_end_matches('/').to_owned(), token: token.to_owned() }
    }

    /// Sends a call and returns the JSON of the answer.
    ///
    /// # Errors
    /// Fails with the problem that the instance answered. Without an answer, fails with
    /// [`ErrorKind::NoBackend`] if the connection could not be opened, and with
    /// [`ErrorKind::ChangeUnknown`] if the call may have taken effect.
    pub async fn call(&self, call: Call<'_>) -> Result<Value> {
        let uri = format!("{}{}", self.base, call.path);
        let mut req =
            Request::builder().method(call.method).uri(&uri).header(CONTENT_TYPE, call.content_type);
        if !self.token.is_empty() {
            req = req.header(AUTHORIZATION, format!("Bearer {}", self.token));
        }
        if let Some(tag) = call.if_match {
            req = req.header(IF_MATCH, tag);
        }
        let req = req.body(Full::new(call.body.unwrap_or_default()));
        let req = req.map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()).at(&uri))?;
        let resp = self.http.request(req).await.map_err(|e| request_error(&uri, &e))?;
        let status = resp.status();
        let body = resp
            .into_body()
            .collect()
            .await
            .map_err(|e| Error::new(ErrorKind::ChangeUnknown, e.to_string()))?;
        let body = body.to_bytes();
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()));
        }
        Err(parse_problem(status.as_u16(), &body))
    }
}

fn request_error(uri: &str, e: &hyper_util::client::legacy::Error) -> Error {
    let kind = if e.is_connect() { ErrorKind::NoBackend } else { ErrorKind::ChangeUnknown };
    Error::new(kind, format!("{uri}: {e}")).hint("pass the address of a running instance with --admin")
}

fn parse_problem(status: u16, body: &[u8]) -> Error {
    let document: Value = serde_json::from_slice(body).unwrap_or_default();
    let field = |name: &str| document.get(name).and_then(Value::as_str);
    let name = field("type").and_then(|t| t.rsplit(':').next()).unwrap_or_default();
    let kind = ErrorKind::ALL.into_iter().find(|k| k.as_str() == name).unwrap_or(ErrorKind::Internal);
    let body_text = String::from_utf8_lossy(body).into_owned();
    let detail = field("detail").map_or_else(|| format!("status {status}: {body_text}"), str::to_owned);
    let e = Error::new(kind, detail);
    match field("hint") {
        Some(hint) => e.hint(hint),
        None => e,
    }
}
