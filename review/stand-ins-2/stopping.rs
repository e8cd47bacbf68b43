//! A host is stopped as planned while clients that send requests ahead still read their answers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::{
    BROKEN, Configuration, HELD, Host, NOT_RUN, Recorder, Store, registration, request_head,
};
use crate::instance::{Instance, Run, run_lines};
use crate::socket::limit_receive_buffer;

const INSTANCES: usize = 4;
const WORK: Duration = Duration::from_millis(50);
const CLIENTS: usize = 8;
const ANSWER_BYTES: usize = 300_000;
/// How fast a client reads. It then has the whole answer in 4.2 s, well within `graceS` (6 s) and its
/// deadline.
const BYTES_PER_S: f64 = 75_000.0;
const RECEIVE_BUFFER_BYTES: i32 = 16 * 1024;
/// The longest deadline of the small deployments: that of shipment lookups in Recife.
const DEADLINE_MS: u64 = 10_000;
/// When the host is stopped, after the clients' first requests.
const STOP_AT: Duration = Duration::from_millis(200);
/// When the clients send their next requests, after their first ones.
const NEXT_AT: Duration = Duration::from_millis(3_500);

pub fn run(dir: &Path, recorder: &Recorder, trouble: bool) -> i32 {
    let store = Store::start();
    let configuration = Configuration { version: 1, keys: &["key-1"], timeout_s: 10.0 };
    store.put("op", "config", Some(&configuration.to_json()));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    for number in 0..INSTANCES {
        let id = format!("i-{number}");
        let instance = Instance::start_with_answer(&id, WORK, ANSWER_BYTES, &runs);
        let entry = registration(instance.address, "stock", 1, "ready", 1);
        store.put("servers", &instance.id, Some(&entry));
    }
    let mut host = Host::start(dir, "host-1", store.address, 260);
    if !host.wait_ready(Duration::from_secs(15)) {
        recorder.line("the host did not get ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(1));
    let started_at = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, recorder) = (host.callers, recorder.clone());
            thread::spawn(move || lookups(&recorder, address, number))
        })
        .collect();
    thread::sleep(STOP_AT);
    if trouble {
        host.signal("TERM");
        recorder.line("SIGTERM");
        while !host.has_ended() && started_at.elapsed() < Duration::from_secs(12) {
            thread::sleep(Duration::from_millis(20));
        }
        let after = started_at.elapsed() - STOP_AT;
        recorder.line(format!("the process ended {:.2} s after SIGTERM", after.as_secs_f64()));
    }
    let mut lost = 0;
    for client in clients {
        let first_is_whole = client.join().unwrap_or(false);
        lost += u32::from(!first_is_whole);
    }
    let runs = runs.lock().unwrap();
    run_lines(&runs).iter().for_each(|line| recorder.line(line));
    let first_runs = runs.iter().filter(|run| run.request_id.starts_with("first")).count();
    recorder
        .line(format!("{first_runs} of {CLIENTS} first requests ran, {lost} have no whole answer"));
    match (first_runs == CLIENTS, lost) {
        (false, _) => NOT_RUN,
        (true, 0) => HELD,
        (true, _) => {
            recorder
                .line("BROKEN: LOST, answers to requests that ran were cut off by a planned stop");
            BROKEN
        }
    }
}

/// Sends a lookup, reads its answer slowly, and sends the next lookup before the answer is complete.
/// Returns whether the answer to the first one was complete.
fn lookups(recorder: &Recorder, address: SocketAddr, number: usize) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    limit_receive_buffer(&stream, RECEIVE_BUFFER_BYTES);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(12)));
    let send = |stream: &mut TcpStream, id: &str| {
        stream.write_all(request_head("GET", "/lookup/x", id, DEADLINE_MS, "").as_bytes()).is_ok()
    };
    if !send(&mut stream, &format!("first-{number}")) {
        return false;
    }
    let started_at = Instant::now();
    let (mut received, mut head_bytes) = (Vec::new(), None);
    let mut next_sent = false;
    let mut buffer = [0; 4 * 1024];
    let end = loop {
        let elapsed = started_at.elapsed();
        if !next_sent && elapsed >= NEXT_AT {
            next_sent = true;
            let sent = send(&mut stream, &format!("next-{number}"));
            recorder.line(format!(
                "client {number}: next request sent {sent}, with {} bytes of the first answer read",
                received.len()
            ));
        }
        if received.len() as f64 > elapsed.as_secs_f64() * BYTES_PER_S {
            thread::sleep(Duration::from_millis(10));
            continue;
        }
        match stream.read(&mut buffer) {
            Ok(0) => break "the end of the connection".to_owned(),
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(error) => break error.to_string(),
        }
        if head_bytes.is_none() {
            let end = received.windows(4).position(|part| part == b"\r\n\r\n");
            head_bytes = end.map(|end| end + 4);
        }
        if head_bytes.is_some_and(|head| received.len() >= head + ANSWER_BYTES) {
            break "the whole answer".to_owned();
        }
    };
    let body = received.len() - head_bytes.unwrap_or(0).min(received.len());
    recorder.line(format!(
        "client {number}: {body} of {ANSWER_BYTES} bytes in {:.2} s, then {end}",
        started_at.elapsed().as_secs_f64()
    ));
    body >= ANSWER_BYTES
}
