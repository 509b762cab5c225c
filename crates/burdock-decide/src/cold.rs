//! How much a cold backend server gets.
//!
//! The bound on its requests in a second holds over all instances. A few of them, by rendezvous rank, send to
//! it at all, each at its part of the rate, so that the bound holds with no message between them and also
//! while their views of the fleet differ by some members.

use burdock_model::hash::{rendezvous_order, stable_hash};

use crate::limit::{Allotment, TOKEN};

/// Instances that send to one cold backend server.
pub const SENDERS: usize = 2;

/// Part of the bound that is used, so that two views of the fleet with no sender in common still keep it.
const USED_PART: f64 = 0.5;

/// Whether an instance sends to a cold backend server. `instances` are those that may.
///
/// ```
/// use burdock_decide::cold::sends;
/// let all = ["a", "b", "c", "d"];
/// assert_eq!(all.iter().filter(|own| sends("server", own, all.into_iter())).count(), 2);
/// ```
#[must_use]
pub fn sends<'a>(backend: &str, own: &str, instances: impl Iterator<Item = &'a str>) -> bool {
    const SEED: u64 = 21;
    let subject = stable_hash(backend.as_bytes(), SEED);
    rendezvous_order(subject, instances, |id| id).into_iter().take(SENDERS).any(|id| id == own)
}

/// What one sender may send to a backend server that bears `rate` requests a second.
#[must_use]
pub fn allotment(rate: f64) -> Allotment {
    let part = (rate * USED_PART / SENDERS as f64).max(0.0);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
    let rate = (part * TOKEN as f64) as u64;
    Allotment { rate, cap: TOKEN }
}
