//! The reference fleets of the measurements: 44 hosts, two services and eight customers.

use std::time::Duration;

use super::load::Stream;
use crate::{FleetPlan, LatencyModel};

/// The number of hosts of both reference fleets.
pub(super) const HOSTS: u32 = 44;
/// The median latency of an instance.
pub(super) const INSTANCE_LATENCY: Duration = Duration::from_millis(25);
/// The number of requests that an instance processes at once.
const SLOTS: f64 = 4.0;
/// The share of each customer in the load: a few large customers and several small ones.
const CUSTOMER_SHARES: [f64; 8] = [0.3, 0.2, 0.15, 0.12, 0.1, 0.06, 0.04, 0.03];

/// Plans one of two fleets with the instance counts of actual users, selected by odd and even
/// seeds.
pub(super) fn plan(seed: u64, latency: LatencyModel) -> FleetPlan {
    let (catalogue_instances, account_instances) = if seed % 2 == 1 { (20, 13) } else { (18, 15) };
    let mut plan = FleetPlan::new(HOSTS)
        .service("catalogue", catalogue_instances, "stock-lookup", INSTANCE_LATENCY)
        .service("accounts", account_instances, "balance-lookup", INSTANCE_LATENCY)
        .seed(seed);
    plan.services.iter_mut().for_each(|service| service.latency = latency);
    for index in 0..CUSTOMER_SHARES.len() {
        plan = plan.customer(&format!("customer-{}", index + 1), 10_000, 10_000);
    }
    plan
}

/// Returns streams that use the share `utilisation` of the capacity of both services.
pub(super) fn streams(plan: &FleetPlan, utilisation: f64) -> Vec<Stream> {
    let mut streams = Vec::new();
    for service in &plan.services {
        let mean = service.latency.mean().as_secs_f64();
        let capacity = service.instances as f64 * SLOTS / mean;
        for (index, share) in CUSTOMER_SHARES.into_iter().enumerate() {
            streams.push(Stream {
                customer: format!("customer-{}", index + 1),
                rate_per_second: capacity * utilisation * share,
                path: format!("/{}/item", service.name),
            });
        }
    }
    streams
}
