//! The `gateway` mode: a host on a platform whose store holds the configuration, the instances and
//! the members, which are the hosts of the fleet.

mod attempt;
mod callers;
mod follow;
mod log_queue;
mod pool;
mod ready;
mod relay;
mod reports;
mod serve;
mod settings;
mod shell;
mod sources;
mod table_copy;

pub(crate) use serve::run;
pub(crate) use settings::SettingsFile;
