//! Customers' rates, shared over all hosts.

use std::time::Duration;

use ebonytack_core::RefusalReason;
use ebonytack_gateway::{Event, SharedBucket, SharedRate};
use quickcheck::{QuickCheck, TestResult};

use crate::support::{Bench, answer, member};

#[test]
fn a_customer_within_its_rate_is_admitted() {
    let mut bench = Bench::new(3);
    for _ in 0..60 {
        bench.ask("/order/1", Some("bar-key"));
        let (attempt, _) = bench.only_sent();
        bench.end(attempt, answer(200, true));
        bench.pass(Duration::from_millis(250));
    }
}

#[test]
fn a_customer_above_its_rate_is_refused_and_told_when_to_come_back() {
    let mut bench = Bench::new(3);
    let mut admitted = 0;
    for _ in 0..500 {
        bench.ask("/order/1", Some("bar-key"));
        match bench.refusal() {
            Some(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::RateExceeded);
                assert!(refusal.retry_after.is_some_and(|wait| wait > Duration::ZERO));
            }
            None => {
                admitted += 1;
                let (attempt, _) = bench.only_sent();
                bench.end(attempt, answer(200, true));
            }
        }
        bench.pass(Duration::from_millis(10));
    }
    // Five seconds at 5 a second and a burst of 10, with a tenth and 20 more.
    assert!(admitted <= (35.0f64 * 1.1 + 20.0) as u32, "{admitted}");
    assert!(admitted >= 25, "{admitted}");
}

#[test]
fn a_host_that_hears_nobody_grants_its_part_only() {
    let mut bench = Bench::new(3);
    for other in 2..=10 {
        bench.feed(Event::Member(member(&format!("host-{other}"))));
    }
    let mut admitted = 0;
    for _ in 0..500 {
        bench.ask("/order/1", Some("bar-key"));
        if bench.refusal().is_none() {
            admitted += 1;
            let (attempt, _) = bench.only_sent();
            bench.end(attempt, answer(200, true));
        }
        bench.pass(Duration::from_millis(10));
    }
    // A tenth of the bound of all ten hosts.
    assert!(f64::from(admitted) <= (35.0 * 1.1 + 20.0) / 10.0 + 1.0, "{admitted}");
}

#[test]
fn a_host_that_has_just_started_does_not_refuse_a_customer_far_below_its_rate() {
    let mut bench = Bench::new(3);
    for other in 2..=100 {
        bench.feed(Event::Member(member(&format!("host-{other}"))));
    }
    bench.ask("/order/1", Some("bar-key"));
    bench.only_sent();
}

#[test]
fn what_others_admit_is_subtracted_and_repaid() {
    let now = Duration::from_secs(1);
    let rate = SharedRate { per_second: 10.0, burst: 5.0 };
    let mut bucket = SharedBucket::new(&rate, 1.0, now);
    assert!(bucket.admit(&rate, 1.0, 100.0, 0.0, now));
    bucket.subtract_remote(30);
    assert!(!bucket.admit(&rate, 1.0, 100.0, 0.0, now));
    assert!(!bucket.admit(&rate, 1.0, 100.0, 0.0, now + Duration::from_secs(2)));
    assert!(bucket.admit(&rate, 1.0, 100.0, 0.0, now + Duration::from_secs(4)));
}

#[test]
fn one_bucket_never_admits_more_than_rate_and_burst() {
    fn holds(gaps_ms: Vec<u8>, rate: u8, burst: u8) -> TestResult {
        if rate == 0 {
            return TestResult::discard();
        }
        let rate = SharedRate { per_second: f64::from(rate), burst: f64::from(burst) };
        let start = Duration::from_secs(1);
        let mut now = start;
        let mut bucket = SharedBucket::new(&rate, 1.0, now);
        let mut admitted = 0.0;
        for gap in gaps_ms {
            now += Duration::from_millis(u64::from(gap));
            bucket.count_demand(now);
            if bucket.admit(&rate, 1.0, bucket.demand(now), 0.5, now) {
                admitted += 1.0;
            }
        }
        let allowed = rate.per_second * (now - start).as_secs_f64() + rate.burst;
        // A fifth of a second of the rate may be admitted in advance, and one request more.
        TestResult::from_bool(admitted <= allowed + rate.per_second * 0.2 + 1.0)
    }
    QuickCheck::new().tests(300).quickcheck(holds as fn(Vec<u8>, u8, u8) -> TestResult);
}
