//! Tests of input from the store, and of decisions while it is unreachable.

use std::time::Duration;

use ebonytack_core::{RefusalReason, RunState};
use ebonytack_gateway::{Effect, Event, Instance, InstanceState};

use crate::support::{
    Harness, configuration, configuration_without_customers, instance, member, response,
};

const KEY: Option<&str> = Some("club-key");

#[test]
fn host_without_configuration_is_not_ready_and_sends_retry_after() {
    let mut harness = Harness::empty("host-1");
    assert!(!harness.gateway.is_ready());
    harness.send_request("/order/1", KEY);
    let refusal = harness.refusal().expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::NoConfiguration);
    assert_eq!(refusal.reason.status(), 503);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn older_configuration_is_ignored() {
    let mut harness = Harness::new(1);
    harness.step(Event::Configuration(Box::new(configuration(5))));
    harness.step(Event::Configuration(Box::new(configuration(4))));
    assert_eq!(harness.gateway.configuration().expect("a configuration").revision, 5);
}

#[test]
fn requests_without_route_or_valid_key_are_refused() {
    let mut harness = Harness::new(1);
    for (path, key, status) in [
        ("/order/1", None, 401),
        ("/order/1", Some("unknown"), 401),
        ("/nowhere/1", KEY, 404),
        ("/ord", KEY, 404),
    ] {
        harness.send_request(path, key);
        assert_eq!(harness.refusal().map(|r| r.reason.status()), Some(status), "{path} {key:?}");
    }
    harness.send_request("/open/1", None);
    harness.only_attempt();
}

/// Guards against a withdrawal of the last customer that opens all routes.
#[test]
fn configuration_without_customers_refuses_requests_if_it_requires_keys() {
    let mut harness = Harness::new(1);
    let mut withdrawn = configuration_without_customers(2);
    withdrawn.require_keys();
    harness.step(Event::Configuration(Box::new(withdrawn)));
    for key in [None, KEY, Some("never-held")] {
        harness.send_request("/order/1", key);
        assert_eq!(harness.refusal().map(|r| r.reason), Some(RefusalReason::KeyMissing), "{key:?}");
    }
    harness.send_request("/open/1", None);
    harness.only_attempt();
}

#[test]
fn draining_instance_receives_no_new_requests() {
    let mut harness = Harness::new(2);
    let draining = InstanceState::Draining;
    harness.step(Event::Instance(Instance { state: draining, ..instance(0) }));
    for _ in 0..20 {
        harness.send_request("/order/1", KEY);
        let (attempt, chosen) = harness.only_attempt();
        assert_eq!(chosen, "i-1");
        harness.finish(attempt, response(200, true));
    }
}

fn entry(index: usize, started_at_unix_ms: u64, sequence: u64, state: InstanceState) -> Instance {
    Instance { started_at_unix_ms, sequence, state, ..instance(index) }
}

/// Returns which of the instances `i-0` and `i-1` receive requests.
fn used_instances(harness: &mut Harness) -> Vec<String> {
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..20 {
        harness.send_request("/order/1", KEY);
        for (attempt, chosen) in harness.attempts() {
            used.insert(chosen);
            harness.finish(attempt, response(200, true));
        }
    }
    used.into_iter().collect()
}

/// Guards against a write that the store performs late and that brings a draining instance back.
#[test]
fn late_entry_does_not_replace_a_newer_one_of_the_same_process() {
    let mut harness = Harness::new(2);
    harness.step(Event::Instance(entry(0, 1, 3, InstanceState::Draining)));
    harness.step(Event::Instance(entry(0, 1, 2, InstanceState::Ready)));
    assert_eq!(used_instances(&mut harness), ["i-1"]);
    let late = vec![entry(0, 1, 2, InstanceState::Ready), instance(1)];
    harness.step(Event::AllInstances(late));
    assert_eq!(used_instances(&mut harness), ["i-1"]);
    harness.step(Event::Instance(entry(0, 1, 4, InstanceState::Ready)));
    assert_eq!(used_instances(&mut harness), ["i-0", "i-1"]);
}

