//! The validated declaration, which is changed only by operations that keep it valid.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{
    Customer, DeclaredHost, Instance, InstanceState, KeyEntry, KeyHash, Operation, Profile,
    RawDeclaration, Route, RouteTable, Service,
};
use crate::{Error, ErrorKind, HostId, Result, ServiceId};

const NAME_MAX_BYTES: usize = 64;
const RATE_RANGE: RangeInclusive<u32> = 1..=10_000_000;
const DEADLINE_RANGE_MS: RangeInclusive<u32> = 10..=600_000;
const ATTEMPTS_RANGE: RangeInclusive<u32> = 1..=5;
const PERCENT_RANGE: RangeInclusive<u32> = 1..=100;
const RETRY_BUDGET_RANGE_PERCENT: RangeInclusive<u32> = 0..=50;
const SLOTS_RANGE: RangeInclusive<u32> = 1..=100_000;

/// A declaration whose references resolve and whose values are in range.
///
/// Invariant: every name that an entity refers to is declared, or is a built-in profile.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(try_from = "RawDeclaration", into = "RawDeclaration")]
pub struct Declaration {
    raw: RawDeclaration,
    /// Invariant: indexes exactly `raw.routes`.
    routes: RouteTable,
}

/// Accessors.
impl Declaration {
    /// Returns the hosts of the fleet by number.
    pub fn hosts(&self) -> &BTreeMap<HostId, DeclaredHost> {
        &self.raw.hosts
    }

    /// Returns the customer with this name.
    pub fn customer(&self, id: &str) -> Option<&Customer> {
        self.raw.customers.get(id)
    }

    /// Returns the service with this name.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.raw.services.get(id)
    }

    /// Returns all services by name.
    pub fn services(&self) -> &BTreeMap<ServiceId, Service> {
        &self.raw.services
    }

    /// Returns an instance of a service by their names.
    pub fn instance(&self, service: &str, instance: &str) -> Option<&Instance> {
        self.service(service)?.instances.get(instance)
    }

    /// Returns the entry of the key with this hash.
    pub fn key(&self, hash: &KeyHash) -> Option<&KeyEntry> {
        self.raw
            .keys
            .get_key_value(hash)
            .filter(|(stored, _)| stored.matches(hash))
            .map(|(_, key)| key)
    }

    /// Returns the profile with this name; a declared one overrides a built-in one.
    pub fn profile(&self, name: &str) -> Option<Profile> {
        self.raw.profiles.get(name).cloned().or_else(|| Profile::built_in(name))
    }

    /// Returns the route for a request, or `None` when nothing matches.
    pub fn route(&self, host: &str, path: &str, method: &str) -> Option<&Route> {
        let name = self.routes.find(&self.raw.routes, host, path, method)?;
        self.raw.routes.get(name)
    }

    /// Returns the declaration in the form in which operators write it.
    pub fn raw(&self) -> &RawDeclaration {
        &self.raw
    }
}

/// Applying and undoing operations.
impl Declaration {
    /// Applies one operation and returns the JSON of the value that it replaced.
    ///
    /// # Errors
    ///
    /// Returns an error when the operation would break an invariant; the declaration is then
    /// unchanged.
    pub fn apply(&mut self, operation: &Operation) -> Result<Value> {
        self.check(operation)?;
        Ok(match operation.clone() {
            Operation::Host { id, value } => replace(&mut self.raw.hosts, id, value),
            Operation::Customer { id, value } => replace(&mut self.raw.customers, id, value),
            Operation::Key { id, value } => replace(&mut self.raw.keys, id, value),
            Operation::Profile { id, value } => replace(&mut self.raw.profiles, id, value),
            Operation::Service { id, value } => replace(&mut self.raw.services, id, value),
            Operation::InstanceState { service, instance, value } => {
                let found = self.raw.services.get_mut(&service);
                let found = found.and_then(|service| service.instances.get_mut(&instance));
                found.map_or(Value::Null, |instance| {
                    to_json(&std::mem::replace(&mut instance.state, value))
                })
            }
            Operation::Route { id, value } => {
                self.routes.replace(&id, self.raw.routes.get(&id), value.as_ref());
                replace(&mut self.raw.routes, id, value)
            }
        })
    }

    /// Applies all operations or none, and returns the JSON of the value that each replaced.
    ///
    /// # Errors
    ///
    /// Returns the error of the first operation that would break an invariant.
    pub fn apply_all(&mut self, operations: &[Operation]) -> Result<Vec<Value>> {
        self.apply_or_undo(operations).map(|(before, _)| before)
    }

