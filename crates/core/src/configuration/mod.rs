//! The configuration in force on this host, and how fresh this host's knowledge is.

mod change_set;
mod freshness;
mod state;

pub use change_set::ChangeSet;
pub use freshness::Freshness;
pub(crate) use state::ConfigurationState;
