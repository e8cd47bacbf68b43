//! Choosing instances.

use std::time::Duration;

use ebonytack_core::{AttemptId, InstanceId, RefusalReason, RequestId};

use super::Gateway;
use super::requests::millis;
use super::state::{Due, InstanceView};
use crate::balance::{
    AdmissionLimit, Candidate, Placement, PlacementRequest, conservative_failure_probability,
    failure_probability,
};
use crate::report::short_id;
use crate::request::Attempt;
use crate::{Effect, InstanceState, Record};

/// How long a "full" answer counts.
const FULL_MEMORY: Duration = Duration::from_millis(150);
/// How long a kept connection is likely to be there.
const CONNECTION_MEMORY: Duration = Duration::from_secs(7);
/// How long a stated load counts.
const STATED_LOAD_MEMORY: Duration = Duration::from_millis(200);
/// An attempt is overdue after this many times its estimate, and no sooner than the minimum.
const OVERDUE_FACTOR: f64 = 3.0;
const OVERDUE_MIN: Duration = Duration::from_millis(600);
/// The bounds of the wait that refused callers are asked for.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(1);
/// The wait for an instance to come, when there is none.
const RETRY_WITHOUT_INSTANCE: Duration = Duration::from_millis(500);
/// The probability of failure from which the log calls an instance avoided.
const AVOIDED_PROBABILITY: f64 = 0.2;

/// How often all hosts together try an instance that nobody has tried for a while, a second. With
/// a quarter of the requests repeatable, each is tried within two seconds nearly always.
const EXPLORATIONS_PER_SECOND: f64 = 5.0;

/// Whether a request may be used to try an instance that nobody has tried for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Exploration {
    /// Now and then, by the rate of requests.
    Sometimes,
    /// Never: another attempt should succeed.
    Never,
}

/// An instance that was chosen.
pub(super) struct Chosen {
    id: InstanceId,
    candidate: Candidate,
    estimate_s: f64,
}

impl Gateway {
    /// Sends a request for the first time, or turns it away at once.
    pub(super) fn place_first(&mut self, request: RequestId) {
        let Some(chosen) = self.choose(request, Exploration::Sometimes) else {
            let wait = self.spread(RETRY_WITHOUT_INSTANCE);
            let input = "no instance is ready".to_owned();
            self.refuse(request, RefusalReason::NoInstance, Some(wait), input);
            return;
        };
        let Some(active) = self.requests.get(&request) else { return };
        let left = active.expires_at.saturating_sub(self.now);
        let patience = AdmissionLimit::new(active.priority, left);
        if patience.admits(chosen.estimate_s) {
            self.launch(request, chosen);
            return;
        }
        let excess = Duration::from_secs_f64(chosen.estimate_s - patience.estimate_max_s);
        let wait = self.spread(excess.clamp(RETRY_MIN, RETRY_MAX));
        let input = format!(
            "estimate {:.0} ms, limit {:.0} ms, {:.0} under way on {}",
            chosen.estimate_s * 1e3,
            patience.estimate_max_s * 1e3,
            chosen.candidate.in_flight,
            chosen.id,
        );
        self.refuse(request, RefusalReason::Overloaded, Some(wait), input);
    }

    /// Spreads returning callers over half as much time again.
    pub(super) fn spread(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(1.0 + self.random.unit() / 2.0)
    }

    /// Chooses an instance that the request has not tried.
    pub(super) fn choose(
        &mut self,
        request: RequestId,
        exploration: Exploration,
    ) -> Option<Chosen> {
        let active = self.requests.get(&request)?;
        // The last attempt that is allowed must not fail, whether or not it may run again.
        let is_last = !active.idempotent || active.runs + 1 >= active.attempts_max;
        let now = self.now;
        let target_left = active.target_at.saturating_sub(now);
        let service_id = active.service.clone();
        let service = self.services.get(&service_id)?;
        let sums = self.fleet.instance_sums(now);
        let mut ids = Vec::new();
        let mut candidates = Vec::new();
        for id in &service.instances {
            let Some(view) = self.instances.get(id) else { continue };
            let usable = view.instance.state == InstanceState::Ready && !view.misdirected;
            if !usable || active.tried.contains(id) {
                continue;
            }
            // What nobody reports has no requests under way elsewhere.
            let sum = sums.get(&short_id(id)).copied().unwrap_or_default();
            let mut fleet = sum.evidence.at(now);
            let own = view.evidence.at(now);
            fleet.add(own.attempts, own.failures, now);
            let known = f64::from(view.in_flight) + sum.in_flight;
            let mut probability = failure_probability(&own, &fleet);
            if is_last {
                let mut fleet = self.fleet.lasting_evidence(short_id(id), now);
                let own = view.lasting_evidence.at(now);
                fleet.add(own.attempts, own.failures, now);
                let lasting = failure_probability(&own, &fleet);
                probability = conservative_failure_probability(probability, lasting);
            }
            ids.push(id.clone());
            candidates.push(Candidate {
                in_flight: known.max(view.stated_load(now)),
                slots: f64::from(view.instance.slots),
                service_time_s: service.service_time_s,
                failure_probability: probability,
                same_data_centre: view.instance.data_centre == self.settings.data_centre,
                warming_up: now < view.cold_until,
                recently_rejected: view.full_at.is_some_and(|at| now < at + FULL_MEMORY),
                stale: known == 0.0 && fleet.is_stale(),
                likely_connected: view.connected_at.is_some_and(|at| now < at + CONNECTION_MEMORY),
            });
        }
        if !is_last && !self.may_explore(&service_id, exploration, &candidates) {
            candidates.iter_mut().for_each(|candidate| candidate.stale = false);
        }
        let demand = PlacementRequest { retryable: !is_last, time_to_target: target_left };
        let placement = Placement::choose(&candidates, &demand, &mut self.random)?;
        let candidate = candidates[placement.index];
        self.record_avoided(&ids, &candidates);
        let id = ids.swap_remove(placement.index);
        Some(Chosen { id, candidate, estimate_s: placement.estimate_s })
    }

