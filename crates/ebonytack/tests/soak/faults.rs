//! Random schedules of faults, and their injection.

use std::time::{Duration, Instant};

use ebonytack_core::Random;
use ebonytack_stand_in::{Behaviour, StoreFault};
use ebonytack_testbed::LinkFault;
use nix::sys::signal::Signal;

use crate::hosts::{HEALTHY, HOSTS, INSTANCES, TestFleet};

/// The mean time between the starts of two faults.
const GAP_MEAN_S: f64 = 0.8;
/// The upper bound of the random part of a fault's length, to which 0.2 s is added.
const LENGTH_MAX_S: f64 = 3.0;
/// How long the simulated platform takes to restart a process that has exited.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// How often faults are started and ended, and exited processes are restarted.
const STEP: Duration = Duration::from_millis(20);

/// A fault, or a change that is made while faults are active. Numbers are indices of hosts or
/// instances.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Kill(usize),
    Terminate(usize),
    Freeze(usize),
    HangUp(usize),
    Store(StoreFault),
    StoreLink(usize, LinkFault),
    InstanceLink(usize, LinkFault),
    Instance(usize, Behaviour),
    Drain(usize),
    Configuration,
    /// A copy of the store is made at the start, and the store is restored from it at the end.
    Restore,
}

/// A fault with its start and length.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    /// The time since the start of the run.
    pub(crate) at: Duration,
    pub(crate) length: Duration,
    pub(crate) fault: Fault,
}

/// The faults of a run, ordered by their start. They may overlap.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) faults: Vec<PlannedFault>,
    length: Duration,
}

impl Plan {
    pub(crate) fn random(random: &mut Random, length: Duration) -> Self {
        let mut faults = Vec::new();
        let mut at_s = 1.0;
        let mut has_drain = false;
        while at_s < length.as_secs_f64() {
            let mut fault = random_fault(random);
            // At most one instance drains, so that at least two instances stay in service.
            if matches!(fault, Fault::Drain(_)) && std::mem::replace(&mut has_drain, true) {
                fault = Fault::Configuration;
            }
            let length = Duration::from_secs_f64(0.2 + random.next_f64() * LENGTH_MAX_S);
            faults.push(PlannedFault { at: Duration::from_secs_f64(at_s), length, fault });
            at_s += -GAP_MEAN_S * (1.0 - random.next_f64()).ln();
        }
        Self { faults, length }
    }

    /// Adds one or two restores of the store; the other faults of a seed stay as they are.
    pub(crate) fn with_restores(mut self, random: &mut Random) -> Self {
        for _ in 0..=random.below(2) {
            let at = self.length.mul_f64(0.05 + 0.65 * random.next_f64());
            let length = Duration::from_secs_f64(0.2 + random.next_f64() * LENGTH_MAX_S);
            self.faults.push(PlannedFault { at, length, fault: Fault::Restore });
        }
        self.faults.sort_by_key(|planned| planned.at);
        self
    }

    /// Injects the faults and restarts processes that exit.
    pub(crate) async fn run(&self, fleet: &mut TestFleet) {
        let started_at = Instant::now();
        let mut next = 0;
        let mut active: Vec<PlannedFault> = Vec::new();
        let mut exit_times = [None; HOSTS];
        while started_at.elapsed() < self.length {
            let now = started_at.elapsed();
            while let Some(planned) = self.faults.get(next).filter(|planned| planned.at <= now) {
                next += 1;
                start_fault(fleet, planned.fault);
                active.push(*planned);
            }
            active.retain(|planned| {
                let over = planned.at + planned.length <= now;
                if over {
                    end_fault(fleet, planned.fault);
                }
                !over
            });
            restart_exited(fleet, &mut exit_times, now);
            tokio::time::sleep(STEP).await;
        }
    }
}

