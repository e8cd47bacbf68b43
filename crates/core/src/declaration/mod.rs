//! The declared configuration: customers, keys, profiles, services, routes and hosts.

mod change;
mod checked;
mod difference;
mod entities;
mod key_hash;
mod raw;
mod route_table;

pub use change::{Change, Operation};
pub use checked::Declaration;
pub use difference::difference;
pub use entities::{
    Customer, DeclaredHost, Instance, InstanceState, KeyEntry, Profile, Route, Service,
};
pub use key_hash::KeyHash;
pub use raw::RawDeclaration;
pub(crate) use route_table::RouteTable;
