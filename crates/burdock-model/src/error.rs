//! The closed list of error kinds and the answer to each.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Result whose error defaults to [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Whether a failed request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `Burdock-Outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Every kind of refusal or failure that callers and operators can see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request is malformed: its path, a header or its framing.
    BadRequest,
    /// The API key is missing, unknown or withdrawn.
    KeyRefused,
    /// The organisation may not use the route.
    RouteForbidden,
    /// No route matches.
    NoRoute,
    /// The idempotency key was used before with another body.
    IdempotencyKeyReused,
    /// The request needs an idempotency key that it does not carry.
    IdempotencyKeyMissing,
    /// The body is longer than the limit.
    TooLarge,
    /// The body ended early or exceeded its limit after part of it had been forwarded.
    BodyCut,
    /// The request crashed backend servers and is quarantined.
    Quarantined,
    /// The organisation exceeds its rate.
    OverRate,
    /// The backend server's answer was malformed or truncated.
    BadAnswer,
    /// The admission queue is full.
    Overloaded,
    /// No backend server can take the request.
    NoBackend,
    /// The instance has lost contact with the rest of the fleet and refuses requests.
    Isolated,
    /// The instance is shutting down.
    Leaving,
    /// The request needs the store, which does not answer.
    StoreDown,
    /// The instance that owns the request's idempotency key is gone.
    OwnerGone,
    /// The deadline passed before the request was forwarded.
    DeadlineBefore,
    /// The deadline passed after the request was forwarded.
    DeadlineAfter,
    /// The operator token is missing or wrong.
    OperatorRefused,
    /// The settings tree, or a change to it, is invalid.
    InvalidTree,
    /// The path does not exist in the tree.
    NoSuchPath,
    /// Another operator's change was accepted first.
    Conflict,
    /// The change expects a state that is no longer in force.
    PreconditionFailed,
    /// A setting of the instance's settings file is invalid.
    InvalidSettings,
    /// It is unknown whether the change was accepted.
    ChangeUnknown,
    /// An internal invariant was violated.
    Internal,
}

/// Answer to an error kind, for HTTP and for the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Title of the problem document.
    pub title: &'static str,
    /// Seconds for the `Retry-After` header; `None` when a retry would not help.
    pub retry_after: Option<u32>,
    /// Exit code of `burdockctl`.
    pub exit_code: u8,
}

impl ErrorKind {
    /// All kinds, in order of declaration.
    pub const ALL: [Self; 27] = [
        Self::BadRequest,
        Self::KeyRefused,
        Self::RouteForbidden,
        Self::NoRoute,
        Self::IdempotencyKeyReused,
        Self::IdempotencyKeyMissing,
        Self::TooLarge,
        Self::BodyCut,
        Self::Quarantined,
        Self::OverRate,
        Self::BadAnswer,
        Self::Overloaded,
        Self::NoBackend,
        Self::Isolated,
        Self::Leaving,
        Self::StoreDown,
        Self::OwnerGone,
        Self::DeadlineBefore,
        Self::DeadlineAfter,
        Self::OperatorRefused,
        Self::InvalidTree,
        Self::NoSuchPath,
        Self::Conflict,
        Self::PreconditionFailed,
        Self::InvalidSettings,
        Self::ChangeUnknown,
        Self::Internal,
    ];

