//! A stand-in for the instances of an upstream service.

mod fault;
mod ledger;
mod server;
mod stand_in;

pub use fault::{InstanceFault, LatencyModel};
pub(crate) use ledger::Ledger;
pub use ledger::LedgerEntry;
pub use stand_in::UpstreamStandIn;
