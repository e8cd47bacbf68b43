//! Failing and drained instances are avoided, but ejections leave `floor_percent` of a service's
//! instances in use.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use ebonytack_core::{InstanceState, Operation};
use ebonytack_testbed::{Caller, Fleet, InstanceFault};

use crate::support::{apply, plan, run};

/// Sends batches of 60 lookups through all hosts until only instances in `expected` respond to a
/// batch. Returns the time that this took.
async fn wait_for_responses_from(fleet: &Fleet, expected: &BTreeSet<&str>) -> Duration {
    let caller = Caller::new();
    let started_at = Instant::now();
    fleet
        .wait_for("responses from the expected instances only", async || {
            let lookups = (0..60).map(|index| {
                caller.get(fleet.caller_address(index % 3 + 1), "/catalogue/rods", "key-club")
            });
            let responses = futures_util::future::join_all(lookups).await;
            responses.iter().all(|r| r.instance.as_deref().is_some_and(|i| expected.contains(i)))
        })
        .await
        .expect("only the expected instances respond");
    started_at.elapsed()
}

#[test]
fn failing_instance_is_avoided_until_it_recovers() {
    run(plan(), async |fleet| {
        let upstream = fleet.upstream("catalogue");
        let healthy = BTreeSet::from(["catalogue-2", "catalogue-3", "catalogue-4"]);
        let fault = InstanceFault { silent: true, ..InstanceFault::default() };
        upstream.set_fault("catalogue-1", fault);
        wait_for_responses_from(&fleet, &healthy).await;
        upstream.set_fault("catalogue-1", InstanceFault::default());
        let caller = Caller::new();
        fleet
            .wait_for("the instance to return", async || {
                let response =
                    caller.get(fleet.caller_address(1), "/catalogue/rods", "key-club").await;
                response.instance.as_deref() == Some("catalogue-1")
            })
            .await
            .expect("the instance returns");
    });
}

#[test]
fn ejections_keep_floor_percent_in_use() {
    run(plan(), async |fleet| {
        let upstream = fleet.upstream("catalogue");
        let fault = InstanceFault { error_percent: 100, ..InstanceFault::default() };
        upstream.set_fault_for_all(&fault);
        let caller = Caller::new();
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(5) {
            let lookups = (0..30).map(|index| {
                caller.get(fleet.caller_address(index % 3 + 1), "/catalogue/rods", "key-club")
            });
            futures_util::future::join_all(lookups).await;
            let mut ejected = BTreeSet::new();
            for host in 1..=3 {
                let status =
                    fleet.operator(host).status().await.expect("the host reports its status");
                let list = status["services"]["catalogue"]["granted"].as_array().cloned();
                ejected.extend(list.unwrap_or_default().iter().map(|entry| entry[0].to_string()));
            }
            assert!(ejected.len() <= 2, "{ejected:?}");
        }
    });
}

#[test]
fn drained_instance_gets_no_requests_after_two_seconds() {
    run(plan(), async |fleet| {
        let operation = Operation::InstanceState {
            service: "catalogue".to_owned(),
            instance: "catalogue-1".to_owned(),
            value: InstanceState::Draining,
        };
        fleet
            .operator(1)
            .send(&apply("drain", None, vec![operation]))
            .await
            .expect("the host replies");
        let others = BTreeSet::from(["catalogue-2", "catalogue-3", "catalogue-4"]);
        let elapsed = wait_for_responses_from(&fleet, &others).await;
        assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    });
}
