//! Conversion between message structs and their Cap'n Proto encoding.

use std::sync::Arc;

use burdock_model::error::{Error, ErrorKind};
use burdock_model::fleet::{BackendLoad, Heartbeat, Split, Strike, Succession};
use burdock_model::ids::{
    BackendId, Incarnation, InstanceId, InstanceIncarnation, RegionName, Revision, ServiceName, ZoneName,
};
use capnp::Result;
use capnp::message::ReaderOptions;
use capnp::{Error as WireError, text};

use crate::messages::{
    BufferedResponse, Configuration, ConfirmedRun, Exchange, HandoverRecord, HashedAmount, Hello, LeavingRun,
    Loan, MAX_MESSAGE_BYTES, PROTOCOL_VERSION, RelayedRequest, ServiceSplit, ShareBucket, StatedPace,
    StoreDelta, StoreRecord, TrafficReport,
};
use crate::peer_capnp as wire;

/// Number of flags in a heartbeat's `flags`, in the bits below the revision.
const HEARTBEAT_FLAG_BITS: u32 = 2;

/// Bits of the revision that a heartbeat carries.
const HEARTBEAT_REVISION_MASK: u64 = (1 << 14) - 1;

/// Heartbeats give their age in hundredths of a second.
const MS_PER_CS: u32 = 10;

/// Encodes the age of a state that was never confirmed.
const UNKNOWN_AGE_MS: u32 = u32::MAX;

/// Limits the size and nesting of decoded messages, so that a malformed one can't exhaust memory or time.
pub fn reader_options() -> ReaderOptions {
    const MAX_NESTING_LEVELS: i32 = 16;
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / size_of::<u64>()));
    options.nesting_limit(MAX_NESTING_LEVELS);
    options
}

pub fn write_incarnation(incarnation: &InstanceIncarnation, mut to: wire::life::Builder<'_>) {
    to.set_instance(incarnation.instance.as_str());
    to.set_incarnation(u64::from(incarnation.incarnation.0));
}

pub fn read_incarnation(from: wire::life::Reader<'_>) -> Result<InstanceIncarnation> {
    let instance = InstanceId::new(read_str(from.get_instance()?)?).map_err(|e| malformed(&e))?;
    let incarnation = u32::try_from(from.get_incarnation()).map_err(|e| WireError::failed(e.to_string()))?;
    Ok(InstanceIncarnation { instance, incarnation: Incarnation(incarnation) })
}

pub fn write_hello(hello: &Hello, mut to: wire::hello::Builder<'_>) {
    to.set_protocol_version(PROTOCOL_VERSION);
    to.set_region(hello.region.as_str());
    to.set_zone(hello.zone.as_str());
    write_incarnation(&hello.incarnation, to.init_life());
}

pub fn read_hello(from: wire::hello::Reader<'_>) -> Result<Hello> {
    let version = from.get_protocol_version();
    if version != PROTOCOL_VERSION {
        return Err(WireError::failed(format!(
            "the peer speaks protocol version {version}, expected {PROTOCOL_VERSION}"
        )));
    }
    Ok(Hello {
        incarnation: read_incarnation(from.get_life()?)?,
        region: RegionName::new(read_str(from.get_region()?)?).map_err(|e| malformed(&e))?,
        zone: ZoneName::new(read_str(from.get_zone()?)?).map_err(|e| malformed(&e))?,
    })
}

