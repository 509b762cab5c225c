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
pub enum End {
    /// Whole: the caller's answer ends too, and the connection may be used again.
    Whole,
    /// Whole as far as can be told; the connection can't be used again.
    WholeAndClosed,
    /// Cut: the caller's answer must be cut as well.
    Cut,
}

/// Judges the end of a body.
///
/// ```
/// use burdock_decide::answer::{end, End, Framing};
/// assert_eq!(end(Framing::Length(10), 10, true), End::Whole);
/// assert_eq!(end(Framing::Length(10), 9, true), End::Cut);
/// assert_eq!(end(Framing::Chunked, 9, false), End::Cut);
/// ```
#[must_use]
pub const fn end(framing: Framing, received: u64, clean: bool) -> End {
    if !clean {
        return End::Cut;
    }
    match framing {
        Framing::Length(expected) if expected != received => End::Cut,
        Framing::Length(_) | Framing::Chunked | Framing::Empty => End::Whole,
        Framing::UntilClose => End::WholeAndClosed,
    }
}
