//! Store changes that one instance relays to others.

use std::time::Duration;

use burdock_decide::time::Time;
use burdock_model::store_position::StorePosition;
use burdock_node::site::mirror::{MAX_RELAY_AGE, StoreMirror, unpack_records};
use burdock_platform::kv::{Record, Records};
use burdock_wire::messages::StoreDelta;
use googletest::prelude::*;

fn record(key: &str, value: &[u8], revision: u64) -> Record {
    Record { key: key.to_owned(), value: Some(value.to_vec()), revision }
}

const fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

// What an instance asks for that knows the first era up to a revision.
fn asked(revision: u64, accepts_packed: bool) -> StoreDelta {
    StoreDelta { revision, era: Some(0), accepts_packed, ..StoreDelta::default() }
}

fn mirror_at(revision: u64) -> StoreMirror {
    let mirror = StoreMirror::default();
    apply_snapshot(&mirror, Vec::new(), position(0, revision));
    mirror
}

// Returns the state before the era if it is a new one, `None` if the snapshot is rejected.
fn apply_snapshot(
    mirror: &StoreMirror,
    records: Vec<Record>,
    position: StorePosition,
) -> Option<Option<StorePosition>> {
    let mut before = None;
    let is_applied =
        mirror
            .apply_snapshot(Records { records, position }, Time::from_millis(1000), |_, last| before = last);
    is_applied.then_some(before)
}

