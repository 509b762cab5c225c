//! Requests in the form in which backend servers get them.

use std::sync::Arc;

use burdock_decide::quarantine::{RequestIdentity, fingerprint};
use burdock_decide::time::Time;
use burdock_model::hash::stable_hash;
use burdock_model::ids::OrganisationName;
use burdock_model::snapshot::{OrganisationIx, Policy, RouteIx};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version};

use crate::active_config::ActiveConfig;
use crate::forward::body::RequestBody;
use crate::observe::trace::Trace;

/// Header that gives the backend server the name of the organisation.
pub const ORGANISATION: HeaderName = HeaderName::from_static("burdock-organisation");

/// Header with the remaining time in milliseconds, from the caller and to the backend server.
pub const DEADLINE: HeaderName = HeaderName::from_static("burdock-deadline-ms");

/// Header with the id of the request, for the backend server and the caller.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("burdock-request-id");

/// Header with the trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// A request whose head has passed all checks.
#[derive(Debug)]
pub struct Outbound {
    /// Configuration against which the request was checked.
    pub active_config: Arc<ActiveConfig>,
    /// Route of the request.
    pub route: RouteIx,
    /// Organisation that owns the API key; `None` on an open route.
    pub organisation: Option<(OrganisationIx, OrganisationName)>,
    /// Policy that applies to the request.
    pub policy: Arc<Policy>,
    /// HTTP method.
    pub method: Method,
    /// Path and query, without credentials.
    pub target: Uri,
    /// Forwarded headers, including `host`.
    pub headers: HeaderMap,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time by which the response must have ended.
    pub deadline: Time,
    /// Unique id of the request.
    pub request_id: HeaderValue,
    /// Fingerprint by which quarantine recognises the request.
    pub fingerprint: u64,
    /// Trace of the request.
    pub trace: Trace,
}

impl Outbound {
    /// Returns the name of the organisation; `None` on an open route.
    #[must_use]
    pub fn organisation_name(&self) -> Option<&OrganisationName> {
        self.organisation.as_ref().map(|(_, name)| name)
    }

    /// Computes the fingerprint by which quarantine recognises the request.
    ///
    /// A streamed body can't be compared with others, so such a request gets a random fingerprint of its own.
    pub fn set_fingerprint(&mut self, body: Option<&Bytes>, idempotency_key: Option<&str>) {
        let Some(body) = body else {
            self.fingerprint = rand::random();
            return;
        };
        self.fingerprint = fingerprint(&RequestIdentity {
            organisation: self.organisation_name().map_or("", OrganisationName::as_str),
            method: self.method.as_str(),
            path: self.target.path_and_query().map_or("/", |p| p.as_str()),
            body_hash: stable_hash(body, 0),
            idempotency_key,
        });
    }

    /// Builds the request for one attempt.
    #[must_use]
    pub fn build_request(&self, body: RequestBody, now: Time) -> Request<RequestBody> {
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.target.clone();
        *req.version_mut() = Version::HTTP_11;
        *req.headers_mut() = self.headers.clone();
        let headers = req.headers_mut();
        let remaining_ms = u64::try_from(self.deadline.since(now).as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE, HeaderValue::from(remaining_ms));
        headers.insert(REQUEST_ID, self.request_id.clone());
        if let Some((_, name)) = &self.organisation
            && let Ok(value) = HeaderValue::from_str(name.as_str())
        {
            headers.insert(ORGANISATION, value);
        }
        if let Some(value) = self.trace.outgoing().and_then(|t| HeaderValue::from_str(&t).ok()) {
            headers.insert(TRACEPARENT, value);
        }
        req
    }
}
