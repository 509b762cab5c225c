//! Tests of the report of `check`: exit codes, text and JSON.

use burdock_platform::decode::decode_config;
use googletest::prelude::*;
use serde_json::{Value, json};

use super::Report;

fn config(version: u64, timeout_s: f64, kind: &str) -> String {
    let route = json!({"name": "tiles", "host": "a.example", "path_prefix": "/t/", "kind": kind,
        "timeout_s": timeout_s, "target_latency_s": 1, "service": "s"});
    json!({"version": version, "routes": [route], "services": [{"name": "s"}]}).to_string()
}

// Scripts decide by the exit code alone whether a configuration may be sent.
#[gtest]
fn exit_code_is_that_of_the_most_severe_finding() {
    let code = |text: &str| Report::of(text.as_bytes(), None).exit_code();
    expect_that!(code(&config(1, 2.0, "download")), eq(0));
    expect_that!(code(&config(1, 0.5, "download")), eq(1));
    expect_that!(code(&config(1, 0.5, "teleport")), eq(2));
    expect_that!(code("{"), eq(2));
}

#[gtest]
fn report_shows_findings_then_differences_then_counts() {
    let in_force = decode_config(config(1, 2.0, "download").as_bytes()).unwrap();
    let report = Report::of(config(1, 0.5, "upload").as_bytes(), Some(&in_force));
    expect_that!(
        report.lines(),
        elements_are![
            eq("error: version: 1 isn't higher than 1, which is in force"),
            eq("warning: route `tiles`: the latency target of 1s is over the time limit of 500ms"),
            eq("changed: route `tiles`: repeatable, time_limit"),
            eq("1 errors, 1 warnings"),
        ]
    );
}

#[gtest]
fn report_as_json_has_severity_place_and_reason() {
    let report = serde_json::to_value(Report::of(config(0, 2.0, "download").as_bytes(), None)).unwrap();
    let finding = &report["findings"][0];
    expect_that!(finding["severity"], eq(&json!("error")));
    expect_that!(finding["place"], eq(&json!("version")));
    expect_that!(finding["reason"].as_str(), some(contains_substring("expected 1 or more")));
    expect_that!(report["differences"], eq(&Value::Null));
}
