//! Admission control at one instance: a bounded queue that is fair between organisations.

use std::collections::VecDeque;

use crate::pick::{BackendView, estimated_in_flight};
use crate::time::Time;

/// Maximum requests at a backend server for each of its slots, including those that wait there.
const MAX_REQUESTS_PER_SLOT: u32 = 2;

/// Computes how many requests one instance may run: the capacity that other instances leave free by their
/// newest reports, but at least an even share of the total, so that outdated reports starve no instance.
#[must_use]
pub fn running_limit<'a>(
    backends: impl Iterator<Item = &'a BackendView>,
    senders: usize,
    now: Time,
) -> usize {
    let senders = u32::try_from(senders.max(1)).unwrap_or(u32::MAX);
    let limit_at = |backend: &BackendView| {
        let capacity = backend.slots * MAX_REQUESTS_PER_SLOT;
        let others = estimated_in_flight(backend, now).saturating_sub(backend.own_in_flight);
        capacity.saturating_sub(others).max(capacity.div_ceil(senders))
    };
    backends.map(limit_at).sum::<u32>() as usize
}

/// Identifies a waiting request within one queue.
pub type Ticket = u64;

/// What happens to a request that arrives at the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs now.
    Run,
    /// The request waits.
    Wait(Ticket),
    /// The request is refused: the queue is full, and its organisation would have the most requests waiting,
    /// relative to its weight.
    Refused,
    /// The request waits. The newest request of the organisation with the most requests waiting, relative to
    /// its weight, is refused instead.
    WaitAndEvict {
        /// Ticket of the request that waits.
        ticket: Ticket,
        /// Ticket of the request that is refused.
        evicted: Ticket,
    },
}

/// An admission queue served by weighted deficit round robin over organisations.
#[derive(Debug, Default)]
pub struct FairQueue {
    max_running: usize,
    max_waiting: usize,
    running: usize,
    waiting: usize,
    next_ticket: Ticket,
    next_lane: usize,
    lanes: Vec<Lane>,
}

// The waiting requests of one organisation.
#[derive(Debug)]
struct Lane {
    organisation: u64,
    weight: u32,
    deficit: u32,
    waiting: VecDeque<(Ticket, Time)>,
}

impl FairQueue {
    /// Creates a queue that lets `max_running` requests run and `max_waiting` wait.
    ///
    /// ```
    /// use burdock_decide::admit::{AdmissionDecision, FairQueue};
    /// use burdock_decide::time::Time;
    /// let mut queue = FairQueue::new(1, 1);
    /// assert_eq!(queue.admit(0, 1, Time(100)), AdmissionDecision::Run);
    /// let AdmissionDecision::Wait(ticket) = queue.admit(0, 1, Time(100)) else { panic!() };
    /// assert_eq!(queue.admit(0, 1, Time(100)), AdmissionDecision::Refused);
    /// assert_eq!(queue.release(Time(50)), Some(ticket));
    /// ```
    #[must_use]
    pub fn new(max_running: usize, max_waiting: usize) -> Self {
        Self { max_running, max_waiting, ..Self::default() }
    }

    /// Number of requests that run.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running
    }

    /// Maximum number of requests that run at the same time.
    #[must_use]
    pub const fn max_running(&self) -> usize {
        self.max_running
    }

    /// Number of requests that wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Changes how many requests may run. A higher limit takes effect as requests arrive or finish.
    pub const fn set_max_running(&mut self, max_running: usize) {
        self.max_running = max_running;
    }

    /// Admits, queues or refuses a request of an organisation. A queued request expires at its deadline.
    pub fn admit(&mut self, organisation: u64, weight: u32, deadline: Time) -> AdmissionDecision {
        if self.running < self.max_running && self.waiting == 0 {
            self.running += 1;
            return AdmissionDecision::Run;
        }
        if self.waiting < self.max_waiting {
            return AdmissionDecision::Wait(self.push(organisation, weight, deadline));
        }
        let Some(heaviest) = self.heaviest_lane() else {
            return AdmissionDecision::Refused;
        };
        let own_lane = self.lanes.iter().find(|l| l.organisation == organisation);
        let own_waiting = own_lane.map_or(0, |l| l.waiting.len()) + 1;
        let lane = &self.lanes[heaviest];
        if lane.organisation == organisation
            || waiting_per_weight(own_waiting, weight) >= waiting_per_weight(lane.waiting.len(), lane.weight)
        {
            return AdmissionDecision::Refused;
        }
        let Some((evicted, _)) = self.lanes[heaviest].waiting.pop_back() else {
            return AdmissionDecision::Refused;
        };
        self.waiting -= 1;
        AdmissionDecision::WaitAndEvict { ticket: self.push(organisation, weight, deadline), evicted }
    }

    /// Releases the place of a finished request. Returns the waiting request that runs next.
    pub fn release(&mut self, now: Time) -> Option<Ticket> {
        self.running = self.running.saturating_sub(1);
        self.start_next(now)
    }

    /// Starts the next waiting request if the limit allows, skipping expired ones.
    pub fn start_next(&mut self, now: Time) -> Option<Ticket> {
        if self.running >= self.max_running {
            return None;
        }
        let ticket = self.pop(now)?;
        self.running += 1;
        Some(ticket)
    }

    /// Removes a waiting request from the queue. Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        for lane in &mut self.lanes {
            if let Some(ix) = lane.waiting.iter().position(|(t, _)| *t == ticket) {
                lane.waiting.remove(ix);
                self.waiting -= 1;
                return true;
            }
        }
        false
    }

    fn push(&mut self, organisation: u64, weight: u32, deadline: Time) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting += 1;
        let lane = match self.lanes.iter().position(|l| l.organisation == organisation) {
            Some(ix) => &mut self.lanes[ix],
            None => {
                self.lanes.push(Lane { organisation, weight, deficit: 0, waiting: VecDeque::new() });
                let last = self.lanes.len() - 1;
                &mut self.lanes[last]
            }
        };
        lane.weight = weight.max(1);
        lane.waiting.push_back((ticket, deadline));
        ticket
    }

    fn pop(&mut self, now: Time) -> Option<Ticket> {
        while self.waiting > 0 {
            self.next_lane %= self.lanes.len();
            let lane = &mut self.lanes[self.next_lane];
            if lane.waiting.is_empty() {
                self.lanes.swap_remove(self.next_lane);
                continue;
            }
            if lane.deficit == 0 {
                lane.deficit = lane.weight;
            }
            let (ticket, deadline) = lane.waiting.pop_front()?;
            self.waiting -= 1;
            if now >= deadline {
                continue;
            }
            lane.deficit -= 1;
            if lane.deficit == 0 {
                self.next_lane += 1;
            }
            return Some(ticket);
        }
        None
    }

    fn heaviest_lane(&self) -> Option<usize> {
        (0..self.lanes.len())
            .max_by_key(|ix| waiting_per_weight(self.lanes[*ix].waiting.len(), self.lanes[*ix].weight))
    }
}

const fn waiting_per_weight(waiting: usize, weight: u32) -> u64 {
    const SCALE: u64 = 1000;
    waiting as u64 * SCALE / if weight == 0 { 1 } else { weight as u64 }
}
