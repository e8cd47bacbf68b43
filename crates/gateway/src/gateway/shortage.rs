//! Applies the shortage policy to requests and to the retry budget.

use std::time::Duration;

use ebonytack_core::RequestId;

use super::Gateway;
use super::placement::ChosenInstance;
use crate::Record;
use crate::shortage::{
    AdmissionRequest, RequestClasses, RetryCause, RetryRequest, RouteWork, ServiceLoad, Verdict,
    required_tokens,
};

/// Bounds of the retry delay for callers whose request an instance rejected and that the host does
/// not retry. Other instances may accept it at once, so the delay only spreads the callers out.
const REJECTION_DELAY_MIN: Duration = Duration::from_millis(60);
const REJECTION_DELAY_MAX: Duration = Duration::from_millis(150);

/// Weight of a request in the share of admitted ones: that of about the last 2 s of a host that
/// receives ten requests a second.
const ADMITTED_SAMPLE_WEIGHT: f64 = 0.05;

/// The refusal of a request that costs callers less than others.
pub(super) struct Shed {
    pub(super) retry_after: Duration,
    /// Values behind the decision, for the log.
    pub(super) input: String,
}

/// Admission of new requests.
impl Gateway {
    /// Decides whether a request is refused so that its service has room for others; `None` if it is
    /// admitted or the shortage policy does not apply.
    pub(super) fn shed(&mut self, request: RequestId, chosen: &ChosenInstance) -> Option<Shed> {
        self.classes(request)?;
        self.update_shortage_level(request, chosen.load);
        let active = self.requests.get(&request)?;
        let service = self.services.get(&active.service)?;
        let classes = self.shortage_classes.get(&active.service)?;
        let time_left = active.deadline.saturating_sub(self.now);
        let admission = AdmissionRequest {
            priority: active.priority,
            target_s: active.target_at.saturating_sub(active.arrived_at).as_secs_f64(),
            elapsed_s: active.route_timeout.saturating_sub(time_left).as_secs_f64(),
            time_left_s: time_left.as_secs_f64(),
            estimate_s: self.estimate_s(request, chosen),
            work_s: self.expected_work_s(request),
        };
        let mean_work_s = service.service_time.estimate_s(self.now);
        let load = ServiceLoad { load: chosen.load, mean_work_s };
        let level = service.shortage.level().number();
        let verdict = Verdict::decide(classes, &admission, &load, &mut self.random);
        let admitted = if verdict == Verdict::Go { 1.0 } else { 0.0 };
        let view = self.services.get_mut(&active.service)?;
        view.admitted_share += (admitted - view.admitted_share) * ADMITTED_SAMPLE_WEIGHT;
        match verdict {
            Verdict::Go => None,
            Verdict::Refuse { retry_after } => {
                let input = format!(
                    "shortage level {level}, load {:.2} per slot, priority {}, target {:.0} ms, \
                     time left {:.0} ms, work {:.0} ms, estimate {:.0} ms",
                    load.load,
                    admission.priority,
                    admission.target_s * 1e3,
                    admission.time_left_s * 1e3,
                    admission.work_s * 1e3,
                    admission.estimate_s * 1e3,
                );
                Some(Shed { retry_after, input })
            }
        }
    }

    /// Updates the level of the request's service and logs a change.
    fn update_shortage_level(&mut self, request: RequestId, load: f64) {
        let now = self.now;
        let Some(active) = self.requests.get(&request) else { return };
        let Some(view) = self.services.get_mut(&active.service) else { return };
        if !view.shortage.update(load, now) {
            return;
        }
        let (level, service) = (view.shortage.level().number(), active.service.clone());
        let fleet_demand = self.service_demand(&service);
        self.record(Record::ShortageLevel { service, level, load_per_slot: load, fleet_demand });
    }
}

/// Retries and the expected duration of requests.
impl Gateway {
    /// Returns the classes of the request's service; `None` if the shortage policy does not apply.
    pub(super) fn classes(&self, request: RequestId) -> Option<&RequestClasses> {
        self.shortage_classes.get(&self.requests.get(&request)?.service)
    }

