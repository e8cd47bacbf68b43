//! HTTP/1.1 client exchanges that report whether a failed request may have been sent.
//!
//! A proxy that must not send a request twice has to know whether any byte of it left the process,
//! and whether an idle connection is still free of data that belongs to another response.
//! [`Connection::is_reusable`] detects unsolicited data, [`Exchange`] skips responses to other
//! requests, and [`ExchangeError::sent`](field@ExchangeError::sent) states whether the request may
//! have reached the peer.

mod body;
mod connection;
mod error;
mod exchange;
mod framing;
mod head_check;
mod response;
mod strict_stream;

pub use body::{Body, BodyBuffer, SEGMENT_BYTES};
pub use connection::{ConnectSettings, Connection};
pub use error::{ExchangeError, ExchangeErrorKind};
pub use exchange::{Exchange, MemoryGrant, OutgoingRequest};
pub use framing::is_close_delimited;
pub use response::IncomingResponse;
pub use strict_stream::strict_connector;
