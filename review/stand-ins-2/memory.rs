//! A crowd of callers whose requests have a large head and a body, all inside the limits, beside
//! ordinary callers on kept connections.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::harness::{
    BROKEN, Configuration, HELD, Host, NOT_RUN, Reader, Recorder, Store, registration,
    request_head, resident_kb,
};
use crate::instance::{Instance, run_lines};

/// The machine of the small deployments.
const MEMORY_MB: u32 = 260;
/// As many as the small deployments have.
const INSTANCES: usize = 33;
const WORK: Duration = Duration::from_millis(550);
/// How many orders the crowd sends. With the disruption all at the same moment.
const CROWD: usize = 1_300;
/// How many the crowd sends at a time without the disruption.
const CROWD_IN_CALM: usize = 16;
/// With the other headers below the limit of 16,384 bytes for a head.
const HEADERS: usize = 60;
const HEADER_BYTES: usize = 235;
const BODY_BYTES: usize = 120_000;
const CROWD_DEADLINE_MS: u64 = 10_000;
/// Ordinary callers, each with a small order at a time on a connection that it keeps.
const ORDINARY: usize = 30;
const ORDINARY_DEADLINE_MS: u64 = 2_500;
/// The rule is broken by more than so many requests.
const LOST_MAX: usize = 3;
/// How long the platform takes to start a process again.
const RESTART: Duration = Duration::from_millis(500);
const STACK_BYTES: usize = 256 * 1024;

pub fn run(dir: &Path, recorder: &Recorder, trouble: bool) -> i32 {
    let store = Store::start();
    let configuration = Configuration { version: 1, keys: &["key-1"], timeout_s: 10.0 };
    store.put("op", "config", Some(&configuration.to_json()));
    let runs = Arc::default();
    for number in 0..INSTANCES {
        let instance = Instance::start(&format!("i-{number}"), WORK, &runs);
        let entry = registration(instance.address, "stock", 1, "ready", 1);
        store.put("servers", &instance.id, Some(&entry));
    }
    let host = Host::start(dir, "host-1", store.address, MEMORY_MB);
    if !host.wait_ready(Duration::from_secs(15)) {
        recorder.line("the host did not get ready");
        return NOT_RUN;
    }
    recorder.line(format!("host ready, resident {} KB of {MEMORY_MB} MiB", host.resident_kb()));
    let callers = host.callers;
    let stopped = Arc::new(AtomicBool::new(false));
    let ended = Arc::new(AtomicBool::new(false));
    let platform = watch(host, recorder.clone(), Arc::clone(&ended));
    let ordinary: Vec<_> = (0..ORDINARY)
        .map(|number| {
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || ordinary_caller(callers, number, &stopped))
        })
        .collect();
    // The machine is in touch after `stabilityS`.
    thread::sleep(Duration::from_secs(4));
    let at_once = if trouble { CROWD } else { CROWD_IN_CALM };
    recorder.line(format!(
        "{CROWD} orders, {at_once} at a time, {HEADERS} further headers of {HEADER_BYTES} bytes and {BODY_BYTES} bytes of body each"
    ));
    let answers = crowd(callers, at_once);
    let mut counts = BTreeMap::new();
    for (number, answer) in &answers {
        recorder.line(format!("order crowd-{number}: {answer}"));
        *counts.entry(answer.clone()).or_insert(0) += 1;
    }
    stopped.store(true, Ordering::SeqCst);
    let orders: Vec<Order> =
        ordinary.into_iter().flat_map(|caller| caller.join().unwrap_or_default()).collect();
    ended.store(true, Ordering::SeqCst);
    let (peak_kb, kills) = platform.join().unwrap_or_default();
    let runs = runs.lock().unwrap();
    run_lines(&runs).iter().for_each(|line| recorder.line(line));
    let ran: BTreeSet<&str> = runs.iter().map(|run| run.request_id.as_str()).collect();
    let mut lost = 0;
    let mut ordinary_counts = BTreeMap::new();
    for Order { id, is_first, answer } in orders {
        *ordinary_counts.entry(answer.clone()).or_insert(0) += 1;
        if answer == NO_ANSWER && !is_first && ran.contains(id.as_str()) {
            lost += 1;
            recorder.line(format!("{id} ran, and its connection ended without an answer"));
        }
    }
    recorder.line(format!("answers to the crowd: {counts:?}"));
    recorder.line(format!("answers to ordinary callers: {ordinary_counts:?}"));
    recorder.line(format!("resident at most {peak_kb} KB, killed {kills} times"));
    recorder.line(format!("{lost} ordinary orders on kept connections ran and were lost"));
    if lost > LOST_MAX {
        recorder.line("BROKEN: LOST, and the process exceeds the memory of its machine");
        return BROKEN;
    }
    HELD
}

