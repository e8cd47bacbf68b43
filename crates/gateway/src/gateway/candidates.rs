//! Collects the instances that a request may use, with what is known of each.

use std::time::Duration;

use super::Gateway;
use super::state::InstanceView;
use crate::WarmUp;
use crate::balance::{
    Candidate, FAILURE_PRIOR, conservative_failure_probability, failure_probability,
};
use crate::fleet::InstanceTotals;
use crate::request::ActiveRequest;
use crate::trial::Subject;

/// Time for which a rejection by a full instance is taken into account.
const REJECTION_TTL: Duration = Duration::from_millis(150);
/// Time for which a pooled connection is likely to stay open.
const CONNECTION_TTL: Duration = Duration::from_secs(7);
/// Time without an attempt after which an instance counts as not recently tried, however many
/// attempts there were before. Well below the two seconds within which an instance that has
/// recovered must be tried again.
const RETRIAL_INTERVAL: Duration = Duration::from_millis(600);

/// Time after this host's last failed attempt for which the evidence from its own attempts counts.
/// While other hosts use the instance, nothing makes this one try it.
const OWN_EVIDENCE_TTL: Duration = Duration::from_secs(4);

/// An instance that a request may use.
pub(super) struct EligibleInstance {
    /// Position in the service's list of instances.
    pub(super) position: usize,
    pub(super) candidate: Candidate,
    /// The instance as one that an order may try; `None` if it may not, or if the service takes other
    /// requests than orders too.
    pub(super) subject: Option<Subject>,
    /// Whether the limit of its service's [`WarmUp`] applies to the instance.
    pub(super) is_cold: bool,
    /// Requests in flight and recent attempts of one second, as far as this host knows of them; zero
    /// unless the instance is cold.
    pub(super) known_requests: f64,
}

impl Gateway {
    /// Returns the instances of the request's service that accept requests now and that the request
    /// has not tried. `is_last` says that an attempt on them cannot be retried.
    pub(super) fn eligible_instances(
        &self,
        active: &ActiveRequest,
        is_last: bool,
    ) -> Vec<EligibleInstance> {
        let Some(service) = self.services.get(&active.service) else { return Vec::new() };
        let service_time_s = service.service_time.estimate_s(self.now);
        let warm_up = self.warm_up(&active.service);
        let receives_orders_only = service.receives_orders_only();
        let mut eligible = Vec::with_capacity(service.instances.len());
        for (position, id) in service.instances.iter().enumerate() {
            let Some(view) = self.instances.get(id) else { continue };
            if self.is_usable(view) && !active.tried.contains(id) {
                let others = self.fleet.instance_totals(view.short_id);
                let mut instance = match receives_orders_only {
                    true => self.order_instance(view, &others, service_time_s),
                    false => self.instance(view, &others, service_time_s, is_last),
                };
                instance.position = position;
                if let Some(warm_up) = &warm_up {
                    self.mark_cold(&mut instance, view, &others, warm_up);
                }
                eligible.push(instance);
            }
        }
        eligible
    }

    /// Returns whether an instance accepts requests of this host now.
    pub(super) fn is_usable(&self, view: &InstanceView) -> bool {
        self.is_in_service(view) && self.now >= view.availability.paused_until
    }

    /// Returns what is known of an instance, judged by the decayed counts of its attempts.
    fn instance(
        &self,
        view: &InstanceView,
        others: &InstanceTotals,
        service_time_s: f64,
        is_last: bool,
    ) -> EligibleInstance {
        let now = self.now;
        let attempted_at = view.changed_at.max(self.fleet.attempted_at(view.short_id));
        let mut fleet = others.recent_stats.at(now);
        let own = view.recent_stats.at(now);
        fleet.add(own.attempts, own.failures, now);
        let in_flight = f64::from(view.in_flight) + others.in_flight();
        let mut probability = failure_probability(&own, &fleet);
        if is_last {
            let mut fleet = self.fleet.long_term_stats(view.short_id, now);
            let own = view.long_term_stats.at(now);
            fleet.add(own.attempts, own.failures, now);
            let long_term = failure_probability(&own, &fleet);
            probability = conservative_failure_probability(probability, long_term);
        }
        let stale = in_flight == 0.0 && (fleet.is_stale() || now > attempted_at + RETRIAL_INTERVAL);
        let candidate = self.candidate(view, service_time_s, in_flight, probability, stale);
        EligibleInstance::new(candidate, None)
    }

    /// Returns what is known of an instance of a service that only takes orders. Its failures are
    /// judged by their evidence, not by decayed counts: those of an instance without new attempts
    /// would stay as they are.
    fn order_instance(
        &self,
        view: &InstanceView,
        others: &InstanceTotals,
        service_time_s: f64,
    ) -> EligibleInstance {
        let now = self.now;
        let evidence = self.fleet.evidence(view.short_id);
        let in_flight = f64::from(view.in_flight) + others.in_flight();
        let started_at = view.attempt_started_at.max(self.fleet.started_at(view.short_id));
        let own_is_valid = view.failed_at.is_some_and(|at| now < at + OWN_EVIDENCE_TTL);
        let mut probability = evidence.failure_probability(FAILURE_PRIOR);
        if own_is_valid {
            probability = probability.max(view.own_evidence.failure_probability(FAILURE_PRIOR));
        }
        let candidate = self.candidate(view, service_time_s, in_flight, probability, false);
        let subject = Subject {
            number: view.short_id,
            age_s: now.saturating_sub(started_at).as_secs_f64(),
            evidence,
            free_slots: f64::from(view.instance.slots) - candidate.in_flight,
            is_idle: candidate.in_flight == 0.0,
            yields: (own_is_valid && self.fleet.registered_hosts() > 1)
                || view.instance.data_centre != self.settings.data_centre,
        };
        let fails_here_only =
            own_is_valid && view.own_evidence.is_against() && !evidence.is_against();
        EligibleInstance::new(candidate, (!fails_here_only).then_some(subject))
    }

    fn candidate(
        &self,
        view: &InstanceView,
        service_time_s: f64,
        in_flight: f64,
        failure_probability: f64,
        stale: bool,
    ) -> Candidate {
        let now = self.now;
        Candidate {
            in_flight: in_flight.max(view.reported_load(now)),
            slots: f64::from(view.instance.slots),
            service_time_s,
            failure_probability,
            same_data_centre: view.instance.data_centre == self.settings.data_centre,
            warming_up: now < view.warming_up_until,
            recently_rejected: view.rejected_at.is_some_and(|at| now < at + REJECTION_TTL),
            stale,
            likely_connected: view.pooled_connection_at.is_some_and(|at| now < at + CONNECTION_TTL),
        }
    }

    /// Sets what the limit on cold instances needs, if it applies to the instance.
    fn mark_cold(
        &self,
        instance: &mut EligibleInstance,
        view: &InstanceView,
        others: &InstanceTotals,
        warm_up: &WarmUp,
    ) {
        if !self.is_cold(view, warm_up) {
            return;
        }
        let mut fleet = others.recent_stats.at(self.now);
        let own = view.recent_stats.at(self.now);
        fleet.add(own.attempts, own.failures, self.now);
        let in_flight = f64::from(view.in_flight) + others.in_flight();
        instance.is_cold = true;
        instance.known_requests = in_flight + fleet.attempts_per_second();
        instance.candidate.warming_up = true;
    }
}

impl EligibleInstance {
    /// Creates a warm instance at the first position.
    fn new(candidate: Candidate, subject: Option<Subject>) -> Self {
        Self { position: 0, candidate, subject, is_cold: false, known_requests: 0.0 }
    }
}