pub fn write_exchange(exchange: &Exchange, mut to: wire::exchange::Builder<'_>) {
    to.set_revision(exchange.revision.0);
    to.set_store_age_ms(exchange.store_age_ms.unwrap_or(UNKNOWN_AGE_MS));
    to.set_shares_digest(exchange.shares_digest);
    to.set_load_per_mille(exchange.load_per_mille);
    write_incarnation(&exchange.sender, to.reborrow().init_sender());
    let mut list = to.reborrow().init_heartbeats(list_len(&exchange.heartbeats));
    for (ix, heartbeat) in (0..).zip(&exchange.heartbeats) {
        write_heartbeat(heartbeat, list.reborrow().get(ix));
    }
    let mut list = to.reborrow().init_loads(list_len(&exchange.backend_loads));
    for (ix, load) in (0..).zip(&exchange.backend_loads) {
        let mut to = list.reborrow().get(ix);
        to.set_id(load.id.as_str());
        to.set_in_flight(load.in_flight);
        to.set_age_ms(load.age_ms);
        to.set_accepting(load.accepting);
    }
    write_strikes(&exchange.strikes, to.reborrow().init_strikes(list_len(&exchange.strikes)));
    let mut list = to.reborrow().init_successions(list_len(&exchange.successions));
    for (ix, succession) in (0..).zip(&exchange.successions) {
        let mut to = list.reborrow().get(ix);
        write_incarnation(&succession.departed, to.reborrow().init_left());
        write_incarnation(&succession.successor, to.init_successor());
    }
    let mut list = to.init_splits(list_len(&exchange.splits));
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
    let mut list = to.init_per_million(list_len(&split.per_million));
    for (ix, share) in (0..).zip(&split.per_million) {
        list.set(ix, *share);
    }
}

fn read_split(from: wire::split::Reader<'_>) -> Result<Split> {
    let service = ServiceName::new(read_str(from.get_service()?)?).map_err(|e| malformed(&e))?;
    Ok(Split { service, per_million: from.get_per_million()?.iter().collect() })
}

pub fn read_exchange(from: wire::exchange::Reader<'_>) -> Result<Exchange> {
    let revision = Revision(from.get_revision());
    Ok(Exchange {
        sender: read_incarnation(from.get_sender()?)?,
        heartbeats: from.get_heartbeats()?.iter().map(|h| read_heartbeat(h, revision)).collect(),
        revision,
        store_age_ms: Some(from.get_store_age_ms()).filter(|age| *age != UNKNOWN_AGE_MS),
        shares_digest: from.get_shares_digest(),
        load_per_mille: from.get_load_per_mille(),
        backend_loads: from.get_loads()?.iter().map(read_backend_load).collect::<Result<_>>()?,
        strikes: from.get_strikes()?.iter().map(read_strike).collect::<Result<_>>()?,
        successions: from.get_successions()?.iter().map(read_succession).collect::<Result<_>>()?,
        splits: from.get_splits()?.iter().map(read_split).collect::<Result<_>>()?,
    })
}

fn write_heartbeat(heartbeat: &Heartbeat, mut to: wire::heartbeat::Builder<'_>) {
    let revision_bits = u16::try_from(heartbeat.revision.0 & HEARTBEAT_REVISION_MASK).unwrap_or(0);
    to.set_id_hash(heartbeat.id_hash);
    to.set_life(heartbeat.incarnation.0);
    to.set_heartbeat(heartbeat.heartbeat);
    to.set_age_cs(u16::try_from(heartbeat.age_ms.div_ceil(MS_PER_CS)).unwrap_or(u16::MAX));
    to.set_flags(
        revision_bits << HEARTBEAT_FLAG_BITS
            | u16::from(heartbeat.change_pending) << 1
            | u16::from(heartbeat.leaving),
    );
}

// A heartbeat carries only the lowest bits of its revision. The full revision is the one with these bits that
// is nearest to the sender's.
fn read_heartbeat(from: wire::heartbeat::Reader<'_>, sender_revision: Revision) -> Heartbeat {
    let flags = from.get_flags();
    Heartbeat {
        id_hash: from.get_id_hash(),
        incarnation: Incarnation(from.get_life()),
        heartbeat: from.get_heartbeat(),
        leaving: flags & 1 != 0,
        change_pending: flags & 2 != 0,
        age_ms: u32::from(from.get_age_cs()) * MS_PER_CS,
        revision: nearest_revision(sender_revision, u64::from(flags >> HEARTBEAT_FLAG_BITS)),
    }
}

fn nearest_revision(reference: Revision, low_bits: u64) -> Revision {
    let ahead = low_bits.wrapping_sub(reference.0) & HEARTBEAT_REVISION_MASK;
    let behind = reference.0.wrapping_sub(low_bits) & HEARTBEAT_REVISION_MASK;
    let is_behind = behind <= ahead && behind <= reference.0;
    Revision(if is_behind { reference.0 - behind } else { reference.0 + ahead })
}

