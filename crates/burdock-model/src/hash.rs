//! Hash functions that give the same result on every instance.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Returns a 64-bit hash of the bytes under a seed. The value is the same on every instance.
///
/// ```
/// use burdock_model::hash::stable_hash;
/// assert_eq!(stable_hash(b"a", 1), stable_hash(b"a", 1));
/// assert_ne!(stable_hash(b"a", 1), stable_hash(b"a", 2));
/// ```
#[must_use]
pub fn stable_hash(bytes: &[u8], seed: u64) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Computes [`stable_hash`] of bytes that arrive in parts.
///
/// ```
/// use burdock_model::hash::{StableHasher, stable_hash};
/// let mut hasher = StableHasher::new(1);
/// hasher.update(b"a");
/// hasher.update(b"bc");
/// assert_eq!(hasher.finish(), stable_hash(b"abc", 1));
/// ```
#[derive(Clone)]
pub struct StableHasher(Box<Xxh3>);

impl StableHasher {
    /// Creates a hasher that has seen no bytes yet.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(Box::new(Xxh3::with_seed(seed)))
    }

    /// Adds the next bytes.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the hash of all bytes so far.
    #[must_use]
    pub fn finish(&self) -> u64 {
        self.0.digest()
    }
}

impl std::fmt::Debug for StableHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("StableHasher").field(&self.finish()).finish()
    }
}

/// Returns the rendezvous weight of a member for a subject. The highest weight ranks first.
#[must_use]
pub fn rendezvous_weight(subject: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), subject)
}

/// Orders the members by rendezvous hashing for a subject, highest weight first.
///
/// ```
/// use burdock_model::hash::rendezvous_order;
/// let all = rendezvous_order(7, ["a", "b", "c"].into_iter(), |m| m);
/// let without = rendezvous_order(7, ["a", "b", "c"].into_iter().filter(|m| *m != all[0]), |m| m);
/// assert_eq!(all[1..], without[..]);
/// ```
pub fn rendezvous_order<T>(
    subject: u64,
    members: impl Iterator<Item = T>,
    name: impl Fn(&T) -> &str,
) -> Vec<T> {
    let mut weighted: Vec<(u64, T)> = members.map(|m| (rendezvous_weight(subject, name(&m)), m)).collect();
    weighted.sort_by(|(wa, a), (wb, b)| wb.cmp(wa).then_with(|| name(a).cmp(name(b))));
    weighted.into_iter().map(|(_, m)| m).collect()
}

/// Returns the SHA-256 digest of the bytes.
#[must_use]
pub fn sha256(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}

/// Returns the SHA-256 digest of the bytes in hexadecimal, which is also the name of a blob.
#[must_use]
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(sha256(bytes))
}

/// Compares two secrets in a time that does not depend on where they differ.
#[must_use]
pub fn secrets_match(a: &str, b: &str) -> bool {
    sha256(a.as_bytes()).ct_eq(&sha256(b.as_bytes())).into()
}
