//! Display formats of errors.

use std::fmt;

use super::{Error, ErrorKind};

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: found {}, allowed: {}", self.path, self.kind, self.found, self.allowed)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Syntax => "not readable",
            Self::OutOfRange => "out of range",
            Self::BadName => "not a valid name",
            Self::UnknownReference => "refers to something that is not declared",
            Self::StillReferenced => "still referred to",
            Self::Conflict => "conflict",
            Self::TraceMismatch => "the trace does not replay",
        })
    }
}
