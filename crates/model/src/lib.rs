//! Discrete-event simulation of a fleet and the services behind it.
//!
//! All hosts of a fleet run as reducers in one process, without sockets or real time. Arrivals,
//! service times, network delays and faults are derived from a seed, so runs are reproducible. The
//! simulation measures what callers and instances would observe, and checks the limits that apply
//! to all hosts together.

mod baseline;
mod event_queue;
mod instance;
mod outcome;
mod pattern;
mod request_class;
mod usage;
mod world;

pub use baseline::Policy;
pub use outcome::{ClassOutcome, Outcome};
pub use pattern::{Details, Disturbance, InstanceProfile, Pattern};
pub use request_class::RequestClass;
pub use world::run;
