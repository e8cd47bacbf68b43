//! What goes wrong, and when.

use std::time::{Duration, Instant};

use ebonytack_core::Random;
use ebonytack_stand_in::{Behaviour, StoreFault};
use ebonytack_testbed::LinkFault;
use nix::sys::signal::Signal;

use crate::hosts::{HOSTS, INSTANCES, WELL, World};

/// The mean time between two faults.
const GAP_MEAN_S: f64 = 0.8;
/// How long a fault lasts at most.
const LENGTH_MAX_S: f64 = 3.0;
/// How soon the platform starts a process again.
const RESTART_AFTER: Duration = Duration::from_millis(400);
/// How often processes that ended are looked for.
const STEP: Duration = Duration::from_millis(20);

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
}

/// A fault with its times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Planned {
    pub(crate) at: Duration,
    pub(crate) length: Duration,
    pub(crate) fault: Fault,
}

/// The faults of a run, in order; they come in series and overlap.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) faults: Vec<Planned>,
    length: Duration,
}

impl Plan {
    pub(crate) fn draw(random: &mut Random, length: Duration) -> Self {
        let mut faults = Vec::new();
        let mut at_s = 1.0;
        let mut drained = false;
        while at_s < length.as_secs_f64() {
            let mut fault = draw_fault(random);
            // Two instances at least stay.
            if matches!(fault, Fault::Drain(_)) && std::mem::replace(&mut drained, true) {
                fault = Fault::Configuration;
            }
            let length = Duration::from_secs_f64(0.2 + random.next_f64() * LENGTH_MAX_S);
            faults.push(Planned { at: Duration::from_secs_f64(at_s), length, fault });
            at_s += -GAP_MEAN_S * (1.0 - random.next_f64()).ln();
        }
        Self { faults, length }
    }

    /// Plays the faults, and starts processes again that ended.
    pub(crate) async fn play(&self, world: &mut World) {
        let began = Instant::now();
        let mut begun = 0;
        let mut ending: Vec<Planned> = Vec::new();
        let mut ended_since = [None; HOSTS];
        while began.elapsed() < self.length {
            let now = began.elapsed();
            while let Some(planned) = self.faults.get(begun).filter(|planned| planned.at <= now) {
                begun += 1;
                begin(world, planned.fault);
                ending.push(*planned);
            }
            ending.retain(|planned| {
                let over = planned.at + planned.length <= now;
                if over {
                    end(world, planned.fault);
                }
                !over
            });
            restart_ended(world, &mut ended_since, now);
            tokio::time::sleep(STEP).await;
        }
    }
}

/// Lets time pass without new faults. A process that was told to stop may end only now.
pub(crate) async fn stay_calm(world: &mut World, time: Duration) {
    let began = Instant::now();
    let mut ended_since = [None; HOSTS];
    while began.elapsed() < time {
        restart_ended(world, &mut ended_since, began.elapsed());
        tokio::time::sleep(STEP).await;
    }
}

/// Starts processes again that ended a while ago.
fn restart_ended(world: &mut World, ended_since: &mut [Option<Duration>; HOSTS], now: Duration) {
    for (host, since) in world.hosts.iter_mut().zip(ended_since) {
        if !host.has_ended() {
            *since = None;
        } else if since.get_or_insert(now).saturating_add(RESTART_AFTER) <= now {
            host.start();
        }
    }
}

fn draw_fault(random: &mut Random) -> Fault {
    let (host, instance) = (random.below(HOSTS), random.below(INSTANCES));
    let link = match random.below(5) {
        0 => LinkFault { hold_forward: true, ..LinkFault::default() },
        1 => LinkFault { hold_back: true, ..LinkFault::default() },
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

fn begin(world: &mut World, fault: Fault) {
    match fault {
        Fault::Kill(host) => world.hosts[host].signal(Signal::SIGKILL),
        Fault::Terminate(host) => world.hosts[host].signal(Signal::SIGTERM),
        Fault::Freeze(host) => world.hosts[host].signal(Signal::SIGSTOP),
        Fault::HangUp(host) => world.hosts[host].signal(Signal::SIGHUP),
        Fault::Store(fault) => world.store.set_fault(fault),
        Fault::StoreLink(host, link) => world.hosts[host].store_link.set_fault(link),
        Fault::InstanceLink(instance, link) => world.instance_links[instance].set_fault(link),
        Fault::Instance(instance, work) => world.instances[instance].set_behaviour(work),
        Fault::Drain(instance) => world.drain(instance),
        Fault::Configuration => world.change_configuration(),
    }
}

fn end(world: &mut World, fault: Fault) {
    match fault {
        Fault::Freeze(host) => world.hosts[host].signal(Signal::SIGCONT),
        Fault::Store(_) => world.store.set_fault(StoreFault::None),
        Fault::StoreLink(host, _) => world.hosts[host].store_link.set_fault(LinkFault::default()),
        Fault::InstanceLink(instance, _) => {
            world.instance_links[instance].set_fault(LinkFault::default());
        }
        Fault::Instance(instance, _) => world.instances[instance].set_behaviour(WELL),
        Fault::Kill(_)
        | Fault::Terminate(_)
        | Fault::HangUp(_)
        | Fault::Drain(_)
        | Fault::Configuration => {}
    }
}
