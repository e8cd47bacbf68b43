//! Tests of the limit on requests to cold instances.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonytack_core::RefusalReason;
use ebonytack_gateway::{
    Configuration, Event, Instance, Position, Record, ServiceSpec, WarmUp, WarmUpLimit,
};

use crate::cluster::{KEY, Network};
use crate::support::{Harness, configuration, instance, member, rejected, response};
use crate::warm_up_site::{FIRST_COLD, HOSTS, INSTANCES, LOAD_PER_SECOND, Site};

pub(crate) const WARM_UP: WarmUp =
    WarmUp { duration: Duration::from_secs(10), requests_per_second: 5.1 };
/// Requests in one second above which an instance that warms up may crash: 1.5 x 5.1 + 8.
pub(crate) const BOUND: f64 = 15.65;
pub(crate) const SECOND: Duration = Duration::from_secs(1);

pub(crate) fn limited(revision: u64) -> Configuration {
    let mut configuration = configuration(revision);
    let spec = ServiceSpec { connections_max: u32::MAX, warm_up: Some(WARM_UP) };
    configuration.services.insert("stock".to_owned(), spec);
    configuration
}

fn cold(index: usize) -> Instance {
    Instance { warm_up_left: Duration::from_secs(3_600), ..instance(index) }
}

/// Returns a host with `warm` warm instances, `i-0` and so on, followed by `cold` cold ones.
fn harness(warm_count: usize, cold_count: usize, configuration: Configuration) -> Harness {
    let mut harness = Harness::empty("host-1");
    harness.step(Event::Configuration(Box::new(configuration)));
    let cold = (warm_count..warm_count + cold_count).map(cold);
    harness.step(Event::AllInstances((0..warm_count).map(instance).chain(cold).collect()));
    harness.step(Event::AllMembers(vec![member("host-1")]));
    harness
}

/// Sends requests of which each is answered at once, and returns how many each instance got.
fn send(harness: &mut Harness, count: u32, interval: Duration) -> BTreeMap<String, u32> {
    let mut received = BTreeMap::new();
    for _ in 0..count {
        harness.advance(interval);
        harness.send_request("/order/1", Some(KEY));
        for (attempt, instance) in harness.attempts() {
            *received.entry(instance).or_default() += 1;
            harness.finish(attempt, response(200, true));
        }
    }
    received
}

/// Guards against a probability that does not follow the demand of the hosts that are not heard.
#[test]
fn probability_keeps_the_considered_rate_below_the_sustained_one() {
    let limit = |fleet_demand| WarmUpLimit::new(&WARM_UP, 1.5, 8.0, fleet_demand);
    assert!((limit(100.0).probability * 100.0 - 0.7 * 5.1).abs() < 1e-9);
    assert_eq!(limit(0.0).probability, 1.0);
    assert!(limit(0.0).considers(0.0, 0.999));
    assert!(!limit(0.0).considers(BOUND, 0.0), "the known requests reach the bound");
    assert!(!limit(100.0).considers(0.0, 0.5));
}

/// Guards against a process that uses a cold instance before it knows the demand.
#[test]
fn starting_host_uses_no_cold_instance_while_a_warm_one_is_left() {
    let mut harness = harness(1, 3, limited(1));
    let received = send(&mut harness, 95, Duration::from_millis(20));
    assert_eq!(received.keys().collect::<Vec<_>>(), ["i-0"]);
    let received = send(&mut harness, 500, Duration::from_millis(20));
    assert_eq!(received.len(), 4, "{received:?}");
}

/// Guards against a cold instance that is flooded because it is idle, and against one that gets
/// nothing.
#[test]
fn idle_cold_instance_is_used_at_the_safe_rate() {
    let mut harness = harness(2, 1, limited(1));
    harness.advance(2 * SECOND);
    let received = send(&mut harness, 4_000, Duration::from_millis(10));
    let per_second = f64::from(received["i-2"]) / 40.0;
    assert!((2.0..4.5).contains(&per_second), "{per_second}");
}

