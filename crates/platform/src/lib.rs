//! The platform's table service and host list, as the fleet uses them.

mod client;
mod host_entry;
mod http;
mod memory;

pub use client::Platform;
pub use host_entry::{HostEntry, HostState};
pub use http::HttpPlatform;
pub use memory::{MemoryPlatform, MemoryTable};
