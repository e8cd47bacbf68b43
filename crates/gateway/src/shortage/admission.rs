//! Which requests are refused while a service has too little capacity, and for how long.
//!
//! Load pattern: a service receives up to 2.3 times its requests, and all slots are busy. A refusal
//! then costs no throughput, but a longer queue makes the responses of urgent requests late. Each
//! class is refused with a probability that rises with the load per slot. Hosts see loads that are 0.1
//! to 0.3 s old: a threshold would make all of them refuse and admit at the same time.

use std::time::Duration;

use ebonytack_core::Random;

use super::RequestClasses;

/// Load per slot from which the least urgent requests are refused. Loads differ between instances, so
/// that a lower one leaves slots free: with 1.3 the model has 10 % of them free, with 2.0 3 %.
pub const REFUSAL_LOAD: f64 = 1.6;
/// Load per slot from which classes are refused whose targets are no longer than those of more urgent
/// ones. Their requests wait as long as the queues, of four requests per slot, have room: in the
/// model refusing them earlier lost up to 4 % of all responses.
const FULL_LOAD: f64 = 4.2;
/// Load per slot over which the share of refused requests rises, at least and at most.
const RAMP_LOAD_MIN: f64 = 1.7;
const RAMP_LOAD_MAX: f64 = 3.5;
/// Time for which the queue on the ramp lasts, in seconds: twice the age of the counts, below which
/// the load would oscillate.
const RAMP_TIME_S: f64 = 0.4;
/// Load by which the ramp of a more urgent class starts later.
const RANK_LOAD: f64 = 0.7;
/// Share of its target that the response of a more urgent request may take up when the ramp of a less
/// urgent one ends.
const URGENT_TARGET_SHARE: f64 = 0.8;
/// Load by which the ramp starts later for a caller that has come back after the target latency. A
/// caller that does not wait before it comes back has no advantage of it.
const RETURNED_LOAD: f64 = 0.5;
/// Share of the requests that are not refused by their class, relative to more urgent ones: at least a
/// quarter of the mean share.
const LEAST_SHARE: f64 = 0.3;
/// Bounds of the retry delay, before it is spread out.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(700);

/// The properties of a request that its admission depends on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Target latency of its route, in seconds.
    pub target_s: f64,
    /// Time since its caller first sent it, in seconds, as far as its deadline shows.
    pub elapsed_s: f64,
    /// Time until its deadline, in seconds.
    pub time_left_s: f64,
    /// Expected time until the response of the chosen instance, in seconds.
    pub estimate_s: f64,
    /// Expected duration on an idle instance, in seconds.
    pub work_s: f64,
}

/// The state of a service that admission depends on.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad {
    /// Requests in flight from all hosts per slot of the usable instances.
    pub load: f64,
    /// Average duration of a request on an idle instance, in seconds.
    pub mean_work_s: f64,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Send it to the chosen instance.
    Go,
    /// Refuse it; there is probably room after this time.
    Refuse {
        /// Time after which the caller may come back, spread out over callers.
        retry_after: Duration,
    },
}

impl Verdict {
    /// Decides on a request. Draws a random number only if the request may be refused by its class.
    pub fn decide(
        classes: &RequestClasses,
        request: &AdmissionRequest,
        service: &ServiceLoad,
        random: &mut Random,
    ) -> Self {
        // With free slots a request takes none from another one, however late it ends.
        let in_time = service.load < 1.0 || request.estimate_s < request.time_left_s;
        let share = admitted_share(classes, request, service);
        if in_time && (share >= 1.0 || random.next_f64() < share) {
            return Self::Go;
        }
        let excess_s = (service.load - REFUSAL_LOAD).max(0.0) * service.mean_work_s;
        let delay = Duration::from_secs_f64(excess_s.min(RETRY_AFTER_MAX.as_secs_f64()));
        let spread = 1.0 + random.next_f64();
        Self::Refuse { retry_after: delay.max(RETRY_AFTER_MIN).mul_f64(spread) }
    }
}

/// Returns the share of such requests that are admitted, from 0 to 1.
///
/// A more urgent request is never admitted with a lower share than a less urgent one that is otherwise
/// the same. Requests whose responses will be late are not refused for that: in the model this lost
/// more responses than it made others earlier.
pub fn admitted_share(
    classes: &RequestClasses,
    request: &AdmissionRequest,
    service: &ServiceLoad,
) -> f64 {
    let rank = classes.rank(request.priority);
    let less_urgent = classes.count().saturating_sub(rank + 1) as f64;
    let Some(urgent_target_s) = classes.target_before_s(rank) else { return 1.0 };
    let mean_work_s = service.mean_work_s.max(f64::EPSILON);
    let returned = (request.elapsed_s / request.target_s.max(f64::EPSILON)).clamp(0.0, 1.0);
    let earliest = if classes.has_slack(rank) { REFUSAL_LOAD } else { FULL_LOAD };
    let start = earliest + RANK_LOAD * less_urgent + RETURNED_LOAD * returned;
    let width = ramp_load(mean_work_s);
    let urgent_in_time = URGENT_TARGET_SHARE * urgent_target_s / mean_work_s;
    let end = (start + width).min(urgent_in_time).max(start + RAMP_LOAD_MIN / 2.0);
    falling(service.load, start, end).max(LEAST_SHARE)
}

/// Returns the load over which the share of refused requests rises.
fn ramp_load(mean_work_s: f64) -> f64 {
    (RAMP_TIME_S / mean_work_s.max(f64::EPSILON)).clamp(RAMP_LOAD_MIN, RAMP_LOAD_MAX)
}

/// Returns 1 up to `start`, 0 from `end` on, and what lies between on the line between them.
fn falling(value: f64, start: f64, end: f64) -> f64 {
    ((end - value) / (end - start)).clamp(0.0, 1.0)
}
