//! Cap'n Proto RPC between the hosts of the fleet.

mod links;
mod server;

pub(crate) use links::PeerLinks;
pub(crate) use server::service;
