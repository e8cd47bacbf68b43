//! The state that one host keeps about one customer's rate limit.

use std::collections::VecDeque;
use std::time::Duration;

use super::GRANT_DURATION;
use crate::message::{Draw, Grant};
use crate::{CustomerId, HostId, RequestId};

const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// The duration of expected demand for which tokens are prefetched.
const PREFETCH_DURATION: Duration = Duration::from_millis(40);
const PREFETCH_MAX: u32 = 1_000;

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) request: RequestId,
    /// When the request stops waiting.
    pub(crate) until: Duration,
}

/// The unspent tokens, waiting requests and expected demand of one customer on one host.
#[derive(Debug, Default)]
pub(crate) struct Account {
    /// Token counts with their expiry times, earliest first.
    tokens: VecDeque<(u32, Duration)>,
    /// The number of the newest draw. Invariant: rises with each draw.
    sequence: u64,
    last_grant: u64,
    /// When the pending draw was sent; `None` when there is none.
    pub(crate) draw_sent_at: Option<Duration>,
    /// The earliest time of the next draw.
    pub(crate) retry_at: Duration,
    pub(crate) waiters: VecDeque<Waiter>,
    demand_per_second: f64,
    demand_updated_at: Duration,
    pub(crate) last_used_at: Duration,
    /// The host to which draws are sent; `None` until one is chosen.
    pub(crate) holder: Option<HostId>,
    /// Unanswered draws since the last grant.
    pub(crate) unanswered_draws: u32,
}

impl Account {
    /// Counts a request in the demand estimate.
    pub(crate) fn record_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.demand_updated_at).as_secs_f64();
        let time_constant = DEMAND_TIME_CONSTANT.as_secs_f64();
        self.demand_per_second =
            self.demand_per_second * (-elapsed / time_constant).exp() + 1.0 / time_constant;
        self.demand_updated_at = now;
        self.last_used_at = now;
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

    /// Puts back the token of a request that was not forwarded.
    pub(crate) fn refund(&mut self, now: Duration) {
        if let Some(back) = self.tokens.back_mut().filter(|(_, expires_at)| *expires_at > now) {
            back.0 += 1;
        }
    }

    pub(crate) fn held(&self) -> u32 {
        self.tokens.iter().map(|(count, _)| *count).sum()
    }

    /// Creates the next draw. With `return_tokens`, it returns all unspent tokens and prefetches
    /// none.
    pub(crate) fn draw(
        &mut self,
        customer: &CustomerId,
        now: Duration,
        return_tokens: bool,
    ) -> Draw {
        self.expire(now);
        let held = self.held();
        let returned = if return_tokens { held } else { 0 };
        if return_tokens {
            self.tokens.clear();
        }
        self.sequence += 1;
        self.draw_sent_at = Some(now);
        let needed = u32::try_from(self.waiters.len()).unwrap_or(u32::MAX);
        let ahead = if return_tokens { 0 } else { self.prefetch_target().saturating_sub(held) };
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

    /// Adds the tokens of a grant. A duplicate or outdated grant changes nothing.
    pub(crate) fn accept(&mut self, grant: &Grant, now: Duration) {
        if grant.sequence <= self.last_grant || grant.sequence > self.sequence {
            return;
        }
        self.last_grant = grant.sequence;
        self.unanswered_draws = 0;
        if grant.sequence == self.sequence {
            self.draw_sent_at = None;
        }
        let expires_at = Duration::from_micros(grant.sent_at_us) + GRANT_DURATION;
        if grant.tokens > 0 && expires_at > now {
            self.tokens.push_back((grant.tokens, expires_at));
        }
        self.retry_at = now + Duration::from_millis(u64::from(grant.retry_after_ms));
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        self.tokens.retain(|(count, expires_at)| *expires_at > now && *count > 0);
    }

    fn prefetch_target(&self) -> u32 {
        let tokens = (self.demand_per_second * PREFETCH_DURATION.as_secs_f64()).floor();
        (tokens as u32).min(PREFETCH_MAX)
    }
}
