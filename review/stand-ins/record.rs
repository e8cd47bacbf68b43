//! `record.txt`: what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self { start: Instant::now(), out: Arc::new(Mutex::new(BufWriter::new(file))) })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.now().as_secs_f64());
        let mut out = self.out.lock().expect("no writer panicked");
        out.write_all(line.as_bytes()).expect("record.txt is writable");
        out.flush().expect("record.txt is writable");
    }

    /// Writes a line to `record.txt` and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.write(text);
    }
}
