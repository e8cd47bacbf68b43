//! The operator's configuration, checked and indexed.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebonytack_core::{CustomerId, Revision, ServiceId};

/// A whole configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Rises with each configuration that the operator writes.
    pub revision: Revision,
    /// The routes, by host.
    routes: HashMap<String, Vec<Route>>,
    /// The services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// The customers by name.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// The customer of each key. Invariant: names declared customers only.
    keys: HashMap<String, CustomerId>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}

/// Maps requests to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The `Host` of the requests.
    pub host: String,
    /// How the paths begin. Invariant: begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time for a final answer.
    pub timeout: Duration,
    /// The time within which an answer is most useful.
    pub target_latency: Duration,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
    /// The services with their weights. Invariant: not empty.
    pub targets: Vec<Target>,
    /// The most instances on which one request may run. Invariant: at least 1.
    pub attempts_max: u32,
    /// Whether requests without a key are let through.
    pub allows_anonymous: bool,
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// The share, relative to the other targets.
    pub weight: f64,
}

/// What is configured about a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Connections that one instance takes from all hosts together.
    pub connections_max: u32,
}

/// A customer and its share of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The rank, which goes before that of the route.
    pub priority: Option<u32>,
    /// The rate over all hosts; `None` when it is not limited.
    pub rate_per_second: Option<f64>,
    /// Requests that may come at once on top of the rate.
    pub burst: f64,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// The longest head.
    pub header_max_bytes: usize,
    /// The longest body.
    pub body_max_bytes: usize,
    /// The longest time for the head.
    pub header_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_max_bytes: 16 * 1024,
            body_max_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Building.
impl Configuration {
    /// Creates a configuration without routes, services and customers.
    pub fn new(revision: Revision) -> Self {
        Self { revision, ..Self::default() }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.to_ascii_lowercase()).or_default();
        routes.push(route);
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }

    /// Adds a customer with its keys.
    pub fn add_customer(&mut self, id: CustomerId, customer: Customer, keys: Vec<String>) {
        for key in keys {
            self.keys.insert(key, id.clone());
        }
        self.customers.insert(id, customer);
    }
}

/// Reading.
impl Configuration {
    /// Returns the route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the customer that holds a key.
    pub fn customer_of(&self, key: &str) -> Option<&CustomerId> {
        self.keys.get(key)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns whether requests need keys at all.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }
}