/// Guards against a write that the store performs after the instance's entry was removed.
#[test]
fn late_entry_does_not_bring_a_removed_instance_back() {
    let mut harness = Harness::new(2);
    harness.step(Event::Instance(entry(0, 1, 3, InstanceState::Draining)));
    harness.step(Event::InstanceRemoved("i-0".to_owned()));
    harness.step(Event::Instance(entry(0, 1, 2, InstanceState::Ready)));
    assert_eq!(used_instances(&mut harness), ["i-1"]);
    // A process that registers again after its entry has expired continues to count.
    harness.step(Event::Instance(entry(0, 1, 4, InstanceState::Ready)));
    assert_eq!(used_instances(&mut harness), ["i-0", "i-1"]);
}

/// Guards against a late write of an ended process that replaces the entry of its successor.
#[test]
fn late_entry_of_an_ended_process_does_not_replace_that_of_its_successor() {
    let mut harness = Harness::new(2);
    harness.step(Event::Instance(entry(0, 7, 1, InstanceState::Draining)));
    harness.step(Event::Instance(entry(0, 1, 9, InstanceState::Ready)));
    assert_eq!(used_instances(&mut harness), ["i-1"]);
}

/// Guards against a lost instance: the clock of its machine went back before it was started again.
#[test]
fn entry_with_an_earlier_start_is_used_when_no_newer_one_follows() {
    let mut harness = Harness::new(2);
    harness.step(Event::Instance(entry(0, 7, 5, InstanceState::Draining)));
    harness.step(Event::Instance(entry(0, 6, 1, InstanceState::Ready)));
    harness.advance(Duration::from_secs(20));
    assert_eq!(used_instances(&mut harness), ["i-1"]);
    harness.advance(Duration::from_secs(20));
    assert_eq!(used_instances(&mut harness), ["i-0", "i-1"]);
}

/// Guards against an ended process that counts as alive because its late write was the last one.
#[test]
fn ignored_entry_is_not_used_after_its_row_was_removed() {
    let mut harness = Harness::new(2);
    harness.step(Event::Instance(entry(0, 7, 5, InstanceState::Draining)));
    harness.step(Event::Instance(entry(0, 6, 1, InstanceState::Ready)));
    harness.step(Event::InstanceRemoved("i-0".to_owned()));
    harness.advance(Duration::from_secs(40));
    assert_eq!(used_instances(&mut harness), ["i-1"]);
}

/// Guards against a host that ends, or stops reading entries, at numbers that no writer means.
#[test]
fn entries_with_extreme_numbers_do_not_stop_the_reducer() {
    let mut harness = Harness::new(1);
    harness.now = Duration::from_secs(3_600);
    let extreme = Instance {
        id: "odd".to_owned(),
        slots: u32::MAX,
        warm_up_left: Duration::from_secs_f64(18_446_744_073_709_549_568.0),
        ..entry(1, u64::MAX, u64::MAX, InstanceState::Ready)
    };
    harness.step(Event::Instance(extreme.clone()));
    harness.step(Event::AllInstances(vec![instance(0), extreme]));
    harness.step(Event::InstanceRemoved("odd".to_owned()));
    assert_eq!(used_instances(&mut harness), ["i-0"]);
}

#[test]
fn instance_removed_during_store_outage_is_kept_for_the_grace_period() {
    let mut harness = Harness::new(1);
    harness.step(Event::StoreUnreachable);
    harness.step(Event::InstanceRemoved("i-0".to_owned()));
    harness.send_request("/order/1", KEY);
    harness.only_attempt();
    harness.advance(Duration::from_secs(5));
    harness.step(Event::StoreReachable { reachable_for: Duration::ZERO });
    harness.step(Event::AllInstances(Vec::new()));
    harness.advance(Duration::from_millis(1_500));
    harness.send_request("/order/1", KEY);
    harness.only_attempt();
    harness.advance(Duration::from_millis(500));
    harness.send_request("/order/1", KEY);
    assert_eq!(harness.refusal().map(|r| r.reason), Some(RefusalReason::NoInstance));
}

