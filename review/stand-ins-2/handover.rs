//! The host that reads the store for its data centre stands still while an instance leaves. Some time
//! before, the store turned another host away while that one had to read it.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::{
    BROKEN, Configuration, Door, HELD, Host, NOT_RUN, Reader, Recorder, Store, registration,
    request_head,
};

/// The zones of the hosts. In zone a, host 0 comes first by name and reads the store for host 1.
const ZONES: [&str; 3] = ["a", "a", "b"];
/// How many clients each host has, each with one order at a time.
const CLIENTS: [usize; 3] = [0, 8, 2];
const INSTANCES: usize = 4;
const WORK: Duration = Duration::from_millis(100);
/// For how long the store turns host 1 away. Host 0 is stopped and started again in that time.
const TURNED_AWAY: Duration = Duration::from_secs(8);
/// From the end of that to the hand-over; `stabilityS` is 3 s.
const CALM: Duration = Duration::from_secs(8);
/// How long the host that reads the store stands still.
const FREEZE: Duration = Duration::from_secs(4);
/// `drainS`: how long after the acknowledgement requests may still reach the instance.
const DRAIN: Duration = Duration::from_secs(2);
/// The instance serves a little longer, and then exits.
const EXIT_AFTER: Duration = Duration::from_millis(2_300);
const DEADLINE_MS: u64 = 1_500;
const ROUNDS: usize = 3;

/// A request that reached an instance.
struct Arrival {
    instance: String,
    request_id: String,
    at: Instant,
}

type Arrivals = Arc<Mutex<Vec<Arrival>>>;

pub fn run(dir: &Path, recorder: &Recorder, trouble: bool) -> i32 {
    let store = Store::start();
    let configuration = Configuration { version: 1, keys: &["key-1"], timeout_s: 3.0 };
    store.put("op", "config", Some(&configuration.to_json()));
    let arrivals = Arrivals::default();
    for number in 0..INSTANCES {
        let instance = LeavingInstance::start(&format!("stays-{number}"), &arrivals);
        store.put("servers", &instance.id, Some(&instance.entry()));
    }
    let doors: Vec<Door> = ZONES.iter().map(|_| store.open_door()).collect();
    let start = |(number, door): (usize, &Door)| {
        Host::start_in(dir, &format!("host-{number}"), ZONES[number], door.address, 260)
    };
    let mut hosts: Vec<Host> = doors.iter().enumerate().map(start).collect();
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(15))) {
        recorder.line("a host did not get ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(4));
    let stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = CLIENTS
        .into_iter()
        .enumerate()
        .flat_map(|(host, count)| (0..count).map(move |client| (host, client)))
        .map(|(host, client)| {
            let (address, stopped) = (hosts[host].callers, Arc::clone(&stopped));
            let (name, recorder) = (format!("host-{host}-{client}"), recorder.clone());
            thread::spawn(move || send_orders(&recorder, address, &name, &stopped))
        })
        .collect();
    let mut removed = Vec::new();
    for round in 0..ROUNDS {
        let instance = LeavingInstance::start(&format!("leaves-{round}"), &arrivals);
        store.put("servers", &instance.id, Some(&instance.entry()));
        thread::sleep(Duration::from_secs(2));
        if trouble {
            doors[1].set_busy(true);
            recorder.line("the store turns host 1 away with 503");
            let until = Instant::now() + TURNED_AWAY;
            hosts[0].signal("TERM");
            recorder.line("SIGTERM to host 0");
            hosts[0].restart();
            recorder.line("host 0 has stopped and is started again");
            thread::sleep(until.saturating_duration_since(Instant::now()));
            doors[1].set_busy(false);
            recorder.line("the store serves host 1 again");
        }
        thread::sleep(CALM);
        if trouble {
            hosts[0].signal("STOP");
            recorder.line("host 0 stands still");
        }
        thread::sleep(Duration::from_millis(50));
        store.put("servers", &instance.id, None);
        removed.push((instance.id.clone(), Instant::now()));
        recorder.line(format!("the entry of {} is removed, without `draining`", instance.id));
        thread::sleep(EXIT_AFTER);
        instance.exit();
        recorder.line(format!("{} has exited", removed[round].0));
        thread::sleep(FREEZE - EXIT_AFTER);
        if trouble {
            hosts[0].signal("CONT");
            recorder.line("host 0 goes on");
        }
        thread::sleep(Duration::from_secs(1));
    }
    stopped.store(true, Ordering::SeqCst);
    let mut answers = BTreeMap::new();
    for client in clients {
        for answer in client.join().unwrap_or_default() {
            *answers.entry(answer).or_insert(0) += 1;
        }
    }
    recorder.line(format!("answers to the orders: {answers:?}"));
    let mut late = 0;
    for arrival in arrivals.lock().unwrap().iter() {
        let Some((_, at)) = removed.iter().find(|(id, _)| *id == arrival.instance) else {
            continue;
        };
        let after = arrival.at.saturating_duration_since(*at);
        if after > DRAIN {
            late += 1;
            recorder.line(format!(
                "{} reached {} {:.3} s after the removal",
                arrival.request_id,
                arrival.instance,
                after.as_secs_f64()
            ));
        }
    }
    recorder.line(format!("{late} orders reached an instance later than {} s", DRAIN.as_secs()));
    match late {
        0 => HELD,
        _ => {
            recorder.line("BROKEN: DRAIN, hosts in touch used an instance that had left");
            BROKEN
        }
    }
}

/// An instance that can exit.
struct LeavingInstance {
    id: String,
    address: SocketAddr,
    exited: Arc<AtomicBool>,
}

impl LeavingInstance {
    fn start(id: &str, arrivals: &Arrivals) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener.set_nonblocking(true).expect("the listener can be polled");
        let address = listener.local_addr().expect("a bound socket has an address");
        let exited = Arc::new(AtomicBool::new(false));
        let instance = Self { id: id.to_owned(), address, exited: Arc::clone(&exited) };
        let (own_id, arrivals) = (id.to_owned(), Arc::clone(arrivals));
        thread::spawn(move || {
            let mut connections = Vec::new();
            while !exited.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                connections.extend(stream.try_clone());
                let (id, arrivals) = (own_id.clone(), Arc::clone(&arrivals));
                thread::spawn(move || serve(&id, &arrivals, stream));
            }
            for connection in connections {
                let _ = connection.shutdown(std::net::Shutdown::Both);
            }
        });
        instance
    }

    fn entry(&self) -> String {
        registration(self.address, "stock", 1, "ready", 1)
    }

    fn exit(&self) {
        self.exited.store(true, Ordering::SeqCst);
    }
}

