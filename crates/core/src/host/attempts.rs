//! Attempts of a request: launch, outcome, retry and hedge.

use super::Host;
use crate::attempt::{Attempt, AttemptOutcome, FailureKind, Stage};
use crate::health::{Choice, Sample};
use crate::{AttemptId, Effect, InstanceId, RefusalReason, RequestId, StoredAnswer, Timer};

/// The status from which an answer counts as the upstream's fault.
const FAULT_STATUS: u16 = 500;

/// Attempts.
impl Host {
    /// Starts one more attempt on an instance that was not tried yet.
    pub(super) fn launch(&mut self, request: RequestId) -> bool {
        let Some(active) = self.requests.get(&request) else { return false };
        let Some(choice) = self.choose(&active.service.clone(), &active.tried.clone()) else {
            return false;
        };
        let id = self.next_attempt;
        self.next_attempt += 1;
        let Some(active) = self.requests.get_mut(&request) else { return false };
        let service = active.service.clone();
        let view = self.health.view(&service);
        let tail_at = self.now + view.slow_threshold();
        view.instance(&choice.instance).in_flight += 1;
        active.attempts.push(Attempt {
            id,
            instance: choice.instance.clone(),
            address: choice.address,
            slow_at: tail_at,
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
        self.timers.disarm(attempt.slow_at, Timer::Tail(id));
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
            self.queue(&service.to_owned()).record_shed(now);
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
            self.queue(&service).record_success();
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
        self.health.view(&service).try_spend_retry() && self.launch(request)
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
