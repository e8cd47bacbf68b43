//! Plans, requests and waits that the tests share.

use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonytack_core::{KeyHash, Operation, OperatorReply, OperatorRequest};
use ebonytack_testbed::{Caller, Fleet, FleetPlan, PlatformFault};

/// The processing time of a request on an instance.
pub const INSTANCE_LATENCY: Duration = Duration::from_millis(5);
/// The maximum time until a change is in force on all hosts, as required by users.
pub const IN_FORCE_MAX: Duration = Duration::from_secs(2);
/// The platform rejects every request.
pub const UNAVAILABLE: PlatformFault =
    PlatformFault { unavailable: true, delay: Duration::ZERO, drop_response_every: 0 };

static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Starts a fleet and runs a test with it. Only one fleet runs at a time, so that tests do not slow
/// each other down.
pub fn run(plan: FleetPlan, test: impl AsyncFnOnce(Fleet)) {
    let _guard: MutexGuard<'_, ()> = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    actix_rt::System::new().block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_demo"));
        let fleet = Fleet::start(program, &plan).await.expect("the fleet starts");
        fleet.wait_until_served("/catalogue/warm", "key-club").await.expect("the fleet serves");
        test(fleet).await;
    });
}

/// Returns a plan of three hosts, a lookup service, an order service and two customers.
pub fn plan() -> FleetPlan {
    FleetPlan::new(3)
        .service("catalogue", 4, "stock-lookup", INSTANCE_LATENCY)
        .service("orders", 3, "order-once", INSTANCE_LATENCY)
        .customer("club", 1_000, 500)
        .customer("bar", 1_000, 500)
}

/// Returns a request that applies operations as one change.
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

/// Returns an operation that sets a customer's burst and a rate of 1000 requests per second.
pub fn set_burst(customer: &str, burst: u32) -> Operation {
    let value = ebonytack_core::Customer { rate_per_second: 1_000, burst };
    Operation::Customer { id: customer.to_owned(), value: Some(value) }
}

/// Withdraws a customer's key through a host and returns the host's reply.
pub async fn withdraw(fleet: &Fleet, host: u32, customer: &str) -> OperatorReply {
    let request = OperatorRequest::WithdrawKey {
        change_id: format!("withdraw-{customer}"),
        author: "test".to_owned(),
        made_at_unix_ms: 0,
        key: KeyHash::of(format!("key-{customer}").as_bytes()),
    };
    fleet.operator(host).send(&request).await.expect("the host replies")
}

/// Waits until every host reports that it has the claims of its shards.
pub async fn wait_claims(fleet: &Fleet) {
    for host in &fleet.hosts {
        let ready = async || {
            let status = fleet.operator(host.host).status().await;
            status.is_ok_and(|status| status["claims_ready"] == true)
        };
        fleet.wait_for("claims of the host's shards", ready).await.expect("claims are ready");
    }
}

/// Returns the revision that a host has in force; 0 when it does not respond.
pub async fn revision(fleet: &Fleet, host: u32) -> u64 {
    let status = fleet.operator(host).status().await;
    status.map_or(0, |status| status["revision"].as_u64().unwrap_or_default())
}

/// Sends lookups through a host until one gets one of these statuses.
pub async fn wait_status(fleet: &Fleet, host: u32, key: &str, statuses: &[u16]) {
    let caller = Caller::new();
    fleet
        .wait_for("an expected status", async || {
            let response = caller.get(fleet.caller_address(host), "/catalogue/rods", key).await;
            statuses.contains(&response.status)
        })
        .await
        .expect("a response has an expected status");
}
