//! Customers' rates and services' repeats, both shared over all hosts.

use std::time::Duration;

use ebonytack_core::{CustomerId, Refusal, RefusalReason};

use super::Gateway;
use super::requests::millis;
use super::state::ServiceView;
use crate::limits::{SharedBucket, SharedRate};
use crate::report::short_id;

/// What callers are told to wait when their customer is above its rate: as long as the debt and
/// one more request need, between these bounds.
const RATE_RETRY_MIN: Duration = Duration::from_millis(200);
const RATE_RETRY_MAX: Duration = Duration::from_secs(2);
/// The share of the allowed repeats that is spent; the rest covers delays between hosts.
const REPEATS_SPENT_SHARE: f64 = 0.7;
/// The time within which hosts hear of one another's admissions.
const REPORT_DELAY_S: f64 = 0.3;
/// How far above its rate a customer is expected to go at once.
const SURGE: f64 = 6.0;
/// The service time that is assumed before any answer, in seconds.
const SERVICE_TIME_START_S: f64 = 0.25;

/// Customers.
impl Gateway {
    /// Takes one request from a customer's share, or says why not.
    pub(super) fn admit_customer(&mut self, id: &CustomerId) -> Result<(), (Refusal, String)> {
        let Some(rate) = self.customer_rate(id) else { return Ok(()) };
        let now = self.now;
        let short = short_id(id);
        let heard_share = self.fleet.heard_share(now);
        let others = self.fleet.demand(short, now);
        let chance = self.random.unit();
        let bucket = self.customers.entry(id.clone());
        let bucket = bucket.or_insert_with(|| SharedBucket::new(&rate, heard_share, now));
        bucket.count_demand(now);
        let demand = others + bucket.demand(now);
        self.report_due = true;
        if bucket.admit(&rate, heard_share, demand, chance, now) {
            self.fleet.note_admission(short);
            return Ok(());
        }
        let level = bucket.level();
        let wait_s = (1.0 - level).max(0.0) / (rate.per_second * heard_share).max(f64::EPSILON);
        let wait = Duration::from_secs_f64(wait_s.min(RATE_RETRY_MAX.as_secs_f64()));
        let wait = wait.max(RATE_RETRY_MIN).mul_f64(1.0 + self.random.unit());
        let input = format!(
            "level {level:.1}, rate {:.1}/s, demand {demand:.1}/s, heard {heard_share:.2}, oldest report {} ms",
            rate.per_second,
            millis(self.fleet.oldest_report_age(now)),
        );
        Err((Refusal::not_run(RefusalReason::RateExceeded).retry_after(wait), input))
    }

    /// Gives back a request that did not run.
    pub(super) fn refund_customer(&mut self, id: &CustomerId) {
        if let Some(bucket) = self.customers.get_mut(id) {
            bucket.refund();
        }
    }

    /// Returns the rate of a customer and the burst that can be allowed: its own and the
    /// tolerance, less what may be admitted before hosts hear of one another.
    fn customer_rate(&self, id: &CustomerId) -> Option<SharedRate> {
        let customer = self.configuration.as_ref()?.customers.get(id)?;
        let per_second = customer.rate_per_second?;
        let allowed = per_second * self.settings.rate_window.as_secs_f64() + customer.burst;
        let tolerance = allowed * self.settings.rate_tolerance + self.settings.rate_allowance;
        let unheard = per_second * SURGE * REPORT_DELAY_S;
        let burst = (customer.burst + tolerance - unheard).max(customer.burst / 4.0);
        Some(SharedRate { per_second, burst: burst.min(customer.burst + tolerance / 2.0) })
    }
}

/// Repeats.
impl Gateway {
    pub(super) fn service(&mut self, id: &str) -> &mut ServiceView {
        self.services.entry(id.to_owned()).or_insert_with(|| ServiceView {
            service_time_s: SERVICE_TIME_START_S,
            repeats: SharedBucket::default(),
            instances: Vec::new(),
        })
    }

    /// Counts a request of a service, from which repeats are earned.
    pub(super) fn note_request(&mut self, service: &str) {
        let now = self.now;
        let heard_share = self.fleet.heard_share(now);
        self.service(service).repeats.count_demand(now);
        let rate = self.repeats_rate(service, heard_share);
        self.service(service).repeats.refill(&rate, heard_share, now);
    }

    /// Takes one repeat from the service's allowance.
    pub(super) fn spend_repeat(&mut self, service: &str) -> bool {
        let now = self.now;
        let heard_share = self.fleet.heard_share(now);
        let rate = self.repeats_rate(service, heard_share);
        let spent = self.service(service).repeats.try_take(&rate, heard_share, now);
        if spent {
            self.fleet.note_admission(repeats_id(service));
            self.report_due = true;
        }
        spent
    }

    /// Returns the requests for a service that the heard hosts get, a second.
    pub(super) fn service_demand(&mut self, service: &str) -> f64 {
        let now = self.now;
        let others = self.fleet.demand(repeats_id(service), now);
        others + self.service(service).repeats.demand(now)
    }

    /// Returns how many repeats a service may get: a share of the requests of the heard hosts.
    /// That is the heard part already, which the bucket would take a second time.
    fn repeats_rate(&mut self, service: &str, heard_share: f64) -> SharedRate {
        let demand = self.service_demand(service);
        let share = REPEATS_SPENT_SHARE * self.settings.retry_budget_ratio;
        SharedRate {
            per_second: demand * share / heard_share,
            burst: self.settings.retry_budget_extra * REPEATS_SPENT_SHARE,
        }
    }
}

/// Names the repeats of a service in reports.
pub(super) fn repeats_id(service: &str) -> u32 {
    short_id(&format!("repeats/{service}"))
}
