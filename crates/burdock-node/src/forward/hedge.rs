//! Sends a second copy of a request whose response is missing for unusually long.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use burdock_decide::hedge::{
    DelayView, HedgeDelay, HedgeRefusal, HedgeView, MAX_LOOKS, SecondView, delay_quantile, hedge_delay,
    is_fit_for_hedge, look_again_delay, may_hedge,
};
use burdock_decide::pick::{BackendView, RAMP_UP_TIME, estimated_in_flight};
use burdock_decide::quarantine::{QuarantineDecision, STRIKES_TO_REFUSE};
use burdock_decide::time::Time;
use burdock_model::hash::stable_hash;
use burdock_model::hedging::HedgeLimit;

use crate::active_config::ServiceState;
use crate::forward::attempt::{AttemptFailure, AttemptResponse, attempt};
use crate::forward::backends::BackendState;
use crate::forward::body::RequestBody;
use crate::forward::outbound::Outbound;
use crate::forward::run::{record_failure, select_in_service};
use crate::hedging::{TimesKey, count_refusal};
use crate::node::Node;
use crate::observe::counters::Counter;

type AttemptResult = Result<AttemptResponse, AttemptFailure>;

// The first attempt of a request that may get a second copy.
struct FirstAttempt<'a> {
    node: &'a Node,
    outbound: &'a Outbound,
    service: &'a ServiceState,
    backend: &'a Arc<BackendState>,
    view: BackendView,
    started_at: Time,
    times_key: TimesKey,
}

/// Runs the first attempt of a request on the last of `tried`, and a second copy on another backend server if
/// the response is missing for unusually long and the limit allows it. The first response wins; the other
/// attempt is dropped, which closes its connection and so cancels it.
///
/// # Errors
/// The failure of the attempt; if both failed, of the one that may have run.
pub async fn run_first_attempt(
    node: &Node,
    outbound: &Outbound,
    service: &ServiceState,
    tried: &mut Vec<Arc<BackendState>>,
    body: RequestBody,
    runs_alone: bool,
) -> AttemptResult {
    let Some(backend) = tried.last().cloned() else {
        return Err(AttemptFailure {
            progress: burdock_decide::retry::SendProgress::NotWritten,
            error: burdock_model::error::ErrorKind::Internal.into(),
            body: Some(body),
            crashed: false,
        });
    };
    let limit = outbound.policy.hedge_limit;
    let started_at = node.clock.now();
    if !limit.is_off() {
        node.hedging.record_first_attempt(&service.name, limit, started_at);
    }
    let copy = body.try_clone().filter(|_| outbound.repeatable && !runs_alone && !limit.is_off());
    let running = std::pin::pin!(attempt(node, outbound, &backend, body, runs_alone));
    let first = FirstAttempt {
        view: backend.view(started_at),
        times_key: times_key(outbound, service),
        node,
        outbound,
        service,
        backend: &backend,
        started_at,
    };
    match copy {
        Some(copy) => first.run(running, copy, limit, tried).await,
        None => running.await.inspect_err(|failed| record_failure(node, outbound, service, &backend, failed)),
    }
}

fn times_key(outbound: &Outbound, service: &ServiceState) -> TimesKey {
    let route = &outbound.active_config.snapshot.routes[outbound.route];
    let service_hash = stable_hash(service.name.as_str().as_bytes(), 0);
    let route_hash = stable_hash(route.name.as_str().as_bytes(), service_hash);
    TimesKey { route_hash, is_cold: false, is_slow: false }
}

