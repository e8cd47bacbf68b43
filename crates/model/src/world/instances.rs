//! Instances: injected faults and the handling of attempts.

use std::time::Duration;

use ebonytack_gateway::{AttemptResult, UpstreamResponse};

use super::names::{attempt_key, delay};
use super::state::{FAST_ERROR_DELAY, SentAttempt, SimulationEvent, World};
use crate::instance::{Admission, AttemptId, InstanceFaults};
use crate::pattern::Disturbance;

/// Behaviour of instances.
impl World {
    pub(super) fn start_disturbance(&mut self) {
        let count = self.instances.len();
        let affected_count = |share: f64| (share * count as f64).round() as usize;
        let (affected, faults) = match self.pattern.disturbance {
            Disturbance::Slow { share, factor } => (
                affected_count(share),
                InstanceFaults { slowdown: factor, ..InstanceFaults::default() },
            ),
            Disturbance::Unresponsive { share } => (
                affected_count(share),
                InstanceFaults { unresponsive: true, ..InstanceFaults::default() },
            ),
            Disturbance::Errors { share, rate } => (
                affected_count(share),
                InstanceFaults { error_rate: rate, ..InstanceFaults::default() },
            ),
            Disturbance::RotatingErrors { .. } => {
                self.rotate_errors();
                return;
            }
            Disturbance::Bursts { share, period, .. } => {
                for instance in 0..affected_count(share) {
                    let at = self.now + period.mul_f64(self.random.next_f64());
                    self.events.schedule(at, SimulationEvent::BurstStarts { instance });
                }
                return;
            }
            Disturbance::Rejections { rate } => {
                (count, InstanceFaults { rejection_rate: rate, ..InstanceFaults::default() })
            }
            Disturbance::Restart | Disturbance::HotCustomerWithRestart { .. } => {
                for host in 0..self.hosts.len() {
                    self.stop_host(host);
                }
                return;
            }
            Disturbance::None
            | Disturbance::Burst { .. }
            | Disturbance::HotCustomer { .. }
            | Disturbance::HotCustomerWithoutReports { .. } => return,
        };
        (0..affected).for_each(|index| self.set_faults(index, faults));
    }

    pub(super) fn set_faults(&mut self, index: usize, faults: InstanceFaults) {
        self.instances[index].faults = faults;
        self.usage.set_healthy(index, faults == InstanceFaults::default(), self.now);
    }

    /// Starts a burst of errors of an instance, and schedules its end and the next one.
    pub(super) fn start_burst(&mut self, index: usize) {
        let Disturbance::Bursts { rate, length: (min, max), period, .. } = self.pattern.disturbance
        else {
            return;
        };
        if !self.disturbance_active() {
            return;
        }
        let faults = InstanceFaults { fast_error_rate: rate, ..InstanceFaults::default() };
        self.set_faults(index, faults);
        let length = min + (max - min).mul_f64(self.random.next_f64());
        self.events.schedule(self.now + length, SimulationEvent::BurstEnds { instance: index });
        self.events.schedule(self.now + period, SimulationEvent::BurstStarts { instance: index });
    }

    /// Replaces the instances that fail by a new random selection.
    pub(super) fn rotate_errors(&mut self) {
        let Disturbance::RotatingErrors { share, rate, period } = self.pattern.disturbance else {
            return;
        };
        let all = 0..self.instances.len();
        all.for_each(|index| self.set_faults(index, InstanceFaults::default()));
        if !self.disturbance_active() {
            return;
        }
        let count = (share * self.instances.len() as f64).round() as usize;
        for _ in 0..count {
            let index = self.random.below(self.instances.len());
            let faults = InstanceFaults { fast_error_rate: rate, ..InstanceFaults::default() };
            self.set_faults(index, faults);
        }
        self.events.schedule(self.now + period, SimulationEvent::RotateErrors);
    }

