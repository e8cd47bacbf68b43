//! Queue of simulated events, ordered by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Priority queue of events by time; events at the same time come out in the order of scheduling.
pub(crate) struct EventQueue<T> {
    entries: BinaryHeap<Reverse<Entry<T>>>,
    scheduled_count: u64,
}

struct Entry<T> {
    at: Duration,
    order: u64,
    event: T,
}

impl<T> EventQueue<T> {
    pub(crate) fn new() -> Self {
        Self { entries: BinaryHeap::new(), scheduled_count: 0 }
    }

    pub(crate) fn schedule(&mut self, at: Duration, event: T) {
        self.scheduled_count += 1;
        self.entries.push(Reverse(Entry { at, order: self.scheduled_count, event }));
    }

    pub(crate) fn pop(&mut self) -> Option<(Duration, T)> {
        self.entries.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
