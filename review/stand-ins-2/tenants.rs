//! The operator withdraws the only tenant while its client stays connected.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::{
    BROKEN, Configuration, HELD, Host, NOT_RUN, Reader, Recorder, Store, registration, request_head,
};
use crate::instance::{Instance, Run, run_lines};

const INSTANCES: usize = 4;
const WORK: Duration = Duration::from_millis(50);
const HOSTS: usize = 3;
/// `configApplyS`: later requests have to be handled as the newest version says.
const APPLY: Duration = Duration::from_secs(2);
/// For how long requests are sent after that.
const WATCHED: Duration = Duration::from_secs(6);
const DEADLINE_MS: u64 = 1_500;

pub fn run(dir: &Path, recorder: &Recorder, trouble: bool) -> i32 {
    let store = Store::start();
    let first = Configuration { version: 1, keys: &["key-1"], timeout_s: 3.0 };
    store.put("op", "config", Some(&first.to_json()));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    for number in 0..INSTANCES {
        let instance = Instance::start(&format!("i-{number}"), WORK, &runs);
        let entry = registration(instance.address, "stock", 1, "ready", 1);
        store.put("servers", &instance.id, Some(&entry));
    }
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|number| Host::start(dir, &format!("host-{number}"), store.address, 260))
        .collect();
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(15))) {
        recorder.line("a host did not get ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(1));
    let mut clients: Vec<Client> = hosts.iter().map(|host| Client::new(host.callers)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let held = client.order(&format!("before-held-{number}"), "key-1");
        let never = client.order(&format!("before-never-{number}"), "never-held");
        recorder.line(format!("version 1, host {number}: key-1 {held}, never-held {never}"));
        if (held, never) != (200, 401) {
            return NOT_RUN;
        }
    }
    let second = match trouble {
        true => Configuration { version: 2, keys: &[], timeout_s: 3.0 }.without_tenants(),
        // Another version that leaves the tenant as it is.
        false => Configuration { version: 2, keys: &["key-1"], timeout_s: 2.9 }.to_json(),
    };
    store.put("op", "config", Some(&second));
    let acknowledged_at = Instant::now();
    recorder.line(format!("version 2 acknowledged: {second}"));
    thread::sleep(APPLY);
    let mut turn = 0;
    while acknowledged_at.elapsed() < APPLY + WATCHED {
        turn += 1;
        for (number, client) in clients.iter_mut().enumerate() {
            let withdrawn = client.order(&format!("after-held-{number}-{turn}"), "key-1");
            let never = client.order(&format!("after-never-{number}-{turn}"), "never-held");
            recorder.line(format!(
                "{:.1} s after it, host {number}, turn {turn}: key-1 {withdrawn}, never-held {never}",
                acknowledged_at.elapsed().as_secs_f64()
            ));
        }
        thread::sleep(Duration::from_millis(500));
    }
    let runs = runs.lock().unwrap();
    run_lines(&runs).iter().for_each(|line| recorder.line(line));
    let count = |prefix: &str| runs.iter().filter(|run| run.request_id.starts_with(prefix)).count();
    let (withdrawn, never) = (count("after-held"), count("after-never"));
    recorder.line(format!(
        "later than {} s after version 2, in {turn} turns: {withdrawn} orders with key-1 ran, {never} with a key that no version held",
        APPLY.as_secs()
    ));
    if never > 0 || (trouble && withdrawn > 0) {
        recorder.line("BROKEN: ROUTE, a request runs whose key no configuration ever held");
        return BROKEN;
    }
    recorder.line("no order ran with a key that was not held");
    HELD
}

/// A client that keeps its connection open.
struct Client {
    address: SocketAddr,
    reader: Option<Reader>,
}

impl Client {
    fn new(address: SocketAddr) -> Self {
        Self { address, reader: None }
    }

    /// Sends an order and returns the status of its answer; 0 without one.
    fn order(&mut self, id: &str, key: &str) -> u16 {
        let mut reader = match self.reader.take() {
            Some(reader) => reader,
            None => match TcpStream::connect(self.address) {
                Ok(stream) => Reader::new(stream),
                Err(_) => return 0,
            },
        };
        let _ = reader.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 500)));
        let head = request_head("DELETE", "/order/x", id, DEADLINE_MS, "").replace("key-1", key);
        if reader.stream.write_all(head.as_bytes()).is_err() {
            return 0;
        }
        let Some(response) = reader.message() else { return 0 };
        if response.header("connection") != Some("close") {
            self.reader = Some(reader);
        }
        response.status()
    }
}
