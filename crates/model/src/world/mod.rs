//! Simulation of one experiment.

mod callers;
mod hosts;
mod instances;
mod names;
mod state;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebonytack_core::Random;
use ebonytack_gateway::Event;

use crate::event_queue::EventQueue;
use crate::instance::{InstanceFaults, SimulatedInstance};
use crate::outcome::max_in_window;
use crate::pattern::{Details, Pattern};
use crate::usage::Usage;
use crate::{ClassOutcome, Outcome, Policy};
use state::{
    CUSTOMER_SHARES, CUSTOMERS, CallResult, DATA_CENTRES, RATE_ALLOWANCE, RATE_TOLERANCE,
    RATE_WINDOW, RETRY_BUDGET_EXTRA, RETRY_BUDGET_RATIO, RETRY_WINDOW, SAMPLE_DELAY,
    SAMPLE_INTERVAL, SimulationEvent, TRAFFIC_START, World,
};

/// Simulates a pattern under a policy and returns the measurements.
///
/// The result depends only on the arguments.
pub fn run(pattern: &Pattern, policy: Policy, seed: u64) -> Outcome {
    let mut world = World::new(*pattern, policy, seed);
    world.run_events();
    world.outcome()
}

/// Setup, event loop and evaluation.
impl World {
    pub(super) fn new(pattern: Pattern, policy: Policy, seed: u64) -> Self {
        let hosts = pattern.hosts_per_data_centre * DATA_CENTRES;
        let instances = pattern.instances_per_data_centre * DATA_CENTRES;
        let mut world = Self {
            pattern,
            policy,
            random: Random::new(seed),
            events: EventQueue::new(),
            now: Duration::ZERO,
            hosts: Vec::new(),
            instances: (0..instances)
                .map(|index| new_instance(&pattern, index, instances))
                .collect(),
            calls: Vec::new(),
            attempt_calls: BTreeMap::new(),
            failing_attempts: BTreeSet::new(),
            retries: Vec::new(),
            first_sends: Vec::new(),
            hot_runs: Vec::new(),
            load_samples: Vec::new(),
            usage: Usage::new(instances),
            outcome: Outcome::default(),
        };
        for host in 0..hosts {
            let host_state = world.new_host(host, 1);
            world.hosts.push(host_state);
        }
        for host in 0..hosts {
            world.configure_host(host);
        }
        for customer in 0..CUSTOMERS {
            world.events.schedule(TRAFFIC_START, SimulationEvent::Arrival { customer });
        }
        world.events.schedule(
            TRAFFIC_START + pattern.disturbance_start,
            SimulationEvent::DisturbanceStarts,
        );
        let end = TRAFFIC_START + pattern.disturbance_start + pattern.disturbance_duration;
        world.events.schedule(end, SimulationEvent::DisturbanceEnds);
        if pattern.details == Details::Classes {
            let at = TRAFFIC_START + pattern.disturbance_start + SAMPLE_DELAY;
            world.events.schedule(at, SimulationEvent::SampleLoad);
        }
        world
    }

