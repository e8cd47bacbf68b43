//! A registration whose response the store lost is performed seconds later, after the instance has
//! said that it drains.

use std::collections::HashMap;
use std::io::Result;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::fleet::{Configuration, Fleet, KEY, SERVICE, ZONE};
use crate::caller::{Connection, Ending, Request};

const HOSTS: usize = 3;
const INSTANCES: usize = 6;
const CALLERS: usize = 30;
const PAUSE: Duration = Duration::from_millis(700);
/// The time from the store's last disruption until it counts as stable.
const STABILITY: Duration = Duration::from_millis(3_000);
/// How long after the acknowledgement requests may still reach a draining instance.
const DRAIN: Duration = Duration::from_secs(2);
/// The time between two registrations of an instance.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How much later than it was sent the lost registration is performed; 1 to 6 s are named.
const LATE: Duration = Duration::from_millis(5_500);
/// How long the instance serves after the store has acknowledged that it drains: `drainS` and a
/// little longer. Then it exits.
const SERVES: Duration = Duration::from_millis(2_900);

pub fn run(folder: &Path, trouble: bool) -> Result<bool> {
    let configuration = Configuration {
        version: 1,
        timeout_s: 2.5,
        rate_per_s: 1_000.0,
        burst: 1_000.0,
        tenant: Some("club"),
    };
    let work = Duration::from_millis(200);
    let fleet = Fleet::start(folder, &configuration, INSTANCES, work, HOSTS)?;
    let record = fleet.record.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let endings: Arc<Mutex<HashMap<String, Ending>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let host = &fleet.hosts[index % HOSTS];
            let (name, address) = (host.name.clone(), host.callers);
            let (stop, record) = (Arc::clone(&stop), record.clone());
            let endings = Arc::clone(&endings);
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
                        deadline: Duration::from_millis(2_500),
                        body: b"two handle sets",
                    };
                    let attempt = connection.send(&name, address, &request, &record);
                    endings.lock().expect("no thread panicked").insert(attempt.id, attempt.ending);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));

    // The last moment of the store's disruption: the registration of sequence 2 gets no response.
    let instance = &fleet.instances[0];
    let mut sequence = 2;
    let lost = instance.registration(SERVICE, ZONE, "ready", sequence);
    let lost_at = record.now();
    if trouble {
        record.write(&format!("store   {}: ready, seq 2 is not answered", instance.id));
    } else {
        fleet.store.put("servers", &instance.id, Some(&lost));
        record.write(&format!("store   {}: ready, seq 2 is written", instance.id));
    }
    // From here on the store is sound. The instance starts to drain when it is stable again.
    let stable_at = lost_at + STABILITY + Duration::from_millis(100);
    thread::sleep(stable_at.saturating_sub(record.now()));
    let drain = |sequence: u64| {
        let text = instance.registration(SERVICE, ZONE, "draining", sequence);
        fleet.store.put("servers", &instance.id, Some(&text));
        record.write(&format!("store   {}: draining, seq {sequence} is acknowledged", instance.id));
    };
    sequence += 1;
    drain(sequence);
    let acknowledged_at = record.now();
    let mut next_heartbeat = acknowledged_at + HEARTBEAT;
    let mut is_performed = !trouble;
    while record.now() < acknowledged_at + SERVES {
        if !is_performed && record.now() >= lost_at + LATE {
            is_performed = true;
            fleet.store.put("servers", &instance.id, Some(&lost));
            record.write(&format!("store   {}: ready, seq 2 is performed late", instance.id));
        }
        if record.now() >= next_heartbeat {
            next_heartbeat += HEARTBEAT;
            sequence += 1;
            drain(sequence);
        }
        thread::sleep(Duration::from_millis(5));
    }
    instance.exit();
    fleet.store.put("servers", &instance.id, None);
    record.write(&format!("store   {} has exited and is gone", instance.id));
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no thread panicked");
    }
    let runs = fleet.runs.lock().expect("no thread panicked").clone();
    let mut late: Vec<(Duration, &String)> = runs
        .iter()
        .flat_map(|(id, runs)| runs.iter().map(move |run| (run, id)))
        .filter(|(run, _)| run.instance == instance.id && run.began_at > acknowledged_at + DRAIN)
        .map(|(run, id)| (run.began_at, id))
        .collect();
    late.sort();
    let endings = endings.lock().expect("no thread panicked");
    for (began_at, id) in &late {
        record.say(&format!(
            "DRAIN: order {id} reached {} {:.3} s after the store had acknowledged that it drains; its \
             caller: {:?}",
            instance.id,
            (*began_at - acknowledged_at).as_secs_f64(),
            endings.get(*id),
        ));
    }
    record.say(&format!("{} orders ran, {} of them too late at {}", runs.len(), late.len(), instance.id));
    Ok(!late.is_empty())
}
