//! The plan of a fleet: its hosts, services and customers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use ebonytack_core::{
    Customer, DeclaredHost, HostId, Instance, KeyEntry, KeyHash, Profile, RawDeclaration, Route,
    Service,
};

use crate::LatencyModel;

/// A service of a fleet and the behaviour of its instances.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// The name of the service, whose route has the path prefix `/NAME`.
    pub name: String,
    /// The number of instances, spread over three data centres.
    pub instances: usize,
    /// The name of the service's profile, built-in or from [`FleetPlan::profiles`].
    pub profile: String,
    /// The processing time of a request.
    pub latency: LatencyModel,
    /// The size of a response body.
    pub response_bytes: usize,
}

/// What a [`Fleet`](crate::Fleet) consists of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The number of hosts, spread over three data centres.
    pub hosts: u32,
    /// The services, with one route for each.
    pub services: Vec<ServicePlan>,
    /// The customers by name; each has the API key `key-NAME`.
    pub customers: BTreeMap<String, Customer>,
    /// Profiles in addition to the built-in ones.
    pub profiles: BTreeMap<String, Profile>,
    /// Whether hosts reach each other through fault proxies, which link faults require.
    pub proxied: bool,
    /// The directory in which hosts record traces; `None` records none.
    pub trace_directory: Option<PathBuf>,
    /// The seed of the random numbers of stand-ins and hosts.
    pub seed: u64,
}

/// Building a plan.
impl FleetPlan {
    /// Creates a plan of `hosts` hosts without services or customers, with seed 1.
    pub fn new(hosts: u32) -> Self {
        Self {
            hosts,
            services: Vec::new(),
            customers: BTreeMap::new(),
            profiles: BTreeMap::new(),
            proxied: false,
            trace_directory: None,
            seed: 1,
        }
    }

    /// Adds a service whose instances take `latency` for each request and send 64 bytes back.
    pub fn service(
        mut self,
        name: &str,
        instances: usize,
        profile: &str,
        latency: Duration,
    ) -> Self {
        self.services.push(ServicePlan {
            name: name.to_owned(),
            instances,
            profile: profile.to_owned(),
            latency: LatencyModel::constant(latency),
            response_bytes: 64,
        });
        self
    }

    /// Adds a customer with this rate limit and burst.
    pub fn customer(mut self, name: &str, rate_per_second: u32, burst: u32) -> Self {
        self.customers.insert(name.to_owned(), Customer { rate_per_second, burst });
        self
    }

    /// Puts a fault proxy between each ordered pair of hosts.
    pub fn proxied(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Sets the seed of the random numbers of stand-ins and hosts.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns the ids of the hosts, which count from 1.
    pub fn host_ids(&self) -> Vec<HostId> {
        (1..=self.hosts).collect()
    }

    /// Returns the data centre of a host: `a`, `b` and `c` in turn.
    pub fn data_centre(host: HostId) -> String {
        let names = ["a", "b", "c"];
        names[(host as usize - 1) % names.len()].to_owned()
    }

    /// Returns the declaration of the fleet. `addresses` holds the addresses of the instances by
    /// name, one map for each of [`services`](Self::services) in the same order.
    pub fn declaration(&self, addresses: &[BTreeMap<String, SocketAddr>]) -> RawDeclaration {
        let mut raw = RawDeclaration::default();
        for host in self.host_ids() {
            let data_centre = Self::data_centre(host);
            raw.hosts.insert(host, DeclaredHost { data_centre, drained: false });
        }
        raw.customers = self.customers.clone();
        raw.profiles = self.profiles.clone();
        for name in self.customers.keys() {
            let entry = KeyEntry { customer: name.clone(), label: "first".to_owned() };
            raw.keys.insert(KeyHash::of(format!("key-{name}").as_bytes()), entry);
        }
        for (plan, addresses) in self.services.iter().zip(addresses) {
            raw.services.insert(plan.name.clone(), declared_service(plan, addresses));
            raw.routes.insert(plan.name.clone(), declared_route(plan));
        }
        raw
    }
}

fn declared_service(plan: &ServicePlan, addresses: &BTreeMap<String, SocketAddr>) -> Service {
    let instance = |(number, (name, address)): (usize, (&String, &SocketAddr))| {
        let data_centre = FleetPlan::data_centre(number as u32 % 3 + 1);
        (name.clone(), Instance { address: *address, data_centre, state: Default::default() })
    };
    Service {
        profile: plan.profile.clone(),
        floor_percent: 50,
        slots: 4,
        probe_path: "/health".to_owned(),
        instances: addresses.iter().enumerate().map(instance).collect(),
    }
}

fn declared_route(plan: &ServicePlan) -> Route {
    Route {
        host: None,
        path_prefix: format!("/{}", plan.name),
        methods: Vec::new(),
        service: plan.name.clone(),
        open: false,
        idempotent: None,
    }
}
