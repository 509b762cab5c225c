//! Plain structs for the messages between instances.

use std::net::SocketAddr;
use std::sync::Arc;

use burdock_model::error::{Error, ErrorKind};
use burdock_model::fleet::{BackendLoad, Heartbeat, Split, Strike, Succession};
use burdock_model::ids::{InstanceId, InstanceIncarnation, RegionName, Revision, ZoneName};
use burdock_model::store_position::StorePosition;

/// Version of the protocol. A session with a peer of another version fails at the hello.
pub const PROTOCOL_VERSION: u16 = 1;

/// Size limit of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Id and address of another instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    /// Unique id of the instance.
    pub id: InstanceId,
    /// Address on which the instance accepts sessions of other instances.
    pub address: SocketAddr,
}

/// First message of a session in each direction: introduces the sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Id and incarnation number of the sender.
    pub incarnation: InstanceIncarnation,
    /// Region of the sender.
    pub region: RegionName,
    /// Availability zone of the sender.
    pub zone: ZoneName,
}

/// Gossip message that two instances send each other in each round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Id and incarnation number of the sender.
    pub sender: InstanceIncarnation,
    /// Newest heartbeats that the sender knows, including its own.
    pub heartbeats: Vec<Heartbeat>,
    /// Revision of the configuration in force at the sender.
    pub revision: Revision,
    /// Milliseconds since the store last confirmed the sender's state; `None` if it never did.
    pub store_age_ms: Option<u32>,
    /// Hash over the versions of all share records that the sender holds.
    pub shares_digest: u64,
    /// Load of the sender in thousandths of its capacity.
    pub load_per_mille: u32,
    /// Load reports of backend servers.
    pub backend_loads: Vec<BackendLoad>,
    /// Crashes of backend servers, each with the fingerprint of the request that ran there.
    pub strikes: Vec<Strike>,
    /// Instances that have left, each with its successor.
    pub successions: Vec<Succession>,
    /// Shares of each service's traffic that the sender routes to each region.
    pub splits: Vec<Split>,
}

/// An amount of something that both peers identify by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HashedAmount {
    /// Hash of the name, such as that of an organisation or a backend server.
    pub hash: u64,
    /// Amount, in the unit of the list that it stands in.
    pub amount: f32,
}

/// Traffic report of one instance, or of a hub for all instances that report to it.
///
/// A hub also answers a report with one.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficReport {
    /// Id of the sender.
    pub sender: InstanceId,
    /// Number of instances that the report covers; 0 in a hub's answer to an instance.
    pub instance_count: u32,
    /// Sum of the weights of the instances that the report covers.
    pub weight: u32,
    /// Requests per second of each organisation.
    pub demands: Vec<HashedAmount>,
    /// Requests in flight at each backend server; in a hub's answer, those placed by all other instances.
    pub in_flight: Vec<HashedAmount>,
    /// Whether the sender is a hub that reports to another hub.
    pub is_from_hub: bool,
    /// Revision of the store that the sender has; in an answer, also the changes that the asker lacks.
    pub store: StoreDelta,
    /// Crashes of backend servers, each with the fingerprint of the request that ran there.
    pub strikes: Vec<Strike>,
    /// Backend servers that said recently that they are leaving.
    pub leaving: Vec<LeavingRun>,
    /// Backend servers that a status check recently found alive after their entries had come back.
    pub confirmed: Vec<ConfirmedRun>,
    /// Measured service time at each slow backend server relative to the usual one; in a hub's answer, as
    /// measured by all other instances.
    pub slowness: Vec<HashedAmount>,
    /// Busy slots that the requests for each service ask for: requests per second times their usual service
    /// time in seconds. In a hub's answer to an instance, the share of each region in them.
    pub service_demands: Vec<HashedAmount>,
    /// In a hub's answer, how the requests of its region are divided over regions.
    pub splits: Vec<ServiceSplit>,
    /// Backend servers that stated recently that work takes longer or shorter there than usual.
    pub paces: Vec<StatedPace>,
    /// Requests per second that were refused for lack of capacity, by service.
    pub refusals: Vec<HashedAmount>,
}

