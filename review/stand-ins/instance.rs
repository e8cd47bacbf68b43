//! An instance of a service: runs requests in a few slots and records when each began.

use std::collections::HashMap;
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head};
use crate::record::Record;

pub const SLOTS: usize = 4;
/// How many requests wait for a slot before further ones are rejected.
const QUEUE: usize = 16;

/// A run of a request: when it began, and when its response was written.
#[derive(Clone, Debug)]
pub struct Run {
    pub instance: String,
    pub began_at: Duration,
    pub ended_at: Option<Duration>,
}

/// The runs of all instances by request id.
pub type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    work: Arc<Mutex<Duration>>,
    record: Record,
    runs: Runs,
    /// Running and waiting requests.
    load: Arc<(Mutex<(usize, usize)>, Condvar)>,
    /// Whether the instance has exited: it accepts nothing and answers nothing.
    exited: Arc<AtomicBool>,
    /// Whether responses never end; see [`Instance::send_without_end`].
    endless: Arc<AtomicBool>,
}

impl Instance {
    pub fn start(id: &str, work: Duration, record: &Record, runs: &Runs) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let instance = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            work: Arc::new(Mutex::new(work)),
            record: record.clone(),
            runs: Arc::clone(runs),
            load: Arc::default(),
            exited: Arc::default(),
            endless: Arc::default(),
        };
        let server = instance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                // An error ends the connection, as its client sees.
                thread::spawn(move || server.serve(stream).ok());
            }
        });
        Ok(instance)
    }

    /// Exits: connections end, with the requests in work.
    pub fn exit(&self) {
        self.exited.store(true, Ordering::Relaxed);
    }

    pub fn set_endless(&self, endless: bool) {
        self.endless.store(endless, Ordering::Relaxed);
    }

    /// Sets how long each request runs from now on.
    pub fn set_work(&self, work: Duration) {
        *self.work.lock().expect("no thread panicked") = work;
    }

    pub fn registration(&self, service: &str, zone: &str, state: &str, seq: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":1765000000000,\"info\":{{\"service\":\"{service}\",\
             \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{SLOTS}}},\
             \"status\":{{\"state\":\"{state}\",\"seq\":{seq},\"warmupLeftS\":0}}}}",
            self.address
        )
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let _body = read_body(&mut reader, &head)?;
            if self.exited.load(Ordering::Relaxed) {
                return Ok(());
            }
            let text = |name: &str| head.header(name).unwrap_or_default().to_owned();
            let id = text("x-ebonytack-request-id");
            let echo = format!("X-Ebonytack-Request-Id: {id}\r\n");
            if text("x-ebonytack-expect-instance") != self.id {
                let rest = "X-Ebonytack-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                writer.write_all(format!("HTTP/1.1 421 X\r\n{echo}{rest}").as_bytes())?;
                continue;
            }
            let deadline_ms: u64 = text("x-ebonytack-deadline-ms").parse().unwrap_or(0);
            if !self.enter(Instant::now() + Duration::from_millis(deadline_ms)) {
                let rest = "X-Ebonytack-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                writer.write_all(format!("HTTP/1.1 503 X\r\n{echo}{rest}").as_bytes())?;
                continue;
            }
            self.begin(&id, &text("x-ebonytack-tenant"));
            let outcome = if self.endless.load(Ordering::Relaxed) {
                self.send_without_end(&mut writer, &echo)
            } else {
                let work = *self.work.lock().expect("no thread panicked");
                thread::sleep(work);
                if self.exited.load(Ordering::Relaxed) {
                    return Ok(());
                }
                let (running, waiting) = *self.load.0.lock().expect("no thread panicked");
                let body = format!("done by {}\n", self.id);
                let response = format!(
                    "HTTP/1.1 200 OK\r\n{echo}X-Ebonytack-Response-Seal: 3e1b.{id}\r\n\
                     X-Ebonytack-Server-Load: {running},{waiting},{SLOTS}\r\n\
                     Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                writer.write_all(response.as_bytes())
            };
            self.leave();
            self.end(&id);
            outcome?;
        }
        Ok(())
    }

    /// Sends a body without end, until the caller closes the connection.
    fn send_without_end(&self, writer: &mut TcpStream, echo: &str) -> Result<()> {
        const PIECE: usize = 64 * 1024;
        /// The pause that limits a connection to about 10 MB/s, so that twelve share a link of
        /// 1,000 Mbit/s.
        const PAUSE: Duration = Duration::from_millis(6);
        let head = format!("HTTP/1.1 200 OK\r\n{echo}Content-Type: text/plain\r\n\r\n");
        writer.write_all(head.as_bytes())?;
        let piece = vec![b'x'; PIECE];
        loop {
            writer.write_all(&piece)?;
            thread::sleep(PAUSE);
        }
    }

    /// Waits for a slot; returns false when the queue is full or the deadline passes first.
    fn enter(&self, deadline: Instant) -> bool {
        let mut load = self.load.0.lock().expect("no thread panicked");
        if load.0 >= SLOTS && load.1 >= QUEUE {
            return false;
        }
        load.1 += 1;
        while load.0 >= SLOTS {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.1 -= 1;
                return false;
            }
            load = self.load.1.wait_timeout(load, left).expect("no thread panicked").0;
        }
        load.1 -= 1;
        load.0 += 1;
        true
    }

    fn leave(&self) {
        self.load.0.lock().expect("no thread panicked").0 -= 1;
        self.load.1.notify_one();
    }

    fn begin(&self, id: &str, customer: &str) {
        self.record.write(&format!("run     {id} began at {} for {customer:?}", self.id));
        let began_at = self.record.now();
        let run = Run { instance: self.id.clone(), began_at, ended_at: None };
        self.runs.lock().expect("no thread panicked").entry(id.to_owned()).or_default().push(run);
    }

    fn end(&self, id: &str) {
        let now = self.record.now();
        let mut runs = self.runs.lock().expect("no thread panicked");
        let own = runs.get_mut(id).and_then(|runs| runs.iter_mut().find(|r| r.instance == self.id));
        if let Some(run) = own {
            run.ended_at = Some(now);
        }
    }
}
