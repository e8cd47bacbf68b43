//! Clients on kept connections read their answers slowly for some seconds.

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
/// How fast a client reads at first, without a pause, and for how long.
const SLOW_BYTES_PER_S: f64 = 5_000.0;
const SLOW_FOR: Duration = Duration::from_millis(6_500);
const RECEIVE_BUFFER_BYTES: i32 = 32 * 1024;
/// The longest deadline of the small deployments: that of shipment lookups in Recife.
const DEADLINE_MS: u64 = 10_000;
/// The rule is broken by more than so many requests.
const LOST_MAX: usize = 3;

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
    let host = Host::start(dir, "host-1", store.address, 260);
    if !host.wait_ready(Duration::from_secs(15)) {
        recorder.line("the host did not get ready");
        return NOT_RUN;
    }
    // The machine is in touch after `stabilityS`.
    thread::sleep(Duration::from_secs(4));
    let slow_for = if trouble { SLOW_FOR } else { Duration::ZERO };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, recorder) = (host.callers, recorder.clone());
            thread::spawn(move || orders(&recorder, address, number, slow_for))
        })
        .collect();
    let whole = clients.into_iter().map(|client| client.join().unwrap_or(0));
    let whole: usize = whole.filter(|answers| *answers == 2).count();
    let runs = runs.lock().unwrap();
    run_lines(&runs).iter().for_each(|line| recorder.line(line));
    let second_runs = runs.iter().filter(|run| run.request_id.starts_with("second")).count();
    let lost = CLIENTS - whole;
    recorder.line(format!(
        "{second_runs} of {CLIENTS} orders on kept connections ran, {lost} have no whole answer"
    ));
    if second_runs < CLIENTS {
        return NOT_RUN;
    }
    if lost > LOST_MAX {
        recorder.line("BROKEN: LOST, kept connections were closed without an answer");
        return BROKEN;
    }
    HELD
}

/// Sends two orders one after the other on a connection, and reads the answer to the second one slowly
/// for a while. Returns how many answers were complete.
fn orders(recorder: &Recorder, address: SocketAddr, number: usize, slow_for: Duration) -> usize {
    let Ok(mut stream) = TcpStream::connect(address) else { return 0 };
    limit_receive_buffer(&stream, RECEIVE_BUFFER_BYTES);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(12)));
    for (turn, slow_for) in [("first", Duration::ZERO), ("second", slow_for)] {
        let id = format!("{turn}-{number}");
        let head = request_head("DELETE", "/order/x", &id, DEADLINE_MS, "");
        if stream.write_all(head.as_bytes()).is_err() {
            return 0;
        }
        let started_at = Instant::now();
        let (received, end) = read_answer(&mut stream, started_at, slow_for);
        let seconds = started_at.elapsed().as_secs_f64();
        recorder.line(format!(
            "{id}: {received} of {ANSWER_BYTES} bytes in {seconds:.2} s, then {end}"
        ));
        if received < ANSWER_BYTES {
            return usize::from(turn == "second");
        }
    }
    2
}

/// Returns how many bytes of the body were read, and why reading ended.
fn read_answer(stream: &mut TcpStream, from: Instant, slow_for: Duration) -> (usize, String) {
    let (mut received, mut head_bytes) = (Vec::new(), None);
    let mut buffer = [0; 2 * 1024];
    loop {
        let elapsed = from.elapsed();
        let due = elapsed.as_secs_f64() * SLOW_BYTES_PER_S;
        if elapsed < slow_for && received.len() as f64 > due {
            thread::sleep(Duration::from_millis(10));
            continue;
        }
        let end = match stream.read(&mut buffer) {
            Ok(0) => Some("the end of the connection".to_owned()),
            Ok(count) => {
                received.extend_from_slice(&buffer[..count]);
                None
            }
            Err(error) => Some(error.to_string()),
        };
        if head_bytes.is_none() {
            let end = received.windows(4).position(|part| part == b"\r\n\r\n");
            head_bytes = end.map(|end| end + 4);
        }
        let body = head_bytes.map_or(0, |head| received.len() - head);
        if let Some(end) = end {
            return (body, end);
        }
        if body >= ANSWER_BYTES {
            return (body, "the whole answer".to_owned());
        }
    }
}
