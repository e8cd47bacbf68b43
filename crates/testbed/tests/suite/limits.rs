//! Rate and burst over the whole fleet.

use std::time::{Duration, Instant};

use ebonytack_testbed::{Caller, CallerResponse, Fleet, FleetPlan};

use crate::support::{OUT, plan, run};

const RATE_PER_SECOND: u32 = 50;
const BURST: u32 = 20;

fn limited() -> FleetPlan {
    plan().customer("small", RATE_PER_SECOND, BURST)
}

/// Sends requests over all hosts as fast as they are answered and returns when each good answer
/// was asked for and had come.
async fn flood(fleet: &Fleet, length: Duration) -> Vec<(Instant, Instant)> {
    let began = Instant::now();
    let streams = (0..12).map(|stream| async move {
        let caller = Caller::new();
        let mut good = Vec::new();
        while began.elapsed() < length {
            let asked = Instant::now();
            let host = fleet.caller_address(stream % 3 + 1);
            let reply: CallerResponse = caller.get(host, "/catalogue/rods", "key-small").await;
            if reply.is_success() {
                good.push((asked, Instant::now()));
            }
        }
        good
    });
    futures_util::future::join_all(streams).await.into_iter().flatten().collect()
}

/// Asserts that no window holds more requests than burst and rate allow.
fn assert_within(good: &[(Instant, Instant)]) {
    for (start, _) in good {
        let mut ends: Vec<_> =
            good.iter().filter(|(asked, _)| asked >= start).map(|(_, end)| *end).collect();
        ends.sort();
        for (count, end) in ends.iter().enumerate() {
            let window = end.duration_since(*start).as_secs_f64();
            let allowed = f64::from(BURST) + f64::from(RATE_PER_SECOND) * window;
            assert!((count + 1) as f64 <= allowed, "{} in {window} s", count + 1);
        }
    }
}

#[test]
fn a_flood_over_all_hosts_gets_rate_and_burst_and_no_more() {
    run(limited(), async |fleet| {
        fleet
            .wait_until_served("/catalogue/warm", "key-small")
            .await
            .expect("the bucket has a holder");
        let good = flood(&fleet, Duration::from_secs(3)).await;
        assert_within(&good);
        let least = RATE_PER_SECOND as usize * 2;
        assert!(good.len() >= least, "{} of at least {least}", good.len());
    });
}

#[test]
fn a_holder_that_is_killed_or_frozen_with_the_table_out_admits_nothing_extra() {
    run(limited(), async |mut fleet| {
        let warm = flood(&fleet, Duration::from_millis(500)).await;
        assert_within(&warm);
        fleet.platform.set_fault_for_all(OUT);
        for host in 1..=3 {
            fleet.host(host).pause();
            let during = flood_others(&fleet, host, Duration::from_millis(2_500)).await;
            fleet.host(host).resume();
            let after = flood(&fleet, Duration::from_millis(1_000)).await;
            let all: Vec<_> = during.into_iter().chain(after).collect();
            assert_within(&all);
        }
        fleet.host_mut(1).kill();
        let during = flood_others(&fleet, 1, Duration::from_millis(3_000)).await;
        assert_within(&during);
        assert!(!during.is_empty(), "another host took the bucket over");
    });
}

/// Like [`flood`], over the hosts other than one.
async fn flood_others(fleet: &Fleet, down: u32, length: Duration) -> Vec<(Instant, Instant)> {
    let began = Instant::now();
    let hosts: Vec<u32> = (1..=3).filter(|host| *host != down).collect();
    let streams = (0..8).map(|stream| {
        let host = fleet.caller_address(hosts[stream % 2]);
        async move {
            let caller = Caller::new();
            let mut good = Vec::new();
            while began.elapsed() < length {
                let asked = Instant::now();
                if caller.get(host, "/catalogue/rods", "key-small").await.is_success() {
                    good.push((asked, Instant::now()));
                }
            }
            good
        }
    });
    futures_util::future::join_all(streams).await.into_iter().flatten().collect()
}
