//! A customer's bucket at its holder.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{GRANT_DURATION, GRANT_MARGIN};
use crate::message::Draw;
use crate::{Customer, HostId, Incarnation};

/// The part of the free tokens that one draw may take ahead of need.
const AHEAD_DIVISOR: f64 = 8.0;
/// The part of the burst from which tokens that may be spent already hold up the refill.
const CONFIRM_DIVISOR: f64 = 8.0;
const RETRY_RANGE_MS: (f64, f64) = (15.0, 200.0);
/// How long a host's unmet need counts in the estimate of the next retry.
const NEED_MEMORY: Duration = Duration::from_millis(250);

/// A customer's bucket at its holder.
///
/// Invariant: `level` plus all tokens that hosts can still spend is at most the burst, so the
/// requests admitted over any window are at most the burst plus the rate times the window.
#[derive(Debug)]
pub struct Bucket {
    level: f64,
    rate_per_second: f64,
    burst: f64,
    refilled_at: Duration,
    usable_from: Duration,
    shares: BTreeMap<HostId, Share>,
    /// Tokens of replaced hosts, with the time at which they lapse.
    orphaned: Vec<Tokens>,
}

/// What one host may still spend.
#[derive(Debug)]
struct Share {
    incarnation: Incarnation,
    last_sequence: u64,
    /// Tokens that the host reported as unspent.
    held: Tokens,
    /// Grants that the host has not confirmed.
    unconfirmed: VecDeque<(u64, Tokens)>,
    /// Whether tokens lapsed since the last draw, so that returned ones may be among them.
    lapsed: bool,
    /// Tokens that the host asked for in vain, and when.
    unmet: (u32, Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct Tokens {
    count: u32,
    lapse_at: Duration,
}

/// The answer to a draw.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Allocation {
    /// The tokens that the host may spend.
    pub tokens: u32,
    /// When to ask again for the rest.
    pub retry_after: Duration,
    /// Whether to report at once what was spent, because it holds up the refill.
    pub confirm: bool,
}

/// Building.
impl Bucket {
    /// Creates an empty bucket that gives nothing before `usable_from`.
    pub fn new(customer: &Customer, usable_from: Duration) -> Self {
        Self {
            level: 0.0,
            rate_per_second: f64::from(customer.rate_per_second),
            burst: f64::from(customer.burst),
            refilled_at: usable_from,
            usable_from,
            shares: BTreeMap::new(),
            orphaned: Vec::new(),
        }
    }
}

/// Changing.
impl Bucket {
    /// Takes over an edited rate and burst.
    pub fn set_limits(&mut self, customer: &Customer, now: Duration) {
        let rate = f64::from(customer.rate_per_second);
        let burst = f64::from(customer.burst);
        if rate != self.rate_per_second || burst != self.burst {
            self.refill(now);
            self.rate_per_second = rate;
            self.burst = burst;
            self.cap();
        }
    }

    /// Answers a host's draw, or `None` when a newer draw of that host was seen.
    pub fn draw(
        &mut self,
        from: HostId,
        incarnation: Incarnation,
        draw: &Draw,
        now: Duration,
    ) -> Option<Allocation> {
        if now < self.usable_from {
            return Some(Allocation {
                tokens: 0,
                retry_after: self.usable_from - now,
                confirm: false,
            });
        }
        // Tokens that were out until now kept the bucket from filling up, so the refill comes first.
        self.refill(now);
        let credit = self.settle(from, incarnation, draw, now)?;
        self.level += f64::from(credit);
        self.cap();
        let given = self.choose(draw);
        self.level -= f64::from(given);
        self.record(from, draw, given, now);
        let satisfied = given >= draw.needed;
        let retry_after = if satisfied { Duration::ZERO } else { self.retry_after(now) };
        let crowded = f64::from(self.outstanding()) * CONFIRM_DIVISOR >= self.burst;
        Some(Allocation { tokens: given, retry_after, confirm: given > 0 && crowded })
    }

    /// Returns the tokens that hosts can still spend.
    pub fn outstanding(&self) -> u32 {
        let shares: u32 = self.shares.values().map(Share::outstanding).sum();
        shares + self.orphaned.iter().map(|tokens| tokens.count).sum::<u32>()
    }

