//! Orders run at most once per idempotency key.

use std::collections::BTreeMap;

use awc::http::Method;
use bytes::Bytes;
use ebonytack_testbed::{Caller, CallerResponse, Fleet, InstanceFault, PlatformFault};

use crate::support::{UNAVAILABLE, plan, run, wait_claims};

fn run_counts(fleet: &Fleet) -> BTreeMap<String, usize> {
    fleet.upstream("orders").count_by_header("idempotency-key")
}

async fn send_order(fleet: &Fleet, host: u32, name: &str) -> CallerResponse {
    Caller::new()
        .send_order(fleet.caller_address(host), "/orders/new", "key-club", name, "two rods")
        .await
}

#[test]
fn retried_order_gets_the_recorded_response_from_any_host() {
    run(plan(), async |fleet| {
        let first = send_order(&fleet, 1, "a").await;
        assert_eq!((first.status, first.replayed), (200, false), "{first:?}");
        for host in 1..=3 {
            let again = send_order(&fleet, host, "a").await;
            assert_eq!((again.status, again.replayed), (200, true), "{again:?}");
            assert_eq!(again.body, first.body);
        }
        let caller = Caller::new();
        let other_body = caller
            .send_order(fleet.caller_address(2), "/orders/new", "key-club", "a", "other")
            .await;
        assert_eq!((other_body.status, other_body.is_not_run()), (422, true), "{other_body:?}");
        let other_customer = caller
            .send_order(fleet.caller_address(2), "/orders/new", "key-bar", "a", "other")
            .await;
        assert_eq!(
            (other_customer.status, other_customer.replayed),
            (200, false),
            "{other_customer:?}"
        );
        assert_eq!(run_counts(&fleet)["a"], 2, "one run for each customer");
    });
}

#[test]
fn concurrent_duplicate_orders_run_once() {
    run(plan(), async |fleet| {
        for round in 0..20 {
            let name = format!("same-{round}");
            let duplicates = (0..6).map(|index| send_order(&fleet, index % 3 + 1, &name));
            let responses = futures_util::future::join_all(duplicates).await;
            let run_count = run_counts(&fleet).get(&name).copied().unwrap_or_default();
            assert!(run_count <= 1, "{name} ran {run_count} times: {responses:?}");
            let successful = responses.iter().filter(|response| response.is_success()).count();
            assert!(run_count == 1 || successful == 0, "{responses:?}");
        }
    });
}

#[test]
fn orders_run_once_without_the_table_and_after_host_restarts() {
    run(plan(), async |mut fleet| {
        wait_claims(&fleet).await;
        fleet.platform.set_fault_for_all(UNAVAILABLE);
        for index in 0..10 {
            let response = send_order(&fleet, index % 3 + 1, &format!("out-{index}")).await;
            assert_eq!(response.status, 200, "{response:?}");
        }
        for host in 1..=3 {
            fleet.host_mut(host).kill();
            fleet.host_mut(host).start().expect("the host starts");
            fleet.wait_ready(host).await.expect("the host is ready");
            fleet.wait_until_served("/catalogue/warm", "key-club").await.expect("the fleet serves");
            for index in 0..10 {
                let response = send_order(&fleet, index % 3 + 1, &format!("out-{index}")).await;
                assert!(response.replayed || !response.is_success(), "{response:?}");
            }
        }
        for (name, count) in run_counts(&fleet) {
            assert_eq!(count, 1, "{name}");
        }
    });
}

#[test]
fn recorded_order_is_not_rerun_after_all_hosts_restart() {
    run(plan(), async |mut fleet| {
        let first = send_order(&fleet, 1, "kept").await;
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
            let again = send_order(&fleet, host, "kept").await;
            assert!(!again.is_success() && !again.is_not_run(), "{again:?}");
        }
        assert_eq!(run_counts(&fleet)["kept"], 1);
    });
}

/// Also checks that no order that ran is reported as "not run".
#[test]
fn orders_on_faulty_instances_run_at_most_once() {
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
                let response = caller.send(host, Method::POST, "/orders/new", &headers, body).await;
                let run_count = upstream.count_by_header("x-order").get(&name).copied();
                assert!(run_count.unwrap_or_default() <= 1, "{name}: {run_count:?}");
                assert!(
                    !response.is_not_run() || run_count.is_none(),
                    "{name}: {response:?} {run_count:?}"
                );
            }
        }
    });
}

#[test]
fn orders_run_once_despite_lost_table_responses() {
    run(plan(), async |fleet| {
        let dropping = PlatformFault { drop_response_every: 2, ..PlatformFault::default() };
        fleet.platform.set_fault_for_all(dropping);
        for index in 0..6 {
            let name = format!("lost-{index}");
            for host in 1..=3 {
                send_order(&fleet, host, &name).await;
            }
        }
        for (name, count) in run_counts(&fleet) {
            assert_eq!(count, 1, "{name}");
        }
    });
}
