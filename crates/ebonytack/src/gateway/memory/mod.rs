//! The memory that requests and responses may use together.
//!
//! [`MemoryAccount`] adds up what all requests of the process hold. The decisions, which are what fits,
//! who gives way and what a head holds, are pure functions in [`budget`], [`victim`] and [`head`]. They are tested in
//! `tests.rs`.

mod account;
pub mod budget;
pub mod head;
pub mod victim;

pub(super) use account::{Hold, MemoryAccount};

#[cfg(test)]
mod tests;
