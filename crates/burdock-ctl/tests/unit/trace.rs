use googletest::prelude::*;

use super::{LogLine, read_log, trace_lines};

// Log lines as instances write them. The lines of the second file have the prefix of a log collector.
const FIRST_LOG: &str = r#"
{"timestamp":"2026-12-04T14:15:41.000000+00:00","level":"INFO","message":"unreachable: refused","kvs":{"backend":"quotes-1","id":"other"}}
{"timestamp":"2026-12-04T14:15:43.000000+00:00","level":"INFO","message":"died while a request was at work there","kvs":{"backend":"quotes-1","request":7}}
{"timestamp":"2026-12-04T14:15:44.500000+00:00","level":"INFO","message":"broke its answer: reset","kvs":{"backend":"quotes-1","id":"c7-475"}}
not a line of ours
{"timestamp":"2026-12-04T14:15:45.000000+00:00","level":"INFO","message":"request failed","kvs":{"id":"c7-475","status":502,"tried":"[\"quotes-1\",\"quotes-2\"]"}}
{"timestamp":"2026-12-04T14:15:45.100000+00:00","level":"INFO","message":"backend server gone","kvs":{"backend":"quotes-1"}}
"#;
const SECOND_LOG: &str = r#"
14.2 edge-2 {"timestamp":"2026-12-04T14:15:45.900000+00:00","level":"INFO","message":"refused: `farm` is over its rate","kvs":{"id":"c7-476","status":429,"path":"/quotes/1"}}
14.1 edge-2 {"timestamp":"2026-12-04T14:15:44.000000+00:00","level":"INFO","message":"backend server gone","kvs":{"backend":"quotes-1"}}
"#;

fn lines() -> Vec<LogLine> {
    let mut lines = Vec::new();
    read_log(FIRST_LOG.as_bytes(), "first", &mut lines).unwrap();
    read_log(SECOND_LOG.as_bytes(), "second", &mut lines).unwrap();
    lines
}

fn messages(id: &str) -> Vec<String> {
    trace_lines(id, &lines()).into_iter().map(|line| line.message.clone()).collect()
}

#[gtest]
fn trace_of_failed_request_includes_earlier_lines_about_its_backends() {
    let expected = ["died while a request was at work there", "broke its answer: reset", "request failed"];
    expect_that!(messages("c7-475"), eq(&expected.map(str::to_owned)));
}

#[gtest]
fn trace_finds_refused_request_in_any_file() {
    expect_that!(messages("c7-476"), eq(&["refused: `farm` is over its rate".to_owned()]));
    expect_that!(messages("unknown"), is_empty());
}

#[gtest]
fn printed_line_has_time_file_message_and_fields() {
    let lines = lines();
    let line = trace_lines("c7-476", &lines)[0];
    expect_that!(line.to_text(), starts_with("2026-12-04T14:15:45.9"));
    expect_that!(
        line.to_text(),
        ends_with("second refused: `farm` is over its rate: path=/quotes/1 status=429")
    );
}

#[gtest]
fn trace_of_hedged_request_shows_both_attempts() {
    const LOG: &str = r#"
{"timestamp":"2026-12-04T14:15:44.900000+00:00","level":"INFO","message":"second copy sent: no response in the usual time","kvs":{"id":"c7-480","first":"quotes-1","backend":"quotes-2","after_ms":765}}
{"timestamp":"2026-12-04T14:15:45.400000+00:00","level":"INFO","message":"request","kvs":{"id":"c7-480","status":200,"tried":"[\"quotes-1\",\"quotes-2\"]","hedge":"won"}}
"#;
    let mut lines = Vec::new();
    read_log(LOG.as_bytes(), "third", &mut lines).unwrap();
    let text: Vec<String> = trace_lines("c7-480", &lines).into_iter().map(LogLine::to_text).collect();
    expect_that!(text.len(), eq(2));
    expect_that!(text[0], contains_substring("after_ms=765 backend=quotes-2 first=quotes-1"));
    expect_that!(text[1], contains_substring("hedge=won"));
    expect_that!(text[1], contains_substring(r#"tried=["quotes-1","quotes-2"]"#));
}
