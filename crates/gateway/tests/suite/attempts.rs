//! What comes of attempts: once or more than once, and what callers are told.

use std::time::Duration;

use ebonytack_core::{RefusalReason, RunState};
use ebonytack_gateway::{Effect, Event, Record};

use crate::support::{Bench, answer, failed, sent, turned_away};

const KEY: Option<&str> = Some("club-key");

#[test]
fn a_good_answer_is_delivered() {
    let mut bench = Bench::new(3);
    bench.ask("/order/1", KEY);
    let (attempt, _) = bench.only_sent();
    bench.end(attempt, answer(200, true));
    assert_eq!(bench.delivered(), Some(attempt));
    assert_eq!(bench.gateway.requests_in_flight(), 0);
}

#[test]
fn an_order_that_may_have_run_is_never_sent_again() {
    for result in [failed(true), answer(500, true), answer(200, false), answer(503, true)] {
        let mut bench = Bench::new(3);
        bench.ask("/order/1", KEY);
        let (attempt, _) = bench.only_sent();
        bench.end(attempt, result.clone());
        assert!(bench.sent().is_empty(), "{result:?}");
        if let Some(refusal) = bench.refusal() {
            assert_eq!(refusal.run, RunState::Unknown, "{result:?}");
            assert_eq!(refusal.reason, RefusalReason::UpstreamFailed, "{result:?}");
            assert_eq!(refusal.retry_after, None, "{result:?}");
        } else {
            assert_eq!(bench.delivered(), Some(attempt), "{result:?}");
        }
    }
}

#[test]
fn an_order_that_cannot_have_run_goes_to_another_instance() {
    for result in [failed(false), turned_away()] {
        let mut bench = Bench::new(3);
        // The service has earned a repeat.
        for _ in 0..40 {
            bench.ask("/lookup/1", KEY);
            let attempts = bench.sent();
            attempts.into_iter().for_each(|(id, _)| bench.end(id, answer(200, true)));
            bench.pass(Duration::from_millis(100));
        }
        bench.ask("/order/1", KEY);
        let (first, instance) = bench.only_sent();
        bench.end(first, result.clone());
        let (_, other) = bench.only_sent();
        assert_ne!(instance, other, "{result:?}");
    }
}

#[test]
fn an_order_that_all_instances_turned_away_is_refused_as_not_run() {
    let mut bench = Bench::new(1);
    bench.ask("/order/1", KEY);
    let (attempt, _) = bench.only_sent();
    bench.end(attempt, turned_away());
    let refusal = bench.refusal().expect("a refusal");
    assert_eq!((refusal.run, refusal.reason), (RunState::NotRun, RefusalReason::Overloaded));
    let wait = refusal.retry_after.expect("a time to come back");
    assert!(wait > Duration::ZERO && wait < Duration::from_secs(1));
}

#[test]
fn an_answer_that_looks_like_a_promise_is_not_passed_on_for_what_ran() {
    for status in [408, 421, 429, 503] {
        let mut bench = Bench::new(1);
        bench.ask("/order/1", KEY);
        let (attempt, _) = bench.only_sent();
        bench.end(attempt, answer(status, true));
        assert_eq!(bench.delivered(), None, "{status}");
        assert_eq!(bench.refusal().expect("a refusal").reason.status(), 502, "{status}");
    }
}

#[test]
fn a_failed_lookup_is_sent_to_another_instance_while_the_allowance_lasts() {
    let mut bench = Bench::new(3);
    bench.pass(Duration::from_secs(1));
    for _ in 0..20 {
        bench.ask("/lookup/1", KEY);
        let (attempt, _) = bench.only_sent();
        bench.end(attempt, answer(200, true));
        bench.pass(Duration::from_millis(50));
    }
    bench.ask("/lookup/1", KEY);
    let (first, instance) = bench.only_sent();
    bench.end(first, answer(500, true));
    let (second, other) = bench.only_sent();
    assert_ne!(instance, other);
    bench.end(second, answer(200, true));
    assert_eq!(bench.delivered(), Some(second));
}

