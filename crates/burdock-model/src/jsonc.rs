//! Reading JSON with comments, with errors that name the place and suggest a near match.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::{Error, ErrorKind, Result};

/// Names closer than this (0 to 1) are suggested.
const NEAR_MATCH: f64 = 0.6;

/// Reads a text of JSON with comments.
///
/// ```
/// use burdock_model::jsonc::parse;
/// use burdock_model::prelude::*;
/// let value = parse("{ // listen\n \"a\": 1 }", ErrorKind::InvalidSettings).unwrap();
/// assert_eq!(value["a"], 1);
/// let err = parse("{\n  \"a\": }", ErrorKind::InvalidSettings).unwrap_err();
/// assert!(err.to_string().contains("line 2"));
/// ```
///
/// # Errors
/// The given kind, with line and column.
pub fn parse(text: &str, kind: ErrorKind) -> Result<Value> {
    let options = jsonc_parser::ParseOptions::default();
    jsonc_parser::parse_to_serde_value::<Value>(text, &options)
        .map_err(|e| Error::new(kind, e.to_string()).hint("settings are JSON with comments"))
}

/// Reads a typed value. Unknown fields are errors.
///
/// # Errors
/// The given kind, with the path within the value, what was found and what is allowed.
pub fn from_value<T: DeserializeOwned>(value: &Value, kind: ErrorKind) -> Result<T> {
    serde_path_to_error::deserialize(value).map_err(|e| {
        let path = e.path().to_string();
        let found = e.into_inner().to_string();
        let hint = near_match(&found);
        let err = Error::new(kind, found).at(path);
        match hint {
            Some(near) => err.hint(format!("did you mean `{near}`?")),
            None => err,
        }
    })
}

// serde's message for an unknown field lists the allowed ones in backticks, the found one first.
fn near_match(message: &str) -> Option<String> {
    if !message.starts_with("unknown") {
        return None;
    }
    let mut quoted = message.split('`').skip(1).step_by(2);
    let found = quoted.next()?;
    quoted
        .map(|allowed| (strsim::jaro_winkler(found, allowed), allowed))
        .filter(|(score, _)| *score > NEAR_MATCH)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, allowed)| allowed.to_owned())
}
