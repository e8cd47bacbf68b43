//! The platform kills a host above its memory limit. Either instances send answers without end, or
//! callers send bodies of the size that the configuration allows.

use std::io::Result;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::fleet::{Configuration, Fleet, KEY};
use crate::caller::{Attempt, Connection, Ending, Request};

#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    EndlessAnswers,
    LargeBodies,
}

/// `memoryMb` of the small deployments.
const MEMORY_MAX_BYTES: u64 = 260 * 1024 * 1024;
const INSTANCES: usize = 12;
/// The instances whose answers have no end.
const ENDLESS: usize = 3;
/// How long they send such answers, and the pause before the next time.
const TROUBLE_TIME: Duration = Duration::from_millis(5_000);
const CALM_TIME: Duration = Duration::from_secs(6);
const ROUNDS: usize = 3;
const WORK: Duration = Duration::from_millis(300);
const TIMEOUT_S: f64 = 5.0;
const DEADLINE: Duration = Duration::from_millis(5_000);
const CALLERS: usize = 40;
const PAUSE: Duration = Duration::from_millis(400);
/// Callers a host that send large bodies, and the size of these; the limit is 64 MiB.
const UPLOADERS: usize = 3;
const LARGE_BODY_BYTES: usize = 60 * 1024 * 1024;
const SMALL_BODY_BYTES: usize = 4_000;
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// So many requests from kept connections may be lost in a day.
const LOST_MAX: usize = 3;

pub fn run(folder: &Path, trouble: Trouble, is_troubled: bool) -> Result<bool> {
    let configuration = Configuration {
        version: 1,
        timeout_s: TIMEOUT_S,
        rate_per_s: 1_000.0,
        burst: 1_000.0,
        tenant: Some("club"),
    };
    let hosts = match trouble {
        Trouble::EndlessAnswers => 1,
        Trouble::LargeBodies => 2,
    };
    let mut fleet = Fleet::start(folder, &configuration, INSTANCES, WORK, hosts)?;
    let record = fleet.record.clone();
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let is_on = Arc::new(AtomicBool::new(false));
    let uploaders = if trouble == Trouble::LargeBodies { UPLOADERS * hosts } else { 0 };
    let callers: Vec<_> = (0..CALLERS + uploaders)
        .map(|index| {
            let host = &fleet.hosts[index % hosts];
            let (name, address) = (host.name.clone(), host.callers);
            let (attempts, stop) = (Arc::clone(&attempts), Arc::clone(&stop));
            let (is_on, record) = (Arc::clone(&is_on), record.clone());
            thread::spawn(move || {
                let uploads = index >= CALLERS;
                thread::sleep(PAUSE * index as u32 / CALLERS as u32);
                let large = vec![b'a'; if uploads { LARGE_BODY_BYTES } else { 0 }];
                let small = vec![b'a'; SMALL_BODY_BYTES];
                let mut connection = Connection::default();
                let mut sent = 0;
                while !stop.load(Ordering::Relaxed) {
                    sent += 1;
                    let is_large = uploads && is_on.load(Ordering::Relaxed);
                    let request = Request {
                        id: format!("{index:02x}{sent:06x}"),
                        method: "POST",
                        path: "/order/new",
                        key: KEY,
                        deadline: DEADLINE,
                        body: if is_large { &large } else { &small },
                    };
                    let attempt = connection.send(&name, address, &request, &record);
                    attempts.lock().expect("no thread panicked").push(attempt);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut kills = vec![0; hosts];
    let mut peaks = vec![0; hosts];
    let mut restart_at: Vec<Option<Instant>> = vec![None; hosts];
    for _ in 0..ROUNDS {
        for (begins, time) in [(true, TROUBLE_TIME), (false, CALM_TIME)] {
            if is_troubled {
                record.write(if begins { "trouble begins" } else { "trouble ends" });
                is_on.store(begins, Ordering::Relaxed);
                if trouble == Trouble::EndlessAnswers {
                    fleet.instances[..ENDLESS].iter().for_each(|i| i.set_endless(begins));
                }
            }
            let until = Instant::now() + time;
            while Instant::now() < until {
                thread::sleep(Duration::from_millis(5));
                for (index, host) in fleet.hosts.iter_mut().enumerate() {
                    let used = host.memory_bytes();
                    peaks[index] = used.max(peaks[index]);
                    if used > MEMORY_MAX_BYTES {
                        record.say(&format!("{} uses {} MiB: killed", host.name, used >> 20));
                        host.kill();
                        kills[index] += 1;
                        restart_at[index] = Some(Instant::now() + RESTART_DELAY);
                    }
                    if restart_at[index].is_some_and(|at| Instant::now() > at) {
                        restart_at[index] = None;
                        host.spawn()?;
                    }
                }
            }
        }
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no thread panicked");
    }
    let attempts = attempts.lock().expect("no thread panicked").clone();
    let runs = fleet.runs.lock().expect("no thread panicked").clone();
    let endless: Vec<&str> = match trouble {
        Trouble::EndlessAnswers => fleet.instances[..ENDLESS].iter().map(|i| i.id.as_str()).collect(),
        Trouble::LargeBodies => Vec::new(),
    };
    let mut lost = 0;
    for attempt in attempts.iter().filter(|a| a.was_kept && a.ending == Ending::Cut) {
        let Some(run) = runs.get(&attempt.id).and_then(|runs| runs.last()) else { continue };
        if endless.contains(&run.instance.as_str()) {
            continue;
        }
        lost += 1;
        record.write(&format!(
            "LOST: order {} was sent to {} on a kept connection, ran at the sound instance {}, and \
             the connection ended without an answer",
            attempt.id, attempt.host, run.instance
        ));
    }
    let answered = attempts.iter().filter(|a| a.ending == Ending::Answered(200)).count();
    let peaks: Vec<u64> = peaks.iter().map(|bytes| bytes >> 20).collect();
    record.say(&format!(
        "{} orders sent, {answered} answered with 200; hosts killed {kills:?} times, peaks {peaks:?} \
         MiB of {}; {lost} orders from kept connections lost at sound instances, {LOST_MAX} allowed",
        attempts.len(),
        MEMORY_MAX_BYTES >> 20,
    ));
    Ok(lost > LOST_MAX)
}
