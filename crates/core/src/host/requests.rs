//! The path of a request: checks, rate, claim, queue, attempts, answer.

use std::time::Duration;

use super::Host;
use crate::admission::{FairQueue, Offer, QueueLimits};
use crate::attempt::{ActiveRequest, Attempt, AttemptOutcome, FailureKind, Stage};
use crate::health::{Choice, Sample};
use crate::limit::{Admission, Settled, Waiter};
use crate::{
    AttemptId, CustomerId, Effect, InstanceId, Refusal, RefusalReason, RequestHead, RequestId,
    ServiceId, StoredAnswer, Timer,
};

const WAITING_PER_CUSTOMER: usize = 64;
/// The status from which an answer counts as the upstream's fault.
const FAULT_STATUS: u16 = 500;
const RETRY_AFTER_STALE: Duration = Duration::from_secs(1);

/// Arrival.
impl Host {
    pub(super) fn on_request(&mut self, request: RequestId, head: RequestHead) {
        match self.admit(head) {
            Ok(active) => {
                self.timers.arm(active.deadline_at, Timer::Deadline(request));
                let customer = active.customer.clone();
                self.requests.insert(request, active);
                match customer {
                    Some(customer) => self.acquire_rate(request, &customer),
                    None => self.after_rate(request),
                }
            }
            Err(refusal) => self.out.push(Effect::Refuse { request, refusal }),
        }
    }

    /// Checks a request against the configuration.
    fn admit(&mut self, head: RequestHead) -> Result<ActiveRequest, Refusal> {
        if self.stopping {
            return Err(Refusal::not_run(RefusalReason::Stopping));
        }
        if !self.configuration.is_loaded() {
            let refusal = Refusal::not_run(RefusalReason::NoConfiguration);
            return Err(refusal.retry_after(RETRY_AFTER_STALE));
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
            stage: Stage::Rate,
            attempts: Vec::new(),
            tried: Vec::new(),
            attempts_made: 0,
            sent: false,
            claim_until: Duration::ZERO,
            claimed: false,
            caller_gone: false,
            in_flight: false,
        })
    }

    /// Finds the customer of a request. Keyed routes need fresh knowledge of withdrawn keys.
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
            return Err(refusal.retry_after(RETRY_AFTER_STALE));
        }
        match self.configuration.key(key) {
            Some(entry) => Ok(Some(entry.customer.clone())),
            None if open => Ok(None),
            None => Err(Refusal::not_run(RefusalReason::KeyRefused)),
        }
    }
}

/// Rate.
impl Host {
    fn acquire_rate(&mut self, request: RequestId, customer: &CustomerId) {
        let Some(active) = self.requests.get(&request) else { return };
        let until = (self.now + active.profile.admission_wait()).min(active.deadline_at);
        let waiter = Waiter { request, until };
        let context = Self::limit_context(&self.identity, &self.configuration, self.now);
        let (leases, timers, out) = (&mut self.leases, &mut self.timers, &mut self.out);
        match self.limits.acquire(&context, leases, customer, waiter, timers, out) {
            Admission::Admitted => self.after_rate(request),
            Admission::Waiting => self.timers.arm(until, Timer::AdmissionWait(request)),
            Admission::Full => self.refuse_rate(request, true),
        }
    }

    pub(super) fn on_settled(&mut self, settled: Settled) {
        for request in settled.admitted {
            self.after_rate(request);
        }
    }

    pub(super) fn on_draw_timer(&mut self, customer: &CustomerId) {
        let context = Self::limit_context(&self.identity, &self.configuration, self.now);
        let (leases, timers, out) = (&mut self.leases, &mut self.timers, &mut self.out);
        let settled = self.limits.on_draw_timer(&context, leases, customer, timers, out);
        self.on_settled(settled);
    }

    pub(super) fn on_admission_wait(&mut self, request: RequestId) {
        let Some(active) = self.requests.get(&request) else { return };
        if active.stage != Stage::Rate {
            return;
        }
        let customer = active.customer.clone().unwrap_or_default();
        let answered = self.limits.abandon(&customer, request);
        self.refuse_rate(request, answered);
    }

