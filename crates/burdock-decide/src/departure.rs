//! Reports of backend servers whose entries were removed.
//!
//! The store may execute a report seconds after it was sent. By then the backend server may have left and its entry
//! may be gone, and the late report writes the entry again. A backend server whose reports were lost for a while comes
//! back in the same way.

use std::time::Duration;

use crate::time::Time;

/// Maximum time from a report being sent to an instance learning that the store executed it.
pub const MAX_REPORT_DELAY: Duration = Duration::from_secs(7);

/// Report intervals of silence after which an entry is removed.
const INTERVALS_TO_REMOVAL: u32 = 3;

/// Time that an entry may outlive its backend server's last report beyond [`INTERVALS_TO_REMOVAL`].
const REMOVAL_SLACK: Duration = Duration::from_secs(1);

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

/// What a report after the removal of an entry says of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnVerdict {
    /// It was made before the removal and says nothing.
    Outdated,
    /// It may have been made before the removal. The backend server is alive if a status check confirms it, or if its
    /// entry is still there at this time.
    Unconfirmed {
        /// Time by which the entry of a backend server that has left is removed again.
        until: Time,
    },
    /// It was made after the removal, or by another process.
    Alive,
}

impl Departure {
    /// Judges a report of which this instance learns at `now`. `report_interval` is the time between two reports.
    ///
    /// The entry does not change with the number of the report alone, so that the last known number may be far below
    /// that of the last report.
    ///
    /// ```
    /// use burdock_decide::departure::{Departure, MAX_REPORT_DELAY, ReturnVerdict};
    /// use burdock_decide::time::Time;
    /// use std::time::Duration;
    /// let departure = Departure { started_ms: 1000, sequence: 11, at: Time(0) };
    /// let judge = |started_ms, sequence, now| departure.judge(started_ms, sequence, Duration::from_secs(1), now);
    /// assert_eq!(judge(1000, 11, Time(1)), ReturnVerdict::Outdated);
    /// assert!(matches!(judge(1000, 12, Time(1)), ReturnVerdict::Unconfirmed { .. }));
    /// assert_eq!(judge(1000, 12, Time(0) + MAX_REPORT_DELAY), ReturnVerdict::Alive);
    /// assert_eq!(judge(2000, 1, Time(1)), ReturnVerdict::Alive);
    /// ```
    #[must_use]
    pub fn judge(
        &self,
        started_ms: u64,
        sequence: u64,
        report_interval: Duration,
        now: Time,
    ) -> ReturnVerdict {
        if started_ms == 0 || self.started_ms == 0 || started_ms > self.started_ms {
            return ReturnVerdict::Alive;
        }
        if started_ms < self.started_ms || sequence <= self.sequence {
            return ReturnVerdict::Outdated;
        }
        if now.since(self.at) >= MAX_REPORT_DELAY {
            return ReturnVerdict::Alive;
        }
        let silence = report_interval.saturating_mul(INTERVALS_TO_REMOVAL);
        let until = self.at + MAX_REPORT_DELAY + silence + REMOVAL_SLACK;
        ReturnVerdict::Unconfirmed { until }
    }
}
