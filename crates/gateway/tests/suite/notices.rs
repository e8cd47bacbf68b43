//! Tests of what instances say of their availability: that they leave, and when they want requests again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebonytack_core::{AttemptId, Random, RefusalReason, RunState};
use ebonytack_gateway::{AttemptResult, Event, Instance, InstanceNotice, InstanceState};

use crate::support::{Harness, instance, rejected, response};

const KEY: Option<&str> = Some("club-key");
const LEAVING: InstanceNotice = InstanceNotice { leaving: true, retry_after: None };

fn retry_after(wait: Duration) -> InstanceNotice {
    InstanceNotice { leaving: false, retry_after: Some(wait) }
}

impl Harness {
    fn finish_with(&mut self, attempt: AttemptId, result: AttemptResult, notice: InstanceNotice) {
        self.step(Event::Notice { attempt, notice });
        self.finish(attempt, result);
    }

    /// Sends requests until `instance` gets one, and returns its attempt.
    fn reach(&mut self, instance: &str) -> AttemptId {
        for _ in 0..200 {
            self.send_request("/lookup/1", KEY);
            let (attempt, chosen) = self.only_attempt();
            if chosen == instance {
                return attempt;
            }
            self.finish(attempt, response(200, true));
            self.advance(Duration::from_millis(20));
        }
        panic!("{instance} gets no request");
    }

