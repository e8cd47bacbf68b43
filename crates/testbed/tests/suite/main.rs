//! Tests of whole fleets: real processes, stand-ins for what is outside, injected faults.

mod configuration;
mod health;
mod keys;
mod limits;
mod orders;
mod path;
mod recovery;
mod support;