    /// Returns the tokens that the retry budget must hold for a retry of the request; `full` is the
    /// number of tokens in a full budget.
    pub(super) fn required_retry_tokens(
        &self,
        request: RequestId,
        cause: RetryCause,
        full: f64,
    ) -> f64 {
        let (Some(classes), Some(active)) = (self.classes(request), self.requests.get(&request))
        else {
            return 1.0;
        };
        let retry = RetryRequest {
            priority: active.priority,
            cause,
            time_left_s: active.deadline.saturating_sub(self.now).as_secs_f64(),
            route_timeout_s: active.route_timeout.as_secs_f64(),
            target_s: active.target_at.saturating_sub(active.arrived_at).as_secs_f64(),
        };
        required_tokens(classes, &retry, full)
    }

    /// Returns whether an attempt on the chosen instance would probably end before the deadline; true
    /// for services to which the shortage policy does not apply.
    pub(super) fn ends_in_time(&self, request: RequestId, chosen: &ChosenInstance) -> bool {
        let Some(active) = self.requests.get(&request) else { return false };
        let time_left = active.deadline.saturating_sub(self.now);
        self.classes(request).is_none()
            || self.estimate_s(request, chosen) < time_left.as_secs_f64()
    }

    /// Returns the expected time until the response of the chosen instance, in seconds: its estimate,
    /// with the expected duration of the route in place of the service's average for the request
    /// itself. The queue before it still counts with the average.
    fn estimate_s(&self, request: RequestId, chosen: &ChosenInstance) -> f64 {
        let service = self.requests.get(&request).and_then(|r| self.services.get(&r.service));
        let service_s = service.map_or(0.0, |service| service.service_time.estimate_s(self.now));
        chosen.estimate_s - service_s + self.expected_work_s(request)
    }

    /// Returns the time after which the caller of a rejected request may come back; `None` if the
    /// shortage policy does not apply or all instances have asked for a pause.
    pub(super) fn rejection_delay(&mut self, request: RequestId) -> Option<Duration> {
        self.classes(request)?;
        if !self.has_usable_instance(request) {
            return None;
        }
        let spread = REJECTION_DELAY_MAX - REJECTION_DELAY_MIN;
        Some(REJECTION_DELAY_MIN + spread.mul_f64(self.random.next_f64()))
    }

    /// Records that an attempt was started, whose response will show how long the route's requests
    /// take.
    pub(super) fn note_work_started(&mut self, request: RequestId) {
        let now = self.now;
        let Some(active) = self.requests.get(&request) else { return };
        if !self.shortage_classes.contains_key(&active.service) {
            return;
        }
        let Some(service) = self.services.get_mut(&active.service) else { return };
        let service_s = service.service_time.estimate_s(now);
        if let Some(work) = service.route_work.get_mut(&active.route) {
            work.start_attempt(service_s, now);
        }
    }

    /// Adds the duration of a request to the average of its route.
    pub(super) fn add_work_sample(&mut self, request: RequestId, sample_s: f64) {
        let now = self.now;
        let Some(active) = self.requests.get(&request) else { return };
        if !self.shortage_classes.contains_key(&active.service) {
            return;
        }
        let Some(service) = self.services.get_mut(&active.service) else { return };
        let service_s = service.service_time.estimate_s(now);
        // Looked up before the insertion, which would copy the name each time.
        if let Some(work) = service.route_work.get_mut(&active.route) {
            work.add_sample(sample_s, service_s, now);
        } else {
            let mut work = RouteWork::default();
            work.add_sample(sample_s, service_s, now);
            service.route_work.insert(active.route.clone(), work);
        }
    }

    /// Returns the expected duration of the request on an idle instance, in seconds.
    pub(super) fn expected_work_s(&self, request: RequestId) -> f64 {
        let Some(active) = self.requests.get(&request) else { return 0.0 };
        let Some(service) = self.services.get(&active.service) else { return 0.0 };
        let service_s = service.service_time.estimate_s(self.now);
        let work = service.route_work.get(&active.route);
        work.map_or(service_s, |work| work.estimate_s(service_s, self.now))
    }

    fn has_usable_instance(&self, request: RequestId) -> bool {
        let service = self.requests.get(&request).and_then(|r| self.services.get(&r.service));
        let ids = service.map(|service| service.instances.as_slice()).unwrap_or_default();
        ids.iter().any(|id| self.instances.get(id).is_some_and(|view| self.is_usable(view)))
    }
}
