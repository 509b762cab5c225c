//! The share records in force at this instance, and their form in the store.

use std::collections::BTreeMap;

use burdock_decide::shares::ShareRecord;
use burdock_decide::time::Time;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::hash::stable_hash;
use burdock_model::ids::{InstanceIncarnation, OrganisationName};
use burdock_wire::messages::{PeerAddress, ShareBucket};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::limits::HolderView;
use crate::node::Node;

/// Buckets that organisations fall into; each is one value in the store.
pub const BUCKETS: u32 = 16;

/// Prefix of the records in the store.
pub const SHARES_PREFIX: &str = "fleet/shares/";

/// The records of one bucket as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredBucket {
    /// By organisation.
    pub organisations: BTreeMap<OrganisationName, StoredRecord>,
}

/// One record as stored. Holders are written `instance/incarnation`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Counts up with each write.
    pub version: u64,
    /// Shares at present.
    pub present: BTreeMap<String, u64>,
    /// Shares wanted.
    pub wanted: BTreeMap<String, u64>,
}

/// What this instance holds of the records.
#[derive(Debug, Default)]
pub struct Records {
    buckets: Mutex<BTreeMap<u32, Held>>,
}

#[derive(Clone, Debug, Default)]
struct Held {
    version: u64,
    text: String,
    records: BTreeMap<OrganisationName, (ShareRecord, Time)>,
}

impl Records {
    /// Takes in a bucket if it is newer. Returns whether it was.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when it is malformed.
    pub fn take(&self, bucket: &ShareBucket, now: Time) -> Result<bool> {
        let mut buckets = self.buckets.lock();
        if buckets.get(&bucket.bucket).is_some_and(|held| held.version >= bucket.version) {
            return Ok(false);
        }
        let parsed = parse(&bucket.records)?;
        let before = buckets.get(&bucket.bucket).map(|held| &held.records);
        // A record that did not change keeps the time since when it is known.
        let since = |name: &OrganisationName, record: &ShareRecord| {
            let same =
                before.and_then(|known| known.get(name)).filter(|(known, _)| known.version == record.version);
            same.map_or(now, |(_, since)| *since)
        };
        let records = parsed.into_iter().map(|(name, record)| {
            let since = since(&name, &record);
            (name, (record, since))
        });
        let held = Held { version: bucket.version, text: bucket.records.clone(), records: records.collect() };
        buckets.insert(bucket.bucket, held);
        Ok(true)
    }

    /// The record of an organisation.
    #[must_use]
    pub fn record(&self, organisation: &OrganisationName) -> Option<ShareRecord> {
        self.known(organisation).map(|(record, _)| record)
    }

    /// The record of an organisation, and since when this version of it is known here.
    #[must_use]
    pub fn known(&self, organisation: &OrganisationName) -> Option<(ShareRecord, Time)> {
        let buckets = self.buckets.lock();
        buckets.get(&bucket_of(organisation))?.records.get(organisation).cloned()
    }

    /// All records of one bucket, each with the time since when it is known here.
    #[must_use]
    pub fn bucket(&self, bucket: u32) -> BTreeMap<OrganisationName, (ShareRecord, Time)> {
        self.buckets.lock().get(&bucket).map(|held| held.records.clone()).unwrap_or_default()
    }

    /// The versions acted on in one bucket, by organisation.
    #[must_use]
    pub fn versions(&self, bucket: u32) -> BTreeMap<OrganisationName, u64> {
        let buckets = self.buckets.lock();
        let records = buckets.get(&bucket).map(|held| &held.records);
        records.into_iter().flatten().map(|(name, (record, _))| (name.clone(), record.version)).collect()
    }

    /// All buckets, to be passed on.
    #[must_use]
    pub fn all(&self) -> Vec<ShareBucket> {
        let buckets = self.buckets.lock();
        let bucket = |(bucket, held): (&u32, &Held)| ShareBucket {
            bucket: *bucket,
            version: held.version,
            records: held.text.clone(),
        };
        buckets.iter().map(bucket).collect()
    }

    /// A hash over the versions of all buckets.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let buckets = self.buckets.lock();
        buckets.iter().fold(0, |hash, (bucket, held)| {
            stable_hash(&held.version.to_le_bytes(), hash ^ stable_hash(&bucket.to_le_bytes(), 6))
        })
    }

    /// The store's version of a bucket; 0 for none.
    #[must_use]
    pub fn version(&self, bucket: u32) -> u64 {
        self.buckets.lock().get(&bucket).map_or(0, |held| held.version)
    }
}

/// The bucket that an organisation falls into.
#[must_use]
pub fn bucket_of(organisation: &OrganisationName) -> u32 {
    let hash = stable_hash(organisation.as_str().as_bytes(), 7);
    u32::try_from(hash % u64::from(BUCKETS)).unwrap_or(0)
}

/// The store's key of a bucket.
#[must_use]
pub fn key_of(bucket: u32) -> String {
    format!("{SHARES_PREFIX}{bucket}")
}

/// Reads the records of a bucket.
///
/// # Errors
/// [`ErrorKind::Internal`] when they are malformed.
pub fn parse(text: &str) -> Result<BTreeMap<OrganisationName, ShareRecord>> {
    let malformed = |detail: String| Error::new(ErrorKind::Internal, format!("share records: {detail}"));
    let stored: StoredBucket = serde_json::from_str(text).map_err(|e| malformed(e.to_string()))?;
    let lives = |shares: BTreeMap<String, u64>| {
        let life = |text: &str| {
            InstanceIncarnation::parse(text).ok_or_else(|| malformed(format!("holder `{text}`")))
        };
        shares.into_iter().map(|(text, share)| Ok((life(&text)?, share))).collect::<Result<_>>()
    };
    let record = |r: StoredRecord| -> Result<ShareRecord> {
        Ok(ShareRecord { version: r.version, current: lives(r.present)?, target: lives(r.wanted)? })
    };
    stored.organisations.into_iter().map(|(name, r)| Ok((name, record(r)?))).collect()
}

/// Writes the records of a bucket.
#[must_use]
pub fn write(records: &BTreeMap<OrganisationName, ShareRecord>) -> String {
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

/// Brings this instance's buckets in line with the records and the configuration.
///
/// A smaller allotment is in force when this returns, so the version may be confirmed afterwards.
pub fn apply(node: &Node) {
    let now = node.clock.now();
    let active_config = node.active_config.load();
    let view = node.fleet.view();
    for organisation in &active_config.snapshot.organisations {
        let record = node.limits.records.record(&organisation.name).unwrap_or_default();
        let allotment =
            |life: &InstanceIncarnation| record.allotment_of(life, organisation.rate, organisation.burst);
        let others = view
            .entries
            .iter()
            .filter(|e| e.life != node.incarnation && record.current.contains_key(&e.life));
        let holder = |e: &crate::fleet::Entry| HolderView {
            peer: PeerAddress { id: e.life.instance.clone(), address: e.peer_address },
            local: e.region == node.settings.region,
            allotment: allotment(&e.life),
        };
        node.limits.set(organisation, allotment(&node.incarnation), others.map(holder).collect(), now);
    }
    node.limits.retain(|name| active_config.snapshot.organisation_named(name.as_str()).is_some());
}
