//! Tests of the reducer of one host.

mod attempts;
mod customers;
mod fleet;
mod groups;
mod notices;
mod placement;
mod recovery;
mod sources;
mod store;
mod support;
mod tables;
