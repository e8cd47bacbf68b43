//! The tokens that a host has drawn for one customer.

use std::collections::VecDeque;
use std::time::Duration;

use super::GRANT_DURATION;
use crate::message::{Draw, Grant};
use crate::{CustomerId, HostId, RequestId};

const DEMAND_MEMORY: Duration = Duration::from_millis(500);
/// The time for which tokens are drawn ahead.
const AHEAD: Duration = Duration::from_millis(40);
const AHEAD_MAX: u32 = 1_000;

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) request: RequestId,
    pub(crate) until: Duration,
}

/// The tokens that a host has drawn for one customer.
#[derive(Debug, Default)]
pub(crate) struct Account {
    /// Tokens with the time at which they lapse, earliest first.
    tokens: VecDeque<(u32, Duration)>,
    /// Invariant: rises with each draw.
    sequence: u64,
    last_grant: u64,
    /// When the draw under way was sent.
    pub(crate) drawing_since: Option<Duration>,
    /// No draw before this time.
    pub(crate) retry_at: Duration,
    pub(crate) waiters: VecDeque<Waiter>,
    demand_per_second: f64,
    demand_at: Duration,
    pub(crate) used_at: Duration,
    /// The host that is asked for tokens.
    pub(crate) holder: Option<HostId>,
    /// Draws without an answer since the last answer.
    pub(crate) misses: u32,
}

impl Account {
    /// Counts a request in the demand estimate.
    pub(crate) fn note_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.demand_at).as_secs_f64();
        let memory = DEMAND_MEMORY.as_secs_f64();
        self.demand_per_second = self.demand_per_second * (-elapsed / memory).exp() + 1.0 / memory;
        self.demand_at = now;
        self.used_at = now;
    }

    pub(crate) fn spend(&mut self, now: Duration) -> bool {
        self.expire(now);
        let Some(front) = self.tokens.front_mut() else { return false };
        front.0 -= 1;
        if front.0 == 0 {
            self.tokens.pop_front();
        }
        true
    }

    /// Gives back the token of a request that was not sent on.
    pub(crate) fn refund(&mut self, now: Duration) {
        if let Some(back) = self.tokens.back_mut().filter(|(_, lapse_at)| *lapse_at > now) {
            back.0 += 1;
        }
    }

    pub(crate) fn held(&self) -> u32 {
        self.tokens.iter().map(|(count, _)| *count).sum()
    }

    /// Makes the next draw.
    pub(crate) fn draw(&mut self, customer: &CustomerId, now: Duration, give_back: bool) -> Draw {
        self.expire(now);
        let held = self.held();
        let returned = if give_back { held } else { 0 };
        if give_back {
            self.tokens.clear();
        }
        self.sequence += 1;
        self.drawing_since = Some(now);
        let needed = u32::try_from(self.waiters.len()).unwrap_or(u32::MAX);
        let ahead = if give_back { 0 } else { self.ahead().saturating_sub(held) };
        Draw {
            customer: customer.clone(),
            sequence: self.sequence,
            last_grant: self.last_grant,
            held: held - returned,
            returned,
            needed,
            ahead,
            sent_at_us: u64::try_from(now.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// Takes the tokens of a grant; a repeated or overtaken grant changes nothing.
    pub(crate) fn accept(&mut self, grant: &Grant, now: Duration) {
        if grant.sequence <= self.last_grant || grant.sequence > self.sequence {
            return;
        }
        self.last_grant = grant.sequence;
        self.misses = 0;
        if grant.sequence == self.sequence {
            self.drawing_since = None;
        }
        let lapse_at = Duration::from_micros(grant.sent_at_us) + GRANT_DURATION;
        if grant.tokens > 0 && lapse_at > now {
            self.tokens.push_back((grant.tokens, lapse_at));
        }
        self.retry_at = now + Duration::from_millis(u64::from(grant.retry_after_ms));
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        self.tokens.retain(|(count, lapse_at)| *lapse_at > now && *count > 0);
    }

    fn ahead(&self) -> u32 {
        let ahead = (self.demand_per_second * AHEAD.as_secs_f64()).floor();
        (ahead as u32).min(AHEAD_MAX)
    }
}
