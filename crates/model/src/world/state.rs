//! State of a run, and the constants of the simulation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebonytack_core::Random;
use ebonytack_gateway::{AttemptResult, Gateway, Report};

use crate::baseline::BaselineHost;
use crate::event_queue::EventQueue;
use crate::instance::{AttemptId, SimulatedInstance};
use crate::pattern::Pattern;
use crate::usage::Usage;
use crate::{Outcome, Policy};

pub(super) const DATA_CENTRES: usize = 3;
pub(super) const CUSTOMERS: usize = 8;
/// Share of all requests that each customer sends; the first is the largest customer.
pub(super) const CUSTOMER_SHARES: [f64; CUSTOMERS] = [0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05];
/// One-way network delay between a host and an instance in the same data centre.
pub(super) const SAME_DATA_CENTRE_DELAY: Duration = Duration::from_micros(300);
/// One-way network delay between data centres, also used for all reports between hosts.
pub(super) const CROSS_DATA_CENTRE_DELAY: Duration = Duration::from_micros(800);
/// One-way network delay between a caller and a host.
pub(super) const CALLER_DELAY: Duration = Duration::from_millis(3);
/// Share of the reports between hosts that are lost.
pub(super) const REPORT_LOSS_RATE: f64 = 0.01;
/// Time between two samples of the instances' load.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the start of the disturbance to the first sample.
pub(super) const SAMPLE_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which the hosts run before callers start to send.
pub(super) const TRAFFIC_START: Duration = Duration::from_secs(2);
/// Time after which an instance responds with a fast error.
pub(super) const FAST_ERROR_DELAY: Duration = Duration::from_millis(3);
/// Time from the stop of a host until its next process runs.
pub(super) const RESTART_DURATION: Duration = Duration::from_millis(800);
pub(super) const CALLER_TRIES_MAX: u32 = 4;
// Limits in the hosts' settings, against which the outcome is checked; see `GatewaySettings`.
pub(super) const RETRY_BUDGET_RATIO: f64 = 0.2;
pub(super) const RETRY_BUDGET_EXTRA: f64 = 62.0;
pub(super) const RETRY_WINDOW: Duration = Duration::from_secs(10);
pub(super) const RATE_WINDOW: Duration = Duration::from_secs(5);
pub(super) const RATE_TOLERANCE: f64 = 0.1;
pub(super) const RATE_ALLOWANCE: f64 = 20.0;
pub(super) const SERVICE: &str = "catalogue";

/// What happens next in the simulation. Calls, hosts and instances are given by index.
pub(super) enum SimulationEvent {
    Arrival { customer: usize },
    Retry { call: usize },
    AttemptArrives { instance: usize, sent: SentAttempt },
    AttemptEnds { instance: usize, attempt_id: AttemptId },
    ResultArrives { host: usize, process: u64, attempt: u64, result: AttemptResult },
    ReportArrives { host: usize, report: Box<Report> },
    Wake { host: usize, process: u64 },
    Deadline { call: usize },
    DisturbanceStarts,
    DisturbanceEnds,
    HostRestarts { host: usize },
    RotateErrors,
    SampleLoad,
    BurstStarts { instance: usize },
    BurstEnds { instance: usize },
}

/// An attempt on its way to an instance.
#[derive(Clone, Copy)]
pub(super) struct SentAttempt {
    pub(super) attempt_id: AttemptId,
    pub(super) call: usize,
    /// The caller's try that the attempt belongs to, counted from 1.
    pub(super) try_number: u32,
    /// Whether this is the first attempt of the request at its host.
    pub(super) first: bool,
}

/// A caller's request, including all of its tries.
pub(super) struct Call {
    pub(super) customer: usize,
    pub(super) idempotent: bool,
    /// Index of its class in the pattern.
    pub(super) class: usize,
    /// Whether the caller ignores `Retry-After`.
    pub(super) impatient: bool,
    pub(super) first_sent_at: Duration,
    /// How often the caller has sent the request.
    pub(super) tries: u32,
    pub(super) finished: bool,
    pub(super) result: CallResult,
    /// How often the current try has run, on all instances together.
    pub(super) runs: u32,
    /// The last try that was refused as "not run".
    pub(super) refused_try: Option<u32>,
    pub(super) last_sent_at: Duration,
    /// Whether the outcome includes the call; it excludes calls of a hot customer.
    pub(super) counted: bool,
}

#[derive(Clone, Copy, Eq, PartialEq)]
pub(super) enum CallResult {
    Pending,
    InTarget,
    Late,
    Refused,
    Failed,
}

/// Decides where a host sends requests.
pub(super) enum HostLogic {
    Product(Box<Gateway>),
    Baseline(BaselineHost),
}

pub(super) struct SimulatedHost {
    pub(super) logic: HostLogic,
    /// Number of the current process, which increases with each restart.
    pub(super) process: u64,
    pub(super) up: bool,
    pub(super) next_request: u64,
    /// Call and number of the try, by the host's number for the request.
    pub(super) requests: BTreeMap<u64, (usize, u32)>,
    /// Instance and start time of each attempt in flight.
    pub(super) attempts: BTreeMap<u64, (usize, Duration)>,
    /// Number of attempts sent, by request.
    pub(super) attempts_sent: BTreeMap<u64, u32>,
}

pub(super) struct World {
    pub(super) pattern: Pattern,
    pub(super) policy: Policy,
    pub(super) random: Random,
    pub(super) events: EventQueue<SimulationEvent>,
    pub(super) now: Duration,
    pub(super) hosts: Vec<SimulatedHost>,
    pub(super) instances: Vec<SimulatedInstance>,
    pub(super) calls: Vec<Call>,
    /// Call and number of the try, by attempt.
    pub(super) attempt_calls: BTreeMap<(usize, u64, u64), (usize, u32)>,
    /// Attempts that end with a fast error.
    pub(super) failing_attempts: BTreeSet<(usize, u64, u64)>,
    /// Times at which retries, the attempts after a request's first one, arrive at instances.
    pub(super) retries: Vec<Duration>,
    /// Times at which first attempts of requests arrive at instances.
    pub(super) first_sends: Vec<Duration>,
    /// Start times of runs for the largest customer.
    pub(super) hot_runs: Vec<Duration>,
    /// Busy slots and requests at the instances per slot, sampled during the disturbance.
    pub(super) load_samples: Vec<(f64, f64)>,
    pub(super) usage: Usage,
    pub(super) outcome: Outcome,
}
