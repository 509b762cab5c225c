//! A request as it goes to backend servers.

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

/// Header with the organisation, for the backend server.
pub const ORGANISATION: HeaderName = HeaderName::from_static("burdock-organisation");

/// Header with the time left in milliseconds, both ways.
pub const DEADLINE: HeaderName = HeaderName::from_static("burdock-deadline-ms");

/// Header with the request's id, for the backend server and the caller.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("burdock-request-id");

/// Header with the trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// A request that passed all checks of its head.
#[derive(Debug)]
pub struct Outbound {
    /// The configuration it was checked against.
    pub active_config: Arc<ActiveConfig>,
    /// Its route.
    pub route: RouteIx,
    /// The organisation its key belongs to; none on an open route.
    pub organisation: Option<(OrganisationIx, OrganisationName)>,
    /// What holds for it.
    pub policy: Arc<Policy>,
    /// The method.
    pub method: Method,
    /// Path and query, without keys.
    pub target: Uri,
    /// Headers that go on, `host` among them.
    pub headers: HeaderMap,
    /// It may run more than once.
    pub repeatable: bool,
    /// When its time is up.
    pub deadline: Time,
    /// Its id.
    pub request_id: HeaderValue,
    /// Hash that stands for it in quarantine.
    pub fingerprint: u64,
    /// Its trace.
    pub trace: Trace,
}

impl Outbound {
    /// The organisation's name; none on an open route.
    #[must_use]
    pub fn organisation_name(&self) -> Option<&OrganisationName> {
        self.organisation.as_ref().map(|(_, name)| name)
    }

    /// Works out what stands for the request in quarantine. A body that is not held can't be told from
    /// others, so such a request stands for itself alone.
    pub fn identify(&mut self, body: Option<&Bytes>, idempotency_key: Option<&str>) {
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

    /// The request for one attempt.
    #[must_use]
    pub fn request(&self, body: RequestBody, now: Time) -> Request<RequestBody> {
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.target.clone();
        *req.version_mut() = Version::HTTP_11;
        *req.headers_mut() = self.headers.clone();
        let headers = req.headers_mut();
        let left_ms = u64::try_from(self.deadline.since(now).as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE, HeaderValue::from(left_ms));
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
