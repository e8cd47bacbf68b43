//! Rate limiting on one host: it holds buckets, and spends tokens drawn from their holders.

use std::collections::BTreeMap;
use std::time::Duration;

use super::account::{Account, Waiter};
use super::{Bucket, GRANT_DURATION, GRANT_MARGIN};
use crate::lease::{LeaseManager, shard_of};
use crate::message::{Draw, Grant};
use crate::{
    CustomerId, Declaration, HostId, Incarnation, Message, Outbox, RequestId, ShardId, Timer,
    Timers,
};

/// How long a draw may stay unanswered before the next one is sent.
const DRAW_TIMEOUT: Duration = Duration::from_millis(100);
/// How long after the last request of a customer a host returns its unused tokens.
const IDLE_RETURN_AFTER: Duration = Duration::from_millis(150);
/// How long an account without requests is kept.
const ACCOUNT_TTL: Duration = Duration::from_secs(10);
const WAITERS_MAX: usize = 64;
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// The inputs of a rate-limit decision that belong to the host.
pub(crate) struct LimitContext<'a> {
    pub(crate) now: Duration,
    pub(crate) me: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) declaration: &'a Declaration,
}

/// Whether a request got a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Admission {
    /// A token was spent.
    Admitted,
    /// The request waits for a token.
    Waiting,
    /// The request is rejected because too many requests already wait.
    Full,
}

/// The waiting requests that got a token.
#[derive(Debug, Default)]
pub(crate) struct ServedWaiters {
    pub(crate) admitted: Vec<RequestId>,
}

/// The buckets that one host holds, and the tokens that it has drawn for its own requests.
///
/// Invariant: a bucket exists only while this host holds the customer's shard.
#[derive(Debug, Default)]
pub struct RateLimiter {
    buckets: BTreeMap<ShardId, BTreeMap<CustomerId, Bucket>>,
    accounts: BTreeMap<CustomerId, Account>,
    swept_at: Duration,
}

/// Tokens for this host's own requests.
impl RateLimiter {
    /// Spends a token for a request, or queues the request until `waiter.until`.
    pub(crate) fn acquire(
        &mut self,
        context: &LimitContext<'_>,
        leases: &mut LeaseManager,
        customer: &CustomerId,
        waiter: Waiter,
        timers: &mut Timers,
        out: &mut Outbox,
    ) -> Admission {
        let account = self.account(customer);
        account.record_demand(context.now);
        if account.waiters.is_empty() && account.spend(context.now) {
            return Admission::Admitted;
        }
        if account.waiters.len() >= WAITERS_MAX {
            return Admission::Full;
        }
        account.waiters.push_back(waiter);
        let served = self.draw_if_due(context, leases, customer, timers, out);
        if served.admitted.contains(&waiter.request) {
            return Admission::Admitted;
        }
        Admission::Waiting
    }

    /// Removes a waiting request; returns whether no draw went unanswered since the last grant.
    pub(crate) fn cancel(&mut self, customer: &CustomerId, request: RequestId) -> bool {
        let Some(account) = self.accounts.get_mut(customer) else { return false };
        account.waiters.retain(|waiter| waiter.request != request);
        account.unanswered_draws == 0
    }

