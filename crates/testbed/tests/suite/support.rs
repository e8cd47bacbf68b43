//! What the tests share.

use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonytack_core::{KeyHash, Operation, OperatorReply, OperatorRequest};
use ebonytack_testbed::{Caller, Fleet, FleetPlan, PlatformFault};

/// The median time of an instance.
pub const WORK: Duration = Duration::from_millis(5);
/// How long a change may take to be in force everywhere; stated by the users.
pub const IN_FORCE: Duration = Duration::from_secs(2);
/// The platform does not answer.
pub const OUT: PlatformFault =
    PlatformFault { unavailable: true, delay: Duration::ZERO, drop_response_every: 0 };

static ONE_FLEET: Mutex<()> = Mutex::new(());

/// Runs a test with a fleet of its own; one fleet runs at a time, so that tests do not slow each
/// other down.
pub fn run(plan: FleetPlan, test: impl AsyncFnOnce(Fleet)) {
    let _one: MutexGuard<'_, ()> = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    actix_rt::System::new().block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_demo"));
        let fleet = Fleet::start(program, &plan).await.expect("the fleet starts");
        fleet.wait_until_served("/catalogue/warm", "key-club").await.expect("the fleet serves");
        test(fleet).await;
    });
}

/// Plans three hosts, a service of lookups, a service of orders and two customers.
pub fn plan() -> FleetPlan {
    FleetPlan::new(3)
        .service("catalogue", 4, "stock-lookup", WORK)
        .service("orders", 3, "order-once", WORK)
        .customer("club", 1_000, 500)
        .customer("bar", 1_000, 500)
}

/// Returns an operator's change.
pub fn apply(
    change_id: &str,
    based_on: Option<u64>,
    operations: Vec<Operation>,
) -> OperatorRequest {
    OperatorRequest::Apply {
        change_id: change_id.to_owned(),
        author: "test".to_owned(),
        made_at_unix_ms: 0,
        based_on,
        operations,
    }
}

/// Returns an operation that gives a customer another burst.
pub fn set_burst(customer: &str, burst: u32) -> Operation {
    let value = ebonytack_core::Customer { rate_per_second: 1_000, burst };
    Operation::Customer { id: customer.to_owned(), value: Some(value) }
}

/// Withdraws a customer's key through a host.
pub async fn withdraw(fleet: &Fleet, host: u32, customer: &str) -> OperatorReply {
    let request = OperatorRequest::WithdrawKey {
        change_id: format!("withdraw-{customer}"),
        author: "test".to_owned(),
        made_at_unix_ms: 0,
        key: KeyHash::of(format!("key-{customer}").as_bytes()),
    };
    fleet.operator(host).send(&request).await.expect("the host answers")
}

/// Waits until all hosts know the claims of their shards.
pub async fn wait_claims(fleet: &Fleet) {
    for host in &fleet.hosts {
        let ready = async || {
            let status = fleet.operator(host.host).status().await;
            status.is_ok_and(|status| status["claims_ready"] == true)
        };
        fleet.wait_for("claims", ready).await.expect("claims are known");
    }
}

/// Returns the revision that a host has in force; 0 when it does not answer.
pub async fn revision(fleet: &Fleet, host: u32) -> u64 {
    let status = fleet.operator(host).status().await;
    status.map_or(0, |status| status["revision"].as_u64().unwrap_or_default())
}

/// Waits until a lookup through a host ends with one of these statuses.
pub async fn wait_status(fleet: &Fleet, host: u32, key: &str, statuses: &[u16]) {
    let caller = Caller::new();
    fleet
        .wait_for("an expected status", async || {
            let reply = caller.get(fleet.caller_address(host), "/catalogue/rods", key).await;
            statuses.contains(&reply.status)
        })
        .await
        .expect("the status comes");
}
