//! The arrival and the end of a request.

use std::time::Duration;

use ebonytack_core::{CustomerId, Refusal, RefusalReason, RequestId, RunState};

use super::Gateway;
use super::state::Due;
use crate::configuration::{Route, Target};
use crate::request::ActiveRequest;
use crate::{Effect, IncomingRequest, Record};

/// When a caller may find a host with a configuration, or one that is not stopping.
const RETRY_AFTER_START: Duration = Duration::from_millis(300);

/// What the configuration says about a request.
struct Admission {
    route: Route,
    customer: Option<CustomerId>,
    priority: u32,
}

/// Arrival.
impl Gateway {
    pub(super) fn on_request(&mut self, request: RequestId, arrival: IncomingRequest) {
        let admission = match self.check(&arrival) {
            Ok(admission) => admission,
            Err(refusal) => {
                let id = arrival.caller_request_id;
                self.refuse_arrival(request, id, String::new(), refusal, String::new());
                return;
            }
        };
        let Admission { route, customer, priority } = admission;
        let service = self.pick_service(&route.targets);
        self.note_request(&service);
        if let Some(customer) = &customer
            && let Err((refusal, input)) = self.admit_customer(customer)
        {
            self.refuse_arrival(request, arrival.caller_request_id, route.name, refusal, input);
            return;
        }
        let timeout = arrival.timeout.unwrap_or(Duration::MAX).min(route.timeout);
        let expires_at = self.now + timeout;
        self.timers.arm(expires_at, Due::Expiry(request));
        let active = ActiveRequest {
            caller_request_id: arrival.caller_request_id,
            route: route.name,
            service,
            customer,
            idempotent: route.idempotent,
            attempts_max: route.attempts_max,
            priority,
            arrived_at: self.now,
            target_at: self.now + route.target_latency,
            expires_at,
            attempts: Vec::new(),
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            may_have_run: false,
            caller_gone: false,
            answered: false,
        };
        self.requests.insert(request, active);
        self.place_first(request);
    }

    /// Checks a request against the configuration.
    fn check(&self, arrival: &IncomingRequest) -> Result<Admission, Refusal> {
        let refuse = |reason| Err(Refusal::not_run(reason));
        let Some(configuration) = &self.configuration else {
            let refusal = Refusal::not_run(RefusalReason::NoConfiguration);
            return Err(refusal.retry_after(RETRY_AFTER_START));
        };
        let Some(route) = configuration.route(&arrival.host, &arrival.path) else {
            return refuse(RefusalReason::NoRoute);
        };
        let customer = match &arrival.key {
            _ if !configuration.has_customers() => None,
            Some(key) => configuration.customer_of(key).cloned(),
            None => None,
        };
        if customer.is_none() && !route.allows_anonymous && configuration.has_customers() {
            return refuse(RefusalReason::KeyMissing);
        }
        let ranked = customer.as_ref().and_then(|id| configuration.customers.get(id));
        let priority = ranked.and_then(|customer| customer.priority).unwrap_or(route.priority);
        Ok(Admission { route: route.clone(), customer, priority })
    }

    /// Picks one of a route's services by weight.
    fn pick_service(&mut self, targets: &[Target]) -> String {
        let total: f64 = targets.iter().map(|target| target.weight).sum();
        let mut at = self.random.unit() * total;
        for target in targets {
            at -= target.weight;
            if at < 0.0 {
                return target.service.clone();
            }
        }
        // Rounding may leave a rest. A route without targets names no service, which has no instance.
        targets.last().map(|target| target.service.clone()).unwrap_or_default()
    }

    fn refuse_arrival(
        &mut self,
        request: RequestId,
        caller_request_id: String,
        route: String,
        refusal: Refusal,
        input: String,
    ) {
        self.record(Record::Refused {
            request: caller_request_id,
            route,
            reason: refusal.reason.name(),
            outcome: refusal.run,
            input,
            retry_after_ms: millis(refusal.retry_after.unwrap_or_default()),
            after_ms: 0,
            revision: self.revision(),
        });
        self.effects.push(Effect::Refuse { request, refusal });
    }
}

/// Ending.
impl Gateway {
    /// Ends a request whose time is over. What was sent may still run, so its outcome is unknown.
    pub(super) fn on_expiry(&mut self, request: RequestId) {
        let Some(active) = self.requests.get(&request) else { return };
        if active.answered {
            return;
        }
        let input = format!("{} attempts under way", active.attempts.len());
        self.refuse(request, RefusalReason::DeadlineExceeded, None, input);
    }

    pub(super) fn on_caller_gone(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.caller_gone = true;
        if active.answered {
            return;
        }
        active.answered = true;
        let cancelled = active.idempotent;
        let caller_request_id = active.caller_request_id.clone();
        let after_ms = millis(self.now.saturating_sub(active.arrived_at));
        self.record(Record::Abandoned { request: caller_request_id, cancelled, after_ms });
        if cancelled {
            self.cancel_attempts(request);
        }
        self.forget_if_done(request);
    }

    /// Refuses a request; says that it did not run only when no attempt can have run.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        input: String,
    ) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        if active.answered {
            return;
        }
        active.answered = true;
        let may_have_run = active.may_have_run || !active.attempts.is_empty();
        let (run, reason) = match (may_have_run, reason) {
            (false, _) => (RunState::NotRun, reason),
            (true, RefusalReason::DeadlineExceeded) => (RunState::Unknown, reason),
            (true, _) => (RunState::Unknown, RefusalReason::UpstreamFailed),
        };
        let retry_after = retry_after.filter(|_| run == RunState::NotRun);
        let record = Record::Refused {
            request: active.caller_request_id.clone(),
            route: active.route.clone(),
            reason: reason.name(),
            outcome: run,
            input,
            retry_after_ms: millis(retry_after.unwrap_or_default()),
            after_ms: millis(self.now.saturating_sub(active.arrived_at)),
            revision: self.configuration.as_ref().map_or(0, |c| c.revision),
        };
        let customer = active.customer.clone().filter(|_| !may_have_run);
        self.record(record);
        if let Some(customer) = customer {
            self.refund_customer(&customer);
        }
        let refusal = Refusal { reason, run, retry_after };
        self.effects.push(Effect::Refuse { request, refusal });
        self.cancel_attempts(request);
        self.forget_if_done(request);
    }

    /// Forgets a request that was answered and has no attempts under way.
    pub(super) fn forget_if_done(&mut self, request: RequestId) {
        let done = |active: &ActiveRequest| active.answered && active.attempts.is_empty();
        if self.requests.get(&request).is_some_and(done)
            && let Some(active) = self.requests.remove(&request)
        {
            self.timers.disarm(active.expires_at, Due::Expiry(request));
        }
    }
}

/// Returns whole milliseconds.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
