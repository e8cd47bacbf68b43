//! Withdrawn keys stop on every host that serves.

use std::time::Instant;

use ebonytack_core::OperatorReply;
use ebonytack_testbed::{Caller, LinkFault};

use crate::support::{IN_FORCE, OUT, plan, run, wait_status, withdraw};

#[test]
fn a_withdrawn_key_stops_on_all_hosts_also_on_open_connections() {
    run(plan(), async |fleet| {
        let caller = Caller::new();
        let reply = withdraw(&fleet, 1, "bar").await;
        assert!(matches!(reply, OperatorReply::Withdrawn), "{reply:?}");
        let asked = Instant::now();
        for host in 1..=3 {
            wait_status(&fleet, host, "key-bar", &[403]).await;
            let other = caller.get(fleet.caller_address(host), "/catalogue/rods", "key-club").await;
            assert_eq!(other.status, 200);
        }
        assert!(asked.elapsed() < IN_FORCE, "{:?}", asked.elapsed());
    });
}

#[test]
fn a_key_can_be_withdrawn_while_the_table_is_out_and_stays_withdrawn() {
    run(plan(), async |fleet| {
        fleet.platform.set_fault_for_all(OUT);
        let asked = Instant::now();
        let reply = withdraw(&fleet, 2, "bar").await;
        assert!(matches!(reply, OperatorReply::Withdrawn), "{reply:?}");
        for host in 1..=3 {
            wait_status(&fleet, host, "key-bar", &[403]).await;
        }
        assert!(asked.elapsed() < IN_FORCE, "{:?}", asked.elapsed());
        fleet.platform.set_fault_for_all(Default::default());
        fleet
            .wait_for("the table to have the withdrawal", async || {
                crate::support::revision(&fleet, 3).await >= 2
            })
            .await
            .expect("the withdrawal is written");
        wait_status(&fleet, 3, "key-bar", &[403]).await;
    });
}

#[test]
fn a_host_that_can_learn_nothing_stops_serving_keyed_routes() {
    run(plan().proxied(), async |fleet| {
        fleet.platform.set_fault(3, OUT);
        fleet.isolate(3, true);
        let cut = Instant::now();
        wait_status(&fleet, 3, "key-club", &[503]).await;
        assert!(cut.elapsed() < IN_FORCE * 2, "{:?}", cut.elapsed());
        let caller = Caller::new();
        let reply = caller.get(fleet.caller_address(3), "/catalogue/rods", "key-club").await;
        assert!(reply.is_not_run(), "{reply:?}");
        wait_status(&fleet, 1, "key-club", &[200]).await;
        fleet.isolate(3, false);
        wait_status(&fleet, 3, "key-club", &[200]).await;
    });
}

#[test]
fn a_one_way_cut_lets_no_withdrawn_key_through() {
    run(plan().proxied(), async |fleet| {
        fleet.platform.set_fault(3, OUT);
        let deaf = LinkFault { hold_forward: true, ..LinkFault::default() };
        fleet.set_link(1, 3, deaf);
        fleet.set_link(2, 3, deaf);
        let asked = Instant::now();
        let reply = withdraw(&fleet, 1, "bar").await;
        assert!(matches!(reply, OperatorReply::Withdrawn), "{reply:?}");
        wait_status(&fleet, 3, "key-bar", &[403, 503]).await;
        assert!(asked.elapsed() < IN_FORCE, "{:?}", asked.elapsed());
    });
}

#[test]
fn a_table_outage_stops_nobody() {
    run(plan(), async |fleet| {
        fleet.platform.set_fault_for_all(OUT);
        let caller = Caller::new();
        let began = Instant::now();
        while began.elapsed() < IN_FORCE * 2 {
            for host in 1..=3 {
                let reply =
                    caller.get(fleet.caller_address(host), "/catalogue/rods", "key-club").await;
                assert_eq!(reply.status, 200, "{reply:?}");
            }
        }
    });
}
