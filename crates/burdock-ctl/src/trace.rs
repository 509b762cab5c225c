//! Traces one request through the logs of instances.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use burdock_model::error::{Error, ErrorKind, Result};
use serde_json::{Map, Value, json};

use crate::cli::OutputFormat;

/// Lines about a request's backend servers belong to its trace if they were written at most this long before
/// one of its own. Equals the longest time for which a backend server that fails repeatedly is ejected.
const CONTEXT_WINDOW: Duration = Duration::from_secs(3);

/// Parsed line of an instance's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time at which the line was written.
    pub logged_at: SystemTime,
    /// Name of the log file, `-` for standard input.
    pub source: String,
    /// Message of the line.
    pub message: String,
    /// Keys and values that were logged with the message.
    pub fields: Map<String, Value>,
}

/// Prints the trace of a request from log files, or from standard input if none is given.
///
/// # Errors
/// Fails with [`ErrorKind::InvalidSettings`] if a file can't be read, and with [`ErrorKind::NoSuchPath`] if
/// no line names the request.
pub fn run(id: &str, files: &[PathBuf], output: OutputFormat) -> Result<()> {
    let mut lines = Vec::new();
    if files.is_empty() {
        read_log(stdin().lock(), "-", &mut lines)?;
    }
    for file in files {
        let name = file.display().to_string();
        let opened = File::open(file).map_err(|e| read_error(&name, &e))?;
        read_log(BufReader::new(opened), &name, &mut lines)?;
    }
    let trace = trace_lines(id, &lines);
    if trace.is_empty() {
        return Err(Error::new(ErrorKind::NoSuchPath, format!("no log line names the request `{id}`")).hint(
            "pass all instances' logs of that time; lines over the logging limit are dropped and counted",
        ));
    }
    for line in trace {
        match output {
            OutputFormat::Json => println!("{}", line.to_json()),
            OutputFormat::Table => println!("{}", line.to_text()),
        }
    }
    Ok(())
}

/// Returns the lines of a request, and the lines shortly before them about its backend servers, in order of
/// time.
#[must_use]
pub fn trace_lines<'a>(id: &str, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let request_lines: Vec<&LogLine> = lines.iter().filter(|line| line.field("id") == Some(id)).collect();
    let tried: BTreeSet<String> = request_lines.iter().flat_map(|line| line.backends()).collect();
    let is_context = |line: &LogLine| {
        let Some(backend) = line.field("backend") else {
            return false;
        };
        let is_shortly_before = |own: &&&LogLine| {
            let elapsed = own.logged_at.duration_since(line.logged_at);
            own.source == line.source && elapsed.is_ok_and(|elapsed| elapsed <= CONTEXT_WINDOW)
        };
        line.field("id").is_none()
            && tried.contains(backend)
            && request_lines.iter().any(|own| is_shortly_before(&own))
    };
    let mut trace: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("id") == Some(id) || is_context(line)).collect();
    trace.sort_by_key(|line| line.logged_at);
    trace
}

/// Reads the lines that hold a JSON object and skips all others. Text before the object is ignored.
///
/// # Errors
/// Fails with [`ErrorKind::InvalidSettings`] if the input can't be read.
pub fn read_log(input: impl BufRead, source: &str, lines: &mut Vec<LogLine>) -> Result<()> {
    for text in input.lines() {
        let text = text.map_err(|e| read_error(source, &e))?;
        lines.extend(LogLine::parse(&text, source));
    }
    Ok(())
}

impl LogLine {
    fn parse(text: &str, source: &str) -> Option<Self> {
        let value: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        Some(Self {
            logged_at: humantime::parse_rfc3339_weak(value["timestamp"].as_str()?.split('+').next()?).ok()?,
            source: source.to_owned(),
            message: value["message"].as_str()?.trim().to_owned(),
            fields: value["kvs"].as_object().cloned().unwrap_or_default(),
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    // Returns the backend servers that the line names, including those in its list of attempts.
    fn backends(&self) -> Vec<String> {
        let tried: Option<Vec<String>> = self.field("tried").and_then(|text| serde_json::from_str(text).ok());
        self.field("backend").map(str::to_owned).into_iter().chain(tried.unwrap_or_default()).collect()
    }

    fn to_text(&self) -> String {
        let fields = self.fields.iter().filter(|(name, _)| *name != "id");
        let pairs: Vec<String> =
            fields.map(|(name, value)| format!("{name}={}", format_value(value))).collect();
        format!(
            "{} {} {}: {}",
            humantime::format_rfc3339_millis(self.logged_at),
            self.source,
            self.message,
            pairs.join(" ")
        )
    }

    fn to_json(&self) -> Value {
        json!({
            "at": humantime::format_rfc3339_millis(self.logged_at).to_string(), "origin": self.source,
            "message": self.message, "fields": self.fields,
        })
    }
}

fn format_value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn read_error(name: &str, e: &std::io::Error) -> Error {
    Error::new(ErrorKind::InvalidSettings, format!("`{name}`: {e}"))
}

#[cfg(test)]
#[path = "../tests/unit/trace.rs"]
mod tests;