    /// Puts back the token of a request that was not forwarded.
    pub(crate) fn refund(&mut self, customer: &CustomerId, now: Duration) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.refund(now);
        }
    }

    pub(crate) fn on_grant(
        &mut self,
        context: &LimitContext<'_>,
        leases: &mut LeaseManager,
        grant: &Grant,
        timers: &mut Timers,
        out: &mut Outbox,
    ) -> ServedWaiters {
        let Some(account) = self.accounts.get_mut(&grant.customer) else {
            return ServedWaiters::default();
        };
        account.accept(grant, context.now);
        let mut served = account.serve_waiters(context.now);
        let more = if !account.waiters.is_empty() {
            self.draw_if_due(context, leases, &grant.customer, timers, out)
        } else if grant.confirm && account.draw_sent_at.is_none() {
            self.send_draw(context, leases, &grant.customer, false, timers, out)
        } else {
            ServedWaiters::default()
        };
        served.admitted.extend(more.admitted);
        served
    }

    /// Redirects draws of the shard's customers to `holder` after `from` replied that it does not
    /// hold the shard.
    pub(crate) fn on_not_holder(
        &mut self,
        now: Duration,
        from: HostId,
        shard: ShardId,
        holder: Option<HostId>,
        timers: &mut Timers,
    ) {
        let draws_from_sender = |(customer, account): &(&CustomerId, &mut Account)| {
            shard_of(customer) == shard && account.holder == Some(from)
        };
        for (customer, account) in self.accounts.iter_mut().filter(draws_from_sender) {
            account.holder = holder.filter(|host| *host != from);
            account.draw_sent_at = None;
            account.unanswered_draws += 1;
            account.retry_at = match account.holder {
                Some(_) => now,
                None => now + DRAW_TIMEOUT / 2,
            };
            timers.arm(account.retry_at, Timer::Draw(customer.clone()));
        }
    }

    /// Draws again when a retry is due.
    pub(crate) fn on_draw_timer(
        &mut self,
        context: &LimitContext<'_>,
        leases: &mut LeaseManager,
        customer: &CustomerId,
        timers: &mut Timers,
        out: &mut Outbox,
    ) -> ServedWaiters {
        let waiting = self.accounts.get(customer).is_some_and(|a| !a.waiters.is_empty());
        if !waiting {
            return ServedWaiters::default();
        }
        self.draw_if_due(context, leases, customer, timers, out)
    }

    /// Returns idle tokens to their holders and drops unused accounts.
    pub(crate) fn sweep(
        &mut self,
        context: &LimitContext<'_>,
        leases: &mut LeaseManager,
        timers: &mut Timers,
        out: &mut Outbox,
    ) {
        if context.now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = context.now;
        let now = context.now;
        self.accounts.values_mut().for_each(|account| account.expire(now));
        self.accounts.retain(|_, account| {
            !account.waiters.is_empty() || now < account.last_used_at + ACCOUNT_TTL
        });
        let idle = |account: &Account| {
            account.held() > 0
                && account.waiters.is_empty()
                && now >= account.last_used_at + IDLE_RETURN_AFTER
        };
        let idle: Vec<CustomerId> =
            self.accounts.iter().filter(|(_, a)| idle(a)).map(|(id, _)| id.clone()).collect();
        for customer in idle {
            self.send_draw(context, leases, &customer, true, timers, out);
        }
    }
}

/// Serving draws as holder.
impl RateLimiter {
    /// Drops the buckets of shards that this host no longer holds.
    pub(crate) fn drop_shards(&mut self, shards: &[ShardId]) {
        for shard in shards {
            self.buckets.remove(shard);
        }
    }

    /// Drops all buckets and returns all tokens at a planned stop.
    pub(crate) fn release_all(
        &mut self,
        context: &LimitContext<'_>,
        leases: &mut LeaseManager,
        timers: &mut Timers,
        out: &mut Outbox,
    ) {
        self.buckets.clear();
        let held: Vec<CustomerId> =
            self.accounts.iter().filter(|(_, a)| a.held() > 0).map(|(id, _)| id.clone()).collect();
        for customer in held {
            self.send_draw(context, leases, &customer, true, timers, out);
        }
    }

    pub(crate) fn on_draw(
        &mut self,
        context: &LimitContext<'_>,
        leases: &mut LeaseManager,
        from: (HostId, Incarnation),
        draw: &Draw,
        out: &mut Outbox,
    ) {
        let shard = shard_of(&draw.customer);
        let Some(held_since) = leases.held_since(shard, context.now) else {
            let holder = leases.voted_for(shard, context.now).filter(|host| *host != context.me);
            out.send(from.0, Message::NotHolder { shard, holder });
            return;
        };
        if let Some(grant) = self.serve_draw(context, held_since, from, draw) {
            out.send(from.0, Message::Grant(grant));
        }
    }

    fn serve_draw(
        &mut self,
        context: &LimitContext<'_>,
        held_since: Duration,
        from: (HostId, Incarnation),
        draw: &Draw,
    ) -> Option<Grant> {
        let customer = context.declaration.customer(&draw.customer)?;
        let usable_from = held_since + GRANT_DURATION + GRANT_MARGIN;
        let bucket = self
            .buckets
            .entry(shard_of(&draw.customer))
            .or_default()
            .entry(draw.customer.clone())
            .or_insert_with(|| Bucket::new(customer, usable_from));
        bucket.set_limits(customer, context.now);
        let allocation = bucket.draw(from.0, from.1, draw, context.now)?;
        Some(Grant {
            customer: draw.customer.clone(),
            sequence: draw.sequence,
            sent_at_us: draw.sent_at_us,
            tokens: allocation.tokens,
            retry_after_ms: ceil_millis(allocation.retry_after),
            confirm: allocation.confirm,
        })
    }
}

