//! Conversion between messages and their encoding.

use burdock_model::error::{Error, ErrorKind};
use burdock_model::fleet::{BackendLoad, Heartbeat, Split, Strike, Succession};
use burdock_model::ids::{
    BackendId, Incarnation, InstanceId, Life, RegionName, Revision, ServiceName, ZoneName,
};
use capnp::Result;
use capnp::message::ReaderOptions;
use capnp::{Error as WireError, text};

use crate::messages::{
    BufferedResponse, Configuration, Exchange, HandoverRecord, HashedAmount, Hello, Loan, MAX_MESSAGE_BYTES,
    PROTOCOL_VERSION, RelayedRequest, ShareBucket, StoreDelta, StoreRecord, TrafficReport,
};
use crate::peer_capnp as wire;

/// Bits of a heartbeat's flags below its revision.
const FLAG_BITS: u32 = 2;

/// The bits of a revision that a heartbeat carries.
const REVISION_MASK: u64 = (1 << 14) - 1;

const MS_PER_CS: u32 = 10;

/// Marks an age that is not known.
const NEVER: u32 = u32::MAX;

/// Bounds on what is decoded, so that a malformed message can't take memory or time.
pub fn reader_options() -> ReaderOptions {
    const NESTING: i32 = 16;
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / size_of::<u64>()));
    options.nesting_limit(NESTING);
    options
}

pub fn write_life(life: &Life, mut to: wire::life::Builder<'_>) {
    to.set_instance(life.instance.as_str());
    to.set_incarnation(u64::from(life.incarnation.0));
}

pub fn read_life(from: wire::life::Reader<'_>) -> Result<Life> {
    let instance = InstanceId::new(str_of(from.get_instance()?)?).map_err(|e| malformed(&e))?;
    let incarnation = u32::try_from(from.get_incarnation()).map_err(|e| WireError::failed(e.to_string()))?;
    Ok(Life { instance, incarnation: Incarnation(incarnation) })
}

pub fn write_hello(hello: &Hello, mut to: wire::hello::Builder<'_>) {
    to.set_protocol_version(PROTOCOL_VERSION);
    to.set_region(hello.region.as_str());
    to.set_zone(hello.zone.as_str());
    write_life(&hello.incarnation, to.init_life());
}

pub fn read_hello(from: wire::hello::Reader<'_>) -> Result<Hello> {
    let version = from.get_protocol_version();
    if version != PROTOCOL_VERSION {
        return Err(WireError::failed(format!(
            "the peer speaks version {version}, this is {PROTOCOL_VERSION}"
        )));
    }
    Ok(Hello {
        incarnation: read_life(from.get_life()?)?,
        region: RegionName::new(str_of(from.get_region()?)?).map_err(|e| malformed(&e))?,
        zone: ZoneName::new(str_of(from.get_zone()?)?).map_err(|e| malformed(&e))?,
    })
}

pub fn write_exchange(exchange: &Exchange, mut to: wire::exchange::Builder<'_>) {
    to.set_revision(exchange.revision.0);
    to.set_store_age_ms(exchange.store_age_ms.unwrap_or(NEVER));
    to.set_shares_digest(exchange.shares_digest);
    to.set_load_per_mille(exchange.load_per_mille);
    write_life(&exchange.sender, to.reborrow().init_sender());
    let mut list = to.reborrow().init_heartbeats(count(&exchange.heartbeats));
    for (ix, beat) in (0..).zip(&exchange.heartbeats) {
        write_heartbeat(beat, list.reborrow().get(ix));
    }
    let mut list = to.reborrow().init_loads(count(&exchange.loads));
    for (ix, load) in (0..).zip(&exchange.loads) {
        let mut to = list.reborrow().get(ix);
        to.set_id(load.id.as_str());
        to.set_in_flight(load.in_flight);
        to.set_age_ms(load.age_ms);
        to.set_accepting(load.accepting);
    }
    write_strikes(&exchange.strikes, to.reborrow().init_strikes(count(&exchange.strikes)));
    let mut list = to.reborrow().init_successions(count(&exchange.successions));
    for (ix, succession) in (0..).zip(&exchange.successions) {
        let mut to = list.reborrow().get(ix);
        write_life(&succession.left, to.reborrow().init_left());
        write_life(&succession.successor, to.init_successor());
    }
    let mut list = to.init_splits(count(&exchange.splits));
    for (ix, split) in (0..).zip(&exchange.splits) {
        write_split(split, list.reborrow().get(ix));
    }
}

