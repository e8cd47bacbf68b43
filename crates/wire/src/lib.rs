//! Encoding of the messages between the hosts of a fleet.
//!
//! A [`Batch`](ebonytack_core::Batch) becomes a Cap'n Proto message, signed with the fleet's
//! shared secret. A [`Report`](ebonytack_gateway::Report) becomes one signed datagram. The signature
//! proves that the sender belongs to the fleet; it hides nothing.

mod decode;
mod encode;
mod error;
mod generated;
mod report;
mod signature;

pub use decode::decode_batch;
pub use encode::encode_batch;
pub use error::{Error, ErrorKind, Result};
pub use generated::peer_capnp;
pub use report::{REPORT_MAX_BYTES, decode_report, encode_report};
pub use signature::FleetSecret;

/// The version of the messages that this build reads and writes.
pub const PROTOCOL_VERSION: u16 = 1;
/// The largest encoded batch that is read, in bytes.
pub const BATCH_MAX_BYTES: usize = 64 * 1024 * 1024;
