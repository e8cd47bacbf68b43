//! The configuration in force on this host.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{ChangeSet, Freshness};
use crate::{Change, Declaration, KeyEntry, KeyHash, Operation, Revision};

/// Changes that are kept for peers.
const RECENT_MAX: usize = 2_000;
/// Changes in one answer.
const CHANGES_PER_ANSWER: usize = 200;

/// The configuration in force on this host.
///
/// Invariant: the revision never falls.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationState {
    pub(crate) declaration: Declaration,
    pub(crate) revision: Revision,
    pub(crate) freshness: Freshness,
    /// The newest changes. Invariant: consecutive, the last one made `revision`.
    recent: VecDeque<Change>,
    /// Withdrawn keys that the declaration may still have, with the revision up to which it may
    /// still come to have them. Invariant: only grows, but for keys that are gone for good.
    withdrawn: BTreeMap<KeyHash, Revision>,
}

/// Reading.
impl ConfigurationState {
    /// Returns whether any configuration is known.
    pub(crate) fn is_loaded(&self) -> bool {
        self.revision > 0
    }

    /// Returns the entry of a key that was not withdrawn.
    pub(crate) fn key(&self, hash: &KeyHash) -> Option<&KeyEntry> {
        if self.withdrawn.contains_key(hash) {
            return None;
        }
        self.declaration.key(hash)
    }

    pub(crate) fn withdrawn_keys(&self) -> Vec<KeyHash> {
        self.withdrawn.keys().copied().collect()
    }

    /// Returns what a host with this revision lacks.
    pub(crate) fn changes_after(&self, revision: Revision) -> Option<ChangeSet> {
        if revision >= self.revision {
            return None;
        }
        let first = self.recent.front().map_or(u64::MAX, |change| change.revision);
        if first > revision + 1 {
            let declaration = Box::new(self.declaration.raw().clone());
            return Some(ChangeSet::Snapshot { revision: self.revision, declaration });
        }
        let skipped = usize::try_from(revision + 1 - first).unwrap_or(usize::MAX);
        let changes = self.recent.iter().skip(skipped).take(CHANGES_PER_ANSWER).cloned().collect();
        Some(ChangeSet::Changes(changes))
    }
}

/// Changing.
impl ConfigurationState {
    /// Takes changes over; returns those that were new. A gap ends the run.
    pub(crate) fn apply_changes(&mut self, set: &ChangeSet) -> Vec<Operation> {
        match set {
            ChangeSet::Changes(changes) => {
                changes.iter().flat_map(|c| self.take_change(c)).collect()
            }
            ChangeSet::Snapshot { revision, declaration } if *revision > self.revision => {
                let Ok(checked) = Declaration::try_from((**declaration).clone()) else {
                    return Vec::new();
                };
                let operations = crate::difference(self.declaration.raw(), checked.raw());
                self.declaration = checked;
                self.revision = *revision;
                self.recent.clear();
                self.prune_withdrawn();
                operations
            }
            ChangeSet::Snapshot { .. } => Vec::new(),
        }
    }

    /// Takes keys over that a host at revision `known_at` regards as withdrawn; returns whether
    /// any was new.
    pub(crate) fn record_withdrawals(&mut self, keys: &[KeyHash], known_at: Revision) -> bool {
        let mut any_new = false;
        for key in keys {
            if self.declaration.key(key).is_some() || known_at > self.revision {
                any_new |= self.withdrawn.insert(*key, known_at).is_none();
            }
        }
        any_new
    }

    /// Returns the revision that a recent change made.
    pub(crate) fn revision_of(&self, change_id: &str) -> Option<Revision> {
        let found = self.recent.iter().rev().find(|change| change.change_id == change_id);
        found.map(|change| change.revision)
    }

    /// Returns the keys whose withdrawal the table lacks.
    pub(crate) fn unsaved_withdrawals(&self) -> Vec<KeyHash> {
        let in_declaration = |key: &&KeyHash| self.declaration.key(key).is_some();
        self.withdrawn.keys().filter(in_declaration).copied().collect()
    }

    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        self.is_loaded() && self.freshness.is_fresh(now)
    }

    fn take_change(&mut self, change: &Change) -> Vec<Operation> {
        if change.revision != self.revision + 1 {
            return Vec::new();
        }
        if self.declaration.apply_all(&change.operations).is_err() {
            return Vec::new();
        }
        self.revision = change.revision;
        self.recent.push_back(change.clone());
        if self.recent.len() > RECENT_MAX {
            self.recent.pop_front();
        }
        self.prune_withdrawn();
        change.operations.clone()
    }

    fn prune_withdrawn(&mut self) {
        let (declaration, revision) = (&self.declaration, self.revision);
        self.withdrawn.retain(|key, until| declaration.key(key).is_some() || revision < *until);
    }
}
