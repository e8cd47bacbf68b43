//! Processes the results of attempts, and starts retries and hedged attempts.

use std::time::Duration;

use ebonytack_core::{AttemptId, InstanceId, RefusalReason, RequestId};

use super::Gateway;
use super::placement::Exploration;
use super::requests::millis;
use super::state::InstanceView;
use crate::request::Attempt;
use crate::shortage::RetryCause;
use crate::{AttemptResult, Effect, InstanceNotice, Record, UpstreamResponse};

/// Lowest status code that counts as a failure of the instance.
const FAILURE_STATUS: u16 = 500;
/// Status codes from which callers conclude that their request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Number of failures counted for an overdue attempt.
const OVERDUE_FAILURES: f64 = 0.5;
/// Number of failures counted when another instance listens at the address: enough for other hosts
/// to avoid the address without trying it.
const WRONG_INSTANCE_FAILURES: f64 = 4.0;
/// Maximum number of attempts of one request, including those that no instance ran.
const SENDS_MAX: u32 = 4;
/// Minimum time until the deadline with which a retry is started.
const RETRY_TIME_MIN: Duration = Duration::from_millis(60);
/// Retry delay for callers whose failed request the host cannot retry, before jitter.
const RETRY_AFTER_REJECTION: Duration = Duration::from_millis(150);

