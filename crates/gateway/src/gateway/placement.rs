//! Chooses instances and starts attempts on them.

use std::time::Duration;

use ebonytack_core::{AttemptId, InstanceId, RefusalReason, RequestId};

use super::Gateway;
use super::candidates::EligibleInstance;
use super::requests::millis;
use super::state::{InstanceView, TimerEvent};
use crate::balance::{AdmissionLimit, Candidate, Placement, PlacementRequest};
use crate::request::Attempt;
use crate::{Effect, InstanceState, Record};

/// Time for which a load reported by an instance is taken into account.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(200);
/// Time for which an instance is not used after another one has responded at its address, unless its
/// entry changes. The entry of an instance that has ended is removed earlier; if it is still there, the
/// response may have been false.
const WRONG_INSTANCE_TTL: Duration = Duration::from_secs(5);
/// An attempt is overdue after this multiple of its estimate, but not before `OVERDUE_MIN`.
const OVERDUE_FACTOR: f64 = 3.0;
const OVERDUE_MIN: Duration = Duration::from_millis(600);
/// Bounds of the retry delay for callers of an overloaded service, before jitter.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);
/// Retry delay for callers when no instance is available, before jitter.
const RETRY_AFTER_NO_INSTANCE: Duration = Duration::from_millis(500);
/// Failure probability above which the log marks an instance as avoided. The mark is removed
/// when the probability falls to half of this value.
const AVOIDED_PROBABILITY: f64 = 0.2;

/// Rate at which all hosts together try an instance without recent attempts, per second. With a
/// quarter of the requests retryable, almost every such instance is tried within two seconds.
const EXPLORATIONS_PER_SECOND: f64 = 5.0;

/// Whether a request may be used to try an instance without recent attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Exploration {
    /// With a probability that follows from the request rate.
    Sometimes,
    /// Never; used for retries, which may be the last attempt.
    Never,
}

/// The instance chosen for an attempt, with the values behind the choice.
pub(super) struct ChosenInstance {
    id: InstanceId,
    candidate: Candidate,
    pub(super) estimate_s: f64,
    /// Requests in flight from all hosts per slot of all eligible instances.
    pub(super) load: f64,
}