#[test]
fn instance_that_registers_again_after_store_outage_is_kept() {
    let mut harness = Harness::new(1);
    harness.step(Event::StoreUnreachable);
    harness.step(Event::InstanceRemoved("i-0".to_owned()));
    harness.step(Event::StoreReachable { reachable_for: Duration::ZERO });
    harness.step(Event::Instance(instance(0)));
    harness.advance(Duration::from_secs(5));
    harness.send_request("/order/1", KEY);
    harness.only_attempt();
}

#[test]
fn instance_removed_while_store_is_reachable_is_dropped() {
    let mut harness = Harness::new(1);
    harness.step(Event::InstanceRemoved("i-0".to_owned()));
    let closed = |effect: &Effect| matches!(effect, Effect::CloseConnections { .. });
    assert!(harness.effects.iter().any(closed));
    harness.send_request("/order/1", KEY);
    assert_eq!(harness.refusal().map(|r| r.reason), Some(RefusalReason::NoInstance));
}

#[test]
fn restarted_instance_starts_with_empty_counts() {
    let mut harness = Harness::new(1);
    for _ in 0..5 {
        harness.send_request("/order/1", KEY);
        let (attempt, _) = harness.only_attempt();
        harness.finish(attempt, response(500, true));
    }
    let restarted = Instance { started_at_unix_ms: 2, ..instance(0) };
    harness.step(Event::Instance(restarted));
    harness.send_request("/order/1", KEY);
    let placed = harness.records().into_iter().find_map(|record| match record {
        ebonytack_gateway::Record::Placed { failure_percent, .. } => Some(failure_percent),
        _ => None,
    });
    assert_eq!(placed, Some(2), "the default of an instance without attempts");
}

#[test]
fn shutdown_completes_after_the_last_request() {
    let mut harness = Harness::new(1);
    harness.send_request("/order/1", KEY);
    let (attempt, _) = harness.only_attempt();
    harness.step(Event::Stop { exit_within: Duration::from_secs(3) });
    assert!(!harness.gateway.is_ready());
    let stopped = |effects: &[Effect]| effects.iter().any(|e| matches!(e, Effect::Stopped));
    assert!(!stopped(&harness.effects));
    harness.finish(attempt, response(200, true));
    assert_eq!(harness.delivered(), Some(attempt));
    assert!(stopped(&harness.effects));
}

/// Guards against orders that a stopping host sends to an instance and cannot wait for.
#[test]
fn stopping_host_refuses_requests_whose_deadline_is_later_than_its_exit() {
    let mut harness = Harness::new(1);
    harness.step(Event::Stop { exit_within: Duration::from_millis(2_500) });
    harness.send_request_with_timeout("/order/1", KEY, Duration::from_secs(2));
    harness.only_attempt();
    harness.advance(Duration::from_secs(1));
    harness.send_request_with_timeout("/order/1", KEY, Duration::from_secs(2));
    let refusal = harness.refusal().expect("a refusal");
    assert_eq!((refusal.reason, refusal.run), (RefusalReason::Stopping, RunState::NotRun));
    assert!(refusal.retry_after.is_some());
    assert!(harness.attempts().is_empty());
}

/// Guards against requests that a stopping host leaves without a response when it exits.
#[test]
fn stopping_host_refuses_what_is_in_flight_at_its_exit() {
    let mut harness = Harness::new(2);
    for path in ["/order/1", "/lookup/1"] {
        harness.send_request(path, KEY);
        harness.only_attempt();
    }
    harness.step(Event::Stop { exit_within: Duration::from_secs(1) });
    assert!(refusals(&harness.advance(Duration::from_millis(990))).is_empty());
    let refused = refusals(&harness.advance(Duration::from_millis(20)));
    assert_eq!(refused, [(502, RunState::Unknown), (502, RunState::Unknown)]);
    // A request that is read only now has not run.
    harness.send_request("/order/1", KEY);
    let refusal = harness.refusal().expect("a refusal");
    assert_eq!((refusal.reason, refusal.run), (RefusalReason::Stopping, RunState::NotRun));
}

