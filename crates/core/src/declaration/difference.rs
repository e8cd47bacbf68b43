//! Difference between two declarations as a list of operations.

use std::collections::BTreeMap;

use super::{Operation, RawDeclaration};

/// Returns the operations that turn `from` into `to`, in an order that keeps references valid: an
/// entity is added before and removed after those that refer to it.
pub fn difference(from: &RawDeclaration, to: &RawDeclaration) -> Vec<Operation> {
    let mut upserts = Vec::new();
    let mut removals = Vec::new();
    let mut push = |operation: Operation, removes: bool| {
        if removes { removals.push(operation) } else { upserts.push(operation) }
    };
    compare(&from.hosts, &to.hosts, |id, value| {
        push(Operation::Host { id, value: value.clone() }, value.is_none());
    });
    compare(&from.customers, &to.customers, |id, value| {
        push(Operation::Customer { id, value: value.clone() }, value.is_none());
    });
    compare(&from.keys, &to.keys, |id, value| {
        push(Operation::Key { id, value: value.clone() }, value.is_none());
    });
    compare(&from.profiles, &to.profiles, |id, value| {
        push(Operation::Profile { id, value: value.clone() }, value.is_none());
    });
    compare(&from.services, &to.services, |id, value| {
        push(Operation::Service { id, value: value.clone() }, value.is_none());
    });
    compare(&from.routes, &to.routes, |id, value| {
        push(Operation::Route { id, value: value.clone() }, value.is_none());
    });
    removals.reverse();
    upserts.extend(removals);
    upserts
}

fn compare<K: Clone + Ord, V: Clone + PartialEq>(
    from: &BTreeMap<K, V>,
    to: &BTreeMap<K, V>,
    mut emit: impl FnMut(K, Option<V>),
) {
    for (id, value) in to {
        if from.get(id) != Some(value) {
            emit(id.clone(), Some(value.clone()));
        }
    }
    for id in from.keys().filter(|id| !to.contains_key(id)) {
        emit(id.clone(), None);
    }
}
