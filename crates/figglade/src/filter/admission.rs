//! Admission of requests: bounded, fair between indexes, refused early.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{IndexName, Timestamp};

/// Identifies an admitted or queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionTicket(u64);

/// The answer to a request that wants to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// The request runs at once.
    Run(AdmissionTicket),
    /// The request waits for its turn.
    Wait(AdmissionTicket),
    /// The request is refused; it did not run.
    Refuse {
        /// When trying again makes sense.
        retry_after: Duration,
    },
}

/// The bounds of admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// The most requests that run at a time.
    pub max_running: u32,
    /// The most requests that wait.
    pub max_queued: u32,
}

/// One waiting request.
#[derive(Debug)]
struct WaitingRequest {
    ticket: AdmissionTicket,
}

/// Admits requests: as many as may run, then a queue for each index, served in turn.
#[derive(Debug)]
pub struct AdmissionController {
    limits: AdmissionLimits,
    running: u32,
    queued: u32,
    next_ticket: u64,
    queues: BTreeMap<IndexName, VecDeque<WaitingRequest>>,
    last_served: Option<IndexName>,
    service_time: Duration,
}

/// The suggested wait of a refused caller.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl AdmissionController {
    /// Starts with nothing running.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            running: 0,
            queued: 0,
            next_ticket: 0,
            queues: BTreeMap::new(),
            last_served: None,
            service_time: Duration::ZERO,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Returns how many requests run and wait.
    pub fn load(&self) -> (u32, u32) {
        (self.running, self.queued)
    }

    /// Decides about a request of `index` that must end by `deadline`.
    pub fn admit(
        &mut self,
        index: &IndexName,
        deadline: Timestamp,
        now: Timestamp,
    ) -> AdmissionVerdict {
        self.next_ticket += 1;
        let ticket = AdmissionTicket(self.next_ticket);
        if self.running < self.limits.max_running && self.queued == 0 {
            self.running += 1;
            return AdmissionVerdict::Run(ticket);
        }
        if self.queued >= self.limits.max_queued || self.is_hopeless(deadline, now) {
            return AdmissionVerdict::Refuse { retry_after: RETRY_AFTER };
        }
        self.queued += 1;
        let queue = self.queues.entry(index.clone()).or_default();
        queue.push_back(WaitingRequest { ticket });
        AdmissionVerdict::Wait(ticket)
    }

    /// Ends a running request that took `elapsed` and returns those that run now.
    pub fn finish(&mut self, elapsed: Duration) -> Vec<AdmissionTicket> {
        self.running = self.running.saturating_sub(1);
        self.service_time = (self.service_time * 7 + elapsed) / 8;
        let mut started = Vec::new();
        while self.running < self.limits.max_running {
            let Some(waiting) = self.take_next() else { break };
            self.running += 1;
            started.push(waiting.ticket);
        }
        started
    }

    /// Removes a waiting request that gave up; returns false when it already runs.
    pub fn withdraw(&mut self, ticket: AdmissionTicket) -> bool {
        for queue in self.queues.values_mut() {
            if let Some(position) = queue.iter().position(|waiting| waiting.ticket == ticket) {
                queue.remove(position);
                self.queued -= 1;
                return true;
            }
        }
        false
    }

    /// Returns whether the request would wait past its deadline.
    fn is_hopeless(&self, deadline: Timestamp, now: Timestamp) -> bool {
        let ahead = (self.queued + 1) / self.limits.max_running.max(1) + 1;
        now + self.service_time * ahead > deadline
    }

    /// Takes the first request of the index whose turn it is.
    fn take_next(&mut self) -> Option<WaitingRequest> {
        let after = self.last_served.clone();
        let turn = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(index, _)| index)
            .min_by_key(|index| (after.as_ref().is_some_and(|last| *index <= last), *index))
            .cloned()?;
        let waiting = self.queues.get_mut(&turn)?.pop_front()?;
        self.queues.retain(|_, queue| !queue.is_empty());
        self.last_served = Some(turn);
        self.queued -= 1;
        Some(waiting)
    }
}
