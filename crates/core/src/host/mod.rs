//! The state of one proxy host, and the reducer that updates it.

mod address_book;
mod attempts;
mod claims;
mod identity;
mod operators;
mod peers;
mod queueing;
mod requests;
mod rounds;
mod state;
mod status;
mod step;

pub(crate) use address_book::AddressBook;
pub use address_book::PeerAddress;
pub use identity::Identity;
pub use state::Host;
