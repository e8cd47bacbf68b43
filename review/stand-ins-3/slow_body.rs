//! Case: a host is stopped while an instance that is at work on an order reads its body slowly.

mod harness;
mod json;
mod world;

use std::collections::BTreeSet;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use harness::{Instance, Journal, Wire, call, request, response, serve, sleep_ms};
use world::{Settings, World};

/// The size of an order's body: far below `maxBodyBytes`, 67,108,864.
const BODY_BYTES: usize = 1024 * 1024;
/// How long an instance works on an order before it reads the rest of the body, and then to the end.
const WORK_MS: u64 = 3_600;
const REST_MS: u64 = 200;
/// The deadline of an order and the route's timeout, as for `pedido-cabeceira`.
const DEADLINE_MS: u64 = 5_000;
/// When orders are sent after SIGTERM.
const SENT_AFTER_MS: u64 = 300;
const ORDERS: usize = 3;
/// How much of the body an instance reads first.
const FIRST_BYTES: usize = 64 * 1024;

/// What the instances saw of the orders.
#[derive(Default)]
struct Seen {
    begun: Mutex<BTreeSet<String>>,
    broken_off: Mutex<BTreeSet<String>>,
    answered: Mutex<BTreeSet<String>>,
}

fn add(to: &Mutex<BTreeSet<String>>, id: &str) {
    to.lock().unwrap().insert(id.to_owned());
}

/// Reads a request, and works on it while most of its body may be still on the way.
fn serve_order(stream: TcpStream, reads_slowly: bool, seen: &Seen, journal: &Journal) -> Option<()> {
    let mut wire = Wire::new(stream);
    while let Some(head) = wire.read_head().ok()? {
        let id = head.get("x-ebonytack-request-id").unwrap_or_default().to_owned();
        let is_order = head.method() == "POST";
        if is_order {
            add(&seen.begun, &id);
            journal.note(&format!("the instance begins {id}"));
        }
        let mut broken = false;
        if is_order && reads_slowly {
            broken |= wire.read_at_least(FIRST_BYTES).is_err();
            sleep_ms(WORK_MS);
        }
        broken |= wire.read_body(&head).is_err();
        if broken {
            add(&seen.broken_off, &id);
            journal.note(&format!("the host breaks {id} off"));
            return None;
        }
        if is_order {
            journal.note(&format!("the instance has the whole body of {id}"));
            sleep_ms(if reads_slowly { REST_MS } else { WORK_MS });
        }
        let headers = [
            ("X-Ebonytack-Request-Id", id.as_str()),
            ("X-Ebonytack-Response-Seal", "seal"),
            ("X-Ebonytack-Server-Load", "1,0,4"),
        ];
        wire.send(&response(200, &headers, format!("answer to {id}").as_bytes())).ok()?;
        if is_order {
            add(&seen.answered, &id);
            journal.note(&format!("the instance has answered {id}"));
        }
    }
    Some(())
}

fn main() {
    let record = std::env::args().nth(1).expect("the path of the record");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut world = World::start("slow-body", &record, 0, 1);
    let settings = Settings { version: 2, timeout_s: DEADLINE_MS as f64 / 1e3, ..Settings::default() };
    world.store.write("op", "config", Some(settings.encode()));
    let seen = Arc::new(Seen::default());
    for index in 1..=ORDERS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (seen, journal) = (Arc::clone(&seen), world.journal.clone());
        serve(listener, move |stream| {
            let _ = serve_order(stream, trouble, &seen, &journal);
        });
        let id = format!("i-{index}");
        let entry = Instance::entry_of(address, "catalogue", 1, "ready", 1);
        world.store.write("servers", &id, Some(entry));
    }
    sleep_ms(3_000);
    let host = world.hosts[0].callers;
    for index in 0..6 {
        let id = format!("lookup-{index}");
        world.note_answer(&id, &call(host, &request("GET", "/lookup/x", &id, "key-club-1", b"")));
    }

    if !world.hosts[0].terminate() {
        world.end(2);
    }
    world.note("the host gets SIGTERM");
    sleep_ms(SENT_AFTER_MS);
    if world.hosts[0].is_ready() {
        world.note("the host is still ready");
        world.end(2);
    }
    let orders: Vec<_> = (0..ORDERS)
        .map(|index| {
            let journal = world.journal.clone();
            std::thread::spawn(move || {
                let id = format!("order-{index}");
                let bytes = request("POST", "/order/x", &id, "key-club-1", &vec![b'x'; BODY_BYTES]);
                let text = String::from_utf8(bytes).expect("text");
                let deadline = format!("Deadline-Ms: {DEADLINE_MS}\r\n");
                let text = text.replacen("Deadline-Ms: 2500\r\n", &deadline, 1);
                journal.note(&format!("{id} is sent"));
                let sent_at = Instant::now();
                let answer = call(host, text.as_bytes());
                (id, answer, sent_at.elapsed())
            })
        })
        .collect();
    let mut failed = BTreeSet::new();
    for order in orders {
        let (id, answer, took) = order.join().expect("the caller ends");
        world.note_answer(&id, &answer);
        // The host's own answer in place of the instance's, well before the deadline.
        if answer.status() != 200 && took < Duration::from_millis(DEADLINE_MS - 500) {
            failed.insert(id);
        }
    }
    std::thread::sleep(Duration::from_millis(WORK_MS));
    let begun = seen.begun.lock().unwrap().clone();
    let broken_off = seen.broken_off.lock().unwrap().clone();
    let answered = seen.answered.lock().unwrap().len();
    // Those at which an instance was at work, and which the host broke off.
    let lost = failed.iter().filter(|id| begun.contains(*id) && broken_off.contains(*id)).count();
    world.note(&format!(
        "{} orders begun, {} broken off by the host, {answered} answered by their instances, {lost} \
         lost",
        begun.len(),
        broken_off.len()
    ));
    world.hosts.clear();
    if begun.len() < ORDERS {
        world.end(2);
    }
    world.end(i32::from(lost > 0));
}
