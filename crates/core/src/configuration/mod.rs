//! The configuration that a host applies, and the age of its list of withdrawn keys.

mod change_set;
mod freshness;
mod state;

pub use change_set::ChangeSet;
pub use freshness::Freshness;
pub(crate) use state::ConfigurationState;
