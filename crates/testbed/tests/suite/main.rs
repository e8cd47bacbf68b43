//! End-to-end tests of fleets of real host processes, with stand-ins for the platform and upstreams
//! and injected faults.

mod addresses;
mod broken_responses;
mod configuration;
mod health;
mod keys;
mod limits;
mod orders;
mod path;
mod recovery;
mod support;
