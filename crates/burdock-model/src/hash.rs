//! Hashes that every instance computes alike.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A stable 64-bit hash of some bytes under a seed.
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

/// The rendezvous weight of a member for a subject. The highest weight ranks first.
#[must_use]
pub fn rendezvous_weight(subject: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), subject)
}

/// The members ordered by rendezvous rank for a subject, best first.
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

/// The SHA-256 of some bytes.
#[must_use]
pub fn sha256(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}

/// The SHA-256 of some bytes in hexadecimal: the name of a blob.
#[must_use]
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(sha256(bytes))
}

/// Whether two secrets are the same, in a time that does not depend on where they differ.
#[must_use]
pub fn secrets_match(a: &str, b: &str) -> bool {
    sha256(a.as_bytes()).ct_eq(&sha256(b.as_bytes())).into()
}
