//! Tests of the command line: parsing of arguments and printing of tables.

use googletest::prelude::*;
use serde_json::json;

use super::{Command, options, usage_exit_code};
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

// Guards against a misspelt option of `check` that scripts would take for warnings, whose exit code is 1.
#[gtest]
fn arguments_that_cannot_be_parsed_exit_as_invalid_and_help_as_done() {
    let code = |args: &[&str]| usage_exit_code(&options().run_inner(args).unwrap_err());
    expect_that!(code(&["check", "--platform-confg", "new.json"]), eq(2));
    expect_that!(code(&["check"]), eq(2));
    expect_that!(code(&["check", "--help"]), eq(0));
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
