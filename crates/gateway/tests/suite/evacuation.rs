//! Tests of the evacuation of data centres.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebonytack_core::{Random, RefusalReason, RunState};
use ebonytack_gateway::{Era, Event, Instance, Position, Record};
use quickcheck::{QuickCheck, TestResult};

use crate::support::{Harness, attempts, configuration, failed, instance, member, response};

const KEY: Option<&str> = Some("club-key");
const ALL_EVACUATED: &str = "all instances that accept requests are in evacuated data centres";

fn instance_in(index: usize, data_centre: &str) -> Instance {
    Instance { data_centre: data_centre.to_owned(), ..instance(index) }
}

/// Returns a host in `a` with one instance in each of these data centres, named `i-0` and so on.
fn harness(data_centres: &[&str]) -> Harness {
    let mut harness = Harness::new(0);
    let instances = data_centres.iter().enumerate().map(|(i, name)| instance_in(i, name));
    harness.step(Event::AllInstances(instances.collect()));
    harness
}

fn row(data_centre: &str, evacuated: bool, version: u64) -> Event {
    row_in(1, data_centre, evacuated, version)
}

fn row_in(era: Era, data_centre: &str, evacuated: bool, version: u64) -> Event {
    let position = Position { era, version };
    Event::Evacuation { data_centre: data_centre.to_owned(), evacuated, position }
}

fn snapshot(data_centres: &[&str], version: u64) -> Event {
    snapshot_in(1, data_centres, version)
}

fn snapshot_in(era: Era, data_centres: &[&str], version: u64) -> Event {
    let data_centres = data_centres.iter().map(|name| (*name).to_owned()).collect();
    Event::AllEvacuations { data_centres, position: Position { era, version } }
}

