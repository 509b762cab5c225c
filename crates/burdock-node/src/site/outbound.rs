//! A caller's request as it is sent to backend servers.

use std::time::Duration;

use burdock_decide::headers::HOP_BY_HOP;
use burdock_decide::quarantine::{RequestIdentity, head_hash};
use burdock_decide::time::Time;
use burdock_model::ids::{BackendId, OrganisationName, RegionName};
use burdock_model::site::Route;
use burdock_platform::dialect::Dialect;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT};
use http::{HeaderMap, HeaderValue, Method, Request, Uri, Version};

use crate::forward::body::RequestBody;

/// A request whose head passed all checks.
#[derive(Debug)]
pub struct Outbound<'a> {
    /// Route that matches its host and path.
    pub route: &'a Route,
    /// Organisation that its key belongs to, `None` where no key is needed.
    pub organisation: Option<&'a OrganisationName>,
    /// Urgency, where 0 is the most urgent.
    pub urgency: u32,
    /// Regions that may run it. Empty if all may.
    pub eligible_regions: Vec<&'a RegionName>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// Id of the caller's attempt, which backend servers echo.
    pub attempt_id: HeaderValue,
    /// Hash of the object that it concerns, if the caller names one.
    pub object_hash: Option<u64>,
    /// Time at which its head arrived.
    pub arrived_at: Time,
    /// Time that its caller has waited in earlier attempts.
    pub earlier_wait: Duration,
    /// Time by which its answer must be complete.
    pub deadline: Time,
}

impl Outbound<'_> {
    /// Builds the request for one backend server.
    #[must_use]
    pub fn build_request(
        &self,
        dialect: &Dialect,
        backend: &BackendId,
        body: RequestBody,
        now: Time,
    ) -> Request<RequestBody> {
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.target.clone();
        *req.version_mut() = Version::HTTP_11;
        let mut headers = self.headers.clone();
        headers.insert(&dialect.attempt_id, self.attempt_id.clone());
        headers.insert(&dialect.deadline_ms, HeaderValue::from(millis(self.time_left(now))));
        if let Ok(id) = HeaderValue::from_str(backend.as_str()) {
            headers.insert(&dialect.expected_backend, id);
        }
        if let Some(name) = self.organisation.and_then(|name| HeaderValue::from_str(name.as_str()).ok()) {
            headers.insert(&dialect.organisation, name);
        }
        *req.headers_mut() = headers;
        req
    }

    /// Returns the hash of what quarantine recognises the request by apart from its body.
    #[must_use]
    pub fn head_hash(&self) -> u64 {
        head_hash(&RequestIdentity {
            organisation: self.organisation.map_or("", OrganisationName::as_str),
            method: self.method.as_str(),
            path: self.target.path_and_query().map_or("/", |p| p.as_str()),
            body_hash: 0,
            idempotency_key: None,
        })
    }

    /// Returns the time until its deadline.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }
}

/// Returns the headers of a caller's request that are forwarded to backend servers.
#[must_use]
pub fn forwarded_headers(dialect: &Dialect, headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let named_in_connection: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named_in_connection.iter().map(String::as_str).chain(HOP_BY_HOP) {
        forwarded.remove(name);
    }
    forwarded.remove(CONTENT_LENGTH);
    forwarded.remove(EXPECT);
    for name in [&dialect.api_key, &dialect.organisation, &dialect.expected_backend, &dialect.deadline_ms] {
        forwarded.remove(name);
    }
    forwarded
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
