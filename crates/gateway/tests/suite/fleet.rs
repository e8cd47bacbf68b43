//! What hosts learn from one another.

use std::time::Duration;

use ebonytack_gateway::{AttemptResult, Event, Gateway, Record, Report};

use crate::support::{Bench, answer, configuration, failed, instance, member, reports, settings};

const KEY: Option<&str> = Some("club-key");

/// Returns a second gateway of the same data centre, with its reports since it started.
fn second() -> Bench {
    let mut other = Bench::empty("host-2");
    other.feed(Event::Configuration(Box::new(configuration(1))));
    other.feed(Event::AllInstances((0..2).map(instance).collect()));
    other.feed(Event::AllMembers(vec![member("host-1"), member("host-2")]));
    other
}

#[test]
fn the_load_of_other_hosts_decides_where_a_request_goes() {
    let mut bench = Bench::new(2);
    let mut other = second();
    for _ in 0..6 {
        other.ask("/order/1", KEY);
    }
    let reports = reports(&other.pass(Duration::from_millis(200)));
    let last = reports.last().expect("a report").clone();
    assert_eq!(last.own.instances.iter().map(|report| report.in_flight).sum::<u32>(), 6);
    bench.feed(Event::Report(last));
    bench.ask("/order/1", KEY);
    let in_flight = bench.records().into_iter().find_map(|record| match record {
        Record::Placed { in_flight, hosts_heard: 2, .. } => Some(in_flight),
        _ => None,
    });
    assert_eq!(in_flight, Some(3.0), "three requests of the other host run on each instance");
}

#[test]
fn failures_that_others_saw_are_avoided() {
    let mut bench = Bench::new(2);
    let mut other = second();
    let mut ill = String::new();
    for _ in 0..8 {
        other.ask("/order/1", KEY);
        let (attempt, chosen) = other.only_sent();
        if ill.is_empty() {
            ill.clone_from(&chosen);
        }
        let result = if chosen == ill { failed(true) } else { answer(200, true) };
        other.end(attempt, result);
    }
    let reports = reports(&other.pass(Duration::from_millis(200)));
    bench.feed(Event::Report(reports.last().expect("a report").clone()));
    for _ in 0..10 {
        bench.ask("/order/1", KEY);
        let (attempt, chosen) = bench.only_sent();
        assert_ne!(chosen, ill);
        bench.end(attempt, answer(200, true));
    }
}

#[test]
fn a_failure_is_reported_at_once() {
    let mut bench = second();
    bench.pass(Duration::from_millis(500));
    bench.ask("/order/1", KEY);
    let (attempt, _) = bench.only_sent();
    bench.pass(Duration::from_millis(30));
    bench.end(attempt, answer(500, true));
    let mut told = reports(&bench.effects);
    told.extend(reports(&bench.pass(Duration::from_millis(20))));
    let failures = |report: &Report| report.own.instances.iter().map(|i| i.failures).sum::<f32>();
    assert!(told.iter().any(|report| failures(report) > 0.9), "{told:?}");
}

#[test]
fn an_address_that_another_instance_has_is_avoided_by_all_hosts() {
    let (mut bench, mut other) = (Bench::new(2), second());
    other.ask("/lookup/1", KEY);
    let (attempt, elsewhere) = other.only_sent();
    other.end(attempt, AttemptResult::Rejected { wrong_instance: true, load: None });
    let told = reports(&other.pass(Duration::from_millis(200)));
    bench.feed(Event::Report(told.last().expect("a report").clone()));
    for _ in 0..6 {
        bench.ask("/order/1", KEY);
        assert_ne!(bench.only_sent().1, elsewhere);
    }
}

#[test]
fn orders_remember_failures_that_others_saw_longer_than_lookups_do() {
    let (mut bench, mut other) = (Bench::new(2), second());
    let mut ill = None;
    for _ in 0..6 {
        other.ask("/order/1", KEY);
        let (attempt, chosen) = other.only_sent();
        let ill = ill.get_or_insert_with(|| chosen.clone());
        let result = if chosen == *ill { failed(true) } else { answer(200, true) };
        other.end(attempt, result);
        let told = reports(&other.pass(Duration::from_millis(200)));
        told.into_iter().for_each(|report| bench.feed(Event::Report(report)));
    }
    bench.pass(Duration::from_secs(5));
    // The good instance is busy enough that only the memory of the failure speaks for it.
    for _ in 0..6 {
        bench.ask("/order/1", KEY);
        assert_ne!(Some(bench.only_sent().1), ill);
    }
}

#[test]
fn repeated_overtaken_and_own_reports_change_nothing() {
    let mut bench = Bench::new(2);
    let mut other = second();
    other.ask("/order/1", Some("bar-key"));
    let sent = reports(&other.pass(Duration::from_millis(900)));
    assert!(sent.len() > 2);
    let (first, last) = (sent[0].clone(), sent[sent.len() - 1].clone());
    for report in [last.clone(), first, last.clone(), last] {
        bench.feed(Event::Report(report));
    }
    let own = bench.pass(Duration::from_millis(300));
    for report in reports(&own) {
        bench.feed(Event::Report(report));
        assert!(bench.records().is_empty());
    }
}

#[test]
fn a_restarted_peer_is_believed_and_its_predecessor_is_not() {
    let mut old = second();
    let reports_of_old = reports(&old.pass(Duration::from_millis(300)));
    let mut new_settings = settings("host-2");
    new_settings.incarnation = 2;
    let mut new = second();
    new.gateway = Gateway::new(new_settings);
    let reports_of_new = reports(&new.pass(Duration::from_millis(300)));
    let mut bench = Bench::new(2);
    bench.feed(Event::Report(reports_of_new[0].clone()));
    assert!(bench.records().iter().any(|r| matches!(r, Record::FleetHeard { heard: 2, .. })));
    bench.pass(Duration::from_secs(1));
    bench.feed(Event::Report(reports_of_old[0].clone()));
    let heard_again =
        bench.records().iter().any(|r| matches!(r, Record::FleetHeard { heard: 2, .. }));
    assert!(!heard_again, "a late report of the old process is not heard");
}

#[test]
fn what_a_process_admitted_before_its_first_report_is_subtracted() {
    let mut bench = Bench::new(2);
    let mut other = second();
    for _ in 0..40 {
        other.ask("/order/1", Some("bar-key"));
    }
    bench.ask("/order/1", Some("bar-key"));
    bench.only_sent();
    let admitted = reports(&other.pass(Duration::from_millis(150)));
    bench.feed(Event::Report(admitted.last().expect("a report").clone()));
    bench.ask("/order/1", Some("bar-key"));
    assert!(bench.refusal().is_some(), "the other host has spent what there was");
}
