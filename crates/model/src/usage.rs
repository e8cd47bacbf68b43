//! Measures how evenly the instances of a service are used, and how soon after trouble.

use std::time::Duration;

/// Length of the windows in which each healthy instance should receive a request, and time after a
/// failure of its own until an instance counts as healthy again.
const WINDOW: Duration = Duration::from_secs(2);
/// Time between the starts of two windows.
const STEP: Duration = Duration::from_millis(250);

/// Times at which something happened at one instance. Invariant: each list is in order of time.
#[derive(Clone, Debug, Default)]
struct History {
    arrivals: Vec<Duration>,
    failures: Vec<Duration>,
    /// Changes of the injected faults, and whether there are none from then on.
    changes: Vec<(Duration, bool)>,
}

/// The requests to all instances, and their faults.
#[derive(Debug)]
pub(crate) struct Usage {
    histories: Vec<History>,
}

impl Usage {
    pub(crate) fn new(instances: usize) -> Self {
        Self { histories: vec![History::default(); instances] }
    }

    pub(crate) fn add_arrival(&mut self, instance: usize, now: Duration) {
        self.histories[instance].arrivals.push(now);
    }

    pub(crate) fn add_failure(&mut self, instance: usize, now: Duration) {
        self.histories[instance].failures.push(now);
    }

    pub(crate) fn set_healthy(&mut self, instance: usize, healthy: bool, now: Duration) {
        self.histories[instance].changes.push((now, healthy));
    }

    /// Returns the requests of the busiest instance, relative to the mean.
    pub(crate) fn busiest_of_mean(&self, from: Duration, to: Duration) -> f64 {
        let counts = self.histories.iter().map(|history| history.arrivals_in(from, to));
        let counts: Vec<usize> = counts.collect();
        let mean = counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
        counts.into_iter().max().unwrap_or(0) as f64 / mean.max(f64::EPSILON)
    }

    /// Returns the smallest share of the healthy instances that received a request within a window.
    pub(crate) fn used_share_min(&self, from: Duration, to: Duration) -> f64 {
        let mut min = 1.0f64;
        let mut start = from;
        while start + WINDOW <= to {
            let end = start + WINDOW;
            let healthy = self.histories.iter().filter(|history| history.is_healthy(start, end));
            let (mut count, mut used) = (0, 0);
            for history in healthy {
                count += 1;
                used += usize::from(history.arrivals_in(start, end) > 0);
            }
            if count > 0 {
                min = min.min(f64::from(used as u32) / f64::from(count));
            }
            start += STEP;
        }
        min
    }

    /// Returns the longest time without a request to an instance without injected faults, in
    /// seconds.
    pub(crate) fn unused_max_s(&self, from: Duration, to: Duration) -> f64 {
        let longest = self.histories.iter().map(|history| history.unused_max(from, to)).max();
        longest.unwrap_or_default().as_secs_f64()
    }
}

impl History {
    fn arrivals_in(&self, from: Duration, to: Duration) -> usize {
        count_in(&self.arrivals, from, to)
    }

    /// Returns whether no faults are injected in an interval, and no failure makes the instance count
    /// as unhealthy.
    fn is_healthy(&self, from: Duration, to: Duration) -> bool {
        let before = self.changes.iter().rev().find(|(at, _)| *at <= from);
        let healthy_before = before.is_none_or(|(_, healthy)| *healthy);
        let inside = self.changes.iter().filter(|(at, _)| (from..to).contains(at));
        healthy_before
            && inside.clone().all(|(_, healthy)| *healthy)
            && count_in(&self.failures, from.saturating_sub(WINDOW), to) == 0
    }

    fn unused_max(&self, from: Duration, to: Duration) -> Duration {
        let mut longest = Duration::ZERO;
        let mut changes = self.changes.iter().peekable();
        let mut arrivals = self.arrivals.iter().peekable();
        // Start of the time without requests and faults; `None` while faults are injected.
        let mut since = Some(from);
        loop {
            let change = changes.peek().map_or(to, |(at, _)| *at);
            let arrival = arrivals.peek().map_or(to, |at| **at);
            let now = change.min(arrival).min(to);
            if let Some(start) = since {
                longest = longest.max(now.saturating_sub(start));
            }
            if now >= to {
                return longest;
            }
            if change <= arrival {
                let healthy = changes.next().is_none_or(|(_, healthy)| *healthy);
                // A change from healthy to healthy does not end the time.
                since = if healthy { since.or(Some(now.max(from))) } else { None };
            } else {
                arrivals.next();
                since = since.map(|_| now.max(from));
            }
        }
    }
}

fn count_in(times: &[Duration], from: Duration, to: Duration) -> usize {
    times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
}
