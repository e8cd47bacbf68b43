//! Fleet-wide rate limits.

use std::time::{Duration, Instant};

use ebonytack_testbed::{Caller, CallerResponse, Fleet, FleetPlan};

use crate::support::{UNAVAILABLE, plan, run};

const RATE_PER_SECOND: u32 = 50;
const BURST: u32 = 20;

fn plan_with_limit() -> FleetPlan {
    plan().customer("small", RATE_PER_SECOND, BURST)
}

/// Sends requests through all hosts in 12 streams, each of which sends its next request after the
/// previous response. Returns the send and completion time of each successful request.
async fn flood(fleet: &Fleet, length: Duration) -> Vec<(Instant, Instant)> {
    let started_at = Instant::now();
    let streams = (0..12).map(|stream| async move {
        let caller = Caller::new();
        let mut successful = Vec::new();
        while started_at.elapsed() < length {
            let sent_at = Instant::now();
            let host = fleet.caller_address(stream % 3 + 1);
            let response: CallerResponse = caller.get(host, "/catalogue/rods", "key-small").await;
            if response.is_success() {
                successful.push((sent_at, Instant::now()));
            }
        }
        successful
    });
    futures_util::future::join_all(streams).await.into_iter().flatten().collect()
}

/// Asserts that no time window contains more requests than rate and burst allow.
fn assert_within_limit(successful: &[(Instant, Instant)]) {
    for (start, _) in successful {
        let mut completion_times: Vec<_> = successful
            .iter()
            .filter(|(sent_at, _)| sent_at >= start)
            .map(|(_, completed_at)| *completed_at)
            .collect();
        completion_times.sort();
        for (count, completed_at) in completion_times.iter().enumerate() {
            let window = completed_at.duration_since(*start).as_secs_f64();
            let allowed = f64::from(BURST) + f64::from(RATE_PER_SECOND) * window;
            assert!((count + 1) as f64 <= allowed, "{} in {window} s", count + 1);
        }
    }
}

#[test]
fn flood_across_hosts_is_limited_to_rate_and_burst() {
    run(plan_with_limit(), async |fleet| {
        fleet
            .wait_until_served("/catalogue/warm", "key-small")
            .await
            .expect("a host holds the bucket");
        let successful = flood(&fleet, Duration::from_secs(3)).await;
        assert_within_limit(&successful);
        let expected_min = RATE_PER_SECOND as usize * 2;
        assert!(
            successful.len() >= expected_min,
            "{} of at least {expected_min}",
            successful.len()
        );
    });
}

#[test]
fn rate_limit_holds_during_holder_failures_and_table_outage() {
    run(plan_with_limit(), async |mut fleet| {
        let before = flood(&fleet, Duration::from_millis(500)).await;
        assert_within_limit(&before);
        fleet.platform.set_fault_for_all(UNAVAILABLE);
        for host in 1..=3 {
            fleet.host(host).pause();
            let during = flood_others(&fleet, host, Duration::from_millis(2_500)).await;
            fleet.host(host).resume();
            let after = flood(&fleet, Duration::from_millis(1_000)).await;
            let all: Vec<_> = during.into_iter().chain(after).collect();
            assert_within_limit(&all);
        }
        fleet.host_mut(1).kill();
        let during = flood_others(&fleet, 1, Duration::from_millis(3_000)).await;
        assert_within_limit(&during);
        assert!(!during.is_empty(), "another host takes over the bucket");
    });
}

/// Like [`flood`], but through the hosts other than `excluded`.
async fn flood_others(fleet: &Fleet, excluded: u32, length: Duration) -> Vec<(Instant, Instant)> {
    let started_at = Instant::now();
    let hosts: Vec<u32> = (1..=3).filter(|host| *host != excluded).collect();
    let streams = (0..8).map(|stream| {
        let host = fleet.caller_address(hosts[stream % 2]);
        async move {
            let caller = Caller::new();
            let mut successful = Vec::new();
            while started_at.elapsed() < length {
                let sent_at = Instant::now();
                if caller.get(host, "/catalogue/rods", "key-small").await.is_success() {
                    successful.push((sent_at, Instant::now()));
                }
            }
            successful
        }
    });
    futures_util::future::join_all(streams).await.into_iter().flatten().collect()
}
