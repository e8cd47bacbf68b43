//! Changes of the declaration, as stored in the table and sent between hosts.

use serde::{Deserialize, Serialize};

use super::{Customer, DeclaredHost, InstanceState, KeyEntry, KeyHash, Profile, Route, Service};
use crate::{ChangeId, CustomerId, HostId, InstanceId, Revision, ServiceId};

/// An accepted change, which also serves as its audit record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The revision of the declaration after the change.
    pub revision: Revision,
    /// The id that the operator's tool chose, by which a retried change is recognized.
    pub change_id: ChangeId,
    /// The operator who made the change.
    pub author: String,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub made_at_unix_ms: u64,
    /// The operations in the order in which they apply.
    pub operations: Vec<Operation>,
    /// The JSON of the value that each operation replaced, in the same order; `null` for new
    /// entities.
    pub before: Vec<serde_json::Value>,
}

/// One step of a change. A value of `None` removes the entity.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "set", deny_unknown_fields)]
pub enum Operation {
    /// Sets or removes a host.
    Host {
        /// The host's number.
        id: HostId,
        /// The new settings; `None` removes the host.
        value: Option<DeclaredHost>,
    },
    /// Sets or removes a customer.
    Customer {
        /// The customer's name.
        id: CustomerId,
        /// The new settings; `None` removes the customer.
        value: Option<Customer>,
    },
    /// Issues or withdraws a key.
    Key {
        /// The key's hash.
        id: KeyHash,
        /// The key's entry; `None` withdraws the key permanently.
        value: Option<KeyEntry>,
    },
    /// Sets or removes a profile.
    Profile {
        /// The profile's name.
        id: String,
        /// The new settings; `None` removes the profile.
        value: Option<Profile>,
    },
    /// Sets or removes a service together with its instances.
    Service {
        /// The service's name.
        id: ServiceId,
        /// The new settings; `None` removes the service.
        value: Option<Service>,
    },
    /// Sets whether an instance takes new requests.
    InstanceState {
        /// The service to which the instance belongs.
        service: ServiceId,
        /// The name of the instance within its service.
        instance: InstanceId,
        /// The new state.
        value: InstanceState,
    },
    /// Sets or removes a route.
    Route {
        /// The route's name.
        id: String,
        /// The new settings; `None` removes the route.
        value: Option<Route>,
    },
}

impl Operation {
    /// Returns the entity that the operation changes, as `kind/name`.
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
