//! What comes of attempts: answers, repeats and hedges.

use std::time::Duration;

use ebonytack_core::{AttemptId, RefusalReason, RequestId};

use super::Gateway;
use super::placing::Exploration;
use super::requests::millis;
use super::state::InstanceView;
use crate::request::Attempt;
use crate::{AttemptResult, Effect, Record, UpstreamResponse};

/// The status from which an answer counts as the instance's failure.
const FAILURE_STATUS: u16 = 500;
/// Statuses that promise a caller that its request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// The weight of a new observation in the estimate of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// The bounds of an observation of the service time, relative to the estimate.
const SERVICE_TIME_RATIO_MAX: f64 = 4.0;
/// What an overdue attempt counts for, in failures.
const OVERDUE_FAILURES: f64 = 0.5;
/// What another instance at the address counts for, in failures: enough that other hosts do not
/// have to find out by themselves.
const MISDIRECTED_FAILURES: f64 = 4.0;
/// The most sends of one request, those included that no instance ran.
const SENDS_MAX: u32 = 4;
/// The least time in which another attempt can succeed.
const REPEAT_TIME_MIN: Duration = Duration::from_millis(60);
/// The wait that callers are asked for after all instances that were tried turned them away.
const RETRY_AFTER_SHED: Duration = Duration::from_millis(150);

