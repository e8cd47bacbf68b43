//! Recorded traces and their replay.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Effect, Error, ErrorKind, Event, Host, Identity, Result};

/// The first line of a trace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TraceHeader {
    /// Who recorded the trace.
    pub identity: Identity,
}

/// A further line of a trace: one step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TraceRecord {
    /// The time since the host started.
    pub at: Duration,
    /// What happened.
    pub event: Event,
    /// What the step asked for.
    pub effects: Vec<Effect>,
}

/// Replays a trace from the host's start and returns the number of steps.
///
/// # Errors
///
/// The first line that is not readable, or whose effects differ byte for byte.
pub fn replay<'a>(mut lines: impl Iterator<Item = &'a str>) -> Result<usize> {
    let header: TraceHeader = parse(lines.next().unwrap_or_default(), 1)?;
    let mut host = Host::new(header.identity);
    let mut steps = 0;
    for (index, line) in lines.enumerate() {
        let record: TraceRecord = parse(line, index + 2)?;
        let effects = host.step(record.at, record.event);
        let found = encode(&effects, index + 2)?;
        let allowed = encode(&record.effects, index + 2)?;
        if found != allowed {
            let path = format!("line {}", index + 2);
            return Err(Error::new(ErrorKind::TraceMismatch, path, found, allowed));
        }
        steps += 1;
    }
    Ok(steps)
}

/// Encodes effects for the comparison. What cannot be encoded must not compare as equal.
fn encode(effects: &[Effect], number: usize) -> Result<String> {
    serde_json::to_string(effects).map_err(|error| {
        let path = format!("line {number}");
        Error::new(ErrorKind::Syntax, path, error.to_string(), "effects that can be encoded")
    })
}

fn parse<'a, T: Deserialize<'a>>(line: &'a str, number: usize) -> Result<T> {
    serde_json::from_str(line).map_err(|error| {
        let path = format!("line {number}");
        Error::new(ErrorKind::Syntax, path, error.to_string(), "a line of a trace")
    })
}