fn serve(id: &str, arrivals: &Arrivals, stream: TcpStream) {
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.message() {
        let request_id = request.header("x-ebonytack-request-id").unwrap_or_default().to_owned();
        let arrival =
            Arrival { instance: id.to_owned(), request_id: request_id.clone(), at: Instant::now() };
        arrivals.lock().unwrap().push(arrival);
        thread::sleep(WORK);
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Ebonytack-Request-Id: {request_id}\r\nX-Ebonytack-Response-Seal: s\r\nContent-Length: 5\r\n\r\ndone\n"
        );
        if reader.stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends orders to a host one after the other, and returns what came back.
fn send_orders(
    recorder: &Recorder,
    address: SocketAddr,
    name: &str,
    stopped: &AtomicBool,
) -> Vec<String> {
    let mut answers = Vec::new();
    let mut connection: Option<Reader> = None;
    let mut number = 0;
    while !stopped.load(Ordering::SeqCst) {
        number += 1;
        let mut reader = match connection.take() {
            Some(reader) => reader,
            None => match TcpStream::connect(address) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                    Reader::new(stream)
                }
                Err(_) => {
                    answers.push("no connection".to_owned());
                    thread::sleep(Duration::from_millis(100));
                    continue;
                }
            },
        };
        let id = format!("{name}-order-{number}");
        let head = request_head("DELETE", "/order/x", &id, DEADLINE_MS, "");
        let sent = reader.stream.write_all(head.as_bytes()).is_ok();
        match reader.message().filter(|_| sent) {
            Some(response) => {
                answers.push(response.status().to_string());
                if response.status() != 200 {
                    recorder.line(format!("{id}: {}", response.status()));
                }
                connection = Some(reader);
            }
            None => {
                answers.push("no answer".to_owned());
                recorder.line(format!("{id}: no answer"));
            }
        }
    }
    answers
}
