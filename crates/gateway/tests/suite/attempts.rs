//! Tests of attempt results: delivery, retries, hedging and refusals.

use std::time::Duration;

use ebonytack_core::{RefusalReason, RunState};
use ebonytack_gateway::{Effect, Event, Record};

use crate::support::{Harness, attempts, failed, rejected, response};

const KEY: Option<&str> = Some("club-key");

#[test]
fn successful_response_is_delivered() {
    let mut harness = Harness::new(3);
    harness.send_request("/order/1", KEY);
    let (attempt, _) = harness.only_attempt();
    harness.finish(attempt, response(200, true));
    assert_eq!(harness.delivered(), Some(attempt));
    assert_eq!(harness.gateway.requests_in_flight(), 0);
}

#[test]
fn non_idempotent_request_that_may_have_run_is_not_retried() {
    for result in [failed(true), response(500, true), response(200, false), response(503, true)] {
        let mut harness = Harness::new(3);
        harness.send_request("/order/1", KEY);
        let (attempt, _) = harness.only_attempt();
        harness.finish(attempt, result.clone());
        assert!(harness.attempts().is_empty(), "{result:?}");
        if let Some(refusal) = harness.refusal() {
            assert_eq!(refusal.run, RunState::Unknown, "{result:?}");
            assert_eq!(refusal.reason, RefusalReason::UpstreamFailed, "{result:?}");
            assert_eq!(refusal.retry_after, None, "{result:?}");
        } else {
            assert_eq!(harness.delivered(), Some(attempt), "{result:?}");
        }
    }
}

#[test]
fn non_idempotent_request_that_cannot_have_run_is_retried() {
    for result in [failed(false), rejected()] {
        let mut harness = Harness::new(3);
        // Successful requests build up the retry budget of the service.
        for _ in 0..40 {
            harness.send_request("/lookup/1", KEY);
            let attempts = harness.attempts();
            attempts.into_iter().for_each(|(id, _)| harness.finish(id, response(200, true)));
            harness.advance(Duration::from_millis(100));
        }
        harness.send_request("/order/1", KEY);
        let (first, instance) = harness.only_attempt();
        harness.finish(first, result.clone());
        let (_, other) = harness.only_attempt();
        assert_ne!(instance, other, "{result:?}");
    }
}

#[test]
fn request_rejected_by_all_instances_is_refused_as_not_run() {
    let mut harness = Harness::new(1);
    harness.send_request("/order/1", KEY);
    let (attempt, _) = harness.only_attempt();
    harness.finish(attempt, rejected());
    let refusal = harness.refusal().expect("a refusal");
    assert_eq!((refusal.run, refusal.reason), (RunState::NotRun, RefusalReason::Overloaded));
    let retry_after = refusal.retry_after.expect("a retry delay");
    assert!(retry_after > Duration::ZERO && retry_after < Duration::from_secs(1));
}

#[test]
fn response_status_that_implies_not_run_is_not_delivered() {
    for status in [408, 421, 429, 503] {
        let mut harness = Harness::new(1);
        harness.send_request("/order/1", KEY);
        let (attempt, _) = harness.only_attempt();
        harness.finish(attempt, response(status, true));
        assert_eq!(harness.delivered(), None, "{status}");
        assert_eq!(harness.refusal().expect("a refusal").reason.status(), 502, "{status}");
    }
}

#[test]
fn failed_idempotent_request_is_retried_within_the_budget() {
    let mut harness = Harness::new(3);
    harness.advance(Duration::from_secs(1));
    for _ in 0..20 {
        harness.send_request("/lookup/1", KEY);
        let (attempt, _) = harness.only_attempt();
        harness.finish(attempt, response(200, true));
        harness.advance(Duration::from_millis(50));
    }
    harness.send_request("/lookup/1", KEY);
    let (first, instance) = harness.only_attempt();
    harness.finish(first, response(500, true));
    let (second, other) = harness.only_attempt();
    assert_ne!(instance, other);
    harness.finish(second, response(200, true));
    assert_eq!(harness.delivered(), Some(second));
}

