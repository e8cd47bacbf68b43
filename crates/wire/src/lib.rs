//! Encoding of messages between the hosts of a fleet.
//!
//! A [`Batch`](ebonytack_core::Batch) is encoded as a Cap'n Proto message; the sender signs it with
//! the [`FleetSecret`] and sends the signature beside it. A [`Report`](ebonytack_gateway::Report) is
//! encoded as one datagram that begins with its signature. Signatures authenticate the sender as a
//! member of the fleet; the content is not encrypted.

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

/// The message version that this build writes; messages of other versions are rejected.
pub const PROTOCOL_VERSION: u16 = 2;
/// The size limit of an encoded batch, in bytes. Checked only when decoding.
pub const BATCH_MAX_BYTES: usize = 64 * 1024 * 1024;