fn read_backend_load(from: wire::backend_load::Reader<'_>) -> Result<BackendLoad> {
    Ok(BackendLoad {
        id: BackendId::new(read_str(from.get_id()?)?).map_err(|e| malformed(&e))?,
        accepting: from.get_accepting(),
        in_flight: from.get_in_flight(),
        age_ms: from.get_age_ms(),
    })
}

fn read_strike(from: wire::strike::Reader<'_>) -> Result<Strike> {
    Ok(Strike {
        fingerprint: from.get_fingerprint(),
        backend: BackendId::new(read_str(from.get_backend()?)?).map_err(|e| malformed(&e))?,
        age_ms: from.get_age_ms(),
    })
}

fn read_succession(from: wire::succession::Reader<'_>) -> Result<Succession> {
    Ok(Succession {
        departed: read_incarnation(from.get_left()?)?,
        successor: read_incarnation(from.get_successor()?)?,
    })
}

pub fn write_configuration(cfg: &Configuration, mut to: wire::configuration::Builder<'_>) {
    to.set_head(&cfg.head);
    to.set_head_version(cfg.head_version);
    let mut list = to.init_blobs(list_len(&cfg.blobs));
    for (ix, (name, text)) in (0..).zip(&cfg.blobs) {
        let mut to = list.reborrow().get(ix);
        to.set_name(name);
        to.set_text(text);
    }
}

