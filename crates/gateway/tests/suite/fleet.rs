//! Tests of the reports between hosts.

use std::time::Duration;

use ebonytack_gateway::{AttemptResult, Event, Gateway, Record, Report};

use crate::cluster::{Cluster, SETTLED};
use crate::support::{
    Harness, configuration, failed, instance, member, reports, response, settings,
};

const KEY: Option<&str> = Some("club-key");

/// Returns a second gateway in the same data centre.
fn second_host() -> Harness {
    let mut other = Harness::empty("host-2");
    other.step(Event::Configuration(Box::new(configuration(1))));
    other.step(Event::AllInstances((0..2).map(instance).collect()));
    other.step(Event::AllMembers(vec![member("host-1"), member("host-2")]));
    other
}

#[test]
fn placement_uses_load_reported_by_peers() {
    let mut harness = Harness::new(2);
    let mut other = second_host();
    for _ in 0..6 {
        other.send_request("/order/1", KEY);
    }
    let reports = reports(&other.advance(Duration::from_millis(200)));
    let last = reports.last().expect("a report").clone();
    assert_eq!(last.own.instances.iter().map(|report| report.in_flight).sum::<u32>(), 6);
    harness.step(Event::Report(last));
    harness.send_request("/order/1", KEY);
    let in_flight = harness.records().into_iter().find_map(|record| match record {
        Record::Placed { in_flight, hosts_heard: 2, .. } => Some(in_flight),
        _ => None,
    });
    assert_eq!(in_flight, Some(3.0), "three requests of the other host on each instance");
}

#[test]
fn instances_that_fail_for_peers_are_avoided() {
    let mut harness = Harness::new(2);
    let mut other = second_host();
    let mut failing = String::new();
    for _ in 0..8 {
        other.send_request("/order/1", KEY);
        let (attempt, chosen) = other.only_attempt();
        if failing.is_empty() {
            failing.clone_from(&chosen);
        }
        let result = if chosen == failing { failed(true) } else { response(200, true) };
        other.finish(attempt, result);
    }
    let reports = reports(&other.advance(Duration::from_millis(200)));
    harness.step(Event::Report(reports.last().expect("a report").clone()));
    for _ in 0..10 {
        harness.send_request("/order/1", KEY);
        let (attempt, chosen) = harness.only_attempt();
        assert_ne!(chosen, failing);
        harness.finish(attempt, response(200, true));
    }
}

#[test]
fn failure_is_reported_immediately() {
    let mut harness = second_host();
    harness.advance(Duration::from_millis(500));
    harness.send_request("/order/1", KEY);
    let (attempt, _) = harness.only_attempt();
    harness.advance(Duration::from_millis(30));
    harness.finish(attempt, response(500, true));
    let mut sent_reports = reports(&harness.effects);
    sent_reports.extend(reports(&harness.advance(Duration::from_millis(20))));
    let failures = |report: &Report| report.own.instances.iter().map(|i| i.failures).sum::<f32>();
    assert!(sent_reports.iter().any(|report| failures(report) > 0.9), "{sent_reports:?}");
}

#[test]
fn reused_address_reported_by_a_peer_is_avoided() {
    let (mut harness, mut other) = (Harness::new(2), second_host());
    other.send_request("/lookup/1", KEY);
    let (attempt, reused) = other.only_attempt();
    other.finish(attempt, AttemptResult::Rejected { wrong_instance: true, load: None });
    let sent_reports = reports(&other.advance(Duration::from_millis(200)));
    harness.step(Event::Report(sent_reports.last().expect("a report").clone()));
    for _ in 0..6 {
        harness.send_request("/order/1", KEY);
        assert_ne!(harness.only_attempt().1, reused);
    }
}

#[test]
fn non_idempotent_requests_avoid_peer_failures_for_longer() {
    let (mut harness, mut other) = (Harness::new(2), second_host());
    let mut failing = None;
    for _ in 0..6 {
        other.send_request("/order/1", KEY);
        let (attempt, chosen) = other.only_attempt();
        let failing = failing.get_or_insert_with(|| chosen.clone());
        let result = if chosen == *failing { failed(true) } else { response(200, true) };
        other.finish(attempt, result);
        let sent_reports = reports(&other.advance(Duration::from_millis(200)));
        sent_reports.into_iter().for_each(|report| harness.step(Event::Report(report)));
    }
    harness.advance(Duration::from_secs(5));
    // Six requests load the working instance enough that only the long-term failure count keeps
    // them off the failing one.
    for _ in 0..6 {
        harness.send_request("/order/1", KEY);
        assert_ne!(Some(harness.only_attempt().1), failing);
    }
}

