//! Whether a backend server's answer may be passed on as whole.

/// How an answer's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes.
    Length(u64),
    /// In chunks, with an end mark that the library checks.
    Chunked,
    /// Until the connection closes: an early close can't be told from the end.
    UntilClose,
    /// No body.
    Empty,
}

/// What to do at the end of a backend server's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// Whole: the caller's answer ends too, and the connection may be used again.
    Complete,
    /// Whole as far as can be told; the connection can't be used again.
    CompleteNotReusable,
    /// Cut: the caller's answer must be cut as well.
    Truncated,
}

/// Judges the end of a body.
///
/// ```
/// use burdock_decide::answer::{classify_body_end, BodyEnd, Framing};
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
