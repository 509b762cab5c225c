//! What instances tell each other about themselves and about backend servers.

use crate::ids::{BackendId, Incarnation, InstanceIncarnation, Revision, ServiceName};

/// One heartbeat as it passes from instance to instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Half of the [`stable_hash`](crate::hash::stable_hash) hash of the instance's id under seed 0.
    pub id_hash: u32,
    /// Its life.
    pub incarnation: Incarnation,
    /// Counts up in each round.
    pub heartbeat: u32,
    /// It is leaving.
    pub leaving: bool,
    /// It knows of a configuration change that is not settled.
    pub change_pending: bool,
    /// How long ago its origin made it, in milliseconds, at most.
    pub age_ms: u32,
    /// The revision that its origin had in force.
    pub revision: Revision,
}

/// A load report of a backend server, as it passes from instance to instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendLoad {
    /// The backend server.
    pub id: BackendId,
    /// It takes new work.
    pub accepting: bool,
    /// Requests at work there.
    pub in_flight: u32,
    /// Age of the report in milliseconds when the message was made.
    pub age_ms: u32,
}

/// A crash of a backend server while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Strike {
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// The backend server.
    pub backend: BackendId,
    /// Age in milliseconds when the message was made.
    pub age_ms: u32,
}

/// An instance that left, and the one that holds its table of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Succession {
    /// The one that left.
    pub departed: InstanceIncarnation,
    /// The one that answers for it.
    pub successor: InstanceIncarnation,
}

/// How an instance splits a service's traffic over regions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Split {
    /// The service.
    pub service: ServiceName,
    /// Parts of a million, one for each region of the service in order of name.
    pub per_million: Vec<u32>,
}