/// Sends requests at the same time, so that the load spreads, and returns the instances that get
/// one.
fn used(harness: &mut Harness) -> BTreeSet<String> {
    let mut sent = Vec::new();
    for path in ["/lookup/1", "/order/1"].repeat(6) {
        harness.send_request(path, KEY);
        sent.extend(harness.attempts());
    }
    for (attempt, _) in &sent {
        harness.finish(*attempt, response(200, true));
    }
    sent.into_iter().map(|(_, instance)| instance).collect()
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Guards against an evacuation that is ignored, also of the host's own data centre, or that ends
/// no more.
#[test]
fn evacuated_instances_receive_no_requests_until_the_row_is_removed() {
    for (evacuated, rest) in [("a", "i-1"), ("b", "i-0")] {
        let mut harness = harness(&["a", "b"]);
        harness.step(row(evacuated, true, 5));
        let data_centre = evacuated.to_owned();
        let record = Record::EvacuationChanged { data_centre, evacuated: true, era: 1, version: 5 };
        assert_eq!(harness.records(), [record]);
        assert_eq!(used(&mut harness), names(&[rest]));
        harness.step(row(evacuated, false, 6));
        assert_eq!(harness.records().len(), 1);
        assert_eq!(used(&mut harness), names(&["i-0", "i-1"]));
    }
}

/// Guards against an evacuation that ends or replaces another.
#[test]
fn several_data_centres_are_evacuated_independently() {
    let mut harness = harness(&["a", "b", "c"]);
    harness.step(row("a", true, 5));
    harness.step(row("c", true, 6));
    assert_eq!(used(&mut harness), names(&["i-1"]));
    harness.step(row("a", false, 7));
    assert_eq!(used(&mut harness), names(&["i-0", "i-1"]));
}

/// Guards against requests that are held, or refused without a reason or a retry time, while all
/// instances of their service are evacuated.
#[test]
fn requests_are_refused_at_once_while_all_instances_are_evacuated() {
    let mut harness = harness(&["a", "b"]);
    harness.step(snapshot(&["a", "b"], 5));
    for path in ["/lookup/1", "/order/1"] {
        harness.send_request(path, KEY);
        let refusal = harness.refusal().expect("a refusal");
        assert_eq!((refusal.reason, refusal.run), (RefusalReason::NoInstance, RunState::NotRun));
        assert!(refusal.retry_after.is_some_and(|delay| delay > Duration::ZERO));
        let says_so = |record: &Record| match record {
            Record::Refused { input, .. } => input == ALL_EVACUATED,
            _ => false,
        };
        assert!(harness.records().iter().any(says_so), "{:?}", harness.records());
    }
    harness.step(snapshot(&["b"], 6));
    assert_eq!(used(&mut harness), names(&["i-0"]));
}

/// Guards against retries and second attempts that use an evacuated data centre, and against the
/// end of requests that were in flight there.
#[test]
fn retries_avoid_evacuated_data_centres_and_requests_in_flight_complete() {
    let mut harness = harness(&["a", "b"]);
    harness.step(Event::Instance(instance_in(2, "a")));
    harness.step(row("b", true, 5));
    for path in ["/lookup/1", "/order/1"].repeat(10) {
        harness.send_request(path, KEY);
        let (attempt, _) = harness.only_attempt();
        harness.finish(attempt, failed(false));
        let retried = harness.attempts();
        assert!(retried.iter().all(|(_, instance)| instance != "i-1"), "{retried:?}");
        retried.iter().for_each(|(attempt, _)| harness.finish(*attempt, failed(false)));
        assert!(harness.attempts().iter().all(|(_, instance)| instance != "i-1"));
    }
    harness.send_request("/lookup/1", KEY);
    let (attempt, _) = harness.only_attempt();
    harness.step(row("a", true, 6));
    let effects = harness.advance(Duration::from_millis(1_900));
    assert!(attempts(&effects).is_empty(), "an overdue request is not sent there a second time");
    assert!(harness.cancelled().is_empty(), "the attempt in flight is not cancelled");
    harness.finish(attempt, response(200, true));
    assert_eq!(harness.delivered(), Some(attempt));
}

/// Guards against requests that try whether an evacuated instance has recovered.
#[test]
fn evacuated_instances_are_not_explored() {
    let mut harness = harness(&["a", "b", "b"]);
    harness.step(row("b", true, 5));
    for _ in 0..200 {
        harness.advance(Duration::from_millis(50));
        harness.send_request("/lookup/1", KEY);
        let (attempt, instance) = harness.only_attempt();
        assert_eq!(instance, "i-0");
        harness.finish(attempt, response(200, true));
    }
}

/// Guards against late, older rows and snapshots that replace a newer state.
#[test]
fn older_rows_and_snapshots_have_no_effect() {
    let mut harness = harness(&["a", "b"]);
    harness.step(row("b", true, 9));
    harness.step(row("b", false, 8));
    harness.step(snapshot(&[], 8));
    assert_eq!(used(&mut harness), names(&["i-0"]));
    harness.step(snapshot(&["b"], 12));
    harness.step(row("b", false, 11));
    assert_eq!(used(&mut harness), names(&["i-0"]));
    harness.step(snapshot(&[], 13));
    harness.step(row("b", true, 12));
    harness.step(row("a", true, 12));
    assert_eq!(used(&mut harness), names(&["i-0", "i-1"]));
    harness.step(row("b", true, 14));
    assert_eq!(used(&mut harness), names(&["i-0"]));
}

/// Guards against a host that starts during an evacuation and serves before it knows of it.
#[test]
fn evacuation_read_before_configuration_and_instances_is_in_force_at_once() {
    let mut harness = Harness::empty("host-1");
    harness.step(snapshot(&["b"], 5));
    harness.step(Event::Configuration(Box::new(configuration(1))));
    harness.step(Event::AllInstances(vec![instance_in(0, "a"), instance_in(1, "b")]));
    harness.step(Event::AllMembers(vec![member("host-1")]));
    assert_eq!(used(&mut harness), names(&["i-0"]));
}

/// Guards against an outage of the store that ends an evacuation.
#[test]
fn evacuation_stays_in_force_while_the_store_is_unreachable() {
    let mut harness = harness(&["a", "b"]);
    harness.step(row("b", true, 5));
    harness.step(Event::StoreUnreachable);
    harness.advance(Duration::from_secs(60));
    assert_eq!(used(&mut harness), names(&["i-0"]));
    harness.step(Event::StoreReachable { reachable_for: Duration::ZERO });
    assert_eq!(used(&mut harness), names(&["i-0"]));
}

/// Guards against an evacuation that is written or taken back after the store was restored from a copy
/// and that is ignored because its version is lower than one seen before.
#[test]
fn evacuation_of_a_later_era_is_followed_under_a_lower_version() {
    let mut harness = harness(&["a", "b"]);
    harness.step(snapshot(&["b"], 90));
    harness.step(snapshot_in(2, &["b"], 40));
    harness.step(row_in(2, "b", false, 41));
    assert_eq!(used(&mut harness), names(&["i-0", "i-1"]));
    harness.step(row_in(2, "a", true, 42));
    assert_eq!(used(&mut harness), names(&["i-1"]));
    harness.step(row("a", false, 95));
    harness.step(snapshot(&[], 96));
    assert_eq!(used(&mut harness), names(&["i-1"]), "the earlier era is over");
    harness.step(snapshot_in(3, &["a", "b"], 10));
    harness.step(row_in(3, "a", false, 11));
    assert_eq!(
        used(&mut harness),
        names(&["i-0"]),
        "an evacuation that is back is in force at once"
    );
}

/// Guards against requests to an evacuated data centre while the restored store lacks its row.
#[test]
fn evacuation_that_a_restored_store_lacks_stays_until_it_is_written_again() {
    let mut harness = harness(&["a", "b"]);
    harness.step(row("b", true, 90));
    harness.step(snapshot_in(2, &[], 40));
    harness.advance(Duration::from_secs(1));
    harness.step(snapshot_in(2, &[], 41));
    harness.advance(Duration::from_secs(1));
    assert_eq!(used(&mut harness), names(&["i-0"]));
    harness.step(row_in(2, "b", true, 42));
    harness.advance(Duration::from_secs(60));
    assert_eq!(used(&mut harness), names(&["i-0"]));
    harness.step(snapshot_in(3, &[], 41));
    harness.step(row_in(3, "b", false, 42));
    assert_eq!(
        used(&mut harness),
        names(&["i-0", "i-1"]),
        "a row of the later era ends it at once"
    );
}

/// Guards against an evacuation that nobody can end because the restored store lacks its row for good.
#[test]
fn evacuation_that_is_not_written_again_ends() {
    let mut harness = harness(&["a", "b"]);
    harness.step(row("b", true, 90));
    harness.step(snapshot_in(2, &[], 40));
    // The store is restored twice in a row: the operator has as long as after the first time.
    harness.advance(Duration::from_secs(4));
    harness.step(snapshot_in(3, &[], 30));
    harness.advance(Duration::from_secs(4));
    harness.step(Event::StoreUnreachable);
    harness.advance(Duration::from_secs(10));
    assert_eq!(used(&mut harness), names(&["i-0"]));
    harness.step(Event::StoreReachable { reachable_for: Duration::ZERO });
    harness.advance(Duration::from_secs(2));
    assert_eq!(used(&mut harness), names(&["i-0", "i-1"]));
}

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// Guards against any order of rows and snapshots, late, repeated or lost, after which the state is
/// not that of the newest one: `writes` are the operator's, `deliveries` choose what arrives.
#[test]
fn state_follows_the_newest_version_after_any_history() {
    fn holds(writes: Vec<(u8, bool)>, deliveries: Vec<(u8, bool)>, seed: u64) -> TestResult {
        if writes.is_empty() {
            return TestResult::discard();
        }
        // The evacuated data centres at each version; version 0 is the empty table.
        let mut states = vec![BTreeSet::new()];
        let rows: Vec<(usize, bool)> =
            writes.iter().map(|(name, on)| (usize::from(*name) % 3, *on)).collect();
        for (name, on) in &rows {
            let mut state = states[states.len() - 1].clone();
            if *on {
                state.insert(*name)
            } else {
                state.remove(name)
            };
            states.push(state);
        }
        let mut harness = harness(&DATA_CENTRES);
        let mut random = Random::new(seed);
        // The version as of which the host knows each data centre.
        let mut known: BTreeMap<usize, u64> = BTreeMap::new();
        let (mut last_snapshot, mut newest) = (0, 0);
        let mut recorded = BTreeSet::new();
        for (_, is_snapshot) in deliveries {
            let version = 1 + random.below(rows.len());
            let state = &states[version];
            if is_snapshot {
                let evacuated: Vec<&str> = state.iter().map(|name| DATA_CENTRES[*name]).collect();
                harness.step(snapshot(&evacuated, version as u64));
                if version as u64 >= newest {
                    last_snapshot = version as u64;
                    newest = version as u64;
                    known.values_mut().for_each(|known| *known = version as u64);
                }
            } else {
                let (name, on) = rows[version - 1];
                harness.step(row(DATA_CENTRES[name], on, version as u64));
                let known = known.entry(name).or_insert(last_snapshot);
                *known = (*known).max(version as u64);
                newest = newest.max(*known);
            }
            for record in harness.records() {
                if let Record::EvacuationChanged { data_centre, evacuated, .. } = record {
                    let changed = match evacuated {
                        true => recorded.insert(data_centre),
                        false => recorded.remove(&data_centre),
                    };
                    assert!(changed, "the log repeats a state");
                }
            }
            let expected = (0..3).filter(|name| {
                let as_of = known.get(name).copied().unwrap_or(last_snapshot);
                states[as_of as usize].contains(name)
            });
            let expected: BTreeSet<String> =
                expected.map(|name| DATA_CENTRES[name].to_owned()).collect();
            if recorded != expected {
                return TestResult::error(format!("{recorded:?}, expected {expected:?}"));
            }
            let usable = (0..3).filter(|name| !expected.contains(DATA_CENTRES[*name]));
            let usable: BTreeSet<String> = usable.map(|name| format!("i-{name}")).collect();
            harness.send_request("/lookup/1", KEY);
            let sent = harness.attempts();
            if sent.is_empty() != usable.is_empty() {
                return TestResult::error(format!("{sent:?}, usable {usable:?}"));
            }
            for (attempt, instance) in sent {
                if !usable.contains(&instance) {
                    return TestResult::error(format!("{instance} is evacuated"));
                }
                harness.finish(attempt, response(200, true));
            }
        }
        TestResult::passed()
    }
    type Property = fn(Vec<(u8, bool)>, Vec<(u8, bool)>, u64) -> TestResult;
    QuickCheck::new().tests(400).quickcheck(holds as Property);
}