#[test]
fn last_attempt_does_not_explore_stale_instances() {
    let mut harness = Harness::new(3);
    let mut failing = None;
    for _ in 0..30 {
        harness.send_request("/lookup/1", KEY);
        let (attempt, chosen) = harness.only_attempt();
        let failing = failing.get_or_insert_with(|| chosen.clone());
        let result = if chosen == *failing { response(500, true) } else { response(200, true) };
        harness.finish(attempt, result);
        for (attempt, _) in harness.attempts() {
            harness.finish(attempt, response(200, true));
        }
        harness.advance(Duration::from_millis(50));
    }
    harness.advance(Duration::from_secs(2));
    for _ in 0..10 {
        harness.send_request("/lookup/1", KEY);
        let (first, chosen) = harness.only_attempt();
        harness.finish(first, response(500, true));
        for (second, other) in harness.attempts() {
            assert!(Some(&other) != failing.as_ref() || Some(&chosen) == failing.as_ref());
            harness.finish(second, response(200, true));
        }
    }
}

#[test]
fn caller_disconnect_cancels_idempotent_attempts_only() {
    let mut harness = Harness::new(3);
    let lookup = harness.send_request("/lookup/1", KEY);
    let (attempt, _) = harness.only_attempt();
    harness.step(Event::CallerDisconnected { request: lookup });
    assert_eq!(harness.cancelled(), [attempt]);
    let order = harness.send_request("/order/1", KEY);
    let (attempt, _) = harness.only_attempt();
    harness.step(Event::CallerDisconnected { request: order });
    assert!(harness.cancelled().is_empty());
    harness.finish(attempt, response(200, true));
    let discarded = |effect: &Effect| matches!(effect, Effect::Discard { .. });
    assert!(harness.effects.iter().any(discarded));
}

#[test]
fn request_is_refused_at_its_deadline() {
    let mut harness = Harness::new(1);
    harness.send_request_with_timeout("/order/1", KEY, Duration::from_millis(800));
    let (attempt, _) = harness.only_attempt();
    let effects = harness.advance(Duration::from_millis(820));
    let refusal = effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(refusal.clone()),
        _ => None,
    });
    let refusal = refusal.expect("a refusal");
    assert_eq!((refusal.reason.status(), refusal.run), (504, RunState::Unknown));
    let cancelled = effects.iter().any(|effect| matches!(effect, Effect::Cancel { .. }));
    assert!(!cancelled, "attempts of a non-idempotent request run to completion");
    harness.finish(attempt, response(200, true));
    assert_eq!(harness.delivered(), None);
}

#[test]
fn only_idempotent_requests_are_hedged() {
    let mut harness = Harness::new(3);
    for _ in 0..20 {
        harness.send_request("/lookup/1", KEY);
        let (attempt, _) = harness.only_attempt();
        harness.finish(attempt, response(200, true));
        harness.advance(Duration::from_millis(50));
    }
    harness.send_request("/order/1", KEY);
    assert!(attempts(&harness.advance(Duration::from_millis(1_500))).is_empty());
    harness.send_request("/lookup/1", KEY);
    let (first, instance) = harness.only_attempt();
    let hedges = attempts(&harness.advance(Duration::from_millis(1_500)));
    assert_eq!(hedges.len(), 1);
    assert_ne!(hedges[0].1, instance);
    harness.finish(hedges[0].0, response(200, true));
    assert_eq!(harness.delivered(), Some(hedges[0].0));
    assert_eq!(harness.cancelled(), [first]);
}

#[test]
fn decisions_are_recorded_with_their_inputs() {
    let mut harness = Harness::new(1);
    harness.send_request("/order/1", KEY);
    let placed = harness.records();
    let inputs = placed.iter().find_map(|record| match record {
        Record::Placed { request, revision, in_flight, .. } => Some((request, revision, in_flight)),
        _ => None,
    });
    assert_eq!(inputs, Some((&"caller-1".to_owned(), &1, &0.0)));
    let (attempt, _) = harness.only_attempt();
    harness.finish(attempt, failed(true));
    let records = harness.records();
    assert!(records.iter().any(|r| matches!(r, Record::AttemptFailed { may_have_run: true, .. })));
    assert!(
        records.iter().any(|r| matches!(r, Record::Refused { outcome: RunState::Unknown, .. }))
    );
}