    /// Returns the result of [`Declaration::apply_all`], but leaves the declaration unchanged.
    ///
    /// # Errors
    ///
    /// Returns the error of the first operation that would break an invariant.
    pub fn dry_run(&mut self, operations: &[Operation]) -> Result<Vec<Value>> {
        let (before, inverses) = self.apply_or_undo(operations)?;
        self.undo(inverses);
        Ok(before)
    }

    /// Applies all operations or none; returns the replaced values and the inverse operations.
    fn apply_or_undo(&mut self, operations: &[Operation]) -> Result<(Vec<Value>, Vec<Operation>)> {
        let mut before = Vec::with_capacity(operations.len());
        let mut inverses = Vec::with_capacity(operations.len());
        for operation in operations {
            let inverse = self.inverse(operation);
            match self.apply(operation) {
                Ok(value) => before.push(value),
                Err(error) => {
                    self.undo(inverses);
                    return Err(error);
                }
            }
            inverses.push(inverse);
        }
        Ok((before, inverses))
    }

    /// Returns the operation that undoes `operation`.
    fn inverse(&self, operation: &Operation) -> Operation {
        match operation {
            Operation::Host { id, .. } => {
                Operation::Host { id: *id, value: self.raw.hosts.get(id).cloned() }
            }
            Operation::Customer { id, .. } => {
                Operation::Customer { id: id.clone(), value: self.raw.customers.get(id).cloned() }
            }
            Operation::Key { id, .. } => {
                Operation::Key { id: *id, value: self.raw.keys.get(id).cloned() }
            }
            Operation::Profile { id, .. } => {
                Operation::Profile { id: id.clone(), value: self.raw.profiles.get(id).cloned() }
            }
            Operation::Service { id, .. } => {
                Operation::Service { id: id.clone(), value: self.raw.services.get(id).cloned() }
            }
            Operation::InstanceState { service, instance, .. } => Operation::InstanceState {
                service: service.clone(),
                instance: instance.clone(),
                value: self
                    .instance(service, instance)
                    .map_or(InstanceState::Active, |found| found.state),
            },
            Operation::Route { id, .. } => {
                Operation::Route { id: id.clone(), value: self.raw.routes.get(id).cloned() }
            }
        }
    }

    /// Undoes operations, given their inverses in the order in which the operations were applied.
    fn undo(&mut self, inverses: Vec<Operation>) {
        for inverse in inverses.into_iter().rev() {
            let undone = self.apply(&inverse);
            debug_assert!(undone.is_ok(), "undoing an operation must leave a valid declaration");
        }
    }
}

/// Validation of an operation before it is applied.
impl Declaration {
    fn check(&self, operation: &Operation) -> Result<()> {
        let path = operation.subject();
        match operation {
            Operation::Host { value, .. } => {
                value.as_ref().map_or(Ok(()), |host| check_name(&path, &host.data_centre))
            }
            Operation::Customer { id, value: Some(customer) } => {
                check_name(&path, id)?;
                check_range(&path, "rate_per_second", customer.rate_per_second, &RATE_RANGE)?;
                check_range(&path, "burst", customer.burst, &RATE_RANGE)
            }
            Operation::Customer { id, value: None } => {
                self.check_unused(&path, self.raw.keys.values().any(|key| key.customer == *id))
            }
            Operation::Key { value: Some(key), .. } => {
                let declared = self.raw.customers.contains_key(&key.customer);
                check_declared(&path, "customer", &key.customer, declared)
            }
            Operation::Key { value: None, .. } => Ok(()),
            Operation::Profile { id, value: Some(profile) } => check_profile(&path, id, profile),
            Operation::Profile { id, value: None } => {
                let used = self.raw.services.values().any(|service| service.profile == *id);
                self.check_unused(&path, used && Profile::built_in(id).is_none())
            }
            Operation::Service { id, value: Some(service) } => {
                self.check_service(&path, id, service)
            }
            Operation::Service { id, value: None } => {
                self.check_unused(&path, self.raw.routes.values().any(|route| route.service == *id))
            }
            Operation::InstanceState { service, instance, .. } => {
                let declared = self.instance(service, instance).is_some();
                check_declared(&path, "instance", instance, declared)
            }
            Operation::Route { id, value: Some(route) } => self.check_route(&path, id, route),
            Operation::Route { value: None, .. } => Ok(()),
        }
    }

