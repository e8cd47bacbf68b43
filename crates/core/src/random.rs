//! A seeded random number generator that is part of a host's state.

use serde::{Deserialize, Serialize};

use crate::hash::mix;

const SIGNIFICAND_BITS: u32 = 53;

/// A SplitMix64 generator. It is not cryptographically secure.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator; the same seed gives the same sequence.
    pub fn new(seed: u64) -> Self {
        Self { state: mix(seed) }
    }

    /// Returns the next number, uniform over all values.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(1);
        mix(self.state)
    }

    /// Returns a number below `bound`, or 0 when `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        usize::try_from(self.next_u64() % bound as u64).unwrap_or(0)
    }

    /// Returns a number in the range from 0 (inclusive) to 1 (exclusive).
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> (u64::BITS - SIGNIFICAND_BITS)) as f64
            / (1u64 << SIGNIFICAND_BITS) as f64
    }
}
