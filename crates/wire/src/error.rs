//! The errors of the crate.

use std::fmt;

/// The result of an operation of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A refused batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: ErrorKind,
    detail: String,
}

/// Why a batch is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The signature is not the fleet's.
    Signature,
    /// The batch is larger than allowed.
    TooLarge,
    /// The batch has a version that this build does not read.
    Version,
    /// The batch is not well formed.
    Malformed,
}

impl Error {
    /// Creates an error.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }

    /// Returns why the batch is refused.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl ErrorKind {
    /// Returns the name that stands in metrics.
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
        write!(f, "batch refused ({}): {}", self.kind.name(), self.detail)
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
