//! Tests of the command line: parsing of arguments and printing of tables.

use googletest::prelude::*;
use serde_json::json;

use super::{Command, options};
use crate::print::{leaf_rows, table};

#[gtest]
fn parser_has_no_invariant_violations() {
    options().check_invariants(false);
}

#[gtest]
fn dry_run_flag_is_parsed_and_invalid_commands_are_rejected() {
    let parsed = options().run_inner(&["apply", "-f", "tree.jsonc", "--dry-run"]).unwrap();
    assert_that!(parsed.command, matches_pattern!(Command::Apply { dry_run: eq(&true), .. }));
    expect_that!(options().run_inner(&["apply"]).is_err(), eq(true));
    expect_that!(options().run_inner(&["aply"]).is_err(), eq(true));
}

#[gtest]
fn every_leaf_is_printed_as_a_row() {
    let rows = leaf_rows(&json!({"a": {"b": 1, "c": null}, "d": ["x"]}));
    assert_that!(rows, eq("a/b  1\na/c  -\nd    [\"x\"]\n"));
}

#[gtest]
fn table_columns_are_as_wide_as_their_widest_cell() {
    let text = table(&["id", "open"], &[json!({"id": "valves-1", "open": true})]);
    assert_that!(text, eq("id        open\nvalves-1  true\n"));
}
