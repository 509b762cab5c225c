//! Counters that requests and loops add to.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident => $text:literal,)+) => {
        /// What is counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter {
            $($(#[$doc])* $name,)+
        }

        impl Counter {
            /// Every counter.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Its name in metrics.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }
        }
    };
}

counters! {
    /// Requests received.
    Requests => "requests",
    /// Requests answered by a backend server.
    Answered => "requests.answered",
    /// Requests refused as not run.
    RefusedNotRun => "requests.refused.not_run",
    /// Requests refused with an unknown outcome.
    RefusedUnknown => "requests.refused.unknown",
    /// Requests refused because the organisation is over its rate.
    OverRate => "requests.refused.over_rate",
    /// Requests refused because their key is.
    KeyRefused => "requests.refused.key",
    /// Requests refused by a full admission queue.
    Overloaded => "requests.refused.overloaded",
    /// Streams ended because their key was withdrawn.
    StreamsEnded => "streams.ended_by_withdrawal",
    /// Answers that were cut.
    AnswersCut => "answers.cut",
    /// Further attempts made.
    Retries => "attempts.retries",
    /// Second copies sent.
    Hedges => "attempts.hedges",
    /// Attempts not made for want of budget.
    RetryBudgetSpent => "attempts.over_budget",
    /// Steering answers given.
    SteeringAnswers => "steer.answers",
    /// Tokens asked of other holders.
    LoansRequested => "limits.loans_asked",
    /// Tokens received from other holders.
    TokensBorrowed => "limits.tokens_borrowed",
    /// Tokens given to other holders.
    TokensLent => "limits.tokens_lent",
    /// Claims written to the store.
    Claims => "once.claims",
    /// Answers given again.
    Replays => "once.replays",
    /// Requests relayed to their owner.
    Relays => "once.relays",
    /// Requests held back.
    Quarantined => "quarantine.refused",
    /// Crashes of backend servers noted.
    Strikes => "quarantine.strikes",
    /// Backend servers ejected by outcomes.
    Ejections => "backends.ejected",
    /// Probes sent.
    Probes => "backends.probes",
    /// Rounds of exchange.
    Exchanges => "fleet.exchanges",
    /// Exchanges that failed.
    ExchangesFailed => "fleet.exchanges_failed",
    /// Configurations installed.
    Installs => "config.installs",
    /// Configurations that could not be read or resolved.
    InstallsFailed => "config.installs_failed",
    /// Writes of share records.
    ShareWrites => "limits.share_writes",
}

/// All counters of one instance.
#[derive(Debug)]
pub struct Counters {
    values: Box<[AtomicU64]>,
}

impl Default for Counters {
    fn default() -> Self {
        Self { values: Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect() }
    }
}

impl Counters {
    /// Adds one.
    ///
    /// ```
    /// use burdock_node::observe::counters::{Counter, Counters};
    /// let counters = Counters::default();
    /// counters.add(Counter::Requests);
    /// assert_eq!(counters.get(Counter::Requests), 1);
    /// ```
    pub fn add(&self, counter: Counter) {
        self.add_many(counter, 1);
    }

    /// Adds a number.
    pub fn add_many(&self, counter: Counter, count: u64) {
        self.values[counter as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// The count so far.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }
}