fn write_strikes(strikes: &[Strike], mut to: capnp::struct_list::Builder<'_, wire::strike::Owned>) {
    for (ix, strike) in (0..).zip(strikes) {
        let mut to = to.reborrow().get(ix);
        to.set_fingerprint(strike.fingerprint);
        to.set_backend(strike.backend.as_str());
        to.set_age_ms(strike.age_ms);
    }
}

fn write_split(split: &Split, mut to: wire::split::Builder<'_>) {
    to.set_service(split.service.as_str());
    let mut list = to.init_per_million(count(&split.per_million));
    for (ix, part) in (0..).zip(&split.per_million) {
        list.set(ix, *part);
    }
}

fn read_split(from: wire::split::Reader<'_>) -> Result<Split> {
    let service = ServiceName::new(str_of(from.get_service()?)?).map_err(|e| malformed(&e))?;
    Ok(Split { service, per_million: from.get_per_million()?.iter().collect() })
}

pub fn read_exchange(from: wire::exchange::Reader<'_>) -> Result<Exchange> {
    let revision = Revision(from.get_revision());
    Ok(Exchange {
        sender: read_life(from.get_sender()?)?,
        heartbeats: from.get_heartbeats()?.iter().map(|b| read_heartbeat(b, revision)).collect(),
        revision,
        store_age_ms: Some(from.get_store_age_ms()).filter(|age| *age != NEVER),
        shares_digest: from.get_shares_digest(),
        load_per_mille: from.get_load_per_mille(),
        loads: from.get_loads()?.iter().map(read_load).collect::<Result<_>>()?,
        strikes: from.get_strikes()?.iter().map(read_strike).collect::<Result<_>>()?,
        successions: from.get_successions()?.iter().map(read_succession).collect::<Result<_>>()?,
        splits: from.get_splits()?.iter().map(read_split).collect::<Result<_>>()?,
    })
}

fn write_heartbeat(beat: &Heartbeat, mut to: wire::heartbeat::Builder<'_>) {
    let low = u16::try_from(beat.revision.0 & REVISION_MASK).unwrap_or(0);
    to.set_id_hash(beat.id_hash);
    to.set_life(beat.incarnation.0);
    to.set_heartbeat(beat.heartbeat);
    to.set_age_cs(u16::try_from(beat.age_ms.div_ceil(MS_PER_CS)).unwrap_or(u16::MAX));
    to.set_flags(low << FLAG_BITS | u16::from(beat.change_pending) << 1 | u16::from(beat.leaving));
}

// Only the lowest bits of the revision are sent; the rest is that of the nearest one to the sender's.
fn read_heartbeat(from: wire::heartbeat::Reader<'_>, senders: Revision) -> Heartbeat {
    let flags = from.get_flags();
    Heartbeat {
        id_hash: from.get_id_hash(),
        incarnation: Incarnation(from.get_life()),
        heartbeat: from.get_heartbeat(),
        leaving: flags & 1 != 0,
        change_pending: flags & 2 != 0,
        age_ms: u32::from(from.get_age_cs()) * MS_PER_CS,
        revision: nearest_revision(senders, u64::from(flags >> FLAG_BITS)),
    }
}

fn nearest_revision(to: Revision, low: u64) -> Revision {
    let ahead = low.wrapping_sub(to.0) & REVISION_MASK;
    let behind = to.0.wrapping_sub(low) & REVISION_MASK;
    let is_behind = behind <= ahead && behind <= to.0;
    Revision(if is_behind { to.0 - behind } else { to.0 + ahead })
}

fn read_load(from: wire::backend_load::Reader<'_>) -> Result<BackendLoad> {
    Ok(BackendLoad {
        id: BackendId::new(str_of(from.get_id()?)?).map_err(|e| malformed(&e))?,
        accepting: from.get_accepting(),
        in_flight: from.get_in_flight(),
        age_ms: from.get_age_ms(),
    })
}

fn read_strike(from: wire::strike::Reader<'_>) -> Result<Strike> {
    Ok(Strike {
        fingerprint: from.get_fingerprint(),
        backend: BackendId::new(str_of(from.get_backend()?)?).map_err(|e| malformed(&e))?,
        age_ms: from.get_age_ms(),
    })
}

fn read_succession(from: wire::succession::Reader<'_>) -> Result<Succession> {
    Ok(Succession { left: read_life(from.get_left()?)?, successor: read_life(from.get_successor()?)? })
}

pub fn write_configuration(cfg: &Configuration, mut to: wire::configuration::Builder<'_>) {
    to.set_head(&cfg.head);
    to.set_head_version(cfg.head_version);
    let mut list = to.init_blobs(count(&cfg.blobs));
    for (ix, (name, text)) in (0..).zip(&cfg.blobs) {
        let mut to = list.reborrow().get(ix);
        to.set_name(name);
        to.set_text(text);
    }
}

