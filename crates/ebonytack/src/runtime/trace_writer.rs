//! Records a trace of reducer steps that `ebonyctl replay` can check.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use ebonytack_core::{Identity, TraceHeader, TraceRecord};
use eyre::Result;
use serde::Serialize;

/// Writes a header with the host's identity and then one JSON line per step.
pub(crate) struct TraceWriter {
    out: BufWriter<File>,
}

impl TraceWriter {
    /// Creates or truncates the file and writes the header.
    pub(crate) fn create(path: &Path, identity: &Identity) -> Result<Self> {
        let mut writer = Self { out: BufWriter::new(File::create(path)?) };
        writer.write(&TraceHeader { identity: identity.clone() });
        Ok(writer)
    }

    /// Appends one step. A failed write loses the line but does not affect the request.
    pub(crate) fn append(&mut self, record: &TraceRecord) {
        self.write(record);
    }

    /// Flushes the buffered lines.
    pub(crate) fn close(mut self) {
        if let Err(error) = self.out.flush() {
            log::warn!("trace: cannot write the end of the trace: {error}.");
        }
    }

    fn write(&mut self, line: &impl Serialize) {
        let written = serde_json::to_writer(&mut self.out, line);
        let written = written.map_err(eyre::Report::from);
        let written = written.and_then(|()| Ok(self.out.write_all(b"\n")?));
        if let Err(error) = written {
            log::warn!("trace: cannot write a line: {error}.");
        }
    }
}
