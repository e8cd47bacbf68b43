//! Errors from decoding and encoding messages.

use std::fmt;

/// A result with this crate's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A batch or report that was rejected or could not be encoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: ErrorKind,
    detail: String,
}

/// Why a batch or report was rejected or could not be encoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The signature was not made with this fleet's secret.
    Signature,
    /// The message exceeds [`BATCH_MAX_BYTES`](crate::BATCH_MAX_BYTES) or
    /// [`REPORT_MAX_BYTES`](crate::REPORT_MAX_BYTES).
    TooLarge,
    /// The message has another version than [`PROTOCOL_VERSION`](crate::PROTOCOL_VERSION).
    Version,
    /// The message does not match the schema, or a value in it is invalid.
    Malformed,
}

impl Error {
    /// Creates an error; `detail` is free text that only appears in its `Display` output.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }

    /// Returns the kind of the error; metrics use its [`ErrorKind::name`].
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl ErrorKind {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Signature => "signature",
            Self::TooLarge => "too-large",
            Self::Version => "version",
            Self::Malformed => "malformed",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "message rejected ({}): {}", self.kind.name(), self.detail)
    }
}

impl std::error::Error for Error {}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        Self::new(ErrorKind::Malformed, error.to_string())
    }
}

impl From<capnp::NotInSchema> for Error {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::new(ErrorKind::Malformed, error.to_string())
    }
}

impl From<std::str::Utf8Error> for Error {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::new(ErrorKind::Malformed, error.to_string())
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::new(ErrorKind::Malformed, error.to_string())
    }
}

impl From<ebonytack_core::Error> for Error {
    fn from(error: ebonytack_core::Error) -> Self {
        Self::new(ErrorKind::Malformed, error.to_string())
    }
}
