//! A simulated instance: a few slots, a short queue and injected faults.

use std::collections::VecDeque;

/// Identifies an attempt across all hosts and restarts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct AttemptId {
    /// Index of the host that sent the attempt.
    pub(crate) host: usize,
    /// Number of the host's process, which increases with each restart.
    pub(crate) process: u64,
    /// The host's number for the attempt, unique within its process.
    pub(crate) attempt: u64,
}

/// Faults injected into an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct InstanceFaults {
    /// Multiplier of the service time; values below 1 count as 1.
    pub(crate) slowdown: f64,
    /// Whether requests are accepted and never get a response.
    pub(crate) unresponsive: bool,
    /// Share of requests that fail after their service time.
    pub(crate) error_rate: f64,
    /// Share of requests that fail after `FAST_ERROR_DELAY`.
    pub(crate) fast_error_rate: f64,
    /// Share of requests that are rejected although a slot may be free.
    pub(crate) rejection_rate: f64,
}

/// An instance that runs up to `slots` requests and queues up to `QUEUE_PER_SLOT` times as many.
#[derive(Debug)]
pub(crate) struct SimulatedInstance {
    pub(crate) running: Vec<AttemptId>,
    pub(crate) queued: VecDeque<AttemptId>,
    pub(crate) faults: InstanceFaults,
    /// Requests that run at the same time.
    pub(crate) slots: usize,
    /// Multiplier of the service time; 1 for an instance of average speed.
    pub(crate) time_factor: f64,
}

/// What an instance does with an arriving request.
pub(crate) enum Admission {
    Running,
    Queued,
    Rejected,
}

const QUEUE_PER_SLOT: usize = 4;

impl SimulatedInstance {
    pub(crate) fn new(slots: usize, time_factor: f64) -> Self {
        Self {
            running: Vec::new(),
            queued: VecDeque::new(),
            faults: InstanceFaults::default(),
            slots,
            time_factor,
        }
    }

    pub(crate) fn admit(&mut self, attempt_id: AttemptId) -> Admission {
        if self.running.len() < self.slots {
            self.running.push(attempt_id);
            Admission::Running
        } else if self.queued.len() < self.slots * QUEUE_PER_SLOT {
            self.queued.push_back(attempt_id);
            Admission::Queued
        } else {
            Admission::Rejected
        }
    }

    /// Removes a request and returns the queued one that now starts in its slot, if any.
    pub(crate) fn remove(&mut self, attempt_id: &AttemptId) -> Option<AttemptId> {
        self.queued.retain(|queued| queued != attempt_id);
        let position = self.running.iter().position(|running| running == attempt_id)?;
        self.running.swap_remove(position);
        let next = self.queued.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Returns the number of running and queued requests.
    pub(crate) fn load(&self) -> u32 {
        u32::try_from(self.running.len() + self.queued.len()).unwrap_or(u32::MAX)
    }
}
