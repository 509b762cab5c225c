//! Sends a second copy of a request whose response is missing for unusually long.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use burdock_decide::hedge::{
    DelayView, HedgeDelay, HedgeRefusal, HedgeView, MAX_LOOKS, SLOW_FACTOR, SecondView, delay_quantile,
    hedge_delay, is_fit_for_hedge, look_again_delay, may_hedge,
};
use burdock_decide::place::Placement;
use burdock_decide::time::Time;
use burdock_model::hedging::HedgeLimit;
use burdock_model::site::SiteConfigIndex;

use crate::forward::body::RequestBody;
use crate::hedging::{TimesKey, count_refusal};
use crate::observe::counters::Counter;
use crate::site::attempt::{Attempt, AttemptFailure};
use crate::site::backend::Backend;
use crate::site::name_hash;
use crate::site::send::{BackendAnswer, ForwardOutcome, select_backend};

/// How the second copy of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeResult {
    /// Its answer went to the caller.
    Won,
    /// The first attempt answered before it.
    Cancelled,
    /// It failed, or both attempts did.
    Failed,
}

impl HedgeResult {
    /// Returns the word for log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::Cancelled => "cancelled",
            Self::Failed => "failed",
        }
    }
}

type AttemptResult = Result<BackendAnswer, AttemptFailure>;

// The first attempt of a request that may get a second copy.
struct FirstAttempt<'a> {
    attempt: &'a Attempt<'a>,
    config: &'a SiteConfigIndex,
    started_at: Time,
    times_key: TimesKey,
    round_trip_ms: f64,
}

/// Runs the first attempt of a request, and a second copy on another backend server if the answer is missing
/// for unusually long and the limit allows it. The first whole answer wins; the other attempt is dropped,
/// which closes its connection.
///
/// # Errors
/// The failures of all attempts, the first one first.
pub async fn run_first_attempt(
    attempt: &Attempt<'_>,
    config: &SiteConfigIndex,
    body: RequestBody,
    outcome: &mut ForwardOutcome,
) -> Result<BackendAnswer, Vec<AttemptFailure>> {
    let (node, service) = (attempt.node, &attempt.service.name);
    let limit = node.hedge_limit(service);
    node.hedging.record_first_attempt(service, limit, node.clock.now());
    let copy = body.try_clone().filter(|_| attempt.outbound.route.repeatable && !limit.is_off());
    let Some(copy) = copy else {
        return attempt.run(body).await.map_err(|failure| vec![failure]);
    };
    let first = FirstAttempt::new(attempt, config);
    let running = std::pin::pin!(attempt.run(body));
    first.run(running, copy, limit, outcome).await
}

impl<'a> FirstAttempt<'a> {
    fn new(attempt: &'a Attempt<'a>, config: &'a SiteConfigIndex) -> Self {
        let (node, backend) = (attempt.node, attempt.backend);
        let started_at = node.clock.now();
        let has_object = attempt.outbound.object_hash.is_some() && attempt.outbound.route.affinity;
        let times_key = TimesKey {
            route_hash: name_hash(attempt.outbound.route.name.as_str()),
            is_cold: has_object && attempt.placement.rank != Some(0),
            is_slow: slowness(backend, started_at) >= SLOW_FACTOR,
        };
        let round_trips_ms = node.backends.round_trips_ms(std::slice::from_ref(backend));
        Self { attempt, config, started_at, times_key, round_trip_ms: round_trips_ms[backend.region] }
    }

