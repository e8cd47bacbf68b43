//! Records a trace that `ebonyctl replay` can check.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use ebonytack_core::{Identity, TraceHeader, TraceRecord};
use eyre::Result;
use serde::Serialize;

/// Writes one JSON line for each step.
pub(crate) struct TraceWriter {
    out: BufWriter<File>,
}

impl TraceWriter {
    /// Creates the file and writes the header.
    pub(crate) fn create(path: &Path, identity: &Identity) -> Result<Self> {
        let mut writer = Self { out: BufWriter::new(File::create(path)?) };
        writer.write(&TraceHeader { identity: identity.clone() });
        Ok(writer)
    }

    /// Appends one step. A write that fails loses the line, never the request.
    pub(crate) fn append(&mut self, record: &TraceRecord) {
        self.write(record);
    }

    /// Writes what is buffered.
    pub(crate) fn close(mut self) {
        if let Err(error) = self.out.flush() {
            log::warn!("trace: the end of the trace was lost: {error}.");
        }
    }

    fn write(&mut self, line: &impl Serialize) {
        let written = serde_json::to_writer(&mut self.out, line);
        let written = written.map_err(eyre::Report::from);
        let written = written.and_then(|()| Ok(self.out.write_all(b"\n")?));
        if let Err(error) = written {
            log::warn!("trace: a line was lost: {error}.");
        }
    }
}
