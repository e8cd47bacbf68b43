//! The kinds of invalid input.

/// The reason why an input was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The input is not valid JSON or not JSON of the expected form.
    Syntax,
    /// A value is outside its range.
    OutOfRange,
    /// A name, path, method or hash is empty, too long or has an invalid character.
    BadName,
    /// A value refers to something that is not declared.
    UnknownReference,
    /// A removed entity is still referred to.
    StillReferenced,
    /// The configuration changed since the revision that a change was based on.
    Conflict,
    /// A recorded trace does not replay to the same effects.
    TraceMismatch,
}
