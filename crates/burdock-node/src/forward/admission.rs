//! The queue before a service at this instance.

use std::collections::HashMap;
use std::sync::Arc;

use burdock_decide::admit::{AdmissionDecision, FairQueue, Ticket};
use burdock_decide::time::Time;
use burdock_model::error::{Error, ErrorKind, Result};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::clock::Clock;

/// Requests that may run before the first plan has looked at the backend servers.
pub const INITIAL_MAX_RUNNING: usize = 64;

/// Requests that may wait.
const MAX_WAITING: usize = 1024;

/// A fair queue and those who wait in it.
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

/// How busy a queue is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLoad {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that may run.
    pub max_running: usize,
}

/// Leave to run. Dropping it lets the next one run.
#[derive(Debug)]
pub struct Permit {
    admission: Arc<Admission>,
    clock: Clock,
}

impl Admission {
    /// Waits for leave to run, until the deadline.
    ///
    /// # Errors
    /// [`ErrorKind::Overloaded`] when there is no room, [`ErrorKind::DeadlineBefore`] when time is up.
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

    /// Changes how many may run, and starts those that now may.
    pub fn set_max_running(self: &Arc<Self>, max_running: usize, clock: Clock) {
        let mut state = self.state.lock();
        state.queue.set_max_running(max_running);
        while state.start_next(clock.now()) {}
    }

    /// How busy it is.
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
    // Returns whether one was started. One that gave up at this moment hands its place on.
    fn start_next(&mut self, now: Time) -> bool {
        let Some(ticket) = self.queue.start_next(now) else {
            return false;
        };
        self.wake(ticket);
        true
    }

    fn wake(&mut self, ticket: Ticket) {
        if let Some(tx) = self.wakers.remove(&ticket) {
            // The receiver gives its place back if it has gone; see `QueuedRequest`.
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

// A place in the queue. If its request goes away, the place, or the leave already given, goes back.
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
            // Leave was given but not taken up.
            drop(self.admission.permit(self.clock));
        }
    }
}
