//! Failing instances are avoided within the service's floor.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use ebonytack_core::{InstanceState, Operation};
use ebonytack_testbed::{Caller, Fleet, InstanceFault};

use crate::support::{apply, plan, run};

/// Sends lookups over all hosts until the instances that answered are among `wanted`.
async fn wait_answers_from(fleet: &Fleet, wanted: &BTreeSet<&str>) -> Duration {
    let caller = Caller::new();
    let began = Instant::now();
    fleet
        .wait_for("traffic to move", async || {
            let lookups = (0..60).map(|index| {
                caller.get(fleet.caller_address(index % 3 + 1), "/catalogue/rods", "key-club")
            });
            let replies = futures_util::future::join_all(lookups).await;
            replies.iter().all(|r| r.instance.as_deref().is_some_and(|i| wanted.contains(i)))
        })
        .await
        .expect("traffic moves");
    began.elapsed()
}

#[test]
fn an_instance_that_fails_is_avoided_and_returns_when_it_is_well() {
    run(plan(), async |fleet| {
        let upstream = fleet.upstream("catalogue");
        let well = BTreeSet::from(["catalogue-2", "catalogue-3", "catalogue-4"]);
        let fault = InstanceFault { silent: true, ..InstanceFault::default() };
        upstream.set_fault("catalogue-1", fault);
        wait_answers_from(&fleet, &well).await;
        upstream.set_fault("catalogue-1", InstanceFault::default());
        let caller = Caller::new();
        fleet
            .wait_for("the instance to return", async || {
                let reply =
                    caller.get(fleet.caller_address(1), "/catalogue/rods", "key-club").await;
                reply.instance.as_deref() == Some("catalogue-1")
            })
            .await
            .expect("the instance returns");
    });
}

#[test]
fn ejections_stop_at_the_floor() {
    run(plan(), async |fleet| {
        let upstream = fleet.upstream("catalogue");
        let fault = InstanceFault { error_percent: 100, ..InstanceFault::default() };
        upstream.set_fault_for_all(&fault);
        let caller = Caller::new();
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(5) {
            let lookups = (0..30).map(|index| {
                caller.get(fleet.caller_address(index % 3 + 1), "/catalogue/rods", "key-club")
            });
            futures_util::future::join_all(lookups).await;
            let mut granted = BTreeSet::new();
            for host in 1..=3 {
                let status = fleet.operator(host).status().await.expect("a status");
                let list = status["services"]["catalogue"]["granted"].as_array().cloned();
                granted.extend(list.unwrap_or_default().iter().map(|entry| entry[0].to_string()));
            }
            assert!(granted.len() <= 2, "{granted:?}");
        }
    });
}

#[test]
fn a_drained_instance_gets_no_new_work_within_two_seconds() {
    run(plan(), async |fleet| {
        let operation = Operation::InstanceState {
            service: "catalogue".to_owned(),
            instance: "catalogue-1".to_owned(),
            value: InstanceState::Draining,
        };
        fleet.operator(1).send(&apply("drain", None, vec![operation])).await.expect("an answer");
        let rest = BTreeSet::from(["catalogue-2", "catalogue-3", "catalogue-4"]);
        let took = wait_answers_from(&fleet, &rest).await;
        assert!(took < Duration::from_secs(2), "{took:?}");
    });
}
