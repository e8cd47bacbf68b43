//! The log: JSON lines on standard output, written by a dedicated thread.
//!
//! Lines are dropped and counted when the queue is full or the budget of the current second is used
//! up, so that neither a blocked reader nor a high request rate delays the reducer.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ebonytack_gateway::Record;
use eyre::Result;
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use serde::Serialize;

/// The most lines that may wait for the writer.
const QUEUE_LINES: usize = 4_096;
/// The most lines per second for records of placed and delivered requests.
const ORDINARY_LINES_PER_SECOND: u32 = 200;
/// The most lines per second for all other records, which explain failures and changes.
const ESSENTIAL_LINES_PER_SECOND: u32 = 500;
/// How long the writer collects lines before it writes them, to reduce wakeups.
const BATCH_DELAY: Duration = Duration::from_millis(50);
const BUDGET_WINDOW: Duration = Duration::from_secs(1);
/// How long a shutdown waits for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// A log line with the fields that all lines share.
#[derive(Serialize)]
struct Line<'a, T: Serialize> {
    time: f64,
    host: &'a str,
    part: &'a str,
    #[serde(flatten)]
    content: T,
}

/// The content of a line from the `log` macros; other lines hold a [`Record`] of the reducer.
#[derive(Serialize)]
struct Message {
    level: String,
    message: String,
}

/// Reports how many lines were dropped since the last report.
#[derive(Serialize)]
struct DroppedLines {
    message: &'static str,
    lines_left_out: u64,
}

enum Job {
    Write(String),
    Flush(SyncSender<()>),
}

/// Sends log lines to the writer thread.
pub(super) struct LogQueue {
    host: String,
    jobs: SyncSender<Job>,
    budget: RefCell<Budget>,
    dropped: Cell<u64>,
}

/// Counts the lines of the current second.
struct Budget {
    window_start: Instant,
    ordinary: u32,
    essential: u32,
}

impl LogQueue {
    /// Starts the writer thread and installs it as the backend of the `log` macros.
    pub(super) fn start(host: &str) -> Result<Self> {
        let (jobs, received) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&received))?;
        let appender = QueueAppender { host: host.to_owned(), jobs: jobs.clone() };
        let root = Root::builder().appender("queue").build(log::LevelFilter::Info);
        let config = Config::builder()
            .appender(Appender::builder().build("queue", Box::new(appender)))
            .build(root)?;
        log4rs::init_config(config)?;
        let budget =
            RefCell::new(Budget { window_start: Instant::now(), ordinary: 0, essential: 0 });
        Ok(Self { host: host.to_owned(), jobs, budget, dropped: Cell::new(0) })
    }

    /// Queues a record, or drops it when the budget of the current second is used up.
    pub(super) fn write(&self, record: &Record) {
        if !self.budget.borrow_mut().try_take(record.is_essential()) {
            self.dropped.set(self.dropped.get() + 1);
            metrics::counter!("ebonytack_log_lines_left_out_total").increment(1);
            return;
        }
        let dropped = self.dropped.replace(0);
        if dropped > 0 {
            let message = "log: lines were dropped.";
            self.push("log", DroppedLines { message, lines_left_out: dropped });
        }
        self.push(record.part(), record);
    }

    /// Waits until the queued lines are written, for at most [`FLUSH_TIMEOUT`].
    pub(super) fn flush(&self) {
        let (done, finished) = sync_channel(1);
        if self.jobs.try_send(Job::Flush(done)).is_ok() {
            // A timeout means that the reader of standard output is blocked; the remaining lines are
            // lost.
            let _ = finished.recv_timeout(FLUSH_TIMEOUT);
        }
    }

    fn push(&self, part: &str, content: impl Serialize) {
        let line = Line { time: unix_time(), host: &self.host, part, content };
        // A line that cannot be encoded counts as dropped, like one that finds the queue full.
        let encoded = serde_json::to_string(&line).ok().map(|text| Job::Write(text + "\n"));
        if encoded.is_none_or(|job| self.jobs.try_send(job).is_err()) {
            self.dropped.set(self.dropped.get() + 1);
            metrics::counter!("ebonytack_log_lines_left_out_total").increment(1);
        }
    }
}

impl Budget {
    /// Counts a line and returns whether it is within the limit of its kind.
    fn try_take(&mut self, essential: bool) -> bool {
        if self.window_start.elapsed() >= BUDGET_WINDOW {
            *self = Self { window_start: Instant::now(), ordinary: 0, essential: 0 };
        }
        let (used, limit) = match essential {
            true => (&mut self.essential, ESSENTIAL_LINES_PER_SECOND),
            false => (&mut self.ordinary, ORDINARY_LINES_PER_SECOND),
        };
        *used += 1;
        *used <= limit
    }
}

/// Sends the messages of the `log` macros to the writer thread.
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

/// Runs the writer thread until all senders are dropped.
fn write_lines(jobs: &Receiver<Job>) {
    let mut out = std::io::stdout();
    while let Ok(first) = jobs.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        let mut waited = false;
        let mut next = Some(first);
        loop {
            // An error means that the queue is empty or closed; the next `recv` tells which.
            match next.take().or_else(|| jobs.try_recv().ok()) {
                Some(Job::Write(line)) => text.push_str(&line),
                Some(Job::Flush(done)) => {
                    flushes.push(done);
                    waited = true;
                }
                None if waited => break,
                None => {
                    waited = true;
                    std::thread::sleep(BATCH_DELAY);
                }
            }
        }
        // A failed write cannot be reported, since the log itself is broken.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        for done in flushes {
            // The flush may have timed out.
            let _ = done.try_send(());
        }
    }
}

/// Returns the Unix time in seconds, or zero when the clock is before 1970.
fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}
