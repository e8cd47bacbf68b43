//! Attempts against instances of upstream services.

mod answer;
mod attempt;
mod clients;

pub(crate) use answer::{AnswerRest, OutgoingRequest, UpstreamAnswer};
pub(crate) use clients::Upstreams;