    /// Returns the tokens in the bucket.
    pub fn level(&self) -> f64 {
        self.level
    }
}

/// Steps of a draw.
impl Bucket {
    /// Brings the host's share up to date and returns the tokens that it gave back.
    fn settle(
        &mut self,
        from: HostId,
        incarnation: Incarnation,
        draw: &Draw,
        now: Duration,
    ) -> Option<u32> {
        self.expire(now);
        self.replace_share(from, incarnation)?;
        let share = self.shares.get_mut(&from)?;
        if draw.sequence <= share.last_sequence {
            return None;
        }
        let before = share.outstanding();
        share.last_sequence = draw.sequence;
        share.unconfirmed.retain(|(sequence, _)| *sequence > draw.last_grant);
        let unconfirmed: u32 = share.unconfirmed.iter().map(|(_, tokens)| tokens.count).sum();
        let lapse_at = now + GRANT_DURATION + GRANT_MARGIN;
        share.held = Tokens { count: draw.held.min(before - unconfirmed), lapse_at };
        let after = share.outstanding();
        // A late return must not bring lapsed tokens back, since the refill has replaced them.
        let lapsed = std::mem::take(&mut share.lapsed);
        Some(if lapsed { 0 } else { draw.returned.min(before.saturating_sub(after)) })
    }

    /// Starts a share for a new incarnation; `None` when the draw is from a replaced process.
    fn replace_share(&mut self, from: HostId, incarnation: Incarnation) -> Option<()> {
        match self.shares.get(&from) {
            Some(share) if share.incarnation > incarnation => return None,
            Some(share) if share.incarnation == incarnation => return Some(()),
            _ => {}
        }
        let fresh = Share {
            incarnation,
            last_sequence: 0,
            held: Tokens::default(),
            unconfirmed: VecDeque::new(),
            lapsed: false,
            unmet: (0, Duration::ZERO),
        };
        if let Some(old) = self.shares.insert(from, fresh) {
            self.orphaned.push(old.held);
            self.orphaned.extend(old.unconfirmed.iter().map(|(_, tokens)| *tokens));
        }
        Some(())
    }

    fn expire(&mut self, now: Duration) {
        self.orphaned.retain(|tokens| tokens.lapse_at > now);
        for share in self.shares.values_mut() {
            let before = share.outstanding();
            share.unconfirmed.retain(|(_, tokens)| tokens.lapse_at > now);
            if share.held.lapse_at <= now {
                share.held.count = 0;
            }
            share.lapsed |= share.outstanding() < before;
        }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.level += elapsed.as_secs_f64() * self.rate_per_second;
        self.refilled_at = now.max(self.refilled_at);
        self.cap();
    }

    fn cap(&mut self) {
        let room = self.burst - f64::from(self.outstanding());
        self.level = self.level.min(room.max(0.0));
    }

    fn choose(&self, draw: &Draw) -> u32 {
        let free = self.level.max(0.0).floor();
        let needed = f64::from(draw.needed).min(free);
        let ahead = f64::from(draw.ahead).min(((free - needed) / AHEAD_DIVISOR).floor());
        (needed + ahead) as u32
    }

    fn record(&mut self, from: HostId, draw: &Draw, given: u32, now: Duration) {
        let Some(share) = self.shares.get_mut(&from) else { return };
        share.unmet = (draw.needed.saturating_sub(given), now);
        if given > 0 {
            let lapse_at = now + GRANT_DURATION + GRANT_MARGIN;
            share.unconfirmed.push_back((draw.sequence, Tokens { count: given, lapse_at }));
        }
    }

    fn retry_after(&self, now: Duration) -> Duration {
        let recent = |share: &&Share| share.unmet.1 + NEED_MEMORY > now;
        let unmet: u32 = self.shares.values().filter(recent).map(|share| share.unmet.0).sum();
        let wait_ms = f64::from(unmet) * 500.0 / self.rate_per_second;
        Duration::from_millis(wait_ms.clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1) as u64)
    }
}

impl Share {
    fn outstanding(&self) -> u32 {
        self.held.count + self.unconfirmed.iter().map(|(_, tokens)| tokens.count).sum::<u32>()
    }
}
