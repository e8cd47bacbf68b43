//! Estimates when a caller has received what was written to its connection.

use std::time::{Duration, Instant};

use super::limits::TimeLimits;

/// What is written to a connection is held in the buffers of the kernel until its caller reads it. The
/// estimate assumes that the caller reads at the least rate.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    /// When the caller has received everything at the latest.
    complete_at: Instant,
}

impl Delivery {
    /// Creates the estimate for a connection to which nothing was written.
    pub fn new(now: Instant) -> Self {
        Self { complete_at: now }
    }

    /// Counts bytes that the kernel has taken. It holds no more than its buffers.
    pub fn on_written(&mut self, bytes: usize, limits: &TimeLimits, now: Instant) {
        let complete_at = self.complete_at.max(now) + limits.read_time(bytes);
        self.complete_at = complete_at.min(now + limits.write_stall_max());
    }

    /// Returns how much longer the caller may take.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.complete_at.saturating_duration_since(now)
    }
}
