//! The share records applied at this instance, and their stored form.

use std::collections::BTreeMap;

use burdock_decide::shares::ShareRecord;
use burdock_decide::time::Time;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::hash::stable_hash;
use burdock_model::ids::{InstanceIncarnation, OrganisationName};
use burdock_wire::messages::{PeerAddress, ShareBucket};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::limits::ShareHolder;
use crate::node::Node;

/// Number of buckets that organisations are hashed into; each is one value in the store.
pub const BUCKET_COUNT: u32 = 16;

/// Prefix of the store keys of the buckets.
pub const SHARES_PREFIX: &str = "fleet/shares/";

/// Stored form of the records of one bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredBucket {
    /// Records by organisation.
    pub organisations: BTreeMap<OrganisationName, StoredRecord>,
}

/// Stored form of a share record. Holders are written as `instance/incarnation`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Version of the record, incremented by each write.
    pub version: u64,
    /// Current share of each holder.
    pub present: BTreeMap<String, u64>,
    /// Target share of each holder.
    pub wanted: BTreeMap<String, u64>,
}

/// The newest version of each bucket that is known here.
#[derive(Debug, Default)]
pub struct ShareRecords {
    buckets: Mutex<BTreeMap<u32, KnownBucket>>,
}

#[derive(Clone, Debug, Default)]
struct KnownBucket {
    version: u64,
    text: String,
    records: BTreeMap<OrganisationName, (ShareRecord, Time)>,
}

impl ShareRecords {
    /// Stores a bucket if it is newer than the known version. Returns whether it was.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] if the bucket is malformed.
    pub fn apply_bucket(&self, bucket: &ShareBucket, now: Time) -> Result<bool> {
        let mut buckets = self.buckets.lock();
        if buckets.get(&bucket.bucket).is_some_and(|known| known.version >= bucket.version) {
            return Ok(false);
        }
        let parsed = parse_bucket(&bucket.records)?;
        let before = buckets.get(&bucket.bucket).map(|known| &known.records);
        // An unchanged record keeps the time since when it is known.
        let since = |name: &OrganisationName, record: &ShareRecord| {
            let same =
                before.and_then(|known| known.get(name)).filter(|(known, _)| known.version == record.version);
            same.map_or(now, |(_, since)| *since)
        };
        let records = parsed.into_iter().map(|(name, record)| {
            let since = since(&name, &record);
            (name, (record, since))
        });
        let known =
            KnownBucket { version: bucket.version, text: bucket.records.clone(), records: records.collect() };
        buckets.insert(bucket.bucket, known);
        Ok(true)
    }

    /// Returns the record of an organisation.
    #[must_use]
    pub fn record(&self, organisation: &OrganisationName) -> Option<ShareRecord> {
        self.record_with_time(organisation).map(|(record, _)| record)
    }

    /// Returns the record of an organisation, and since when this version of it is known here.
    #[must_use]
    pub fn record_with_time(&self, organisation: &OrganisationName) -> Option<(ShareRecord, Time)> {
        let buckets = self.buckets.lock();
        buckets.get(&bucket_of(organisation))?.records.get(organisation).cloned()
    }

    /// Returns all records of one bucket, each with the time since when it is known here.
    #[must_use]
    pub fn bucket(&self, bucket: u32) -> BTreeMap<OrganisationName, (ShareRecord, Time)> {
        self.buckets.lock().get(&bucket).map(|known| known.records.clone()).unwrap_or_default()
    }

    /// Returns the applied record versions of one bucket, by organisation.
    #[must_use]
    pub fn versions(&self, bucket: u32) -> BTreeMap<OrganisationName, u64> {
        let buckets = self.buckets.lock();
        let records = buckets.get(&bucket).map(|known| &known.records);
        records.into_iter().flatten().map(|(name, (record, _))| (name.clone(), record.version)).collect()
    }

    /// Returns all buckets in their stored form, for other instances.
    #[must_use]
    pub fn all_buckets(&self) -> Vec<ShareBucket> {
        let buckets = self.buckets.lock();
        let bucket = |(bucket, known): (&u32, &KnownBucket)| ShareBucket {
            bucket: *bucket,
            version: known.version,
            records: known.text.clone(),
        };
        buckets.iter().map(bucket).collect()
    }

