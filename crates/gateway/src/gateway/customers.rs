//! Customers' rate limits and services' retry budgets, both shared over all hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonytack_core::{CustomerId, Refusal, RefusalReason, RequestId};

use super::Gateway;
use super::requests::millis;
use super::state::ServiceView;
use crate::limits::{SharedBucket, SharedRate};
use crate::report::short_id;
use crate::service_time::ServiceTime;
use crate::shortage::{LevelState, RetryCause};
use crate::trial::Trials;

/// Bounds of the retry delay for callers whose customer is above its rate, before jitter. Between
/// them the delay is the time until the bucket holds one token.
const RATE_RETRY_MIN: Duration = Duration::from_millis(200);
const RATE_RETRY_MAX: Duration = Duration::from_secs(2);
/// Share of the retry budget that is used; the rest covers reporting delays between hosts.
const RETRY_BUDGET_USED_SHARE: f64 = 0.7;
/// Time within which admissions are known to all hosts, in seconds.
const REPORT_DELAY_S: f64 = 0.3;
/// Expected surge of a customer's demand, as a multiple of its rate.
const SURGE_FACTOR: f64 = 6.0;

/// Share of idempotent requests that is assumed until a host has received some.
const IDEMPOTENT_SHARE_INITIAL: f64 = 0.25;
/// Weight of a request in the share of idempotent ones: that of about the last 20.
const IDEMPOTENT_SAMPLE_WEIGHT: f64 = 0.05;
/// Share of idempotent requests below which orders try instances: the others are too few. A
/// configuration may have idempotent routes to a service that hardly any request uses.
const IDEMPOTENT_SHARE_MIN: f64 = 0.05;

/// Rate limits of customers.
impl Gateway {
    /// Consumes a token of the customer's bucket, or returns the refusal and the values behind it
    /// for the log. Customers without a rate limit are always admitted.
    pub(super) fn admit_customer(&mut self, id: &CustomerId) -> Result<(), (Refusal, String)> {
        let Some(rate) = self.customer_rate(id) else { return Ok(()) };
        let now = self.now;
        let short = short_id(id);
        let live_share = self.fleet.live_share(now);
        let others = self.fleet.demand(short, now);
        let sample = self.random.next_f64();
        self.report_due = true;
        let bucket = self.bucket(id, &rate);
        bucket.count_demand(now);
        let demand = others + bucket.demand(now);
        if bucket.admit(&rate, live_share, demand, sample, now) {
            self.fleet.count_admission(short);
            return Ok(());
        }
        let level = bucket.level();
        let delay_s = (1.0 - level).max(0.0) / (rate.per_second * live_share).max(f64::EPSILON);
        let delay = Duration::from_secs_f64(delay_s.min(RATE_RETRY_MAX.as_secs_f64()));
        let delay = delay.max(RATE_RETRY_MIN).mul_f64(1.0 + self.random.next_f64());
        let input = format!(
            "level {level:.1}, rate {:.1}/s, demand {demand:.1}/s, heard {live_share:.2}, oldest report {} ms",
            rate.per_second,
            millis(self.fleet.oldest_report_age(now)),
        );
        Err((Refusal::not_run(RefusalReason::RateExceeded).retry_after(delay), input))
    }

    /// Returns the bucket of a customer. It is created when the customer is first heard of, by a
    /// request or in a report.
    pub(super) fn bucket(&mut self, id: &CustomerId, rate: &SharedRate) -> &mut SharedBucket {
        let (now, live_share) = (self.now, self.fleet.live_share(self.now));
        let running_for = now.saturating_sub(self.started_at.unwrap_or(now));
        let bucket = self.customers.entry(id.clone());
        bucket.or_insert_with(|| SharedBucket::new(rate, live_share, running_for, now))
    }

    /// Adds back the customer's token for a request that did not run.
    pub(super) fn refund_customer(&mut self, id: &CustomerId) {
        if let Some(bucket) = self.customers.get_mut(id) {
            bucket.refund();
        }
    }

