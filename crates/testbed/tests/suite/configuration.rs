//! Accepted configuration is in force everywhere and never reverts.

use std::time::Duration;

use ebonytack_core::{OperatorReply, OperatorRequest};
use ebonytack_testbed::{Fleet, PlatformFault};

use crate::support::{OUT, apply, plan, revision, run, set_burst};

async fn wait_revision(fleet: &Fleet, host: u32, wanted: u64) {
    let reached = async || revision(fleet, host).await >= wanted;
    fleet.wait_for("a revision", reached).await.expect("the revision comes");
}

#[test]
fn of_two_operators_at_once_one_gets_a_conflict_that_names_both_revisions() {
    run(plan(), async |fleet| {
        let (one, two) = (fleet.operator(1), fleet.operator(2));
        let first = apply("one", Some(1), vec![set_burst("bar", 10)]);
        let second = apply("two", Some(1), vec![set_burst("bar", 20)]);
        let (first, second) = futures_util::join!(one.send(&first), two.send(&second));
        let replies = [first.expect("an answer"), second.expect("an answer")];
        let accepted = replies.iter().filter(|r| matches!(r, OperatorReply::Accepted { .. }));
        assert_eq!(accepted.count(), 1, "{replies:?}");
        let conflict = OperatorReply::Conflict { based_on: 1, current: 2 };
        assert!(replies.contains(&conflict), "{replies:?}");
    });
}

#[test]
fn a_lost_answer_is_settled_by_reading() {
    run(plan(), async |fleet| {
        let lose = PlatformFault { drop_response_every: 1, ..PlatformFault::default() };
        fleet.platform.set_fault(1, lose);
        let request = apply("lost", Some(1), vec![set_burst("bar", 10)]);
        let reply = fleet.operator(1).send(&request).await.expect("an answer");
        assert!(matches!(reply, OperatorReply::Accepted { revision: 2, .. }), "{reply:?}");
        let again = fleet.operator(2).send(&request).await.expect("an answer");
        assert!(matches!(again, OperatorReply::Accepted { revision: 2, .. }), "{again:?}");
    });
}

#[test]
fn changes_reach_a_host_without_the_table_and_one_that_starts_during_an_outage() {
    run(plan(), async |mut fleet| {
        fleet.platform.set_fault(3, OUT);
        let request = apply("change", None, vec![set_burst("bar", 10)]);
        let reply = fleet.operator(1).send(&request).await.expect("an answer");
        assert!(matches!(reply, OperatorReply::Accepted { confirmed: true, .. }), "{reply:?}");
        wait_revision(&fleet, 3, 2).await;
        fleet.platform.set_fault_for_all(OUT);
        fleet.host_mut(2).kill();
        fleet.host_mut(2).start().expect("the host starts");
        wait_revision(&fleet, 2, 2).await;
        for host in 1..=3 {
            assert_eq!(revision(&fleet, host).await, 2);
        }
    });
}

#[test]
fn a_slow_table_delays_a_change_but_never_reverts_it() {
    run(plan(), async |fleet| {
        let delay = Duration::from_millis(700);
        fleet.platform.set_fault_for_all(PlatformFault { delay, ..PlatformFault::default() });
        for burst in 1..=3 {
            let request = apply(&format!("change-{burst}"), None, vec![set_burst("bar", burst)]);
            let reply = fleet.operator(1).send(&request).await.expect("an answer");
            assert!(matches!(reply, OperatorReply::Accepted { .. }), "{reply:?}");
            for host in 1..=3 {
                wait_revision(&fleet, host, u64::from(burst) + 1).await;
            }
        }
        let audit = OperatorRequest::Audit { after: 1, limit: 10 };
        let OperatorReply::Audit { changes } = fleet.operator(3).send(&audit).await.expect("audit")
        else {
            panic!("no audit")
        };
        let bursts: Vec<_> = changes.iter().map(|c| c.before[0]["burst"].clone()).collect();
        assert_eq!(bursts, [500, 1, 2]);
    });
}

#[test]
fn a_change_that_breaks_a_rule_is_refused_with_its_path() {
    run(plan(), async |fleet| {
        let request = apply("bad", None, vec![set_burst("bar", 0)]);
        let reply = fleet.operator(1).send(&request).await.expect("an answer");
        let OperatorReply::Refused { message } = reply else { panic!("{reply:?}") };
        assert!(message.contains("customer/bar.burst") && message.contains("found 0"), "{message}");
        assert_eq!(revision(&fleet, 1).await, 1);
    });
}
