//! Requests of operators, and the replies to them.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Change, ChangeId, KeyHash, Operation, RawDeclaration, Revision};

/// A query or a change that an operator requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "ask", deny_unknown_fields)]
pub enum OperatorRequest {
    /// Changes the configuration.
    Apply {
        /// Identifies the change; sent again with the same id, it takes effect once.
        change_id: ChangeId,
        /// The name of the operator, recorded in the audit log.
        author: String,
        /// When the operator made the change, in milliseconds since the Unix epoch.
        made_at_unix_ms: u64,
        /// The revision on which the operations are based; the newest one when absent.
        based_on: Option<Revision>,
        /// The operations to apply together.
        operations: Vec<Operation>,
    },
    /// Withdraws an API key, even while the table is unavailable.
    WithdrawKey {
        /// The id of the change that removes the key from the declaration.
        change_id: ChangeId,
        /// The name of the operator, recorded in the audit log.
        author: String,
        /// When the operator made the change, in milliseconds since the Unix epoch.
        made_at_unix_ms: u64,
        /// The hash of the API key.
        key: KeyHash,
    },
    /// Returns the declaration in force.
    Declaration,
    /// Returns the state of the host.
    Status,
    /// Returns accepted changes, oldest first.
    Audit {
        /// Only changes after this revision are returned.
        after: Revision,
        /// The maximum number of changes to return.
        limit: u32,
    },
}

/// The reply to an [`OperatorRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorReply {
    /// The change is stored durably.
    Accepted {
        /// The revision that the change created.
        revision: Revision,
        /// Whether a majority of the configuration's voters confirmed the change in time.
        confirmed: bool,
    },
    /// The withdrawal is in force on a majority of voters and will be written to the table.
    Withdrawn,
    /// Another change was accepted first; nothing was changed.
    Conflict {
        /// The revision on which the change was based.
        based_on: Revision,
        /// The revision in force.
        current: Revision,
    },
    /// The change is not valid; nothing was changed.
    Refused {
        /// The error, with the path of the invalid value.
        message: String,
    },
    /// The table is unavailable; nothing was changed.
    Unavailable,
    /// The change may or may not have been stored; send it again with the same change id.
    Unknown {
        /// The id of the change, or the key hash for a withdrawal that was not confirmed in time.
        change_id: ChangeId,
    },
    /// The declaration in force.
    Declaration {
        /// The revision of the declaration.
        revision: Revision,
        /// The declaration as operators write it.
        declaration: Box<RawDeclaration>,
    },
    /// The state of the host.
    Status {
        /// An object with the fields of the status report.
        status: Value,
    },
    /// Accepted changes.
    Audit {
        /// The changes, oldest first.
        changes: Vec<Change>,
    },
}
