//! The declared entities, each a plain value that derives its JSON form.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{CustomerId, DataCentreId, InstanceId, ServiceId};

/// An entry host that belongs to the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredHost {
    /// The data centre in which the host stands.
    pub data_centre: DataCentreId,
    /// A drained host fails its readiness and takes no new requests.
    #[serde(default)]
    pub drained: bool,
}

/// A customer and its share, counted over the whole fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Requests a second. Invariant: from 1 to 10,000,000.
    pub rate_per_second: u32,
    /// Requests that may come at once. Invariant: from 1 to 10,000,000.
    pub burst: u32,
}

/// A key, stored under its hash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// The customer for whom requests with this key run. Invariant: a declared customer.
    pub customer: CustomerId,
    /// The operators' name for the key.
    pub label: String,
}

/// Named settings that a service picks as a whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Profile {
    /// The longest time for a whole answer, in milliseconds. Invariant: from 10 to 600,000.
    pub deadline_ms: u32,
    /// The longest wait for rate, in milliseconds. Invariant: not above `deadline_ms`.
    pub admission_wait_ms: u32,
    /// The most attempts for an idempotent request. Invariant: from 1 to 5.
    pub attempts: u32,
    /// Whether a second attempt starts when the first exceeds the service's usual tail.
    pub hedge: bool,
    /// Whether a request that is not idempotent needs an `Idempotency-Key`.
    pub require_idempotency_key: bool,
    /// Retries and hedges as a share of requests, in percent. Invariant: not above 50.
    pub retry_budget_percent: u32,
}

/// A service and its instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the profile. Invariant: declared or built in.
    pub profile: String,
    /// The share of instances that ejections leave in use, in percent. Invariant: from 1 to 100.
    #[serde(default = "default_floor_percent")]
    pub floor_percent: u32,
    /// Requests that one instance works on at once. Invariant: at least 1.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The path of a cheap request that shows whether an instance works.
    #[serde(default = "default_probe_path")]
    pub probe_path: String,
    /// The instances by name.
    pub instances: BTreeMap<InstanceId, Instance>,
}

/// A running copy of an upstream service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Where the instance listens.
    pub address: SocketAddr,
    /// The data centre in which the instance runs.
    pub data_centre: DataCentreId,
    /// Whether the instance takes new work.
    #[serde(default)]
    pub state: InstanceState,
}

/// Whether an instance takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Takes new work.
    #[default]
    Active,
    /// Finishes what it has, at an operator's wish.
    Draining,
    /// Finishes what it has and goes away.
    Leaving,
}

/// Maps requests to a service. The longest matching prefix wins, then an exact host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The `Host` of the request, without port; any host when absent.
    #[serde(default)]
    pub host: Option<String>,
    /// The beginning of the path, which ends at a segment boundary.
    pub path_prefix: String,
    /// The methods; any method when empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The service. Invariant: declared.
    pub service: ServiceId,
    /// Whether requests without a key are let through.
    #[serde(default)]
    pub open: bool,
    /// Whether requests are idempotent whatever their method says; by method when absent.
    #[serde(default)]
    pub idempotent: Option<bool>,
}

impl Profile {
    /// Returns the built-in profile of that name.
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

    /// Names the built-in profiles.
    pub fn built_in_names() -> [&'static str; 4] {
        ["stock-lookup", "balance-lookup", "order-once", "dispatch-booking"]
    }

    /// Returns the longest time for a whole answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(u64::from(self.deadline_ms))
    }

    /// Returns the longest wait for rate.
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
    /// Returns whether the instance takes new work.
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
