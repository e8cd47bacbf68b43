//! An instance with slots and a queue, as the users' pages describe them.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::harness::{Message, Reader};

const SLOTS: usize = 4;
/// How many requests wait beyond those in the slots.
const QUEUE: usize = 16;
const STACK_BYTES: usize = 256 * 1024;

/// A request that an instance began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub instance: String,
    pub request_id: String,
}

/// Returns the ids of the requests that each instance ran, as one line an instance.
pub fn run_lines(runs: &[Run]) -> Vec<String> {
    let mut by_instance: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in runs {
        by_instance.entry(&run.instance).or_default().push(&run.request_id);
    }
    let line = |(instance, ids): (&str, Vec<&str>)| format!("{instance} ran {}", ids.join(" "));
    by_instance.into_iter().map(line).collect()
}

/// An instance that runs each request for a fixed time and then answers with status 200.
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

impl Instance {
    pub fn start(id: &str, work: Duration, runs: &Arc<Mutex<Vec<Run>>>) -> Self {
        Self::start_with_answer(id, work, 5, runs)
    }

    /// Starts an instance whose answers have bodies of `answer_bytes`.
    pub fn start_with_answer(
        id: &str,
        work: Duration,
        answer_bytes: usize,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let load = Arc::new((Mutex::new(Load::default()), Condvar::new()));
        let (own_id, runs) = (id.to_owned(), Arc::clone(runs));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, load, runs) = (own_id.clone(), Arc::clone(&load), Arc::clone(&runs));
                let serve = move || {
                    let mut reader = Reader::new(stream);
                    while let Some(request) = reader.message() {
                        if !request.complete {
                            return;
                        }
                        let response = answer(&id, &load, &runs, &request, (work, answer_bytes));
                        if reader.stream.write_all(response.as_bytes()).is_err() {
                            return;
                        }
                    }
                };
                let _ = thread::Builder::new().stack_size(STACK_BYTES).spawn(serve);
            }
        });
        Self { id: id.to_owned(), address }
    }
}

fn answer(
    id: &str,
    load: &(Mutex<Load>, Condvar),
    runs: &Mutex<Vec<Run>>,
    request: &Message,
    (work, answer_bytes): (Duration, usize),
) -> String {
    let request_id = request.header("x-ebonytack-request-id").unwrap_or_default();
    let common = |load: &Load| {
        format!(
            "X-Ebonytack-Request-Id: {request_id}\r\nX-Ebonytack-Server-Load: {},{},{SLOTS}\r\n",
            load.running, load.waiting
        )
    };
    if request.header("x-ebonytack-expect-instance").is_some_and(|expected| expected != id) {
        return format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Ebonytack-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
        );
    }
    let mut locked = load.0.lock().unwrap();
    if locked.running == SLOTS && locked.waiting == QUEUE {
        return format!(
            "HTTP/1.1 503 Service Unavailable\r\n{}X-Ebonytack-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
            common(&locked)
        );
    }
    locked.waiting += 1;
    while locked.running == SLOTS {
        locked = load.1.wait(locked).unwrap();
    }
    locked.waiting -= 1;
    locked.running += 1;
    drop(locked);
    runs.lock().unwrap().push(Run { instance: id.to_owned(), request_id: request_id.to_owned() });
    thread::sleep(work);
    let mut locked = load.0.lock().unwrap();
    locked.running -= 1;
    load.1.notify_one();
    format!(
        "HTTP/1.1 200 OK\r\n{}X-Ebonytack-Response-Seal: seal-{request_id}\r\nContent-Length: {answer_bytes}\r\n\r\n{}",
        common(&locked),
        "a".repeat(answer_bytes)
    )
}