impl FirstAttempt<'_> {
    async fn run(
        &self,
        mut running: Pin<&mut impl Future<Output = AttemptResult>>,
        copy: RequestBody,
        limit: HedgeLimit,
        tried: &mut Vec<Arc<BackendState>>,
    ) -> AttemptResult {
        let mut refusal = None;
        if let Some(delay) = self.delay(limit) {
            let mut look_after = delay.delay;
            for _ in 0..=MAX_LOOKS {
                let look_at = self.node.clock.instant(self.started_at + look_after);
                if let Ok(result) = tokio::time::timeout_at(look_at, running.as_mut()).await {
                    return self.finish(result, refusal);
                }
                match self.take_second(delay, tried) {
                    Ok(second) => return self.run_both(running, second, copy, tried).await,
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
        let fixed = self.outbound.policy.hedge_after.duration();
        if !fixed.is_zero() {
            return Some(HedgeDelay { delay: fixed, latest: None });
        }
        let expected_ms = self.view.service_time.as_secs_f64() * 1e3;
        hedge_delay(&DelayView {
            quantile_ms: self.node.hedging.quantile_ms(
                self.times_key,
                delay_quantile(limit),
                self.started_at,
            ),
            expected_ms,
            second_ms: expected_ms,
            target_ms: None,
        })
    }

    // Selects the backend server for a second copy and takes what it costs from credit and retry budget.
    fn take_second(
        &self,
        delay: HedgeDelay,
        tried: &[Arc<BackendState>],
    ) -> Result<Arc<BackendState>, HedgeRefusal> {
        let Self { node, outbound, service, .. } = *self;
        let now = node.clock.now();
        let quarantine = node.quarantine.decision(outbound.fingerprint, STRIKES_TO_REFUSE, now);
        let is_late = delay.is_late(now.since(self.started_at));
        may_hedge(&HedgeView {
            repeatable: outbound.repeatable,
            is_suspect: quarantine != QuarantineDecision::Run,
            config_changed: !Arc::ptr_eq(
                &outbound.active_config.snapshot,
                &node.active_config.load().snapshot,
            ),
            // The attempt ends with the head of the response.
            is_answering: false,
            attempts_made: tried.len(),
            max_attempts: 1 + usize::from(outbound.policy.retries),
            time_left: outbound.deadline.since(now),
            second_time: self.view.service_time,
            busy_fraction: busy_fraction(service, now),
            refused_fraction: node.hedging.refused_fraction(&service.name, now),
            has_credit: node.hedging.covers(&service.name, is_late),
        })?;
        let second = select_in_service(node, outbound, service, tried, false)
            .filter(|second| self.is_fit(&second.view(now), now))
            .ok_or(HedgeRefusal::NoBackend)?;
        let withdraw_spare =
            || node.limits.retry_budget(outbound.organisation_name(), |budget| budget.withdraw_spare());
        match node.hedging.take(&service.name, withdraw_spare) {
            Some(true) => Ok(second),
            Some(false) => Err(HedgeRefusal::RetryBudget),
            None => Err(HedgeRefusal::Limit),
        }
    }

    fn is_fit(&self, second: &BackendView, now: Time) -> bool {
        let usual = self.view.service_time.max(Duration::from_micros(1));
        is_fit_for_hedge(&SecondView {
            is_warm: true,
            is_cold: now.since(second.available_since) < RAMP_UP_TIME,
            is_queued: estimated_in_flight(second, now) >= second.slots,
            slowness: second.service_time.as_secs_f64() / usual.as_secs_f64(),
        })
    }

    async fn run_both(
        &self,
        mut running: Pin<&mut impl Future<Output = AttemptResult>>,
        second: Arc<BackendState>,
        copy: RequestBody,
        tried: &mut Vec<Arc<BackendState>>,
    ) -> AttemptResult {
        let Self { node, outbound, .. } = *self;
        node.counters.add(Counter::Hedges);
        log::info!(
            id = outbound.request_id.to_str().unwrap_or_default(), first = self.backend.id.as_str(),
            backend = second.id.as_str(), after_ms = self.elapsed_ms().round();
            "second copy sent: no response in the usual time"
        );
        tried.push(Arc::clone(&second));
        let mut second_running = Box::pin(attempt(node, outbound, &second, copy, false));
        let (result, is_first) = tokio::select! {
            result = running.as_mut() => (result, true),
            result = second_running.as_mut() => (result, false),
        };
        let failed = match result {
            Ok(response) => {
                node.counters.add(Counter::HedgesCancelled);
                self.record_time();
                return Ok(self.count_winner(response, is_first));
            }
            Err(failed) => failed,
        };
        let (backend, other) = if is_first { (self.backend, &second) } else { (&second, self.backend) };
        self.record_failure(backend, &failed);
        // No retry is made meanwhile: the other attempt may still answer.
        let result = if is_first { second_running.await } else { running.await };
        match result {
            Ok(response) => Ok(self.count_winner(response, !is_first)),
            Err(last) => {
                self.record_failure(other, &last);
                Err(if failed.progress.proves_not_run() { last } else { failed })
            }
        }
    }

    fn count_winner(&self, response: AttemptResponse, is_first: bool) -> AttemptResponse {
        if !is_first {
            self.node.counters.add(Counter::HedgesWon);
        }
        response
    }

    fn finish(&self, result: AttemptResult, refusal: Option<HedgeRefusal>) -> AttemptResult {
        if let Some(refusal) = refusal {
            count_refusal(&self.node.counters, refusal);
            log::debug!(
                id = self.outbound.request_id.to_str().unwrap_or_default(), first = self.backend.id.as_str(),
                reason = refusal.as_str(), after_ms = self.elapsed_ms().round();
                "no second copy sent"
            );
        }
        match &result {
            Ok(_) => self.record_time(),
            Err(failed) => self.record_failure(self.backend, failed),
        }
        result
    }

    // Records the time of the first attempt, or the time up to its cancellation.
    fn record_time(&self) {
        self.node.hedging.record_time(self.times_key, self.elapsed_ms(), self.node.clock.now());
    }

    fn record_failure(&self, backend: &BackendState, failed: &AttemptFailure) {
        record_failure(self.node, self.outbound, self.service, backend, failed);
    }

    fn elapsed_ms(&self) -> f64 {
        self.node.clock.now().since(self.started_at).as_secs_f64() * 1e3
    }
}

fn busy_fraction(service: &ServiceState, now: Time) -> f64 {
    let backends = service.regions.iter().flat_map(|region| &region.backends);
    let (load, slots) = backends.fold((0.0, 0.0), |(load, slots), backend| {
        let view = backend.view(now);
        (load + f64::from(estimated_in_flight(&view, now)), slots + f64::from(view.slots))
    });
    load / f64::max(slots, 1.0)
}
