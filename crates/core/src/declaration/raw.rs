//! The declaration in the form in which operators write it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Customer, DeclaredHost, KeyEntry, KeyHash, Profile, Route, Service};
use crate::{CustomerId, HostId, ServiceId};

/// A declaration as read from JSON, before its references and ranges are checked.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawDeclaration {
    /// The hosts that belong to the fleet, by number.
    pub hosts: BTreeMap<HostId, DeclaredHost>,
    /// The customers and their rate limits, by name.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// The accepted API keys, by hash.
    pub keys: BTreeMap<KeyHash, KeyEntry>,
    /// The profiles by name. They add to the built-in ones or override them.
    pub profiles: BTreeMap<String, Profile>,
    /// The services and their instances, by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// The routes by name. When several match equally well, the last one in name order wins.
    pub routes: BTreeMap<String, Route>,
}