/// Guards against a cold instance that gets the retries of a full warm one, and against requests
/// that are held instead of refused.
#[test]
fn what_warm_instances_cannot_take_is_refused_at_once() {
    let mut harness = harness(1, 2, limited(1));
    harness.advance(2 * SECOND);
    send(&mut harness, 100, Duration::from_millis(10));
    let (mut refused, mut cold) = (0, 0);
    for _ in 0..400 {
        harness.advance(Duration::from_millis(10));
        harness.send_request("/order/1", Some(KEY));
        let (attempt, instance) = harness.only_attempt();
        if instance != "i-0" {
            cold += 1;
            harness.finish(attempt, response(200, true));
            continue;
        }
        harness.finish(attempt, rejected());
        let refusal = harness.refusal().expect("no retry on a cold instance");
        assert_eq!(refusal.reason, RefusalReason::Overloaded);
        assert!(refusal.retry_after.is_some());
        refused += 1;
    }
    assert!(refused > 300 && cold < 60, "{refused} refused, {cold} to cold instances");
}

/// Guards against requests that are held or sent to cold instances above their rate when no warm
/// one is left.
#[test]
fn requests_that_no_cold_instance_can_take_are_refused_at_once() {
    let mut harness = harness(0, 1, limited(1));
    let received = send(&mut harness, 100, Duration::from_millis(10));
    assert!(f64::from(received["i-0"]) <= BOUND, "{received:?} in the first second");
    let received = send(&mut harness, 400, Duration::from_millis(10));
    assert!((4..24).contains(&received["i-0"]), "{received:?} in 4 s");
    harness.advance(Duration::from_millis(10));
    let refusal = loop {
        harness.send_request("/order/1", Some(KEY));
        if let Some(refusal) = harness.refusal() {
            break refusal.clone();
        }
    };
    assert_eq!(refusal.reason, RefusalReason::NoInstance);
    assert!(refusal.retry_after.is_some());
    let text = "all instances that accept requests are cold and at their limit";
    let says_so = |r: &Record| matches!(r, Record::Refused { input, .. } if input == text);
    assert!(harness.records().iter().any(says_so), "{:?}", harness.records());
}

/// Guards against a flood of instances that got nothing during an evacuation and whose entries do
/// not say yet that they are cold.
#[test]
fn instances_are_cold_after_an_evacuation() {
    let mut harness = harness(2, 0, limited(1));
    let remote = Instance { data_centre: "b".to_owned(), ..instance(2) };
    harness.step(Event::Instance(remote));
    let evacuation = |evacuated, version| {
        let position = Position { era: 1, version };
        Event::Evacuation { data_centre: "b".to_owned(), evacuated, position }
    };
    harness.step(evacuation(true, 5));
    send(&mut harness, 400, Duration::from_millis(10));
    harness.step(evacuation(false, 6));
    let received = send(&mut harness, 990, Duration::from_millis(10));
    assert!((10..50).contains(&received["i-2"]), "{received:?} in 10 s");
}

/// Guards against other decisions for services without a limit: cold instances are used as before.
#[test]
fn services_without_a_limit_are_placed_as_if_all_instances_were_considered() {
    let mut harness = harness(1, 1, configuration(1));
    let received = send(&mut harness, 40, Duration::from_millis(1));
    // An idle warm instance is faster; orders alone try an instance without attempts once a second.
    assert!(received["i-0"] >= 39, "{received:?}");
    // The cold one is used as soon as the warm one is busy, also by a process that has just
    // started.
    let sent = (0..12).flat_map(|_| {
        harness.send_request("/order/1", Some(KEY));
        harness.attempts()
    });
    assert!(sent.into_iter().any(|(_, instance)| instance == "i-1"));
}

/// Guards against a limit that draws random numbers, and so changes decisions, while no instance is
/// cold.
#[test]
fn limit_changes_no_decision_while_no_instance_is_cold() {
    let choices = |configuration| {
        let mut harness = harness(6, 0, configuration);
        let choose = |_| {
            harness.advance(Duration::from_millis(20));
            harness.send_request("/lookup/1", Some(KEY));
            harness.attempts()
        };
        (0..300).map(choose).collect::<Vec<_>>()
    };
    assert_eq!(choices(configuration(1)), choices(limited(1)));
}

