//! Detection of backend servers' answers that are truncated or that misstate whether the request ran.

use burdock_model::error::means_not_run;

/// How an answer's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a content length, in bytes.
    Length(u64),
    /// By chunks with an end marker, which the HTTP library checks.
    Chunked,
    /// By the end of the connection: an early close can't be told from the end of the body.
    UntilClose,
    /// The answer has no body.
    Empty,
}

/// How the body of a backend server's answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// Complete: the caller's answer ends normally, and the connection can be reused.
    Complete,
    /// Complete as far as the framing shows; the connection can't be reused.
    CompleteNotReusable,
    /// Truncated: the caller's answer must be visibly truncated as well.
    Truncated,
}

/// Classifies the end of a body, given the bytes received and whether the connection ended it cleanly.
///
/// ```
/// use burdock_decide::answer::{BodyEnd, Framing, classify_body_end};
/// assert_eq!(classify_body_end(Framing::Length(10), 10, true), BodyEnd::Complete);
/// assert_eq!(classify_body_end(Framing::Length(10), 9, true), BodyEnd::Truncated);
/// assert_eq!(classify_body_end(Framing::Chunked, 9, false), BodyEnd::Truncated);
/// ```
#[must_use]
pub const fn classify_body_end(framing: Framing, received: u64, clean: bool) -> BodyEnd {
    if !clean {
        return BodyEnd::Truncated;
    }
    match framing {
        Framing::Length(expected) if expected != received => BodyEnd::Truncated,
        Framing::Length(_) | Framing::Chunked | Framing::Empty => BodyEnd::Complete,
        Framing::UntilClose => BodyEnd::CompleteNotReusable,
    }
}

/// Returns whether a status may stand in the final answer to a request. The HTTP library accepts every number from
/// 100 on: interim statuses such as 101, after which the connection no longer carries answers, and numbers that HTTP
/// does not define.
///
/// ```
/// use burdock_decide::answer::is_final_status;
/// assert!(is_final_status(200) && is_final_status(599));
/// assert!(!is_final_status(0) && !is_final_status(101) && !is_final_status(600));
/// ```
#[must_use]
pub const fn is_final_status(status: u16) -> bool {
    matches!(status, 200..=599)
}

/// Returns whether a status that came without the backend server's mark for "not run" would mislead the caller
/// of a request. Callers send a request that may run only once again after a status that means "not run", and
/// a backend server may fail with such a status after it has run the request.
///
/// ```
/// use burdock_decide::answer::is_misleading;
/// assert!(is_misleading(503, false));
/// assert!(!is_misleading(503, true), "a request that may be repeated can be sent again anyway");
/// assert!(!is_misleading(500, false), "this status promises nothing");
/// ```
#[must_use]
pub const fn is_misleading(unmarked_status: u16, repeatable: bool) -> bool {
    !repeatable && means_not_run(unmarked_status)
}
