//! The state of one host and the reducer that updates it.

mod attempts;
mod candidates;
mod cold_instances;
mod customers;
mod evacuation;
mod known_process;
mod placement;
mod reports;
mod requests;
mod shortage;
mod state;
mod step;
mod store;
mod trials;

pub use state::{Gateway, GatewaySettings};
