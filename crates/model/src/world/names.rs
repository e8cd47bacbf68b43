//! Names, addresses and network delays of the simulation, and the configuration of its hosts.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ebonytack_core::InstanceId;
use ebonytack_gateway::{Configuration, Customer, Route, Target};

use super::state::{
    CROSS_DATA_CENTRE_DELAY, CUSTOMER_SHARES, DATA_CENTRES, RATE_FACTOR, SAME_DATA_CENTRE_DELAY,
    SERVICE,
};
use crate::instance::AttemptId;
use crate::pattern::Pattern;

/// Returns the configuration of all hosts: an idempotent route if some requests are,
/// and a non-idempotent one, and each customer with its rate limit.
pub(super) fn configuration(pattern: &Pattern) -> Configuration {
    let mut configuration = Configuration::new(1);
    let workload = &pattern.workload;
    let routes = [("lookup", true), ("order", false)];
    for (name, idempotent) in routes.into_iter().filter(|r| !r.1 || !workload.takes_orders_only()) {
        configuration.add_route(Route {
            name: name.to_owned(),
            host: "shop.example".to_owned(),
            prefix: format!("/{name}/"),
            idempotent,
            timeout: workload.deadline,
            target_latency: workload.target_latency,
            priority: if idempotent { 2 } else { 1 },
            targets: vec![Target { service: SERVICE.to_owned(), weight: 1.0 }],
            attempts_max: 2,
            allows_anonymous: false,
        });
    }
    for (customer, share) in CUSTOMER_SHARES.iter().enumerate() {
        let rate = pattern.rate_per_second * share * RATE_FACTOR;
        let limits = Customer { priority: None, rate_per_second: Some(rate), burst: rate };
        configuration.add_customer(
            format!("customer-{customer}"),
            limits,
            vec![format!("key-{customer}")],
        );
    }
    configuration
}

pub(super) fn attempt_key(attempt_id: &AttemptId) -> (usize, u64, u64) {
    (attempt_id.host, attempt_id.process, attempt_id.attempt)
}

pub(super) fn data_centre(index: usize) -> String {
    format!("dc-{}", index % DATA_CENTRES)
}

pub(super) fn host_name(host: usize) -> String {
    format!("host-{host:03}")
}

pub(super) fn host_address(host: usize) -> SocketAddr {
    let port = u16::try_from(host).unwrap_or(u16::MAX);
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

pub(super) fn instance_name(index: usize) -> InstanceId {
    format!("i-{index:03}")
}

pub(super) fn instance_index(id: &str) -> usize {
    id.trim_start_matches("i-").parse().unwrap_or(0)
}

/// Returns the one-way network delay between a host and an instance.
pub(super) fn delay(host: usize, instance: usize) -> Duration {
    let same_data_centre = host % DATA_CENTRES == instance % DATA_CENTRES;
    if same_data_centre { SAME_DATA_CENTRE_DELAY } else { CROSS_DATA_CENTRE_DELAY }
}
