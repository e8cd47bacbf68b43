//! Seeded randomness of loads.

use std::time::Duration;

use ebonytack_core::mix;

/// A seeded generator.
#[derive(Clone, Debug)]
pub struct TestRandom {
    state: u64,
}

impl TestRandom {
    /// Creates a generator.
    pub fn new(seed: u64) -> Self {
        Self { state: mix(seed) }
    }

    /// Returns the next number.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(1);
        mix(self.state)
    }

    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.next_u64() % bound.max(1) as u64) as usize
    }

    /// Returns a number above 0 and at most 1.
    pub fn next_f64(&mut self) -> f64 {
        ((self.next_u64() >> 11) + 1) as f64 / (1u64 << 53) as f64
    }

    /// Returns the time to the next arrival of a Poisson process.
    pub fn next_interarrival(&mut self, rate_per_second: f64) -> Duration {
        Duration::from_secs_f64(-self.next_f64().ln() / rate_per_second)
    }

    /// Returns a sample of the standard normal distribution (Box and Muller).
    pub fn next_standard_normal(&mut self) -> f64 {
        let radius = (-2.0 * self.next_f64().ln()).sqrt();
        radius * (std::f64::consts::TAU * self.next_f64()).cos()
    }
}