    /// Returns a hash over the versions of all buckets.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let buckets = self.buckets.lock();
        buckets.iter().fold(0, |hash, (bucket, known)| {
            stable_hash(&known.version.to_le_bytes(), hash ^ stable_hash(&bucket.to_le_bytes(), 6))
        })
    }

    /// Returns the version that a bucket has in the store, as known here; 0 if there is none.
    #[must_use]
    pub fn version(&self, bucket: u32) -> u64 {
        self.buckets.lock().get(&bucket).map_or(0, |known| known.version)
    }
}

/// Returns the bucket of an organisation.
#[must_use]
pub fn bucket_of(organisation: &OrganisationName) -> u32 {
    let hash = stable_hash(organisation.as_str().as_bytes(), 7);
    u32::try_from(hash % u64::from(BUCKET_COUNT)).unwrap_or(0)
}

/// Returns the store key of a bucket.
#[must_use]
pub fn store_key(bucket: u32) -> String {
    format!("{SHARES_PREFIX}{bucket}")
}

/// Parses the stored form of a bucket.
///
/// # Errors
/// [`ErrorKind::Internal`] if it is malformed.
pub fn parse_bucket(text: &str) -> Result<BTreeMap<OrganisationName, ShareRecord>> {
    let malformed =
        |detail: String| Error::new(ErrorKind::Internal, format!("malformed share records: {detail}"));
    let stored: StoredBucket = serde_json::from_str(text).map_err(|e| malformed(e.to_string()))?;
    let parse_shares = |shares: BTreeMap<String, u64>| {
        let parse_holder = |text: &str| {
            InstanceIncarnation::parse(text)
                .ok_or_else(|| malformed(format!("holder `{text}`, expected `instance/incarnation`")))
        };
        shares.into_iter().map(|(text, share)| Ok((parse_holder(&text)?, share))).collect::<Result<_>>()
    };
    let record = |r: StoredRecord| -> Result<ShareRecord> {
        Ok(ShareRecord {
            version: r.version,
            current: parse_shares(r.present)?,
            target: parse_shares(r.wanted)?,
        })
    };
    stored.organisations.into_iter().map(|(name, r)| Ok((name, record(r)?))).collect()
}

/// Encodes the records of a bucket in their stored form.
#[must_use]
pub fn encode_bucket(records: &BTreeMap<OrganisationName, ShareRecord>) -> String {
    let texts = |shares: &BTreeMap<InstanceIncarnation, u64>| {
        shares.iter().map(|(l, s)| (l.to_string(), *s)).collect()
    };
    let stored = |r: &ShareRecord| StoredRecord {
        version: r.version,
        present: texts(&r.current),
        wanted: texts(&r.target),
    };
    let organisations = records.iter().map(|(name, r)| (name.clone(), stored(r))).collect();
    serde_json::to_string(&StoredBucket { organisations }).unwrap_or_default()
}

/// Applies the share records and the configuration to this instance's token buckets.
///
/// A reduced allotment is effective when this returns, so the record's version may be confirmed to the keeper
/// then.
pub fn apply_allotments(node: &Node) {
    let now = node.clock.now();
    let active_config = node.active_config.load();
    let view = node.fleet.view();
    for organisation in &active_config.snapshot.organisations {
        let record = node.limits.records.record(&organisation.name).unwrap_or_default();
        let allotment =
            |holder: &InstanceIncarnation| record.allotment_of(holder, organisation.rate, organisation.burst);
        let others = view
            .entries
            .iter()
            .filter(|e| e.incarnation != node.incarnation && record.current.contains_key(&e.incarnation));
        let holder = |e: &crate::fleet::Entry| ShareHolder {
            peer: PeerAddress { id: e.incarnation.instance.clone(), address: e.peer_address },
            local: e.region == node.settings.region,
            allotment: allotment(&e.incarnation),
        };
        node.limits.set_allotments(
            organisation,
            allotment(&node.incarnation),
            others.map(holder).collect(),
            now,
        );
    }
    node.limits
        .retain_organisations(|name| active_config.snapshot.organisation_named(name.as_str()).is_some());
}
