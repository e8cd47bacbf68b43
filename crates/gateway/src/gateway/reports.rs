//! Receives reports from peers and sends this host's reports.

use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::hash_text;

use super::Gateway;
use super::customers::retry_budget_id;
use super::state::TimerEvent;
use crate::fleet::{Counts, CustomerCounts, InstanceCounts, NewAdmissions, SectionSource};
use crate::limits::SharedBucket;
use crate::report::{Scope, short_id};
use crate::{Effect, Record, Report, Section};

/// Minimum time between two reports to the group, in a data centre with several groups, where they
/// are passed on.
const GROUP_INTERVAL: Duration = Duration::from_millis(50);
/// `GROUP_INTERVAL` in a data centre with one group, whose hosts report to each other.
const SINGLE_GROUP_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two reports to the group when there are new failures, so that other hosts
/// stop sending to the failing instance.
const GROUP_URGENT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time between two reports to the group, well below `REPORT_LIFETIME`.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reports to the other groups of the data centre.
const GROUP_TOTALS_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two reports that pass on new failures, between groups and from the
/// representative to its group.
const FORWARD_URGENT_INTERVAL: Duration = Duration::from_millis(35);
/// Time between two reports to other data centres.
const REMOTE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of reports to other data centres of which one lists the counts of instances.
const REMOTE_INSTANCES_PERIOD: usize = 3;
/// Minimum time between two reports to other data centres when there are new failures.
const REMOTE_URGENT_INTERVAL: Duration = Duration::from_millis(70);

/// Processing of reports from peers.
impl Gateway {
    pub(super) fn on_report(&mut self, report: Report) {
        let delta = self.fleet.on_report(report, self.now);
        self.subtract_admissions(delta.admissions);
        if self.fleet.is_group_representative(self.now) {
            if self.fleet.has_sections_for_group() {
                let at = (self.reported_at + GROUP_INTERVAL).max(self.now);
                self.timers.arm(at, TimerEvent::GroupReport);
            }
            if delta.has_urgent_failures {
                self.expedite_failure_reports();
            }
        }
        let heard = self.fleet.live_hosts(self.now);
        if heard != self.last_live_hosts {
            self.last_live_hosts = heard;
            let registered = self.fleet.registered_hosts();
            self.record(Record::FleetHeard { heard, registered });
        }
    }

    fn subtract_admissions(&mut self, admissions: NewAdmissions) {
        if admissions.is_empty() {
            return;
        }
        for (short, count) in &admissions {
            let Some(id) = self.customer_ids.get(short).cloned() else { continue };
            if let Some(rate) = self.customer_rate(&id) {
                self.bucket(&id, &rate).subtract_remote(*count);
            }
        }
        for (id, service) in &mut self.services {
            let short = retry_budget_id(id);
            let retries = admissions.iter().filter(|(reported, _)| *reported == short);
            retries.for_each(|retry| service.retry_budget.subtract_remote(retry.1));
        }
    }
}

/// Scheduling and sending of this host's reports.
impl Gateway {
    /// Schedules a report after a change that affects the decisions of peers.
    pub(super) fn schedule_group_report(&mut self) {
        self.report_due = true;
        if self.report_urgent
            && !self.group_totals_urgent
            && self.fleet.is_group_representative(self.now)
        {
            self.expedite_totals();
        }
        let at = (self.reported_at + self.group_interval()).max(self.now);
        self.timers.arm(at, TimerEvent::GroupReport);
    }

    /// Sends the next reports of a representative earlier: to its group if there are sections to
    /// pass on, to the other groups and to other data centres.
    fn expedite_failure_reports(&mut self) {
        if self.fleet.has_sections_for_group() {
            self.forward_urgent = true;
            let at = (self.reported_at + FORWARD_URGENT_INTERVAL).max(self.now);
            self.timers.arm(at, TimerEvent::GroupReport);
        }
        self.expedite_totals();
    }

    fn expedite_totals(&mut self) {
        // Without an earlier report the next one is due immediately.
        self.group_totals_urgent = true;
        let last = self.group_totals_sent_at.unwrap_or_default();
        self.timers.arm((last + FORWARD_URGENT_INTERVAL).max(self.now), TimerEvent::GroupTotals);
        self.remote_report_urgent = true;
        let last = self.remote_reported_at.unwrap_or_default();
        self.timers.arm((last + REMOTE_URGENT_INTERVAL).max(self.now), TimerEvent::RemoteReport);
    }

    fn group_interval(&self) -> Duration {
        match self.report_urgent {
            true => GROUP_URGENT_INTERVAL,
            false if self.fleet.has_several_groups() => GROUP_INTERVAL,
            false => SINGLE_GROUP_INTERVAL,
        }
    }

