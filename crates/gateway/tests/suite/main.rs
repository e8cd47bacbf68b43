//! Tests of the reducer of one host.

mod attempts;
mod cluster;
mod cursor;
mod customers;
mod evacuation;
mod fleet;
mod groups;
mod notices;
mod placement;
mod recovery;
mod restarts;
mod restored_store;
mod shortage;
mod sources;
mod store;
mod support;
mod tables;
mod trials;
mod warm_up;
mod warm_up_site;