    pub(super) fn run_events(&mut self) {
        let deadlines = self.pattern.classes.iter().map(|class| class.deadline);
        let longest = deadlines.max().unwrap_or_default();
        let end = TRAFFIC_START + self.pattern.duration + longest * 2;
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    pub(super) fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival { customer } => self.on_arrival(customer),
            SimulationEvent::Retry { call } => self.send_call(call),
            SimulationEvent::AttemptArrives { instance, sent } => {
                self.on_attempt_arrival(instance, sent)
            }
            SimulationEvent::AttemptEnds { instance, attempt_id } => {
                self.on_attempt_end(instance, attempt_id)
            }
            SimulationEvent::ResultArrives { host, process, attempt, result } => {
                self.on_result(host, process, attempt, result);
            }
            SimulationEvent::ReportArrives { host, report } => {
                self.step_host(host, Event::Report(*report))
            }
            SimulationEvent::Wake { host, process } => {
                if self.hosts[host].process == process {
                    self.step_host(host, Event::Tick);
                }
            }
            SimulationEvent::Deadline { call } => self.finish_call(call, CallResult::Failed),
            SimulationEvent::DisturbanceStarts => self.start_disturbance(),
            SimulationEvent::DisturbanceEnds => {
                let all = 0..self.instances.len();
                all.for_each(|index| self.set_faults(index, InstanceFaults::default()));
            }
            SimulationEvent::RotateErrors => self.rotate_errors(),
            SimulationEvent::SampleLoad => self.sample_load(),
            SimulationEvent::BurstStarts { instance } => self.start_burst(instance),
            SimulationEvent::BurstEnds { instance } => {
                self.set_faults(instance, InstanceFaults::default())
            }
            SimulationEvent::HostRestarts { host } => {
                self.hosts[host] = self.new_host(host, self.hosts[host].process + 1);
                self.configure_host(host);
            }
        }
    }

    fn sample_load(&mut self) {
        if !self.disturbance_active() {
            return;
        }
        let slots = (self.instances.len() * self.pattern.slots_per_instance) as f64;
        let busy: usize = self.instances.iter().map(|instance| instance.running.len()).sum();
        let load: u32 = self.instances.iter().map(SimulatedInstance::load).sum();
        self.load_samples.push((busy as f64 / slots, f64::from(load) / slots));
        self.events.schedule(self.now + SAMPLE_INTERVAL, SimulationEvent::SampleLoad);
    }

    fn class_outcomes(&self) -> Vec<ClassOutcome> {
        let mut outcomes = vec![ClassOutcome::default(); self.pattern.classes.len()];
        let begin = TRAFFIC_START + self.pattern.disturbance_start;
        let end = begin + self.pattern.disturbance_duration;
        for call in self.calls.iter().filter(|call| (begin..end).contains(&call.first_sent_at)) {
            let outcome = &mut outcomes[call.class];
            outcome.asked += 1;
            outcome.impatient += u32::from(call.impatient);
            let served = match call.result {
                CallResult::InTarget => &mut outcome.in_target,
                CallResult::Late => &mut outcome.late,
                CallResult::Refused | CallResult::Failed | CallResult::Pending => continue,
            };
            *served += 1;
            outcome.impatient_served += u32::from(call.impatient);
        }
        outcomes
    }

    pub(super) fn outcome(mut self) -> Outcome {
        let mut outcome = std::mem::take(&mut self.outcome);
        for call in self.calls.iter().filter(|call| call.counted) {
            outcome.asked += 1;
            match call.result {
                CallResult::InTarget => outcome.in_target += 1,
                CallResult::Late => outcome.late += 1,
                CallResult::Refused => outcome.refused += 1,
                CallResult::Failed | CallResult::Pending => outcome.failed += 1,
            }
        }
        outcome.classes = self.class_outcomes();
        let samples = self.load_samples.len().max(1) as f64;
        outcome.busy_share = self.load_samples.iter().map(|(busy, _)| busy).sum::<f64>() / samples;
        let load_mean = self.load_samples.iter().map(|(_, load)| load).sum::<f64>() / samples;
        let squares = self.load_samples.iter().map(|(_, load)| (load - load_mean).powi(2));
        outcome.load_mean = load_mean;
        outcome.load_deviation = (squares.sum::<f64>() / samples).sqrt();
        outcome.repeats = u32::try_from(self.retries.len()).unwrap_or(u32::MAX);
        let max_retries = max_in_window(&mut self.retries, RETRY_WINDOW) as f64;
        let first_sends_per_second =
            self.first_sends.len() as f64 / self.pattern.duration.as_secs_f64();
        let allowed = first_sends_per_second * RETRY_WINDOW.as_secs_f64() * RETRY_BUDGET_RATIO
            + RETRY_BUDGET_EXTRA;
        outcome.repeats_of_allowed = max_retries / allowed;
        let rate =
            self.pattern.rate_per_second * CUSTOMER_SHARES[0] * self.pattern.rate_limit_factor;
        // The burst allows as many requests as one second at the rate; see `configuration`.
        let allowed = rate * RATE_WINDOW.as_secs_f64() + rate;
        let allowed = allowed * (1.0 + RATE_TOLERANCE) + RATE_ALLOWANCE;
        let begin = TRAFFIC_START + self.pattern.disturbance_start;
        let end = begin + self.pattern.disturbance_duration;
        let hot = self.hot_runs.iter().filter(|at| (begin..end).contains(*at)).count();
        outcome.hot_of_rate = hot as f64 / (rate * self.pattern.disturbance_duration.as_secs_f64());
        outcome.hot_of_allowed = max_in_window(&mut self.hot_runs, RATE_WINDOW) as f64 / allowed;
        // Averages settle within three seconds.
        let measured_from = TRAFFIC_START + Duration::from_secs(3);
        let end = TRAFFIC_START + self.pattern.duration;
        outcome.busiest_of_mean = self.usage.busiest_of_mean(measured_from, end);
        outcome.used_share_min = self.usage.used_share_min(measured_from, end);
        outcome.unused_max_s = self.usage.unused_max_s(measured_from, end);
        outcome
    }
}

/// Returns an instance; the speeds of all instances are spread evenly over the profile's range.
fn new_instance(pattern: &Pattern, index: usize, count: usize) -> SimulatedInstance {
    // A step without a common divisor with the number of instances mixes speeds over data centres.
    let place = (index * 7 % count) as f64 / (count - 1).max(1) as f64;
    let time_factor = 1.0 + pattern.instance_profile.speed_spread * (2.0 * place - 1.0);
    SimulatedInstance::new(pattern.slots_per_instance, time_factor)
}
