//! The error type of the crate.

mod format;
mod kind;

pub use kind::ErrorKind;

/// A result whose error type defaults to [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An invalid input: its path, the value found there and what is allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: ErrorKind,
    path: String,
    found: String,
    allowed: String,
}

impl Error {
    /// Creates an error about the value `found` at `path`, where `allowed` describes valid values.
    pub fn new(
        kind: ErrorKind,
        path: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self { kind, path: path.into(), found: found.into(), allowed: allowed.into() }
    }

    /// Returns the reason why the input was rejected.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the path of the rejected value, such as `customer/club.burst`.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the rejected value as text, shortened if long.
    pub fn found(&self) -> &str {
        &self.found
    }

    /// Describes the allowed values, for instance `1 to 100`.
    pub fn allowed(&self) -> &str {
        &self.allowed
    }
}

impl std::error::Error for Error {}
