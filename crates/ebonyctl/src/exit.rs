//! How a command can fail, and its exit codes.

use std::fmt;

use ebonytack_core::OperatorReply;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The input is wrong.
    Input(String),
    /// Another change came first.
    Conflict(String),
    /// No host or no table could be reached; nothing was changed.
    Unreachable(String),
    /// The change may or may not have been kept.
    Unknown(String),
}

impl Failure {
    /// Returns the documented exit code.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Input(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unreachable(_) => 4,
            Self::Unknown(_) => 5,
        }
    }

    /// Turns an answer that is no success into a failure.
    pub(crate) fn from_reply(reply: OperatorReply) -> Self {
        match reply {
            OperatorReply::Conflict { based_on, current } => Self::Conflict(format!(
                "the change was based on revision {based_on}, but revision {current} is in force"
            )),
            OperatorReply::Refused { message } => Self::Input(message),
            OperatorReply::Unavailable => {
                Self::Unreachable("the platform's table cannot be reached".to_owned())
            }
            OperatorReply::Unknown { change_id } => Self::Unknown(format!(
                "the outcome is unknown; repeat with --change-id {change_id}"
            )),
            other => Self::Unreachable(format!("unexpected answer: {other:?}")),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Input(text)
            | Self::Conflict(text)
            | Self::Unreachable(text)
            | Self::Unknown(text) => f.write_str(text),
        }
    }
}
