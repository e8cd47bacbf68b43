//! Withdrawal of API keys on every host that serves.

use std::time::Instant;

use ebonytack_core::OperatorReply;
use ebonytack_testbed::{Caller, LinkFault};

use crate::support::{IN_FORCE_MAX, UNAVAILABLE, plan, run, wait_status, withdraw};

#[test]
fn withdrawn_key_is_rejected_on_all_hosts_and_open_connections() {
    run(plan(), async |fleet| {
        let caller = Caller::new();
        let reply = withdraw(&fleet, 1, "bar").await;
        assert!(matches!(reply, OperatorReply::Withdrawn), "{reply:?}");
        let withdrawn_at = Instant::now();
        for host in 1..=3 {
            wait_status(&fleet, host, "key-bar", &[403]).await;
            let other = caller.get(fleet.caller_address(host), "/catalogue/rods", "key-club").await;
            assert_eq!(other.status, 200);
        }
        assert!(withdrawn_at.elapsed() < IN_FORCE_MAX, "{:?}", withdrawn_at.elapsed());
    });
}

#[test]
fn key_withdrawn_during_a_table_outage_stays_withdrawn() {
    run(plan(), async |fleet| {
        fleet.platform.set_fault_for_all(UNAVAILABLE);
        let requested_at = Instant::now();
        let reply = withdraw(&fleet, 2, "bar").await;
        assert!(matches!(reply, OperatorReply::Withdrawn), "{reply:?}");
        for host in 1..=3 {
            wait_status(&fleet, host, "key-bar", &[403]).await;
        }
        assert!(requested_at.elapsed() < IN_FORCE_MAX, "{:?}", requested_at.elapsed());
        fleet.platform.set_fault_for_all(Default::default());
        fleet
            .wait_for("the withdrawal to be written to the table", async || {
                crate::support::revision(&fleet, 3).await >= 2
            })
            .await
            .expect("the withdrawal is written");
        wait_status(&fleet, 3, "key-bar", &[403]).await;
    });
}

#[test]
fn isolated_host_stops_serving_keyed_routes() {
    run(plan().proxied(), async |fleet| {
        fleet.platform.set_fault(3, UNAVAILABLE);
        fleet.isolate(3, true);
        let isolated_at = Instant::now();
        wait_status(&fleet, 3, "key-club", &[503]).await;
        assert!(isolated_at.elapsed() < IN_FORCE_MAX * 2, "{:?}", isolated_at.elapsed());
        let caller = Caller::new();
        let response = caller.get(fleet.caller_address(3), "/catalogue/rods", "key-club").await;
        assert!(response.is_not_run(), "{response:?}");
        wait_status(&fleet, 1, "key-club", &[200]).await;
        fleet.isolate(3, false);
        wait_status(&fleet, 3, "key-club", &[200]).await;
    });
}

#[test]
fn withdrawn_key_is_rejected_behind_a_one_way_partition() {
    run(plan().proxied(), async |fleet| {
        fleet.platform.set_fault(3, UNAVAILABLE);
        let one_way = LinkFault { hold_to_server: true, ..LinkFault::default() };
        fleet.set_link(1, 3, one_way);
        fleet.set_link(2, 3, one_way);
        let requested_at = Instant::now();
        let reply = withdraw(&fleet, 1, "bar").await;
        assert!(matches!(reply, OperatorReply::Withdrawn), "{reply:?}");
        wait_status(&fleet, 3, "key-bar", &[403, 503]).await;
        assert!(requested_at.elapsed() < IN_FORCE_MAX, "{:?}", requested_at.elapsed());
    });
}

#[test]
fn requests_succeed_during_a_table_outage() {
    run(plan(), async |fleet| {
        fleet.platform.set_fault_for_all(UNAVAILABLE);
        let caller = Caller::new();
        let started_at = Instant::now();
        while started_at.elapsed() < IN_FORCE_MAX * 2 {
            for host in 1..=3 {
                let response =
                    caller.get(fleet.caller_address(host), "/catalogue/rods", "key-club").await;
                assert_eq!(response.status, 200, "{response:?}");
            }
        }
    });
}
