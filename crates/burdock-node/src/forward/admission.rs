//! Admission queue of one service at this instance.

use std::collections::HashMap;
use std::sync::Arc;

use burdock_decide::admit::{AdmissionDecision, FairQueue, Ticket};
use burdock_decide::time::Time;
use burdock_model::error::{Error, ErrorKind, Result};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::clock::Clock;

/// Maximum number of running requests until the first plan has computed it from the backend servers.
pub const INITIAL_MAX_RUNNING: usize = 64;

/// Maximum number of waiting requests.
const MAX_WAITING: usize = 1024;

/// A fair queue and the requests that wait in it.
#[derive(Debug)]
pub struct Admission {
    state: Mutex<AdmissionState>,
}

#[derive(Debug)]
struct AdmissionState {
    queue: FairQueue,
    wakers: HashMap<Ticket, oneshot::Sender<bool>>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            state: Mutex::new(AdmissionState {
                queue: FairQueue::new(INITIAL_MAX_RUNNING, MAX_WAITING),
                wakers: HashMap::new(),
            }),
        }
    }
}

/// Load of an admission queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLoad {
    /// Number of requests that run.
    pub running: usize,
    /// Number of requests that wait.
    pub waiting: usize,
    /// Maximum number of requests that may run.
    pub max_running: usize,
}

/// Permission to run a request. Dropping it lets the next request run.
#[derive(Debug)]
pub struct Permit {
    admission: Arc<Admission>,
    clock: Clock,
}

impl Admission {
    /// Waits until the request may run, at most until its deadline.
    ///
    /// # Errors
    /// [`ErrorKind::Overloaded`] when the queue is full or evicts the request, [`ErrorKind::DeadlineBefore`]
    /// when the deadline passes first.
    pub async fn admit(
        self: &Arc<Self>,
        organisation: u64,
        weight: u32,
        deadline: Time,
        clock: Clock,
    ) -> Result<Permit> {
        let (ticket, rx) = {
            let mut state = self.state.lock();
            let ticket = match state.queue.admit(organisation, weight, deadline) {
                AdmissionDecision::Run => return Ok(self.permit(clock)),
                AdmissionDecision::Refused => return Err(Error::from(ErrorKind::Overloaded)),
                AdmissionDecision::Wait(ticket) => ticket,
                AdmissionDecision::WaitAndEvict { ticket, evicted } => {
                    if let Some(tx) = state.wakers.remove(&evicted) {
                        let _gone = tx.send(false);
                    }
                    ticket
                }
            };
            let (tx, rx) = oneshot::channel();
            state.wakers.insert(ticket, tx);
            (ticket, rx)
        };
        let queued = QueuedRequest { admission: self, ticket, clock, resolved: false };
        queued.wait(rx, deadline).await
    }

    /// Sets how many requests may run, and starts waiting ones up to that number.
    pub fn set_max_running(self: &Arc<Self>, max_running: usize, clock: Clock) {
        let mut state = self.state.lock();
        state.queue.set_max_running(max_running);
        while state.start_next(clock.now()) {}
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> QueueLoad {
        let state = self.state.lock();
        QueueLoad {
            running: state.queue.running(),
            waiting: state.queue.waiting(),
            max_running: state.queue.max_running(),
        }
    }

    fn permit(self: &Arc<Self>, clock: Clock) -> Permit {
        Permit { admission: Arc::clone(self), clock }
    }
}

impl AdmissionState {
    // Returns whether a request was started. One that gives up at this moment passes its permit on.
    fn start_next(&mut self, now: Time) -> bool {
        let Some(ticket) = self.queue.start_next(now) else {
            return false;
        };
        self.wake(ticket);
        true
    }

    fn wake(&mut self, ticket: Ticket) {
        if let Some(tx) = self.wakers.remove(&ticket) {
            // If the receiver is gone, dropping its `QueuedRequest` gives the permit back.
            let _gone = tx.send(true);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.admission.state.lock();
        if let Some(ticket) = state.queue.release(self.clock.now()) {
            state.wake(ticket);
        }
    }
}

// A request in the queue. If it is dropped, its place is freed, or the permit that it was already given.
struct QueuedRequest<'a> {
    admission: &'a Arc<Admission>,
    ticket: Ticket,
    clock: Clock,
    resolved: bool,
}

impl QueuedRequest<'_> {
    async fn wait(mut self, rx: oneshot::Receiver<bool>, deadline: Time) -> Result<Permit> {
        let signal = tokio::time::timeout_at(self.clock.instant(deadline), rx).await;
        let result = match signal {
            Ok(Ok(true)) => Ok(self.admission.permit(self.clock)),
            Ok(_) => Err(Error::from(ErrorKind::Overloaded)),
            Err(_elapsed) => return Err(Error::from(ErrorKind::DeadlineBefore)),
        };
        self.resolved = true;
        result
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let mut state = self.admission.state.lock();
        let was_queued = state.queue.cancel(self.ticket);
        let was_signalled = state.wakers.remove(&self.ticket).is_none();
        drop(state);
        if !was_queued && was_signalled {
            // The request was started, but went away before it received its permit.
            drop(self.admission.permit(self.clock));
        }
    }
}
