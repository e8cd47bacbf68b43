//! Tests of whole fleets: real processes, stand-ins for what is outside, injected faults.

mod path;
mod support;
