//! What one host sends to another that has a lower revision.

use serde::{Deserialize, Serialize};

use crate::{Change, RawDeclaration, Revision};

/// Changes, or the whole declaration for a host that lacks too many of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeSet {
    /// Changes with consecutive revisions.
    Changes(Vec<Change>),
    /// A whole declaration.
    Snapshot {
        /// The revision of the declaration.
        revision: Revision,
        /// The declaration.
        declaration: Box<RawDeclaration>,
    },
}