/// Waits for `time` without injecting faults. Still restarts processes, since one that received
/// SIGTERM before may exit only now.
pub(crate) async fn run_without_faults(fleet: &mut TestFleet, time: Duration) {
    let started_at = Instant::now();
    let mut exit_times = [None; HOSTS];
    while started_at.elapsed() < time {
        restart_exited(fleet, &mut exit_times, started_at.elapsed());
        tokio::time::sleep(STEP).await;
    }
}

/// Restarts processes that exited at least [`RESTART_DELAY`] ago.
fn restart_exited(
    fleet: &mut TestFleet,
    exit_times: &mut [Option<Duration>; HOSTS],
    now: Duration,
) {
    for (host, exited_at) in fleet.hosts.iter_mut().zip(exit_times) {
        if !host.has_exited() {
            *exited_at = None;
        } else if exited_at.get_or_insert(now).saturating_add(RESTART_DELAY) <= now {
            host.start();
        }
    }
}

fn random_fault(random: &mut Random) -> Fault {
    let (host, instance) = (random.below(HOSTS), random.below(INSTANCES));
    let link = match random.below(5) {
        0 => LinkFault { hold_to_server: true, ..LinkFault::default() },
        1 => LinkFault { hold_to_client: true, ..LinkFault::default() },
        2 | 3 => LinkFault { reset: true, ..LinkFault::default() },
        _ => LinkFault { delay: Duration::from_millis(150), ..LinkFault::default() },
    };
    match random.below(17) {
        0 => Fault::Kill(host),
        1 | 2 => Fault::Terminate(host),
        3 => Fault::Freeze(host),
        4 => Fault::HangUp(host),
        5 => Fault::Store(StoreFault::Busy),
        6 => Fault::Store(StoreFault::Silent),
        7 => Fault::Store(StoreFault::Forgetful),
        8 => Fault::StoreLink(host, link),
        9..=11 => Fault::InstanceLink(instance, link),
        12 => Fault::Instance(instance, Behaviour::Fail),
        13 | 14 => match random.below(2) {
            0 => Fault::Instance(instance, Behaviour::TurnAway),
            _ => Fault::Instance(instance, Behaviour::Answer(Duration::from_millis(900))),
        },
        15 => Fault::Drain(instance),
        _ => Fault::Configuration,
    }
}

fn start_fault(fleet: &mut TestFleet, fault: Fault) {
    match fault {
        Fault::Kill(host) => fleet.hosts[host].signal(Signal::SIGKILL),
        Fault::Terminate(host) => fleet.hosts[host].signal(Signal::SIGTERM),
        Fault::Freeze(host) => fleet.hosts[host].signal(Signal::SIGSTOP),
        Fault::HangUp(host) => fleet.hosts[host].signal(Signal::SIGHUP),
        Fault::Store(fault) => fleet.store.set_fault(fault),
        Fault::StoreLink(host, link) => fleet.hosts[host].store_link.set_fault(link),
        Fault::InstanceLink(instance, link) => fleet.instance_links[instance].set_fault(link),
        Fault::Instance(instance, behaviour) => fleet.instances[instance].set_behaviour(behaviour),
        Fault::Drain(instance) => fleet.drain(instance),
        Fault::Configuration => fleet.change_configuration(),
        Fault::Restore => fleet.store.copy(),
    }
}

fn end_fault(fleet: &mut TestFleet, fault: Fault) {
    match fault {
        Fault::Freeze(host) => fleet.hosts[host].signal(Signal::SIGCONT),
        Fault::Store(_) => fleet.store.set_fault(StoreFault::None),
        Fault::StoreLink(host, _) => fleet.hosts[host].store_link.set_fault(LinkFault::default()),
        Fault::InstanceLink(instance, _) => {
            fleet.instance_links[instance].set_fault(LinkFault::default());
        }
        Fault::Instance(instance, _) => fleet.instances[instance].set_behaviour(HEALTHY),
        Fault::Restore => {
            let lost = fleet.store.restore();
            fleet.store.write_again(lost);
        }
        Fault::Kill(_)
        | Fault::Terminate(_)
        | Fault::HangUp(_)
        | Fault::Drain(_)
        | Fault::Configuration => {}
    }
}
