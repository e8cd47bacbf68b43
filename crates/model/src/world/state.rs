//! The state of a run, and the sizes and times of the model.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ebonytack_core::Random;
use ebonytack_gateway::{AttemptResult, Gateway, Report};

use crate::baseline::BaselineHost;
use crate::calendar::Calendar;
use crate::instance::{ModelInstance, Work};
use crate::pattern::Pattern;
use crate::{Outcome, Policy};

pub(super) const DATA_CENTRES: usize = 3;
pub(super) const CUSTOMERS: usize = 8;
/// The share of requests of each customer; the first is the large one.
pub(super) const CUSTOMER_SHARES: [f64; CUSTOMERS] = [0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05];
/// What a customer may send, relative to what it usually sends.
pub(super) const RATE_FACTOR: f64 = 1.6;
pub(super) const IDEMPOTENT_SHARE: f64 = 0.3;
pub(super) const TARGET: Duration = Duration::from_millis(1_000);
pub(super) const DEADLINE: Duration = Duration::from_millis(2_500);
pub(super) const WORK_MEAN_S: f64 = 0.28;
pub(super) const NEAR_DELAY: Duration = Duration::from_micros(300);
pub(super) const FAR_DELAY: Duration = Duration::from_micros(800);
pub(super) const CALLER_DELAY: Duration = Duration::from_millis(3);
pub(super) const REPORT_LOSS: f64 = 0.01;
/// How long the hosts have before traffic starts.
pub(super) const LEAD: Duration = Duration::from_secs(2);
/// How long an instance takes for an error at once.
pub(super) const ERROR_DELAY: Duration = Duration::from_millis(3);
pub(super) const DOWN_TIME: Duration = Duration::from_millis(800);
pub(super) const CALLER_TRIES_MAX: u32 = 4;
pub(super) const REPEAT_SHARE: f64 = 0.2;
pub(super) const REPEAT_ALLOWANCE: f64 = 62.0;
pub(super) const REPEAT_WINDOW: Duration = Duration::from_secs(10);
pub(super) const RATE_WINDOW: Duration = Duration::from_secs(5);
pub(super) const RATE_TOLERANCE: f64 = 0.1;
pub(super) const RATE_ALLOWANCE: f64 = 20.0;
pub(super) const SERVICE: &str = "catalogue";

/// Something that happens in the model.
pub(super) enum Happening {
    Arrival { customer: usize },
    Return { call: usize },
    AtInstance { instance: usize, sent: Sent },
    WorkEnds { instance: usize, work: Work },
    Result { host: usize, process: u64, attempt: u64, result: AttemptResult },
    Report { host: usize, report: Box<Report> },
    Wake { host: usize, process: u64 },
    Deadline { call: usize },
    TroubleBegins,
    TroubleEnds,
    Restarted { host: usize },
    NextSpell,
}

/// A request on its way to an instance.
#[derive(Clone, Copy)]
pub(super) struct Sent {
    pub(super) work: Work,
    pub(super) call: usize,
    /// Numbers the caller's attempts.
    pub(super) try_number: u32,
    pub(super) first: bool,
}

/// A caller's request, over all the times that it comes back.
pub(super) struct Call {
    pub(super) customer: usize,
    pub(super) idempotent: bool,
    pub(super) asked_at: Duration,
    pub(super) tries: u32,
    pub(super) ended: bool,
    pub(super) ended_as: End,
    /// Runs of the present try.
    pub(super) runs: u32,
    /// The try that was refused as "not run".
    pub(super) refused_try: Option<u32>,
    pub(super) arrived_at: Duration,
    pub(super) counted: bool,
}

#[derive(Clone, Copy, Eq, PartialEq)]
pub(super) enum End {
    Open,
    InTarget,
    Late,
    Refused,
    Failed,
}

pub(super) enum Decider {
    Product(Box<Gateway>),
    Baseline(BaselineHost),
}

pub(super) struct HostSlot {
    pub(super) decider: Decider,
    pub(super) process: u64,
    pub(super) up: bool,
    pub(super) next_request: u64,
    /// The call of each request under way, with the number of its try.
    pub(super) requests: HashMap<u64, (usize, u32)>,
    /// Where each attempt runs.
    pub(super) attempts: HashMap<u64, (usize, Duration)>,
    pub(super) sends: HashMap<u64, u32>,
}

pub(super) struct World {
    pub(super) pattern: Pattern,
    pub(super) policy: Policy,
    pub(super) random: Random,
    pub(super) calendar: Calendar<Happening>,
    pub(super) now: Duration,
    pub(super) hosts: Vec<HostSlot>,
    pub(super) instances: Vec<ModelInstance>,
    pub(super) calls: Vec<Call>,
    pub(super) work_calls: HashMap<(usize, u64, u64), (usize, u32)>,
    /// The work that ends with an error.
    pub(super) failing: HashSet<(usize, u64, u64)>,
    pub(super) repeats: Vec<Duration>,
    pub(super) first_sends: Vec<Duration>,
    pub(super) hot_runs: Vec<Duration>,
    pub(super) outcome: Outcome,
}
