//! Clients of the platform that a fleet runs on: its transactional table and its host list.

mod client;
mod host_entry;
mod http;
mod memory;

pub use client::Platform;
pub use host_entry::{HostEntry, HostState};
pub use http::HttpPlatform;
pub use memory::{MemoryPlatform, MemoryTable};
