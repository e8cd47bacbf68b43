//! Positions in the history of the store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Counts how often the store was restored from a copy; 0 for a store that does not say.
pub type Era = u64;
/// Number of a write to the store. A restored store counts on from its copy, so within an era a
/// version names one state of the tables, and in different eras it names different ones.
pub type Version = u64;

/// A moment in the history of the store. Later positions are greater: the era is compared first, since a
/// restored store gives out versions again.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// The era to which `version` belongs.
    pub era: Era,
    /// The last write that is included.
    pub version: Version,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {} of era {}", self.version, self.era)
    }
}
