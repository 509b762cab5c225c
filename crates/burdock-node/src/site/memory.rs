//! Memory account of a process for the request and response bodies that it holds.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

use burdock_decide::body_memory::{self, BodyUse};
use bytes::Bytes;

/// Memory of a process for bodies. Copies share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    account: Arc<Account>,
    transit_bytes: usize,
}

/// Memory that one body has taken. It is free again once this is dropped.
#[derive(Debug)]
pub struct Reservation {
    account: Arc<Account>,
    bytes: usize,
}

#[derive(Debug)]
struct Account {
    capacity: i64,
    // Negative while bodies that must be forwarded have taken more than there is.
    free: AtomicI64,
}

/// A buffer together with the memory that it has taken.
#[derive(Debug)]
pub struct HeldBytes {
    bytes: Vec<u8>,
    memory: Reservation,
}

impl BodyMemory {
    /// Creates the account of a process with a memory limit, in bytes.
    #[must_use]
    pub fn new(limit_bytes: u64) -> Self {
        let capacity = i64::try_from(body_memory::account_bytes(limit_bytes)).unwrap_or(i64::MAX);
        let account = Arc::new(Account { capacity, free: AtomicI64::new(capacity) });
        Self { account, transit_bytes: body_memory::transit_bytes(limit_bytes) }
    }

    /// Returns the size of the account in bytes.
    #[must_use]
    pub fn capacity_bytes(&self) -> i64 {
        self.account.capacity
    }

    /// Returns the memory that is free, in bytes. It is negative while bodies take more than there is.
    #[must_use]
    pub fn free_bytes(&self) -> i64 {
        self.account.free.load(Ordering::Relaxed)
    }

    /// Returns whether there is no memory for a further request, however small its bodies.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.free_bytes() <= 0
    }

    /// Returns the size in bytes up to which an answer is held at this time, whatever else is.
    #[must_use]
    pub fn always_held_bytes(&self) -> usize {
        body_memory::always_held_bytes(self.account.capacity, self.free_bytes())
    }

    /// Returns the memory that a body takes while it is forwarded as it arrives, in bytes.
    #[must_use]
    pub const fn transit_bytes(&self) -> usize {
        self.transit_bytes
    }

    /// Returns a reservation of no bytes.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        Reservation { account: Arc::clone(&self.account), bytes: 0 }
    }

    /// Returns a buffer without bytes.
    #[must_use]
    pub fn buffer(&self) -> HeldBytes {
        HeldBytes { bytes: Vec::new(), memory: self.reserve() }
    }
}

impl Reservation {
    /// Takes `bytes` more if there is room for this use. Returns whether there was.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize, body_use: BodyUse) -> bool {
        let more = signed(bytes);
        let take =
            |free| body_memory::may_take(self.account.capacity, free, more, body_use).then(|| free - more);
        let is_taken = self.account.free.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok();
        if is_taken {
            self.bytes += bytes;
        }
        is_taken
    }

    /// Takes `bytes` more even if there is no room, for what has already been read and must be forwarded.
    pub fn grow(&mut self, bytes: usize) {
        self.account.free.fetch_sub(signed(bytes), Ordering::Relaxed);
        self.bytes += bytes;
    }

    /// Frees all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let freed = self.bytes.saturating_sub(bytes);
        self.account.free.fetch_add(signed(freed), Ordering::Relaxed);
        self.bytes -= freed;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

impl HeldBytes {
    /// Returns the bytes.
    #[must_use]
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends bytes if there is room, and returns whether there was. `length` is the final length if it is
    /// known, so that the bytes are not moved again.
    #[must_use]
    pub fn append(&mut self, bytes: &[u8], length: Option<usize>) -> bool {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            let grown = length.unwrap_or_else(|| needed.next_power_of_two()).max(needed);
            let body_use = match grown {
                0..=body_memory::SMALL_BODY_BYTES => BodyUse::SmallBody,
                _ => BodyUse::LongBody,
            };
            if !self.memory.try_grow(grown - self.bytes.capacity(), body_use) {
                return false;
            }
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Returns the bytes, which keep their memory until the last copy is dropped.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn signed(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
