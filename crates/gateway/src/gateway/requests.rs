//! Handles new requests and their completion.

use std::time::Duration;

use ebonytack_core::{CustomerId, Refusal, RefusalReason, RequestId, RunState};

use super::Gateway;
use super::state::TimerEvent;
use crate::configuration::{Route, Target};
use crate::request::ActiveRequest;
use crate::{Effect, IncomingRequest, Record};

/// Retry delay for callers of a host without a configuration.
const RETRY_AFTER_START: Duration = Duration::from_millis(300);
/// Retry delay for callers of a stopping host, before jitter. Other hosts can serve them at once.
const RETRY_AFTER_STOP: Duration = Duration::from_millis(50);

/// The route, customer and priority that the configuration assigns to a request.
struct ResolvedRequest {
    route: Route,
    customer: Option<CustomerId>,
    priority: u32,
}

/// Routing and admission of new requests.
impl Gateway {
    pub(super) fn on_request(&mut self, request: RequestId, incoming: IncomingRequest) {
        let resolved = match self.resolve(&incoming) {
            Ok(resolved) => resolved,
            Err(refusal) => {
                let id = incoming.caller_request_id;
                self.refuse_unplaced(request, id, String::new(), refusal, String::new());
                return;
            }
        };
        let ResolvedRequest { route, customer, priority } = resolved;
        let timeout = incoming.timeout.unwrap_or(Duration::MAX).min(route.timeout);
        let deadline = self.now.saturating_add(timeout);
        if self.exit_at.is_some_and(|exit_at| deadline > exit_at) {
            let delay = self.with_jitter(RETRY_AFTER_STOP);
            let refusal = Refusal::not_run(RefusalReason::Stopping).retry_after(delay);
            let input = "the deadline is later than the exit of the host".to_owned();
            self.refuse_unplaced(request, incoming.caller_request_id, route.name, refusal, input);
            return;
        }
        let service = self.pick_service(&route.targets);
        self.count_request(&service, route.idempotent);
        if let Some(customer) = &customer
            && let Err((refusal, input)) = self.admit_customer(customer)
        {
            self.refuse_unplaced(request, incoming.caller_request_id, route.name, refusal, input);
            return;
        }
        self.timers.arm(deadline, TimerEvent::Expiry(request));
        let active = ActiveRequest {
            caller_request_id: incoming.caller_request_id,
            route: route.name,
            service,
            customer,
            idempotent: route.idempotent,
            attempts_max: route.attempts_max,
            priority,
            arrived_at: self.now,
            target_at: self.now.saturating_add(route.target_latency),
            route_timeout: route.timeout,
            deadline,
            attempts: Vec::new(),
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            may_have_run: false,
            caller_disconnected: false,
            completed: false,
        };
        self.requests.insert(request, active);
        self.place(request);
    }

    /// Finds the route and the customer of a request, and refuses it if it may not use the route.
    fn resolve(&self, incoming: &IncomingRequest) -> Result<ResolvedRequest, Refusal> {
        let refuse = |reason| Err(Refusal::not_run(reason));
        let Some(configuration) = &self.configuration else {
            let refusal = Refusal::not_run(RefusalReason::NoConfiguration);
            return Err(refusal.retry_after(RETRY_AFTER_START));
        };
        let Some(route) = configuration.route(&incoming.host, &incoming.path) else {
            return refuse(RefusalReason::NoRoute);
        };
        let customer = match &incoming.key {
            _ if !configuration.requires_keys() => None,
            Some(key) => configuration.customer_of(key).cloned(),
            None => None,
        };
        if customer.is_none() && !route.allows_anonymous && configuration.requires_keys() {
            return refuse(RefusalReason::KeyMissing);
        }
        let settings = customer.as_ref().and_then(|id| configuration.customers.get(id));
        let priority = settings.and_then(|customer| customer.priority).unwrap_or(route.priority);
        Ok(ResolvedRequest { route: route.clone(), customer, priority })
    }

    /// Picks one of a route's services at random, by weight.
    fn pick_service(&mut self, targets: &[Target]) -> String {
        let total: f64 = targets.iter().map(|target| target.weight).sum();
        let mut remaining = self.random.next_f64() * total;
        for target in targets {
            remaining -= target.weight;
            if remaining < 0.0 {
                return target.service.clone();
            }
        }
        // Rounding errors may skip all targets. Without targets the empty service name has no
        // instances, so that the request is refused.
        targets.last().map(|target| target.service.clone()).unwrap_or_default()
    }

    fn refuse_unplaced(
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

/// Completion: deadlines, disconnected callers and refusals.
impl Gateway {
    /// Refuses a request at its deadline. Attempts in flight may still run, in which case the
    /// outcome is unknown.
    pub(super) fn on_expiry(&mut self, request: RequestId) {
        let Some(active) = self.requests.get(&request) else { return };
        if active.completed {
            return;
        }
        let input = format!("{} attempts under way", active.attempts.len());
        self.refuse(request, RefusalReason::DeadlineExceeded, None, input);
    }

    /// Refuses all requests without a response, since the host exits. Callers learn which of them may
    /// have run.
    pub(super) fn refuse_remaining(&mut self) {
        let remaining = self.requests.iter().filter(|(_, active)| !active.completed);
        let remaining: Vec<RequestId> = remaining.map(|(request, _)| *request).collect();
        for request in remaining {
            let input = "the host exits".to_owned();
            let delay = self.with_jitter(RETRY_AFTER_STOP);
            self.refuse(request, RefusalReason::Stopping, Some(delay), input);
        }
    }

    pub(super) fn on_caller_disconnected(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.caller_disconnected = true;
        if active.completed {
            return;
        }
        active.completed = true;
        let cancelled = active.idempotent;
        let caller_request_id = active.caller_request_id.clone();
        let after_ms = millis(self.now.saturating_sub(active.arrived_at));
        self.record(Record::Abandoned { request: caller_request_id, cancelled, after_ms });
        if cancelled {
            self.cancel_attempts(request);
        }
        self.remove_if_finished(request);
    }

    /// Refuses a request. The refusal states that the request did not run, and when to retry, only
    /// if no attempt can have run.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        input: String,
    ) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        if active.completed {
            return;
        }
        active.completed = true;
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
        self.remove_if_finished(request);
    }

    /// Removes a request that is completed and has no attempts in flight.
    pub(super) fn remove_if_finished(&mut self, request: RequestId) {
        let is_finished = |active: &ActiveRequest| active.completed && active.attempts.is_empty();
        if self.requests.get(&request).is_some_and(is_finished)
            && let Some(active) = self.requests.remove(&request)
        {
            self.timers.disarm(active.deadline, TimerEvent::Expiry(request));
        }
    }
}

/// Converts a duration to whole milliseconds; saturates at `u64::MAX`.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