fn refusals(effects: &[Effect]) -> Vec<(u16, RunState)> {
    let refusals = effects.iter().filter_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some((refusal.reason.status(), refusal.run)),
        _ => None,
    });
    refusals.collect()
}

#[test]
fn members_without_reports_are_removed_after_the_timeout() {
    let mut harness = Harness::new(1);
    harness.step(Event::Member(member("host-2")));
    let removed = |effects: &[Effect]| {
        effects.iter().any(|e| matches!(e, Effect::RemoveMember { name } if name == "host-2"))
    };
    assert!(!removed(&harness.advance(Duration::from_secs(14))));
    assert!(removed(&harness.advance(Duration::from_secs(8))));
}

#[test]
fn reused_address_is_avoided_until_the_instance_entry_changes() {
    let mut harness = Harness::new(1);
    harness.send_request("/lookup/1", KEY);
    let (attempt, _) = harness.only_attempt();
    let rejected = ebonytack_gateway::AttemptResult::Rejected { wrong_instance: true, load: None };
    harness.finish(attempt, rejected);
    harness.send_request("/lookup/1", KEY);
    assert_eq!(harness.refusal().map(|r| r.reason), Some(RefusalReason::NoInstance));
    harness.step(Event::Instance(instance(0)));
    harness.send_request("/lookup/1", KEY);
    harness.only_attempt();
}

/// Guards against an instance that one false response takes out of use for good, since its entry only
/// changes with its state.
#[test]
fn instance_with_a_false_wrong_instance_response_is_used_again() {
    let mut harness = Harness::new(1);
    harness.send_request("/lookup/1", KEY);
    let (attempt, _) = harness.only_attempt();
    let rejected = ebonytack_gateway::AttemptResult::Rejected { wrong_instance: true, load: None };
    harness.finish(attempt, rejected);
    // The entry of an instance that has ended is removed after three intervals of 1.5 s.
    for _ in 0..45 {
        harness.send_request("/lookup/1", KEY);
        assert_eq!(harness.refusal().map(|r| r.reason), Some(RefusalReason::NoInstance));
        harness.advance(Duration::from_millis(100));
    }
    harness.advance(Duration::from_secs(1));
    harness.send_request("/lookup/1", KEY);
    harness.only_attempt();
}

#[test]
fn instance_removed_after_a_local_store_outage_is_dropped() {
    let mut harness = Harness::new(2);
    harness.step(Event::StoreUnreachable);
    harness.advance(Duration::from_millis(500));
    harness.step(Event::StoreReachable { reachable_for: Duration::MAX });
    harness.step(Event::InstanceRemoved("i-0".to_owned()));
    // The store is lost again within the grace period. It was reachable for the peer throughout,
    // so the removed instance must not be used again.
    harness.step(Event::StoreUnreachable);
    for _ in 0..8 {
        harness.send_request("/order/1", Some("club-key"));
        assert_eq!(harness.only_attempt().1, "i-1");
    }
}

/// Feeds the list of a store that was restored from a copy.
fn restore(harness: &mut Harness, instances: Vec<Instance>) {
    harness.step(Event::StoreRestored { era: 2 });
    harness.step(Event::AllInstances(instances));
}

/// Guards against an instance that is given up because the restored store lacks its entry for a moment.
#[test]
fn entry_that_a_restored_store_lacks_stays_in_use_until_it_is_written_again() {
    let mut harness = Harness::new(2);
    restore(&mut harness, vec![instance(0)]);
    harness.advance(Duration::from_millis(1_000));
    assert_eq!(used_instances(&mut harness), ["i-0", "i-1"]);
    // The row is the lost one, written once more.
    harness.step(Event::Instance(instance(1)));
    harness.advance(Duration::from_secs(60));
    assert_eq!(used_instances(&mut harness), ["i-0", "i-1"]);
}

