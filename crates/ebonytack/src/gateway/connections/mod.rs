//! The connections of callers: their phases, time limits and number.

mod closing;
pub mod delivery;
pub mod limits;
mod stream;
mod table;

pub(super) use closing::close_after_delivery;
pub(super) use limits::TimeLimits;
pub(super) use stream::CallerStream;
pub(super) use table::{CallerConnection, ConnectionTable};

#[cfg(test)]
mod tests;
