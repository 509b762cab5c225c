//! Reports of backend servers whose entries were removed.
//!
//! The store may execute a report seconds after it was sent. By then the backend server may have left and its entry
//! may be gone, and the late report writes the entry again.

use crate::time::Time;

/// Last report of a backend server before its entry was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Start of the process in Unix milliseconds; 0 if it is not known.
    pub started_ms: u64,
    /// Number of the report among those of the process.
    pub sequence: u64,
    /// When this instance learned of the removal.
    pub at: Time,
}

impl Departure {
    /// Returns whether a report was made before the removal: by an earlier process, or by the same one and not after
    /// its last known report.
    ///
    /// ```
    /// use burdock_decide::departure::Departure;
    /// use burdock_decide::time::Time;
    /// let departure = Departure { started_ms: 1000, sequence: 11, at: Time(0) };
    /// assert!(departure.precludes(1000, 10) && departure.precludes(900, 20));
    /// assert!(!departure.precludes(1000, 12) && !departure.precludes(2000, 1));
    /// ```
    #[must_use]
    pub const fn precludes(&self, started_ms: u64, sequence: u64) -> bool {
        if started_ms == 0 || self.started_ms == 0 {
            return false;
        }
        started_ms < self.started_ms || (started_ms == self.started_ms && sequence <= self.sequence)
    }
}
