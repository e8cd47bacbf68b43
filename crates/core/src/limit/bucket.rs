//! The token bucket of a customer, kept by the holder of the customer's shard.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{GRANT_DURATION, GRANT_MARGIN};
use crate::message::Draw;
use crate::{Customer, HostId, Incarnation};

/// The prefetched tokens of a grant are at most the remaining free tokens divided by this.
const PREFETCH_DIVISOR: f64 = 8.0;
/// Grants ask for confirmation once the outstanding tokens reach the burst divided by this,
/// because outstanding tokens limit the refill.
const CONFIRM_DIVISOR: f64 = 8.0;
/// The shortest and the longest delay before the next draw when the need was not met.
const RETRY_RANGE_MS: (f64, f64) = (15.0, 200.0);
/// How long a host's unmet need counts in the retry delay.
const UNMET_NEED_TTL: Duration = Duration::from_millis(250);

/// The token bucket of a customer, kept by the holder of the customer's shard.
///
/// Invariant: `level` plus all tokens that hosts may still spend is at most the burst, so the
/// requests admitted over any window are at most the burst plus the rate times the window.
#[derive(Debug)]
pub struct Bucket {
    level: f64,
    rate_per_second: f64,
    burst: f64,
    refilled_at: Duration,
    usable_from: Duration,
    shares: BTreeMap<HostId, Share>,
    /// Tokens of hosts that restarted, which count as outstanding until they expire.
    orphaned: Vec<Tokens>,
}

/// The tokens that one host may still spend.
#[derive(Debug)]
struct Share {
    incarnation: Incarnation,
    last_sequence: u64,
    /// Tokens that the host reported as unspent.
    held: Tokens,
    /// Grants that the host has not confirmed, by the number of their draw.
    unconfirmed: VecDeque<(u64, Tokens)>,
    /// Whether tokens expired since the last draw; the next return may include them.
    expired: bool,
    /// Tokens that the last draw needed and did not get, and its time.
    unmet: (u32, Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct Tokens {
    count: u32,
    expires_at: Duration,
}

/// What a draw obtained.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Allocation {
    /// The tokens that the host may spend; zero when none are free.
    pub tokens: u32,
    /// How long to wait before drawing the rest; zero when the need is met.
    pub retry_after: Duration,
    /// Whether the host should report its spending at once, because outstanding tokens limit the
    /// refill.
    pub confirm: bool,
}

/// Construction.
impl Bucket {
    /// Creates an empty bucket that grants nothing before `usable_from`.
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

/// Draws and changed limits.
impl Bucket {
    /// Applies a changed rate and burst.
    pub fn set_limits(&mut self, customer: &Customer, now: Duration) {
        let rate = f64::from(customer.rate_per_second);
        let burst = f64::from(customer.burst);
        if rate != self.rate_per_second || burst != self.burst {
            self.refill(now);
            self.rate_per_second = rate;
            self.burst = burst;
            self.cap_level();
        }
    }

    /// Serves a host's draw; `None` when a newer draw or incarnation of that host was seen.
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
        // Refill first, because tokens outstanding until now kept the bucket from filling up.
        self.refill(now);
        let credit = self.reconcile(from, incarnation, draw, now)?;
        self.level += f64::from(credit);
        self.cap_level();
        let allocated = self.allocate(draw);
        self.level -= f64::from(allocated);
        self.record_allocation(from, draw, allocated, now);
        let satisfied = allocated >= draw.needed;
        let retry_after = if satisfied { Duration::ZERO } else { self.retry_after(now) };
        let refill_limited = f64::from(self.outstanding()) * CONFIRM_DIVISOR >= self.burst;
        Some(Allocation {
            tokens: allocated,
            retry_after,
            confirm: allocated > 0 && refill_limited,
        })
    }

    /// Returns the number of tokens that hosts may still spend.
    pub fn outstanding(&self) -> u32 {
        let shares: u32 = self.shares.values().map(Share::outstanding).sum();
        shares + self.orphaned.iter().map(|tokens| tokens.count).sum::<u32>()
    }

    /// Returns the number of free tokens as of the last draw.
    pub fn level(&self) -> f64 {
        self.level
    }
}

/// Steps of a draw.
impl Bucket {
    /// Updates the host's share from its draw and returns the number of tokens to credit to the
    /// bucket; `None` when the draw is outdated.
    fn reconcile(
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
        let expires_at = now + GRANT_DURATION + GRANT_MARGIN;
        share.held = Tokens { count: draw.held.min(before - unconfirmed), expires_at };
        let after = share.outstanding();
        // A late return must not restore expired tokens, since the refill has replaced them.
        let expired = std::mem::take(&mut share.expired);
        Some(if expired { 0 } else { draw.returned.min(before.saturating_sub(after)) })
    }

    /// Starts a share for a new incarnation; `None` when the draw is from an older one.
    fn replace_share(&mut self, from: HostId, incarnation: Incarnation) -> Option<()> {
        match self.shares.get(&from) {
            Some(share) if share.incarnation > incarnation => return None,
            Some(share) if share.incarnation == incarnation => return Some(()),
            _ => {}
        }
        let new_share = Share {
            incarnation,
            last_sequence: 0,
            held: Tokens::default(),
            unconfirmed: VecDeque::new(),
            expired: false,
            unmet: (0, Duration::ZERO),
        };
        if let Some(old) = self.shares.insert(from, new_share) {
            self.orphaned.push(old.held);
            self.orphaned.extend(old.unconfirmed.iter().map(|(_, tokens)| *tokens));
        }
        Some(())
    }

    fn expire(&mut self, now: Duration) {
        self.orphaned.retain(|tokens| tokens.expires_at > now);
        for share in self.shares.values_mut() {
            let before = share.outstanding();
            share.unconfirmed.retain(|(_, tokens)| tokens.expires_at > now);
            if share.held.expires_at <= now {
                share.held.count = 0;
            }
            share.expired |= share.outstanding() < before;
        }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.level += elapsed.as_secs_f64() * self.rate_per_second;
        self.refilled_at = now.max(self.refilled_at);
        self.cap_level();
    }

    fn cap_level(&mut self) {
        let available = self.burst - f64::from(self.outstanding());
        self.level = self.level.min(available.max(0.0));
    }

    fn allocate(&self, draw: &Draw) -> u32 {
        let free = self.level.max(0.0).floor();
        let needed = f64::from(draw.needed).min(free);
        let prefetched = f64::from(draw.ahead).min(((free - needed) / PREFETCH_DIVISOR).floor());
        (needed + prefetched) as u32
    }

    fn record_allocation(&mut self, from: HostId, draw: &Draw, allocated: u32, now: Duration) {
        let Some(share) = self.shares.get_mut(&from) else { return };
        share.unmet = (draw.needed.saturating_sub(allocated), now);
        if allocated > 0 {
            let expires_at = now + GRANT_DURATION + GRANT_MARGIN;
            share.unconfirmed.push_back((draw.sequence, Tokens { count: allocated, expires_at }));
        }
    }

    /// Returns half the time in which the refill covers the recent unmet need of all hosts, within
    /// [`RETRY_RANGE_MS`].
    fn retry_after(&self, now: Duration) -> Duration {
        let recent = |share: &&Share| share.unmet.1 + UNMET_NEED_TTL > now;
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