    pub(super) fn on_attempt_arrival(&mut self, index: usize, sent: SentAttempt) {
        let SentAttempt { attempt_id, call, try_number, first } = sent;
        if first {
            self.first_sends.push(self.now);
        } else {
            self.retries.push(self.now);
        }
        self.usage.add_arrival(index, self.now);
        let rejected = self.random.next_f64() < self.instances[index].faults.rejection_rate;
        let instance = &mut self.instances[index];
        if rejected {
            let load = instance.load();
            self.reject(index, attempt_id, load);
            return;
        }
        match instance.admit(attempt_id) {
            Admission::Rejected => {
                let load = instance.load();
                self.reject(index, attempt_id, load);
            }
            Admission::Running => {
                self.attempt_calls.insert(attempt_key(&attempt_id), (call, try_number));
                self.start_attempt(index, attempt_id);
            }
            Admission::Queued => {
                self.attempt_calls.insert(attempt_key(&attempt_id), (call, try_number));
            }
        }
    }

    pub(super) fn reject(&mut self, instance: usize, attempt_id: AttemptId, load: u32) {
        let result = AttemptResult::Rejected { wrong_instance: false, load: Some(load) };
        self.send_result(instance, attempt_id, result);
    }

    pub(super) fn start_attempt(&mut self, index: usize, attempt_id: AttemptId) {
        if let Some((call, try_number)) = self.attempt_calls.get(&attempt_key(&attempt_id)).copied()
        {
            let state = &mut self.calls[call];
            if state.tries == try_number {
                state.runs += 1;
                if state.runs > 1 && !state.idempotent {
                    self.outcome.ran_twice += 1;
                }
            }
            if state.refused_try == Some(try_number) {
                self.outcome.false_not_run += 1;
            }
            if state.customer == 0 {
                self.hot_runs.push(self.now);
            }
        }
        let faults = self.instances[index].faults;
        if faults.unresponsive {
            return;
        }
        if self.random.next_f64() < faults.fast_error_rate {
            self.failing_attempts.insert(attempt_key(&attempt_id));
            let at = self.now + FAST_ERROR_DELAY;
            self.events.schedule(at, SimulationEvent::AttemptEnds { instance: index, attempt_id });
            return;
        }
        // Shifted exponential distribution with mean 1.
        let relative_service_time = 0.4 - 0.6 * (1.0 - self.random.next_f64()).ln();
        let call = self.attempt_calls.get(&attempt_key(&attempt_id)).map_or(0, |(call, _)| *call);
        let mean_s = self.class(call).service_time_mean_s;
        let mut service_time_s = mean_s * relative_service_time * faults.slowdown.max(1.0);
        let profile = self.pattern.instance_profile;
        if profile.tail_share > 0.0 && self.random.next_f64() < profile.tail_share {
            service_time_s *= profile.tail_factor;
        }
        let instance = &self.instances[index];
        let others_running = instance.running.len().saturating_sub(1) as f64;
        let other_slots = (instance.slots as f64 - 1.0).max(1.0);
        let contention = profile.contention * others_running / other_slots;
        service_time_s *= instance.time_factor * (1.0 + contention);
        let at = self.now + Duration::from_secs_f64(service_time_s);
        self.events.schedule(at, SimulationEvent::AttemptEnds { instance: index, attempt_id });
    }

    pub(super) fn on_attempt_end(&mut self, index: usize, attempt_id: AttemptId) {
        let instance = &mut self.instances[index];
        let was_running = instance.running.contains(&attempt_id);
        if let Some(next) = instance.remove(&attempt_id) {
            self.start_attempt(index, next);
        }
        if !was_running {
            return;
        }
        let failure_rate = self.pattern.instance_profile.failure_rate;
        let error_rate = self.instances[index].faults.error_rate.max(failure_rate);
        let failed = self.failing_attempts.remove(&attempt_key(&attempt_id))
            || self.random.next_f64() < error_rate;
        if failed {
            self.usage.add_failure(index, self.now);
        }
        let response = UpstreamResponse {
            status: if failed { 500 } else { 200 },
            signed: true,
            latency: Duration::ZERO,
            load: Some(self.instances[index].load()),
        };
        self.send_result(index, attempt_id, AttemptResult::Responded(response));
    }

    pub(super) fn send_result(
        &mut self,
        instance: usize,
        attempt_id: AttemptId,
        result: AttemptResult,
    ) {
        let at = self.now + delay(attempt_id.host, instance);
        let AttemptId { host, process, attempt } = attempt_id;
        self.events.schedule(at, SimulationEvent::ResultArrives { host, process, attempt, result });
    }
}
