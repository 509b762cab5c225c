//! How much a cold backend server gets.
//!
//! The bound on its requests in a second holds over all instances. A few of them, by rendezvous rank, send to
//! it at all, each at its part of the rate, so that the bound holds with no message between them and also
//! while their views of the fleet differ by some members.

use burdock_model::hash::{ranked, stable};

use crate::limit::{Allotment, TOKEN};

/// Instances that send to one cold backend server.
pub const SENDERS_PER_BACKEND: usize = 2;

/// Part of the bound that is used, so that two views of the fleet with no sender in common still keep it.
const USED_FRACTION: f64 = 0.5;

/// Whether an instance sends to a cold backend server. `instances` are those that may.
///
/// ```
/// use burdock_decide::cold::is_sender;
/// let all = ["a", "b", "c", "d"];
/// assert_eq!(all.iter().filter(|own| is_sender("server", own, all.into_iter())).count(), 2);
/// ```
#[must_use]
pub fn is_sender<'a>(backend: &str, own: &str, instances: impl Iterator<Item = &'a str>) -> bool {
    const SEED: u64 = 21;
    let subject = stable(backend.as_bytes(), SEED);
    ranked(subject, instances, |id| id).into_iter().take(SENDERS_PER_BACKEND).any(|id| id == own)
}

/// What one sender may send to a backend server that bears `rate` requests a second.
#[must_use]
pub fn sender_allotment(rate: f64) -> Allotment {
    let part = (rate * USED_FRACTION / SENDERS_PER_BACKEND as f64).max(0.0);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
    let rate = (part * TOKEN as f64) as u64;
    Allotment { rate, cap: TOKEN }
}
