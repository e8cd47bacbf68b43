//! Tests of placement and admission limits without a gateway.

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

fn choose(candidates: &[Candidate], retryable: bool) -> usize {
    let mut random = Random::new(3);
    let request = if retryable { LOOKUP } else { ORDER };
    Placement::choose(candidates, &request, &mut random).expect("a candidate").index
}

#[test]
fn small_failure_risk_is_preferred_to_a_late_response() {
    let suspect = Candidate { failure_probability: 0.12, ..IDLE };
    let in_time = Candidate { in_flight: 5.0, ..IDLE };
    let late = Candidate { in_flight: 14.0, ..IDLE };
    assert_eq!(choose(&[suspect, in_time], false), 1);
    assert_eq!(choose(&[suspect, late], false), 0);
}

#[test]
fn instance_with_earliest_completion_is_chosen() {
    let busy = Candidate { in_flight: 6.0, ..IDLE };
    assert_eq!(choose(&[busy, IDLE], true), 1);
    let warming = Candidate { warming_up: true, ..IDLE };
    assert_eq!(choose(&[warming, IDLE], true), 1);
    let full = Candidate { recently_rejected: true, ..IDLE };
    assert_eq!(choose(&[full, IDLE], true), 1);
}

#[test]
fn non_retryable_request_waits_longer_to_avoid_a_failing_instance() {
    let failing = Candidate { failure_probability: 0.25, ..IDLE };
    let busy = Candidate { in_flight: 9.0, ..IDLE };
    assert_eq!(choose(&[failing, busy], false), 1);
    assert_eq!(choose(&[failing, busy], true), 0);
}

#[test]
fn failing_instance_is_used_when_others_are_overloaded() {
    let failing = Candidate { failure_probability: 0.25, ..IDLE };
    let overloaded = Candidate { in_flight: 40.0, ..IDLE };
    assert_eq!(choose(&[failing, overloaded], false), 0, "failing instances stay a last resort");
}

#[test]
fn only_retryable_requests_explore_stale_instances() {
    let stale = Candidate { failure_probability: 0.4, stale: true, ..IDLE };
    assert_eq!(choose(&[IDLE, stale], true), 1);
    assert_eq!(choose(&[IDLE, stale], false), 0, "non-retryable requests do not explore");
}

#[test]
fn requests_spread_over_equal_instances() {
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
fn local_data_centre_is_preferred_at_equal_load() {
    let remote = Candidate { same_data_centre: false, ..IDLE };
    let mut random = Random::new(9);
    let local = (0..200).filter(|_| {
        Placement::choose(&[remote, IDLE], &LOOKUP, &mut random).expect("a candidate").index == 1
    });
    assert!(local.count() > 120);
    let loaded = Candidate { in_flight: 4.0, ..IDLE };
    assert_eq!(choose(&[remote, loaded], true), 0);
}

#[test]
fn completion_estimate_grows_once_all_slots_are_used() {
    let at = |in_flight| completion_estimate(&Candidate { in_flight, ..IDLE });
    assert_eq!(at(0.0), 0.25);
    assert_eq!(at(3.0), 0.25);
    assert_eq!(at(7.0), 0.5);
}

#[test]
fn admission_limit_rejects_estimates_near_the_deadline() {
    let left = Duration::from_secs(2);
    let urgent = AdmissionLimit::new(1, left);
    assert!(urgent.admits(1.0) && !urgent.admits(1.9));
    let less_urgent = AdmissionLimit::new(2, left);
    assert!(less_urgent.estimate_max_s < urgent.estimate_max_s);
    let short = AdmissionLimit::new(1, Duration::from_millis(400));
    assert!(!short.admits(0.4), "a request that cannot complete in time is rejected");
}

#[test]
fn attempt_counts_decay_and_own_failures_override_the_fleet() {
    let now = Duration::from_secs(10);
    let mut stats = RecentAttemptStats::default();
    stats.add(4.0, 4.0, now);
    let fresh = failure_probability(&RecentAttemptStats::default(), &stats);
    let later = now + Duration::from_secs(8);
    let decayed = failure_probability(&RecentAttemptStats::default(), &stats.at(later));
    assert!(fresh > 0.6 && decayed < 0.2, "{fresh} {decayed}");
    let others = RecentAttemptStats::new(40.0, 0.0, now);
    let own = failure_probability(&stats, &others);
    assert!(own > 0.6, "a network path that fails for this host only");
}

#[test]
fn long_term_failure_probability_is_ignored_below_the_threshold() {
    let now = Duration::from_secs(10);
    let none = LongTermAttemptStats::default();
    let mut stats = LongTermAttemptStats::new(36.0, 0.0, now);
    stats.add(0.5, 0.5, now);
    let few_failures = failure_probability(&none, &stats);
    assert_eq!(conservative_failure_probability(0.02, few_failures), 0.02);
    stats.add(5.0, 5.0, now);
    let many_failures = failure_probability(&none, &stats);
    assert!(conservative_failure_probability(0.02, many_failures) > 0.1, "{many_failures}");
}

#[test]
fn successes_do_not_lower_the_failure_probability_below_the_prior() {
    let now = Duration::from_secs(10);
    let many_successes = LongTermAttemptStats::new(60.0, 0.0, now);
    let none = LongTermAttemptStats::default();
    assert_eq!(failure_probability(&none, &many_successes), failure_probability(&none, &none));
}
