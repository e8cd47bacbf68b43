//! Case: a host is stopped while an instance that is at work on an order reads its body slowly.

mod harness;
mod json;
mod world;

use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

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
    begun: AtomicUsize,
    broken_off: AtomicUsize,
    answered: AtomicUsize,
}

/// Reads a request, and works on it while most of its body may be still on the way.
fn serve_order(stream: TcpStream, reads_slowly: bool, seen: &Seen, journal: &Journal) -> Option<()> {
    let mut wire = Wire::new(stream);
    while let Some(head) = wire.read_head().ok()? {
        let id = head.get("x-ebonytack-request-id").unwrap_or_default().to_owned();
        let is_order = head.method() == "POST";
        if is_order {
            seen.begun.fetch_add(1, Ordering::SeqCst);
            journal.note(&format!("the instance begins {id}"));
        }
        let mut broken = false;
        if is_order && reads_slowly {
            broken |= wire.read_at_least(FIRST_BYTES).is_err();
            sleep_ms(WORK_MS);
        }
        broken |= wire.read_body(&head).is_err();
        if broken {
            seen.broken_off.fetch_add(1, Ordering::SeqCst);
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
            seen.answered.fetch_add(1, Ordering::SeqCst);
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

    world.hosts[0].signal("TERM");
    world.note("the host gets SIGTERM");
    sleep_ms(SENT_AFTER_MS);
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
                (id, call(host, text.as_bytes()))
            })
        })
        .collect();
    let mut lost = 0;
    for order in orders {
        let (id, answer) = order.join().expect("the caller ends");
        world.note_answer(&id, &answer);
        lost += usize::from(answer.status() != 200);
    }
    std::thread::sleep(Duration::from_millis(WORK_MS));
    let begun = seen.begun.load(Ordering::SeqCst);
    let broken_off = seen.broken_off.load(Ordering::SeqCst);
    let answered = seen.answered.load(Ordering::SeqCst);
    world.note(&format!(
        "{begun} orders begun, {broken_off} broken off by the host, {answered} answered by their \
         instances, {lost} without the instance's answer at the caller"
    ));
    world.hosts.clear();
    if begun == 0 || (!trouble && lost > 0 && broken_off == 0) {
        world.end(2);
    }
    world.end(i32::from(lost > 0 && broken_off > 0));
}
