//! The connections of callers: their phases, time limits and number.

pub mod limits;
mod stream;
mod table;

pub(super) use limits::TimeLimits;
pub(super) use stream::CallerStream;
pub(super) use table::{CallerConnection, ConnectionTable};

#[cfg(test)]
mod tests;