impl Gateway {
    pub(super) fn on_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(request) = self.attempts.remove(&id) else {
            self.effects.push(Effect::Discard { attempt: id });
            return;
        };
        let Some(attempt) = self.take_attempt(request, id) else { return };
        self.update_stats(request, &attempt, &result);
        match result {
            AttemptResult::Responded(response) => self.on_response(request, &attempt, response),
            AttemptResult::Rejected { wrong_instance, .. } => {
                let kind = if wrong_instance { "wrong-instance" } else { "turned-away" };
                self.undo_run(request);
                self.record_failure(request, &attempt, kind, false);
                self.retry_or_refuse(
                    request,
                    RefusalReason::Overloaded,
                    Some(RetryCause::Rejected),
                );
            }
            AttemptResult::Failed { sent: false, kind } => {
                self.undo_run(request);
                self.record_failure(request, &attempt, kind, false);
                self.retry_or_refuse(request, RefusalReason::NoInstance, None);
            }
            AttemptResult::Failed { sent: true, kind } => {
                self.mark_may_have_run(request);
                self.record_failure(request, &attempt, kind, true);
                self.retry_or_refuse(
                    request,
                    RefusalReason::UpstreamFailed,
                    Some(RetryCause::Failed),
                );
            }
        }
        self.remove_if_finished(request);
        self.schedule_group_report();
    }

    /// Takes into account what a response says of its instance.
    pub(super) fn on_notice(&mut self, id: AttemptId, notice: InstanceNotice) {
        let request = self.attempts.get(&id).and_then(|request| self.requests.get(request));
        let attempts = request.map(|request| request.attempts.as_slice()).unwrap_or_default();
        let Some(attempt) = attempts.iter().find(|attempt| attempt.id == id) else { return };
        let instance = attempt.instance.clone();
        let Some(process) = self.processes.get_mut(&instance) else { return };
        let before = process.availability();
        process.notice(notice, attempt.process_started_at_unix_ms, self.now);
        let availability = process.availability();
        if availability == before {
            return;
        }
        if let Some(view) = self.instances.get_mut(&instance) {
            view.availability = availability;
        }
        if availability.leaving != before.leaving {
            self.record_instance(&instance);
        }
        if availability.paused_until > before.paused_until {
            let for_ms = millis(availability.paused_until.saturating_sub(self.now));
            self.record(Record::InstancePaused { instance, for_ms });
        }
    }

    fn take_attempt(&mut self, request: RequestId, id: AttemptId) -> Option<Attempt> {
        let active = self.requests.get_mut(&request)?;
        let position = active.attempts.iter().position(|attempt| attempt.id == id)?;
        let attempt = active.attempts.swap_remove(position);
        if let Some(view) = self.instances.get_mut(&attempt.instance) {
            view.remove_in_flight(self.now);
        }
        Some(attempt)
    }

    /// Updates the instance's counts and the service's average duration from a result.
    fn update_stats(&mut self, request: RequestId, attempt: &Attempt, result: &AttemptResult) {
        let now = self.now;
        let Some(view) = self.instances.get_mut(&attempt.instance) else { return };
        let already_counted = if attempt.overdue { OVERDUE_FAILURES } else { 0.0 };
        let (attempts, failures) = match result {
            AttemptResult::Responded(response) => {
                view.reported_load = response.load.map(|load| (load, now));
                view.pooled_connection_at = Some(now);
                let failed = !response.signed || response.status >= FAILURE_STATUS;
                let weight = 1.0 - already_counted;
                (weight, if failed { weight } else { 0.0 })
            }
            AttemptResult::Rejected { wrong_instance: true, .. } => {
                view.wrong_instance_at = Some(now);
                (WRONG_INSTANCE_FAILURES, WRONG_INSTANCE_FAILURES)
            }
            AttemptResult::Rejected { load, .. } => {
                view.reported_load = load.map(|load| (load, now));
                view.rejected_at = Some(now);
                return;
            }
            AttemptResult::Failed { .. } => {
                view.pooled_connection_at = None;
                (1.0 - already_counted, 1.0 - already_counted)
            }
        };
        self.count_attempts(&attempt.instance, attempts, failures);
        if let AttemptResult::Responded(response) = result
            && failures == 0.0
            && !attempt.overdue
        {
            self.update_service_time(request, attempt, response.latency);
        }
    }

    /// Adds attempts to the counts of an instance; new failures are reported early.
    fn count_attempts(&mut self, instance: &InstanceId, attempts: f64, failures: f64) {
        let Some(view) = self.instances.get_mut(instance) else { return };
        view.add_attempts(attempts, failures, self.now);
        self.fleet.add_evidence(view.short_id, attempts, failures);
        self.report_urgent |= failures > 0.0;
    }

    fn update_service_time(&mut self, request: RequestId, attempt: &Attempt, latency: Duration) {
        let Some(active) = self.requests.get(&request) else { return };
        let service = active.service.clone();
        let sample_s = latency.as_secs_f64() / attempt.load.max(1.0);
        let now = self.now;
        self.add_work_sample(request, sample_s);
        self.service(&service).service_time.add_sample(sample_s, now);
    }

    fn on_response(&mut self, request: RequestId, attempt: &Attempt, response: UpstreamResponse) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.may_have_run = true;
        if active.completed {
            self.effects.push(Effect::Discard { attempt: attempt.id });
            return;
        }
        if response.signed && response.status < FAILURE_STATUS && !implies_not_run(response.status)
        {
            self.deliver(request, attempt, response.status);
            return;
        }
        let kind = if response.signed { "status" } else { "unsigned" };
        self.record_failure(request, attempt, &format!("{kind} {}", response.status), true);
        if self.try_retry(request, Some(RetryCause::Failed)) || self.has_active_attempts(request) {
            self.effects.push(Effect::Discard { attempt: attempt.id });
        } else if response.signed && !implies_not_run(response.status) {
            self.deliver(request, attempt, response.status);
        } else {
            self.effects.push(Effect::Discard { attempt: attempt.id });
            let input = format!("{kind} answer with status {}", response.status);
            self.refuse(request, RefusalReason::UpstreamFailed, None, input);
        }
    }

    fn deliver(&mut self, request: RequestId, attempt: &Attempt, status: u16) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.completed = true;
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

    /// Retries the request, waits for an attempt in flight, or refuses the request.
    fn retry_or_refuse(
        &mut self,
        request: RequestId,
        reason: RefusalReason,
        cause: Option<RetryCause>,
    ) {
        if self.requests.get(&request).is_none_or(|active| active.completed) {
            return;
        }
        if self.try_retry(request, cause) || self.has_active_attempts(request) {
            return;
        }
        let delay = match cause {
            Some(RetryCause::Rejected) => self.rejection_delay(request),
            Some(RetryCause::Failed) | None => None,
        };
        let delay = delay.unwrap_or_else(|| self.retry_delay(request, RETRY_AFTER_REJECTION));
        let sends = self.requests.get(&request).map_or(0, |active| active.sends);
        let input = format!("{sends} sends, none left");
        self.refuse(request, reason, Some(delay), input);
    }

    fn has_active_attempts(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_some_and(|active| !active.attempts.is_empty())
    }

    /// Starts another attempt if the request may run again, there is enough time, and the service's
    /// retry budget allows it. `cause` is `None` after an attempt that reached no instance, since the
    /// retry then adds no load and uses no budget.
    fn try_retry(&mut self, request: RequestId, cause: Option<RetryCause>) -> bool {
        let Some(active) = self.requests.get(&request) else { return false };
        let may_run =
            active.idempotent || !(active.may_have_run || self.has_active_attempts(request));
        let allowed = may_run
            && !active.caller_disconnected
            && active.runs < active.attempts_max
            && active.sends < SENDS_MAX
            && active.deadline.saturating_sub(self.now) > RETRY_TIME_MIN;
        if !allowed {
            return false;
        }
        let Some(chosen) = self.choose_instance(request, Exploration::Never) else { return false };
        if let Some(cause) = cause
            && !(self.ends_in_time(request, &chosen) && self.spend_retry(request, cause))
        {
            return false;
        }
        self.start_attempt(request, chosen);
        true
    }

    /// Counts an attempt that takes much longer than expected as a partial failure, and hedges it
    /// with a second attempt if the request is idempotent.
    pub(super) fn on_overdue(&mut self, id: AttemptId) {
        let Some(request) = self.attempts.get(&id).copied() else { return };
        let now = self.now;
        let Some(active) = self.requests.get_mut(&request) else { return };
        let (completed, idempotent) = (active.completed, active.idempotent);
        let Some(attempt) = active.attempts.iter_mut().find(|attempt| attempt.id == id) else {
            return;
        };
        attempt.overdue = true;
        let instance = attempt.instance.clone();
        let after_ms = millis(now.saturating_sub(attempt.started_at));
        let caller_request_id = active.caller_request_id.clone();
        self.count_attempts(&instance, OVERDUE_FAILURES, OVERDUE_FAILURES);
        let hedged = !completed && idempotent && self.try_retry(request, Some(RetryCause::Failed));
        self.record(Record::Overdue { request: caller_request_id, instance, after_ms, hedged });
        self.schedule_group_report();
    }

    /// Cancels the attempts of an idempotent request. Attempts of other requests run to completion,
    /// so that their instances are not interrupted in the middle of their work.
    pub(super) fn cancel_attempts(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        if !active.idempotent {
            return;
        }
        for attempt in std::mem::take(&mut active.attempts) {
            self.attempts.remove(&attempt.id);
            if let Some(view) = self.instances.get_mut(&attempt.instance) {
                view.remove_in_flight(self.now);
            }
            self.effects.push(Effect::Cancel { attempt: attempt.id });
        }
        self.schedule_group_report();
    }

    fn undo_run(&mut self, request: RequestId) {
        if let Some(active) = self.requests.get_mut(&request) {
            active.runs = active.runs.saturating_sub(1);
        }
    }

    fn mark_may_have_run(&mut self, request: RequestId) {
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
    pub(super) fn add_in_flight(&mut self, now: Duration) {
        self.in_flight += 1;
        self.attempt_started_at = now;
        self.changed_at = now;
    }

    fn remove_in_flight(&mut self, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.changed_at = now;
    }

    fn add_attempts(&mut self, attempts: f64, failures: f64, now: Duration) {
        self.changed_at = now;
        self.recent_stats.add(attempts, failures, now);
        self.long_term_stats.add(attempts, failures, now);
        self.own_evidence.add(attempts - failures, failures);
        if failures > 0.0 {
            self.failed_at = Some(now);
        }
    }
}

fn implies_not_run(status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}