pub fn read_configuration(from: wire::configuration::Reader<'_>) -> Result<Configuration> {
    let blob = |b: wire::blob::Reader<'_>| Ok((read_string(b.get_name()?)?, read_string(b.get_text()?)?));
    Ok(Configuration {
        head: read_string(from.get_head()?)?,
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
    let records = read_string(from.get_records()?)?;
    Ok(ShareBucket { bucket: from.get_bucket(), version: from.get_version(), records })
}

pub fn write_traffic_report(report: &TrafficReport, mut to: wire::traffic::Builder<'_>) {
    to.set_sender(report.sender.as_str());
    to.set_instances(report.instance_count);
    to.set_weight(report.weight);
    to.set_from_hub(report.is_from_hub);
    write_amounts(&report.demands, to.reborrow().init_demands(list_len(&report.demands)));
    write_amounts(&report.in_flight, to.reborrow().init_at_work(list_len(&report.in_flight)));
    write_strikes(&report.strikes, to.reborrow().init_strikes(list_len(&report.strikes)));
    write_amounts(&report.slowness, to.reborrow().init_slowness(list_len(&report.slowness)));
    let mut leaving = to.reborrow().init_leaving(list_len(&report.leaving));
    for (ix, run) in (0..).zip(&report.leaving) {
        let mut to = leaving.reborrow().get(ix);
        to.set_run(run.run_hash);
        to.set_age_ms(run.age_ms);
    }
    let mut confirmed = to.reborrow().init_confirmed(list_len(&report.confirmed));
    for (ix, run) in (0..).zip(&report.confirmed) {
        let mut to = confirmed.reborrow().get(ix);
        to.set_run(run.run_hash);
        to.set_revision(run.revision);
        to.set_age_ms(run.age_ms);
    }
    write_amounts(
        &report.service_demands,
        to.reborrow().init_service_demands(list_len(&report.service_demands)),
    );
    write_amounts(&report.refusals, to.reborrow().init_refusals(list_len(&report.refusals)));
    let mut splits = to.reborrow().init_splits(list_len(&report.splits));
    for (ix, split) in (0..).zip(&report.splits) {
        let mut to = splits.reborrow().get(ix);
        to.set_service(split.service_hash);
        write_amounts(&split.regions, to.init_regions(list_len(&split.regions)));
    }
    let mut paces = to.reborrow().init_paces(list_len(&report.paces));
    for (ix, pace) in (0..).zip(&report.paces) {
        let mut to = paces.reborrow().get(ix);
        to.set_backend(pace.backend_hash);
        to.set_percent(pace.percent);
        to.set_age_ms(pace.age_ms);
    }
    to.set_revision(report.store.revision);
    to.set_store_era(report.store.era.map_or(0, |era| era + 1));
    to.set_complete(report.store.is_complete);
    to.set_store_age_ms(report.store.confirmed_age_ms.unwrap_or(UNKNOWN_AGE_MS));
    to.set_snapshot(report.store.is_snapshot);
    to.set_accepts_packed(report.store.accepts_packed);
    if let Some(packed) = &report.store.packed_changes {
        to.set_packed_changes(packed);
    }
    write_records(report.store.changes.iter(), to.init_changes(list_len(&report.store.changes)));
}

pub fn write_store_records<'a>(
    records: impl ExactSizeIterator<Item = &'a StoreRecord>,
    to: wire::store_records::Builder<'_>,
) {
    let count = u32::try_from(records.len()).unwrap_or(u32::MAX);
    write_records(records, to.init_records(count));
}

pub fn read_store_records(from: wire::store_records::Reader<'_>) -> Result<Vec<StoreRecord>> {
    from.get_records()?.iter().map(read_store_record).collect()
}

fn write_records<'a>(
    records: impl Iterator<Item = &'a StoreRecord>,
    mut list: capnp::struct_list::Builder<'_, wire::store_record::Owned>,
) {
    for (ix, record) in (0..).zip(records) {
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

pub fn read_traffic_report(from: wire::traffic::Reader<'_>) -> Result<TrafficReport> {
    Ok(TrafficReport {
        sender: InstanceId::new(read_str(from.get_sender()?)?)
            .map_err(|e| WireError::failed(e.to_string()))?,
        instance_count: from.get_instances(),
        weight: from.get_weight(),
        demands: from.get_demands()?.iter().map(read_amount).collect(),
        in_flight: from.get_at_work()?.iter().map(read_amount).collect(),
        is_from_hub: from.get_from_hub(),
        store: StoreDelta {
            revision: from.get_revision(),
            era: from.get_store_era().checked_sub(1),
            changes: from.get_changes()?.iter().map(read_store_record).collect::<Result<_>>()?,
            packed_changes: Some(from.get_packed_changes()?).filter(|p| !p.is_empty()).map(Arc::from),
            is_complete: from.get_complete(),
            is_snapshot: from.get_snapshot(),
            accepts_packed: from.get_accepts_packed(),
            confirmed_age_ms: Some(from.get_store_age_ms()).filter(|age| *age != UNKNOWN_AGE_MS),
        },
        strikes: from.get_strikes()?.iter().map(read_strike).collect::<Result<_>>()?,
        leaving: from.get_leaving()?.iter().map(read_leaving_run).collect(),
        confirmed: from.get_confirmed()?.iter().map(read_confirmed_run).collect(),
        slowness: from.get_slowness()?.iter().map(read_amount).collect(),
        service_demands: from.get_service_demands()?.iter().map(read_amount).collect(),
        splits: from.get_splits()?.iter().map(read_service_split).collect::<Result<_>>()?,
        paces: from.get_paces()?.iter().map(read_pace).collect(),
        refusals: from.get_refusals()?.iter().map(read_amount).collect(),
    })
}

fn read_service_split(from: wire::service_split::Reader<'_>) -> Result<ServiceSplit> {
    let regions = from.get_regions()?.iter().map(read_amount).collect();
    Ok(ServiceSplit { service_hash: from.get_service(), regions })
}

fn read_pace(from: wire::stated_pace::Reader<'_>) -> StatedPace {
    StatedPace { backend_hash: from.get_backend(), percent: from.get_percent(), age_ms: from.get_age_ms() }
}

fn read_leaving_run(from: wire::leaving_run::Reader<'_>) -> LeavingRun {
    LeavingRun { run_hash: from.get_run(), age_ms: from.get_age_ms() }
}

fn read_confirmed_run(from: wire::confirmed_run::Reader<'_>) -> ConfirmedRun {
    ConfirmedRun { run_hash: from.get_run(), revision: from.get_revision(), age_ms: from.get_age_ms() }
}

fn read_store_record(from: wire::store_record::Reader<'_>) -> Result<StoreRecord> {
    Ok(StoreRecord {
        key: read_string(from.get_key()?)?,
        value: if from.get_deleted() { None } else { Some(from.get_value()?.to_vec()) },
        is_compressed: from.get_packed(),
        revision: from.get_revision(),
    })
}

fn write_amounts(amounts: &[HashedAmount], mut to: capnp::struct_list::Builder<'_, wire::tally::Owned>) {
    for (ix, hashed) in (0..).zip(amounts) {
        let mut to = to.reborrow().get(ix);
        to.set_hash(hashed.hash);
        to.set_amount(hashed.amount);
    }
}

fn read_amount(from: wire::tally::Reader<'_>) -> HashedAmount {
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

pub fn write_relayed_request(req: &RelayedRequest, mut to: wire::relayed_request::Builder<'_>) {
    to.set_organisation(&req.organisation);
    to.set_method(&req.method);
    to.set_target(&req.target);
    to.set_host(&req.host);
    to.set_body(&req.body);
    to.set_idempotency_key(&req.idempotency_key);
    to.set_remaining_ms(req.remaining_ms);
    to.set_traceparent(&req.traceparent);
    to.set_request_id(&req.request_id);
    write_incarnation(&req.owner, to.reborrow().init_owner());
    write_headers(&req.headers, to.init_headers(list_len(&req.headers)));
}

pub fn read_relayed_request(from: wire::relayed_request::Reader<'_>) -> Result<RelayedRequest> {
    Ok(RelayedRequest {
        organisation: read_string(from.get_organisation()?)?,
        method: read_string(from.get_method()?)?,
        target: read_string(from.get_target()?)?,
        host: read_string(from.get_host()?)?,
        headers: read_headers(from.get_headers()?)?,
        body: from.get_body()?.to_vec(),
        idempotency_key: read_string(from.get_idempotency_key()?)?,
        remaining_ms: from.get_remaining_ms(),
        traceparent: read_string(from.get_traceparent()?)?,
        request_id: read_string(from.get_request_id()?)?,
        owner: read_incarnation(from.get_owner()?)?,
    })
}

pub fn write_relay_result(
    result: &std::result::Result<BufferedResponse, Error>,
    to: wire::relayed_answer::Builder<'_>,
) {
    match result {
        Ok(response) => write_response(response, to.init_answer()),
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
        wire::relayed_answer::Answer(response) => Ok(Ok(read_response(response?)?)),
        wire::relayed_answer::Refusal(refusal) => {
            let refusal = refusal?;
            let kind = error_kind(read_str(refusal.get_kind()?)?);
            Ok(Err(Error::new(kind, read_string(refusal.get_detail()?)?)))
        }
    }
}

pub fn write_handover_record(record: &HandoverRecord, mut to: wire::once_record::Builder<'_>) {
    to.set_key(&record.key);
    to.set_fingerprint(record.fingerprint);
    to.set_age_ms(record.age_ms);
    match &record.response {
        Some(response) => write_response(response, to.init_finished()),
        None => to.set_unknown(()),
    }
}

pub fn read_handover_record(from: wire::once_record::Reader<'_>) -> Result<HandoverRecord> {
    let key = from
        .get_key()?
        .try_into()
        .map_err(|_length| WireError::failed("the hash of an idempotency key must have 16 bytes".into()))?;
    let response = match from.which()? {
        wire::once_record::Unknown(()) => None,
        wire::once_record::Finished(response) => Some(read_response(response?)?),
    };
    Ok(HandoverRecord { key, fingerprint: from.get_fingerprint(), age_ms: from.get_age_ms(), response })
}

fn write_response(response: &BufferedResponse, mut to: wire::whole_answer::Builder<'_>) {
    to.set_status(response.status);
    to.set_body(&response.body);
    write_headers(&response.headers, to.init_headers(list_len(&response.headers)));
}

fn read_response(from: wire::whole_answer::Reader<'_>) -> Result<BufferedResponse> {
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
    let header = |h: wire::header::Reader<'_>| Ok((read_string(h.get_name()?)?, h.get_value()?.to_vec()));
    from.iter().map(header).collect()
}

// An unknown kind comes from a newer version of the program, so it is uncertain whether the request ran.
fn error_kind(name: &str) -> ErrorKind {
    ErrorKind::ALL.into_iter().find(|kind| kind.as_str() == name).unwrap_or(ErrorKind::Internal)
}

pub fn read_str(text: text::Reader<'_>) -> Result<&str> {
    text.to_str().map_err(|e| WireError::failed(e.to_string()))
}

pub fn read_string(text: text::Reader<'_>) -> Result<String> {
    read_str(text).map(str::to_owned)
}

pub fn list_len<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

fn malformed(e: &Error) -> WireError {
    WireError::failed(e.to_string())
}
