//! The fleets of both users: 44 hosts, two services, eight customers.

use std::time::Duration;

use super::load::Stream;
use crate::{FleetPlan, LatencyModel};

/// The number of hosts.
pub(super) const HOSTS: u32 = 44;
/// The time that an instance works on a request.
pub(super) const WORK: Duration = Duration::from_millis(25);
const SLOTS: f64 = 4.0;
/// Shares of the load by customer: a few large ones among small ones.
const SHARES: [f64; 8] = [0.3, 0.2, 0.15, 0.12, 0.1, 0.06, 0.04, 0.03];

/// Plans the co-op's fleet, or the display printer's for even seeds.
pub(super) fn plan(seed: u64, latency: LatencyModel) -> FleetPlan {
    let (lookups, orders) = if seed % 2 == 1 { (20, 13) } else { (18, 15) };
    let mut plan = FleetPlan::new(HOSTS)
        .service("catalogue", lookups, "stock-lookup", WORK)
        .service("accounts", orders, "balance-lookup", WORK)
        .seed(seed);
    plan.services.iter_mut().for_each(|service| service.latency = latency);
    for index in 0..SHARES.len() {
        plan = plan.customer(&format!("customer-{}", index + 1), 10_000, 10_000);
    }
    plan
}

/// Returns streams that use this share of the capacity of both services.
pub(super) fn streams(plan: &FleetPlan, load: f64) -> Vec<Stream> {
    let mut streams = Vec::new();
    for service in &plan.services {
        let mean = service.latency.mean().as_secs_f64();
        let capacity = service.instances as f64 * SLOTS / mean;
        for (index, share) in SHARES.into_iter().enumerate() {
            streams.push(Stream {
                customer: format!("customer-{}", index + 1),
                rate_per_second: capacity * load * share,
                path: format!("/{}/item", service.name),
            });
        }
    }
    streams
}
