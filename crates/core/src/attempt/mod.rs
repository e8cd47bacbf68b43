//! Requests in progress and their attempts.

mod outcome;
mod request;

pub use outcome::{AttemptOutcome, FailureKind};
pub(crate) use request::{ActiveRequest, Attempt, Stage};