    /// Decides whether a request may try an instance that nobody has tried for a while. All hosts
    /// meet the same instances, so each explores with the chance that makes the rate right.
    fn may_explore(
        &mut self,
        service: &str,
        exploration: Exploration,
        candidates: &[Candidate],
    ) -> bool {
        let untried = candidates.iter().filter(|candidate| candidate.stale).count();
        if exploration == Exploration::Never || untried == 0 {
            return false;
        }
        let demand = self.service_demand(service);
        self.random.unit() * demand < untried as f64 * EXPLORATIONS_PER_SECOND
    }

    /// Writes to the log which instances are avoided from now on, or no longer.
    fn record_avoided(&mut self, ids: &[InstanceId], candidates: &[Candidate]) {
        for (id, candidate) in ids.iter().zip(candidates) {
            let now = self.now;
            let Some(view) = self.instances.get_mut(id) else { continue };
            let probability = candidate.failure_probability;
            let avoided = match view.avoided {
                true => probability > AVOIDED_PROBABILITY / 2.0,
                false => probability > AVOIDED_PROBABILITY,
            };
            if avoided != view.avoided {
                view.avoided = avoided;
                let own_attempts = view.evidence.at(now).attempts;
                let sums = self.fleet.instance_sums(now);
                let others = sums.get(&short_id(id)).map_or(0.0, |sum| sum.evidence.attempts);
                self.effects.push(Effect::Record(Record::InstanceAvoided {
                    instance: id.clone(),
                    avoided,
                    failure_percent: percent(probability),
                    own_attempts,
                    fleet_attempts: own_attempts + others,
                }));
            }
        }
    }

    /// Starts an attempt.
    pub(super) fn launch(&mut self, request: RequestId, chosen: Chosen) {
        let now = self.now;
        let Some(view) = self.instances.get_mut(&chosen.id) else { return };
        let Some(active) = self.requests.get_mut(&request) else { return };
        let attempt: AttemptId = self.next_attempt;
        self.next_attempt += 1;
        view.in_flight += 1;
        let address = view.instance.address;
        let slots = chosen.candidate.slots;
        active.attempts.push(Attempt {
            id: attempt,
            instance: chosen.id.clone(),
            started_at: now,
            load: chosen.candidate.in_flight / slots,
            overdue: false,
        });
        active.tried.push(chosen.id.clone());
        active.runs += 1;
        active.sends += 1;
        self.attempts.insert(attempt, request);
        let overdue = Duration::from_secs_f64(chosen.estimate_s * OVERDUE_FACTOR).max(OVERDUE_MIN);
        let record = Record::Placed {
            request: active.caller_request_id.clone(),
            route: active.route.clone(),
            service: active.service.clone(),
            instance: chosen.id.clone(),
            attempt: active.sends,
            in_flight: chosen.candidate.in_flight,
            estimate_ms: (chosen.estimate_s * 1e3) as u64,
            failure_percent: percent(chosen.candidate.failure_probability),
            hosts_heard: self.fleet.heard(now),
            report_age_ms: millis(self.fleet.oldest_report_age(now)),
            revision: self.configuration.as_ref().map_or(0, |c| c.revision),
        };
        let send = Effect::Send {
            request,
            attempt,
            instance: chosen.id,
            address,
            customer: active.customer.clone(),
            timeout: active.expires_at.saturating_sub(now),
            idempotent: active.idempotent,
        };
        self.timers.arm(now + overdue, Due::Overdue(attempt));
        self.record(record);
        self.effects.push(send);
        self.note_change();
    }
}

impl InstanceView {
    fn stated_load(&self, now: Duration) -> f64 {
        let recent = self.stated_load.filter(|(_, at)| now < *at + STATED_LOAD_MEMORY);
        recent.map_or(0.0, |(load, _)| f64::from(load))
    }
}

fn percent(share: f64) -> u32 {
    (share * 100.0).round() as u32
}
