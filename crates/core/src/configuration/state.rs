//! The configuration that one host applies.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{ChangeSet, Freshness};
use crate::{Change, Declaration, KeyEntry, KeyHash, Operation, Revision};

/// The number of changes kept for peers; a peer that lags further behind gets a snapshot.
const RECENT_CHANGES_MAX: usize = 2_000;
/// The maximum number of changes in one reply.
const CHANGES_PER_REPLY: usize = 200;

/// The configuration that one host applies.
///
/// Invariant: the revision never decreases.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationState {
    pub(crate) declaration: Declaration,
    pub(crate) revision: Revision,
    pub(crate) freshness: Freshness,
    /// The newest changes. Invariant: their revisions are consecutive and end at `revision`.
    recent_changes: VecDeque<Change>,
    /// Withdrawn keys, each with the revision of the host that reported it. Invariant: a key stays
    /// while the declaration contains it or has a lower revision.
    withdrawn: BTreeMap<KeyHash, Revision>,
}

/// Accessors.
impl ConfigurationState {
    /// Returns whether any configuration was received.
    pub(crate) fn is_loaded(&self) -> bool {
        self.revision > 0
    }

    /// Returns the entry of a key; `None` when it is unknown or withdrawn.
    pub(crate) fn key(&self, hash: &KeyHash) -> Option<&KeyEntry> {
        if self.withdrawn.contains_key(hash) {
            return None;
        }
        self.declaration.key(hash)
    }

    pub(crate) fn withdrawn_keys(&self) -> Vec<KeyHash> {
        self.withdrawn.keys().copied().collect()
    }

    /// Returns the changes that a host at `revision` lacks, or a snapshot when they are no longer
    /// kept; `None` when it lacks nothing.
    pub(crate) fn changes_after(&self, revision: Revision) -> Option<ChangeSet> {
        if revision >= self.revision {
            return None;
        }
        let first = self.recent_changes.front().map_or(u64::MAX, |change| change.revision);
        if first > revision + 1 {
            let declaration = Box::new(self.declaration.raw().clone());
            return Some(ChangeSet::Snapshot { revision: self.revision, declaration });
        }
        let skipped = usize::try_from(revision + 1 - first).unwrap_or(usize::MAX);
        let changes =
            self.recent_changes.iter().skip(skipped).take(CHANGES_PER_REPLY).cloned().collect();
        Some(ChangeSet::Changes(changes))
    }
}

/// Changes and withdrawals.
impl ConfigurationState {
    /// Applies the changes that follow the current revision without a gap, or a newer snapshot, and
    /// returns the operations that took effect.
    pub(crate) fn apply_changes(&mut self, set: &ChangeSet) -> Vec<Operation> {
        match set {
            ChangeSet::Changes(changes) => {
                changes.iter().flat_map(|c| self.apply_change(c)).collect()
            }
            ChangeSet::Snapshot { revision, declaration } if *revision > self.revision => {
                let Ok(checked) = Declaration::try_from((**declaration).clone()) else {
                    return Vec::new();
                };
                let operations = crate::difference(self.declaration.raw(), checked.raw());
                self.declaration = checked;
                self.revision = *revision;
                self.recent_changes.clear();
                self.prune_withdrawn();
                operations
            }
            ChangeSet::Snapshot { .. } => Vec::new(),
        }
    }

    /// Records keys that a host at revision `known_at` reports as withdrawn; returns whether any
    /// was new.
    pub(crate) fn record_withdrawals(&mut self, keys: &[KeyHash], known_at: Revision) -> bool {
        let mut any_new = false;
        for key in keys {
            if self.declaration.key(key).is_some() || known_at > self.revision {
                any_new |= self.withdrawn.insert(*key, known_at).is_none();
            }
        }
        any_new
    }

    /// Returns the revision of the change with this id; `None` unless it is among the recent ones.
    pub(crate) fn revision_of(&self, change_id: &str) -> Option<Revision> {
        let found = self.recent_changes.iter().rev().find(|change| change.change_id == change_id);
        found.map(|change| change.revision)
    }

    /// Returns the withdrawn keys that the declaration still contains, whose withdrawal has not
    /// been written to the table yet.
    pub(crate) fn unsaved_withdrawals(&self) -> Vec<KeyHash> {
        let in_declaration = |key: &&KeyHash| self.declaration.key(key).is_some();
        self.withdrawn.keys().filter(in_declaration).copied().collect()
    }

    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        self.is_loaded() && self.freshness.is_fresh(now)
    }

    fn apply_change(&mut self, change: &Change) -> Vec<Operation> {
        if change.revision != self.revision + 1 {
            return Vec::new();
        }
        if self.declaration.apply_all(&change.operations).is_err() {
            return Vec::new();
        }
        self.revision = change.revision;
        self.recent_changes.push_back(change.clone());
        if self.recent_changes.len() > RECENT_CHANGES_MAX {
            self.recent_changes.pop_front();
        }
        self.prune_withdrawn();
        change.operations.clone()
    }

    fn prune_withdrawn(&mut self) {
        let (declaration, revision) = (&self.declaration, self.revision);
        self.withdrawn
            .retain(|key, known_at| declaration.key(key).is_some() || revision < *known_at);
    }
}