    /// Returns the instances that get requests within 400 ms.
    fn reached(&mut self) -> BTreeSet<String> {
        let mut reached = BTreeSet::new();
        for _ in 0..20 {
            self.send_request("/lookup/1", KEY);
            for (attempt, chosen) in self.attempts() {
                reached.insert(chosen);
                self.finish(attempt, response(200, true));
            }
            self.advance(Duration::from_millis(20));
        }
        reached
    }
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn entry(started_at_unix_ms: u64, sequence: u64) -> Instance {
    Instance { started_at_unix_ms, sequence, ..instance(0) }
}

/// Guards against requests to an instance that has said in a response that it leaves.
#[test]
fn leaving_instance_receives_no_new_requests() {
    for result in [response(200, true), response(500, true), rejected()] {
        let mut harness = Harness::new(2);
        let attempt = harness.reach("i-0");
        harness.finish_with(attempt, result.clone(), LEAVING);
        assert_eq!(harness.reached(), names(&["i-1"]), "{result:?}");
        harness.advance(Duration::from_secs(60));
        assert_eq!(harness.reached(), names(&["i-1"]), "{result:?}");
    }
}

/// Guards against a leaving instance that is used again because its entry is written once more.
#[test]
fn leaving_instance_is_not_used_again_until_it_has_restarted() {
    let mut harness = Harness::new(2);
    let attempt = harness.reach("i-0");
    harness.finish_with(attempt, response(200, true), LEAVING);
    harness.step(Event::Instance(entry(1, 5)));
    assert_eq!(harness.reached(), names(&["i-1"]));
    harness.step(Event::InstanceRemoved("i-0".to_owned()));
    harness.step(Event::Instance(entry(1, 6)));
    assert_eq!(harness.reached(), names(&["i-1"]));
    harness.step(Event::AllInstances(vec![entry(1, 7), instance(1)]));
    assert_eq!(harness.reached(), names(&["i-1"]));
    harness.step(Event::Instance(entry(2, 1)));
    assert_eq!(harness.reached(), names(&["i-0", "i-1"]));
}

/// Guards against an instance that is avoided because of what the process before it has said.
#[test]
fn notice_of_an_ended_process_does_not_concern_its_successor() {
    let mut harness = Harness::new(2);
    let attempt = harness.reach("i-0");
    harness.step(Event::Instance(entry(2, 1)));
    harness.finish_with(attempt, response(200, true), LEAVING);
    assert_eq!(harness.reached(), names(&["i-0", "i-1"]));
}

/// Guards against requests to an instance that has asked for a pause.
#[test]
fn instance_that_asked_for_a_pause_gets_requests_again_after_it() {
    let mut harness = Harness::new(2);
    let attempt = harness.reach("i-0");
    harness.finish_with(attempt, rejected(), retry_after(Duration::from_secs(3)));
    for _ in 0..6 {
        // Each call takes 0.4 s.
        assert_eq!(harness.reached(), names(&["i-1"]));
    }
    harness.advance(Duration::from_millis(600));
    assert_eq!(harness.reached(), names(&["i-0", "i-1"]));
}

/// Guards against a later, shorter pause that ends an earlier one.
#[test]
fn longest_pause_of_an_instance_counts() {
    let mut harness = Harness::new(2);
    let first = harness.reach("i-0");
    let second = harness.reach("i-0");
    harness.finish_with(first, rejected(), retry_after(Duration::from_secs(5)));
    harness.finish_with(second, rejected(), retry_after(Duration::from_millis(100)));
    harness.step(Event::Instance(entry(1, 2)));
    harness.advance(Duration::from_secs(2));
    assert_eq!(harness.reached(), names(&["i-1"]));
    // A process that has started since then has asked for nothing.
    harness.step(Event::Instance(entry(2, 1)));
    assert_eq!(harness.reached(), names(&["i-0", "i-1"]));
}

/// Load pattern: all instances of a service are full and ask for a pause. Callers learn at once that
/// their requests did not run, and return when the first instance wants requests again.
#[test]
fn requests_are_refused_until_the_first_pause_ends() {
    let mut harness = Harness::new(2);
    let first = harness.reach("i-0");
    harness.finish_with(first, rejected(), retry_after(Duration::from_millis(1_200)));
    let second = harness.reach("i-1");
    harness.finish_with(second, rejected(), retry_after(Duration::from_secs(4)));
    harness.send_request("/order/1", KEY);
    assert!(harness.attempts().is_empty());
    let refusal = harness.refusal().expect("a refusal").clone();
    assert_eq!((refusal.reason, refusal.run), (RefusalReason::NoInstance, RunState::NotRun));
    let wait = refusal.retry_after.expect("a time to retry after");
    assert!(wait >= Duration::from_millis(900) && wait <= Duration::from_millis(1_800), "{wait:?}");
    harness.advance(wait);
    harness.send_request("/order/1", KEY);
    assert_eq!(harness.only_attempt().1, "i-0");
}

/// Guards against more than two requests within a pause, over random histories of three instances.
#[test]
fn pauses_hold_over_random_histories() {
    for seed in 1..=20 {
        let mut harness = Harness::new(3);
        let mut random = Random::new(seed);
        let mut sequence = 1;
        let mut paused_until = BTreeMap::<String, Duration>::new();
        for _ in 0..400 {
            let path = if random.next_f64() < 0.5 { "/lookup/1" } else { "/order/1" };
            harness.send_request(path, KEY);
            // A retry of the request is an attempt too.
            let mut pending = harness.attempts();
            while let Some((attempt, chosen)) = pending.pop() {
                let until = paused_until.get(&chosen).copied().unwrap_or_default();
                assert!(harness.now >= until, "seed {seed}: {chosen} is paused until {until:?}");
                if random.next_f64() < 0.2 {
                    let wait = Duration::from_secs_f64(0.1 + random.next_f64() * 3.0);
                    let until = harness.now + wait;
                    let longest = paused_until.entry(chosen).or_default();
                    *longest = (*longest).max(until);
                    harness.step(Event::Notice { attempt, notice: retry_after(wait) });
                    harness.finish(attempt, rejected());
                } else {
                    harness.finish(attempt, response(200, true));
                }
                pending.extend(harness.attempts());
            }
            if random.next_f64() < 0.05 {
                sequence += 1;
                harness.step(Event::InstanceRemoved("i-0".to_owned()));
                harness.step(Event::Instance(entry(1, sequence)));
            }
            harness.advance(Duration::from_millis(30));
        }
    }
}

#[test]
fn leaving_and_draining_are_independent() {
    let mut harness = Harness::new(2);
    let draining = Instance { state: InstanceState::Draining, ..entry(1, 2) };
    harness.step(Event::Instance(draining));
    assert_eq!(harness.reached(), names(&["i-1"]));
    harness.step(Event::Instance(entry(1, 3)));
    assert_eq!(harness.reached(), names(&["i-0", "i-1"]));
}
