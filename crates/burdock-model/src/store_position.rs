//! Order of the states of the platform's store.

use std::fmt;

/// A state of the platform's store. A store that comes back from an older copy begins a new era and gives out
/// revisions again, so states are ordered by era first.
///
/// ```
/// use burdock_model::store_position::StorePosition;
/// let before = StorePosition { era: 0, revision: 900 };
/// assert!(StorePosition { era: 1, revision: 850 } > before);
/// assert_eq!(before.to_string(), "0.900");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// Number of the era, which rises with each restore from a copy.
    pub era: u64,
    /// Revision in this era.
    pub revision: u64,
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