#[test]
fn the_last_attempt_tries_no_instance_that_nobody_has_tried_for_a_while() {
    let mut bench = Bench::new(3);
    let mut ill = None;
    for _ in 0..30 {
        bench.ask("/lookup/1", KEY);
        let (attempt, chosen) = bench.only_sent();
        let ill = ill.get_or_insert_with(|| chosen.clone());
        let result = if chosen == *ill { answer(500, true) } else { answer(200, true) };
        bench.end(attempt, result);
        for (attempt, _) in bench.sent() {
            bench.end(attempt, answer(200, true));
        }
        bench.pass(Duration::from_millis(50));
    }
    bench.pass(Duration::from_secs(2));
    for _ in 0..10 {
        bench.ask("/lookup/1", KEY);
        let (first, chosen) = bench.only_sent();
        bench.end(first, answer(500, true));
        for (second, other) in bench.sent() {
            assert!(Some(&other) != ill.as_ref() || Some(&chosen) == ill.as_ref());
            bench.end(second, answer(200, true));
        }
    }
}

#[test]
fn a_caller_that_leaves_ends_lookups_and_no_orders() {
    let mut bench = Bench::new(3);
    let lookup = bench.ask("/lookup/1", KEY);
    let (attempt, _) = bench.only_sent();
    bench.feed(Event::CallerDisconnected { request: lookup });
    assert_eq!(bench.cancelled(), [attempt]);
    let order = bench.ask("/order/1", KEY);
    let (attempt, _) = bench.only_sent();
    bench.feed(Event::CallerDisconnected { request: order });
    assert!(bench.cancelled().is_empty());
    bench.end(attempt, answer(200, true));
    let discarded = |effect: &Effect| matches!(effect, Effect::Discard { .. });
    assert!(bench.effects.iter().any(discarded));
}

#[test]
fn a_request_has_its_final_answer_when_its_time_is_over() {
    let mut bench = Bench::new(1);
    bench.ask_within("/order/1", KEY, Duration::from_millis(800));
    let (attempt, _) = bench.only_sent();
    let seen = bench.pass(Duration::from_millis(820));
    let refusal = seen.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(refusal.clone()),
        _ => None,
    });
    let refusal = refusal.expect("a refusal");
    assert_eq!((refusal.reason.status(), refusal.run), (504, RunState::Unknown));
    let cancelled = seen.iter().any(|effect| matches!(effect, Effect::Cancel { .. }));
    assert!(!cancelled, "an order is left to end by itself");
    bench.end(attempt, answer(200, true));
    assert_eq!(bench.delivered(), None);
}

#[test]
fn a_silent_lookup_is_hedged_and_a_silent_order_is_not() {
    let mut bench = Bench::new(3);
    for _ in 0..20 {
        bench.ask("/lookup/1", KEY);
        let (attempt, _) = bench.only_sent();
        bench.end(attempt, answer(200, true));
        bench.pass(Duration::from_millis(50));
    }
    bench.ask("/order/1", KEY);
    assert!(sent(&bench.pass(Duration::from_millis(1_500))).is_empty());
    bench.ask("/lookup/1", KEY);
    let (first, instance) = bench.only_sent();
    let hedges = sent(&bench.pass(Duration::from_millis(1_500)));
    assert_eq!(hedges.len(), 1);
    assert_ne!(hedges[0].1, instance);
    bench.end(hedges[0].0, answer(200, true));
    assert_eq!(bench.delivered(), Some(hedges[0].0));
    assert_eq!(bench.cancelled(), [first]);
}

#[test]
fn each_decision_on_a_request_is_on_record_with_its_inputs() {
    let mut bench = Bench::new(1);
    bench.ask("/order/1", KEY);
    let placed = bench.records();
    let inputs = placed.iter().find_map(|record| match record {
        Record::Placed { request, revision, in_flight, .. } => Some((request, revision, in_flight)),
        _ => None,
    });
    assert_eq!(inputs, Some((&"caller-1".to_owned(), &1, &0.0)));
    let (attempt, _) = bench.only_sent();
    bench.end(attempt, failed(true));
    let records = bench.records();
    assert!(records.iter().any(|r| matches!(r, Record::AttemptFailed { may_have_run: true, .. })));
    assert!(
        records.iter().any(|r| matches!(r, Record::Refused { outcome: RunState::Unknown, .. }))
    );
}