impl Gateway {
    pub(super) fn on_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(request) = self.attempts.remove(&id) else {
            self.effects.push(Effect::Discard { attempt: id });
            return;
        };
        let Some(attempt) = self.take_attempt(request, id) else { return };
        self.observe(request, &attempt, &result);
        match result {
            AttemptResult::Responded(answer) => self.on_answer(request, &attempt, answer),
            AttemptResult::Rejected { wrong_instance, .. } => {
                let kind = if wrong_instance { "wrong-instance" } else { "turned-away" };
                self.undo_run(request);
                self.record_failure(request, &attempt, kind, false);
                self.repeat_or_refuse(request, RefusalReason::Overloaded, true);
            }
            AttemptResult::Failed { sent: false, kind } => {
                self.undo_run(request);
                self.record_failure(request, &attempt, kind, false);
                self.repeat_or_refuse(request, RefusalReason::NoInstance, false);
            }
            AttemptResult::Failed { sent: true, kind } => {
                self.note_may_have_run(request);
                self.record_failure(request, &attempt, kind, true);
                self.repeat_or_refuse(request, RefusalReason::UpstreamFailed, true);
            }
        }
        self.forget_if_done(request);
        self.note_change();
    }

    fn take_attempt(&mut self, request: RequestId, id: AttemptId) -> Option<Attempt> {
        let active = self.requests.get_mut(&request)?;
        let position = active.attempts.iter().position(|attempt| attempt.id == id)?;
        let attempt = active.attempts.swap_remove(position);
        if let Some(view) = self.instances.get_mut(&attempt.instance) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
        Some(attempt)
    }

    /// Takes note of what an attempt shows about its instance and its service.
    fn observe(&mut self, request: RequestId, attempt: &Attempt, result: &AttemptResult) {
        let now = self.now;
        let Some(view) = self.instances.get_mut(&attempt.instance) else { return };
        let counted = if attempt.overdue { OVERDUE_FAILURES } else { 0.0 };
        match result {
            AttemptResult::Responded(answer) => {
                view.stated_load = answer.load.map(|load| (load, now));
                view.connected_at = Some(now);
                let failed = !answer.signed || answer.status >= FAILURE_STATUS;
                let weight = 1.0 - counted;
                view.note_attempts(weight, if failed { weight } else { 0.0 }, now);
                self.report_urgent |= failed;
                if !failed && !attempt.overdue {
                    self.learn_service_time(request, attempt, answer.latency);
                }
            }
            AttemptResult::Rejected { wrong_instance: true, .. } => {
                view.misdirected = true;
                view.note_attempts(MISDIRECTED_FAILURES, MISDIRECTED_FAILURES, now);
                self.report_urgent = true;
            }
            AttemptResult::Rejected { load, .. } => {
                view.stated_load = load.map(|load| (load, now));
                view.full_at = Some(now);
            }
            AttemptResult::Failed { .. } => {
                view.note_attempts(1.0 - counted, 1.0 - counted, now);
                view.connected_at = None;
                self.report_urgent = true;
            }
        }
    }

    fn learn_service_time(&mut self, request: RequestId, attempt: &Attempt, latency: Duration) {
        let Some(active) = self.requests.get(&request) else { return };
        let service = active.service.clone();
        let view = self.service(&service);
        let sample = latency.as_secs_f64() / attempt.load.max(1.0);
        let bounded = sample.min(view.service_time_s * SERVICE_TIME_RATIO_MAX);
        view.service_time_s += (bounded - view.service_time_s) * SERVICE_TIME_WEIGHT;
    }

    fn on_answer(&mut self, request: RequestId, attempt: &Attempt, answer: UpstreamResponse) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.may_have_run = true;
        if active.answered {
            self.effects.push(Effect::Discard { attempt: attempt.id });
            return;
        }
        if answer.signed && answer.status < FAILURE_STATUS && !promises_not_run(answer.status) {
            self.deliver(request, attempt, answer.status);
            return;
        }
        let kind = if answer.signed { "status" } else { "unsigned" };
        self.record_failure(request, attempt, &format!("{kind} {}", answer.status), true);
        if self.try_again(request, true) || self.has_attempts(request) {
            self.effects.push(Effect::Discard { attempt: attempt.id });
        } else if answer.signed && !promises_not_run(answer.status) {
            self.deliver(request, attempt, answer.status);
        } else {
            self.effects.push(Effect::Discard { attempt: attempt.id });
            let input = format!("{kind} answer with status {}", answer.status);
            self.refuse(request, RefusalReason::UpstreamFailed, None, input);
        }
    }

    fn deliver(&mut self, request: RequestId, attempt: &Attempt, status: u16) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.answered = true;
        let record = Record::Delivered {
            request: active.caller_request_id.clone(),
            instance: attempt.instance.clone(),
            status,
            after_ms: millis(self.now.saturating_sub(active.arrived_at)),
        };
        self.record(record);
        self.effects.push(Effect::Deliver { request, attempt: attempt.id });
        self.cancel_attempts(request);
    }

    /// Starts another attempt, waits for one that is under way, or gives the request up.
    fn repeat_or_refuse(&mut self, request: RequestId, reason: RefusalReason, costs: bool) {
        if self.requests.get(&request).is_none_or(|active| active.answered) {
            return;
        }
        if self.try_again(request, costs) || self.has_attempts(request) {
            return;
        }
        let wait = self.spread(RETRY_AFTER_SHED);
        let sends = self.requests.get(&request).map_or(0, |active| active.sends);
        let input = format!("{sends} sends, none left");
        self.refuse(request, reason, Some(wait), input);
    }

    fn has_attempts(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_some_and(|active| !active.attempts.is_empty())
    }

    /// Starts another attempt when the request may run again, there is time, and the service's
    /// allowance of repeats covers it. A send that reached no instance costs the service nothing.
    fn try_again(&mut self, request: RequestId, costs: bool) -> bool {
        let Some(active) = self.requests.get(&request) else { return false };
        let may_run = active.idempotent || !(active.may_have_run || self.has_attempts(request));
        let allowed = may_run
            && !active.caller_gone
            && active.runs < active.attempts_max
            && active.sends < SENDS_MAX
            && active.expires_at.saturating_sub(self.now) > REPEAT_TIME_MIN;
        if !allowed {
            return false;
        }
        let service = active.service.clone();
        let Some(chosen) = self.choose(request, Exploration::Never) else { return false };
        if costs && !self.spend_repeat(&service) {
            return false;
        }
        self.launch(request, chosen);
        true
    }

    /// Counts an attempt that takes much longer than expected, and starts another beside it when
    /// the request may run more than once.
    pub(super) fn on_overdue(&mut self, id: AttemptId) {
        let Some(request) = self.attempts.get(&id).copied() else { return };
        let now = self.now;
        let Some(active) = self.requests.get_mut(&request) else { return };
        let (answered, idempotent) = (active.answered, active.idempotent);
        let Some(attempt) = active.attempts.iter_mut().find(|attempt| attempt.id == id) else {
            return;
        };
        attempt.overdue = true;
        let instance = attempt.instance.clone();
        let after_ms = millis(now.saturating_sub(attempt.started_at));
        let caller_request_id = active.caller_request_id.clone();
        if let Some(view) = self.instances.get_mut(&instance) {
            view.note_attempts(OVERDUE_FAILURES, OVERDUE_FAILURES, now);
            self.report_urgent = true;
        }
        let hedged = !answered && idempotent && self.try_again(request, true);
        self.record(Record::Overdue { request: caller_request_id, instance, after_ms, hedged });
        self.note_change();
    }

    /// Stops the attempts of a request. Those that may run once only are left to end by
    /// themselves, so that their instances are not cut off in the middle of their work.
    pub(super) fn cancel_attempts(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        if !active.idempotent {
            return;
        }
        for attempt in std::mem::take(&mut active.attempts) {
            self.attempts.remove(&attempt.id);
            if let Some(view) = self.instances.get_mut(&attempt.instance) {
                view.in_flight = view.in_flight.saturating_sub(1);
            }
            self.effects.push(Effect::Cancel { attempt: attempt.id });
        }
        self.note_change();
    }

    fn undo_run(&mut self, request: RequestId) {
        if let Some(active) = self.requests.get_mut(&request) {
            active.runs = active.runs.saturating_sub(1);
        }
    }

    fn note_may_have_run(&mut self, request: RequestId) {
        if let Some(active) = self.requests.get_mut(&request) {
            active.may_have_run = true;
        }
    }

    fn record_failure(
        &mut self,
        request: RequestId,
        attempt: &Attempt,
        kind: &str,
        may_have_run: bool,
    ) {
        let Some(active) = self.requests.get(&request) else { return };
        let record = Record::AttemptFailed {
            request: active.caller_request_id.clone(),
            instance: attempt.instance.clone(),
            kind: kind.to_owned(),
            may_have_run,
            after_ms: millis(self.now.saturating_sub(attempt.started_at)),
        };
        self.record(record);
    }
}

impl InstanceView {
    fn note_attempts(&mut self, attempts: f64, failures: f64, now: Duration) {
        self.evidence.add(attempts, failures, now);
        self.lasting_evidence.add(attempts, failures, now);
    }
}

fn promises_not_run(status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}
