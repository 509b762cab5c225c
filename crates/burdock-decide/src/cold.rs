//! Rate limit of requests to a cold backend server.
//!
//! The limit in requests per second holds over all instances. Only a few of them, by rendezvous rank, send to
//! a cold backend server, each at its share of the rate. So the limit holds without messages between them,
//! and also while their views of the fleet differ by a few members.

use burdock_model::hash::{rendezvous_order, stable_hash};

use crate::limit::{Allotment, TOKEN};

/// Instances that send to each cold backend server.
pub const SENDERS_PER_BACKEND: usize = 2;

/// Fraction of the limit that is used. Two views of the fleet without a common sender exceed the limit by half at
/// most, which is what the operators tolerate beside their slack.
const USED_FRACTION: f64 = 0.75;

/// Returns whether the instance `own` sends to a cold backend server. `instances` are all that may.
///
/// ```
/// use burdock_decide::cold::is_sender;
/// let all = ["a", "b", "c", "d"];
/// assert_eq!(all.iter().filter(|own| is_sender("backend", own, all.into_iter())).count(), 2);
/// ```
#[must_use]
pub fn is_sender<'a>(backend: &str, own: &str, instances: impl Iterator<Item = &'a str>) -> bool {
    const SEED: u64 = 21;
    let subject = stable_hash(backend.as_bytes(), SEED);
    rendezvous_order(subject, instances, |id| id).into_iter().take(SENDERS_PER_BACKEND).any(|id| id == own)
}

/// Returns the allotment of one sender for a backend server with a limit of `rate` requests per second.
#[must_use]
pub fn sender_allotment(rate: f64) -> Allotment {
    let share = (rate * USED_FRACTION / SENDERS_PER_BACKEND as f64).max(0.0);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float cast saturates")]
    let rate = (share * TOKEN as f64) as u64;
    Allotment { rate, cap: TOKEN }
}
