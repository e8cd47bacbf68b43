//! All instances of a service grow slow for some seconds while the hosts return from a final fault,
//! and are sound again.

use std::io::Result;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::fleet::{Configuration, Fleet, KEY};
use crate::caller::{Attempt, Connection, Ending, Request};
use crate::host::Host;

const HOSTS: usize = 2;
const INSTANCES: usize = 20;
const CALLERS: usize = 60;
const PAUSE: Duration = Duration::from_millis(900);
const WORK: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(2_500);
const BEFORE: Duration = Duration::from_secs(8);
/// How long the hosts are down after the final fault.
const DOWN: Duration = Duration::from_millis(700);
/// How many times as long as usual the work of all instances takes, one step after the other.
const STEPS: [f64; 3] = [2.4, 5.0, 8.0];
const STEP_TIME: Duration = Duration::from_millis(4_800);
/// `recoverS`.
const RECOVER: Duration = Duration::from_secs(15);
/// Twice `stabilityS`: the time after which instances count as sound again.
const SOUND: Duration = Duration::from_secs(6);
const JUDGED: Duration = Duration::from_secs(15);
/// The share of the requests that has to be served.
const SERVED_MIN: f64 = 0.25;

pub fn run(folder: &Path, trouble: bool) -> Result<bool> {
    let configuration = Configuration {
        version: 1,
        timeout_s: 2.5,
        rate_per_s: 1_000.0,
        burst: 1_000.0,
        tenant: Some("club"),
    };
    let mut fleet = Fleet::start(folder, &configuration, INSTANCES, WORK, HOSTS)?;
    let record = fleet.record.clone();
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let host = &fleet.hosts[index % HOSTS];
            let (name, address) = (host.name.clone(), host.callers);
            let (stop, record) = (Arc::clone(&stop), record.clone());
            let attempts = Arc::clone(&attempts);
            thread::spawn(move || {
                thread::sleep(PAUSE * index as u32 / CALLERS as u32);
                let mut connection = Connection::default();
                let mut sent = 0;
                while !stop.load(Ordering::Relaxed) {
                    sent += 1;
                    let request = Request {
                        id: format!("{index:02x}{sent:06x}"),
                        method: "POST",
                        path: "/order/new",
                        key: KEY,
                        deadline: DEADLINE,
                        body: b"two handle sets",
                    };
                    let attempt = connection.send(&name, address, &request, &record);
                    attempts.lock().expect("no thread panicked").push(attempt);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(BEFORE);
    let fault_at = record.now();
    if trouble {
        fleet.hosts.iter_mut().for_each(Host::kill);
        set_work(&fleet, STEPS[0]);
        thread::sleep(DOWN);
        for host in &mut fleet.hosts {
            host.spawn()?;
        }
    }
    for host in &fleet.hosts {
        host.wait_until_ready(Duration::from_secs(10))?;
    }
    let back_at = record.now();
    for factor in STEPS {
        if trouble {
            set_work(&fleet, factor);
        }
        thread::sleep(STEP_TIME);
    }
    set_work(&fleet, 1.0);
    let judged_from = (back_at + RECOVER).max(record.now() + SOUND);
    record.write(&format!("judge   requests sent from {:.3} s on", judged_from.as_secs_f64()));
    thread::sleep(judged_from.saturating_sub(record.now()) + JUDGED);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no thread panicked");
    }
    let attempts = attempts.lock().expect("no thread panicked").clone();
    let share = |sent: &dyn Fn(Duration) -> bool, ending: Ending| {
        let all: Vec<_> = attempts.iter().filter(|a| sent(a.sent_at)).collect();
        let count = all.iter().filter(|a| a.ending == ending).count();
        (count, all.len(), count as f64 / all.len().max(1) as f64)
    };
    let is_before = |at: Duration| at < fault_at.saturating_sub(DEADLINE);
    let is_after = |at: Duration| at >= judged_from;
    let before = share(&is_before, Ending::Answered(200));
    let after = share(&is_after, Ending::Answered(200));
    let refused = share(&is_after, Ending::Answered(503));
    record.say(&format!(
        "before the final fault {} of {} orders were served; later than {:.1} s after the hosts were \
         back, and {:.1} s after the instances were sound again, {} of {} were served and {} refused \
         with 503",
        before.0,
        before.1,
        RECOVER.as_secs_f64(),
        SOUND.as_secs_f64(),
        after.0,
        after.1,
        refused.0
    ));
    Ok(before.2 >= SERVED_MIN && after.2 < SERVED_MIN)
}

fn set_work(fleet: &Fleet, factor: f64) {
    fleet.record.write(&format!("slow    work takes {factor} times as long"));
    fleet.instances.iter().for_each(|instance| instance.set_work(WORK.mul_f64(factor)));
}
