//! A seeded pseudorandom generator for loads and faults.

use std::time::Duration;

use ebonytack_core::mix;

/// A pseudorandom generator that yields the same sequence for the same seed.
#[derive(Clone, Debug)]
pub struct TestRandom {
    state: u64,
}

impl TestRandom {
    /// Creates a generator; similar seeds give unrelated sequences.
    pub fn new(seed: u64) -> Self {
        Self { state: mix(seed) }
    }

    /// Returns a number that is uniform over all 64-bit values.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(1);
        mix(self.state)
    }

    /// Returns a uniform number below `bound`; 0 when `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.next_u64() % bound.max(1) as u64) as usize
    }

    /// Returns a uniform number in `(0, 1]`; 0 is excluded because callers take the logarithm.
    pub fn next_f64(&mut self) -> f64 {
        ((self.next_u64() >> 11) + 1) as f64 / (1u64 << 53) as f64
    }

    /// Returns a sample of the time between two arrivals of a Poisson process.
    pub fn next_interarrival(&mut self, rate_per_second: f64) -> Duration {
        Duration::from_secs_f64(-self.next_f64().ln() / rate_per_second)
    }

    /// Returns a sample of the standard normal distribution (Box-Muller transform).
    pub fn next_standard_normal(&mut self) -> f64 {
        let radius = (-2.0 * self.next_f64().ln()).sqrt();
        radius * (std::f64::consts::TAU * self.next_f64()).cos()
    }
}
