//! What the store says, and what holds while it is away.

use std::time::Duration;

use ebonytack_core::RefusalReason;
use ebonytack_gateway::{Effect, Event, InstanceState};

use crate::support::{Bench, answer, configuration, instance, member};

const KEY: Option<&str> = Some("club-key");

#[test]
fn a_host_without_configuration_is_not_ready_and_asks_callers_to_come_back() {
    let mut bench = Bench::empty("host-1");
    assert!(!bench.gateway.is_ready());
    bench.ask("/order/1", KEY);
    let refusal = bench.refusal().expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::NoConfiguration);
    assert_eq!(refusal.reason.status(), 503);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut bench = Bench::new(1);
    bench.feed(Event::Configuration(Box::new(configuration(5))));
    bench.feed(Event::Configuration(Box::new(configuration(4))));
    assert_eq!(bench.gateway.configuration().expect("one").revision, 5);
}

#[test]
fn keys_decide_who_is_let_in() {
    let mut bench = Bench::new(1);
    for (path, key, status) in [
        ("/order/1", None, 401),
        ("/order/1", Some("unknown"), 401),
        ("/nowhere/1", KEY, 404),
        ("/ord", KEY, 404),
    ] {
        bench.ask(path, key);
        assert_eq!(bench.refusal().map(|r| r.reason.status()), Some(status), "{path} {key:?}");
    }
    bench.ask("/open/1", None);
    bench.only_sent();
}

#[test]
fn a_leaving_instance_gets_no_new_work() {
    let mut bench = Bench::new(2);
    let leaving = InstanceState::Draining;
    bench.feed(Event::Instance(ebonytack_gateway::Instance { state: leaving, ..instance(0) }));
    for _ in 0..20 {
        bench.ask("/order/1", KEY);
        let (attempt, chosen) = bench.only_sent();
        assert_eq!(chosen, "i-1");
        bench.end(attempt, answer(200, true));
    }
}

#[test]
fn an_entry_that_vanished_with_the_store_is_held_until_it_had_time_to_come_back() {
    let mut bench = Bench::new(1);
    bench.feed(Event::StoreUnreachable);
    bench.feed(Event::InstanceRemoved("i-0".to_owned()));
    bench.ask("/order/1", KEY);
    bench.only_sent();
    bench.pass(Duration::from_secs(5));
    bench.feed(Event::StoreReachable { reachable_for: Duration::ZERO });
    bench.feed(Event::AllInstances(Vec::new()));
    bench.pass(Duration::from_millis(1_500));
    bench.ask("/order/1", KEY);
    bench.only_sent();
    bench.pass(Duration::from_millis(500));
    bench.ask("/order/1", KEY);
    assert_eq!(bench.refusal().map(|r| r.reason), Some(RefusalReason::NoInstance));
}

#[test]
fn an_entry_that_came_back_stays() {
    let mut bench = Bench::new(1);
    bench.feed(Event::StoreUnreachable);
    bench.feed(Event::InstanceRemoved("i-0".to_owned()));
    bench.feed(Event::StoreReachable { reachable_for: Duration::ZERO });
    bench.feed(Event::Instance(instance(0)));
    bench.pass(Duration::from_secs(5));
    bench.ask("/order/1", KEY);
    bench.only_sent();
}

#[test]
fn an_entry_that_is_removed_while_the_store_is_well_is_gone_at_once() {
    let mut bench = Bench::new(1);
    bench.feed(Event::InstanceRemoved("i-0".to_owned()));
    let closed = |effect: &Effect| matches!(effect, Effect::CloseConnections { .. });
    assert!(bench.effects.iter().any(closed));
    bench.ask("/order/1", KEY);
    assert_eq!(bench.refusal().map(|r| r.reason), Some(RefusalReason::NoInstance));
}

#[test]
fn a_new_process_under_an_old_name_starts_without_a_past() {
    let mut bench = Bench::new(1);
    for _ in 0..5 {
        bench.ask("/order/1", KEY);
        let (attempt, _) = bench.only_sent();
        bench.end(attempt, answer(500, true));
    }
    let reborn = ebonytack_gateway::Instance { started_at_unix_ms: 2, ..instance(0) };
    bench.feed(Event::Instance(reborn));
    bench.ask("/order/1", KEY);
    let placed = bench.records().into_iter().find_map(|record| match record {
        ebonytack_gateway::Record::Placed { failure_percent, .. } => Some(failure_percent),
        _ => None,
    });
    assert_eq!(placed, Some(2), "only what is expected of any instance");
}

#[test]
fn a_stop_ends_when_the_last_request_has_its_answer() {
    let mut bench = Bench::new(1);
    bench.ask("/order/1", KEY);
    let (attempt, _) = bench.only_sent();
    bench.feed(Event::Stop);
    assert!(!bench.gateway.is_ready());
    let stopped = |effects: &[Effect]| effects.iter().any(|e| matches!(e, Effect::Stopped));
    assert!(!stopped(&bench.effects));
    bench.end(attempt, answer(200, true));
    assert_eq!(bench.delivered(), Some(attempt));
    assert!(stopped(&bench.effects));
}

#[test]
fn members_that_are_silent_for_long_are_removed_by_one_host() {
    let mut bench = Bench::new(1);
    bench.feed(Event::Member(member("host-2")));
    let removed = |effects: &[Effect]| {
        effects.iter().any(|e| matches!(e, Effect::RemoveMember { name } if name == "host-2"))
    };
    assert!(!removed(&bench.pass(Duration::from_secs(14))));
    assert!(removed(&bench.pass(Duration::from_secs(8))));
}

#[test]
fn an_entry_whose_address_another_instance_has_is_not_used_until_it_changes() {
    let mut bench = Bench::new(1);
    bench.ask("/lookup/1", KEY);
    let (attempt, _) = bench.only_sent();
    let moved = ebonytack_gateway::AttemptResult::Rejected { wrong_instance: true, load: None };
    bench.end(attempt, moved);
    bench.ask("/lookup/1", KEY);
    assert_eq!(bench.refusal().map(|r| r.reason), Some(RefusalReason::NoInstance));
    bench.feed(Event::Instance(instance(0)));
    bench.ask("/lookup/1", KEY);
    bench.only_sent();
}

#[test]
fn an_entry_that_vanished_while_only_the_path_was_lost_is_gone() {
    let mut bench = Bench::new(2);
    bench.feed(Event::StoreUnreachable);
    bench.pass(Duration::from_millis(500));
    bench.feed(Event::StoreReachable { reachable_for: Duration::MAX });
    bench.feed(Event::InstanceRemoved("i-0".to_owned()));
    // The path is lost again before entries could have come back.
    bench.feed(Event::StoreUnreachable);
    for _ in 0..8 {
        bench.ask("/order/1", Some("club-key"));
        assert_eq!(bench.only_sent().1, "i-1");
    }
}