    async fn run(
        &self,
        mut running: Pin<&mut impl Future<Output = AttemptResult>>,
        copy: RequestBody,
        limit: HedgeLimit,
        outcome: &mut ForwardOutcome,
    ) -> Result<BackendAnswer, Vec<AttemptFailure>> {
        let mut refusal = None;
        if let Some(delay) = self.delay(limit) {
            let mut look_after = delay.delay;
            for _ in 0..=MAX_LOOKS {
                let look_at = self.attempt.node.clock.instant(self.started_at + look_after);
                if let Ok(result) = tokio::time::timeout_at(look_at, running.as_mut()).await {
                    return self.finish(result, refusal);
                }
                match self.take_second(delay, outcome) {
                    Ok((backend, placement)) => {
                        return self.run_both(running, &backend, &placement, copy, outcome).await;
                    }
                    Err(reason) => refusal = Some(reason),
                }
                if !refusal.is_some_and(HedgeRefusal::is_temporary) {
                    break;
                }
                look_after += look_again_delay(delay.delay);
            }
        }
        self.finish(running.await, refusal)
    }

    fn delay(&self, limit: HedgeLimit) -> Option<HedgeDelay> {
        let Attempt { node, outbound, placement, .. } = self.attempt;
        let quantile_ms = node.hedging.quantile_ms(self.times_key, delay_quantile(limit), self.started_at);
        let target_at = outbound.arrived_at + outbound.route.latency_target;
        hedge_delay(&DelayView {
            quantile_ms: quantile_ms.map(|ms| ms + self.round_trip_ms),
            expected_ms: placement.expected_ms,
            second_ms: node.warm_service_ms(outbound.route),
            target_ms: Some(target_at.since(self.started_at).as_secs_f64() * 1e3),
        })
    }

    // Selects the backend server for a second copy and takes what it costs from credit and retry budget.
    fn take_second(
        &self,
        delay: HedgeDelay,
        outcome: &ForwardOutcome,
    ) -> Result<(Arc<Backend>, Placement), HedgeRefusal> {
        let Attempt { node, outbound, service, suspect, has_head, .. } = *self.attempt;
        let now = node.clock.now();
        let warm_ms = node.warm_service_ms(outbound.route);
        may_hedge(&HedgeView {
            repeatable: outbound.route.repeatable,
            is_suspect: suspect.has_strikes(node),
            // The request might be a command by now, or its organisation be confined to other regions.
            config_changed: node.config.load().published.version != self.config.published.version,
            is_answering: has_head.load(Ordering::Relaxed),
            attempts_made: outcome.tried.len(),
            max_attempts: usize::try_from(outbound.route.max_attempts).unwrap_or(usize::MAX),
            time_left: outbound.time_left(now),
            second_time: Duration::from_secs_f64(warm_ms / 1e3),
            busy_fraction: self.busy_fraction(now),
            refused_fraction: node.hedging.refused_fraction(&service.name, now),
            has_credit: node.hedging.covers(&service.name, delay.is_late(now.since(self.started_at))),
        })?;
        let (backend, placement) = select_backend(node, outbound, service, &outcome.tried, now)
            .filter(|(backend, placement)| self.is_fit(backend, placement, now))
            .ok_or(HedgeRefusal::NoBackend)?;
        match node.hedging.take(&service.name, || node.withdraw_spare_retry(&service.name)) {
            Some(true) => Ok((backend, placement)),
            Some(false) => Err(HedgeRefusal::RetryBudget),
            None => Err(HedgeRefusal::Limit),
        }
    }

    // With the first one excluded, the other preferred backend server of the object has rank 0.
    fn is_fit(&self, backend: &Backend, placement: &Placement, now: Time) -> bool {
        let outbound = self.attempt.outbound;
        let has_object = outbound.object_hash.is_some() && outbound.route.affinity;
        let is_fit = is_fit_for_hedge(&SecondView {
            is_warm: !has_object || placement.rank == Some(0),
            is_cold: backend.is_cold(now),
            is_queued: placement.is_queued,
            slowness: slowness(backend, now),
        });
        is_fit && placement.expected_ms < outbound.time_left(now).as_secs_f64() * 1e3
    }

    fn busy_fraction(&self, now: Time) -> f64 {
        let usable = self.attempt.node.backends.usable();
        let backends = usable.services.get(&self.attempt.service.name).map_or(&[] as &[_], Vec::as_slice);
        let (load, slots) = backends.iter().fold((0.0, 0.0), |(load, slots), backend| {
            let candidate = backend.candidate(false, 0.0, true, now);
            (load + f64::from(candidate.load), slots + f64::from(candidate.slots))
        });
        load / f64::max(slots, 1.0)
    }

