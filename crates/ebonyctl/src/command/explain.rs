//! `explain`: reconstructs how a request was handled from the logs of several hosts.

use std::collections::BTreeSet;
use std::path::PathBuf;

use serde_json::{Map, Value};

use super::read_file;
use crate::failure::Failure;

/// Seconds of context shown before the request's first log line and after its last one.
const CONTEXT_S: f64 = 5.0;
/// Fields that `render` does not print as `name=value`.
const HIDDEN_FIELDS: [&str; 5] = ["time", "host", "part", "event", "request"];

/// A structured line of a host's log.
struct Line {
    time_s: f64,
    fields: Map<String, Value>,
}

/// Prints the log lines of a request, its context and a one-line summary.
///
/// The context is what hosts logged within [`CONTEXT_S`] of the request about the instances
/// involved and the state of the fleet.
pub(super) fn explain(id: &str, files: &[PathBuf]) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_file(file)?.lines().filter_map(Line::parse));
    }
    lines.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
    let request_lines: Vec<&Line> =
        lines.iter().filter(|line| line.text("request") == id).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Err(Failure::InvalidInput(format!("no log line mentions request {id:?}")));
    };
    let shown_period = first.time_s - CONTEXT_S..=last.time_s + CONTEXT_S;
    let instances: BTreeSet<&str> =
        request_lines.iter().map(|line| line.text("instance")).collect();
    let hosts: BTreeSet<&str> = request_lines.iter().map(|line| line.text("host")).collect();
    for line in lines.iter().filter(|line| shown_period.contains(&line.time_s)) {
        if line.text("request") == id || line.is_context(&instances, &hosts) {
            println!("{}", line.render(first.time_s));
        }
    }
    println!("{}", summary(id, &request_lines));
    Ok(())
}

impl Line {
    /// Parses a JSON record, skipping any text before it; returns `None` for other lines.
    fn parse(text: &str) -> Option<Self> {
        let object = text.get(text.find('{')?..)?;
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let time_s = fields.get("time")?.as_f64()?;
        Some(Self { time_s, fields })
    }

    /// Returns a string field, or an empty string if it is absent or of another type.
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns whether the line is about the request's instances, or about the fleet as the hosts
    /// that handled the request saw it.
    fn is_context(&self, instances: &BTreeSet<&str>, hosts: &BTreeSet<&str>) -> bool {
        let from_host = hosts.contains(self.text("host"));
        match self.text("event") {
            "instance-changed"
            | "instance-entry-ignored"
            | "instance-paused"
            | "instance-avoided" => from_host && instances.contains(self.text("instance")),
            "attempt-failed" | "overdue" => instances.contains(self.text("instance")),
            "placed" | "delivered" | "refused" | "abandoned" => false,
            _ => from_host,
        }
    }

    fn render(&self, since_s: f64) -> String {
        let shown_fields =
            self.fields.iter().filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()));
        let pairs: Vec<String> =
            shown_fields.map(|(name, value)| format!("{name}={value}")).collect();
        let event = match self.text("event") {
            "" => self.text("part"),
            event => event,
        };
        let (at_s, host) = (self.time_s - since_s, self.text("host"));
        format!("{at_s:>+9.3} s  {host:<22} {event:<22} {}", pairs.join(" "))
    }
}

/// Summarises in one sentence how the request ended.
fn summary(id: &str, request_lines: &[&Line]) -> String {
    let last_line =
        |event: &str| request_lines.iter().rev().find(|line| line.text("event") == event);
    let failures =
        request_lines.iter().filter(|line| line.text("event") == "attempt-failed").count();
    let field_value =
        |line: &Line, field: &str| line.fields.get(field).cloned().unwrap_or_default();
    if let Some(line) = last_line("delivered") {
        let (status, after) = (field_value(line, "status"), field_value(line, "after_ms"));
        let instance = line.text("instance");
        return format!(
            "{id}: status {status} from {instance} after {after} ms; {failures} attempts failed."
        );
    }
    if let Some(line) = last_line("refused") {
        return format!(
            "{id}: refused after {} ms ({}, {}): {}; {failures} attempts failed.",
            field_value(line, "after_ms"),
            line.text("reason"),
            line.text("outcome"),
            line.text("input"),
        );
    }
    match last_line("abandoned") {
        Some(line) => {
            format!("{id}: the caller disconnected after {} ms.", field_value(line, "after_ms"))
        }
        None => format!("{id}: no log line records how it ended; the host may have been killed."),
    }
}
