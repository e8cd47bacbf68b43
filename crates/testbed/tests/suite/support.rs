//! What the tests share.

use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonytack_testbed::{Fleet, FleetPlan};

/// The median time of an instance.
pub const WORK: Duration = Duration::from_millis(5);

static ONE_FLEET: Mutex<()> = Mutex::new(());

/// Lets one fleet run at a time, so that tests do not slow each other down.
pub fn one_fleet() -> MutexGuard<'static, ()> {
    ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the program that acts as a host.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_demo"))
}

/// Plans three hosts, a service of lookups, a service of orders and two customers.
pub fn plan() -> FleetPlan {
    FleetPlan::new(3)
        .service("catalogue", 4, "stock-lookup", WORK)
        .service("orders", 3, "order-once", WORK)
        .customer("club", 1_000, 500)
        .customer("bar", 1_000, 500)
}

/// Starts a fleet and waits until it serves.
pub async fn start(plan: &FleetPlan) -> Fleet {
    let fleet = Fleet::start(program(), plan).await.expect("the fleet starts and serves");
    fleet.wait_served("/catalogue/warm", "key-club").await.expect("the fleet starts and serves");
    fleet
}