    async fn run_both(
        &self,
        mut running: Pin<&mut impl Future<Output = AttemptResult>>,
        backend: &Arc<Backend>,
        placement: &Placement,
        copy: RequestBody,
        outcome: &mut ForwardOutcome,
    ) -> Result<BackendAnswer, Vec<AttemptFailure>> {
        let node = self.attempt.node;
        node.counters.add(Counter::Hedges);
        log::info!(
            id = self.id(), first = self.attempt.backend.registered.id.as_str(),
            backend = backend.registered.id.as_str(), expected_ms = self.attempt.placement.expected_ms.round(),
            after_ms = self.elapsed_ms().round();
            "second copy sent: no response in the usual time"
        );
        outcome.tried.push(Arc::clone(backend));
        let has_head = AtomicBool::new(false);
        let second = Attempt { backend, placement, has_head: &has_head, ..*self.attempt };
        let mut second_running = Box::pin(second.run(copy));
        let (result, is_first) = tokio::select! {
            result = running.as_mut() => (result, true),
            result = second_running.as_mut() => (result, false),
        };
        let (answer, is_first) = match result {
            Ok(answer) => {
                node.counters.add(Counter::HedgesCancelled);
                (answer, is_first)
            }
            // No retry is made meanwhile: the other attempt may still answer.
            Err(failure) => {
                outcome.hedge = Some(HedgeResult::Failed);
                let other = if is_first { second_running.await } else { running.await };
                match other {
                    Ok(answer) => (answer, !is_first),
                    Err(other) if is_first => return Err(vec![failure, other]),
                    Err(other) => return Err(vec![other, failure]),
                }
            }
        };
        if is_first {
            self.record_time();
            outcome.hedge = outcome.hedge.or(Some(HedgeResult::Cancelled));
        } else {
            self.record_lost(outcome.hedge.is_none());
            outcome.hedge = Some(HedgeResult::Won);
            outcome.placement = Some(*placement);
        }
        Ok(answer)
    }

    // Records what is known of a first attempt whose second copy answered.
    fn record_lost(&self, was_cancelled: bool) {
        self.attempt.node.counters.add(Counter::HedgesWon);
        if was_cancelled {
            self.record_time();
            let factor = self.elapsed_ms() / self.attempt.placement.expected_ms.max(1.0);
            self.attempt.backend.record_overdue(factor, self.attempt.node.clock.now());
        }
    }

    fn finish(
        &self,
        result: AttemptResult,
        refusal: Option<HedgeRefusal>,
    ) -> Result<BackendAnswer, Vec<AttemptFailure>> {
        if let Some(refusal) = refusal {
            count_refusal(&self.attempt.node.counters, refusal);
            log::info!(
                id = self.id(), first = self.attempt.backend.registered.id.as_str(),
                reason = refusal.as_str(), after_ms = self.elapsed_ms().round();
                "no second copy sent"
            );
        }
        if result.is_ok() {
            self.record_time();
        }
        result.map_err(|failure| vec![failure])
    }

    // A request that waited in a queue says nothing of the time that its work takes.
    fn record_time(&self) {
        let Attempt { node, placement, .. } = self.attempt;
        if !placement.is_queued {
            let service_ms = self.elapsed_ms() - self.round_trip_ms;
            node.hedging.record_time(self.times_key, service_ms, node.clock.now());
        }
    }

    fn elapsed_ms(&self) -> f64 {
        self.attempt.node.clock.now().since(self.started_at).as_secs_f64() * 1e3
    }

    fn id(&self) -> &str {
        self.attempt.outbound.attempt_id.to_str().unwrap_or_default()
    }
}

fn slowness(backend: &Backend, now: Time) -> f64 {
    backend.candidate(false, 0.0, true, now).slowness
}
