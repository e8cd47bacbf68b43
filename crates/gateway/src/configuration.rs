//! The operator's configuration, validated and indexed for lookups.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebonytack_core::{CustomerId, Revision, ServiceId};

/// One revision of the complete configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Increases with each configuration that the operator writes.
    pub revision: Revision,
    /// Routes by lowercase `Host`. Invariant: each list starts with the longest prefixes.
    routes: HashMap<String, Vec<Route>>,
    /// Settings of the upstream services.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Customers with their priorities and rates.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Whether requests need a customer's API key, unless their route allows anonymous ones.
    /// Invariant: set if there are customers; also if the operator has withdrawn the last one.
    requires_keys: bool,
    /// Maps API keys to customers. Invariant: contains declared customers only.
    keys: HashMap<String, CustomerId>,
    /// Size and time limits on callers' requests.
    pub limits: CallerLimits,
}

/// Maps requests with a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Identifies the route in log records.
    pub name: String,
    /// Value of the `Host` header, without port; compared case-insensitively.
    pub host: String,
    /// Path prefix. Invariant: starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum time from a request's arrival to its final response.
    pub timeout: Duration,
    /// Latency up to which a response has its full value to the caller.
    pub target_latency: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Services that share the requests by weight. Invariant: not empty.
    pub targets: Vec<Target>,
    /// Maximum number of instances on which one request may run. Invariant: at least 1.
    pub attempts_max: u32,
    /// Whether requests without a customer's API key are accepted.
    pub allows_anonymous: bool,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: f64,
}

/// The operator's settings for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Connections that one instance accepts from all hosts together; `u32::MAX` without a limit.
    pub connections_max: u32,
    /// Limit on instances that have just started; `None` without one.
    pub warm_up: Option<WarmUp>,
}

/// What an instance tolerates after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Time for which an instance is slow.
    pub duration: Duration,
    /// Requests per second that an instance tolerates meanwhile, from all hosts together. Invariant:
    /// finite and above 0.
    pub requests_per_second: f64,
}

/// A customer's priority and rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Overrides the route's priority.
    pub priority: Option<u32>,
    /// Rate limit over all hosts, in requests per second; `None` for no limit.
    pub rate_per_second: Option<f64>,
    /// Burst allowed above the rate, in requests over all hosts.
    pub burst: f64,
}

/// Size and time limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of the request head: request line and headers.
    pub header_max_bytes: usize,
    /// Maximum size of the request body.
    pub body_max_bytes: usize,
    /// Maximum time to receive the request head.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle between requests.
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

/// Methods that build a configuration entry by entry.
impl Configuration {
    /// Creates an empty configuration with default limits.
    pub fn new(revision: Revision) -> Self {
        Self { revision, ..Self::default() }
    }

    /// Adds a route; routes with longer prefixes take precedence.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.to_ascii_lowercase()).or_default();
        routes.push(route);
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }

    /// Requires a customer's API key, also if no customer is added.
    pub fn require_keys(&mut self) {
        self.requires_keys = true;
    }

    /// Adds a customer and the API keys that identify it. From then on requests need a key.
    pub fn add_customer(&mut self, id: CustomerId, customer: Customer, keys: Vec<String>) {
        self.require_keys();
        for key in keys {
            self.keys.insert(key, id.clone());
        }
        self.customers.insert(id, customer);
    }
}

/// Lookups used to route and authenticate requests.
impl Configuration {
    /// Returns the route of the host whose prefix is the longest match for the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the customer that an API key identifies; `None` for an unknown key.
    pub fn customer_of(&self, key: &str) -> Option<&CustomerId> {
        self.keys.get(key)
    }

    /// Returns whether none of the routes to a service is idempotent, so that no request to it can be
    /// retried once it may have run.
    pub fn takes_orders_only(&self, service: &str) -> bool {
        let idempotent = self.routes.values().flatten().filter(|route| route.idempotent);
        let targets = idempotent.flat_map(|route| &route.targets);
        !targets.into_iter().any(|target| target.service == service)
    }

    /// Returns the routes of all hosts, in no particular order.
    pub(crate) fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }

    /// Returns the number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns whether requests need a customer's API key, unless their route allows anonymous ones.
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }
}
