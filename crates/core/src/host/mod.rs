//! The state of one entry host and its reducer.

mod claims;
mod identity;
mod operators;
mod peers;
mod requests;
mod rounds;
mod state;
mod status;
mod step;

pub use identity::Identity;
pub use state::Host;
