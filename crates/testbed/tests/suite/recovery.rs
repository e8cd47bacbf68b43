//! Graceful stops, crashes and restarts of hosts.

use std::cell::Cell;
use std::time::Duration;

use ebonytack_testbed::Caller;

use crate::support::{plan, run, wait_status};

#[test]
fn graceful_stop_completes_requests_in_flight() {
    let mut plan = plan();
    plan.services[0].latency.median = Duration::from_millis(150);
    run(plan, async |mut fleet| {
        let host = fleet.caller_address(2);
        let caller = Caller::new();
        let stopping = Cell::new(false);
        let streams = (0..10).map(|_| async {
            let mut unanswered = 0;
            while !stopping.get() {
                let response = caller.get(host, "/catalogue/rods", "key-club").await;
                unanswered += usize::from(response.status == 0);
            }
            unanswered
        });
        let balancer = async {
            actix_rt::time::sleep(Duration::from_millis(200)).await;
            fleet.host(2).terminate();
            // A load balancer sends no more requests once the host reports that it is not ready.
            let operator = fleet.operator(2);
            fleet
                .wait_for("the host not to be ready", async || !operator.is_ready().await)
                .await
                .expect("the host stops being ready");
            stopping.set(true);
        };
        let (unanswered, ()) =
            futures_util::join!(futures_util::future::join_all(streams), balancer);
        assert_eq!(unanswered.iter().sum::<usize>(), 0);
        let status = fleet.host_mut(2).wait().expect("the host ends");
        assert!(status.success(), "{status}");
    });
}

#[test]
fn killed_host_serves_after_a_restart() {
    run(plan(), async |mut fleet| {
        fleet.host_mut(1).kill();
        wait_status(&fleet, 2, "key-club", &[200]).await;
        fleet.host_mut(1).start().expect("the host starts");
        wait_status(&fleet, 1, "key-club", &[200]).await;
    });
}