/// Guards against requests to an instance that has left: its entry is missing for good, or is removed
/// after the restore.
#[test]
fn instance_that_does_not_write_its_lost_entry_again_is_removed() {
    let mut harness = Harness::new(3);
    restore(&mut harness, vec![instance(0), instance(1)]);
    harness.step(Event::InstanceRemoved("i-1".to_owned()));
    assert_eq!(used_instances(&mut harness), ["i-0", "i-2"], "a removal of the later era counts");
    harness.advance(Duration::from_millis(1_900));
    assert_eq!(used_instances(&mut harness), ["i-0"]);
}

/// Guards against new requests to an instance whose removal the restored store has lost.
#[test]
fn removed_instance_whose_entry_a_restored_store_holds_is_not_used() {
    for sequence in [2, 3] {
        let mut harness = Harness::new(2);
        harness.step(Event::Instance(entry(0, 1, 3, InstanceState::Ready)));
        harness.step(Event::InstanceRemoved("i-0".to_owned()));
        restore(&mut harness, vec![entry(0, 1, sequence, InstanceState::Ready), instance(1)]);
        assert_eq!(used_instances(&mut harness), ["i-1"]);
        harness.advance(Duration::from_millis(1_000));
        assert_eq!(used_instances(&mut harness), ["i-1"]);
        // The removal is written again.
        harness.step(Event::InstanceRemoved("i-0".to_owned()));
        harness.advance(Duration::from_secs(60));
        assert_eq!(used_instances(&mut harness), ["i-1"]);
    }
}

/// Guards against an instance that is never used again: its entry had expired between the copy and the
/// restore, and the store keeps the copy's, which does not change.
#[test]
fn entry_that_a_restored_store_keeps_is_used_in_the_end() {
    for sequence in [2, 3] {
        let mut harness = Harness::new(2);
        harness.step(Event::Instance(entry(0, 1, 3, InstanceState::Ready)));
        harness.step(Event::InstanceRemoved("i-0".to_owned()));
        restore(&mut harness, vec![entry(0, 1, sequence, InstanceState::Ready), instance(1)]);
        harness.advance(Duration::from_millis(1_900));
        assert_eq!(used_instances(&mut harness), ["i-0", "i-1"], "sequence {sequence}");
    }
}

/// Guards against a draining instance that gets requests because the restored store has its earlier
/// entry, and against a withdrawn key that the copy's configuration brings back.
#[test]
fn restored_store_takes_back_neither_draining_nor_the_configuration_in_force() {
    let mut harness = Harness::new(2);
    harness.step(Event::Configuration(Box::new(configuration(5))));
    harness.step(Event::Instance(entry(0, 1, 3, InstanceState::Draining)));
    restore(&mut harness, vec![entry(0, 1, 2, InstanceState::Ready), instance(1)]);
    harness.step(Event::Configuration(Box::new(configuration(4))));
    harness.advance(Duration::from_secs(10));
    assert_eq!(used_instances(&mut harness), ["i-1"]);
    assert_eq!(harness.gateway.configuration().expect("a configuration").revision, 5);
    harness.step(Event::Configuration(Box::new(configuration(6))));
    assert_eq!(harness.gateway.configuration().expect("a configuration").revision, 6);
}

/// Guards against a second restore that ends the grace period of the first, or an outage that does.
#[test]
fn each_restore_begins_a_grace_period_of_its_own() {
    let mut harness = Harness::new(2);
    restore(&mut harness, vec![instance(0)]);
    harness.advance(Duration::from_millis(1_500));
    restore(&mut harness, vec![instance(0)]);
    harness.step(Event::StoreUnreachable);
    harness.step(Event::StoreReachable { reachable_for: Duration::from_secs(1) });
    harness.advance(Duration::from_millis(1_500));
    assert_eq!(used_instances(&mut harness), ["i-0", "i-1"]);
    harness.advance(Duration::from_millis(500));
    assert_eq!(used_instances(&mut harness), ["i-0"]);
}
