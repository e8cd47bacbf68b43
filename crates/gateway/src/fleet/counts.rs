//! Counts of instances and customers from one source, and the sections that pass them on.
//!
//! Load pattern: a fleet of hundreds of hosts, in which most counts stay the same between two
//! reports. A section lists the counts that changed since the previous one and a rotating share of
//! the others, so that its size follows the traffic and not the size of the fleet, and a lost
//! section is made up for within [`REFRESH_TIME`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::balance::RecentAttemptStats;
use crate::limits::decayed_demand;
use crate::report::ShortId;
use crate::{CustomerReport, InstanceReport, Section};

use super::REPORT_LIFETIME;

/// Number of parts into which the unchanged counts are divided.
const SLICES: u32 = 8;
/// Time after which the next slice of the unchanged counts is sent again.
const SLICE_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which a source sends each of its counts again: `SLICES` times the interval, and one
/// interval of an idle host's reports.
const REFRESH_TIME: Duration = Duration::from_millis(2_000);
/// Time after which a count that its source no longer sends is dropped.
pub(super) const COUNT_LIFETIME: Duration = Duration::from_millis(3_000);
/// Sequence number up to which a section comes from a process that has just started. This host has
/// not counted any of that process's admissions yet.
const STARTUP_SECTIONS: u64 = 10;
/// Number of attempts by which counts may differ from the previous ones through rounding.
const ROUNDING_ATTEMPTS: f64 = 0.05;
/// Number of attempts above which counts show that an attempt was started. An overdue attempt counts
/// half before it ends.
const STARTED_MIN: f64 = 0.6;
/// Decayed number of attempts up to which an instance without requests in flight is only sent when
/// its counts changed.
const ATTEMPTS_MIN: f64 = 0.05;
/// Demand, in requests per second, up to which a customer without admissions is only sent when its
/// counts changed.
const DEMAND_MIN: f64 = 0.02;

/// The load of an instance and its recent attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InstanceCounts {
    /// Requests in flight.
    pub(crate) in_flight: u32,
    /// Recent attempts and failures.
    pub(crate) stats: RecentAttemptStats,
    /// When this host last saw the counts change.
    pub(crate) changed_at: Duration,
    /// When the source last sent the counts, changed or not.
    refreshed_at: Duration,
}

/// The admissions and the demand of a customer or of a retry budget.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CustomerCounts {
    /// Admitted requests since the source's process started.
    pub(crate) admitted: u64,
    /// Received requests per second, as of `demand_at`.
    pub(crate) demand_per_second: f64,
    pub(crate) demand_at: Duration,
    /// When this host last saw the counts change.
    pub(crate) changed_at: Duration,
}

/// Counts by short id.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) instances: BTreeMap<ShortId, InstanceCounts>,
    pub(crate) customers: BTreeMap<ShortId, CustomerCounts>,
}

/// Which counts of one kind a section lists.
#[derive(Clone, Copy, Debug)]
enum Selection {
    /// None.
    Nothing,
    /// All of them, since the audience has none yet.
    All,
    /// Those that changed at this time or later, and a slice of the others.
    Changed { since: Duration, slice: Option<u32> },
}

/// Which counts a section lists.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SectionSelection {
    instances: Selection,
    customers: Selection,
}

/// When counts of one kind were last sent to an audience.
#[derive(Clone, Copy, Debug, Default)]
struct SendState {
    sent_at: Option<Duration>,
    slice: u32,
    slice_sent_at: Duration,
}

/// When the counts of a section were last sent to an audience.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SectionSendState {
    instances: SendState,
    customers: SendState,
}

impl SendState {
    /// Returns which counts the next section lists, and records that it is sent.
    fn next(&mut self, now: Duration) -> Selection {
        let Some(since) = self.sent_at.replace(now) else {
            self.slice_sent_at = now;
            return Selection::All;
        };
        let is_due = now >= self.slice_sent_at + SLICE_INTERVAL;
        if is_due {
            self.slice = (self.slice + 1) % SLICES;
            self.slice_sent_at = now;
        }
        Selection::Changed { since, slice: is_due.then_some(self.slice) }
    }
}

impl SectionSendState {
    /// Returns which counts the next section lists, and records that it is sent.
    pub(crate) fn next(&mut self, now: Duration) -> SectionSelection {
        let (instances, customers) = (self.instances.next(now), self.customers.next(now));
        SectionSelection { instances, customers }
    }

    /// Returns which counts the next section lists if it lists those of customers only.
    pub(crate) fn next_customers(&mut self, now: Duration) -> SectionSelection {
        SectionSelection { instances: Selection::Nothing, customers: self.customers.next(now) }
    }
}

impl Selection {
    fn includes(&self, id: ShortId, changed_at: Duration, is_significant: bool) -> bool {
        match self {
            Self::Nothing => false,
            Self::All => true,
            Self::Changed { since, slice } => {
                changed_at >= *since || (is_significant && *slice == Some(id % SLICES))
            }
        }
    }
}

