//! Bad trees, bad blocks, and what inheritance makes of good ones.

use burdock_model::blocks::BlockTable;
use burdock_model::manifest::{MAX_BLOB_BYTES, split_tree};
use burdock_model::prelude::*;
use burdock_model::treepath::{Edit, apply};
use googletest::prelude::*;
use serde_json::{Value, json};

fn refused(tree: &Value) -> String {
    let e = Tree::from_value(tree).unwrap_err();
    assert_eq!(e.kind, ErrorKind::InvalidTree);
    e.to_string()
}

fn with_service(organisation: &Value) -> Value {
    json!({
        "services": {"valves": {
            "backends": {"v1": {"address": "127.0.0.1:9000", "region": "riga", "zone": "riga-a"}},
            "routes": {"commands": {"prefix": "/valves/"}, "public": {"prefix": "/public/", "open": true}},
        }},
        "organisations": {"small": organisation},
    })
}

#[gtest]
fn an_unknown_setting_is_named_with_its_place_and_a_near_match() {
    let message = refused(&json!({"organisations": {"small": {"settings": {"timout": "1s"}}}}));
    expect_that!(message, contains_substring("organisations.small.settings"));
    expect_that!(message, contains_substring("did you mean `timeout`?"));
}

#[gtest]
fn a_wrong_unit_is_told_with_what_is_allowed() {
    let message = refused(&json!({"settings": {"rate": "100 apples"}}));
    expect_that!(message, contains_substring("settings.rate: found `100 apples`"));
    expect_that!(message, contains_substring("100/s"));
    expect_that!(refused(&json!({"settings": {"timeout": "5"}})), contains_substring("250ms"));
    expect_that!(refused(&json!({"settings": {"body_limit": "4"}})), contains_substring("4MiB"));
}

#[gtest]
fn two_levels_that_contradict_are_both_named() {
    let organisation = json!({
        "settings": {"timeout": "1s"},
        "services": {"valves": {"settings": {"hedge_after": "2s"}}},
    });
    let message = refused(&with_service(&organisation));
    expect_that!(message, contains_substring("hedge_after 2s (set at Service)"));
    expect_that!(message, contains_substring("timeout 1s (set at Organisation)"));
}

#[gtest]
fn settings_at_a_wrong_level_and_overrides_of_open_routes_are_refused() {
    let rate = json!({"services": {"valves": {"settings": {"rate": "1/s"}}}});
    expect_that!(refused(&with_service(&rate)), contains_substring("wrong level"));
    let open = json!({"services": {"valves": {"routes": {"public": {"settings": {"retries": 0}}}}}});
    expect_that!(refused(&with_service(&open)), contains_substring("opens this route to all"));
    let unknown = json!({"services": {"quotes": {}}});
    expect_that!(refused(&with_service(&unknown)), contains_substring("no such service"));
}

#[gtest]
fn what_stands_twice_is_refused() {
    let twice = json!({"services": {
        "a": {"routes": {"x": {"prefix": "/x/"}}},
        "b": {"routes": {"y": {"prefix": "/x/"}}},
    }});
    expect_that!(refused(&twice), contains_substring("stands twice"));
    let key = json!({"keys": {"k1": {"hash": "0".repeat(64)}}});
    let shared = json!({"organisations": {"a": key, "b": key}});
    expect_that!(refused(&shared), contains_substring("`a` has a key with this id"));
    let short = json!({"organisations": {"a": {"keys": {"k1": {"hash": "00"}}}}});
    expect_that!(refused(&short), contains_substring("64 hexadecimal digits"));
}

#[gtest]
fn a_part_over_the_stores_limit_is_refused_by_name() {
    let keys: serde_json::Map<String, Value> =
        (0..12_000).map(|n| (format!("k{n}"), json!({"hash": "0".repeat(64)}))).collect();
    let e = split_tree(&json!({"organisations": {"large": {"keys": keys}}})).unwrap_err();
    expect_that!(e.kind, eq(ErrorKind::TooLarge));
    expect_that!(e.detail, contains_substring("organisations/large"));
    expect_that!(e.detail, contains_substring(MAX_BLOB_BYTES.to_string()));
}

#[gtest]
fn the_longest_prefix_and_a_named_host_win() {
    let tree = json!({"services": {"a": {"routes": {
        "all": {"prefix": "/"},
        "long": {"prefix": "/quotes/large/"},
        "host": {"prefix": "/quotes/", "host": "desk.example"},
    }}}});
    let snapshot =
        Snapshot::new(Revision(1), Tree::from_value(&tree).unwrap(), std::sync::Arc::default()).unwrap();
    let name = |host, path| snapshot.routes[snapshot.route(host, path).unwrap()].name.to_string();
    expect_that!(name(None, "/quotes/large/1"), eq("long"));
    expect_that!(name(Some("desk.example"), "/quotes/1"), eq("host"));
    expect_that!(name(Some("other.example"), "/quotes/1"), eq("all"));
}

#[gtest]
fn a_key_serves_its_own_organisation_until_it_is_withdrawn() {
    let id = KeyId::new("k1").unwrap();
    let hash = hex_of(&burdock_model::key::hash_secret(&[7; 32]));
    let tree = json!({"organisations": {"a": {"keys": {"k1": {"hash": hash}}}, "b": {}}});
    let text = burdock_model::key::format_key(&id, &[7; 32]);
    let snapshot = |tree: &Value| {
        Snapshot::new(Revision(1), Tree::from_value(tree).unwrap(), std::sync::Arc::default()).unwrap()
    };
    let with = snapshot(&tree);
    expect_that!(
        with.organisation_of(&text).map(|ix| with.organisations[ix].name.to_string()),
        some(eq("a"))
    );
    let withdrawn = apply(&tree, "organisations/a/keys/k1", &Edit::Delete).unwrap();
    expect_that!(snapshot(&withdrawn).organisation_of(&text), none());
}

#[gtest]
fn bad_blocks_are_refused_with_their_place() {
    let refused = |text: &str| BlockTable::parse([text]).unwrap_err().to_string();
    expect_that!(refused(""), contains_substring("found no block"));
    expect_that!(refused("10.0.0.0/8 riga\n10.0.0.0/99 riga\n"), contains_substring("line 2"));
    expect_that!(refused("10.0.0.0/8"), contains_substring("prefix region"));
    let many = BlockTable::parse_with_limit(1, ["10.0.0.0/8 riga\n11.0.0.0/8 riga\n"]).unwrap_err();
    expect_that!(many.kind, eq(ErrorKind::TooLarge));
    expect_that!(many.to_string(), contains_substring("merge neighbouring blocks"));
    let overlap = refused("10.0.0.0/8 riga\n10.0.0.0/8 jelgava\n");
    expect_that!(overlap, contains_substring("`riga` and to `jelgava`"));
}

#[gtest]
fn every_error_kind_has_its_own_name_and_a_true_answer() {
    let mut names: Vec<String> = ErrorKind::ALL.iter().map(|k| k.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    expect_that!(names.len(), eq(ErrorKind::ALL.len()));
    for kind in ErrorKind::ALL {
        expect_that!(kind.answer().status, all![ge(400), lt(600)]);
    }
}

fn hex_of(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
