//! State that instances exchange by gossip, about themselves and about backend servers.

use crate::ids::{BackendId, Incarnation, InstanceIncarnation, Revision, ServiceName};

/// Heartbeat of an instance, as gossip carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Upper half of the [`stable_hash`](crate::hash::stable_hash) of the instance's id under seed 0.
    pub id_hash: u32,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Number of the heartbeat, incremented in each gossip round.
    pub heartbeat: u32,
    /// Whether the instance is shutting down.
    pub leaving: bool,
    /// Whether the instance knows of a configuration change whose outcome is not settled.
    pub change_pending: bool,
    /// Upper bound of the time since the instance made the heartbeat, in milliseconds.
    pub age_ms: u32,
    /// Configuration revision in force at the instance.
    pub revision: Revision,
}

/// Load report of a backend server, as gossip carries it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendLoad {
    /// Id of the backend server.
    pub id: BackendId,
    /// Whether the backend server accepts new requests.
    pub accepting: bool,
    /// Number of requests in flight at the backend server.
    pub in_flight: u32,
    /// Age of the report in milliseconds when the message was created.
    pub age_ms: u32,
}

/// Crash of a backend server while it ran a request, which counts towards the request's quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Strike {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Id of the backend server.
    pub backend: BackendId,
    /// Age of the crash in milliseconds when the message was created.
    pub age_ms: u32,
}

/// Hand-over of a departed instance's idempotency records to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Succession {
    /// Instance that left the fleet.
    pub departed: InstanceIncarnation,
    /// Instance that holds its records and answers for it.
    pub successor: InstanceIncarnation,
}

/// Distribution of a service's traffic over regions, as an instance applies it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Split {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of each region of the service in parts per million, in order of region name.
    pub per_million: Vec<u32>,
}
