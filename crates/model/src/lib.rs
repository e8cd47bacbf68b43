//! A model of a fleet and the services behind it.
//!
//! All hosts of a fleet run as reducers in one process, without sockets and clocks. Arrivals,
//! service times, network delays and faults follow from a seed, so a run repeats exactly. The
//! model measures what callers and instances would see, and checks the bounds that hold over all
//! hosts together.

mod baseline;
mod calendar;
mod instance;
mod outcome;
mod pattern;
mod world;

pub use baseline::Policy;
pub use outcome::Outcome;
pub use pattern::{Disturbance, Pattern};
pub use world::run;