fn apply_changes(mirror: &StoreMirror, from: u64, records: Vec<Record>, revision: u64) -> Option<Vec<u64>> {
    let mut applied = Vec::new();
    let records = Records { records, position: position(0, revision) };
    let is_applied = mirror.apply_changes(position(0, from), records, Time::from_millis(2000), |fresh| {
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
    expect_that!(mirror.position(), some(eq(position(0, 7))));
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
    let delta = mirror.changes_since(&asked(5, true), now);
    expect_that!((delta.is_complete, delta.changes.len(), delta.revision), eq((true, 1, 6)));
    expect_that!(delta.confirmed_age_ms, some(eq(300)));
    let snapshot = mirror.changes_since(&asked(4, true), now);
    expect_that!((snapshot.is_complete, snapshot.is_snapshot, snapshot.revision), eq((true, true, 6)));
    expect_that!(unpack_records(snapshot, 0).unwrap().records, eq(&vec![record("a", b"1", 6)]));
    expect_that!(StoreMirror::default().changes_since(&asked(0, true), now).is_complete, eq(false));
    expect_that!(mirror.changes_since(&asked(6, true), now).changes.len(), eq(0));
}

// Guards against a large configuration that arrives too late: one of 1,500 routes went to thirty instances
// over one slow link.
#[gtest]
fn large_value_is_compressed_in_a_delta_and_restored() {
    let mirror = mirror_at(5);
    let large = "{\"route\":\"name-of-a-route\"}".repeat(10_000).into_bytes();
    apply_changes(&mirror, 5, vec![record("a", &large, 6), Record { value: None, ..record("b", b"", 7) }], 7);
    let delta = mirror.changes_since(&asked(5, true), Time::from_millis(2000));
    expect_that!(delta.packed_changes.as_ref().map_or(0, |p| p.len()), all!(gt(0), lt(large.len() / 10)));
    let records = unpack_records(delta, 0).unwrap().records;
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
        let delta = mirror.changes_since(&asked(from, true), Time::from_millis(2000));
        expect_that!((delta.is_complete, delta.is_snapshot), eq((true, false)));
        expect_that!(unpack_records(delta, 0).unwrap().records, eq(&vec![record("a", b"1", 2000)]));
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
    let delta = mirror.changes_since(&asked(1400, true), now);
    expect_that!(delta.is_snapshot, eq(false));
    expect_that!(unpack_records(delta, 0).unwrap().records.len(), eq(100));
    let snapshot = mirror.changes_since(&asked(10, true), now);
    expect_that!(snapshot.is_snapshot, eq(true));
    expect_that!(unpack_records(snapshot, 0).unwrap().records, eq(&vec![record("stays", b"1", 1)]));
}

#[gtest]
fn snapshot_that_is_older_than_the_state_changes_nothing() {
    let mirror = mirror_at(7);
    let older = Records { records: vec![record("a", b"1", 3)], position: position(0, 6) };
    expect_that!(mirror.apply_snapshot(older, Time::from_millis(1500), |_, _| panic!("applied")), eq(false));
    expect_that!(mirror.position(), some(eq(position(0, 7))));
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
    let delta = mirror.changes_since(&asked(5, false), now);
    expect_that!(
        (delta.is_complete, delta.changes.len(), delta.packed_changes.is_none()),
        eq((true, 1, true))
    );
    let too_old = mirror.changes_since(&asked(4, false), now);
    expect_that!((too_old.is_complete, too_old.is_snapshot), eq((false, false)));
}

// Guards against records of two eras in one mirror, and against going back to an earlier one.
#[gtest]
fn state_of_a_new_era_replaces_the_one_before_and_none_of_an_earlier_era_is_taken() {
    let mirror = mirror_at(50);
    // The copy is older, so its revision is lower.
    let copied = vec![record("a", b"copied", 40)];
    expect_that!(apply_snapshot(&mirror, copied.clone(), position(1, 40)), some(some(eq(position(0, 50)))));
    expect_that!(mirror.position(), some(eq(position(1, 40))));
    // Changes and snapshots of the era before, which another source still relays.
    expect_that!(apply_changes(&mirror, 40, vec![record("a", b"old", 51)], 51), none());
    expect_that!(apply_snapshot(&mirror, Vec::new(), position(0, 60)), none());
    mirror.invalidate();
    expect_that!(apply_snapshot(&mirror, Vec::new(), position(0, 60)), none());
    expect_that!(apply_snapshot(&mirror, copied, position(1, 41)), some(none()));
    expect_that!(mirror.has_changed_era(), eq(true));
}

// Guards against taking a revision that was given out again for the one that an instance knows.
#[gtest]
fn instance_of_an_earlier_era_gets_a_snapshot_whatever_its_revision() {
    let mirror = mirror_at(50);
    apply_snapshot(&mirror, vec![record("a", b"copied", 40)], position(1, 40));
    let now = Time::from_millis(1500);
    for revision in [30, 40, 50] {
        let delta = mirror.changes_since(&asked(revision, true), now);
        expect_that!((delta.is_complete, delta.is_snapshot, delta.era), eq((true, true, Some(1))));
        expect_that!(unpack_records(delta, 1).unwrap().records, eq(&vec![record("a", b"copied", 40)]));
    }
    // One that is ahead gets nothing, and one of a version without eras must ask the store.
    let ahead = StoreDelta { era: Some(2), ..asked(10, true) };
    expect_that!(mirror.changes_since(&ahead, now).is_complete, eq(false));
    let unknown = StoreDelta { era: None, ..asked(40, true) };
    expect_that!(mirror.changes_since(&unknown, now).is_complete, eq(false));
    let same_era = StoreDelta { era: None, ..asked(5, true) };
    expect_that!(mirror_at(5).changes_since(&same_era, now).is_complete, eq(true));
}

// Guards against an instance that learns of an entry that was written again, and not of the removal before it.
#[gtest]
fn removal_of_a_backend_entry_is_relayed_with_the_entry_that_follows() {
    let deletion = |key: &str, revision| Record { key: key.to_owned(), value: None, revision };
    let mirror = mirror_at(5);
    let records = vec![
        record("servers/a", b"1", 6),
        deletion("servers/a", 7),
        record("servers/a", b"2", 8),
        record("op/b", b"1", 9),
        deletion("op/b", 10),
        record("op/b", b"2", 11),
    ];
    apply_changes(&mirror, 5, records, 11);
    let relayed = |from| {
        let changes = mirror.changes_since(&asked(from, false), Time::from_millis(2000)).changes;
        changes.into_iter().map(|r| (r.key, r.revision)).collect::<Vec<_>>()
    };
    let (a, b) = ("servers/a".to_owned(), "op/b".to_owned());
    expect_that!(relayed(5), eq(&vec![(a.clone(), 7), (a.clone(), 8), (b.clone(), 11)]));
    expect_that!(relayed(7), eq(&vec![(a.clone(), 8), (b, 11)]));
    // A second removal replaces the entry, and the first one stays known.
    apply_changes(&mirror, 11, vec![deletion("servers/a", 12)], 12);
    expect_that!(relayed(11), eq(&vec![(a, 12)]));
}
