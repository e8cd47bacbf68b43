//! Placement and patience, apart from any host.

use std::time::Duration;

use ebonytack_core::Random;
use ebonytack_gateway::{
    AdmissionLimit, Candidate, LongTermAttemptStats, Placement, PlacementRequest,
    RecentAttemptStats, completion_estimate, conservative_failure_probability, failure_probability,
};

const IDLE: Candidate = Candidate {
    in_flight: 0.0,
    slots: 4.0,
    service_time_s: 0.25,
    failure_probability: 0.02,
    same_data_centre: true,
    warming_up: false,
    recently_rejected: false,
    likely_connected: true,
    stale: false,
};

const LOOKUP: PlacementRequest =
    PlacementRequest { retryable: true, time_to_target: Duration::from_secs(1) };
const ORDER: PlacementRequest = PlacementRequest { retryable: false, ..LOOKUP };

fn choose(candidates: &[Candidate], repeatable: bool) -> usize {
    let mut random = Random::new(3);
    let demand = if repeatable { LOOKUP } else { ORDER };
    Placement::choose(candidates, &demand, &mut random).expect("a candidate").index
}

#[test]
fn an_order_takes_a_small_risk_rather_than_be_late() {
    let suspect = Candidate { failure_probability: 0.12, ..IDLE };
    let in_time = Candidate { in_flight: 5.0, ..IDLE };
    let late = Candidate { in_flight: 14.0, ..IDLE };
    assert_eq!(choose(&[suspect, in_time], false), 1);
    assert_eq!(choose(&[suspect, late], false), 0);
}

#[test]
fn the_instance_that_is_done_first_is_chosen() {
    let busy = Candidate { in_flight: 6.0, ..IDLE };
    assert_eq!(choose(&[busy, IDLE], true), 1);
    let cold = Candidate { warming_up: true, ..IDLE };
    assert_eq!(choose(&[cold, IDLE], true), 1);
    let full = Candidate { recently_rejected: true, ..IDLE };
    assert_eq!(choose(&[full, IDLE], true), 1);
}

#[test]
fn an_order_waits_longer_than_a_lookup_to_avoid_an_ill_instance() {
    let ill = Candidate { failure_probability: 0.25, ..IDLE };
    let busy = Candidate { in_flight: 9.0, ..IDLE };
    assert_eq!(choose(&[ill, busy], false), 1);
    assert_eq!(choose(&[ill, busy], true), 0);
}

#[test]
fn an_avoided_instance_is_used_when_all_others_are_worse() {
    let ill = Candidate { failure_probability: 0.25, ..IDLE };
    let flooded = Candidate { in_flight: 40.0, ..IDLE };
    assert_eq!(choose(&[ill, flooded], false), 0, "no service is starved");
}

#[test]
fn lookups_try_an_instance_that_nobody_has_tried_for_a_while() {
    let was_ill = Candidate { failure_probability: 0.4, stale: true, ..IDLE };
    assert_eq!(choose(&[IDLE, was_ill], true), 1);
    assert_eq!(choose(&[IDLE, was_ill], false), 0, "orders wait for what lookups find");
}

#[test]
fn hosts_that_know_the_same_spread_over_equal_instances() {
    let mut random = Random::new(5);
    let candidates = [IDLE; 20];
    let mut chosen = [0; 20];
    for _ in 0..600 {
        let placement = Placement::choose(&candidates, &ORDER, &mut random).expect("a candidate");
        chosen[placement.index] += 1;
    }
    assert!(chosen.iter().all(|count| (10..60).contains(count)), "{chosen:?}");
}

#[test]
fn the_own_data_centre_wins_only_when_it_is_as_good() {
    let far = Candidate { same_data_centre: false, ..IDLE };
    let mut random = Random::new(9);
    let near = (0..200).filter(|_| {
        Placement::choose(&[far, IDLE], &LOOKUP, &mut random).expect("a candidate").index == 1
    });
    assert!(near.count() > 120);
    let loaded = Candidate { in_flight: 4.0, ..IDLE };
    assert_eq!(choose(&[far, loaded], true), 0);
}

#[test]
fn waiting_begins_when_the_slots_are_taken() {
    let at = |in_flight| completion_estimate(&Candidate { in_flight, ..IDLE });
    assert_eq!(at(0.0), 0.25);
    assert_eq!(at(3.0), 0.25);
    assert_eq!(at(7.0), 0.5);
}

#[test]
fn requests_that_cannot_be_answered_in_time_are_turned_away() {
    let left = Duration::from_secs(2);
    let urgent = AdmissionLimit::new(1, left);
    assert!(urgent.admits(1.0) && !urgent.admits(1.9));
    let less_urgent = AdmissionLimit::new(2, left);
    assert!(less_urgent.estimate_max_s < urgent.estimate_max_s);
    let short = AdmissionLimit::new(1, Duration::from_millis(400));
    assert!(!short.admits(0.4), "what cannot be done in time is not begun");
}

#[test]
fn evidence_fades_and_own_evidence_counts_for_itself() {
    let now = Duration::from_secs(10);
    let mut seen = RecentAttemptStats::default();
    seen.add(4.0, 4.0, now);
    let fresh = failure_probability(&RecentAttemptStats::default(), &seen);
    let later = now + Duration::from_secs(8);
    let faded = failure_probability(&RecentAttemptStats::default(), &seen.at(later));
    assert!(fresh > 0.6 && faded < 0.2, "{fresh} {faded}");
    let others = RecentAttemptStats::new(40.0, 0.0, now);
    let own = failure_probability(&seen, &others);
    assert!(own > 0.6, "a path that is cut for one host only");
}

#[test]
fn orders_spread_over_instances_that_differ_by_slow_requests_only() {
    let now = Duration::from_secs(10);
    let none = LongTermAttemptStats::default();
    let mut seen = LongTermAttemptStats::new(36.0, 0.0, now);
    seen.add(0.5, 0.5, now);
    let slow = failure_probability(&none, &seen);
    assert_eq!(conservative_failure_probability(0.02, slow), 0.02);
    seen.add(5.0, 5.0, now);
    let failed = failure_probability(&none, &seen);
    assert!(conservative_failure_probability(0.02, failed) > 0.1, "{failed}");
}

#[test]
fn much_used_instances_are_not_preferred_to_well_ones_that_are_seldom_used() {
    let now = Duration::from_secs(10);
    let much = LongTermAttemptStats::new(60.0, 0.0, now);
    let none = LongTermAttemptStats::default();
    assert_eq!(failure_probability(&none, &much), failure_probability(&none, &none));
}
