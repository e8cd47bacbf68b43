//! Updates from a host to one with a lower revision.

use serde::{Deserialize, Serialize};

use crate::{Change, RawDeclaration, Revision};

/// Changes, or the whole declaration when the receiver lags too far behind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeSet {
    /// Changes with consecutive revisions, oldest first.
    Changes(Vec<Change>),
    /// The whole declaration, which replaces the one of the receiver.
    Snapshot {
        /// The revision of the declaration; ignored unless it is higher than that of the receiver.
        revision: Revision,
        /// The declaration, which the receiver checks before use.
        declaration: Box<RawDeclaration>,
    },
}