impl TrafficReport {
    /// Creates a report without any traffic.
    ///
    /// ```
    /// use burdock_model::ids::InstanceId;
    /// use burdock_wire::messages::TrafficReport;
    /// let report = TrafficReport::new(InstanceId::new("edge-1").unwrap());
    /// assert!(report.demands.is_empty());
    /// ```
    #[must_use]
    pub fn new(sender: InstanceId) -> Self {
        Self {
            sender,
            instance_count: 0,
            weight: 0,
            demands: Vec::new(),
            in_flight: Vec::new(),
            is_from_hub: false,
            store: StoreDelta::default(),
            strikes: Vec::new(),
            leaving: Vec::new(),
            confirmed: Vec::new(),
            slowness: Vec::new(),
            service_demands: Vec::new(),
            splits: Vec::new(),
            paces: Vec::new(),
            refusals: Vec::new(),
        }
    }
}

/// How requests for a service are divided over regions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSplit {
    /// Hash of the service's name.
    pub service_hash: u64,
    /// Weight of each region, by the hash of its name.
    pub regions: Vec<HashedAmount>,
}

/// What a backend server last stated of how long work takes there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedPace {
    /// Hash of the backend server's id.
    pub backend_hash: u64,
    /// Time that work takes, in percent of the usual time.
    pub percent: u32,
    /// Milliseconds since the backend server stated it.
    pub age_ms: u32,
}

/// One run of a backend server's process that said that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavingRun {
    /// Hash of the backend server's id and of its start.
    pub run_hash: u64,
    /// Milliseconds since the first instance learned it.
    pub age_ms: u32,
}

/// One run of a backend server's process that a status check found alive after its entry had come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedRun {
    /// Hash of the backend server's id and of its start.
    pub run_hash: u64,
    /// Store revision of the entry that was checked.
    pub revision: u64,
    /// Milliseconds since the check.
    pub age_ms: u32,
}

/// State of the store at the sender, and in an answer the changes after the asker's revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreDelta {
    /// Revision of the store up to which the sender knows every change.
    pub revision: u64,
    /// Era of the store that `revision` belongs to; `None` from earlier versions.
    pub era: Option<u64>,
    /// Changes after the asker's revision.
    pub changes: Vec<StoreRecord>,
    /// Changes after the asker's revision as compressed bytes of [`encode_records`], instead of `changes`.
    pub packed_changes: Option<Arc<[u8]>>,
    /// Whether the changes are every one after the asker's revision.
    pub is_complete: bool,
    /// Whether the changes are all keys of the store instead, so that a key that is not among them is gone.
    pub is_snapshot: bool,
    /// Whether the sender understands packed changes and snapshots in the answer. Earlier versions don't.
    pub accepts_packed: bool,
    /// Milliseconds since the store last confirmed `revision`; `None` if it never did.
    pub confirmed_age_ms: Option<u32>,
}

impl StoreDelta {
    /// Returns the state of the store that the sender is at, in era 0 if it states none.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        StorePosition { era: self.era.unwrap_or(0), revision: self.revision }
    }
}

/// Last write of a key of the store: its value, or its deletion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRecord {
    /// Key in the store.
    pub key: String,
    /// Value of the key; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Whether the value is compressed (zlib).
    pub is_compressed: bool,
    /// Revision of the store that this change made.
    pub revision: u64,
}

/// Request to a hub for tokens of an organisation. One token pays for one forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Id of the instance that asks.
    pub sender: InstanceId,
    /// Hash of the organisation's name.
    pub organisation_hash: u64,
    /// Number of tokens asked for.
    pub wanted: u32,
}

