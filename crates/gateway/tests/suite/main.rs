//! Tests of the reducer of one host.

mod attempts;
mod beliefs;
mod customers;
mod fleet;
mod placement;
mod sources;
mod support;
mod tables;
