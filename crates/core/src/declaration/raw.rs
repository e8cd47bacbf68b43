//! The declaration as operators write it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Customer, DeclaredHost, KeyEntry, KeyHash, Profile, Route, Service};
use crate::{CustomerId, HostId, ServiceId};

/// A declaration as read from JSON, before its references and ranges are checked.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawDeclaration {
    /// The hosts of the fleet.
    pub hosts: BTreeMap<HostId, DeclaredHost>,
    /// The customers.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// The keys by hash.
    pub keys: BTreeMap<KeyHash, KeyEntry>,
    /// The profiles, besides the built-in ones.
    pub profiles: BTreeMap<String, Profile>,
    /// The services.
    pub services: BTreeMap<ServiceId, Service>,
    /// The routes by name.
    pub routes: BTreeMap<String, Route>,
}