/// A hub's answer to a [`TokenRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenGrant {
    /// Number of tokens granted.
    pub granted: u32,
    /// Milliseconds until more tokens may be available.
    pub wait_ms: u32,
}

/// Head of the configuration with some of the blobs that it refers to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Head as JSON; empty if the sender has none.
    pub head: String,
    /// Version of the head in the store.
    pub head_version: u64,
    /// Blobs, each as name and text.
    pub blobs: Vec<(String, String)>,
}

/// Share records of one bucket of organisations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareBucket {
    /// Number of the bucket.
    pub bucket: u32,
    /// Version of the bucket in the store.
    pub version: u64,
    /// Share records as JSON.
    pub records: String,
}

/// Request with an idempotency key, relayed to the instance that owns the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedRequest {
    /// Organisation of the caller's API key; empty for a route that needs none.
    pub organisation: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Host that the caller addressed.
    pub host: String,
    /// Headers to send to the backend server.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Idempotency key.
    pub idempotency_key: String,
    /// Milliseconds until the deadline of the request.
    pub remaining_ms: u32,
    /// Trace context (`traceparent` header); empty if there is none.
    pub traceparent: String,
    /// Id of the request.
    pub request_id: String,
    /// Incarnation of the instance that owns the idempotency key.
    pub owner: InstanceIncarnation,
}

/// Complete response of a backend server, held in memory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BufferedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers as names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// State of one idempotency key that its owner hands over to a successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverRecord {
    /// Hash of the organisation and the idempotency key.
    pub key: [u8; 16],
    /// Hash of the request that came with the key.
    pub fingerprint: u64,
    /// Milliseconds since the request with this key began.
    pub age_ms: u32,
    /// Response to replay; `None` if it is unknown whether the request ran.
    pub response: Option<BufferedResponse>,
}

/// Answer of a share holder that was asked to lend tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loan {
    /// Whole tokens that now belong to the borrower.
    pub granted: u32,
    /// Whole tokens that remain with the lender.
    pub remaining: u32,
    /// Whether the lender refused: it holds no share of the organisation, or may not serve.
    pub is_refused: bool,
}

/// Why a call to another instance failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The call was not sent: no session could be opened, or too many calls are pending or queued.
    NotSent(String),
    /// The call may have been sent, and no answer came.
    Lost(String),
}

impl PeerError {
    /// Returns whether it is certain that the other instance did not receive the call.
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

/// Encodes records of the store, to be compressed together.
#[must_use]
pub fn encode_records<'a>(records: impl ExactSizeIterator<Item = &'a StoreRecord>) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    crate::convert::write_store_records(records, message.init_root());
    capnp::serialize::write_message_to_words(&message)
}

/// Decodes what [`encode_records`] encoded.
///
/// ```
/// use burdock_wire::messages::{StoreRecord, decode_records, encode_records};
/// let record = StoreRecord { key: "a".to_owned(), value: None, is_compressed: false, revision: 3 };
/// let encoded = encode_records(std::iter::once(&record));
/// assert_eq!(decode_records(&encoded).unwrap(), [record]);
/// assert!(decode_records(b"odd").is_err());
/// ```
///
/// # Errors
/// [`ErrorKind::Internal`] when the bytes are malformed.
pub fn decode_records(mut bytes: &[u8]) -> Result<Vec<StoreRecord>, Error> {
    let decode = |bytes: &mut &[u8]| {
        let message = capnp::serialize::read_message(bytes, crate::convert::reader_options())?;
        crate::convert::read_store_records(message.get_root()?)
    };
    decode(&mut bytes).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
}

/// Returns the encoded size of a gossip message in bytes, without the framing of the session.
#[must_use]
pub fn encoded_bytes(exchange: &Exchange) -> usize {
    let mut message = capnp::message::Builder::new_default();
    crate::convert::write_exchange(exchange, message.init_root());
    capnp::serialize::compute_serialized_size_in_words(&message) * size_of::<u64>()
}
