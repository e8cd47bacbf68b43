//! Tests of a host process against clients that are not controlled, and instances whose responses
//! have no end.
//!
//! The tests run one at a time and check only that the process lives, that its resident memory and
//! open descriptors stay under a bound, and that an ordinary request is answered afterwards, while the
//! connections of the crowd are still open. Crowd and bounds are fixed: they were chosen against the
//! code without limits.

mod bodies;
mod connections;
mod crowd;
mod endless_requests;
mod heads;
#[expect(dead_code, reason = "shared with the tests of the suite, which use more of it")]
#[path = "../suite/host.rs"]
mod host;
mod limited_host;
mod responses;
