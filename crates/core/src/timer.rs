//! The timers of a host, kept inside its state.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::{AttemptId, CallId, CustomerId, RequestId};

/// What is due.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// The periodic work.
    Round,
    /// The deadline of a request.
    Deadline(RequestId),
    /// The end of a request's wait for rate.
    AdmissionWait(RequestId),
    /// The time at which an attempt counts as slow.
    SlowAttempt(AttemptId),
    /// Another draw for a customer.
    Draw(CustomerId),
    /// The end of the wait for claim votes.
    ClaimWait(RequestId),
    /// The end of the wait for a change to spread.
    OperatorWait(CallId),
}

/// Pending timers in the order of their times.
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
    /// Arms a timer. A timer that no longer matters is ignored when it fires.
    pub fn arm(&mut self, at: Duration, timer: T) {
        self.due.insert((at, timer));
    }

    /// Disarms a timer that was armed for this time.
    pub fn disarm(&mut self, at: Duration, timer: T) {
        self.due.remove(&(at, timer));
    }

    /// Takes all timers that are due, earliest first. Timers that their handlers arm for the same
    /// moment wait for the next call, so that a step always ends.
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
