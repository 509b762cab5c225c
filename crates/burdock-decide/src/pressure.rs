//! Pressure on a service: how much work is asked of the slots of its backend servers.
//!
//! Load pattern: a burst of 1.7 times the demand on backend servers that are loaded to 85%. Loads alone stay
//! at the bounds of the queues, however many requests are refused beside them, so refusals count, too.

use std::time::Duration;

/// Time after which refusals that other instances reported don't count any more: a few reports.
const REPORT_TTL: Duration = Duration::from_millis(1100);

/// What the pressure on a service follows from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PressureView {
    /// Slots of the backend servers that may be used.
    pub slots: f64,
    /// Requests that run or wait there, as far as this instance knows.
    pub load: f64,
    /// Mean time of all work of the service, in milliseconds.
    pub mean_ms: f64,
    /// Requests per second that this instance refuses for lack of capacity.
    pub own_refusals_per_s: f64,
    /// Requests per second that other instances reported to refuse.
    pub other_refusals_per_s: f64,
    /// Time since other instances reported.
    pub report_age: Duration,
}

impl PressureView {
    /// Returns the requests that are asked of each slot: those that run or wait, and those that were refused
    /// in one service time. Above 1 the slots can't run all of them.
    ///
    /// ```
    /// use burdock_decide::pressure::PressureView;
    /// use std::time::Duration;
    /// let view = PressureView { slots: 100.0, load: 120.0, mean_ms: 400.0, own_refusals_per_s: 50.0,
    ///     other_refusals_per_s: 150.0, report_age: Duration::ZERO };
    /// assert_eq!(view.pressure(), 2.0);
    /// // An instance without fresh reports knows only its own refusals.
    /// assert_eq!(PressureView { report_age: Duration::from_secs(5), ..view }.pressure(), 1.4);
    /// ```
    #[must_use]
    pub fn pressure(&self) -> f64 {
        let refused = self.refusals_per_s() * self.mean_ms / 1e3;
        (self.load + refused) / self.slots.max(1.0)
    }

    /// Returns the figures that operators see, each with its name.
    ///
    /// ```
    /// use burdock_decide::pressure::PressureView;
    /// assert_eq!(PressureView::default().figures()[0], ("pressure", 0.0));
    /// ```
    #[must_use]
    pub fn figures(&self) -> [(&'static str, f64); 5] {
        [
            ("pressure", self.pressure()),
            ("load", self.load),
            ("slots", self.slots),
            ("mean_ms", self.mean_ms),
            ("refusals_per_s", self.refusals_per_s()),
        ]
    }

    /// Returns the requests per second that the fleet refuses for lack of capacity.
    #[must_use]
    pub fn refusals_per_s(&self) -> f64 {
        let others = if self.has_fresh_reports() { self.other_refusals_per_s.max(0.0) } else { 0.0 };
        self.own_refusals_per_s + others
    }

    fn has_fresh_reports(&self) -> bool {
        self.report_age < REPORT_TTL
    }
}