pub fn read_configuration(from: wire::configuration::Reader<'_>) -> Result<Configuration> {
    let blob = |b: wire::blob::Reader<'_>| Ok((string_of(b.get_name()?)?, string_of(b.get_text()?)?));
    Ok(Configuration {
        head: string_of(from.get_head()?)?,
        head_version: from.get_head_version(),
        blobs: from.get_blobs()?.iter().map(blob).collect::<Result<_>>()?,
    })
}

pub fn write_share_bucket(bucket: &ShareBucket, mut to: wire::share_bucket::Builder<'_>) {
    to.set_bucket(bucket.bucket);
    to.set_version(bucket.version);
    to.set_records(&bucket.records);
}

pub fn read_share_bucket(from: wire::share_bucket::Reader<'_>) -> Result<ShareBucket> {
    let records = string_of(from.get_records()?)?;
    Ok(ShareBucket { bucket: from.get_bucket(), version: from.get_version(), records })
}

pub fn write_traffic(traffic: &TrafficReport, mut to: wire::traffic::Builder<'_>) {
    to.set_sender(traffic.sender.as_str());
    to.set_instances(traffic.instance_count);
    to.set_from_hub(traffic.is_from_hub);
    write_tallies(&traffic.demands, to.reborrow().init_demands(count(&traffic.demands)));
    write_tallies(&traffic.in_flight, to.reborrow().init_at_work(count(&traffic.in_flight)));
    write_strikes(&traffic.strikes, to.reborrow().init_strikes(count(&traffic.strikes)));
    to.set_revision(traffic.store.revision);
    to.set_complete(traffic.store.is_complete);
    to.set_store_age_ms(traffic.store.age_ms.unwrap_or(NEVER));
    let mut list = to.init_changes(count(&traffic.store.changes));
    for (ix, record) in (0..).zip(&traffic.store.changes) {
        let mut to = list.reborrow().get(ix);
        to.set_key(&record.key);
        to.set_revision(record.revision);
        to.set_packed(record.is_compressed);
        match &record.value {
            Some(value) => to.set_value(value),
            None => to.set_deleted(true),
        }
    }
}

pub fn read_traffic(from: wire::traffic::Reader<'_>) -> Result<TrafficReport> {
    Ok(TrafficReport {
        sender: InstanceId::new(str_of(from.get_sender()?)?).map_err(|e| WireError::failed(e.to_string()))?,
        instance_count: from.get_instances(),
        demands: from.get_demands()?.iter().map(read_tally).collect(),
        in_flight: from.get_at_work()?.iter().map(read_tally).collect(),
        is_from_hub: from.get_from_hub(),
        store: StoreDelta {
            revision: from.get_revision(),
            changes: from.get_changes()?.iter().map(read_store_record).collect::<Result<_>>()?,
            is_complete: from.get_complete(),
            age_ms: Some(from.get_store_age_ms()).filter(|age| *age != NEVER),
        },
        strikes: from.get_strikes()?.iter().map(read_strike).collect::<Result<_>>()?,
    })
}

fn read_store_record(from: wire::store_record::Reader<'_>) -> Result<StoreRecord> {
    Ok(StoreRecord {
        key: string_of(from.get_key()?)?,
        value: if from.get_deleted() { None } else { Some(from.get_value()?.to_vec()) },
        is_compressed: from.get_packed(),
        revision: from.get_revision(),
    })
}

fn write_tallies(tallies: &[HashedAmount], mut to: capnp::struct_list::Builder<'_, wire::tally::Owned>) {
    for (ix, tally) in (0..).zip(tallies) {
        let mut to = to.reborrow().get(ix);
        to.set_hash(tally.hash);
        to.set_amount(tally.amount);
    }
}

fn read_tally(from: wire::tally::Reader<'_>) -> HashedAmount {
    HashedAmount { hash: from.get_hash(), amount: from.get_amount() }
}

pub fn write_loan(loan: &Loan, mut to: wire::loan::Builder<'_>) {
    to.set_granted(loan.granted);
    to.set_left(loan.remaining);
    to.set_refused(loan.is_refused);
}

pub fn read_loan(from: wire::loan::Reader<'_>) -> Loan {
    Loan { granted: from.get_granted(), remaining: from.get_left(), is_refused: from.get_refused() }
}

pub fn write_relayed(req: &RelayedRequest, mut to: wire::relayed_request::Builder<'_>) {
    to.set_organisation(&req.organisation);
    to.set_method(&req.method);
    to.set_target(&req.target);
    to.set_host(&req.host);
    to.set_body(&req.body);
    to.set_idempotency_key(&req.idempotency_key);
    to.set_remaining_ms(req.remaining_ms);
    to.set_traceparent(&req.traceparent);
    to.set_request_id(&req.request_id);
    write_life(&req.owner, to.reborrow().init_owner());
    write_headers(&req.headers, to.init_headers(count(&req.headers)));
}

