//! Failures of commands and their exit codes.

use std::fmt;

use ebonytack_core::OperatorReply;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The arguments, a file or the request are invalid.
    InvalidInput(String),
    /// The change was based on a revision that is no longer in force; nothing was changed.
    Conflict(String),
    /// No host gave a valid reply, or the platform's table could not be reached.
    Unreachable(String),
    /// The change may or may not have been stored; retry it under the same change id.
    OutcomeUnknown(String),
}

impl Failure {
    /// Returns the process exit code, as listed in the help text.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidInput(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unreachable(_) => 4,
            Self::OutcomeUnknown(_) => 5,
        }
    }

    /// Converts a reply that does not report success.
    pub(crate) fn from_reply(reply: OperatorReply) -> Self {
        match reply {
            OperatorReply::Conflict { based_on, current } => Self::Conflict(format!(
                "the change was based on revision {based_on}, but revision {current} is in force"
            )),
            OperatorReply::Refused { message } => Self::InvalidInput(message),
            OperatorReply::Unavailable => {
                Self::Unreachable("the platform's table cannot be reached".to_owned())
            }
            OperatorReply::Unknown { change_id } => Self::OutcomeUnknown(format!(
                "the outcome is unknown; retry with --change-id {change_id}"
            )),
            other => Self::Unreachable(format!("unexpected reply: {other:?}")),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidInput(text)
            | Self::Conflict(text)
            | Self::Unreachable(text)
            | Self::OutcomeUnknown(text) => f.write_str(text),
        }
    }
}
