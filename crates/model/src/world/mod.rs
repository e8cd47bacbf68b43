//! The run of one experiment.

mod callers;
mod hosts;
mod instances;
mod names;
mod state;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ebonytack_core::Random;
use ebonytack_gateway::Event;

use crate::calendar::Calendar;
use crate::instance::{Ills, ModelInstance};
use crate::outcome::most_in_window;
use crate::pattern::Pattern;
use crate::{Outcome, Policy};
use state::{
    CUSTOMER_SHARES, CUSTOMERS, DATA_CENTRES, DEADLINE, End, Happening, LEAD, RATE_ALLOWANCE,
    RATE_FACTOR, RATE_TOLERANCE, RATE_WINDOW, REPEAT_ALLOWANCE, REPEAT_SHARE, REPEAT_WINDOW, World,
};

/// Runs an experiment and returns what callers and instances saw.
pub fn run(pattern: &Pattern, policy: Policy, seed: u64) -> Outcome {
    let mut world = World::new(*pattern, policy, seed);
    world.play();
    world.outcome()
}

/// Building, playing and summing up.
impl World {
    pub(super) fn new(pattern: Pattern, policy: Policy, seed: u64) -> Self {
        let hosts = pattern.hosts * DATA_CENTRES;
        let instances = pattern.instances * DATA_CENTRES;
        let mut world = Self {
            pattern,
            policy,
            random: Random::new(seed),
            calendar: Calendar::new(),
            now: Duration::ZERO,
            hosts: Vec::new(),
            instances: (0..instances).map(|_| ModelInstance::default()).collect(),
            calls: Vec::new(),
            work_calls: HashMap::new(),
            failing: HashSet::new(),
            repeats: Vec::new(),
            first_sends: Vec::new(),
            hot_runs: Vec::new(),
            outcome: Outcome::default(),
        };
        for host in 0..hosts {
            let slot = world.host(host, 1);
            world.hosts.push(slot);
        }
        for host in 0..hosts {
            world.introduce(host);
        }
        for customer in 0..CUSTOMERS {
            world.calendar.add(LEAD, Happening::Arrival { customer });
        }
        world.calendar.add(LEAD + pattern.disturbance_start, Happening::TroubleBegins);
        let end = LEAD + pattern.disturbance_start + pattern.disturbance_duration;
        world.calendar.add(end, Happening::TroubleEnds);
        world
    }

    pub(super) fn play(&mut self) {
        let end = LEAD + self.pattern.duration + DEADLINE * 2;
        while let Some((at, happening)) = self.calendar.next() {
            if at > end {
                break;
            }
            self.now = at;
            self.happen(happening);
        }
    }

    pub(super) fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival { customer } => self.on_arrival(customer),
            Happening::Return { call } => self.ask(call),
            Happening::AtInstance { instance, sent } => self.on_arrival_at(instance, sent),
            Happening::WorkEnds { instance, work } => self.on_work_ends(instance, work),
            Happening::Result { host, process, attempt, result } => {
                self.on_result(host, process, attempt, result);
            }
            Happening::Report { host, report } => self.feed(host, Event::Report(*report)),
            Happening::Wake { host, process } => {
                if self.hosts[host].process == process {
                    self.feed(host, Event::Tick);
                }
            }
            Happening::Deadline { call } => self.end(call, End::Failed),
            Happening::TroubleBegins => self.begin_trouble(),
            Happening::TroubleEnds => {
                self.instances.iter_mut().for_each(|i| i.ills = Ills::default());
            }
            Happening::NextSpell => self.begin_spell(),
            Happening::Restarted { host } => {
                self.hosts[host] = self.host(host, self.hosts[host].process + 1);
                self.introduce(host);
            }
        }
    }

    pub(super) fn outcome(mut self) -> Outcome {
        let mut outcome = std::mem::take(&mut self.outcome);
        for call in self.calls.iter().filter(|call| call.counted) {
            outcome.asked += 1;
            match call.ended_as {
                End::InTarget => outcome.in_target += 1,
                End::Late => outcome.late += 1,
                End::Refused => outcome.refused += 1,
                End::Failed | End::Open => outcome.failed += 1,
            }
        }
        outcome.repeats = u32::try_from(self.repeats.len()).unwrap_or(u32::MAX);
        let most = most_in_window(&mut self.repeats, REPEAT_WINDOW) as f64;
        let usual = self.first_sends.len() as f64 / self.pattern.duration.as_secs_f64();
        let allowed = usual * REPEAT_WINDOW.as_secs_f64() * REPEAT_SHARE + REPEAT_ALLOWANCE;
        outcome.repeats_of_allowed = most / allowed;
        let rate = self.pattern.rate_per_second * CUSTOMER_SHARES[0] * RATE_FACTOR;
        let allowed = rate * RATE_WINDOW.as_secs_f64() + rate;
        let allowed = allowed * (1.0 + RATE_TOLERANCE) + RATE_ALLOWANCE;
        let begin = LEAD + self.pattern.disturbance_start;
        let end = begin + self.pattern.disturbance_duration;
        let hot = self.hot_runs.iter().filter(|at| (begin..end).contains(*at)).count();
        outcome.hot_of_rate = hot as f64 / (rate * self.pattern.disturbance_duration.as_secs_f64());
        outcome.hot_of_allowed = most_in_window(&mut self.hot_runs, RATE_WINDOW) as f64 / allowed;
        outcome
    }
}
