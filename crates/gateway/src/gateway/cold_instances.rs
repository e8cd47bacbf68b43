//! Limits the requests to cold instances; see [`crate::warm_up`].

use std::time::Duration;

use ebonytack_core::RequestId;

use super::Gateway;
use super::candidates::EligibleInstance;
use super::state::InstanceView;
use crate::WarmUp;
use crate::balance::{AdmissionLimit, Candidate, completion_estimate};
use crate::warm_up::{WarmUpLimit, demand_share_since_start, is_starting};

/// Failure probability above which a cold instance is not preferred.
const PREFERRED_FAILURE_PROBABILITY_MAX: f64 = 0.2;

impl Gateway {
    /// Returns the limit on cold instances of a service; `None` without one.
    pub(super) fn warm_up(&self, service: &str) -> Option<WarmUp> {
        self.configuration.as_ref()?.services.get(service)?.warm_up
    }

    /// Returns whether an instance of a service with this warm-up is cold: its entry says so, or an
    /// evacuation of its data centre has ended recently, during which it got no requests.
    pub(super) fn is_cold(&self, view: &InstanceView, warm_up: &WarmUp) -> bool {
        let ended_at = self.evacuations.ended_at(&view.instance.data_centre);
        self.now < view.warming_up_until
            || ended_at.is_some_and(|at| self.now < at.saturating_add(warm_up.duration))
    }

    /// Returns why no instance can be chosen for a request, for the log.
    pub(super) fn no_instance_input(&self, request: RequestId) -> &'static str {
        let Some(active) = self.requests.get(&request) else { return "no instance is ready" };
        if self.is_fully_evacuated(&active.service) {
            return "all instances that accept requests are in evacuated data centres";
        }
        if self.warm_up(&active.service).is_none() {
            return "no instance is ready";
        }
        match self.eligible_instances(active, true).iter().any(|instance| instance.is_cold) {
            true => "all instances that accept requests are cold and at their limit",
            false => "no instance is ready",
        }
    }

    /// Returns the highest requests per second to a service that all hosts together may send: those of
    /// the hosts that this one hears, extended to all registered ones, or as many as if each sent as
    /// many as this one. When a service that was idle gets load, this host knows its own requests
    /// before those of others.
    fn fleet_demand_upper(&mut self, service: &str) -> f64 {
        let heard = self.service_demand(service) / self.fleet.live_share(self.now);
        let now = self.now;
        let running_for = now.saturating_sub(self.started_at.unwrap_or(now));
        let own = self.service(service).retry_budget.demand(now);
        let own = own / demand_share_since_start(running_for);
        heard.max(own * f64::from(self.fleet.registered_hosts()))
    }

    /// Returns whether a service has an instance that accepts requests now, is not cold and is not
    /// avoided for its failures, whether or not a request has tried it.
    fn is_warm_left(&self, service: &str, warm_up: &WarmUp) -> bool {
        let instances = self.services.get(service).map(|service| service.instances.as_slice());
        let views = instances.unwrap_or_default().iter().filter_map(|id| self.instances.get(id));
        views
            .into_iter()
            .any(|view| self.is_usable(view) && !view.avoided && !self.is_cold(view, warm_up))
    }

    /// Removes the cold instances that the request does not consider. Those that it considers and
    /// that are idle are preferred: if there are any, all others are removed.
    pub(super) fn limit_cold_instances(
        &mut self,
        request: RequestId,
        eligible: Vec<EligibleInstance>,
        is_last: bool,
    ) -> Vec<EligibleInstance> {
        if !eligible.iter().any(|instance| instance.is_cold) {
            return eligible;
        }
        let Some(active) = self.requests.get(&request) else { return eligible };
        let Some(warm_up) = self.warm_up(&active.service) else { return eligible };
        let is_retry = active.sends > 0;
        let time_to_target = active.target_at.saturating_sub(self.now);
        let time_left = active.deadline.saturating_sub(self.now);
        let admission = AdmissionLimit::new(active.priority, time_left);
        let service = active.service.clone();
        let is_warm_left = self.is_warm_left(&service, &warm_up);
        let running_for = self.now.saturating_sub(self.started_at.unwrap_or(self.now));
        let is_starting = is_starting(running_for);
        // Retries are sent in addition to the demand from which the probability follows. Without the
        // members, a host does not know how many others send too.
        if is_retry || !self.members_known || (is_warm_left && is_starting) {
            return eligible.into_iter().filter(|instance| !instance.is_cold).collect();
        }
        let limit = WarmUpLimit::new(
            &warm_up,
            self.settings.warm_up_factor,
            self.settings.warm_up_allowance,
            self.fleet_demand_upper(&service),
        );
        let random = &mut self.random;
        let considered = eligible.into_iter().filter(|instance| {
            let is_full = instance.candidate.in_flight >= instance.candidate.slots;
            !instance.is_cold
                || (limit.considers(instance.known_requests, random.next_f64()) && !is_full)
        });
        let considered: Vec<EligibleInstance> = considered.collect();
        let is_preferred = |instance: &EligibleInstance| {
            instance.is_cold
                && is_preferred(&instance.candidate, time_to_target, &admission, is_last)
        };
        match considered.iter().any(is_preferred) {
            true => considered.into_iter().filter(is_preferred).collect(),
            false => considered,
        }
    }
}

/// Returns whether a cold instance that a request considers is used although a warm one would
/// respond earlier: it is idle, would respond within the target latency, and is not known to fail,
/// unless the request may be used to find out whether it still does. A late response is accepted
/// from an instance that no host is known to have tried lately: during an overload the estimate is
/// too high on hosts that hear nobody, and none of them would use the instance.
fn is_preferred(
    candidate: &Candidate,
    time_to_target: Duration,
    admission: &AdmissionLimit,
    is_last: bool,
) -> bool {
    let estimate_s = completion_estimate(candidate);
    let is_in_time = estimate_s <= time_to_target.as_secs_f64()
        || (candidate.stale && admission.admits(estimate_s));
    let is_sound = candidate.failure_probability <= PREFERRED_FAILURE_PROBABILITY_MAX;
    candidate.in_flight == 0.0
        && !candidate.recently_rejected
        && is_in_time
        && (is_sound || (candidate.stale && !is_last))
}
