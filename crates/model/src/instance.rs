//! An instance: a few slots, a short queue, and what is wrong with it.

use std::collections::VecDeque;

/// A request at an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Work {
    /// The host that sent it.
    pub(crate) host: usize,
    /// The process of the host that sent it.
    pub(crate) process: u64,
    /// The host's number for the attempt.
    pub(crate) attempt: u64,
}

/// What is wrong with an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Ills {
    /// Times the usual work, when above 1.
    pub(crate) slow: f64,
    /// Whether requests are taken and never answered.
    pub(crate) mute: bool,
    /// The share of requests that end with an error.
    pub(crate) errors: f64,
    /// The share of requests that end with an error at once.
    pub(crate) errors_at_once: f64,
    /// The share of requests that are turned away.
    pub(crate) shed: f64,
}

/// An instance.
#[derive(Debug, Default)]
pub(crate) struct ModelInstance {
    pub(crate) running: Vec<Work>,
    pub(crate) waiting: VecDeque<Work>,
    pub(crate) ills: Ills,
}

/// What becomes of a request that arrives.
pub(crate) enum Admitted {
    Runs,
    Waits,
    TurnedAway,
}

pub(crate) const SLOTS: usize = 4;
const WAITING_MAX: usize = 16;

impl ModelInstance {
    pub(crate) fn arrive(&mut self, work: Work) -> Admitted {
        if self.running.len() < SLOTS {
            self.running.push(work);
            Admitted::Runs
        } else if self.waiting.len() < WAITING_MAX {
            self.waiting.push_back(work);
            Admitted::Waits
        } else {
            Admitted::TurnedAway
        }
    }

    /// Ends a request and returns the one that takes its slot.
    pub(crate) fn end(&mut self, work: &Work) -> Option<Work> {
        self.waiting.retain(|waiting| waiting != work);
        let position = self.running.iter().position(|running| running == work)?;
        self.running.swap_remove(position);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    pub(crate) fn load(&self) -> u32 {
        u32::try_from(self.running.len() + self.waiting.len()).unwrap_or(u32::MAX)
    }
}
