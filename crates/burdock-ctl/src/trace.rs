//! The story of one request, put together from the logs of instances.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use burdock_model::error::{Error, ErrorKind, Result};
use serde_json::{Map, Value, json};

use crate::cli::Output;

/// How far before a request's last line what is told of its backend servers still belongs to its story: the longest that
/// a backend server which failed again and again gets nothing.
const CONTEXT: Duration = Duration::from_secs(3);

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written.
    pub at: SystemTime,
    /// The file that it stands in.
    pub origin: String,
    /// What it says.
    pub message: String,
    /// The values that decided.
    pub fields: Map<String, Value>,
}

/// Prints the story of a request from files, or from standard input where none is named.
///
/// # Errors
/// [`ErrorKind::InvalidSettings`] for a file that can't be read, [`ErrorKind::NoSuchPath`] when no line names the request.
pub fn run(id: &str, files: &[PathBuf], output: Output) -> Result<()> {
    let mut lines = Vec::new();
    if files.is_empty() {
        read(stdin().lock(), "-", &mut lines)?;
    }
    for file in files {
        let name = file.display().to_string();
        let opened = File::open(file).map_err(|e| unreadable(&name, &e))?;
        read(BufReader::new(opened), &name, &mut lines)?;
    }
    let story = story(id, &lines);
    if story.is_empty() {
        return Err(Error::new(ErrorKind::NoSuchPath, format!("no line names the request `{id}`"))
            .hint("give the logs of all instances of that time; lines beyond the bound on them are dropped and counted"));
    }
    for line in story {
        match output {
            Output::Json => println!("{}", line.json()),
            Output::Table => println!("{}", line.text()),
        }
    }
    Ok(())
}

/// The lines of a request in order of time, with what was told of its backend servers shortly before.
#[must_use]
pub fn story<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.field("id") == Some(id)).collect();
    let tried: BTreeSet<String> = own.iter().flat_map(|line| line.backends()).collect();
    let before = |line: &Line| {
        let Some(backend) = line.field("backend") else {
            return false;
        };
        let near = |own: &&&Line| {
            let passed = own.at.duration_since(line.at);
            own.origin == line.origin && passed.is_ok_and(|passed| passed <= CONTEXT)
        };
        line.field("id").is_none() && tried.contains(backend) && own.iter().any(|own| near(&own))
    };
    let mut story: Vec<&Line> =
        lines.iter().filter(|line| line.field("id") == Some(id) || before(line)).collect();
    story.sort_by_key(|line| line.at);
    story
}

/// Reads the lines that are JSON; whatever else a log holds, or stands before the JSON, is passed over.
///
/// # Errors
/// [`ErrorKind::InvalidSettings`] when the input breaks off.
pub fn read(input: impl BufRead, origin: &str, lines: &mut Vec<Line>) -> Result<()> {
    for text in input.lines() {
        let text = text.map_err(|e| unreadable(origin, &e))?;
        lines.extend(Line::parse(&text, origin));
    }
    Ok(())
}

impl Line {
    fn parse(text: &str, origin: &str) -> Option<Self> {
        let value: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        Some(Self {
            at: humantime::parse_rfc3339_weak(value["timestamp"].as_str()?.split('+').next()?).ok()?,
            origin: origin.to_owned(),
            message: value["message"].as_str()?.trim().to_owned(),
            fields: value["kvs"].as_object().cloned().unwrap_or_default(),
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    // The backend servers that a line names, also in the list of those that were tried.
    fn backends(&self) -> Vec<String> {
        let tried: Option<Vec<String>> = self.field("tried").and_then(|text| serde_json::from_str(text).ok());
        self.field("backend").map(str::to_owned).into_iter().chain(tried.unwrap_or_default()).collect()
    }

    fn text(&self) -> String {
        let fields = self.fields.iter().filter(|(name, _)| *name != "id");
        let told: Vec<String> = fields.map(|(name, value)| format!("{name}={}", plain(value))).collect();
        format!(
            "{} {} {}: {}",
            humantime::format_rfc3339_millis(self.at),
            self.origin,
            self.message,
            told.join(" ")
        )
    }

    fn json(&self) -> Value {
        json!({ "at": humantime::format_rfc3339_millis(self.at).to_string(), "origin": self.origin, "message": self.message, "fields": self.fields })
    }
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn unreadable(name: &str, e: &std::io::Error) -> Error {
    Error::new(ErrorKind::InvalidSettings, format!("`{name}`: {e}"))
}

#[cfg(test)]
#[path = "../tests/unit/trace.rs"]
mod tests;