/// Stands for the platform: kills the host when it exceeds its memory, and starts it again. Returns the
/// most memory that was seen, in KB, and how often the host was killed.
fn watch(mut host: Host, recorder: Recorder, stopped: Arc<AtomicBool>) -> JoinHandle<(u64, u32)> {
    thread::spawn(move || {
        let (mut peak_kb, mut kills) = (0, 0);
        while !stopped.load(Ordering::SeqCst) {
            let resident_kb = resident_kb(host.pid());
            peak_kb = resident_kb.max(peak_kb);
            if resident_kb > u64::from(MEMORY_MB) * 1_024 {
                host.signal("KILL");
                kills += 1;
                recorder.line(format!("the platform kills the host at {resident_kb} KB"));
                thread::sleep(RESTART);
                host.restart();
            }
            thread::sleep(Duration::from_millis(5));
        }
        (peak_kb, kills)
    })
}

/// Sends the crowd's orders and returns their answers in order.
fn crowd(address: SocketAddr, at_once: usize) -> Vec<(usize, String)> {
    let next = Arc::new(AtomicU64::new(0));
    let start = Arc::new(Barrier::new(at_once));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..at_once)
        .map(|_| {
            let (next, start) = (Arc::clone(&next), Arc::clone(&start));
            let answers = Arc::clone(&answers);
            let call = move || {
                let mut connection = TcpStream::connect(address).ok();
                start.wait();
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst) as usize;
                    if number >= CROWD {
                        return;
                    }
                    let connection = connection.take().or_else(|| TcpStream::connect(address).ok());
                    let answer = crowd_order(connection, number);
                    answers.lock().unwrap().push((number, answer));
                }
            };
            // The connections are opened one after the other, so that none finds the queue full.
            thread::sleep(Duration::from_millis(1));
            thread::Builder::new().stack_size(STACK_BYTES).spawn(call).expect("a thread starts")
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    let mut answers = answers.lock().unwrap().clone();
    answers.sort();
    answers
}

const NO_ANSWER: &str = "no answer";

/// Sends an order with a large head and a body, and returns what came back.
fn crowd_order(connection: Option<TcpStream>, number: usize) -> String {
    let mut extra = format!("Content-Length: {BODY_BYTES}\r\n");
    for header in 0..HEADERS {
        extra.push_str(&format!("X-Header-{header}: {}\r\n", "v".repeat(HEADER_BYTES)));
    }
    let id = format!("crowd-{number}");
    let head = request_head("POST", "/order/x", &id, CROWD_DEADLINE_MS, &extra);
    let Some(stream) = connection else { return "no connection".to_owned() };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(CROWD_DEADLINE_MS + 2_000)));
    let mut reader = Reader::new(stream);
    let body = vec![b'b'; BODY_BYTES];
    // A refusal may arrive before the body is sent.
    let sent =
        reader.stream.write_all(head.as_bytes()).and_then(|()| reader.stream.write_all(&body));
    match reader.message() {
        Some(response) => response.status().to_string(),
        None if sent.is_err() => "connection ended while sending".to_owned(),
        None => NO_ANSWER.to_owned(),
    }
}

/// An order of an ordinary caller.
struct Order {
    id: String,
    /// Whether it was the first one on its connection.
    is_first: bool,
    answer: String,
}

/// Sends small orders one after the other, as long as the connection lasts on the same one.
fn ordinary_caller(address: SocketAddr, number: usize, stopped: &AtomicBool) -> Vec<Order> {
    let mut orders = Vec::new();
    let mut connection: Option<Reader> = None;
    let started_at = Instant::now();
    while !stopped.load(Ordering::SeqCst) && started_at.elapsed() < Duration::from_secs(100) {
        let is_first = connection.is_none();
        let mut reader = match connection.take() {
            Some(reader) => reader,
            None => match TcpStream::connect(address) {
                Ok(stream) => {
                    let limit = Duration::from_millis(ORDINARY_DEADLINE_MS + 1_000);
                    let _ = stream.set_read_timeout(Some(limit));
                    Reader::new(stream)
                }
                Err(_) => {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                }
            },
        };
        let id = format!("ordinary-{number}-{}", orders.len());
        let head = request_head("DELETE", "/order/x", &id, ORDINARY_DEADLINE_MS, "");
        let sent = reader.stream.write_all(head.as_bytes()).is_ok();
        let answer = match reader.message().filter(|_| sent) {
            Some(response) => {
                if response.header("connection") != Some("close") {
                    connection = Some(reader);
                }
                if response.status() != 200 {
                    thread::sleep(Duration::from_millis(100));
                }
                response.status().to_string()
            }
            None => NO_ANSWER.to_owned(),
        };
        orders.push(Order { id, is_first, answer });
    }
    orders
}
