//! The messages between instances as plain structs.

use std::net::SocketAddr;

use burdock_model::error::{Error, ErrorKind};
use burdock_model::fleet::{BackendLoad, Heartbeat, Split, Strike, Succession};
use burdock_model::ids::{InstanceId, Life, RegionName, Revision, ZoneName};

/// The version of the protocol that this program speaks. Another version is refused at the hello.
pub const PROTOCOL_VERSION: u16 = 1;

/// The largest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Where another instance is reached.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    /// Its id.
    pub id: InstanceId,
    /// Its address for other instances.
    pub address: SocketAddr,
}

/// The first message each way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The sender's life.
    pub incarnation: Life,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

/// What two instances tell each other in each round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Who tells.
    pub sender: Life,
    /// Heartbeats it knows, its own among them.
    pub heartbeats: Vec<Heartbeat>,
    /// The revision it has in force.
    pub revision: Revision,
    /// Age in milliseconds of the newest confirmation of the store's state; `None` for never.
    pub store_age_ms: Option<u32>,
    /// Hash over the versions of all share records it holds.
    pub shares_digest: u64,
    /// Thousandths of what it can carry that it carries.
    pub load_per_mille: u32,
    /// Load reports of backend servers.
    pub loads: Vec<BackendLoad>,
    /// Crashes of backend servers.
    pub strikes: Vec<Strike>,
    /// Instances that left, with their successors.
    pub successions: Vec<Succession>,
    /// How the sender splits traffic over regions.
    pub splits: Vec<Split>,
}

/// An amount of something that both ends know by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HashedAmount {
    /// Hash of the name.
    pub hash: u64,
    /// The amount.
    pub amount: f32,
}

/// What an instance, or a hub for those that report to it, tells of its traffic; and a hub's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficReport {
    /// Who tells.
    pub sender: InstanceId,
    /// Instances that it speaks for; 0 in an answer to one of them.
    pub instance_count: u32,
    /// Requests a second of each organisation.
    pub demands: Vec<HashedAmount>,
    /// Requests at work at each backend server; in an answer, those of all others.
    pub in_flight: Vec<HashedAmount>,
    /// The sender is a hub and speaks to another one.
    pub is_from_hub: bool,
    /// What the sender knows of the store.
    pub store: StoreDelta,
    /// Crashes of backend servers that are held against requests.
    pub strikes: Vec<Strike>,
}

/// What an instance knows of the store, and in an answer what the asker does not know yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreDelta {
    /// The store's revision up to which the sender knows all.
    pub revision: u64,
    /// What the store changed after the asker's revision.
    pub changes: Vec<StoreRecord>,
    /// The changes are all there were.
    pub is_complete: bool,
    /// How long ago the store confirmed the revision, in milliseconds; `None` for never.
    pub age_ms: Option<u32>,
}

/// A key of the store as it was written last, or its deletion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRecord {
    /// The key.
    pub key: String,
    /// Its value; `None` when it was deleted.
    pub value: Option<Vec<u8>>,
    /// The value is compressed (zlib).
    pub is_compressed: bool,
    /// The store's revision of this change.
    pub revision: u64,
}

/// A question for leave to pass on requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Who asks.
    pub sender: InstanceId,
    /// Hash of the organisation's name.
    pub organisation_hash: u64,
    /// Requests to pass on.
    pub wanted: u32,
}

/// Leave to pass on requests of an organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenGrant {
    /// Requests that may be passed on now.
    pub granted: u32,
    /// Milliseconds after which there may be more.
    pub wait_ms: u32,
}

/// A head with some of its blobs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// The head as JSON; empty when the sender has none.
    pub head: String,
    /// The store's version of the head.
    pub head_version: u64,
    /// Blobs by name and text.
    pub blobs: Vec<(String, String)>,
}

/// The share records of one bucket of organisations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareBucket {
    /// The bucket.
    pub bucket: u32,
    /// The store's version.
    pub version: u64,
    /// The records as JSON.
    pub records: String,
}

/// A request that another instance is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedRequest {
    /// The organisation its key belongs to.
    pub organisation: String,
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The host it was sent to.
    pub host: String,
    /// Headers for the backend server.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Its idempotency key.
    pub idempotency_key: String,
    /// Milliseconds until its deadline.
    pub remaining_ms: u32,
    /// Trace context.
    pub traceparent: String,
    /// Its request id.
    pub request_id: String,
    /// The life that owns the key.
    pub owner: Life,
}

/// A whole answer of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BufferedResponse {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What an owner knew of one idempotency key, as it goes to the successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverRecord {
    /// Hash that stands for the key.
    pub key: [u8; 16],
    /// Hash of the request.
    pub fingerprint: u64,
    /// Age in milliseconds.
    pub age_ms: u32,
    /// The answer, or `None` when whether it ran is unknown.
    pub answer: Option<BufferedResponse>,
}

/// An answer to a request for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loan {
    /// Whole tokens that now belong to the asker.
    pub granted: u32,
    /// Whole tokens left with the lender.
    pub remaining: u32,
    /// The lender holds no share of the organisation, or may not serve.
    pub is_refused: bool,
}

/// Why a call to another instance failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The call was not sent: no connection, or too many calls wait already.
    NotSent(String),
    /// The call was sent and no answer came.
    Lost(String),
}

impl PeerError {
    /// Whether the other instance certainly did not see the call.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl From<PeerError> for Error {
    fn from(e: PeerError) -> Self {
        match e {
            PeerError::NotSent(detail) => Self::new(ErrorKind::NoBackend, detail),
            PeerError::Lost(detail) => Self::new(ErrorKind::OwnerGone, detail),
        }
    }
}

/// Bytes of an exchange on the wire, without framing of the session.
#[must_use]
pub fn encoded_bytes(exchange: &Exchange) -> usize {
    let mut message = capnp::message::Builder::new_default();
    crate::convert::write_exchange(exchange, message.init_root());
    capnp::serialize::compute_serialized_size_in_words(&message) * size_of::<u64>()
}
