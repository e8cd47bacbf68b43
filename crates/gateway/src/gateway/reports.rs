//! Reports to and from peers.

use std::time::Duration;

use ebonytack_core::hash_text;

use super::Gateway;
use super::customers::repeats_id;
use super::state::Due;
use crate::fleet::NewAdmissions;
use crate::report::short_id;
use crate::{CustomerReport, Effect, InstanceReport, Record, Report, Section};

/// The least time between two reports to the own data centre.
const NEAR_INTERVAL: Duration = Duration::from_millis(100);
/// The least time between two reports when an instance was seen to fail, so that other hosts do
/// not send to it meanwhile.
const URGENT_INTERVAL: Duration = Duration::from_millis(20);
/// The most time between two reports, well below their lifetime.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// The time between two reports to other data centres.
const FAR_INTERVAL: Duration = Duration::from_millis(200);
/// The least time between two reports to other data centres when there are failures to tell.
const FAR_URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Evidence below this many attempts is not reported.
const EVIDENCE_MIN: f64 = 0.05;
/// Demand below this many requests a second is not reported.
const DEMAND_MIN: f64 = 0.02;

/// Receiving.
impl Gateway {
    pub(super) fn on_report(&mut self, report: Report) {
        let news = self.fleet.on_report(report, self.now);
        self.subtract(news.admissions);
        if news.failures && self.fleet.speaks_for_data_centre(self.now) {
            self.pass_on_failures();
        }
        let heard = self.fleet.heard(self.now);
        if heard != self.heard_before {
            self.heard_before = heard;
            let registered = self.fleet.registered();
            self.record(Record::FleetHeard { heard, registered });
        }
    }

    fn subtract(&mut self, admissions: NewAdmissions) {
        if admissions.is_empty() {
            return;
        }
        for (id, bucket) in &mut self.customers {
            let short = short_id(id);
            admissions
                .iter()
                .filter(|(a, _)| *a == short)
                .for_each(|a| bucket.subtract_remote(a.1));
        }
        for (id, service) in &mut self.services {
            let short = repeats_id(id);
            let mine = admissions.iter().filter(|(a, _)| *a == short);
            mine.for_each(|a| service.repeats.subtract_remote(a.1));
        }
    }
}

/// Sending.
impl Gateway {
    /// Notes that peers would decide differently if they knew what this host knows.
    pub(super) fn note_change(&mut self) {
        self.report_due = true;
        if self.report_urgent
            && !self.far_report_urgent
            && self.fleet.speaks_for_data_centre(self.now)
        {
            self.hasten_far_report();
        }
        let at = (self.reported_at + self.near_interval()).max(self.now);
        self.timers.arm(at, Due::NearReport);
    }

    /// Brings forward the reports of a host that speaks for its data centre: to the others of it,
    /// which have not heard what came from outside, and to other data centres.
    fn pass_on_failures(&mut self) {
        if self.fleet.has_sections_to_pass_on() {
            self.report_urgent = true;
            self.note_change();
        }
        self.hasten_far_report();
    }

    fn hasten_far_report(&mut self) {
        self.far_report_urgent = true;
        // A host that has not reported yet may do so at once.
        let last = self.far_reported_at.unwrap_or_default();
        self.timers.arm((last + FAR_URGENT_INTERVAL).max(self.now), Due::FarReport);
    }

    fn near_interval(&self) -> Duration {
        if self.report_urgent { URGENT_INTERVAL } else { NEAR_INTERVAL }
    }

    pub(super) fn report_near(&mut self) {
        let due = self.now >= self.reported_at + HEARTBEAT
            || (self.report_due && self.now >= self.reported_at + self.near_interval());
        if !due && self.report_sequence > 0 {
            return;
        }
        self.reported_at = self.now;
        self.report_due = false;
        self.report_urgent = false;
        let to = self.fleet.near_addresses();
        let own = self.own_section();
        let data_centres = self.fleet.take_to_pass_on(self.now);
        self.send_report(to, own, data_centres);
        self.timers.arm(self.now + HEARTBEAT, Due::NearReport);
    }

    pub(super) fn report_far(&mut self) {
        let interval = if self.far_report_urgent { FAR_URGENT_INTERVAL } else { FAR_INTERVAL };
        if self.far_reported_at.is_some_and(|last| self.now < last + interval) {
            return;
        }
        self.far_report_urgent = false;
        self.far_reported_at = Some(self.now);
        self.timers.arm(self.now + FAR_INTERVAL, Due::FarReport);
        if !self.fleet.speaks_for_data_centre(self.now) {
            return;
        }
        self.far_turn += 1;
        let to = self.fleet.far_addresses(self.far_turn, self.now);
        if to.is_empty() {
            return;
        }
        let own = self.own_section();
        let mut sums = self.fleet.sum_up(&own, self.now);
        sums.sequence = self.report_sequence + 1;
        let data_centre = self.settings.data_centre.clone();
        self.send_report(to, Section::default(), vec![(data_centre, sums)]);
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

    /// Returns this host's own counts.
    fn own_section(&self) -> Section {
        let now = self.now;
        let mut instances = Vec::new();
        for (id, view) in &self.instances {
            let evidence = view.evidence.at(now);
            if view.in_flight > 0 || evidence.attempts > EVIDENCE_MIN {
                instances.push(InstanceReport {
                    id: short_id(id),
                    in_flight: view.in_flight,
                    attempts: evidence.attempts as f32,
                    failures: evidence.failures as f32,
                });
            }
        }
        let customers = self.customers.iter().map(|(id, bucket)| (short_id(id), bucket));
        let repeats = self.services.iter().map(|(id, view)| (repeats_id(id), &view.repeats));
        let mut reported = Vec::new();
        for (id, bucket) in customers.chain(repeats) {
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
