//! Work that must happen once happens at most once.

use std::collections::BTreeMap;

use awc::http::Method;
use bytes::Bytes;
use ebonytack_testbed::{Caller, CallerResponse, Fleet, InstanceFault, PlatformFault};

use crate::support::{OUT, plan, run, wait_claims};

fn runs(fleet: &Fleet) -> BTreeMap<String, usize> {
    fleet.upstream("orders").count_by_header("idempotency-key")
}

async fn order(fleet: &Fleet, host: u32, name: &str) -> CallerResponse {
    Caller::new()
        .send_order(fleet.caller_address(host), "/orders/new", "key-club", name, "two rods")
        .await
}

#[test]
fn a_repeat_through_another_host_gets_the_recorded_answer() {
    run(plan(), async |fleet| {
        let first = order(&fleet, 1, "a").await;
        assert_eq!((first.status, first.replayed), (200, false), "{first:?}");
        for host in 1..=3 {
            let again = order(&fleet, host, "a").await;
            assert_eq!((again.status, again.replayed), (200, true), "{again:?}");
            assert_eq!(again.body, first.body);
        }
        let caller = Caller::new();
        let other = caller
            .send_order(fleet.caller_address(2), "/orders/new", "key-club", "a", "other")
            .await;
        assert_eq!((other.status, other.is_not_run()), (422, true), "{other:?}");
        let theirs = caller
            .send_order(fleet.caller_address(2), "/orders/new", "key-bar", "a", "other")
            .await;
        assert_eq!((theirs.status, theirs.replayed), (200, false), "{theirs:?}");
        assert_eq!(runs(&fleet)["a"], 2, "one for each customer");
    });
}

#[test]
fn repeats_at_the_same_moment_run_once() {
    run(plan(), async |fleet| {
        for round in 0..20 {
            let name = format!("same-{round}");
            let repeats = (0..6).map(|index| order(&fleet, index % 3 + 1, &name));
            let replies = futures_util::future::join_all(repeats).await;
            let ran = runs(&fleet).get(&name).copied().unwrap_or_default();
            assert!(ran <= 1, "{name} ran {ran} times: {replies:?}");
            let good = replies.iter().filter(|reply| reply.is_success()).count();
            assert!(ran == 1 || good == 0, "{replies:?}");
        }
    });
}

#[test]
fn orders_run_once_with_the_table_out_and_after_hosts_were_replaced() {
    run(plan(), async |mut fleet| {
        wait_claims(&fleet).await;
        fleet.platform.set_fault_for_all(OUT);
        for index in 0..10 {
            let reply = order(&fleet, index % 3 + 1, &format!("out-{index}")).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        for host in 1..=3 {
            fleet.host_mut(host).kill();
            fleet.host_mut(host).start().expect("the host starts");
            fleet.wait_ready(host).await.expect("the host is ready");
            fleet.wait_until_served("/catalogue/warm", "key-club").await.expect("the fleet serves");
            for index in 0..10 {
                let reply = order(&fleet, index % 3 + 1, &format!("out-{index}")).await;
                assert!(reply.replayed || !reply.is_success(), "{reply:?}");
            }
        }
        for (name, count) in runs(&fleet) {
            assert_eq!(count, 1, "{name}");
        }
    });
}

#[test]
fn orders_are_remembered_by_the_table_when_all_hosts_lose_their_memory() {
    run(plan(), async |mut fleet| {
        let first = order(&fleet, 1, "kept").await;
        assert_eq!(first.status, 200, "{first:?}");
        fleet.hosts.iter_mut().for_each(|host| host.kill());
        for host in &mut fleet.hosts {
            host.start().expect("the host starts");
        }
        for host in 1..=3 {
            fleet.wait_ready(host).await.expect("the host is ready");
        }
        fleet.wait_until_served("/catalogue/warm", "key-club").await.expect("the fleet serves");
        for host in 1..=3 {
            let again = order(&fleet, host, "kept").await;
            assert!(!again.is_success() && !again.is_not_run(), "{again:?}");
        }
        assert_eq!(runs(&fleet)["kept"], 1);
    });
}

#[test]
fn failed_orders_are_never_sent_twice_and_refusals_tell_the_truth() {
    run(plan(), async |fleet| {
        let upstream = fleet.upstream("orders");
        let faults = [
            InstanceFault { silent: true, ..InstanceFault::default() },
            InstanceFault { truncate_percent: 100, ..InstanceFault::default() },
            InstanceFault { refuse: true, ..InstanceFault::default() },
            InstanceFault { error_percent: 100, ..InstanceFault::default() },
        ];
        let caller = Caller::new();
        for (round, fault) in faults.iter().enumerate() {
            upstream.set_fault_for_all(fault);
            for index in 0..4 {
                let name = format!("fault-{round}-{index}");
                let headers = [
                    ("x-api-key", "key-club"),
                    ("x-order", &name),
                    ("x-request-timeout-ms", "400"),
                ];
                let host = fleet.caller_address(index % 3 + 1);
                let body = Bytes::from_static(b"two rods");
                let reply = caller.send(host, Method::POST, "/orders/new", &headers, body).await;
                let ran = upstream.count_by_header("x-order").get(&name).copied();
                assert!(ran.unwrap_or_default() <= 1, "{name}: {ran:?}");
                assert!(!reply.is_not_run() || ran.is_none(), "{name}: {reply:?} {ran:?}");
            }
        }
    });
}

#[test]
fn a_lost_answer_of_the_table_runs_no_order_twice() {
    run(plan(), async |fleet| {
        let lose = PlatformFault { drop_response_every: 2, ..PlatformFault::default() };
        fleet.platform.set_fault_for_all(lose);
        for index in 0..6 {
            let name = format!("lost-{index}");
            for host in 1..=3 {
                order(&fleet, host, &name).await;
            }
        }
        for (name, count) in runs(&fleet) {
            assert_eq!(count, 1, "{name}");
        }
    });
}
