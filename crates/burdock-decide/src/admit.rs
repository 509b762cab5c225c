//! Admission at one instance: a bounded queue that is fair between organisations.

use std::collections::VecDeque;

use crate::pick::{BackendView, estimated_in_flight};
use crate::time::Time;

/// Requests that may be at a backend server for each of its slots, those that wait there included.
const WORK_PER_SLOT: u32 = 2;

/// How many requests one instance may run: what others leave free by the newest reports, but at least its
/// even part of the whole, so that old reports starve nobody.
#[must_use]
pub fn running_limit<'a>(
    backends: impl Iterator<Item = &'a BackendView>,
    senders: usize,
    now: Time,
) -> usize {
    let senders = u32::try_from(senders.max(1)).unwrap_or(u32::MAX);
    let part = |backend: &BackendView| {
        let room = backend.slots * WORK_PER_SLOT;
        let others = estimated_in_flight(backend, now).saturating_sub(backend.own_in_flight);
        room.saturating_sub(others).max(room.div_ceil(senders))
    };
    backends.map(part).sum::<u32>() as usize
}

/// Identifies a waiting request within one queue.
pub type Ticket = u64;

/// What became of a request that asked to enter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run,
    /// It waits.
    Wait(Ticket),
    /// It is refused: its organisation is the heaviest in a full queue.
    Refused,
    /// It waits, and another one is refused in its place.
    WaitAndEvict {
        /// The request that waits.
        ticket: Ticket,
        /// The request that is refused.
        evicted: Ticket,
    },
}

/// A queue served by deficit round robin over organisations, weighted.
#[derive(Debug, Default)]
pub struct FairQueue {
    limit: usize,
    room: usize,
    running: usize,
    waiting: usize,
    next_ticket: Ticket,
    turn: usize,
    lanes: Vec<Lane>,
}

#[derive(Debug)]
struct Lane {
    organisation: u64,
    weight: u32,
    credit: u32,
    waiting: VecDeque<(Ticket, Time)>,
}

impl FairQueue {
    /// A queue that lets `limit` requests run and `room` wait.
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
    pub fn new(limit: usize, room: usize) -> Self {
        Self { limit, room, ..Self::default() }
    }

    /// Requests that run.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running
    }

    /// Requests that may run.
    #[must_use]
    pub const fn max_running(&self) -> usize {
        self.limit
    }

    /// Requests that wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Changes how many may run. More room takes effect as requests leave or enter.
    pub const fn set_max_running(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// A request of an organisation asks to run; it gives up at its deadline.
    pub fn admit(&mut self, organisation: u64, weight: u32, deadline: Time) -> AdmissionDecision {
        if self.running < self.limit && self.waiting == 0 {
            self.running += 1;
            return AdmissionDecision::Run;
        }
        if self.waiting < self.room {
            return AdmissionDecision::Wait(self.push(organisation, weight, deadline));
        }
        let Some(heaviest) = self.heaviest() else {
            return AdmissionDecision::Refused;
        };
        let own = self.lanes.iter().find(|l| l.organisation == organisation);
        let own_after = own.map_or(0, |l| l.waiting.len()) + 1;
        let lane = &self.lanes[heaviest];
        if lane.organisation == organisation
            || per_weight(own_after, weight) >= per_weight(lane.waiting.len(), lane.weight)
        {
            return AdmissionDecision::Refused;
        }
        let Some((evicted, _)) = self.lanes[heaviest].waiting.pop_back() else {
            return AdmissionDecision::Refused;
        };
        self.waiting -= 1;
        AdmissionDecision::WaitAndEvict { ticket: self.push(organisation, weight, deadline), evicted }
    }

    /// A request that ran is done. Returns the one that runs in its place.
    pub fn release(&mut self, now: Time) -> Option<Ticket> {
        self.running = self.running.saturating_sub(1);
        self.start_next(now)
    }

    /// Starts a waiting request if one may run. Expired ones are passed over.
    pub fn start_next(&mut self, now: Time) -> Option<Ticket> {
        if self.running >= self.limit {
            return None;
        }
        let ticket = self.pop(now)?;
        self.running += 1;
        Some(ticket)
    }

    /// A waiting request gives up. Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        for lane in &mut self.lanes {
            if let Some(at) = lane.waiting.iter().position(|(t, _)| *t == ticket) {
                lane.waiting.remove(at);
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
                self.lanes.push(Lane { organisation, weight, credit: 0, waiting: VecDeque::new() });
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
            self.turn %= self.lanes.len();
            let lane = &mut self.lanes[self.turn];
            if lane.waiting.is_empty() {
                self.lanes.swap_remove(self.turn);
                continue;
            }
            if lane.credit == 0 {
                lane.credit = lane.weight;
            }
            let (ticket, deadline) = lane.waiting.pop_front()?;
            self.waiting -= 1;
            if now >= deadline {
                continue;
            }
            lane.credit -= 1;
            if lane.credit == 0 {
                self.turn += 1;
            }
            return Some(ticket);
        }
        None
    }

    fn heaviest(&self) -> Option<usize> {
        (0..self.lanes.len())
            .max_by_key(|ix| per_weight(self.lanes[*ix].waiting.len(), self.lanes[*ix].weight))
    }
}

const fn per_weight(waiting: usize, weight: u32) -> u64 {
    const SCALE: u64 = 1000;
    waiting as u64 * SCALE / if weight == 0 { 1 } else { weight as u64 }
}