/// Sending draws.
impl RateLimiter {
    fn account(&mut self, customer: &CustomerId) -> &mut Account {
        if !self.accounts.contains_key(customer) {
            self.accounts.insert(customer.clone(), Account::default());
        }
        self.accounts.entry(customer.clone()).or_default()
    }

    fn draw_if_due(
        &mut self,
        context: &LimitContext<'_>,
        leases: &mut LeaseManager,
        customer: &CustomerId,
        timers: &mut Timers,
        out: &mut Outbox,
    ) -> ServedWaiters {
        let now = context.now;
        let Some(account) = self.accounts.get_mut(customer) else {
            return ServedWaiters::default();
        };
        if let Some(since) = account.draw_sent_at {
            if now < since + DRAW_TIMEOUT {
                timers.arm(since + DRAW_TIMEOUT, Timer::Draw(customer.clone()));
                return ServedWaiters::default();
            }
            account.unanswered_draws += 1;
            account.holder = None;
        } else if now < account.retry_at {
            timers.arm(account.retry_at, Timer::Draw(customer.clone()));
            return ServedWaiters::default();
        }
        self.send_draw(context, leases, customer, false, timers, out)
    }

    /// Sends a draw to the holder, or serves it locally when this host is the holder.
    fn send_draw(
        &mut self,
        context: &LimitContext<'_>,
        leases: &mut LeaseManager,
        customer: &CustomerId,
        return_tokens: bool,
        timers: &mut Timers,
        out: &mut Outbox,
    ) -> ServedWaiters {
        let now = context.now;
        let shard = shard_of(customer);
        let held_since = leases.held_since(shard, now);
        let voted_for_host = leases.voted_for(shard, now).filter(|host| *host != context.me);
        let voters = leases.voter_map.voters(context.declaration.hosts(), shard);
        let Some(account) = self.accounts.get_mut(customer) else {
            return ServedWaiters::default();
        };
        let draw = account.draw(customer, now, return_tokens);
        if let Some(held_since) = held_since {
            let me = (context.me, context.incarnation);
            let grant = self.serve_draw(context, held_since, me, &draw);
            let confirm = grant.as_ref().is_some_and(|grant| grant.confirm);
            let served = self.apply_own_grant(customer, grant, now, timers);
            if confirm {
                self.confirm_own_draw(context, held_since, customer);
            }
            return served;
        }
        let others: Vec<HostId> = voters.iter().filter(|v| **v != context.me).copied().collect();
        let index = account.unanswered_draws as usize % others.len().max(1);
        let target = account.holder.or(voted_for_host).or_else(|| others.get(index).copied());
        account.holder = target;
        if let Some(target) = target {
            out.send(target, Message::Draw(draw));
        }
        timers.arm(now + DRAW_TIMEOUT, Timer::Draw(customer.clone()));
        ServedWaiters::default()
    }

    /// Reports to a bucket on this host what this host has spent.
    fn confirm_own_draw(
        &mut self,
        context: &LimitContext<'_>,
        held_since: Duration,
        customer: &CustomerId,
    ) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let draw = Draw { needed: 0, ahead: 0, ..account.draw(customer, context.now, false) };
        account.draw_sent_at = None;
        self.serve_draw(context, held_since, (context.me, context.incarnation), &draw);
    }

    fn apply_own_grant(
        &mut self,
        customer: &CustomerId,
        grant: Option<Grant>,
        now: Duration,
        timers: &mut Timers,
    ) -> ServedWaiters {
        let Some(account) = self.accounts.get_mut(customer) else {
            return ServedWaiters::default();
        };
        if let Some(grant) = grant {
            account.accept(&grant, now);
        }
        account.draw_sent_at = None;
        let served = account.serve_waiters(now);
        if !account.waiters.is_empty() {
            timers.arm(account.retry_at, Timer::Draw(customer.clone()));
        }
        served
    }
}

/// Rounds up, so that a retry never comes too early.
fn ceil_millis(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

impl Account {
    /// Spends tokens on waiting requests in order of arrival and drops those that waited too long.
    fn serve_waiters(&mut self, now: Duration) -> ServedWaiters {
        let mut served = ServedWaiters::default();
        while let Some(waiter) = self.waiters.front().copied() {
            if waiter.until <= now {
                self.waiters.pop_front();
                continue;
            }
            if !self.spend(now) {
                break;
            }
            self.waiters.pop_front();
            served.admitted.push(waiter.request);
        }
        served
    }
}
