//! Clients of the platform that a fleet runs on: its transactional table and its host list.

mod host_entry;
mod http;
mod memory;
mod platform;

pub use host_entry::{HostEntry, HostState};
pub use http::HttpPlatform;
pub use memory::{MemoryPlatform, MemoryTable};
pub use platform::Platform;
