//! Share records that a keeper writes.

use std::collections::BTreeMap;

use burdock_decide::shares::{KeeperAction, ShareRecord};
use burdock_decide::time::Time;
use burdock_model::ids::{Incarnation, InstanceId, InstanceIncarnation, OrganisationName};
use burdock_model::snapshot::Organisation;
use burdock_model::units::Rate;
use burdock_node::limits::keeper::next_records;
use burdock_node::limits::records::{ShareRecords, bucket_of, encode_bucket, parse_bucket};
use burdock_wire::messages::ShareBucket;
use googletest::prelude::*;

fn name(text: &str) -> OrganisationName {
    OrganisationName::new(text).unwrap()
}

fn record(version: u64) -> ShareRecord {
    let incarnation =
        InstanceIncarnation { instance: InstanceId::new("a").unwrap(), incarnation: Incarnation(1) };
    let split = BTreeMap::from([(incarnation, 1_000_000)]);
    ShareRecord { version, current: split.clone(), target: split }
}

#[gtest]
fn keeper_preserves_records_of_unknown_organisations() {
    let current = BTreeMap::from([(name("newer"), (record(3), Time(1)))]);
    let known = Organisation { name: name("known"), rate: Rate::per_second(1), burst: 1, weight: 1 };
    let next = next_records(current, &[&known], |_, _, _| KeeperAction::Write(record(1))).unwrap();
    expect_that!(next.get(&name("newer")), some(eq(&record(3))));
    expect_that!(next.get(&name("known")), some(eq(&record(1))));
}

#[gtest]
fn keeper_writes_no_records_without_a_change() {
    let known = Organisation { name: name("known"), rate: Rate::per_second(1), burst: 1, weight: 1 };
    expect_that!(next_records(BTreeMap::new(), &[&known], |_, _, _| KeeperAction::Wait), none());
}

#[gtest]
fn older_bucket_is_ignored_and_unchanged_record_keeps_its_time() {
    let records = ShareRecords::default();
    let o = name("known");
    let bucket = |version: u64, of: u64| ShareBucket {
        bucket: bucket_of(&o),
        version,
        records: encode_bucket(&BTreeMap::from([(o.clone(), record(of))])),
    };
    expect_that!(records.apply_bucket(&bucket(5, 1), Time(10)).unwrap(), eq(true));
    expect_that!(records.apply_bucket(&bucket(4, 2), Time(20)).unwrap(), eq(false));
    expect_that!(records.apply_bucket(&bucket(6, 1), Time(30)).unwrap(), eq(true));
    expect_that!(records.record_with_time(&o), some(eq(&(record(1), Time(10)))));
    expect_that!(records.apply_bucket(&bucket(7, 2), Time(40)).unwrap(), eq(true));
    expect_that!(records.record_with_time(&o), some(eq(&(record(2), Time(40)))));
}

#[gtest]
fn written_share_records_parse_back_unchanged() {
    let records = BTreeMap::from([(name("known"), record(9))]);
    expect_that!(parse_bucket(&encode_bucket(&records)).unwrap(), eq(&records));
}
