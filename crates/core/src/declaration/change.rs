//! Changes of the declaration: what is written to the table and spread between hosts.

use serde::{Deserialize, Serialize};

use super::{Customer, DeclaredHost, InstanceState, KeyEntry, KeyHash, Profile, Route, Service};
use crate::{ChangeId, CustomerId, HostId, InstanceId, Revision, ServiceId};

/// One accepted change, which is also its own audit record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The revision that the change made.
    pub revision: Revision,
    /// The id that the operator's tool gave the change.
    pub change_id: ChangeId,
    /// Who made the change.
    pub author: String,
    /// When the change was made, in milliseconds since 1970.
    pub made_at_unix_ms: u64,
    /// What was changed, in order.
    pub operations: Vec<Operation>,
    /// The JSON of what the operations replaced, in the same order; `null` for what is new.
    pub before: Vec<serde_json::Value>,
}

/// One step of a change. `None` removes the entity.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "set", deny_unknown_fields)]
pub enum Operation {
    /// Sets or removes a host.
    Host {
        /// The host's number.
        id: HostId,
        /// The new value.
        value: Option<DeclaredHost>,
    },
    /// Sets or removes a customer.
    Customer {
        /// The customer's name.
        id: CustomerId,
        /// The new value.
        value: Option<Customer>,
    },
    /// Issues or withdraws a key.
    Key {
        /// The key's hash.
        id: KeyHash,
        /// The new value; `None` withdraws the key for good.
        value: Option<KeyEntry>,
    },
    /// Sets or removes a profile.
    Profile {
        /// The profile's name.
        id: String,
        /// The new value.
        value: Option<Profile>,
    },
    /// Sets or removes a service with its instances.
    Service {
        /// The service's name.
        id: ServiceId,
        /// The new value.
        value: Option<Service>,
    },
    /// Sets whether an instance takes new work.
    InstanceState {
        /// The service's name.
        service: ServiceId,
        /// The instance's name.
        instance: InstanceId,
        /// The new state.
        value: InstanceState,
    },
    /// Sets or removes a route.
    Route {
        /// The route's name.
        id: String,
        /// The new value.
        value: Option<Route>,
    },
}

impl Operation {
    /// Returns what the operation is about, as `kind/name`.
    pub fn subject(&self) -> String {
        match self {
            Self::Host { id, .. } => format!("host/{id}"),
            Self::Customer { id, .. } => format!("customer/{id}"),
            Self::Key { id, .. } => format!("key/{id}"),
            Self::Profile { id, .. } => format!("profile/{id}"),
            Self::Service { id, .. } => format!("service/{id}"),
            Self::InstanceState { service, instance, .. } => {
                format!("instance/{service}/{instance}")
            }
            Self::Route { id, .. } => format!("route/{id}"),
        }
    }
}
