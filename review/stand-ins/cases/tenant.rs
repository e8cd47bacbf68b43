//! A tenant that asks for far more than its quota is dropped by one configuration and restored by
//! the next.

use std::io::Result;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::fleet::{Configuration, Fleet, KEY};
use crate::caller::{Connection, Request};

const HOSTS: usize = 3;
const RATE_PER_S: f64 = 20.0;
const BURST: f64 = 100.0;
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;
const CALLERS: usize = 24;
/// The pause of a caller after each answer: together they ask for about ten times the rate.
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(folder: &Path, trouble: bool) -> Result<bool> {
    let mut configuration = Configuration {
        version: 1,
        timeout_s: 2.5,
        rate_per_s: RATE_PER_S,
        burst: BURST,
        has_club: true,
    };
    let fleet = Fleet::start(folder, &configuration, 12, Duration::from_millis(50), HOSTS)?;
    let record = fleet.record.clone();
    // The hosts' buckets fill.
    thread::sleep(Duration::from_secs(8));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let host = &fleet.hosts[index % HOSTS];
            let (name, address) = (host.name.clone(), host.callers);
            let (stop, record) = (Arc::clone(&stop), record.clone());
            thread::spawn(move || {
                let mut connection = Connection::default();
                let mut sent = 0;
                while !stop.load(Ordering::Relaxed) {
                    sent += 1;
                    let request = Request {
                        id: format!("{index:02x}{sent:06x}"),
                        method: "GET",
                        path: "/lookup/1",
                        key: KEY,
                        deadline: Duration::from_millis(2_500),
                        body: b"",
                    };
                    connection.send(&name, address, &request, &record);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    for _ in 0..2 {
        for has_club in [false, true] {
            if trouble {
                configuration.version += 3;
                configuration.has_club = has_club;
                let version = configuration.version;
                record.write(&format!("config  version {version}, tenant club in it: {has_club}"));
                fleet.store.put("op", "config", Some(&configuration.text()));
            }
            thread::sleep(Duration::from_millis(1_000));
        }
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no thread panicked");
    }
    let runs = fleet.runs.lock().expect("no thread panicked").clone();
    let mut began_at: Vec<Duration> =
        runs.values().flatten().filter(|run| run.customer == "club").map(|r| r.began_at).collect();
    began_at.sort();
    let allowed = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVER) + SLACK;
    let in_window = |start: Duration| began_at.iter().filter(|at| **at >= start && **at < start + WINDOW).count();
    let (worst, at) =
        began_at.iter().map(|start| (in_window(*start), *start)).max().unwrap_or_default();
    record.say(&format!(
        "{} requests of the tenant ran; {worst} of them within 5 s from {:.3} s, {allowed:.0} allowed",
        began_at.len(),
        at.as_secs_f64()
    ));
    Ok(worst as f64 > allowed)
}
