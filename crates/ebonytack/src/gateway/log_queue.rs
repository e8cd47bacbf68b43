//! The log: JSON lines on standard output, written by a thread of their own.
//!
//! A line that finds the queue full, or its second's share used up, is left out and counted, so
//! that neither a blocked reader nor a flood of requests holds up the reducer.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ebonytack_gateway::Record;
use eyre::Result;
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use serde::Serialize;

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 4_096;
/// Lines a second on requests that go well.
const ORDINARY_LINES_PER_SECOND: u32 = 200;
/// Lines a second on everything else.
const VITAL_LINES_PER_SECOND: u32 = 500;
/// How long the writer gathers lines, so that it wakes up seldom.
const GATHER_TIME: Duration = Duration::from_millis(50);
const BUDGET_WINDOW: Duration = Duration::from_secs(1);
/// How long a stop waits for the last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// One line.
#[derive(Serialize)]
struct Line<'a, T: Serialize> {
    time: f64,
    host: &'a str,
    part: &'a str,
    #[serde(flatten)]
    content: T,
}

/// A message that is no record.
#[derive(Serialize)]
struct Message {
    level: String,
    message: String,
}

/// Lines that were left out.
#[derive(Serialize)]
struct LeftOut {
    message: &'static str,
    lines_left_out: u64,
}

enum Job {
    Write(String),
    Flush(SyncSender<()>),
}

/// The way to the writer.
pub(super) struct LogQueue {
    host: String,
    jobs: SyncSender<Job>,
    budget: RefCell<Budget>,
    left_out: Cell<u64>,
}

/// What may be written in the current second.
struct Budget {
    since: Instant,
    ordinary: u32,
    vital: u32,
}

impl LogQueue {
    /// Starts the writer and directs the program's messages to it.
    pub(super) fn start(host: &str) -> Result<Self> {
        let (jobs, received) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&received))?;
        let appender = QueueAppender { host: host.to_owned(), jobs: jobs.clone() };
        let root = Root::builder().appender("queue").build(log::LevelFilter::Info);
        let config = Config::builder()
            .appender(Appender::builder().build("queue", Box::new(appender)))
            .build(root)?;
        log4rs::init_config(config)?;
        let budget = RefCell::new(Budget { since: Instant::now(), ordinary: 0, vital: 0 });
        Ok(Self { host: host.to_owned(), jobs, budget, left_out: Cell::new(0) })
    }

    /// Writes a record, or leaves it out when too many were written in this second.
    pub(super) fn write(&self, record: &Record) {
        if !self.budget.borrow_mut().take(record.is_essential()) {
            self.left_out.set(self.left_out.get() + 1);
            metrics::counter!("ebonytack_log_lines_left_out_total").increment(1);
            return;
        }
        let left_out = self.left_out.replace(0);
        if left_out > 0 {
            let message = "log: lines were left out.";
            self.push("log", LeftOut { message, lines_left_out: left_out });
        }
        self.push(record.part(), record);
    }

    /// Waits a moment for the last lines.
    pub(super) fn flush(&self) {
        let (done, finished) = sync_channel(1);
        if self.jobs.try_send(Job::Flush(done)).is_ok() {
            // Without an answer the reader of the log is blocked, and nothing more can be done.
            let _ = finished.recv_timeout(FLUSH_TIMEOUT);
        }
    }

    fn push(&self, part: &str, content: impl Serialize) {
        let line = Line { time: unix_time(), host: &self.host, part, content };
        // A line that cannot be encoded is counted with those that found the writer busy.
        let written = serde_json::to_string(&line).ok().map(|text| Job::Write(text + "\n"));
        if written.is_none_or(|job| self.jobs.try_send(job).is_err()) {
            self.left_out.set(self.left_out.get() + 1);
            metrics::counter!("ebonytack_log_lines_left_out_total").increment(1);
        }
    }
}

impl Budget {
    fn take(&mut self, vital: bool) -> bool {
        if self.since.elapsed() >= BUDGET_WINDOW {
            *self = Self { since: Instant::now(), ordinary: 0, vital: 0 };
        }
        let (used, most) = match vital {
            true => (&mut self.vital, VITAL_LINES_PER_SECOND),
            false => (&mut self.ordinary, ORDINARY_LINES_PER_SECOND),
        };
        *used += 1;
        *used <= most
    }
}

/// Directs the program's messages to the writer.
#[derive(Debug)]
struct QueueAppender {
    host: String,
    jobs: SyncSender<Job>,
}

impl std::fmt::Debug for Job {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Job(..)")
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let message = record.args().to_string();
        let part = message.split_once(':').map_or("host", |(part, _)| part).to_owned();
        let content = Message { level: record.level().to_string(), message };
        let line = Line { time: unix_time(), host: &self.host, part: &part, content };
        let text = serde_json::to_string(&line)? + "\n";
        if self.jobs.try_send(Job::Write(text)).is_err() {
            metrics::counter!("ebonytack_log_lines_left_out_total").increment(1);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write_lines(jobs: &Receiver<Job>) {
    let mut out = std::io::stdout();
    while let Ok(first) = jobs.recv() {
        let mut text = String::new();
        let mut waiting = Vec::new();
        let mut gathered = false;
        let mut next = Some(first);
        loop {
            // No further job is waiting, or the queue is closed, which the next receive shows.
            match next.take().or_else(|| jobs.try_recv().ok()) {
                Some(Job::Write(line)) => text.push_str(&line),
                Some(Job::Flush(done)) => {
                    waiting.push(done);
                    gathered = true;
                }
                None if gathered => break,
                None => {
                    gathered = true;
                    std::thread::sleep(GATHER_TIME);
                }
            }
        }
        // The reader of the log has gone; there is nowhere left to report that.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        for done in waiting {
            // The process may have stopped waiting.
            let _ = done.try_send(());
        }
    }
}

/// Returns the time of day in seconds; a clock before 1970 counts as zero.
fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}