    /// Returns the customer's rate with the bucket size: its burst and the tolerated excess, less
    /// the requests of a surge that are admitted before the hosts know of each other's admissions.
    pub(super) fn customer_rate(&self, id: &CustomerId) -> Option<SharedRate> {
        let customer = self.configuration.as_ref()?.customers.get(id)?;
        let per_second = customer.rate_per_second?;
        let allowed = per_second * self.settings.rate_window.as_secs_f64() + customer.burst;
        let tolerance = allowed * self.settings.rate_tolerance + self.settings.rate_allowance;
        let unreported = per_second * SURGE_FACTOR * REPORT_DELAY_S;
        let burst = (customer.burst + tolerance - unreported).max(customer.burst / 4.0);
        Some(SharedRate { per_second, burst: burst.min(customer.burst + tolerance / 2.0) })
    }
}

/// Retry budgets of services.
impl Gateway {
    pub(super) fn service(&mut self, id: &str) -> &mut ServiceView {
        let configuration = self.configuration.as_ref();
        self.services.entry(id.to_owned()).or_insert_with(|| ServiceView {
            service_time: ServiceTime::default(),
            route_work: BTreeMap::new(),
            shortage: LevelState::default(),
            admitted_share: 1.0,
            retry_budget: SharedBucket::default(),
            instances: Vec::new(),
            takes_orders_only: configuration.is_some_and(|c| c.takes_orders_only(id)),
            idempotent_share: IDEMPOTENT_SHARE_INITIAL,
            trials: Trials::default(),
        })
    }

    /// Counts a request to a service, which increases its retry budget.
    pub(super) fn count_request(&mut self, service: &str, idempotent: bool) {
        let now = self.now;
        let live_share = self.fleet.live_share(now);
        let view = self.service(service);
        view.retry_budget.count_demand(now);
        let sample = if idempotent { 1.0 } else { 0.0 };
        view.idempotent_share += (sample - view.idempotent_share) * IDEMPOTENT_SAMPLE_WEIGHT;
        let rate = self.retry_rate(service, live_share);
        self.service(service).retry_budget.refill(&rate, live_share, now);
    }

    /// Consumes one retry of the service's budget for a request; returns false if the budget is
    /// exhausted, or what is left of it is kept for other requests.
    pub(super) fn spend_retry(&mut self, request: RequestId, cause: RetryCause) -> bool {
        let now = self.now;
        let Some(service) = self.requests.get(&request).map(|active| active.service.clone()) else {
            return false;
        };
        let live_share = self.fleet.live_share(now);
        let rate = self.retry_rate(&service, live_share);
        let required = self.required_retry_tokens(request, cause, rate.burst * live_share);
        let budget = &mut self.service(&service).retry_budget;
        let spent = budget.try_take(&rate, live_share, required, now);
        if spent {
            self.fleet.count_admission(retry_budget_id(&service));
            self.report_due = true;
        }
        spent
    }

    /// Returns the requests per second to a service over all live hosts.
    pub(super) fn service_demand(&mut self, service: &str) -> f64 {
        let now = self.now;
        let others = self.fleet.demand(retry_budget_id(service), now);
        others + self.service(service).retry_budget.demand(now)
    }

    /// Returns the rate of the retry budget: a share of the live hosts' requests. The demand covers
    /// live hosts only, and the bucket multiplies by `live_share` again, hence the division.
    fn retry_rate(&mut self, service: &str, live_share: f64) -> SharedRate {
        let demand = self.service_demand(service);
        let admitted_share = self.service(service).admitted_share;
        let share = RETRY_BUDGET_USED_SHARE * self.settings.retry_budget_ratio * admitted_share;
        SharedRate {
            per_second: demand * share / live_share,
            burst: self.settings.retry_budget_extra * RETRY_BUDGET_USED_SHARE,
        }
    }
}

/// Returns the short id under which the retries of a service are reported.
pub(super) fn retry_budget_id(service: &str) -> u32 {
    short_id(&format!("repeats/{service}"))
}

impl ServiceView {
    /// Returns whether the service receives orders only, or nearly so.
    pub(super) fn receives_orders_only(&self) -> bool {
        self.takes_orders_only || self.idempotent_share < IDEMPOTENT_SHARE_MIN
    }
}