impl Gateway {
    /// Starts the first attempt of a request, or refuses it if no instance is available or the
    /// response would probably be late.
    pub(super) fn place(&mut self, request: RequestId) {
        let Some(chosen) = self.choose_instance(request, Exploration::Sometimes) else {
            let delay = self.retry_delay(request, RETRY_AFTER_NO_INSTANCE);
            let input = self.no_instance_input(request).to_owned();
            self.refuse(request, RefusalReason::NoInstance, Some(delay), input);
            return;
        };
        if let Some(shed) = self.shed(request, &chosen) {
            self.refuse(request, RefusalReason::Overloaded, Some(shed.retry_after), shed.input);
            return;
        }
        let Some(active) = self.requests.get(&request) else { return };
        let time_left = active.deadline.saturating_sub(self.now);
        let limit = AdmissionLimit::new(active.priority, time_left);
        if limit.admits(chosen.estimate_s) {
            self.start_attempt(request, chosen);
            return;
        }
        let excess = Duration::from_secs_f64(chosen.estimate_s - limit.estimate_max_s);
        let delay = self.with_jitter(excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX));
        let input = format!(
            "estimate {:.0} ms, limit {:.0} ms, {:.0} under way on {}",
            chosen.estimate_s * 1e3,
            limit.estimate_max_s * 1e3,
            chosen.candidate.in_flight,
            chosen.id,
        );
        self.refuse(request, RefusalReason::Overloaded, Some(delay), input);
    }

    /// Returns the time after which the caller of a refused request may retry: `delay`, or longer while
    /// all instances of the service that accept requests have asked for a pause.
    pub(super) fn retry_delay(&mut self, request: RequestId, delay: Duration) -> Duration {
        let service = self.requests.get(&request).and_then(|r| self.services.get(&r.service));
        let instances = service.map(|service| service.instances.as_slice()).unwrap_or_default();
        let accepting = instances
            .iter()
            .filter_map(|id| self.instances.get(id))
            .filter(|view| self.is_in_service(view));
        let paused_until = accepting.map(|view| view.availability.paused_until).min();
        let pause = paused_until.unwrap_or_default().saturating_sub(self.now);
        self.with_jitter(delay.max(pause))
    }

    /// Adds up to 50 % of random jitter to a retry delay, so that callers do not all retry at once.
    pub(super) fn with_jitter(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(1.0 + self.random.next_f64() / 2.0)
    }

    /// Chooses an instance that the request has not tried; `None` if there is none.
    pub(super) fn choose_instance(
        &mut self,
        request: RequestId,
        exploration: Exploration,
    ) -> Option<ChosenInstance> {
        let active = self.requests.get(&request)?;
        // The last attempt cannot be retried, even for an idempotent request.
        let is_last = !active.idempotent || active.runs + 1 >= active.attempts_max;
        let time_to_target = active.target_at.saturating_sub(self.now);
        let service = active.service.clone();
        let eligible = self.eligible_instances(active, is_last);
        let avoidance_changed = self.avoidance_changed(&service, &eligible);
        let load = load_per_slot(&eligible);
        let eligible = self.limit_cold_instances(request, eligible, is_last);
        let mut candidates: Vec<Candidate> = eligible.iter().map(|e| e.candidate).collect();
        let placement_request = PlacementRequest { retryable: !is_last, time_to_target };
        if !is_last && !self.may_explore(&service, exploration, &candidates) {
            candidates.iter_mut().for_each(|candidate| candidate.stale = false);
        }
        self.record_avoided(avoidance_changed);
        let trial = match exploration {
            Exploration::Sometimes => self.choose_trial(request, &service, &eligible),
            Exploration::Never => None,
        };
        let placement = match trial {
            Some(trial) => trial,
            None => Placement::choose(&candidates, &placement_request, &mut self.random)?,
        };
        let candidate = candidates[placement.index];
        let position = eligible[placement.index].position;
        let id = self.services.get(&service)?.instances[position].clone();
        let estimate_s = placement.estimate_s;
        Some(ChosenInstance { id, candidate, estimate_s, load })
    }

    /// Decides whether a request may try an instance without recent attempts. All hosts see the
    /// same stale instances, so the probability is chosen such that all hosts together reach
    /// `EXPLORATIONS_PER_SECOND` for each of them.
    fn may_explore(
        &mut self,
        service: &str,
        exploration: Exploration,
        candidates: &[Candidate],
    ) -> bool {
        let stale = candidates.iter().filter(|candidate| candidate.stale).count();
        if exploration == Exploration::Never || stale == 0 {
            return false;
        }
        let demand = self.service_demand(service);
        self.random.next_f64() * demand < stale as f64 * EXPLORATIONS_PER_SECOND
    }

    /// Returns the instances that start or stop being avoided, with their failure probability.
    fn avoidance_changed(
        &self,
        service: &str,
        eligible: &[EligibleInstance],
    ) -> Vec<(InstanceId, f64)> {
        let Some(service) = self.services.get(service) else { return Vec::new() };
        let is_changed = |id: &InstanceId, probability: f64| {
            self.instances.get(id).is_some_and(|view| match view.avoided {
                true => probability <= AVOIDED_PROBABILITY / 2.0,
                false => probability > AVOIDED_PROBABILITY,
            })
        };
        let probabilities = eligible
            .iter()
            .map(|e| (&service.instances[e.position], e.candidate.failure_probability));
        let changed = probabilities.filter(|(id, probability)| is_changed(id, *probability));
        changed.map(|(id, probability)| (id.clone(), probability)).collect()
    }

    /// Logs each instance that starts or stops being avoided.
    fn record_avoided(&mut self, changed: Vec<(InstanceId, f64)>) {
        for (id, probability) in changed {
            let now = self.now;
            let Some(view) = self.instances.get_mut(&id) else { continue };
            view.avoided = !view.avoided;
            let avoided = view.avoided;
            let own_attempts = view.recent_stats.at(now).attempts;
            let others = self.fleet.instance_totals(view.short_id);
            self.effects.push(Effect::Record(Record::InstanceAvoided {
                instance: id,
                avoided,
                failure_percent: percent(probability),
                own_attempts,
                fleet_attempts: own_attempts + others.recent_stats.at(now).attempts,
            }));
        }
    }

    /// Starts an attempt on the chosen instance.
    pub(super) fn start_attempt(&mut self, request: RequestId, chosen: ChosenInstance) {
        let now = self.now;
        let Some(view) = self.instances.get_mut(&chosen.id) else { return };
        let Some(active) = self.requests.get_mut(&request) else { return };
        let attempt: AttemptId = self.next_attempt;
        self.next_attempt += 1;
        view.add_in_flight(now);
        let address = view.instance.address;
        let slots = chosen.candidate.slots;
        active.attempts.push(Attempt {
            id: attempt,
            instance: chosen.id.clone(),
            process_started_at_unix_ms: view.instance.started_at_unix_ms,
            started_at: now,
            load: chosen.candidate.in_flight / slots,
            overdue: false,
        });
        active.tried.push(chosen.id.clone());
        if let Some(service) = self.services.get_mut(&active.service) {
            service.service_time.start_attempt(now);
        }
        active.runs += 1;
        active.sends += 1;
        self.attempts.insert(attempt, request);
        let overdue_after =
            Duration::from_secs_f64(chosen.estimate_s * OVERDUE_FACTOR).max(OVERDUE_MIN);
        let record = Record::Placed {
            request: active.caller_request_id.clone(),
            route: active.route.clone(),
            service: active.service.clone(),
            instance: chosen.id.clone(),
            attempt: active.sends,
            in_flight: chosen.candidate.in_flight,
            estimate_ms: (chosen.estimate_s * 1e3) as u64,
            failure_percent: percent(chosen.candidate.failure_probability),
            hosts_heard: self.fleet.live_hosts(now),
            report_age_ms: millis(self.fleet.oldest_report_age(now)),
            revision: self.configuration.as_ref().map_or(0, |c| c.revision),
        };
        let send = Effect::Send {
            request,
            attempt,
            instance: chosen.id,
            address,
            customer: active.customer.clone(),
            timeout: active.deadline.saturating_sub(now),
            idempotent: active.idempotent,
        };
        self.timers.arm(now + overdue_after, TimerEvent::Overdue(attempt));
        self.note_work_started(request);
        self.record(record);
        self.effects.push(send);
        self.schedule_group_report();
    }
}

impl InstanceView {
    /// Returns whether the instance accepts requests, now or after a pause that it has asked for.
    pub(super) fn accepts_requests(&self, now: Duration) -> bool {
        self.instance.state == InstanceState::Ready
            && self.wrong_instance_at.is_none_or(|at| now >= at + WRONG_INSTANCE_TTL)
            && !self.availability.leaving
    }

    pub(super) fn reported_load(&self, now: Duration) -> f64 {
        let recent = self.reported_load.filter(|(_, at)| now < *at + REPORTED_LOAD_TTL);
        recent.map_or(0.0, |(load, _)| f64::from(load))
    }
}

fn percent(share: f64) -> u32 {
    (share * 100.0).round() as u32
}

/// Returns the requests in flight per slot.
fn load_per_slot(eligible: &[EligibleInstance]) -> f64 {
    let candidates = || eligible.iter().map(|instance| &instance.candidate);
    let in_flight: f64 = candidates().map(|candidate| candidate.in_flight).sum();
    let slots: f64 = candidates().map(|candidate| candidate.slots).sum();
    in_flight / slots.max(1.0)
}
