//! From a request's id to its cause, by the logs of several hosts.

use std::collections::BTreeSet;
use std::path::PathBuf;

use serde_json::{Map, Value};

use super::read;
use crate::exit::Failure;

/// How long before and after a request beliefs are shown, in seconds.
const CONTEXT_S: f64 = 5.0;
/// Fields that stand in columns of their own.
const COLUMNS: [&str; 5] = ["time", "host", "part", "event", "request"];

/// A line of a host's log.
struct Line {
    time_s: f64,
    fields: Map<String, Value>,
}

/// Prints what hosts decided on a request, and what they believed meanwhile.
pub(super) fn explain(id: &str, files: &[PathBuf]) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?.lines().filter_map(Line::parse));
    }
    lines.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
    let own: Vec<&Line> = lines.iter().filter(|line| line.text("request") == id).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(Failure::Input(format!("no line of these logs names the request {id:?}")));
    };
    let shown = first.time_s - CONTEXT_S..=last.time_s + CONTEXT_S;
    let instances: BTreeSet<&str> = own.iter().map(|line| line.text("instance")).collect();
    let hosts: BTreeSet<&str> = own.iter().map(|line| line.text("host")).collect();
    for line in lines.iter().filter(|line| shown.contains(&line.time_s)) {
        if line.text("request") == id || line.is_context(&instances, &hosts) {
            println!("{}", line.render(first.time_s));
        }
    }
    println!("{}", conclusion(id, &own));
    Ok(())
}

impl Line {
    /// Parses a line, which may stand behind a prefix. Other lines are no records.
    fn parse(text: &str) -> Option<Self> {
        let object = text.get(text.find('{')?..)?;
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let time_s = fields.get("time")?.as_f64()?;
        Some(Self { time_s, fields })
    }

    /// Returns a field, or nothing when the line does not have it.
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns whether the line tells what was believed of the request's instances, or of the
    /// world by its hosts.
    fn is_context(&self, instances: &BTreeSet<&str>, hosts: &BTreeSet<&str>) -> bool {
        let of_host = hosts.contains(self.text("host"));
        match self.text("event") {
            "instance-changed" | "instance-avoided" => {
                of_host && instances.contains(self.text("instance"))
            }
            "attempt-failed" | "overdue" => instances.contains(self.text("instance")),
            "placed" | "delivered" | "refused" | "abandoned" => false,
            _ => of_host,
        }
    }

    fn render(&self, since_s: f64) -> String {
        let rest = self.fields.iter().filter(|(name, _)| !COLUMNS.contains(&name.as_str()));
        let rest: Vec<String> = rest.map(|(name, value)| format!("{name}={value}")).collect();
        let event = match self.text("event") {
            "" => self.text("part"),
            event => event,
        };
        let (at_s, host) = (self.time_s - since_s, self.text("host"));
        format!("{at_s:>+9.3} s  {host:<22} {event:<22} {}", rest.join(" "))
    }
}

/// Says in a sentence how the request ended.
fn conclusion(id: &str, own: &[&Line]) -> String {
    let ended = |event: &str| own.iter().rev().find(|line| line.text("event") == event);
    let failures = own.iter().filter(|line| line.text("event") == "attempt-failed").count();
    let number = |line: &Line, field: &str| line.fields.get(field).cloned().unwrap_or_default();
    if let Some(line) = ended("delivered") {
        let (status, after) = (number(line, "status"), number(line, "after_ms"));
        let instance = line.text("instance");
        return format!(
            "{id}: status {status} of {instance} after {after} ms, {failures} attempts failed."
        );
    }
    if let Some(line) = ended("refused") {
        return format!(
            "{id}: refused after {} ms ({}, {}): {}; {failures} attempts failed.",
            number(line, "after_ms"),
            line.text("reason"),
            line.text("outcome"),
            line.text("input"),
        );
    }
    match ended("abandoned") {
        Some(line) => format!("{id}: the caller left after {} ms.", number(line, "after_ms")),
        None => format!("{id}: no line tells its end; the host may have been killed."),
    }
}
