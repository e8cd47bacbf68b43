//! Attempts of a request: start, outcome, retry and hedge.

use super::Host;
use crate::attempt::{Attempt, AttemptOutcome, FailureKind, Stage};
use crate::health::{Choice, Sample};
use crate::{AttemptId, Effect, InstanceId, RefusalReason, RequestId, StoredResponse, Timer};

/// The lowest response status that counts as a failure of the upstream.
const SERVER_ERROR_MIN: u16 = 500;

impl Host {
    /// Starts an attempt on an instance that was not tried yet; returns `false` when there is none.
    pub(super) fn start_attempt(&mut self, request: RequestId) -> bool {
        let Some(active) = self.requests.get(&request) else { return false };
        let Some(choice) = self.choose_instance(&active.service.clone(), &active.tried.clone())
        else {
            return false;
        };
        let id = self.next_attempt;
        self.next_attempt += 1;
        let Some(active) = self.requests.get_mut(&request) else { return false };
        let service = active.service.clone();
        let view = self.health.view(&service);
        let slow_at = self.now + view.slow_threshold();
        view.instance(&choice.instance).in_flight += 1;
        active.attempts.push(Attempt {
            id,
            instance: choice.instance.clone(),
            address: choice.address,
            slow_at,
            counted_slow: false,
        });
        active.tried.push(choice.instance.clone());
        active.attempts_made += 1;
        self.attempts.insert(id, request);
        self.timers.arm(slow_at, Timer::SlowAttempt(id));
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

    fn choose_instance(&mut self, service: &str, tried: &[InstanceId]) -> Option<Choice> {
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
        self.timers.disarm(attempt.slow_at, Timer::SlowAttempt(id));
        let service = active.service.clone();
        self.record_outcome(&service, &attempt, &outcome);
        match outcome {
            AttemptOutcome::Answered { status, shed, stored, .. } => {
                self.on_response(request, id, status, shed, stored);
            }
            AttemptOutcome::Failed { kind, sent } => self.on_failure(request, &attempt, kind, sent),
        }
    }

    fn record_outcome(&mut self, service: &str, attempt: &Attempt, outcome: &AttemptOutcome) {
        let sample = match outcome {
            AttemptOutcome::Answered { shed: true, .. } => Sample::Shed,
            AttemptOutcome::Answered { status, .. } if *status >= SERVER_ERROR_MIN => {
                Sample::Failed
            }
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
            self.queue(&service.to_owned()).record_shed(now);
        }
    }

    fn on_response(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        status: u16,
        shed: bool,
        stored: Option<StoredResponse>,
    ) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.sent = true;
        if active.stage == Stage::Delivering {
            return;
        }
        let failed = shed || status >= SERVER_ERROR_MIN;
        if failed && active.idempotent && self.retry(request) {
            return;
        }
        let Some(active) = self.requests.get_mut(&request) else { return };
        if failed && !active.attempts.is_empty() {
            return;
        }
        if !failed {
            let service = active.service.clone();
            self.queue(&service).record_success();
        }
        self.deliver(request, attempt, shed, stored);
    }

    /// Sends a response to the caller. A shed request has not run, so its idempotency-key claim is
    /// released.
    fn deliver(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        shed: bool,
        stored: Option<StoredResponse>,
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
        let caller_gone = self.requests.get(&request).is_some_and(|active| active.caller_gone);
        if caller_gone {
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
        let (idempotent, unsent) = (active.idempotent, !active.sent);
        let retried = match (unsent, idempotent) {
            (true, _) => self.may_retry(request) && self.start_attempt(request),
            (false, true) => self.retry(request),
            (false, false) => false,
        };
        if retried {
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

    /// Starts another attempt when the profile, the retry budget and the deadline allow it.
    fn retry(&mut self, request: RequestId) -> bool {
        if !self.may_retry(request) {
            return false;
        }
        let Some(active) = self.requests.get(&request) else { return false };
        let service = active.service.clone();
        self.health.view(&service).try_spend_retry() && self.start_attempt(request)
    }

    /// Returns whether the profile and the deadline allow another attempt. The retry budget is not
    /// checked: a retry after an attempt that sent nothing adds no load and needs no budget.
    fn may_retry(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_some_and(|active| {
            active.attempts_made < active.profile.attempts
                && !active.caller_gone
                && self.now < active.deadline_at
        })
    }

    /// Counts an attempt that has become slow, and starts a hedge when the profile allows it.
    pub(super) fn on_slow_attempt(&mut self, id: AttemptId) {
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
            self.retry(request);
        }
    }
}
