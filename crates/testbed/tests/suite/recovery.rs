//! Hosts stop, die and come back.

use std::cell::Cell;
use std::time::Duration;

use ebonytack_testbed::Caller;

use crate::support::{plan, run, wait_status};

#[test]
fn a_planned_stop_cuts_no_request() {
    let mut plan = plan();
    plan.services[0].latency.median = Duration::from_millis(150);
    run(plan, async |mut fleet| {
        let host = fleet.caller_address(2);
        let caller = Caller::new();
        let stop = Cell::new(false);
        let streams = (0..10).map(|_| async {
            let mut cut = 0;
            while !stop.get() {
                let reply = caller.get(host, "/catalogue/rods", "key-club").await;
                cut += usize::from(reply.status == 0);
            }
            cut
        });
        let balancer = async {
            actix_rt::time::sleep(Duration::from_millis(200)).await;
            fleet.host(2).terminate();
            // The balancer notices that the host is not ready and sends no more.
            let operator = fleet.operator(2);
            fleet.wait_for("not ready", async || !operator.is_ready().await).await.expect("stops");
            stop.set(true);
        };
        let (cut, ()) = futures_util::join!(futures_util::future::join_all(streams), balancer);
        assert_eq!(cut.iter().sum::<usize>(), 0);
        let status = fleet.host_mut(2).wait().expect("the host ends");
        assert!(status.success(), "{status}");
    });
}

#[test]
fn a_killed_host_serves_again_after_its_restart() {
    run(plan(), async |mut fleet| {
        fleet.host_mut(1).kill();
        wait_status(&fleet, 2, "key-club", &[200]).await;
        fleet.host_mut(1).start().expect("the host starts");
        wait_status(&fleet, 1, "key-club", &[200]).await;
    });
}