/// Guards against a flood of the instances of a data centre that returns under full load, and
/// against leaving them unused, with reports that are late or lost, or heard by nobody or in one
/// direction.
#[test]
fn returning_data_centre_is_neither_flooded_nor_left_unused() {
    let delay = Duration::from_millis(100);
    let cases = [
        ("sound", Network { delay, ..Network::default() }, false),
        ("lossy", Network { loss: 0.5, delay, ..Network::default() }, false),
        ("late", Network { delay: Duration::from_millis(400), ..Network::default() }, false),
        ("one-way", Network { delay, ..Network::default() }, true),
        ("none heard", Network { loss: 1.0, ..Network::default() }, false),
    ];
    for (case, network, one_way) in cases {
        for seed in 1..=3 {
            let mut site = Site::new(seed);
            site.evacuate(true);
            site.cluster.network = network;
            if one_way {
                site.cluster.unreachable[HOSTS / 2..].fill(true);
            }
            site.run(3 * SECOND);
            site.evacuate(false);
            let since = site.cluster.now;
            site.run(2 * SECOND);
            site.check(case, seed, since);
            site.run(7 * SECOND);
            site.check(case, seed, site.cluster.now - 2 * SECOND);
        }
    }
}

/// Guards against a flood of cold instances when the load jumps while they are considered with the
/// probability for the load before, and against leaving them unused because hosts that hear nobody
/// expect late responses from them.
#[test]
fn burst_neither_floods_returning_instances_nor_leaves_them_unused() {
    for (case, loss) in [("burst", 0.0), ("burst, half lost", 0.5), ("burst, none heard", 1.0)] {
        for seed in 1..=4 {
            let mut site = Site::new(seed);
            site.evacuate(true);
            site.cluster.network.loss = loss;
            site.run(3 * SECOND);
            site.evacuate(false);
            for _ in 0..3 {
                let since = site.cluster.now;
                site.per_second = LOAD_PER_SECOND * 1.7;
                site.run(2 * SECOND);
                site.check(case, seed, since);
                site.per_second = LOAD_PER_SECOND;
                site.run(SECOND);
            }
        }
    }
}

/// Guards against a flood of a third of the instances, and of all of them, that start anew and
/// whose entries say that they are cold.
#[test]
fn restarted_instances_are_not_flooded() {
    for seed in 1..=3 {
        for first in [FIRST_COLD, 0] {
            let mut site = Site::new(seed);
            site.run(3 * SECOND);
            site.restart_instances(first);
            let since = site.cluster.now;
            site.run(2 * SECOND);
            site.check("restart of instances", seed, since);
            site.run(5 * SECOND);
            site.check("restart of instances", seed, since);
        }
    }
}

/// Guards against a flood of cold instances by hosts that have all just started and know of no
/// demand.
#[test]
fn restarted_hosts_do_not_flood_cold_instances() {
    for seed in 1..=3 {
        for (first, loss) in [(FIRST_COLD, 0.0), (FIRST_COLD, 1.0), (0, 0.0), (0, 1.0)] {
            let mut site = Site::new(seed);
            site.run(3 * SECOND);
            site.restart_instances(first);
            site.cluster.network.loss = loss;
            site.restart_hosts();
            let since = site.cluster.now;
            site.run(4 * SECOND);
            let case = format!("restart of hosts, cold from {first}, loss {loss}");
            site.check(&case, seed, since);
            site.run(3 * SECOND);
            site.check(&case, seed, site.cluster.now - 2 * SECOND);
        }
    }
}

/// Guards against a flood of a cold instance by hosts that do not know of each other's requests yet.
#[test]
fn load_on_an_idle_service_does_not_flood_a_cold_instance() {
    for seed in 1..=6 {
        let mut site = Site::new(seed);
        site.per_second = 0.2;
        site.run(5 * SECOND);
        site.restart_instances(INSTANCES - 1);
        site.per_second = LOAD_PER_SECOND;
        site.next_request_at = site.cluster.now;
        site.run(2 * SECOND);
        site.check("load on an idle service", seed, site.cluster.now - 2 * SECOND);
    }
}
