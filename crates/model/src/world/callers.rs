//! Callers: when they send, retry and give up.

use std::time::Duration;

use ebonytack_gateway::{Event, IncomingRequest};

use super::state::{
    CALLER_DELAY, CALLER_TRIES_MAX, CUSTOMER_SHARES, Call, CallResult, HostLogic, SimulationEvent,
    TRAFFIC_START, World,
};
use crate::pattern::Disturbance;

/// Behaviour of callers.
impl World {
    pub(super) fn disturbance_active(&self) -> bool {
        let begin = TRAFFIC_START + self.pattern.disturbance_start;
        (begin..begin + self.pattern.disturbance_duration).contains(&self.now)
    }

    pub(super) fn arrival_rate(&self, customer: usize) -> f64 {
        let base_rate = self.pattern.rate_per_second * CUSTOMER_SHARES[customer];
        let factor = match self.pattern.disturbance {
            Disturbance::Burst { factor } if self.disturbance_active() => factor,
            Disturbance::HotCustomer { factor }
            | Disturbance::HotCustomerWithRestart { factor }
            | Disturbance::HotCustomerWithoutReports { factor }
                if customer == 0 && self.disturbance_active() =>
            {
                factor
            }
            _ => 1.0,
        };
        base_rate * factor
    }

    pub(super) fn on_arrival(&mut self, customer: usize) {
        if self.now > TRAFFIC_START + self.pattern.duration {
            return;
        }
        let wait_s = -(1.0 - self.random.next_f64()).ln() / self.arrival_rate(customer);
        // Waits are cut off at 100 ms and drawn again, so that a change of the rate takes effect
        // within that time.
        let wait = Duration::from_secs_f64(wait_s);
        self.events.schedule(
            self.now + wait.min(Duration::from_millis(100)),
            SimulationEvent::Arrival { customer },
        );
        if wait > Duration::from_millis(100) {
            return;
        }
        let call = self.calls.len();
        let hot = matches!(
            self.pattern.disturbance,
            Disturbance::HotCustomer { .. }
                | Disturbance::HotCustomerWithRestart { .. }
                | Disturbance::HotCustomerWithoutReports { .. }
        );
        let idempotent = self.random.next_f64() < self.pattern.workload.idempotent_share;
        self.calls.push(Call {
            customer,
            idempotent,
            first_sent_at: self.now,
            tries: 0,
            finished: false,
            result: CallResult::Pending,
            runs: 0,
            refused_try: None,
            last_sent_at: self.now,
            counted: !(hot && customer == 0),
        });
        self.events.schedule(
            self.now + self.pattern.workload.deadline,
            SimulationEvent::Deadline { call },
        );
        self.send_call(call);
    }

    /// Sends a call to a random host, unless it is finished or past its deadline.
    pub(super) fn send_call(&mut self, call: usize) {
        let host = self.random.below(self.hosts.len());
        let time_left = (self.calls[call].first_sent_at + self.pattern.workload.deadline)
            .saturating_sub(self.now);
        if self.calls[call].finished || time_left.is_zero() {
            return;
        }
        if !self.hosts[host].up {
            // The connection is refused; the caller retries on a random host.
            let retry_at = self.now + Duration::from_millis(150);
            self.events.schedule(retry_at, SimulationEvent::Retry { call });
            return;
        }
        let state = &mut self.calls[call];
        state.tries += 1;
        state.runs = 0;
        state.last_sent_at = self.now;
        let host_state = &mut self.hosts[host];
        let request = host_state.next_request;
        host_state.next_request += 1;
        host_state.requests.insert(request, (call, state.tries));
        let path = if state.idempotent { "/lookup/1" } else { "/order/1" };
        let incoming = IncomingRequest {
            caller_request_id: format!("{call}-{}", state.tries),
            host: "shop.example".to_owned(),
            path: path.to_owned(),
            key: Some(format!("key-{}", state.customer)),
            timeout: Some(time_left),
        };
        if let HostLogic::Baseline(baseline) = &mut host_state.logic {
            let instance = baseline.place(self.policy);
            let attempt = request;
            host_state.attempts.insert(attempt, (instance, self.now));
            self.send_attempt(host, instance, request, attempt);
        } else {
            self.step_host(host, Event::Request { request, incoming });
        }
    }

    /// Handles the refusal of a try by its host.
    ///
    /// If the request did not run, the caller retries after `retry_after`, but waits at most a
    /// third of the time left. Otherwise the call has failed.
    pub(super) fn on_refusal(
        &mut self,
        call: usize,
        try_number: u32,
        not_run: bool,
        retry_after: Option<Duration>,
    ) {
        let state = &mut self.calls[call];
        if state.counted {
            let delay_ms = self.now.saturating_sub(state.last_sent_at).as_millis() as u64;
            let max = &mut self.outcome.refusal_delay_max_ms;
            *max = (*max).max(if not_run { delay_ms } else { 0 });
        }
        if !not_run {
            self.finish_call(call, CallResult::Failed);
            return;
        }
        if state.runs > 0 && state.tries == try_number {
            self.outcome.false_not_run += 1;
        }
        state.refused_try = Some(try_number);
        let time_left =
            (state.first_sent_at + self.pattern.workload.deadline).saturating_sub(self.now);
        let wait = retry_after.unwrap_or_default().min(time_left / 3);
        if state.tries >= CALLER_TRIES_MAX || time_left.is_zero() {
            self.finish_call(call, CallResult::Refused);
        } else {
            self.events
                .schedule(self.now + wait + CALLER_DELAY * 2, SimulationEvent::Retry { call });
        }
    }

    pub(super) fn on_success(&mut self, call: usize) {
        let latency = self.now + CALLER_DELAY * 2 - self.calls[call].first_sent_at;
        self.finish_call(
            call,
            if latency <= self.pattern.workload.target_latency {
                CallResult::InTarget
            } else {
                CallResult::Late
            },
        );
    }

    pub(super) fn finish_call(&mut self, call: usize, result: CallResult) {
        let state = &mut self.calls[call];
        if !state.finished {
            state.finished = true;
            state.result = result;
        }
    }
}
