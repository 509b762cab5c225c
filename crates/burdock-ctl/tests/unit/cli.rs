//! Tests of the command line's arguments and output.

use googletest::prelude::*;
use serde_json::json;

use super::{Command, options};
use crate::print::{rows_of, table};

#[gtest]
fn the_parser_is_consistent() {
    options().check_invariants(false);
}

#[gtest]
fn a_dry_run_is_told_from_a_change() {
    let parsed = options().run_inner(&["apply", "-f", "tree.jsonc", "--dry-run"]).unwrap();
    assert_that!(parsed.command, matches_pattern!(Command::Apply { dry_run: eq(&true), .. }));
    expect_that!(options().run_inner(&["apply"]).is_err(), eq(true));
    expect_that!(options().run_inner(&["aply"]).is_err(), eq(true));
}

#[gtest]
fn every_leaf_gets_a_row() {
    let rows = rows_of(&json!({"a": {"b": 1, "c": null}, "d": ["x"]}));
    assert_that!(rows, eq("a/b  1\na/c  -\nd    [\"x\"]\n"));
}

#[gtest]
fn columns_are_as_wide_as_their_widest_cell() {
    let text = table(&["id", "open"], &[json!({"id": "valves-1", "open": true})]);
    assert_that!(text, eq("id        open\nvalves-1  true\n"));
}
