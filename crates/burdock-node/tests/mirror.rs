//! Store changes that one instance relays to others.

use std::time::Duration;

use burdock_decide::time::Time;
use burdock_node::site::mirror::{MAX_RELAY_AGE, StoreMirror, unpack_records};
use burdock_platform::kv::{Record, Records};
use googletest::prelude::*;

fn record(key: &str, value: &[u8], revision: u64) -> Record {
    Record { key: key.to_owned(), value: Some(value.to_vec()), revision }
}

fn mirror_at(revision: u64) -> StoreMirror {
    let mirror = StoreMirror::default();
    mirror.apply_snapshot(Records { records: Vec::new(), revision }, Time::from_millis(1000), |_| {});
    mirror
}

fn apply_changes(mirror: &StoreMirror, from: u64, records: Vec<Record>, revision: u64) -> Option<Vec<u64>> {
    let mut applied = Vec::new();
    let is_applied =
        mirror.apply_changes(from, Records { records, revision }, Time::from_millis(2000), |fresh| {
            applied.extend(fresh.iter().map(|r| r.revision));
        });
    is_applied.then_some(applied)
}

#[gtest]
fn change_received_twice_is_applied_once() {
    let mirror = mirror_at(5);
    let (one, two) = (record("a", b"1", 6), record("a", b"2", 7));
    expect_that!(apply_changes(&mirror, 5, vec![one.clone(), two.clone()], 7), some(eq(&vec![6, 7])));
    // A slower source sends the same changes again: the older value must not return.
    expect_that!(apply_changes(&mirror, 5, vec![one, two], 7), some(is_empty()));
    expect_that!(mirror.revision(), some(eq(7)));
}

#[gtest]
fn changes_after_a_revision_gap_are_rejected() {
    let mirror = mirror_at(5);
    expect_that!(apply_changes(&mirror, 8, vec![record("a", b"1", 9)], 9), none());
    expect_that!(apply_changes(&StoreMirror::default(), 0, vec![record("a", b"1", 9)], 9), none());
}

#[gtest]
fn delta_from_before_the_first_read_is_a_snapshot() {
    let mirror = mirror_at(5);
    apply_changes(&mirror, 5, vec![record("a", b"1", 6)], 6);
    let now = Time::from_millis(2300);
    let delta = mirror.changes_since(5, true, now);
    expect_that!((delta.is_complete, delta.changes.len(), delta.revision), eq((true, 1, 6)));
    expect_that!(delta.confirmed_age_ms, some(eq(300)));
    let snapshot = mirror.changes_since(4, true, now);
    expect_that!((snapshot.is_complete, snapshot.is_snapshot, snapshot.revision), eq((true, true, 6)));
    expect_that!(unpack_records(snapshot).unwrap().records, eq(&vec![record("a", b"1", 6)]));
    expect_that!(StoreMirror::default().changes_since(0, true, now).is_complete, eq(false));
    expect_that!(mirror.changes_since(6, true, now).changes.len(), eq(0));
}

// Guards against a large configuration that arrives too late: one of 1,500 routes went to thirty instances
// over one slow link.
#[gtest]
fn large_value_is_compressed_in_a_delta_and_restored() {
    let mirror = mirror_at(5);
    let large = "{\"route\":\"name-of-a-route\"}".repeat(10_000).into_bytes();
    apply_changes(&mirror, 5, vec![record("a", &large, 6), Record { value: None, ..record("b", b"", 7) }], 7);
    let delta = mirror.changes_since(5, true, Time::from_millis(2000));
    expect_that!(delta.packed_changes.as_ref().map_or(0, |p| p.len()), all!(gt(0), lt(large.len() / 10)));
    let records = unpack_records(delta).unwrap().records;
    expect_that!(records[0].value.as_deref(), some(eq(large.as_slice())));
    expect_that!(records[1].value, none());
}

#[gtest]
fn delta_holds_only_the_newest_change_of_a_key() {
    let mirror = mirror_at(0);
    for revision in 1..=2000 {
        apply_changes(&mirror, revision - 1, vec![record("a", b"1", revision)], revision);
    }
    for from in [0, 1990, 1999] {
        let delta = mirror.changes_since(from, true, Time::from_millis(2000));
        expect_that!((delta.is_complete, delta.is_snapshot), eq((true, false)));
        expect_that!(unpack_records(delta).unwrap().records, eq(&vec![record("a", b"1", 2000)]));
    }
}

#[gtest]
fn delta_tells_deletions_until_they_are_too_many_and_is_a_snapshot_then() {
    let mirror = mirror_at(0);
    apply_changes(&mirror, 0, vec![record("stays", b"1", 1)], 1);
    for revision in 2..=1500 {
        let deleted = Record { value: None, ..record(&format!("gone-{revision}"), b"", revision) };
        apply_changes(&mirror, revision - 1, vec![deleted], revision);
    }
    let now = Time::from_millis(2000);
    let delta = mirror.changes_since(1400, true, now);
    expect_that!(delta.is_snapshot, eq(false));
    expect_that!(unpack_records(delta).unwrap().records.len(), eq(100));
    let snapshot = mirror.changes_since(10, true, now);
    expect_that!(snapshot.is_snapshot, eq(true));
    expect_that!(unpack_records(snapshot).unwrap().records, eq(&vec![record("stays", b"1", 1)]));
}

#[gtest]
fn snapshot_that_is_older_than_the_state_changes_nothing() {
    let mirror = mirror_at(7);
    let older = Records { records: vec![record("a", b"1", 3)], revision: 6 };
    expect_that!(mirror.apply_snapshot(older, Time::from_millis(1500), |_| panic!("applied")), eq(false));
    expect_that!(mirror.revision(), some(eq(7)));
}

#[gtest]
fn mirror_is_stale_after_the_maximum_relay_age() {
    let mirror = mirror_at(1);
    expect_that!(mirror.is_fresh(Time::from_millis(1000)), eq(true));
    expect_that!(
        mirror.is_fresh(Time::from_millis(1000) + MAX_RELAY_AGE + Duration::from_millis(1)),
        eq(false)
    );
}

// An instance of the version before reads neither packed changes nor snapshots, and would take their absence for
// no changes.
#[gtest]
fn instance_of_an_earlier_version_gets_plain_changes() {
    let mirror = mirror_at(5);
    let large = "{\"route\":\"name-of-a-route\"}".repeat(1000).into_bytes();
    apply_changes(&mirror, 5, vec![record("a", &large, 6)], 6);
    let now = Time::from_millis(2000);
    let delta = mirror.changes_since(5, false, now);
    expect_that!(
        (delta.is_complete, delta.changes.len(), delta.packed_changes.is_none()),
        eq((true, 1, true))
    );
    let too_old = mirror.changes_since(4, false, now);
    expect_that!((too_old.is_complete, too_old.is_snapshot), eq((false, false)));
}
