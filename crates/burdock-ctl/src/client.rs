//! Calls of the administration API.

use burdock_model::error::{Error, ErrorKind, Result};
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, IF_MATCH};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// A client of one instance.
#[derive(Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    base: String,
    token: String,
}

/// One call.
#[derive(Debug)]
pub struct Call<'a> {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// The body, if any.
    pub body: Option<Bytes>,
    /// The tag that must match.
    pub if_match: Option<&'a str>,
    /// Type of the body.
    pub content_type: &'static str,
}

impl<'a> Call<'a> {
    /// A call with a JSON body.
    pub fn json(method: Method, path: &'a str, body: Option<&Value>) -> Self {
        let body = body.map(|value| Bytes::from(value.to_string()));
        Self { method, path, body, if_match: None, content_type: "application/json" }
    }
}

impl Client {
    /// A client of the instance at a base address.
    pub fn new(base: &str, token: &str) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Self { http, base: base.trim_end_matches('/').to_owned(), token: token.to_owned() }
    }

    /// Makes a call and gives its JSON answer.
    ///
    /// # Errors
    /// What the instance answered as a problem, or that it did not answer.
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
        let resp = self.http.request(req).await.map_err(|e| out_of_reach(&uri, &e))?;
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
        Err(problem(status.as_u16(), &body))
    }
}

fn out_of_reach(uri: &str, e: &hyper_util::client::legacy::Error) -> Error {
    let kind = if e.is_connect() { ErrorKind::NoBackend } else { ErrorKind::ChangeUnknown };
    Error::new(kind, format!("{uri}: {e}")).hint("give the address of a running instance by --admin")
}

fn problem(status: u16, body: &[u8]) -> Error {
    let document: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = |name: &str| document.get(name).and_then(Value::as_str);
    let name = text("type").and_then(|t| t.rsplit(':').next()).unwrap_or_default();
    let kind = ErrorKind::ALL.into_iter().find(|k| k.as_str() == name).unwrap_or(ErrorKind::Internal);
    let plain = String::from_utf8_lossy(body).into_owned();
    let detail = text("detail").map_or_else(|| format!("status {status}: {plain}"), str::to_owned);
    let e = Error::new(kind, detail);
    match text("hint") {
        Some(hint) => e.hint(hint),
        None => e,
    }
}
