//! The errors of the crate.

mod format;
mod kind;

pub use kind::ErrorKind;

/// The result of an operation of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A refused input, with the place where it was found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: ErrorKind,
    path: String,
    found: String,
    allowed: String,
}

impl Error {
    /// Creates an error about the value `found` at the JSON path `path`.
    pub fn new(
        kind: ErrorKind,
        path: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self { kind, path: path.into(), found: found.into(), allowed: allowed.into() }
    }

    /// Returns what kind of input was refused.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the JSON path of the refused value.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the refused value as text.
    pub fn found(&self) -> &str {
        &self.found
    }

    /// Returns what is allowed at that place.
    pub fn allowed(&self) -> &str {
        &self.allowed
    }
}

impl std::error::Error for Error {}