pub fn read_relayed(from: wire::relayed_request::Reader<'_>) -> Result<RelayedRequest> {
    Ok(RelayedRequest {
        organisation: string_of(from.get_organisation()?)?,
        method: string_of(from.get_method()?)?,
        target: string_of(from.get_target()?)?,
        host: string_of(from.get_host()?)?,
        headers: read_headers(from.get_headers()?)?,
        body: from.get_body()?.to_vec(),
        idempotency_key: string_of(from.get_idempotency_key()?)?,
        remaining_ms: from.get_remaining_ms(),
        traceparent: string_of(from.get_traceparent()?)?,
        request_id: string_of(from.get_request_id()?)?,
        owner: read_life(from.get_owner()?)?,
    })
}

pub fn write_relay_result(
    result: &std::result::Result<BufferedResponse, Error>,
    to: wire::relayed_answer::Builder<'_>,
) {
    match result {
        Ok(answer) => write_answer(answer, to.init_answer()),
        Err(e) => {
            let mut to = to.init_refusal();
            to.set_kind(e.kind.as_str());
            to.set_detail(&e.detail);
        }
    }
}

pub fn read_relay_result(
    from: wire::relayed_answer::Reader<'_>,
) -> Result<std::result::Result<BufferedResponse, Error>> {
    match from.which()? {
        wire::relayed_answer::Answer(answer) => Ok(Ok(read_answer(answer?)?)),
        wire::relayed_answer::Refusal(refusal) => {
            let refusal = refusal?;
            let kind = serde_name(str_of(refusal.get_kind()?)?);
            Ok(Err(Error::new(kind, string_of(refusal.get_detail()?)?)))
        }
    }
}

pub fn write_once_record(record: &HandoverRecord, mut to: wire::once_record::Builder<'_>) {
    to.set_key(&record.key);
    to.set_fingerprint(record.fingerprint);
    to.set_age_ms(record.age_ms);
    match &record.answer {
        Some(answer) => write_answer(answer, to.init_finished()),
        None => to.set_unknown(()),
    }
}

pub fn read_once_record(from: wire::once_record::Reader<'_>) -> Result<HandoverRecord> {
    let key = from
        .get_key()?
        .try_into()
        .map_err(|_length| WireError::failed("a key is not 16 bytes long".into()))?;
    let answer = match from.which()? {
        wire::once_record::Unknown(()) => None,
        wire::once_record::Finished(answer) => Some(read_answer(answer?)?),
    };
    Ok(HandoverRecord { key, fingerprint: from.get_fingerprint(), age_ms: from.get_age_ms(), answer })
}

fn write_answer(answer: &BufferedResponse, mut to: wire::whole_answer::Builder<'_>) {
    to.set_status(answer.status);
    to.set_body(&answer.body);
    write_headers(&answer.headers, to.init_headers(count(&answer.headers)));
}

fn read_answer(from: wire::whole_answer::Reader<'_>) -> Result<BufferedResponse> {
    Ok(BufferedResponse {
        status: from.get_status(),
        headers: read_headers(from.get_headers()?)?,
        body: from.get_body()?.to_vec(),
    })
}

fn write_headers(
    headers: &[(String, Vec<u8>)],
    mut to: capnp::struct_list::Builder<'_, wire::header::Owned>,
) {
    for (ix, (name, value)) in (0..).zip(headers) {
        let mut to = to.reborrow().get(ix);
        to.set_name(name);
        to.set_value(value);
    }
}

fn read_headers(from: capnp::struct_list::Reader<'_, wire::header::Owned>) -> Result<Vec<(String, Vec<u8>)>> {
    let header = |h: wire::header::Reader<'_>| Ok((string_of(h.get_name()?)?, h.get_value()?.to_vec()));
    from.iter().map(header).collect()
}

// An unknown kind comes from a newer program: whether the request ran can't be told.
fn serde_name(name: &str) -> ErrorKind {
    ErrorKind::ALL.into_iter().find(|kind| kind.as_str() == name).unwrap_or(ErrorKind::Internal)
}

pub fn str_of(text: text::Reader<'_>) -> Result<&str> {
    text.to_str().map_err(|e| WireError::failed(e.to_string()))
}

pub fn string_of(text: text::Reader<'_>) -> Result<String> {
    str_of(text).map(str::to_owned)
}

pub fn count<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

fn malformed(e: &Error) -> WireError {
    WireError::failed(e.to_string())
}
