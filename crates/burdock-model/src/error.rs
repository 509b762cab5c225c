//! The closed list of error kinds and the table from kind to answer.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A result with this project's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Whether a refused request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// The value of the `Burdock-Outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Everything that can be refused or go wrong, towards callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request is malformed: its path, a header or its framing.
    BadRequest,
    /// No key, an unknown key or a withdrawn key.
    KeyRefused,
    /// The organisation may not use the route.
    RouteForbidden,
    /// No route matches.
    NoRoute,
    /// The idempotency key came before with another body.
    IdempotencyKeyReused,
    /// The request needs an idempotency key that it does not carry.
    IdempotencyKeyMissing,
    /// The body is longer than the limit.
    TooLarge,
    /// The body broke off or passed its limit after part of it was sent on.
    BodyCut,
    /// The request crashed backend servers and is held back.
    Quarantined,
    /// The organisation is over its rate.
    OverRate,
    /// The backend server's answer was broken or cut.
    BadAnswer,
    /// The admission queue has no room.
    Overloaded,
    /// No backend server can take the request.
    NoBackend,
    /// The instance has lost contact with the rest and refuses.
    Isolated,
    /// The instance is shutting down.
    Leaving,
    /// The store is needed for this request and does not answer.
    StoreDown,
    /// The instance that owned the request is gone.
    OwnerGone,
    /// The deadline passed before the request was sent on.
    DeadlineBefore,
    /// The deadline passed after the request was sent on.
    DeadlineAfter,
    /// The operator token is missing or wrong.
    OperatorRefused,
    /// The tree, or a change of it, is invalid.
    InvalidTree,
    /// Nothing is at this path of the tree.
    NoSuchPath,
    /// Another operator's change came first.
    Conflict,
    /// The change names a state that is no longer in force.
    PreconditionFailed,
    /// A setting of the instance's settings file is invalid.
    InvalidSettings,
    /// A change may or may not have been accepted.
    ChangeUnknown,
    /// Something inside the system broke its own rules.
    Internal,
}

/// What an error kind is answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// A short title for the problem document.
    pub title: &'static str,
    /// Seconds for `Retry-After`, where waiting helps.
    pub retry_after: Option<u32>,
    /// The exit code of `burdockctl`.
    pub exit_code: u8,
}

impl ErrorKind {
    /// Every kind, in the order of the table.
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

    /// The table from kind to answer.
    ///
    /// ```
    /// use burdock_model::prelude::*;
    /// let answer = ErrorKind::OverRate.answer();
    /// assert_eq!((answer.status, answer.outcome), (429, Outcome::NotRun));
    /// ```
    #[must_use]
    pub const fn answer(self) -> Answer {
        const NOT: Outcome = Outcome::NotRun;
        const MAY: Outcome = Outcome::Unknown;
        match self {
            Self::BadRequest => answer(400, NOT, "Malformed request", None, 2),
            Self::KeyRefused => answer(401, NOT, "Key missing, unknown or withdrawn", None, 3),
            Self::RouteForbidden => answer(403, NOT, "Route not allowed for this organisation", None, 3),
            Self::NoRoute => answer(404, NOT, "No route", None, 4),
            Self::IdempotencyKeyReused => {
                answer(409, NOT, "Idempotency key reused with another body", None, 5)
            }
            Self::IdempotencyKeyMissing => answer(400, NOT, "Idempotency key malformed", None, 2),
            Self::TooLarge => answer(413, NOT, "Body too large", None, 2),
            Self::BodyCut => answer(400, MAY, "Body broke off or passed its limit", None, 2),
            Self::Quarantined => answer(422, NOT, "Request held back after crashes", Some(60), 6),
            Self::OverRate => answer(429, NOT, "Over the organisation's rate", Some(1), 6),
            Self::BadAnswer => answer(502, MAY, "Backend server's answer broken", None, 7),
            Self::Overloaded => answer(503, NOT, "Overloaded", Some(1), 6),
            Self::NoBackend => answer(503, NOT, "No backend server available", Some(1), 6),
            Self::Isolated => answer(503, NOT, "Instance out of contact; use another region", Some(1), 6),
            Self::Leaving => answer(503, NOT, "Instance shutting down; use another", Some(0), 6),
            Self::StoreDown => answer(503, NOT, "Store does not answer", Some(2), 8),
            Self::OwnerGone => {
                answer(503, MAY, "Owner gone; outcome unknown, not run by this attempt", None, 7)
            }
            Self::DeadlineBefore => answer(504, NOT, "Deadline passed before sending", None, 6),
            Self::DeadlineAfter => answer(504, MAY, "Deadline passed after sending", None, 7),
            Self::OperatorRefused => answer(401, NOT, "Operator token missing or wrong", None, 3),
            Self::InvalidTree => answer(422, NOT, "Invalid tree", None, 2),
            Self::NoSuchPath => answer(404, NOT, "Nothing at this path", None, 4),
            Self::Conflict => answer(409, NOT, "Another change came first", None, 5),
            Self::PreconditionFailed => answer(412, NOT, "State has changed", None, 5),
            Self::InvalidSettings => answer(400, NOT, "Invalid settings", None, 2),
            Self::ChangeUnknown => answer(504, MAY, "Outcome of the change unknown", Some(2), 7),
            Self::Internal => answer(500, MAY, "Internal error", None, 1),
        }
    }

    /// The kind's name as in problem documents.
    #[must_use]
    pub fn as_str(self) -> String {
        serde_json::to_value(self).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
    }
}

/// An error: its kind, what was found, and a hint on what to do.
#[derive(Clone, Debug, Snafu, PartialEq, Eq, Serialize, Deserialize)]
#[snafu(display("{detail}{}", Hint(hint.as_deref())))]
pub struct Error {
    /// The kind, which decides the answer.
    pub kind: ErrorKind,
    /// What was found.
    pub detail: String,
    /// What is allowed, or what to do.
    pub hint: Option<String>,
}

impl Error {
    /// An error without a hint.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), hint: None }
    }

    /// The same error with a hint.
    #[must_use]
    pub fn hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    /// The same error with the place it was found at in front.
    #[must_use]
    pub fn at(mut self, place: impl fmt::Display) -> Self {
        self.detail = format!("{place}: {}", self.detail);
        self
    }

    /// The problem document of RFC 9457.
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
