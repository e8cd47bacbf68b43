//! Placement policies, including simple baselines to compare the product with.

/// How hosts choose an instance for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The product's reducer, with health detection, limits and retries.
    Product,
    /// Each host cycles through all instances, whatever their state.
    RoundRobin,
    /// Each host picks the instance with the fewest of its own requests in flight.
    LeastInFlight,
}

impl Policy {
    /// Returns the name that is printed in result tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::RoundRobin => "round-robin",
            Self::LeastInFlight => "least-in-flight",
        }
    }
}

/// A host that runs a baseline policy; it never limits, retries or refuses requests.
#[derive(Debug, Default)]
pub(crate) struct BaselineHost {
    cursor: usize,
    in_flight: Vec<u32>,
}

impl BaselineHost {
    pub(crate) fn new(instances: usize, start: usize) -> Self {
        Self { cursor: start, in_flight: vec![0; instances] }
    }

    /// Chooses an instance and counts the request as in flight there.
    pub(crate) fn place(&mut self, policy: Policy) -> usize {
        self.cursor += 1;
        let count = self.in_flight.len();
        let chosen = match policy {
            Policy::LeastInFlight => {
                let candidates = (0..count).map(|offset| (self.cursor + offset) % count);
                candidates.min_by_key(|index| self.in_flight[*index]).unwrap_or(0)
            }
            Policy::Product | Policy::RoundRobin => self.cursor % count,
        };
        self.in_flight[chosen] += 1;
        chosen
    }

    pub(crate) fn finish(&mut self, instance: usize) {
        self.in_flight[instance] = self.in_flight[instance].saturating_sub(1);
    }
}
