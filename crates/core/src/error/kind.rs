//! The closed list of what can be wrong with an input.

/// What kind of input was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The input is not the JSON that was expected.
    Syntax,
    /// A value lies outside its range.
    OutOfRange,
    /// A name is empty, too long or has a forbidden character.
    BadName,
    /// A value refers to something that is not declared.
    UnknownReference,
    /// Something that is still referred to would be removed.
    StillReferenced,
    /// The configuration changed since the revision that a change was based on.
    Conflict,
    /// A recorded trace does not replay to the same effects.
    TraceMismatch,
}
