//! The `gateway` mode: a host on a platform whose store holds the configuration, the instances and
//! the members, which are the hosts of the fleet.

mod attempt;
mod callers;
mod connections;
mod follow;
mod log_queue;
mod memory;
mod pool;
mod ready;
mod relay;
mod reports;
mod response_body;
mod serve;
mod settings;
mod shell;
mod sources;
mod table_copy;
mod upload;

pub(crate) use serve::run;
pub(crate) use settings::SettingsFile;
