//! HTTP/1.1 exchanges over connections whose state is known exactly.
//!
//! A proxy that must not repeat a request has to know whether a byte of it left the process, and
//! whether a kept connection still belongs to nobody else's answer. [`Connection`] shows both: it
//! refuses to be reused when anything arrived unasked, it skips answers to other requests, and a
//! failed exchange states whether the request may have reached the other end.

mod connection;
mod error;
mod exchange;
mod response;

pub use connection::{ConnectSettings, Connection};
pub use error::{ExchangeError, ExchangeErrorKind};
pub use exchange::{Exchange, OutgoingRequest};
pub use response::IncomingResponse;
