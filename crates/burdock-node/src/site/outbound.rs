//! A request as it goes to backend servers.

use std::time::Duration;

use burdock_decide::headers::HOP_BY_HOP;
use burdock_decide::quarantine::{RequestIdentity, fingerprint};
use burdock_decide::time::Time;
use burdock_model::hash::stable_hash;
use burdock_model::ids::{BackendId, OrganisationName, RegionName};
use burdock_model::site::Route;
use burdock_platform::dialect::Dialect;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT};
use http::{HeaderMap, HeaderValue, Method, Request, Uri, Version};

use crate::forward::body::RequestBody;

/// A request that passed all checks of its head.
#[derive(Debug)]
pub struct Outbound<'a> {
    /// Its route.
    pub route: &'a Route,
    /// The organisation its key belongs to; none where no key is needed.
    pub organisation: Option<&'a OrganisationName>,
    /// How urgent it is; 0 is the most urgent.
    pub urgency: u32,
    /// The only regions that may run it; empty for all.
    pub regions: Vec<&'a RegionName>,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers that go on.
    pub headers: HeaderMap,
    /// Its id, which backend servers send back.
    pub attempt_id: HeaderValue,
    /// Hash of the object it concerns.
    pub object: Option<u64>,
    /// When it came.
    pub arrived: Time,
    /// How long its caller has waited before, in earlier attempts.
    pub waited: Duration,
    /// When its time is up.
    pub deadline: Time,
}

impl Outbound<'_> {
    /// The request for one backend server.
    #[must_use]
    pub fn request(
        &self,
        dialect: &Dialect,
        only: &BackendId,
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
        if let Ok(id) = HeaderValue::from_str(only.as_str()) {
            headers.insert(&dialect.expected_backend, id);
        }
        if let Some(name) = self.organisation.and_then(|name| HeaderValue::from_str(name.as_str()).ok()) {
            headers.insert(&dialect.organisation, name);
        }
        *req.headers_mut() = headers;
        req
    }

    /// What stands for the request in quarantine. A body that is not held can't be told from others, so such a request
    /// stands for itself alone.
    #[must_use]
    pub fn fingerprint(&self, body: &RequestBody) -> u64 {
        let Some(body) = body.held() else {
            return rand::random();
        };
        fingerprint(&RequestIdentity {
            organisation: self.organisation.map_or("", OrganisationName::as_str),
            method: self.method.as_str(),
            path: self.target.path_and_query().map_or("/", |p| p.as_str()),
            body_hash: stable_hash(body, 0),
            idempotency_key: None,
        })
    }

    /// The time until its deadline.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }
}

/// The headers of a caller that go on to backend servers.
#[must_use]
pub fn forwarded(dialect: &Dialect, headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let listed: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed.iter().map(String::as_str).chain(HOP_BY_HOP) {
        kept.remove(name);
    }
    kept.remove(CONTENT_LENGTH);
    kept.remove(EXPECT);
    for own in [&dialect.api_key, &dialect.organisation, &dialect.expected_backend, &dialect.deadline_ms] {
        kept.remove(own);
    }
    kept
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
