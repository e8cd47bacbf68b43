//! Running totals of the counts of all other live hosts.
//!
//! Load pattern: each placement needs the load of hundreds of instances, and hundreds of hosts
//! report several times per second. The totals are updated with each report, so that neither a
//! placement nor a report depends on the number of hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::balance::RecentAttemptStats;
use crate::report::ShortId;

use super::counts::{Counts, InstanceCounts};

/// Decayed number of attempts up to which an idle instance has no totals.
const NEGLIGIBLE_ATTEMPTS: f64 = 0.001;

/// Totals of an instance over all other live hosts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InstanceTotals {
    /// Requests in flight. Invariant: the sum over the added counts.
    in_flight: u64,
    pub(crate) recent_stats: RecentAttemptStats,
}

impl InstanceTotals {
    /// Returns the requests in flight from other hosts.
    pub(crate) fn in_flight(&self) -> f64 {
        self.in_flight as f64
    }

    fn add(&mut self, counts: &InstanceCounts, now: Duration) {
        self.in_flight += u64::from(counts.in_flight);
        let stats = counts.stats.at(now);
        self.recent_stats.add(stats.attempts, stats.failures, now);
    }

    fn subtract(&mut self, counts: &InstanceCounts, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(u64::from(counts.in_flight));
        let (sum, stats) = (self.recent_stats.at(now), counts.stats.at(now));
        // Rounding errors may leave a difference slightly below zero.
        let attempts = (sum.attempts - stats.attempts).max(0.0);
        let failures = (sum.failures - stats.failures).clamp(0.0, attempts);
        self.recent_stats = RecentAttemptStats::new(attempts, failures, now);
    }
}

/// Totals by instance.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    instances: BTreeMap<ShortId, InstanceTotals>,
}

impl Totals {
    /// Returns the totals of an instance; zero without any.
    pub(crate) fn instance(&self, id: ShortId) -> InstanceTotals {
        self.instances.get(&id).copied().unwrap_or_default()
    }

    /// Adds all counts of a source.
    pub(crate) fn add(&mut self, counts: &Counts, now: Duration) {
        for (id, instance) in &counts.instances {
            self.instances.entry(*id).or_default().add(instance, now);
        }
    }

    /// Subtracts all counts of a source that were added before.
    pub(crate) fn subtract(&mut self, counts: &Counts, now: Duration) {
        for (id, instance) in &counts.instances {
            self.instances.entry(*id).or_default().subtract(instance, now);
        }
    }

    /// Replaces the counts of one instance that were added before.
    pub(crate) fn replace(
        &mut self,
        id: ShortId,
        previous: &InstanceCounts,
        new: &InstanceCounts,
        now: Duration,
    ) {
        let totals = self.instances.entry(id).or_default();
        totals.subtract(previous, now);
        totals.add(new, now);
    }

    /// Drops totals that have decayed to almost nothing.
    pub(crate) fn prune(&mut self, now: Duration) {
        self.instances.retain(|_, totals| {
            totals.in_flight > 0 || totals.recent_stats.at(now).attempts > NEGLIGIBLE_ATTEMPTS
        });
    }
}
