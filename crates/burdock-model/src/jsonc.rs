//! Reads JSON with comments. Errors name the place and suggest a similar field name.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::{Error, ErrorKind, Result};

/// Similarity (0 to 1) above which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.6;

/// Parses JSON with comments.
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
/// An error of the given kind, with line and column, when the text is malformed.
pub fn parse(text: &str, kind: ErrorKind) -> Result<Value> {
    let options = jsonc_parser::ParseOptions::default();
    jsonc_parser::parse_to_serde_value::<Value>(text, &options)
        .map_err(|e| Error::new(kind, e.to_string()).hint("settings are JSON with comments"))
}

/// Deserializes a typed value. Unknown fields are errors.
///
/// # Errors
/// An error of the given kind, with the path within the value and what is allowed there.
pub fn from_value<T: DeserializeOwned>(value: &Value, kind: ErrorKind) -> Result<T> {
    serde_path_to_error::deserialize(value).map_err(|e| {
        let path = e.path().to_string();
        let message = e.into_inner().to_string();
        let suggestion = similar_name(&message);
        let err = Error::new(kind, message).at(path);
        match suggestion {
            Some(name) => err.hint(format!("did you mean `{name}`?")),
            None => err,
        }
    })
}

// serde's message for an unknown field quotes the unknown name in backticks, then the allowed ones.
fn similar_name(message: &str) -> Option<String> {
    if !message.starts_with("unknown") {
        return None;
    }
    let mut quoted = message.split('`').skip(1).step_by(2);
    let unknown = quoted.next()?;
    quoted
        .map(|allowed| (strsim::jaro_winkler(unknown, allowed), allowed))
        .filter(|(score, _)| *score > MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, allowed)| allowed.to_owned())
}
