//! Decides which requests are delayed or refused when a service has too little capacity.
//!
//! Load pattern: one service receives requests of different priorities, or orders only, and cannot
//! run all of them in time. What is refused is what costs callers least, by its priority, its deadline
//! and its expected duration. The functions are pure: hosts that know the same decide the same.

mod admission;
mod classes;
mod level;
mod retries;
mod work;

pub use admission::{AdmissionRequest, ServiceLoad, Verdict, admitted_share};
pub use classes::RequestClasses;
pub use level::{LevelState, ShortageLevel};
pub use retries::{RetryCause, RetryRequest, required_tokens};
pub use work::RouteWork;
