//! The configuration in force on this host, and how fresh this host's knowledge is.

mod book;
mod change_set;
mod freshness;

pub(crate) use book::ConfigurationBook;
pub use change_set::ChangeSet;
pub use freshness::Freshness;
