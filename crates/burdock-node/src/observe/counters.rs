//! Counters of events, for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident => $text:literal,)+) => {
        /// Events that are counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter {
            $($(#[$doc])* $name,)+
        }

        impl Counter {
            /// All counters.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Returns the name in metrics.
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
    /// Requests refused that no backend server ran.
    RefusedNotRun => "requests.refused.not_run",
    /// Requests refused that a backend server may have run.
    RefusedUnknown => "requests.refused.unknown",
    /// Requests refused because their organisation exceeds its rate.
    OverRate => "requests.refused.over_rate",
    /// Requests refused because their API key is not accepted.
    KeyRefused => "requests.refused.key",
    /// Requests refused because the admission queue is full.
    Overloaded => "requests.refused.overloaded",
    /// Requests refused because no queue of a backend server had room for them.
    NoRoom => "requests.refused.no_room",
    /// Requests refused because they can't be answered in the time left.
    NoTime => "requests.refused.no_time",
    /// Streams ended because their API key was withdrawn.
    StreamsEnded => "streams.ended_by_withdrawal",
    /// Responses that ended before their body was complete.
    AnswersCut => "answers.cut",
    /// Attempts after the first one of a request.
    Retries => "attempts.retries",
    /// Load headers of backend servers with figures that make no sense.
    InvalidLoads => "backend_loads.invalid",
    /// Changes of the plans that divide requests over regions.
    PlanChanges => "plan.changes",
    /// Hedged attempts.
    Hedges => "attempts.hedges",
    /// Hedged attempts whose response went to the caller.
    HedgesWon => "hedges.won",
    /// Attempts cancelled because the other attempt of a hedged request was answered first.
    HedgesCancelled => "hedges.cancelled",
    /// Slow requests without a hedged attempt because the limit was used up.
    HedgesOverLimit => "hedges.refused.limit",
    /// Slow requests without a hedged attempt because the retry budget is kept for retries.
    HedgesOverRetryBudget => "hedges.refused.retry_budget",
    /// Slow requests without a hedged attempt because their service was under pressure.
    HedgesUnderPressure => "hedges.refused.pressure",
    /// Slow requests without a hedged attempt because no other backend server was fit for it.
    HedgesWithoutBackend => "hedges.refused.no_backend",
    /// Attempts not made because the retry budget was exhausted.
    RetryBudgetSpent => "attempts.over_budget",
    /// Statuses of backend servers that would have wrongly meant "not run" and were replaced.
    MisleadingStatuses => "attempts.misleading_statuses",
    /// Refusals without an id, on connections with earlier answers, of requests that may run only once.
    UnattributedRefusals => "attempts.unattributed_refusals",
    /// Long answers whose rest was held because requests that were started early wait behind them.
    AnswersHeldForOthers => "answers.held_for_others",
    /// Requests that were started early and lost their answer because this instance closed the connection.
    EarlyRequestsDropped => "pipeline.dropped",
    /// Callers that closed their sending side while a request was at work.
    CallersHalfClosed => "connections.half_closed",
    /// Times that the store came back from an older copy.
    StoreRestores => "store.restores",
    /// Status checks of backend servers whose entries came back.
    StatusChecks => "backends.status_checks",
    /// Calls to other instances for changes of the store.
    PeerQueries => "store.peer_queries",
    /// Steering answers sent.
    SteeringAnswers => "steer.answers",
    /// Steering answers that name instances outside the caller's region.
    SteeringAnswersAbroad => "steer.answers_abroad",
    /// Loans of tokens requested from other share holders.
    LoansRequested => "limits.loans_asked",
    /// Tokens borrowed from other share holders.
    TokensBorrowed => "limits.tokens_borrowed",
    /// Tokens lent to other share holders.
    TokensLent => "limits.tokens_lent",
    /// Claims of idempotency keys written to the store.
    Claims => "once.claims",
    /// Stored responses sent again for a repeated idempotency key.
    Replays => "once.replays",
    /// Requests relayed to the owner of their idempotency key.
    Relays => "once.relays",
    /// Requests refused because there was no memory for their bodies.
    BodiesRefused => "bodies.refused",
    /// Request bodies that were too long to be held and were forwarded as they arrived.
    BodiesStreamed => "bodies.streamed",
    /// Answers of which a part was forwarded as it arrived, because it was too long or memory was short.
    AnswersStreamed => "answers.streamed",
    /// Requests refused because they are in quarantine.
    Quarantined => "quarantine.refused",
    /// Strikes recorded against requests whose backend server crashed.
    Strikes => "quarantine.strikes",
    /// Backend servers ejected because of their outcomes.
    Ejections => "backends.ejected",
    /// Probes sent to backend servers.
    Probes => "backends.probes",
    /// Gossip exchanges with other instances.
    Exchanges => "fleet.exchanges",
    /// Gossip exchanges that failed.
    ExchangesFailed => "fleet.exchanges_failed",
    /// Configurations installed.
    Installs => "config.installs",
    /// Configurations that could not be read or resolved.
    InstallsFailed => "config.installs_failed",
    /// Invalid entries of backend servers, instances and zones that were ignored.
    EntriesInvalid => "store.entries_invalid",
    /// Background tasks that ended by an unexpected error and were started again.
    TasksRestarted => "tasks.restarted",
    /// Share records written to the store.
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
    /// Adds one to a counter.
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

    /// Adds a number to a counter.
    pub fn add_many(&self, counter: Counter, count: u64) {
        self.values[counter as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the count since the start of the process.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }
}
