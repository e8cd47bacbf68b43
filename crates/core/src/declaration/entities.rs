//! The declared entities, as plain values with a JSON form.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{CustomerId, DataCentreId, InstanceId, ServiceId};

/// A proxy host that belongs to the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredHost {
    /// The data centre of the host. The voters of a shard are spread over data centres.
    pub data_centre: DataCentreId,
    /// Whether the host is drained: it fails its readiness check and takes no new requests.
    #[serde(default)]
    pub drained: bool,
}

/// A customer and its rate limit, enforced over the whole fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Sustained requests per second. Invariant: from 1 to 10,000,000.
    pub rate_per_second: u32,
    /// The size of the token bucket, in requests. Invariant: from 1 to 10,000,000.
    pub burst: u32,
}

/// A caller's API key, stored under its hash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// The customer to whom requests with this key are attributed. Invariant: declared.
    pub customer: CustomerId,
    /// A name for the key that operators choose; it has no effect.
    pub label: String,
}

/// Named settings for deadlines, retries and idempotency to which services refer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Profile {
    /// The time limit for a complete response, in milliseconds. Invariant: from 10 to 600,000.
    pub deadline_ms: u32,
    /// The maximum wait for a rate-limit token, in milliseconds. Invariant: at most `deadline_ms`.
    pub admission_wait_ms: u32,
    /// The maximum number of attempts for an idempotent request. Invariant: from 1 to 5.
    pub attempts: u32,
    /// Whether a second attempt starts when the first exceeds the service's slow threshold.
    pub hedge: bool,
    /// Whether a non-idempotent request without an `Idempotency-Key` is rejected.
    pub require_idempotency_key: bool,
    /// Retries and hedges as a share of requests, in percent. Invariant: at most 50.
    pub retry_budget_percent: u32,
}

/// A service and its instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the profile. Invariant: declared or built in.
    pub profile: String,
    /// The minimum share of instances that ejections leave in use, in percent. Invariant: from 1 to
    /// 100.
    #[serde(default = "default_floor_percent")]
    pub floor_percent: u32,
    /// Requests that one instance processes concurrently. Invariant: from 1 to 100,000.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The path of the health probe, which should be cheap to serve.
    #[serde(default = "default_probe_path")]
    pub probe_path: String,
    /// The instances by name.
    pub instances: BTreeMap<InstanceId, Instance>,
}

/// One running copy of an upstream service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The address on which the instance listens.
    pub address: SocketAddr,
    /// The data centre in which the instance runs.
    pub data_centre: DataCentreId,
    /// Whether the instance takes new requests; active when absent.
    #[serde(default)]
    pub state: InstanceState,
}

/// Whether an instance takes new requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Takes new requests.
    #[default]
    Active,
    /// Takes no new requests and finishes pending ones, as an operator requested.
    Draining,
    /// Takes no new requests, finishes pending ones and shuts down.
    Leaving,
}

/// Maps requests to a service. The longest matching prefix wins, then a route with a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The `Host` header of the request without its port; any host when absent.
    #[serde(default)]
    pub host: Option<String>,
    /// The prefix of the path. It matches whole path segments only.
    pub path_prefix: String,
    /// The HTTP methods in capitals; any method when empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The service that handles the requests. Invariant: declared.
    pub service: ServiceId,
    /// Whether requests without a key are accepted.
    #[serde(default)]
    pub open: bool,
    /// Whether requests are idempotent; decided by their method when absent.
    #[serde(default)]
    pub idempotent: Option<bool>,
}

impl Profile {
    /// Returns the built-in profile with this name.
    pub fn built_in(name: &str) -> Option<Self> {
        match name {
            "stock-lookup" => Some(Self::default()),
            "balance-lookup" => Some(Self {
                deadline_ms: 15_000,
                admission_wait_ms: 5_000,
                attempts: 5,
                ..Self::default()
            }),
            "order-once" => Some(Self {
                deadline_ms: 10_000,
                admission_wait_ms: 2_000,
                hedge: false,
                ..Self::default()
            }),
            "dispatch-booking" => Some(Self {
                deadline_ms: 10_000,
                admission_wait_ms: 2_000,
                hedge: false,
                require_idempotency_key: true,
                ..Self::default()
            }),
            _ => None,
        }
    }

    /// Returns the names of the built-in profiles.
    pub fn built_in_names() -> [&'static str; 4] {
        ["stock-lookup", "balance-lookup", "order-once", "dispatch-booking"]
    }

    /// Returns the time limit for a complete response.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(u64::from(self.deadline_ms))
    }

    /// Returns the maximum wait for a rate-limit token.
    pub fn admission_wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.admission_wait_ms))
    }
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            deadline_ms: 2_000,
            admission_wait_ms: 1_000,
            attempts: 3,
            hedge: true,
            require_idempotency_key: false,
            retry_budget_percent: 20,
        }
    }
}

impl Instance {
    /// Returns whether the instance takes new requests.
    pub fn is_active(&self) -> bool {
        self.state == InstanceState::Active
    }
}

fn default_floor_percent() -> u32 {
    50
}

fn default_slots() -> u32 {
    4
}

fn default_probe_path() -> String {
    "/health".to_owned()
}
