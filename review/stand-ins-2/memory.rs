//! A crowd of callers whose requests have a large head and a body, all inside the limits.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::{
    BROKEN, Configuration, HELD, Host, NOT_RUN, Reader, Recorder, Store, registration, request_head,
};
use crate::instance::{Instance, run_lines};

/// The machine of the small deployments.
const MEMORY_MB: u32 = 260;
/// As many as the small deployments have.
const INSTANCES: usize = 33;
const WORK: Duration = Duration::from_millis(550);
const CALLERS: usize = 1_300;
/// With the other headers below the limit of 16,384 bytes for a head.
const HEADERS: usize = 60;
const HEADER_BYTES: usize = 235;
const BODY_BYTES: usize = 120_000;
const DEADLINE_MS: u64 = 10_000;
/// How many callers send at the same time without the disruption.
const CALM_CALLERS: usize = 16;

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
    let mut host = Host::start(dir, "host-1", store.address, MEMORY_MB);
    if !host.wait_ready(Duration::from_secs(15)) {
        recorder.line("the host did not get ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(1));
    recorder.line(format!("host ready, resident {} KB of {MEMORY_MB} MB", host.resident_kb()));
    let watch = Watch::start(&host);
    let answers = Arc::new(Mutex::new(Vec::new()));
    let at_once = if trouble { CALLERS } else { CALM_CALLERS };
    recorder.line(format!(
        "{CALLERS} orders, {at_once} at a time, {HEADERS} further headers of {HEADER_BYTES} bytes and {BODY_BYTES} bytes of body each"
    ));
    let (next, start) = (Arc::new(AtomicU64::new(0)), Arc::new(Barrier::new(at_once)));
    let callers: Vec<_> = (0..at_once)
        .map(|_| {
            let (next, start) = (Arc::clone(&next), Arc::clone(&start));
            let (answers, address) = (Arc::clone(&answers), host.callers);
            let call = move || {
                let mut connection = TcpStream::connect(address).ok();
                start.wait();
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number >= CALLERS as u64 {
                        return;
                    }
                    let connection = connection.take().or_else(|| TcpStream::connect(address).ok());
                    let answer = order(connection, number);
                    answers.lock().unwrap().push((number, answer));
                }
            };
            // The connections are opened one after the other, so that none finds the queue full.
            thread::sleep(Duration::from_millis(1));
            thread::Builder::new().stack_size(256 * 1024).spawn(call).expect("a thread starts")
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    let peak_kb = watch.stop();
    let mut counts = BTreeMap::new();
    let mut answers = answers.lock().unwrap();
    answers.sort();
    for (number, answer) in answers.iter() {
        recorder.line(format!("order r-{number}: {answer}"));
        *counts.entry(answer.clone()).or_insert(0) += 1;
    }
    run_lines(&runs.lock().unwrap()).iter().for_each(|line| recorder.line(line));
    recorder.line(format!("answers: {counts:?}; {} runs at instances", runs.lock().unwrap().len()));
    recorder.line(format!("resident at most {peak_kb} KB"));
    let ended = host.has_ended();
    recorder.line(format!("host ended: {ended}"));
    if ended || peak_kb * 1_024 > u64::from(MEMORY_MB) * 1_000_000 {
        recorder
            .line("BROKEN: the platform kills a process that exceeds the memory of its machine");
        return BROKEN;
    }
    recorder.line("the process stayed within the memory of its machine");
    HELD
}

/// Sends an order and returns what came back.
fn order(connection: Option<TcpStream>, number: u64) -> String {
    let mut extra = format!("Content-Length: {BODY_BYTES}\r\n");
    for header in 0..HEADERS {
        extra.push_str(&format!("X-Header-{header}: {}\r\n", "v".repeat(HEADER_BYTES)));
    }
    let head = request_head("POST", "/order/x", &format!("r-{number}"), DEADLINE_MS, &extra);
    let Some(stream) = connection else { return "no connection".to_owned() };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 2_000)));
    let mut reader = Reader::new(stream);
    let body = vec![b'b'; BODY_BYTES];
    // A refusal may arrive before the body is sent.
    let sent =
        reader.stream.write_all(head.as_bytes()).and_then(|()| reader.stream.write_all(&body));
    match reader.message() {
        Some(response) => response.status().to_string(),
        None if sent.is_err() => "connection ended while sending".to_owned(),
        None => "no answer".to_owned(),
    }
}

/// Watches the resident memory of a host.
pub struct Watch {
    peak_kb: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl Watch {
    pub fn start(host: &Host) -> Self {
        let (peak_kb, stopped) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let (peak, stop, pid) = (Arc::clone(&peak_kb), Arc::clone(&stopped), host.pid());
        thread::spawn(move || {
            let started_at = Instant::now();
            while !stop.load(Ordering::SeqCst) && started_at.elapsed() < Duration::from_secs(100) {
                peak.fetch_max(crate::harness::resident_kb(pid), Ordering::SeqCst);
                thread::sleep(Duration::from_millis(20));
            }
        });
        Self { peak_kb, stopped }
    }

    /// Returns the most that was seen.
    pub fn stop(self) -> u64 {
        self.stopped.store(true, Ordering::SeqCst);
        self.peak_kb.load(Ordering::SeqCst)
    }
}