impl InstanceCounts {
    /// Creates the counts of an instance that last changed at `changed_at`.
    pub(crate) fn new(in_flight: u32, stats: RecentAttemptStats, changed_at: Duration) -> Self {
        Self { in_flight, stats, changed_at, refreshed_at: changed_at }
    }

    /// Adds the counts of another source.
    pub(crate) fn add(&mut self, other: &Self, now: Duration) {
        self.in_flight += other.in_flight;
        let stats = other.stats.at(now);
        self.stats.add(stats.attempts, stats.failures, now);
        self.changed_at = self.changed_at.max(other.changed_at);
    }

    fn is_significant(&self, now: Duration) -> bool {
        self.in_flight > 0 || self.stats.at(now).attempts > ATTEMPTS_MIN
    }
}

impl CustomerCounts {
    /// Returns the demand at a later time, without requests in between.
    fn demand_at(&self, at: Duration) -> f64 {
        decayed_demand(self.demand_per_second, at.saturating_sub(self.demand_at))
    }

    /// Adds the demand of another source. Admissions are not added, since sources that restart
    /// count from zero again.
    pub(crate) fn add_demand(&mut self, other: &Self, now: Duration) {
        self.demand_per_second = self.demand_at(now) + other.demand_at(now);
        self.demand_at = now;
        self.changed_at = self.changed_at.max(other.changed_at);
    }
}

impl Counts {
    /// Adds the counts of another source, apart from its admissions.
    pub(crate) fn add(&mut self, other: &Self, now: Duration) {
        for (id, counts) in &other.instances {
            self.instances.entry(*id).or_default().add(counts, now);
        }
        for (id, counts) in &other.customers {
            self.customers.entry(*id).or_default().add_demand(counts, now);
        }
    }

    /// Returns the selected counts as a section; `header` has the other fields of the section.
    pub(crate) fn section(
        &self,
        selection: SectionSelection,
        header: Section,
        now: Duration,
    ) -> Section {
        let instances = self.instances.iter().filter(|(id, counts)| {
            selection.instances.includes(**id, counts.changed_at, counts.is_significant(now))
        });
        let instances = instances.map(|(id, counts)| {
            let stats = counts.stats.at(now);
            InstanceReport {
                id: *id,
                in_flight: counts.in_flight,
                attempts: stats.attempts as f32,
                failures: stats.failures as f32,
            }
        });
        let customers = self.customers.iter().filter(|(id, counts)| {
            let is_significant = counts.admitted > 0 || counts.demand_at(now) > DEMAND_MIN;
            selection.customers.includes(**id, counts.changed_at, is_significant)
        });
        let customers = customers.map(|(id, counts)| CustomerReport {
            id: *id,
            admitted: counts.admitted,
            demand_per_second: counts.demand_at(now) as f32,
        });
        Section {
            complete: matches!(selection.instances, Selection::All),
            instances: instances.collect(),
            customers: customers.collect(),
            ..header
        }
    }
}

/// Admissions by other hosts that this host has not counted yet, by customer or retry budget.
pub(crate) type NewAdmissions = Vec<(ShortId, u64)>;

/// Attempts by other hosts on an instance that this host has not counted yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewAttempts {
    pub(crate) instance: ShortId,
    pub(crate) attempts: f64,
    pub(crate) failures: f64,
}

/// What a section changed.
#[derive(Debug, Default)]
pub(crate) struct SectionDelta {
    pub(crate) admissions: NewAdmissions,
    pub(crate) attempts: Vec<NewAttempts>,
    /// The instances on which the source has started attempts.
    pub(crate) started: Vec<ShortId>,
    /// The instances whose counts were replaced, with the previous and the new counts.
    pub(crate) replaced: Vec<(ShortId, InstanceCounts, InstanceCounts)>,
    /// The instances whose counts were dropped.
    pub(crate) removed: Vec<ShortId>,
}

/// The counts of one source, merged from its sections.
#[derive(Debug, Default)]
pub(crate) struct ReceivedCounts {
    pub(crate) source: u64,
    /// Sequence number of the last section; 0 without any.
    pub(crate) sequence: u64,
    /// Time at which the counts of the last section were current.
    pub(crate) as_of: Duration,
    /// Number of hosts in the counts.
    pub(crate) hosts: u32,
    /// Name of the host that made the last section.
    pub(crate) reporter: String,
    /// Whether the fleet's totals include these counts.
    pub(crate) in_totals: bool,
    pub(crate) counts: Counts,
    /// Until then, admissions of customers that this host hears of for the first time may be older
    /// than the first section that it received.
    baseline_until: Duration,
}

impl ReceivedCounts {
    /// Returns whether the last section is recent enough to be used.
    pub(crate) fn is_recent(&self, now: Duration) -> bool {
        self.sequence > 0 && now <= self.as_of + REPORT_LIFETIME
    }

