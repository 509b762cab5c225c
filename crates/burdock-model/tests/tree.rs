//! Errors of invalid trees and client blocks, and look-ups in snapshots of valid trees.

use burdock_model::blocks::BlockTable;
use burdock_model::manifest::{MAX_BLOB_BYTES, split_tree};
use burdock_model::prelude::*;
use burdock_model::settings::{Level, LevelSettings, ResolvedSettings};
use burdock_model::treepath::{Edit, apply};
use googletest::prelude::*;
use serde_json::{Value, json};

fn tree_error(tree: &Value) -> String {
    let e = Tree::from_value(tree).unwrap_err();
    assert_eq!(e.kind, ErrorKind::InvalidTree);
    e.to_string()
}

fn tree_with_organisation(organisation: &Value) -> Value {
    json!({
        "services": {"valves": {
            "backends": {"v1": {"address": "127.0.0.1:9000", "region": "riga", "zone": "riga-a"}},
            "routes": {"commands": {"prefix": "/valves/"}, "public": {"prefix": "/public/", "open": true}},
        }},
        "organisations": {"small": organisation},
    })
}

#[gtest]
fn unknown_setting_is_reported_with_its_path_and_a_similar_name() {
    let message = tree_error(&json!({"organisations": {"small": {"settings": {"timout": "1s"}}}}));
    expect_that!(message, contains_substring("organisations.small.settings"));
    expect_that!(message, contains_substring("did you mean `timeout`?"));
}

#[gtest]
fn wrong_unit_is_reported_with_the_expected_form() {
    let message = tree_error(&json!({"settings": {"rate": "100 apples"}}));
    expect_that!(message, contains_substring("settings.rate: invalid value `100 apples`"));
    expect_that!(message, contains_substring("100/s"));
    expect_that!(tree_error(&json!({"settings": {"timeout": "5"}})), contains_substring("250ms"));
    expect_that!(tree_error(&json!({"settings": {"body_limit": "4"}})), contains_substring("4MiB"));
}

#[gtest]
fn conflicting_settings_are_reported_with_both_levels() {
    let organisation = json!({
        "settings": {"timeout": "1s"},
        "services": {"valves": {"settings": {"hedge_after": "2s"}}},
    });
    let message = tree_error(&tree_with_organisation(&organisation));
    expect_that!(message, contains_substring("hedge_after 2s (set at Service)"));
    expect_that!(message, contains_substring("timeout 1s (set at Organisation)"));
}

#[gtest]
fn settings_at_a_wrong_level_and_overrides_of_open_routes_are_rejected() {
    let rate = json!({"services": {"valves": {"settings": {"rate": "1/s"}}}});
    expect_that!(tree_error(&tree_with_organisation(&rate)), contains_substring("wrong level"));
    let open = json!({"services": {"valves": {"routes": {"public": {"settings": {"retries": 0}}}}}});
    expect_that!(tree_error(&tree_with_organisation(&open)), contains_substring("opens this route to all"));
    let unknown = json!({"services": {"quotes": {}}});
    expect_that!(tree_error(&tree_with_organisation(&unknown)), contains_substring("no such service"));
}

#[gtest]
fn duplicate_prefixes_and_keys_and_malformed_key_hashes_are_rejected() {
    let duplicate_prefix = json!({"services": {
        "a": {"routes": {"x": {"prefix": "/x/"}}},
        "b": {"routes": {"y": {"prefix": "/x/"}}},
    }});
    expect_that!(
        tree_error(&duplicate_prefix),
        contains_substring("prefix `/x/` is used twice for the same host")
    );
    let key = json!({"keys": {"k1": {"hash": "0".repeat(64)}}});
    let shared_key_id = json!({"organisations": {"a": key, "b": key}});
    expect_that!(tree_error(&shared_key_id), contains_substring("`a` has a key with this id"));
    let short_hash = json!({"organisations": {"a": {"keys": {"k1": {"hash": "00"}}}}});
    expect_that!(tree_error(&short_hash), contains_substring("64 hexadecimal digits"));
}

