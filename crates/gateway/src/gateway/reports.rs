//! Receives reports from peers and sends this host's reports.

use std::time::Duration;

use ebonytack_core::hash_text;

use super::Gateway;
use super::customers::retry_budget_id;
use super::state::TimerEvent;
use crate::fleet::NewAdmissions;
use crate::report::short_id;
use crate::{CustomerReport, Effect, InstanceReport, Record, Report, Section};

/// Minimum time between two reports to the local data centre.
const LOCAL_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two reports to the local data centre when there are new failures, so that
/// other hosts stop sending to the failing instance.
const LOCAL_URGENT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time between two reports to the local data centre, well below `REPORT_LIFETIME`.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reports to other data centres.
const REMOTE_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two reports to other data centres when there are new failures.
const REMOTE_URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Decayed number of attempts up to which an idle instance is left out of reports.
const ATTEMPTS_MIN: f64 = 0.05;
/// Demand, in requests per second, up to which a customer without admissions is left out of
/// reports.
const DEMAND_MIN: f64 = 0.02;

/// Processing of reports from peers.
impl Gateway {
    pub(super) fn on_report(&mut self, report: Report) {
        let delta = self.fleet.on_report(report, self.now);
        self.subtract_admissions(delta.admissions);
        if delta.has_urgent_failures && self.fleet.is_representative(self.now) {
            self.expedite_failure_reports();
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
        for (id, bucket) in &mut self.customers {
            let short = short_id(id);
            admissions
                .iter()
                .filter(|(reported, _)| *reported == short)
                .for_each(|admission| bucket.subtract_remote(admission.1));
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
    pub(super) fn schedule_local_report(&mut self) {
        self.report_due = true;
        if self.report_urgent
            && !self.remote_report_urgent
            && self.fleet.is_representative(self.now)
        {
            self.expedite_remote_report();
        }
        let at = (self.reported_at + self.local_interval()).max(self.now);
        self.timers.arm(at, TimerEvent::LocalReport);
    }

    /// Sends the next reports of the representative earlier: to the local data centre if it has
    /// sections of other data centres to forward, and to other data centres.
    fn expedite_failure_reports(&mut self) {
        if self.fleet.has_sections_to_forward() {
            self.report_urgent = true;
            self.schedule_local_report();
        }
        self.expedite_remote_report();
    }

    fn expedite_remote_report(&mut self) {
        self.remote_report_urgent = true;
        // Without an earlier report the next one is due immediately.
        let last = self.remote_reported_at.unwrap_or_default();
        self.timers.arm((last + REMOTE_URGENT_INTERVAL).max(self.now), TimerEvent::RemoteReport);
    }

    fn local_interval(&self) -> Duration {
        if self.report_urgent { LOCAL_URGENT_INTERVAL } else { LOCAL_INTERVAL }
    }

    pub(super) fn send_local_report(&mut self) {
        let due = self.now >= self.reported_at + HEARTBEAT_INTERVAL
            || (self.report_due && self.now >= self.reported_at + self.local_interval());
        if !due && self.report_sequence > 0 {
            return;
        }
        self.reported_at = self.now;
        self.report_due = false;
        self.report_urgent = false;
        let to = self.fleet.local_addresses();
        let own = self.own_section();
        let data_centres = self.fleet.take_sections_to_forward(self.now);
        self.send_report(to, own, data_centres);
        self.timers.arm(self.now + HEARTBEAT_INTERVAL, TimerEvent::LocalReport);
    }

    pub(super) fn send_remote_report(&mut self) {
        let interval =
            if self.remote_report_urgent { REMOTE_URGENT_INTERVAL } else { REMOTE_INTERVAL };
        if self.remote_reported_at.is_some_and(|last| self.now < last + interval) {
            return;
        }
        self.remote_report_urgent = false;
        self.remote_reported_at = Some(self.now);
        self.timers.arm(self.now + REMOTE_INTERVAL, TimerEvent::RemoteReport);
        if !self.fleet.is_representative(self.now) {
            return;
        }
        self.remote_rotation += 1;
        let to = self.fleet.remote_addresses(self.remote_rotation, self.now);
        if to.is_empty() {
            return;
        }
        let own = self.own_section();
        let mut totals = self.fleet.aggregate(&own, self.now);
        totals.sequence = self.report_sequence + 1;
        let data_centre = self.settings.data_centre.clone();
        self.send_report(to, Section::default(), vec![(data_centre, totals)]);
    }

    fn send_report(
        &mut self,
        to: Vec<std::net::SocketAddr>,
        own: Section,
        data_centres: Vec<(String, Section)>,
    ) {
        self.report_sequence += 1;
        let report = Report {
            from: self.settings.name.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.report_sequence,
            data_centre: self.settings.data_centre.clone(),
            address: self.settings.address,
            own,
            data_centres,
        };
        self.effects.push(Effect::Report { to, report });
    }

    /// Returns the section for this host's next report. It leaves out instances without requests in
    /// flight or recent attempts, and customers without admissions or demand.
    fn own_section(&self) -> Section {
        let now = self.now;
        let mut instances = Vec::new();
        for (id, view) in &self.instances {
            let stats = view.recent_stats.at(now);
            if view.in_flight > 0 || stats.attempts > ATTEMPTS_MIN {
                instances.push(InstanceReport {
                    id: short_id(id),
                    in_flight: view.in_flight,
                    attempts: stats.attempts as f32,
                    failures: stats.failures as f32,
                });
            }
        }
        let customers = self.customers.iter().map(|(id, bucket)| (short_id(id), bucket));
        let retry_budgets =
            self.services.iter().map(|(id, view)| (retry_budget_id(id), &view.retry_budget));
        let mut reported = Vec::new();
        for (id, bucket) in customers.chain(retry_budgets) {
            let demand = bucket.demand(now);
            if demand > DEMAND_MIN || bucket.admitted() > 0 {
                reported.push(CustomerReport {
                    id,
                    admitted: bucket.admitted(),
                    demand_per_second: demand as f32,
                });
            }
        }
        Section {
            source: hash_text(&self.settings.name) ^ self.settings.incarnation,
            sequence: self.report_sequence + 1,
            age_ms: 0,
            hosts: 1,
            instances,
            customers: reported,
        }
    }
}