    fn refuse_rate(&mut self, request: RequestId, answered: bool) {
        let reason =
            if answered { RefusalReason::RateExceeded } else { RefusalReason::RateUnavailable };
        let refusal = Refusal::not_run(reason).retry_after(RETRY_AFTER_STALE);
        self.refuse(request, refusal);
    }

    /// Gives back the token of a request that does not run.
    pub(super) fn refund_rate(&mut self, request: RequestId) {
        let customer = self.requests.get(&request).and_then(|active| active.customer.clone());
        if let Some(customer) = customer {
            self.limits.refund(&customer, self.now);
        }
    }

    fn after_rate(&mut self, request: RequestId) {
        let Some(active) = self.requests.get(&request) else { return };
        let keyed = active.head.idempotency_key.is_some() && active.customer.is_some();
        if keyed && !active.idempotent {
            self.begin_claim(request);
        } else {
            self.enqueue(request);
        }
    }
}

/// Queue.
impl Host {
    /// Lets a request go out when its customer's turn at the service has come.
    pub(super) fn enqueue(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        if self.now >= active.deadline_at {
            self.refund_rate(request);
            self.refuse(request, Refusal::not_run(RefusalReason::Overloaded));
            return;
        }
        active.stage = Stage::Queue;
        let service = active.service.clone();
        let customer = active.customer.clone().unwrap_or_default();
        let deadline_at = active.deadline_at;
        let rate = self.configuration.declaration.customer(&customer);
        let weight = rate.map_or(1.0, |customer| f64::from(customer.rate_per_second));
        let offer = self.queue(&service).offer(&customer, weight, request, deadline_at);
        match offer {
            Offer::Start => self.start(request),
            Offer::Waiting => {}
            Offer::Full => {
                self.refund_rate(request);
                self.refuse(request, Refusal::not_run(RefusalReason::Overloaded));
            }
        }
    }

    fn queue(&mut self, service: &ServiceId) -> &mut FairQueue {
        if !self.queues.contains_key(service) {
            let limits = self.queue_limits(service);
            self.queues.insert(service.clone(), FairQueue::new(limits));
        }
        let limits = QueueLimits { in_flight_min: 1, in_flight_max: 1, waiting_per_customer: 1 };
        self.queues.entry(service.clone()).or_insert_with(|| FairQueue::new(limits))
    }

    fn queue_limits(&self, service: &str) -> QueueLimits {
        let declaration = &self.configuration.declaration;
        let slots = declaration.service(service).map_or(1, |service| {
            let instances = u32::try_from(service.instances.len()).unwrap_or(u32::MAX);
            service.slots.saturating_mul(instances).max(1)
        });
        let hosts = u32::try_from(declaration.hosts().len()).unwrap_or(u32::MAX).max(1);
        QueueLimits {
            in_flight_min: (slots / hosts / 2).max(1),
            in_flight_max: slots.saturating_mul(2),
            waiting_per_customer: WAITING_PER_CUSTOMER,
        }
    }

    /// Brings the queues' bounds up to date after a change of the configuration.
    pub(super) fn refresh_queues(&mut self) {
        for service in self.queues.keys().cloned().collect::<Vec<_>>() {
            let limits = self.queue_limits(&service);
            self.queue(&service).set_limits(limits);
        }
    }

    /// Starts the requests whose turn has come.
    fn pump(&mut self, service: &ServiceId) {
        loop {
            let service_time = self.health.view(service).median();
            let now = self.now;
            let (next, late) = self.queue(service).next(now, service_time);
            for request in late {
                self.refund_rate(request);
                self.refuse(request, Refusal::not_run(RefusalReason::Overloaded));
            }
            match next {
                Some(request) => self.start(request),
                None => return,
            }
        }
    }

    fn start(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.stage = Stage::Running;
        active.in_flight = true;
        let (service, percent) = (active.service.clone(), active.profile.retry_budget_percent);
        self.health.view(&service).earn_retry(percent);
        if !self.launch(request) {
            self.refund_rate(request);
            self.refuse(request, Refusal::not_run(RefusalReason::NoInstance));
        }
    }
}

