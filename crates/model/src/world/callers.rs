//! The callers: when they ask, come back and give up.

use std::time::Duration;

use ebonytack_gateway::{Event, IncomingRequest};

use super::state::{
    CALLER_DELAY, CALLER_TRIES_MAX, CUSTOMER_SHARES, Call, DEADLINE, Decider, End, Happening,
    IDEMPOTENT_SHARE, LEAD, TARGET, World,
};
use crate::pattern::Trouble;

/// Callers.
impl World {
    pub(super) fn in_trouble(&self) -> bool {
        let begin = LEAD + self.pattern.trouble_at;
        (begin..begin + self.pattern.trouble_for).contains(&self.now)
    }

    pub(super) fn arrival_rate(&self, customer: usize) -> f64 {
        let usual = self.pattern.rate_per_second * CUSTOMER_SHARES[customer];
        let factor = match self.pattern.trouble {
            Trouble::Burst { factor } if self.in_trouble() => factor,
            Trouble::HotCustomer { factor }
            | Trouble::HotRestart { factor }
            | Trouble::HotSilence { factor }
                if customer == 0 && self.in_trouble() =>
            {
                factor
            }
            _ => 1.0,
        };
        usual * factor
    }

    pub(super) fn on_arrival(&mut self, customer: usize) {
        if self.now > LEAD + self.pattern.length {
            return;
        }
        let wait_s = -(1.0 - self.random.next_f64()).ln() / self.arrival_rate(customer);
        // A rate that rises meanwhile is noticed within a tenth of a second.
        let wait = Duration::from_secs_f64(wait_s);
        self.calendar
            .add(self.now + wait.min(Duration::from_millis(100)), Happening::Arrival { customer });
        if wait > Duration::from_millis(100) {
            return;
        }
        let call = self.calls.len();
        let hot = matches!(
            self.pattern.trouble,
            Trouble::HotCustomer { .. } | Trouble::HotRestart { .. } | Trouble::HotSilence { .. }
        );
        let idempotent = self.random.next_f64() < IDEMPOTENT_SHARE;
        self.calls.push(Call {
            customer,
            idempotent,
            asked_at: self.now,
            tries: 0,
            ended: false,
            ended_as: End::Open,
            runs: 0,
            refused_try: None,
            arrived_at: self.now,
            counted: !(hot && customer == 0),
        });
        self.calendar.add(self.now + DEADLINE, Happening::Deadline { call });
        self.ask(call);
    }

    /// Lets a caller send its request to a host.
    pub(super) fn ask(&mut self, call: usize) {
        let host = self.random.below(self.hosts.len());
        let left = (self.calls[call].asked_at + DEADLINE).saturating_sub(self.now);
        if self.calls[call].ended || left.is_zero() {
            return;
        }
        if !self.hosts[host].up {
            // The caller's connection is refused and it tries another host.
            let again = self.now + Duration::from_millis(150);
            self.calendar.add(again, Happening::Return { call });
            return;
        }
        let state = &mut self.calls[call];
        state.tries += 1;
        state.runs = 0;
        state.arrived_at = self.now;
        let slot = &mut self.hosts[host];
        let request = slot.next_request;
        slot.next_request += 1;
        slot.requests.insert(request, (call, state.tries));
        let path = if state.idempotent { "/lookup/1" } else { "/order/1" };
        let arrival = IncomingRequest {
            caller_request_id: format!("{call}-{}", state.tries),
            host: "shop.example".to_owned(),
            path: path.to_owned(),
            key: Some(format!("key-{}", state.customer)),
            timeout: Some(left),
        };
        if let Decider::Baseline(baseline) = &mut slot.decider {
            let instance = baseline.place(self.policy);
            let attempt = request;
            slot.attempts.insert(attempt, (instance, self.now));
            self.send(host, instance, request, attempt);
        } else {
            self.feed(host, Event::Request { request, incoming: arrival });
        }
    }

    /// A refused caller comes back when it is told to, up to a third of its time.
    pub(super) fn on_refusal(
        &mut self,
        call: usize,
        try_number: u32,
        not_run: bool,
        retry_after: Option<Duration>,
    ) {
        let state = &mut self.calls[call];
        if state.counted {
            let delay = self.now.saturating_sub(state.arrived_at).as_millis() as u64;
            let most = &mut self.outcome.refusal_delay_max_ms;
            *most = (*most).max(if not_run { delay } else { 0 });
        }
        if !not_run {
            self.end(call, End::Failed);
            return;
        }
        if state.runs > 0 && state.tries == try_number {
            self.outcome.false_not_run += 1;
        }
        state.refused_try = Some(try_number);
        let left = (state.asked_at + DEADLINE).saturating_sub(self.now);
        let wait = retry_after.unwrap_or_default().min(left / 3);
        if state.tries >= CALLER_TRIES_MAX || left.is_zero() {
            self.end(call, End::Refused);
        } else {
            self.calendar.add(self.now + wait + CALLER_DELAY * 2, Happening::Return { call });
        }
    }

    pub(super) fn answer(&mut self, call: usize) {
        let took = self.now + CALLER_DELAY * 2 - self.calls[call].asked_at;
        self.end(call, if took <= TARGET { End::InTarget } else { End::Late });
    }

    pub(super) fn end(&mut self, call: usize, end: End) {
        let state = &mut self.calls[call];
        if !state.ended {
            state.ended = true;
            state.ended_as = end;
        }
    }
}
