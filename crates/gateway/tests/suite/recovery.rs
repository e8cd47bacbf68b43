//! Recovery: after any trouble of its instances, a service is served as by a host that has just started.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonytack_core::{AttemptId, Random};
use ebonytack_gateway::{AttemptResult, Effect, Event, UpstreamResponse};

use crate::support::{Harness, failed, rejected, response};

const KEY: Option<&str> = Some("club-key");
const INSTANCES: usize = 4;
/// The time for which a sound instance works on a request.
const WORK: Duration = Duration::from_millis(300);
/// The interval between two requests.
const INTERVAL: Duration = Duration::from_millis(100);
/// Twice the time after which the platform counts a disruption as over.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
const MEASURED_TIME: Duration = Duration::from_secs(6);

/// How an instance treats requests.
#[derive(Clone, Copy, Debug)]
enum Condition {
    Sound,
    /// Works this many times as long.
    Slow(f64),
    Failing,
    Silent,
    Rejecting,
}

/// A host with instances of changing condition. The load on an instance does not matter.
struct Simulation {
    harness: Harness,
    conditions: [Condition; INSTANCES],
    /// Attempts by the time at which they end.
    pending: BTreeMap<(Duration, AttemptId), AttemptResult>,
    sent: u32,
    served: u32,
}

impl Simulation {
    fn new() -> Self {
        let harness = Harness::new(INSTANCES);
        let conditions = [Condition::Sound; INSTANCES];
        Self { harness, conditions, pending: BTreeMap::new(), sent: 0, served: 0 }
    }

    fn run(&mut self, time: Duration) {
        let end = self.harness.now + time;
        while self.harness.now < end {
            let path = if self.sent.is_multiple_of(3) { "/lookup/1" } else { "/order/1" };
            self.sent += 1;
            self.harness.send_request(path, KEY);
            self.take_effects();
            let next = self.harness.now + INTERVAL;
            while self.harness.now < next {
                self.harness.now += Duration::from_millis(10);
                self.harness.step(Event::Tick);
                self.take_effects();
                self.end_attempts();
            }
        }
    }

    /// Returns the share of requests that are served from now on.
    fn served_share(&mut self) -> f64 {
        (self.sent, self.served) = (0, 0);
        self.run(MEASURED_TIME);
        f64::from(self.served) / f64::from(self.sent)
    }

    fn end_attempts(&mut self) {
        while let Some(entry) = self.pending.first_entry()
            && entry.key().0 <= self.harness.now
        {
            let ((_, attempt), result) = entry.remove_entry();
            self.harness.finish(attempt, result);
            self.take_effects();
        }
    }

    fn take_effects(&mut self) {
        for effect in std::mem::take(&mut self.harness.effects) {
            match effect {
                Effect::Send { attempt, instance, timeout, .. } => {
                    let index: usize = instance["i-".len()..].parse().expect("a number");
                    let (after, result) = self.outcome(self.conditions[index], timeout);
                    self.pending.insert((self.harness.now + after, attempt), result);
                }
                Effect::Cancel { attempt } => {
                    self.pending.retain(|(_, id), _| *id != attempt);
                }
                Effect::Deliver { .. } => self.served += 1,
                _ => {}
            }
        }
    }

    fn outcome(&self, condition: Condition, timeout: Duration) -> (Duration, AttemptResult) {
        let answer = |latency: Duration| {
            let answered = UpstreamResponse { status: 200, signed: true, latency, load: Some(1) };
            match latency <= timeout {
                true => (latency, AttemptResult::Responded(answered)),
                false => (timeout, failed(true)),
            }
        };
        match condition {
            Condition::Sound => answer(WORK),
            Condition::Slow(factor) => answer(WORK.mul_f64(factor)),
            Condition::Failing => (Duration::from_millis(20), response(500, true)),
            Condition::Silent => (timeout, failed(true)),
            Condition::Rejecting => (Duration::from_millis(5), rejected()),
        }
    }
}

fn fresh_share() -> f64 {
    Simulation::new().served_share()
}

/// Guards against a service that is refused for ever because its instances were slow in steps: the
/// estimate refused the requests that could have corrected it.
#[test]
fn service_is_served_again_after_it_was_slow_in_steps() {
    for steps in [[2.4, 5.0, 8.0], [1.5, 3.0, 6.5], [3.0, 8.0, 12.0], [8.0, 6.5, 6.0]] {
        let mut simulation = Simulation::new();
        simulation.run(Duration::from_secs(5));
        for factor in steps {
            simulation.conditions = [Condition::Slow(factor); INSTANCES];
            simulation.run(Duration::from_millis(9_000));
        }
        simulation.conditions = [Condition::Sound; INSTANCES];
        simulation.run(RECOVERY_TIME);
        let (share, fresh) = (simulation.served_share(), fresh_share());
        assert!(share >= 0.95 * fresh, "{steps:?}: {share} of {fresh}");
    }
}

/// The same after random histories of slow, failing, silent and rejecting instances.
#[test]
fn service_is_served_again_after_any_history() {
    let fresh = fresh_share();
    for seed in 1..=200 {
        let mut random = Random::new(seed);
        let mut simulation = Simulation::new();
        let mut history = Vec::new();
        let mut slow_factor = 1.0;
        for _ in 0..6 {
            let condition = match random.below(8) {
                0 => Condition::Sound,
                1 => Condition::Failing,
                2 => Condition::Silent,
                3 => Condition::Rejecting,
                // Grows in steps, as an instance does that becomes slower and slower.
                _ => {
                    slow_factor = f64::min(slow_factor * (1.0 + 2.0 * random.next_f64()), 12.0);
                    Condition::Slow(slow_factor)
                }
            };
            let first = if random.next_f64() < 0.6 { 0 } else { random.below(INSTANCES) };
            simulation.conditions[first..].fill(condition);
            simulation.run(Duration::from_secs_f64(1.0 + random.next_f64() * 6.0));
            history.push((first, condition));
        }
        simulation.conditions = [Condition::Sound; INSTANCES];
        simulation.run(RECOVERY_TIME);
        let share = simulation.served_share();
        assert!(share >= 0.95 * fresh, "seed {seed}: {share} of {fresh} after {history:?}");
    }
}