/// Attempts.
impl Host {
    /// Starts one more attempt on an instance that was not tried yet.
    fn launch(&mut self, request: RequestId) -> bool {
        let Some(active) = self.requests.get(&request) else { return false };
        let Some(choice) = self.choose(&active.service.clone(), &active.tried.clone()) else {
            return false;
        };
        let id = self.next_attempt;
        self.next_attempt += 1;
        let Some(active) = self.requests.get_mut(&request) else { return false };
        let service = active.service.clone();
        let view = self.health.view(&service);
        let tail_at = self.now + view.tail();
        view.instance(&choice.instance).in_flight += 1;
        active.attempts.push(Attempt {
            id,
            instance: choice.instance.clone(),
            address: choice.address,
            tail_at,
            counted_slow: false,
        });
        active.tried.push(choice.instance.clone());
        active.attempts_made += 1;
        self.attempts.insert(id, request);
        self.timers.arm(tail_at, Timer::Tail(id));
        self.out.push(Effect::Forward {
            request,
            attempt: id,
            service,
            instance: choice.instance,
            address: choice.address,
            fresh_connection: !active.idempotent,
            timeout: active.deadline_at.saturating_sub(self.now),
        });
        true
    }

    fn choose(&mut self, service: &str, tried: &[InstanceId]) -> Option<Choice> {
        let declared = self.configuration.declaration.service(service)?;
        let me = self.identity.host;
        let view = self.health.view(service);
        view.choose(declared, me, tried, self.now, &mut self.random)
    }

    pub(super) fn on_attempt(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        let Some(request) = self.attempts.remove(&id) else { return };
        let Some(active) = self.requests.get_mut(&request) else { return };
        let Some(position) = active.attempts.iter().position(|attempt| attempt.id == id) else {
            return;
        };
        let attempt = active.attempts.swap_remove(position);
        self.timers.disarm(attempt.tail_at, Timer::Tail(id));
        let service = active.service.clone();
        self.observe(&service, &attempt, &outcome);
        match outcome {
            AttemptOutcome::Answered { status, shed, stored, .. } => {
                self.on_answer(request, id, status, shed, stored);
            }
            AttemptOutcome::Failed { kind, sent } => self.on_failure(request, &attempt, kind, sent),
        }
    }

    fn observe(&mut self, service: &str, attempt: &Attempt, outcome: &AttemptOutcome) {
        let sample = match outcome {
            AttemptOutcome::Answered { shed: true, .. } => Sample::Shed,
            AttemptOutcome::Answered { status, .. } if *status >= FAULT_STATUS => Sample::Failed,
            AttemptOutcome::Answered { latency, .. } if attempt.counted_slow => {
                Sample::GoodLate(*latency)
            }
            AttemptOutcome::Answered { latency, .. } => Sample::Good(*latency),
            AttemptOutcome::Failed { .. } => Sample::Failed,
        };
        let view = self.health.view(service).instance(&attempt.instance);
        view.in_flight = view.in_flight.saturating_sub(1);
        self.health.observe(service, &attempt.instance, sample, self.now);
        if matches!(sample, Sample::Shed) {
            let now = self.now;
            self.queue(&service.to_owned()).note_shed(now);
        }
    }

