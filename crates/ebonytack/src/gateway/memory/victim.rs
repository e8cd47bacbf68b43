//! Decides which incomplete body or response gives way when the memory is short.

use std::time::Duration;

use super::budget::HoldKind;

/// A body or response whose rate is below this, in bytes per second, gives way to any other.
pub const SLOW_BYTES_PER_S: f64 = 64.0 * 1024.0;
/// A response gives way to another one of which it holds this many times the bytes.
const LARGER_RESPONSE_FACTOR: usize = 2;

/// A hold that may give way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// What it is held for.
    pub kind: HoldKind,
    /// How many bytes are held.
    pub held_bytes: usize,
    /// The recent progress in bytes per second; `None` in the first second.
    pub bytes_per_s: Option<f64>,
    /// Whether the response is complete and is being sent to its caller.
    pub is_delivery: bool,
}

/// Returns the index of the candidate that gives way to `requester`, or `None` if the requester has to.
///
/// Bodies with the least progress go first, as their requests have not run. A response in progress
/// belongs to a request that may have run; it gives way only when its caller does not read it, or
/// to a response that is much smaller.
pub fn choose_victim(candidates: &[Candidate], requester: &Candidate) -> Option<usize> {
    let slow = |candidate: &Candidate| {
        let is_evictable = candidate.kind == HoldKind::Body || candidate.is_delivery;
        let rate = candidate.bytes_per_s.filter(|rate| is_evictable && *rate < SLOW_BYTES_PER_S)?;
        Some(rate)
    };
    let least = |rate: &dyn Fn(&Candidate) -> Option<f64>| {
        let rated = candidates.iter().enumerate();
        let rated = rated.filter_map(|(index, c)| Some((index, rate(c)?, c.held_bytes)));
        // Of equally slow ones, the one that frees most.
        rated.min_by(|a, b| a.1.total_cmp(&b.1).then(b.2.cmp(&a.2))).map(|(index, ..)| index)
    };
    if let Some(index) = least(&slow) {
        return Some(index);
    }
    match requester.kind {
        HoldKind::Head | HoldKind::Body => {
            let own = requester.bytes_per_s?;
            let slower = |candidate: &Candidate| {
                let rate = candidate.bytes_per_s?;
                (candidate.kind == HoldKind::Body && rate < own / 2.0).then_some(rate)
            };
            least(&slower)
        }
        HoldKind::Response => {
            let any_body = |candidate: &Candidate| {
                let rate = candidate.bytes_per_s.unwrap_or(f64::MAX);
                (candidate.kind == HoldKind::Body).then_some(rate)
            };
            least(&any_body).or_else(|| larger_response(candidates, requester))
        }
    }
}

fn larger_response(candidates: &[Candidate], requester: &Candidate) -> Option<usize> {
    let responses = candidates.iter().enumerate();
    let responses = responses.filter(|(_, c)| c.kind == HoldKind::Response && !c.is_delivery);
    let (index, largest) = responses.max_by_key(|(_, candidate)| candidate.held_bytes)?;
    (largest.held_bytes >= requester.held_bytes * LARGER_RESPONSE_FACTOR).then_some(index)
}

/// Measures the progress of a body or response in windows of a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    window_started_at: Duration,
    window_bytes: usize,
    /// The rate of the last complete window.
    last_bytes_per_s: Option<f64>,
}

impl Progress {
    /// Starts to measure at `now`.
    pub fn new(now: Duration) -> Self {
        Self { window_started_at: now, ..Self::default() }
    }

    /// Counts bytes that made progress.
    pub fn add(&mut self, now: Duration, bytes: usize) {
        let rate = self.bytes_per_s(now);
        if now.saturating_sub(self.window_started_at) >= WINDOW {
            *self = Self { window_started_at: now, window_bytes: 0, last_bytes_per_s: rate };
        }
        self.window_bytes += bytes;
    }

    /// Returns the rate in the current window if it is complete, otherwise in the last one.
    pub fn bytes_per_s(&self, now: Duration) -> Option<f64> {
        let elapsed = now.saturating_sub(self.window_started_at);
        if elapsed < WINDOW {
            return self.last_bytes_per_s;
        }
        Some(self.window_bytes as f64 / elapsed.as_secs_f64())
    }
}

const WINDOW: Duration = Duration::from_secs(1);
