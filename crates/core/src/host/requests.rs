//! Admission and completion of requests. Queueing and attempts have their own modules.

use std::time::Duration;

use super::Host;
use crate::attempt::{ActiveRequest, Stage};
use crate::limit::{Admission, ServedWaiters, Waiter};
use crate::{CustomerId, Effect, Refusal, RefusalReason, RequestHead, RequestId, Timer};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Validation and authentication of new requests.
impl Host {
    pub(super) fn on_request(&mut self, request: RequestId, head: RequestHead) {
        match self.admit(head) {
            Ok(active) => {
                self.timers.arm(active.deadline_at, Timer::Deadline(request));
                let customer = active.customer.clone();
                self.requests.insert(request, active);
                match customer {
                    Some(customer) => self.acquire_rate(request, &customer),
                    None => self.on_rate_acquired(request),
                }
            }
            Err(refusal) => self.out.push(Effect::Refuse { request, refusal }),
        }
    }

    /// Validates a request against the configuration.
    fn admit(&mut self, head: RequestHead) -> Result<ActiveRequest, Refusal> {
        if self.stopping {
            return Err(Refusal::not_run(RefusalReason::Stopping));
        }
        if !self.configuration.is_loaded() {
            let refusal = Refusal::not_run(RefusalReason::NoConfiguration);
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        let declaration = &self.configuration.declaration;
        let route = declaration
            .route(&head.host, &head.path, &head.method)
            .ok_or(Refusal::not_run(RefusalReason::NoRoute))?;
        let service = route.service.clone();
        let profile = declaration
            .service(&service)
            .and_then(|service| declaration.profile(&service.profile))
            .ok_or(Refusal::not_run(RefusalReason::NoRoute))?;
        let idempotent = route.idempotent.unwrap_or_else(|| is_idempotent(&head.method));
        let open = route.open;
        let customer = self.authenticate(&head, open)?;
        if profile.require_idempotency_key && !idempotent && head.idempotency_key.is_none() {
            return Err(Refusal::not_run(RefusalReason::IdempotencyKeyMissing));
        }
        let timeout = head.timeout.unwrap_or(Duration::MAX).min(profile.deadline());
        Ok(ActiveRequest {
            head,
            service,
            customer,
            profile,
            idempotent,
            deadline_at: self.now + timeout,
            stage: Stage::RateLimit,
            attempts: Vec::new(),
            tried: Vec::new(),
            attempts_made: 0,
            sent: false,
            claim_deadline_at: Duration::ZERO,
            claimed: false,
            caller_gone: false,
            in_flight: false,
        })
    }

    /// Returns the customer of a request. Routes that require a key also require a fresh list of
    /// withdrawn keys.
    fn authenticate(&self, head: &RequestHead, open: bool) -> Result<Option<CustomerId>, Refusal> {
        let Some(key) = &head.key else {
            if open {
                return Ok(None);
            }
            return Err(Refusal::not_run(RefusalReason::KeyMissing));
        };
        if !self.configuration.is_fresh(self.now) {
            if open {
                return Ok(None);
            }
            let refusal = Refusal::not_run(RefusalReason::Stale);
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        match self.configuration.key(key) {
            Some(entry) => Ok(Some(entry.customer.clone())),
            None if open => Ok(None),
            None => Err(Refusal::not_run(RefusalReason::KeyRefused)),
        }
    }
}

/// Waiting for a rate-limit token.
impl Host {
    fn acquire_rate(&mut self, request: RequestId, customer: &CustomerId) {
        let Some(active) = self.requests.get(&request) else { return };
        let until = (self.now + active.profile.admission_wait()).min(active.deadline_at);
        let waiter = Waiter { request, until };
        let context = Self::limit_context(&self.identity, &self.configuration, self.now);
        let (leases, timers, out) = (&mut self.leases, &mut self.timers, &mut self.out);
        match self.limits.acquire(&context, leases, customer, waiter, timers, out) {
            Admission::Admitted => self.on_rate_acquired(request),
            Admission::Waiting => self.timers.arm(until, Timer::AdmissionWait(request)),
            Admission::Full => self.refuse_rate(request, true),
        }
    }

    pub(super) fn on_served_waiters(&mut self, served: ServedWaiters) {
        for request in served.admitted {
            self.on_rate_acquired(request);
        }
    }

    pub(super) fn on_draw_timer(&mut self, customer: &CustomerId) {
        let context = Self::limit_context(&self.identity, &self.configuration, self.now);
        let (leases, timers, out) = (&mut self.leases, &mut self.timers, &mut self.out);
        let served = self.limits.on_draw_timer(&context, leases, customer, timers, out);
        self.on_served_waiters(served);
    }

    pub(super) fn on_admission_wait(&mut self, request: RequestId) {
        let Some(active) = self.requests.get(&request) else { return };
        if active.stage != Stage::RateLimit {
            return;
        }
        let customer = active.customer.clone().unwrap_or_default();
        let holder_responded = self.limits.cancel(&customer, request);
        self.refuse_rate(request, holder_responded);
    }

    fn refuse_rate(&mut self, request: RequestId, holder_responded: bool) {
        let reason = if holder_responded {
            RefusalReason::RateExceeded
        } else {
            RefusalReason::RateUnavailable
        };
        let refusal = Refusal::not_run(reason).retry_after(RETRY_AFTER);
        self.refuse(request, refusal);
    }

    /// Refunds the rate-limit token of a request that does not run.
    pub(super) fn refund_rate(&mut self, request: RequestId) {
        let customer = self.requests.get(&request).and_then(|active| active.customer.clone());
        if let Some(customer) = customer {
            self.limits.refund(&customer, self.now);
        }
    }

    fn on_rate_acquired(&mut self, request: RequestId) {
        let Some(active) = self.requests.get(&request) else { return };
        let keyed = active.head.idempotency_key.is_some() && active.customer.is_some();
        if keyed && !active.idempotent {
            self.begin_claim(request);
        } else {
            self.enqueue(request);
        }
    }
}

/// Deadlines, refusals, and the release of the resources that a request holds.
impl Host {
    pub(super) fn on_deadline(&mut self, request: RequestId) {
        let Some(active) = self.requests.get(&request) else { return };
        match active.stage {
            Stage::Delivering => {}
            Stage::RateLimit => self.on_admission_wait(request),
            Stage::Claim => {}
            Stage::Queue => {
                self.refund_rate(request);
                self.refuse(request, Refusal::not_run(RefusalReason::Overloaded));
            }
            Stage::Running => {
                self.refuse_after_attempts(request, RefusalReason::DeadlineExceeded);
            }
        }
    }

    pub(super) fn on_caller_gone(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.caller_gone = true;
        match active.stage {
            Stage::RateLimit => {
                let customer = active.customer.clone().unwrap_or_default();
                self.limits.cancel(&customer, request);
                self.finish_request(request);
            }
            Stage::Queue => {
                self.refund_rate(request);
                self.finish_request(request);
            }
            Stage::Running if active.idempotent => self.finish_request(request),
            Stage::Running | Stage::Claim => {}
            Stage::Delivering => self.finish_request(request),
        }
    }

    pub(super) fn on_delivered(&mut self, request: RequestId) {
        self.finish_request(request);
    }

    /// Refuses a request after its attempts failed. It may have run when a byte of it was sent.
    pub(super) fn refuse_after_attempts(&mut self, request: RequestId, reason: RefusalReason) {
        let Some(active) = self.requests.get(&request) else { return };
        let sent = active.sent || !active.attempts.is_empty();
        if sent && active.claimed {
            let context = self.claim_context(0);
            self.claims.finish(&context, request, None, &mut self.out);
        }
        let refusal = if sent { Refusal::unknown(reason) } else { Refusal::not_run(reason) };
        self.refuse(request, refusal);
    }

    pub(super) fn refuse(&mut self, request: RequestId, refusal: Refusal) {
        let caller_gone = self.requests.get(&request).is_some_and(|active| active.caller_gone);
        self.finish_request(request);
        if !caller_gone {
            self.out.push(Effect::Refuse { request, refusal });
        }
    }

    /// Removes a request and releases all resources that it holds.
    pub(super) fn finish_request(&mut self, request: RequestId) {
        self.cancel_attempts(request);
        self.leave_queue(request);
        if let Some(active) = self.requests.remove(&request) {
            self.timers.disarm(active.deadline_at, Timer::Deadline(request));
            if active.claimed && active.stage != Stage::Delivering {
                self.release_claim(request);
            }
        }
        if self.stopping && self.requests.is_empty() {
            self.wake_now();
        }
    }

    pub(super) fn leave_queue(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        let service = active.service.clone();
        if active.in_flight {
            active.in_flight = false;
            self.queue(&service).finish();
            self.start_queued(&service);
        } else if active.stage == Stage::Queue {
            let customer = active.customer.clone().unwrap_or_default();
            self.queue(&service).cancel(&customer, request);
        }
    }

    pub(super) fn cancel_attempts(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        let service = active.service.clone();
        for attempt in std::mem::take(&mut active.attempts) {
            self.attempts.remove(&attempt.id);
            self.timers.disarm(attempt.slow_at, Timer::SlowAttempt(attempt.id));
            let view = self.health.view(&service).instance(&attempt.instance);
            view.in_flight = view.in_flight.saturating_sub(1);
            self.out.push(Effect::CancelAttempt { attempt: attempt.id });
            if attempt.counted_slow {
                self.out.push(Effect::DropConnections { address: attempt.address });
            }
        }
    }
}

/// Returns whether a method is treated as idempotent where the route does not declare it. These are
/// the safe methods of RFC 9110; `PUT` and `DELETE` are left out.
fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE")
}