    fn check_unused(&self, path: &str, used: bool) -> Result<()> {
        if used {
            let allowed = "remove what refers to it first";
            return Err(Error::new(ErrorKind::StillReferenced, path, "a removal", allowed));
        }
        Ok(())
    }

    fn check_service(&self, path: &str, id: &str, service: &Service) -> Result<()> {
        check_name(path, id)?;
        let declared = self.profile(&service.profile).is_some();
        check_declared(path, "profile", &service.profile, declared)?;
        check_range(path, "floor_percent", service.floor_percent, &PERCENT_RANGE)?;
        check_range(path, "slots", service.slots, &SLOTS_RANGE)?;
        check_path(&format!("{path}.probe_path"), &service.probe_path)?;
        for (name, instance) in &service.instances {
            let path = format!("{path}.instances.{name}");
            check_name(&path, name)?;
            check_name(&path, &instance.data_centre)?;
        }
        Ok(())
    }

    fn check_route(&self, path: &str, id: &str, route: &Route) -> Result<()> {
        check_name(path, id)?;
        check_path(&format!("{path}.path_prefix"), &route.path_prefix)?;
        let declared = self.raw.services.contains_key(&route.service);
        check_declared(path, "service", &route.service, declared)?;
        let upper = |method: &String| {
            !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase())
        };
        match route.methods.iter().find(|method| !upper(method)) {
            Some(method) => {
                let path = format!("{path}.methods");
                Err(Error::new(ErrorKind::BadName, path, quote(method), "a method in capitals"))
            }
            None => Ok(()),
        }
    }
}

impl From<Declaration> for RawDeclaration {
    fn from(declaration: Declaration) -> Self {
        declaration.raw
    }
}

impl TryFrom<RawDeclaration> for Declaration {
    type Error = Error;

    fn try_from(raw: RawDeclaration) -> Result<Self, Self::Error> {
        let mut declaration = Self::default();
        for operation in super::difference(&RawDeclaration::default(), &raw) {
            declaration.apply(&operation)?;
        }
        Ok(declaration)
    }
}

fn replace<K: Ord, V: Serialize>(map: &mut BTreeMap<K, V>, id: K, value: Option<V>) -> Value {
    let old = match value {
        Some(value) => map.insert(id, value),
        None => map.remove(&id),
    };
    old.map_or(Value::Null, |old| to_json(&old))
}

fn to_json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or(Value::Null)
}

fn quote(text: &str) -> String {
    let shown: String = text.chars().take(NAME_MAX_BYTES).collect();
    format!("{shown:?}")
}

fn check_name(path: &str, name: &str) -> Result<()> {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if name.is_empty() || name.len() > NAME_MAX_BYTES || !name.bytes().all(valid) {
        let allowed = "1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'";
        return Err(Error::new(ErrorKind::BadName, path, quote(name), allowed));
    }
    Ok(())
}

fn check_path(path: &str, value: &str) -> Result<()> {
    if !value.starts_with('/') || !value.bytes().all(|byte| byte.is_ascii_graphic()) {
        let allowed = "a path that begins with '/' and has no spaces";
        return Err(Error::new(ErrorKind::BadName, path, quote(value), allowed));
    }
    Ok(())
}

fn check_range(path: &str, field: &str, found: u32, range: &RangeInclusive<u32>) -> Result<()> {
    if range.contains(&found) {
        return Ok(());
    }
    let path = format!("{path}.{field}");
    let allowed = format!("{} to {}", range.start(), range.end());
    Err(Error::new(ErrorKind::OutOfRange, path, found.to_string(), allowed))
}

fn check_declared(path: &str, field: &str, name: &str, declared: bool) -> Result<()> {
    if declared {
        return Ok(());
    }
    let path = format!("{path}.{field}");
    Err(Error::new(ErrorKind::UnknownReference, path, quote(name), "a declared name"))
}

fn check_profile(path: &str, id: &str, profile: &Profile) -> Result<()> {
    check_name(path, id)?;
    check_range(path, "deadline_ms", profile.deadline_ms, &DEADLINE_RANGE_MS)?;
    check_range(path, "admission_wait_ms", profile.admission_wait_ms, &(0..=profile.deadline_ms))?;
    check_range(path, "attempts", profile.attempts, &ATTEMPTS_RANGE)?;
    let percent = profile.retry_budget_percent;
    check_range(path, "retry_budget_percent", percent, &RETRY_BUDGET_RANGE_PERCENT)
}