    fn on_answer(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        status: u16,
        shed: bool,
        stored: Option<StoredAnswer>,
    ) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.sent = true;
        if active.stage == Stage::Delivering {
            return;
        }
        let fault = shed || status >= FAULT_STATUS;
        if fault && active.idempotent && self.try_again(request) {
            return;
        }
        let Some(active) = self.requests.get_mut(&request) else { return };
        if fault && !active.attempts.is_empty() {
            return;
        }
        if !fault {
            let service = active.service.clone();
            self.queue(&service).note_good();
        }
        self.deliver(request, attempt, shed, stored);
    }

    /// Gives an answer to the caller. A request that was shed has not run, so its key is free again.
    fn deliver(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        shed: bool,
        stored: Option<StoredAnswer>,
    ) {
        self.cancel_attempts(request);
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.stage = Stage::Delivering;
        if active.claimed && shed {
            self.release_claim(request);
        } else if active.claimed {
            let context = self.claim_context(0);
            self.claims.finish(&context, request, stored, &mut self.out);
        }
        self.leave_queue(request);
        let gone = self.requests.get(&request).is_some_and(|active| active.caller_gone);
        if gone {
            self.out.push(Effect::CancelAttempt { attempt });
            self.finish_request(request);
        } else {
            self.out.push(Effect::Deliver { request, attempt });
        }
    }

    fn on_failure(&mut self, request: RequestId, attempt: &Attempt, kind: FailureKind, sent: bool) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.sent |= sent;
        if active.stage == Stage::Delivering {
            return;
        }
        if kind == FailureKind::Timeout {
            self.out.push(Effect::DropConnections { address: attempt.address });
        }
        let (idempotent, untouched) = (active.idempotent, !active.sent);
        let repeated = match (untouched, idempotent) {
            (true, _) => self.may_try_again(request) && self.launch(request),
            (false, true) => self.try_again(request),
            (false, false) => false,
        };
        if repeated {
            return;
        }
        let Some(active) = self.requests.get(&request) else { return };
        if !active.attempts.is_empty() {
            return;
        }
        let reason = match kind {
            FailureKind::Timeout => RefusalReason::DeadlineExceeded,
            FailureKind::Connect if !active.sent => RefusalReason::NoInstance,
            FailureKind::Connect | FailureKind::Broken | FailureKind::Malformed => {
                RefusalReason::UpstreamFailed
            }
        };
        self.refuse_after_attempts(request, reason);
    }

    /// Starts another attempt when the profile, the budget and the deadline allow it.
    fn try_again(&mut self, request: RequestId) -> bool {
        if !self.may_try_again(request) {
            return false;
        }
        let Some(active) = self.requests.get(&request) else { return false };
        let service = active.service.clone();
        self.health.view(&service).spend_retry() && self.launch(request)
    }

    /// Returns whether the profile and the deadline allow another attempt. An attempt that sent
    /// nothing cost the service nothing, so its repeat needs no budget.
    fn may_try_again(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_some_and(|active| {
            active.attempts_made < active.profile.attempts
                && !active.caller_gone
                && self.now < active.deadline_at
        })
    }

    /// Counts an attempt that exceeds the usual tail, and starts a hedge.
    pub(super) fn on_tail(&mut self, id: AttemptId) {
        let Some(request) = self.attempts.get(&id).copied() else { return };
        let Some(active) = self.requests.get_mut(&request) else { return };
        let Some(attempt) = active.attempts.iter_mut().find(|attempt| attempt.id == id) else {
            return;
        };
        attempt.counted_slow = true;
        let instance = attempt.instance.clone();
        let (service, hedge) = (active.service.clone(), active.profile.hedge && active.idempotent);
        self.health.observe(&service, &instance, Sample::Slow, self.now);
        if hedge {
            self.try_again(request);
        }
    }
}

/// Ending.
impl Host {
    pub(super) fn on_deadline(&mut self, request: RequestId) {
        let Some(active) = self.requests.get(&request) else { return };
        match active.stage {
            Stage::Delivering => {}
            Stage::Rate => self.on_admission_wait(request),
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
            Stage::Rate => {
                let customer = active.customer.clone().unwrap_or_default();
                self.limits.abandon(&customer, request);
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

    /// Refuses a request whose attempts came to nothing; it may have run if a byte went out.
    fn refuse_after_attempts(&mut self, request: RequestId, reason: RefusalReason) {
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
        let gone = self.requests.get(&request).is_some_and(|active| active.caller_gone);
        self.finish_request(request);
        if !gone {
            self.out.push(Effect::Refuse { request, refusal });
        }
    }

    /// Forgets a request and everything that it occupies.
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
            self.wake_soon();
        }
    }

    fn leave_queue(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        let service = active.service.clone();
        if active.in_flight {
            active.in_flight = false;
            self.queue(&service).finish();
            self.pump(&service);
        } else if active.stage == Stage::Queue {
            let customer = active.customer.clone().unwrap_or_default();
            self.queue(&service).abandon(&customer, request);
        }
    }

    fn cancel_attempts(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        let service = active.service.clone();
        for attempt in std::mem::take(&mut active.attempts) {
            self.attempts.remove(&attempt.id);
            self.timers.disarm(attempt.tail_at, Timer::Tail(attempt.id));
            let view = self.health.view(&service).instance(&attempt.instance);
            view.in_flight = view.in_flight.saturating_sub(1);
            self.out.push(Effect::CancelAttempt { attempt: attempt.id });
            if attempt.counted_slow {
                self.out.push(Effect::DropConnections { address: attempt.address });
            }
        }
    }
}

/// Returns whether a method is idempotent by RFC 9110.
fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE")
}