    pub(super) fn send_group_report(&mut self) {
        let since = self.now.saturating_sub(self.reported_at);
        let due = since >= HEARTBEAT_INTERVAL
            || (self.report_due && since >= self.group_interval())
            || (self.forward_urgent && since >= FORWARD_URGENT_INTERVAL)
            || (self.fleet.has_sections_for_group() && since >= GROUP_INTERVAL);
        if !due && self.report_sequence > 0 {
            return;
        }
        let to = self.fleet.group_addresses(self.report_urgent, self.now);
        self.reported_at = self.now;
        self.report_due = false;
        self.report_urgent = false;
        self.forward_urgent = false;
        let own = self.own_counts();
        let own = self.fleet.own_section(&own, self.section_source(), self.now);
        let totals = self.fleet.take_sections_for_group(self.now);
        self.send_report(to, own, totals);
        self.timers.arm(self.now + HEARTBEAT_INTERVAL, TimerEvent::GroupReport);
    }

    /// Sends the group's totals, and those of other data centres that arrived here, to the other
    /// groups of the data centre.
    pub(super) fn send_group_totals(&mut self) {
        let interval = match self.group_totals_urgent {
            true => FORWARD_URGENT_INTERVAL,
            false => GROUP_TOTALS_INTERVAL,
        };
        if self.group_totals_sent_at.is_some_and(|last| self.now < last + interval) {
            return;
        }
        self.group_totals_urgent = false;
        self.group_totals_sent_at = Some(self.now);
        self.timers.arm(self.now + GROUP_TOTALS_INTERVAL, TimerEvent::GroupTotals);
        let mut totals = self.fleet.take_sections_for_groups(self.now);
        if !self.fleet.is_group_representative(self.now) {
            return;
        }
        let to = self.fleet.other_group_addresses(self.group_rotation, self.now);
        self.group_rotation += 1;
        if to.is_empty() {
            return;
        }
        let own = self.own_counts();
        totals.push(self.fleet.group_totals(&own, self.section_source(), self.now));
        self.send_report(to, Section::default(), totals);
    }

    pub(super) fn send_remote_report(&mut self) {
        let interval =
            if self.remote_report_urgent { REMOTE_URGENT_INTERVAL } else { REMOTE_INTERVAL };
        if self.remote_reported_at.is_some_and(|last| self.now < last + interval) {
            return;
        }
        let with_instances = self.remote_report_urgent
            || self.remote_rotation.is_multiple_of(REMOTE_INSTANCES_PERIOD);
        self.remote_report_urgent = false;
        self.remote_reported_at = Some(self.now);
        self.timers.arm(self.now + REMOTE_INTERVAL, TimerEvent::RemoteReport);
        if !self.fleet.is_data_centre_representative(self.now) {
            return;
        }
        let to = self.fleet.remote_addresses(self.remote_rotation, self.now);
        self.remote_rotation += 1;
        if to.is_empty() {
            return;
        }
        let own = self.own_counts();
        let source = self.section_source();
        let totals = self.fleet.data_centre_totals(&own, source, with_instances, self.now);
        self.send_report(to, Section::default(), vec![totals]);
    }

    fn send_report(&mut self, to: Vec<SocketAddr>, own: Section, totals: Vec<(Scope, Section)>) {
        self.report_sequence += 1;
        let report = Report {
            from: self.settings.name.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.report_sequence,
            data_centre: self.settings.data_centre.clone(),
            address: self.settings.address,
            hears_others: self.fleet.hears_others(self.now),
            own,
            totals,
        };
        self.effects.push(Effect::Report { to, report });
    }

    fn section_source(&self) -> SectionSource {
        SectionSource {
            source: hash_text(&self.settings.name) ^ self.settings.incarnation,
            sequence: self.report_sequence + 1,
        }
    }

    /// Returns this host's counts of the instances and customers that it has used.
    fn own_counts(&self) -> Counts {
        let now = self.now;
        let mut counts = Counts::default();
        for view in self.instances.values().filter(|view| view.changed_at > Duration::ZERO) {
            let instance = InstanceCounts::new(view.in_flight, view.recent_stats, view.changed_at);
            counts.instances.insert(view.short_id, instance);
        }
        let customers = self.customers.iter().map(|(id, bucket)| (short_id(id), bucket));
        let retry_budgets =
            self.services.iter().map(|(id, view)| (retry_budget_id(id), &view.retry_budget));
        let used = |(_, bucket): &(u32, &SharedBucket)| bucket.changed_at() > Duration::ZERO;
        for (id, bucket) in customers.chain(retry_budgets).filter(used) {
            counts.customers.insert(id, bucket.counts(now));
        }
        counts
    }
}

impl SharedBucket {
    fn counts(&self, now: Duration) -> CustomerCounts {
        CustomerCounts {
            admitted: self.admitted(),
            demand_per_second: self.demand(now),
            demand_at: now,
            changed_at: self.changed_at(),
        }
    }
}
