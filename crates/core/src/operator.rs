//! What operators ask of a host, and its answers.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Change, ChangeId, KeyHash, Operation, RawDeclaration, Revision};

/// A question or an order of an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "ask", deny_unknown_fields)]
pub enum OperatorRequest {
    /// Change the configuration.
    Apply {
        /// Identifies the change; a repeat with the same id takes effect once.
        change_id: ChangeId,
        /// Who makes the change.
        author: String,
        /// When, in milliseconds since 1970.
        made_at_unix_ms: u64,
        /// The revision that the operations were worked out from; the newest one when absent.
        based_on: Option<Revision>,
        /// What to change.
        operations: Vec<Operation>,
    },
    /// Withdraw a key, also while the table is out.
    WithdrawKey {
        /// Identifies the change.
        change_id: ChangeId,
        /// Who makes the change.
        author: String,
        /// When, in milliseconds since 1970.
        made_at_unix_ms: u64,
        /// The hash of the key.
        key: KeyHash,
    },
    /// Show the declaration in force.
    Declaration,
    /// Show the state of the host.
    Status,
    /// Show accepted changes.
    Audit {
        /// Only changes after this revision.
        after: Revision,
        /// The most changes.
        limit: u32,
    },
}

/// The answer to an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorReply {
    /// The change is kept for good.
    Accepted {
        /// The revision that the change made.
        revision: Revision,
        /// Whether a majority of the configuration's voters confirmed it in time.
        confirmed: bool,
    },
    /// The withdrawal is in force on a majority of voters and will be written to the table.
    Withdrawn,
    /// Another change came first; nothing was changed.
    Conflict {
        /// The revision that the change was based on.
        based_on: Revision,
        /// The revision in force.
        current: Revision,
    },
    /// The change would break a rule; nothing was changed.
    Refused {
        /// What is wrong, with its path.
        message: String,
    },
    /// The table cannot be reached; nothing was changed.
    Unavailable,
    /// The change may or may not have been kept; ask again with the same change id.
    Unknown {
        /// The change id.
        change_id: ChangeId,
    },
    /// The declaration in force.
    Declaration {
        /// Its revision.
        revision: Revision,
        /// The declaration.
        declaration: Box<RawDeclaration>,
    },
    /// The state of the host.
    Status {
        /// A JSON object.
        status: Value,
    },
    /// Accepted changes.
    Audit {
        /// The changes, oldest first.
        changes: Vec<Change>,
    },
}
