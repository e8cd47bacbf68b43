//! Two of a zone's three hosts get SIGTERM together while callers send orders through the balancer.

use std::io::Result;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::fleet::{Configuration, Fleet, KEY};
use crate::balancer::Balancer;
use crate::caller::{Attempt, Connection, Ending, Request};

const HOSTS: usize = 3;
const CALLERS: usize = 60;
/// The pause of a caller between two orders.
const PAUSE: Duration = Duration::from_millis(600);
const WORK: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(2_500);
/// `graceS`: SIGKILL follows SIGTERM after this time.
const GRACE: Duration = Duration::from_secs(6);
/// Requests that were sent up to this time after the SIGTERM may be cut at the end of the grace.
const EXCUSED: Duration = Duration::from_secs(3);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The hosts that stop together in each round.
const ROUNDS: [[usize; 2]; 3] = [[0, 1], [1, 2], [0, 2]];
const ROUND_TIME: Duration = Duration::from_secs(15);

pub fn run(folder: &Path, trouble: bool) -> Result<bool> {
    let configuration = Configuration {
        version: 1,
        timeout_s: 2.5,
        rate_per_s: 1_000.0,
        burst: 1_000.0,
        tenant: Some("club"),
    };
    let mut fleet = Fleet::start(folder, &configuration, 8, WORK, HOSTS)?;
    let record = fleet.record.clone();
    let nodes = fleet.hosts.iter().map(|host| (host.name.clone(), host.callers, host.ready));
    let balancer = Balancer::start(nodes.collect(), &record);
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (balancer, attempts) = (balancer.clone(), Arc::clone(&attempts));
            let (stop, record) = (Arc::clone(&stop), record.clone());
            thread::spawn(move || {
                thread::sleep(PAUSE * index as u32 / CALLERS as u32);
                // Half of the callers open a new connection for each order.
                let opens_new = index % 2 == 0;
                let mut connection = Connection::default();
                let mut sent = 0;
                while !stop.load(Ordering::Relaxed) {
                    sent += 1;
                    if opens_new {
                        connection.close();
                    }
                    // Each new connection of a caller may reach another host.
                    let (host, address) = balancer.pick(index + sent * 7);
                    let request = Request {
                        id: format!("{index:02x}{sent:06x}"),
                        method: "POST",
                        path: "/order/new",
                        key: KEY,
                        deadline: DEADLINE,
                        body: b"two handle sets",
                    };
                    let attempt = connection.send(&host, address, &request, &record);
                    let again = attempt.ending == Ending::NoConnection;
                    attempts.lock().expect("no thread panicked").push(attempt);
                    thread::sleep(if again { Duration::from_millis(100) } else { PAUSE });
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let mut stops: Vec<(String, Duration)> = Vec::new();
    for pair in ROUNDS {
        let started_at = Instant::now();
        if trouble {
            for index in pair {
                let host = &fleet.hosts[index];
                stops.push((host.name.clone(), record.now()));
                host.signal("TERM");
            }
            let mut left = pair.to_vec();
            while !left.is_empty() {
                thread::sleep(Duration::from_millis(10));
                left.retain(|index| !fleet.hosts[*index].has_ended());
                if started_at.elapsed() > GRACE {
                    left.drain(..).for_each(|index| fleet.hosts[index].kill());
                }
            }
            thread::sleep(RESTART_DELAY);
            for index in pair {
                fleet.hosts[index].spawn()?;
            }
        }
        thread::sleep(ROUND_TIME.saturating_sub(started_at.elapsed()));
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no thread panicked");
    }
    let attempts = attempts.lock().expect("no thread panicked").clone();
    let runs = fleet.runs.lock().expect("no thread panicked").clone();
    let mut broken = 0;
    for attempt in &attempts {
        let is_cut = attempt.ending == Ending::Cut;
        let is_in_time = attempt.ended_at < attempt.sent_at + attempt.deadline;
        let (true, true, Some(run)) = (is_cut, is_in_time, runs.get(&attempt.id)) else { continue };
        let run = &run[0];
        let stop = stops.iter().rev().find(|(host, at)| *host == attempt.host && *at <= attempt.ended_at);
        let Some((_, stopped_at)) = stop else { continue };
        let until = *stopped_at + GRACE + Duration::from_secs(1);
        let in_last_sixth = attempt.ended_at >= *stopped_at + GRACE * 5 / 6;
        let excused = in_last_sixth && attempt.sent_at <= *stopped_at + EXCUSED;
        if attempt.sent_at > until || excused {
            continue;
        }
        broken += 1;
        record.say(&format!(
            "LOST: order {} was sent to {} {:.3} s after its SIGTERM, began to run at {} {:.3} s \
             after it, and its connection ended without an answer at {:.3} s",
            attempt.id,
            attempt.host,
            attempt.sent_at.saturating_sub(*stopped_at).as_secs_f64(),
            run.instance,
            run.began_at.saturating_sub(*stopped_at).as_secs_f64(),
            attempt.ended_at.saturating_sub(*stopped_at).as_secs_f64(),
        ));
    }
    let count = |ending: Ending| attempts.iter().filter(|a| a.ending == ending).count();
    record.say(&format!(
        "503: {}, cut: {}, no connection: {}",
        count(Ending::Answered(503)),
        count(Ending::Cut),
        count(Ending::NoConnection)
    ));
    let answered = attempts.iter().filter(|a| a.ending == Ending::Answered(200)).count();
    record.say(&format!(
        "{} orders sent, {answered} answered with 200, {} stops, {broken} orders lost",
        attempts.len(),
        stops.len()
    ));
    Ok(broken > 0)
}