#[gtest]
fn blob_over_the_size_limit_is_rejected_with_its_name() {
    let keys: serde_json::Map<String, Value> =
        (0..12_000).map(|n| (format!("k{n}"), json!({"hash": "0".repeat(64)}))).collect();
    let e = split_tree(&json!({"organisations": {"large": {"keys": keys}}})).unwrap_err();
    expect_that!(e.kind, eq(ErrorKind::TooLarge));
    expect_that!(e.detail, contains_substring("organisations/large"));
    expect_that!(e.detail, contains_substring(MAX_BLOB_BYTES.to_string()));
}

#[gtest]
fn route_with_the_host_and_then_the_longest_prefix_is_selected() {
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
fn key_belongs_to_its_organisation_until_it_is_withdrawn() {
    let id = KeyId::new("k1").unwrap();
    let hash = to_hex(&burdock_model::key::hash_secret(&[7; 32]));
    let tree = json!({"organisations": {"a": {"keys": {"k1": {"hash": hash}}}, "b": {}}});
    let text = burdock_model::key::format_key(&id, &[7; 32]);
    let snapshot = |tree: &Value| {
        Snapshot::new(Revision(1), Tree::from_value(tree).unwrap(), std::sync::Arc::default()).unwrap()
    };
    let with_key = snapshot(&tree);
    expect_that!(
        with_key.organisation_of(&text).map(|ix| with_key.organisations[ix].name.to_string()),
        some(eq("a"))
    );
    let without_key = apply(&tree, "organisations/a/keys/k1", &Edit::Delete).unwrap();
    expect_that!(snapshot(&without_key).organisation_of(&text), none());
}

#[gtest]
fn malformed_blocks_are_rejected_with_their_line() {
    let block_error = |text: &str| BlockTable::parse([text]).unwrap_err().to_string();
    expect_that!(block_error(""), contains_substring("chunk contains no block"));
    expect_that!(block_error("10.0.0.0/8 riga\n10.0.0.0/99 riga\n"), contains_substring("line 2"));
    expect_that!(block_error("10.0.0.0/8"), contains_substring("prefix region"));
    let too_many = BlockTable::parse_with_limit(1, ["10.0.0.0/8 riga\n11.0.0.0/8 riga\n"]).unwrap_err();
    expect_that!(too_many.kind, eq(ErrorKind::TooLarge));
    expect_that!(too_many.to_string(), contains_substring("merge neighbouring blocks"));
    let overlap = block_error("10.0.0.0/8 riga\n10.0.0.0/8 jelgava\n");
    expect_that!(overlap, contains_substring("both `riga` and `jelgava`"));
}

#[gtest]
fn every_error_kind_has_a_unique_name_and_an_error_status() {
    let mut names: Vec<String> = ErrorKind::ALL.iter().map(|k| k.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    expect_that!(names.len(), eq(ErrorKind::ALL.len()));
    for kind in ErrorKind::ALL {
        expect_that!(kind.answer().status, all![ge(400), lt(600)]);
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[gtest]
fn hedge_limit_is_inherited_checked_and_implied_by_a_fixed_delay() {
    let too_high = json!({"settings": {"hedge_limit": 0.25}});
    expect_that!(tree_error(&tree_with_organisation(&too_high)), contains_substring("between 0 and 0.2"));
    let text = json!({"settings": {"hedge_limit": "much"}});
    expect_that!(tree_error(&tree_with_organisation(&text)), contains_substring("expected f64"));
    let limit_of = |settings: Value| {
        let level = serde_json::from_value::<LevelSettings>(settings).unwrap();
        ResolvedSettings::default().overlay(&level, Level::Fleet).effective_hedge_limit().share()
    };
    expect_that!(limit_of(json!({})), eq(0.0));
    expect_that!(limit_of(json!({"hedge_limit": 0.05})), eq(0.05));
    expect_that!(limit_of(json!({"hedge_after": "1s"})), eq(0.1));
    expect_that!(limit_of(json!({"hedge_after": "1s", "hedge_limit": 0})), eq(0.0));
}