#[test]
fn duplicate_outdated_and_own_reports_are_ignored() {
    let mut harness = Harness::new(2);
    let mut other = second_host();
    other.send_request("/order/1", Some("bar-key"));
    let sent = reports(&other.advance(Duration::from_millis(900)));
    assert!(sent.len() > 2);
    let (first, last) = (sent[0].clone(), sent[sent.len() - 1].clone());
    for report in [last.clone(), first, last.clone(), last] {
        harness.step(Event::Report(report));
    }
    let own = harness.advance(Duration::from_millis(300));
    for report in reports(&own) {
        harness.step(Event::Report(report));
        assert!(harness.records().is_empty());
    }
}

#[test]
fn reports_of_a_previous_incarnation_are_ignored() {
    let mut old = second_host();
    let reports_of_old = reports(&old.advance(Duration::from_millis(300)));
    let mut new_settings = settings("host-2");
    new_settings.incarnation = 2;
    let mut new = second_host();
    new.gateway = Gateway::new(new_settings);
    let reports_of_new = reports(&new.advance(Duration::from_millis(300)));
    let mut harness = Harness::new(2);
    harness.step(Event::Report(reports_of_new[0].clone()));
    assert!(harness.records().iter().any(|r| matches!(r, Record::FleetHeard { heard: 2, .. })));
    harness.advance(Duration::from_secs(1));
    harness.step(Event::Report(reports_of_old[0].clone()));
    let heard_again =
        harness.records().iter().any(|r| matches!(r, Record::FleetHeard { heard: 2, .. }));
    assert!(!heard_again, "a late report of the old process is ignored");
}

#[test]
fn admissions_in_the_first_report_are_subtracted_from_the_bucket() {
    let mut harness = Harness::new(2);
    let mut other = second_host();
    for _ in 0..40 {
        other.send_request("/order/1", Some("bar-key"));
    }
    harness.send_request("/order/1", Some("bar-key"));
    harness.only_attempt();
    let admitted = reports(&other.advance(Duration::from_millis(150)));
    harness.step(Event::Report(admitted.last().expect("a report").clone()));
    harness.send_request("/order/1", Some("bar-key"));
    assert!(harness.refusal().is_some(), "the other host has used up the bucket");
}

/// Load pattern: an instance fails all requests that it has in work at the same moment, and recovers
/// two seconds later. However many failures are known, it must be tried again within two seconds,
/// and here within one second of the next requests.
#[test]
fn instance_with_many_failures_is_tried_again_soon_after_them() {
    let mut harness = Harness::new(2);
    let mut other = second_host();
    let mut open = Vec::new();
    for _ in 0..50 {
        other.send_request("/order/1", KEY);
        open.push(other.only_attempt());
    }
    let failing = open[0].1.clone();
    for (attempt, chosen) in open {
        let result = if chosen == failing { failed(true) } else { response(200, true) };
        other.finish(attempt, result);
    }
    // The other host goes on reporting, so that its counts stay in use.
    let mut pass_time = |harness: &mut Harness, time: Duration| {
        for report in reports(&other.advance(time)) {
            harness.step(Event::Report(report));
        }
        harness.advance(time);
    };
    for _ in 0..20 {
        pass_time(&mut harness, Duration::from_millis(100));
    }
    let mut tried = false;
    for _ in 0..20 {
        harness.send_request("/lookup/1", KEY);
        let (attempt, chosen) = harness.only_attempt();
        tried |= chosen == failing;
        harness.finish(attempt, response(200, true));
        pass_time(&mut harness, Duration::from_millis(50));
    }
    assert!(tried, "the instance is tried again");
}

/// Guards against a host that is no longer a peer because the restored store lacks its row.
#[test]
fn live_host_without_a_row_stays_a_peer() {
    let mut cluster = Cluster::new(1, 3, 1, 1);
    cluster.advance(SETTLED);
    let heard = cluster.hosts[0].1.read_peers(cluster.now);
    assert_eq!(heard.following.len(), 2);
    for host in 0..3 {
        let registered = vec![cluster.hosts[0].0.clone()];
        cluster.step(host, Event::AllMembers(registered));
    }
    // At once as well as later: until its next report arrives, nothing else makes a host a peer again.
    assert_eq!(cluster.hosts[0].1.read_peers(cluster.now), heard);
    cluster.advance(SETTLED);
    assert_eq!(cluster.hosts[0].1.read_peers(cluster.now), heard);
}
