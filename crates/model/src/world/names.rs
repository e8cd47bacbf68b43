//! The names, addresses and distances in the model, and its configuration.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ebonytack_core::InstanceId;
use ebonytack_gateway::{Configuration, Customer, Route, Target};

use super::state::{
    CUSTOMER_SHARES, DATA_CENTRES, DEADLINE, FAR_DELAY, NEAR_DELAY, RATE_FACTOR, SERVICE, TARGET,
};
use crate::instance::Work;

pub(super) fn configuration(rate_per_second: f64) -> Configuration {
    let mut configuration = Configuration::new(1);
    for (name, idempotent) in [("lookup", true), ("order", false)] {
        configuration.add_route(Route {
            name: name.to_owned(),
            host: "shop.example".to_owned(),
            prefix: format!("/{name}/"),
            idempotent,
            timeout: DEADLINE,
            target_latency: TARGET,
            priority: if idempotent { 2 } else { 1 },
            targets: vec![Target { service: SERVICE.to_owned(), weight: 1.0 }],
            attempts_max: 2,
            allows_anonymous: false,
        });
    }
    for (customer, share) in CUSTOMER_SHARES.iter().enumerate() {
        let rate = rate_per_second * share * RATE_FACTOR;
        let limits = Customer { priority: None, rate_per_second: Some(rate), burst: rate };
        configuration.add_customer(
            format!("customer-{customer}"),
            limits,
            vec![format!("key-{customer}")],
        );
    }
    configuration
}

pub(super) fn key(work: &Work) -> (usize, u64, u64) {
    (work.host, work.process, work.attempt)
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

pub(super) fn delay(host: usize, instance: usize) -> Duration {
    let near = host % DATA_CENTRES == instance % DATA_CENTRES;
    if near { NEAR_DELAY } else { FAR_DELAY }
}
