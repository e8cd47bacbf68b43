//! Accepted changes reach every host and never revert.

use std::time::Duration;

use ebonytack_core::{OperatorReply, OperatorRequest};
use ebonytack_testbed::{Fleet, PlatformFault};

use crate::support::{UNAVAILABLE, apply, plan, revision, run, set_burst};

async fn wait_revision(fleet: &Fleet, host: u32, revision_min: u64) {
    let reached = async || revision(fleet, host).await >= revision_min;
    fleet.wait_for("a revision", reached).await.expect("the host has the revision");
}

#[test]
fn concurrent_changes_yield_one_conflict_with_both_revisions() {
    run(plan(), async |fleet| {
        let (one, two) = (fleet.operator(1), fleet.operator(2));
        let first = apply("one", Some(1), vec![set_burst("bar", 10)]);
        let second = apply("two", Some(1), vec![set_burst("bar", 20)]);
        let (first, second) = futures_util::join!(one.send(&first), two.send(&second));
        let replies = [first.expect("the host replies"), second.expect("the host replies")];
        let accepted = replies.iter().filter(|r| matches!(r, OperatorReply::Accepted { .. }));
        assert_eq!(accepted.count(), 1, "{replies:?}");
        let conflict = OperatorReply::Conflict { based_on: 1, current: 2 };
        assert!(replies.contains(&conflict), "{replies:?}");
    });
}

#[test]
fn change_is_accepted_when_the_table_response_is_lost() {
    run(plan(), async |fleet| {
        let dropping = PlatformFault { drop_response_every: 1, ..PlatformFault::default() };
        fleet.platform.set_fault(1, dropping);
        let request = apply("lost", Some(1), vec![set_burst("bar", 10)]);
        let reply = fleet.operator(1).send(&request).await.expect("the host replies");
        assert!(matches!(reply, OperatorReply::Accepted { revision: 2, .. }), "{reply:?}");
        let again = fleet.operator(2).send(&request).await.expect("the host replies");
        assert!(matches!(again, OperatorReply::Accepted { revision: 2, .. }), "{again:?}");
    });
}

#[test]
fn changes_reach_hosts_that_cannot_read_the_table() {
    run(plan(), async |mut fleet| {
        fleet.platform.set_fault(3, UNAVAILABLE);
        let request = apply("change", None, vec![set_burst("bar", 10)]);
        let reply = fleet.operator(1).send(&request).await.expect("the host replies");
        assert!(matches!(reply, OperatorReply::Accepted { confirmed: true, .. }), "{reply:?}");
        wait_revision(&fleet, 3, 2).await;
        fleet.platform.set_fault_for_all(UNAVAILABLE);
        fleet.host_mut(2).kill();
        fleet.host_mut(2).start().expect("the host starts");
        wait_revision(&fleet, 2, 2).await;
        for host in 1..=3 {
            assert_eq!(revision(&fleet, host).await, 2);
        }
    });
}

#[test]
fn slow_table_delays_but_never_reverts_changes() {
    run(plan(), async |fleet| {
        let delay = Duration::from_millis(700);
        fleet.platform.set_fault_for_all(PlatformFault { delay, ..PlatformFault::default() });
        for burst in 1..=3 {
            let request = apply(&format!("change-{burst}"), None, vec![set_burst("bar", burst)]);
            let reply = fleet.operator(1).send(&request).await.expect("the host replies");
            assert!(matches!(reply, OperatorReply::Accepted { .. }), "{reply:?}");
            for host in 1..=3 {
                wait_revision(&fleet, host, u64::from(burst) + 1).await;
            }
        }
        let audit = OperatorRequest::Audit { after: 1, limit: 10 };
        let OperatorReply::Audit { changes } =
            fleet.operator(3).send(&audit).await.expect("the host replies")
        else {
            panic!("the reply is not an audit")
        };
        let bursts: Vec<_> = changes.iter().map(|c| c.before[0]["burst"].clone()).collect();
        assert_eq!(bursts, [500, 1, 2]);
    });
}

#[test]
fn invalid_change_is_rejected_with_its_path() {
    run(plan(), async |fleet| {
        let request = apply("bad", None, vec![set_burst("bar", 0)]);
        let reply = fleet.operator(1).send(&request).await.expect("the host replies");
        let OperatorReply::Refused { message } = reply else { panic!("{reply:?}") };
        assert!(message.contains("customer/bar.burst") && message.contains("found 0"), "{message}");
        assert_eq!(revision(&fleet, 1).await, 1);
    });
}