    /// Returns the answer to this kind.
    ///
    /// ```
    /// use burdock_model::prelude::*;
    /// let answer = ErrorKind::OverRate.answer();
    /// assert_eq!((answer.status, answer.outcome), (429, Outcome::NotRun));
    /// ```
    #[must_use]
    pub const fn answer(self) -> Answer {
        const NOT_RUN: Outcome = Outcome::NotRun;
        const UNKNOWN: Outcome = Outcome::Unknown;
        match self {
            Self::BadRequest => answer(400, NOT_RUN, "Malformed request", None, 2),
            Self::KeyRefused => answer(401, NOT_RUN, "Key missing, unknown or withdrawn", None, 3),
            Self::RouteForbidden => answer(403, NOT_RUN, "Route not allowed for this organisation", None, 3),
            Self::NoRoute => answer(404, NOT_RUN, "No route", None, 4),
            Self::IdempotencyKeyReused => {
                answer(409, NOT_RUN, "Idempotency key reused with another body", None, 5)
            }
            Self::IdempotencyKeyMissing => answer(400, NOT_RUN, "Idempotency key malformed", None, 2),
            Self::TooLarge => answer(413, NOT_RUN, "Body too large", None, 2),
            Self::BodyCut => answer(400, UNKNOWN, "Body broke off or passed its limit", None, 2),
            Self::Quarantined => answer(422, NOT_RUN, "Request held back after crashes", Some(60), 6),
            Self::OverRate => answer(429, NOT_RUN, "Over the organisation's rate", Some(1), 6),
            Self::BadAnswer => answer(502, UNKNOWN, "Backend server's answer broken", None, 7),
            Self::Overloaded => answer(503, NOT_RUN, "Overloaded", Some(1), 6),
            Self::NoBackend => answer(503, NOT_RUN, "No backend server available", Some(1), 6),
            Self::Isolated => answer(503, NOT_RUN, "Instance out of contact; use another region", Some(1), 6),
            Self::Leaving => answer(503, NOT_RUN, "Instance shutting down; use another", Some(0), 6),
            Self::StoreDown => answer(503, NOT_RUN, "Store does not answer", Some(2), 8),
            Self::OwnerGone => {
                answer(503, UNKNOWN, "Owner gone; outcome unknown, not run by this attempt", None, 7)
            }
            Self::DeadlineBefore => answer(504, NOT_RUN, "Deadline passed before sending", None, 6),
            Self::DeadlineAfter => answer(504, UNKNOWN, "Deadline passed after sending", None, 7),
            Self::OperatorRefused => answer(401, NOT_RUN, "Operator token missing or wrong", None, 3),
            Self::InvalidTree => answer(422, NOT_RUN, "Invalid tree", None, 2),
            Self::NoSuchPath => answer(404, NOT_RUN, "Nothing at this path", None, 4),
            Self::Conflict => answer(409, NOT_RUN, "Another change came first", None, 5),
            Self::PreconditionFailed => answer(412, NOT_RUN, "State has changed", None, 5),
            Self::InvalidSettings => answer(400, NOT_RUN, "Invalid settings", None, 2),
            Self::ChangeUnknown => answer(504, UNKNOWN, "Outcome of the change unknown", Some(2), 7),
            Self::Internal => answer(500, UNKNOWN, "Internal error", None, 1),
        }
    }

    /// Returns the kind's name as problem documents write it.
    #[must_use]
    pub fn as_str(self) -> String {
        serde_json::to_value(self).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
    }
}

/// Returns whether a status tells the platform's callers that the request did not run and never will.
///
/// ```
/// use burdock_model::error::means_not_run;
/// assert!(means_not_run(503) && !means_not_run(502));
/// ```
#[must_use]
pub const fn means_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Error with its kind, a description and an optional hint on how to resolve it.
#[derive(Clone, Debug, Snafu, PartialEq, Eq, Serialize, Deserialize)]
#[snafu(display("{detail}{}", Hint(hint.as_deref())))]
pub struct Error {
    /// Kind of the error, which decides the answer.
    pub kind: ErrorKind,
    /// What is wrong, with the offending value.
    pub detail: String,
    /// What is allowed, or how to resolve the error.
    pub hint: Option<String>,
}

impl Error {
    /// Creates an error without a hint.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), hint: None }
    }

    /// Adds a hint.
    #[must_use]
    pub fn hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    /// Prefixes the detail with the place where the error occurred.
    #[must_use]
    pub fn at(mut self, place: impl fmt::Display) -> Self {
        self.detail = format!("{place}: {}", self.detail);
        self
    }

    /// Returns the problem document (RFC 9457).
    #[must_use]
    pub fn problem(&self) -> serde_json::Value {
        let answer = self.kind.answer();
        serde_json::json!({
            "type": format!("urn:burdockcroft:{}", self.kind.as_str()),
            "title": answer.title,
            "status": answer.status,
            "detail": self.detail,
            "hint": self.hint,
            "outcome": answer.outcome,
        })
    }
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, kind.answer().title)
    }
}

struct Hint<'a>(Option<&'a str>);

impl fmt::Display for Hint<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.map_or(Ok(()), |hint| write!(f, " (hint: {hint})"))
    }
}

const fn answer(
    status: u16,
    outcome: Outcome,
    title: &'static str,
    retry_after: Option<u32>,
    exit_code: u8,
) -> Answer {
    Answer { status, outcome, title, retry_after, exit_code }
}
