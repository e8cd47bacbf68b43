//! The operations that lead from one declaration to another.

use std::collections::BTreeMap;

use super::{Operation, RawDeclaration};

/// Returns the operations that turn `from` into `to`, in an order that keeps references valid:
/// additions before what refers to them, removals after.
pub fn difference(from: &RawDeclaration, to: &RawDeclaration) -> Vec<Operation> {
    let mut sets = Vec::new();
    let mut removals = Vec::new();
    let mut sort = |operation: Operation, removes: bool| {
        if removes { removals.push(operation) } else { sets.push(operation) }
    };
    compare(&from.hosts, &to.hosts, |id, value| {
        sort(Operation::Host { id, value: value.clone() }, value.is_none());
    });
    compare(&from.customers, &to.customers, |id, value| {
        sort(Operation::Customer { id, value: value.clone() }, value.is_none());
    });
    compare(&from.keys, &to.keys, |id, value| {
        sort(Operation::Key { id, value: value.clone() }, value.is_none());
    });
    compare(&from.profiles, &to.profiles, |id, value| {
        sort(Operation::Profile { id, value: value.clone() }, value.is_none());
    });
    compare(&from.services, &to.services, |id, value| {
        sort(Operation::Service { id, value: value.clone() }, value.is_none());
    });
    compare(&from.routes, &to.routes, |id, value| {
        sort(Operation::Route { id, value: value.clone() }, value.is_none());
    });
    removals.reverse();
    sets.extend(removals);
    sets
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