    /// Returns whether a section is newer than these counts: by sequence number within one source,
    /// by age otherwise.
    pub(crate) fn is_older_than(&self, section: &Section, now: Duration) -> bool {
        if section.source == self.source {
            return section.sequence > self.sequence;
        }
        self.sequence == 0 || as_of(section, now) > self.as_of
    }

    /// Returns the requests per second of a customer or for a retry budget. The demand is that of
    /// the last section, in which the requests since then are missing but not yet decayed.
    pub(crate) fn demand(&self, id: ShortId) -> f64 {
        self.counts.customers.get(&id).map_or(0.0, |counts| counts.demand_at(self.as_of))
    }

    /// Merges a newer section and returns what it changed. Each source counts admissions from zero,
    /// so those of another source are counted only if it has just started.
    pub(crate) fn merge(&mut self, section: &Section, now: Duration) -> SectionDelta {
        let same_source = self.sequence > 0 && self.source == section.source;
        if !same_source {
            let started = section.sequence <= STARTUP_SECTIONS;
            self.baseline_until = if started { Duration::ZERO } else { now + REFRESH_TIME };
            self.counts.customers.clear();
        }
        self.source = section.source;
        self.sequence = section.sequence;
        self.as_of = as_of(section, now);
        self.hosts = section.hosts;
        self.reporter.clone_from(&section.reporter);
        let admissions = self.merge_customers(section, now);
        let mut delta = SectionDelta { admissions, ..SectionDelta::default() };
        for report in &section.instances {
            self.merge_instance(report, now, &mut delta);
        }
        // The requests in flight of a host's previous process ended with it.
        let replaces_all = section.complete || (!same_source && section.hosts == 1);
        let listed = section.instances.iter().map(|report| report.id).filter(|_| replaces_all);
        let listed: BTreeSet<ShortId> = listed.collect();
        let is_outdated = |id: &ShortId, counts: &InstanceCounts| {
            (replaces_all && !listed.contains(id)) || now > counts.refreshed_at + COUNT_LIFETIME
        };
        let SectionDelta { replaced, removed, .. } = &mut delta;
        self.counts.instances.retain(|id, counts| {
            let outdated = is_outdated(id, counts);
            if outdated {
                replaced.push((*id, *counts, InstanceCounts::default()));
                removed.push(*id);
            }
            !outdated
        });
        delta
    }

    fn merge_customers(&mut self, section: &Section, now: Duration) -> NewAdmissions {
        let mut admissions = Vec::new();
        let is_baseline = now < self.baseline_until;
        for report in &section.customers {
            let counts = self.counts.customers.get(&report.id);
            let demand_per_second = f64::from(report.demand_per_second);
            let counted = match counts {
                Some(counts) => counts.admitted,
                None if is_baseline => report.admitted,
                None => 0,
            };
            let new = report.admitted.saturating_sub(counted);
            if new > 0 {
                admissions.push((report.id, new));
            }
            let changed_at = match counts {
                Some(counts) if new == 0 && counts.demand_at(now) >= demand_per_second * 0.99 => {
                    counts.changed_at
                }
                _ => now,
            };
            self.counts.customers.insert(
                report.id,
                CustomerCounts {
                    admitted: report.admitted,
                    demand_per_second,
                    demand_at: self.as_of,
                    changed_at,
                },
            );
        }
        admissions
    }

    fn merge_instance(&mut self, report: &InstanceReport, now: Duration, delta: &mut SectionDelta) {
        let entry = self.counts.instances.entry(report.id).or_default();
        let previous = *entry;
        let expected = previous.stats.at(self.as_of);
        let (attempts, failures) = (f64::from(report.attempts), f64::from(report.failures));
        let new_attempts = (attempts - expected.attempts).max(0.0);
        let new_failures = (failures - expected.failures).max(0.0);
        if new_attempts > ROUNDING_ATTEMPTS {
            delta.attempts.push(NewAttempts {
                instance: report.id,
                attempts: new_attempts,
                failures: new_failures,
            });
        }
        // An attempt that has ended was in flight before, unless it also started in between.
        let started = f64::from(report.in_flight) - f64::from(previous.in_flight) + new_attempts;
        if started > STARTED_MIN {
            delta.started.push(report.id);
        }
        let is_changed = previous.in_flight != report.in_flight || new_attempts > ROUNDING_ATTEMPTS;
        *entry = InstanceCounts {
            in_flight: report.in_flight,
            stats: RecentAttemptStats::new(attempts, failures, self.as_of),
            changed_at: if is_changed { now } else { previous.changed_at },
            refreshed_at: now,
        };
        delta.replaced.push((report.id, previous, *entry));
    }
}

fn as_of(section: &Section, now: Duration) -> Duration {
    now.saturating_sub(Duration::from_millis(u64::from(section.age_ms)))
}
