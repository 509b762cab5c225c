//! How much memory the request and response bodies of a process may take, and which of them gets what is left.
//!
//! The load that this addresses: two bodies of 60 MB in chunks at once, and 600 callers that read their answers
//! slowly, at a process with a limit of 112 MB that must also answer small requests.

/// Part of a process's memory limit that is not for bodies, as a fraction: code, connections with their buffers,
/// configuration and the tables of backend servers.
const RESERVED_FRACTION: f64 = 0.375;

/// Minimum of that part in bytes. A process without callers takes about 10 MB.
const MIN_RESERVED_BYTES: u64 = 40_000_000;

/// Minimum memory for bodies in bytes, whatever the limit.
const MIN_ACCOUNT_BYTES: u64 = 8_000_000;

/// Part of the account that only small bodies take, as a fraction.
const SMALL_ONLY_FRACTION: f64 = 0.25;

/// Part of the account that answers longer than [`always_held_bytes`] leave to others, as a fraction.
const NOT_FOR_HELD_ANSWERS_FRACTION: f64 = 0.75;

/// Part of the account below which answers are held only as far as [`MIN_HELD_BYTES`], as a fraction.
const SCARCE_FRACTION: f64 = 0.75;

/// Size up to which a request body is small, in bytes.
pub const SMALL_BODY_BYTES: usize = 16 << 10;

/// Size up to which every answer is held before any of it goes to the caller, in bytes. Until then one that
/// breaks off can be replaced by that of another attempt.
const ALWAYS_HELD_BYTES: usize = 64 << 10;

/// The same size while memory is scarce.
const MIN_HELD_BYTES: usize = 16 << 10;

/// Memory limit of a process in bytes up to which it reads answers with small buffers.
const SMALL_LIMIT_BYTES: u64 = 192_000_000;

/// Size of the buffers in which such a process reads answers, and of those of others, in bytes. It bounds the
/// head of an answer as well.
const SMALL_READ_BUFFER_BYTES: usize = 16 << 10;
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Size of the kernel's receive buffers of such a process, in bytes, for connections to backend servers of its
/// region and for those of callers. Bytes that the process has not read count as its memory: 600 answers whose
/// callers read nothing had 104 KB each there. At a round trip of 6 ms the sizes allow 5 and 10 MB/s.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 32 << 10;
const SMALL_CALLER_RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Buffers that a body takes while it is forwarded as it arrives: one that is read into, one that waits to be
/// taken and one that is being written.
const BUFFERS_IN_TRANSIT: usize = 3;

/// What memory is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyUse {
    /// Up to [`SMALL_BODY_BYTES`] of a request body.
    SmallBody,
    /// The part of a request body beyond that, which can be forwarded as it arrives instead.
    LongBody,
    /// The part of an answer beyond [`always_held_bytes`], which can be forwarded as it arrives instead.
    HeldAnswer,
}

/// Returns the size of the account in bytes for a process whose memory limit is `limit_bytes`.
///
/// ```
/// use burdock_decide::body_memory::account_bytes;
/// assert_eq!(account_bytes(112_000_000), 70_000_000);
/// assert_eq!(account_bytes(512_000_000), 320_000_000);
/// // Too small a limit still leaves room for a few bodies.
/// assert_eq!(account_bytes(20_000_000), 8_000_000);
/// ```
#[must_use]
pub fn account_bytes(limit_bytes: u64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a fraction of a size needs no more digits"
    )]
    let reserved = (limit_bytes as f64 * RESERVED_FRACTION) as u64;
    limit_bytes.saturating_sub(reserved.max(MIN_RESERVED_BYTES)).max(MIN_ACCOUNT_BYTES)
}

/// Returns the size of the buffers in which a process with a memory limit reads answers, in bytes.
///
/// With buffers of 64 KiB, 256 answers whose callers read nothing took 215 KB each; with 16 KiB, 600 took
/// 107 KB each, connections included.
#[must_use]
pub const fn read_buffer_bytes(limit_bytes: u64) -> usize {
    if limit_bytes <= SMALL_LIMIT_BYTES { SMALL_READ_BUFFER_BYTES } else { READ_BUFFER_BYTES }
}

/// Returns the memory that a body takes while it is forwarded as it arrives, in bytes.
#[must_use]
pub const fn transit_bytes(limit_bytes: u64) -> usize {
    let unread = match receive_buffer_bytes(limit_bytes) {
        Some(bytes) => bytes,
        None => 0,
    };
    BUFFERS_IN_TRANSIT * read_buffer_bytes(limit_bytes) + unread
}

/// Returns the size of the kernel's receive buffers for connections to backend servers of the own region, in
/// bytes; `None` leaves it to the kernel. Over long distances a small buffer would slow answers down.
#[must_use]
pub const fn receive_buffer_bytes(limit_bytes: u64) -> Option<usize> {
    if limit_bytes <= SMALL_LIMIT_BYTES { Some(SMALL_RECEIVE_BUFFER_BYTES) } else { None }
}

/// Returns the size of the kernel's receive buffers for callers' connections, in bytes; `None` leaves it to the
/// kernel.
#[must_use]
pub const fn caller_receive_buffer_bytes(limit_bytes: u64) -> Option<usize> {
    if limit_bytes <= SMALL_LIMIT_BYTES { Some(SMALL_CALLER_RECEIVE_BUFFER_BYTES) } else { None }
}

/// Returns whether `bytes` more may be taken from an account of `capacity` bytes, of which `free` are free.
///
/// ```
/// use burdock_decide::body_memory::{BodyUse, may_take};
/// // Long bodies leave a quarter to small ones.
/// assert!(!may_take(1000, 300, 100, BodyUse::LongBody));
/// assert!(may_take(1000, 300, 100, BodyUse::SmallBody));
/// assert!(!may_take(1000, 99, 100, BodyUse::SmallBody));
/// ```
#[must_use]
pub fn may_take(capacity: i64, free: i64, bytes: i64, body_use: BodyUse) -> bool {
    let kept = match body_use {
        BodyUse::SmallBody => 0.0,
        BodyUse::LongBody => SMALL_ONLY_FRACTION,
        BodyUse::HeldAnswer => NOT_FOR_HELD_ANSWERS_FRACTION,
    };
    free.saturating_sub(bytes) >= fraction(capacity, kept)
}

/// Returns the size in bytes up to which every answer is held.
#[must_use]
pub fn always_held_bytes(capacity: i64, free: i64) -> usize {
    if free < fraction(capacity, SCARCE_FRACTION) { MIN_HELD_BYTES } else { ALWAYS_HELD_BYTES }
}

fn fraction(bytes: i64, fraction: f64) -> i64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        reason = "a fraction of a size needs no more digits"
    )]
    let part = (bytes as f64 * fraction) as i64;
    part
}
