//! Who may spend what is left of a service's retry budget.
//!
//! Load pattern: instances reject half of all requests although slots are free. The budget covers a
//! fraction of the rejections. First come, first served, it goes to requests whose callers could
//! have come back, and the others run out of time or tries.

use super::RequestClasses;

/// Share of a full budget that is kept for each more urgent priority.
const PRIORITY_RESERVE_SHARE: f64 = 0.1;
/// Upper limit of the share that is kept for all more urgent priorities.
const PRIORITY_RESERVE_SHARE_MAX: f64 = 0.3;
/// Share of a full budget that a rejected request leaves to those whose callers have come back
/// before, if its own caller has not and could. With 0 it is spent first come, first served.
const TIME_RESERVE_SHARE: f64 = 0.5;

/// Why a request needs another attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryCause {
    /// An instance rejected it without running it: its caller may come back.
    Rejected,
    /// An attempt failed, or takes much longer than expected.
    Failed,
}

/// The properties of a request that its use of the retry budget depends on.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Why it needs another attempt.
    pub cause: RetryCause,
    /// Time until its deadline, in seconds.
    pub time_left_s: f64,
    /// Time that its route allows from arrival to response, in seconds. A caller that came back has
    /// less than that left.
    pub route_timeout_s: f64,
    /// Target latency of its route, in seconds.
    pub target_s: f64,
}

/// Returns the tokens that the budget must hold for the request to spend one of them. `full` is the
/// number of tokens in a full budget, which suffice for every request.
pub fn required_tokens(classes: &RequestClasses, request: &RetryRequest, full: f64) -> f64 {
    let rank = classes.rank(request.priority) as f64;
    let for_urgent = (rank * PRIORITY_RESERVE_SHARE).min(PRIORITY_RESERVE_SHARE_MAX);
    let for_short = match request.cause {
        RetryCause::Rejected if request.target_s > 0.0 => {
            let elapsed_s = (request.route_timeout_s - request.time_left_s).max(0.0);
            TIME_RESERVE_SHARE * (1.0 - elapsed_s / request.target_s).max(0.0)
        }
        RetryCause::Rejected | RetryCause::Failed => 0.0,
    };
    (1.0 + (for_urgent + for_short) * full).min(full.max(1.0))
}
