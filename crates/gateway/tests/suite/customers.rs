//! Tests of customers' rate limits, which all hosts share.

use std::time::Duration;

use ebonytack_core::RefusalReason;
use ebonytack_gateway::{Event, SharedBucket, SharedRate};
use quickcheck::{QuickCheck, TestResult};

use crate::support::{Harness, configuration, member, response};

#[test]
fn customer_within_its_rate_is_admitted() {
    let mut harness = Harness::new(3);
    for _ in 0..60 {
        harness.send_request("/order/1", Some("bar-key"));
        let (attempt, _) = harness.only_attempt();
        harness.finish(attempt, response(200, true));
        harness.advance(Duration::from_millis(250));
    }
}

#[test]
fn customer_above_its_rate_is_refused_with_retry_after() {
    let mut harness = Harness::new(3);
    let mut admitted = 0;
    for _ in 0..500 {
        harness.send_request("/order/1", Some("bar-key"));
        match harness.refusal() {
            Some(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::RateExceeded);
                assert!(refusal.retry_after.is_some_and(|delay| delay > Duration::ZERO));
            }
            None => {
                admitted += 1;
                let (attempt, _) = harness.only_attempt();
                harness.finish(attempt, response(200, true));
            }
        }
        harness.advance(Duration::from_millis(10));
    }
    // 5 requests per second for 5 s and a burst of 10, plus the tolerance of 10 % and 20 requests.
    assert!(admitted <= (35.0f64 * 1.1 + 20.0) as u32, "{admitted}");
    assert!(admitted >= 25, "{admitted}");
}

#[test]
fn isolated_host_grants_only_its_share() {
    let mut harness = Harness::new(3);
    for other in 2..=10 {
        harness.step(Event::Member(member(&format!("host-{other}"))));
    }
    let mut admitted = 0;
    for _ in 0..500 {
        harness.send_request("/order/1", Some("bar-key"));
        if harness.refusal().is_none() {
            admitted += 1;
            let (attempt, _) = harness.only_attempt();
            harness.finish(attempt, response(200, true));
        }
        harness.advance(Duration::from_millis(10));
    }
    // One of ten hosts: a tenth of the rate, burst and tolerance over 5 s, plus one request.
    assert!(f64::from(admitted) <= (35.0 * 1.1 + 20.0) / 10.0 + 1.0, "{admitted}");
}

/// Guards against a full bucket for a customer that one configuration drops and the next one restores.
#[test]
fn customer_that_is_dropped_and_restored_has_no_full_bucket() {
    let mut harness = Harness::new(3);
    harness.advance(Duration::from_secs(10));
    let mut admitted = 0;
    for revision in 1..=8 {
        for _ in 0..40 {
            harness.send_request("/order/1", Some("bar-key"));
            for (attempt, _) in harness.attempts() {
                admitted += 1;
                harness.finish(attempt, response(200, true));
            }
        }
        let mut without = configuration(revision * 2);
        without.customers.remove("bar");
        harness.step(Event::Configuration(Box::new(without)));
        harness.advance(Duration::from_millis(200));
        harness.step(Event::Configuration(Box::new(configuration(revision * 2 + 1))));
        harness.advance(Duration::from_millis(200));
    }
    // 5 requests per second for 3.2 s and a burst of 10, plus the tolerance of 10 % and 20 requests.
    assert!(admitted <= (26.0f64 * 1.1 + 20.0) as u32, "{admitted}");
}

#[test]
fn newly_started_host_admits_customer_far_below_its_rate() {
    let mut harness = Harness::new(3);
    for other in 2..=100 {
        harness.step(Event::Member(member(&format!("host-{other}"))));
    }
    harness.send_request("/order/1", Some("bar-key"));
    harness.only_attempt();
}

#[test]
fn remote_admissions_cause_rejections_until_the_bucket_refills() {
    let now = Duration::from_secs(1);
    let rate = SharedRate { per_second: 10.0, burst: 5.0 };
    let mut bucket = SharedBucket::new(&rate, 1.0, Duration::ZERO, now);
    assert!(bucket.admit(&rate, 1.0, 100.0, 0.0, now));
    bucket.subtract_remote(30);
    assert!(!bucket.admit(&rate, 1.0, 100.0, 0.0, now));
    assert!(!bucket.admit(&rate, 1.0, 100.0, 0.0, now + Duration::from_secs(2)));
    assert!(bucket.admit(&rate, 1.0, 100.0, 0.0, now + Duration::from_secs(4)));
}

#[test]
fn bucket_never_admits_more_than_rate_and_burst() {
    fn holds(gaps_ms: Vec<u8>, rate: u8, burst: u8) -> TestResult {
        if rate == 0 {
            return TestResult::discard();
        }
        let rate = SharedRate { per_second: f64::from(rate), burst: f64::from(burst) };
        let start = Duration::from_secs(1);
        let mut now = start;
        let mut bucket = SharedBucket::new(&rate, 1.0, Duration::ZERO, now);
        let mut admitted = 0.0;
        for gap in gaps_ms {
            now += Duration::from_millis(u64::from(gap));
            bucket.count_demand(now);
            if bucket.admit(&rate, 1.0, bucket.demand(now), 0.5, now) {
                admitted += 1.0;
            }
        }
        let allowed = rate.per_second * (now - start).as_secs_f64() + rate.burst;
        // The bucket may go into debt by 0.2 s of the rate and one request.
        TestResult::from_bool(admitted <= allowed + rate.per_second * 0.2 + 1.0)
    }
    QuickCheck::new().tests(300).quickcheck(holds as fn(Vec<u8>, u8, u8) -> TestResult);
}

/// Load pattern: a customer that is far below its rate sends its burst through a host that it has not
/// used before, long after the host started.
#[test]
fn customer_may_use_its_burst_at_a_host_that_it_has_not_used() {
    let mut harness = Harness::new(8);
    harness.advance(Duration::from_secs(10));
    for request in 0..10 {
        harness.send_request("/order/1", Some("bar-key"));
        assert!(harness.refusal().is_none(), "request {request} of a burst of 10");
    }
}
