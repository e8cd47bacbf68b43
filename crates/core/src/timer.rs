//! The timers of a host, which are part of its state.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::{AttemptId, CallId, CustomerId, RequestId};

/// The work to do when a timer fires.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// Periodic work of the host.
    Round,
    /// The deadline of a request.
    Deadline(RequestId),
    /// The end of a request's wait for rate-limit tokens.
    AdmissionWait(RequestId),
    /// The time at which an attempt counts as slow and may be hedged.
    SlowAttempt(AttemptId),
    /// The next token draw for a customer.
    Draw(CustomerId),
    /// The end of the wait for claim votes and for the claim's row.
    ClaimWait(RequestId),
    /// The end of the wait for a majority to confirm an operator's change.
    OperatorWait(CallId),
}

/// Pending timers, ordered by time.
#[derive(Debug)]
pub struct Timers<T = Timer> {
    due: BTreeSet<(Duration, T)>,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Self { due: BTreeSet::new() }
    }
}

impl<T: Ord> Timers<T> {
    /// Schedules a timer. Handlers ignore a timer whose subject no longer exists.
    pub fn arm(&mut self, at: Duration, timer: T) {
        self.due.insert((at, timer));
    }

    /// Cancels a timer that was scheduled for exactly this time.
    pub fn disarm(&mut self, at: Duration, timer: T) {
        self.due.remove(&(at, timer));
    }

    /// Removes and returns all timers that are due, earliest first. A timer that a handler
    /// schedules for the same moment waits for the next call, so that every step ends.
    pub fn take_due(&mut self, now: Duration) -> Vec<T> {
        let mut due = Vec::new();
        while self.due.first().is_some_and(|(at, _)| *at <= now) {
            due.extend(self.due.pop_first().map(|(_, timer)| timer));
        }
        due
    }

    /// Returns the time of the earliest timer.
    pub fn next_at(&self) -> Option<Duration> {
        self.due.first().map(|(at, _)| *at)
    }
}
