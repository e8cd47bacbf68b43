//! Recorded traces of a host's steps, and their replay.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Effect, Error, ErrorKind, Event, Host, Identity, Result};

/// The first line of a trace file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TraceHeader {
    /// The identity with which the host was created.
    pub identity: Identity,
}

/// Any further line of a trace file: one step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TraceRecord {
    /// The time of the step, since the host started.
    pub at: Duration,
    /// The input of the step.
    pub event: Event,
    /// The effects that the step returned.
    pub effects: Vec<Effect>,
}

/// Replays a trace on a new host and returns the number of steps.
///
/// # Errors
///
/// Fails at the first line that cannot be parsed, or whose effects are not byte for byte those of
/// the replayed step.
pub fn replay<'a>(mut lines: impl Iterator<Item = &'a str>) -> Result<usize> {
    let header: TraceHeader = parse(lines.next().unwrap_or_default(), 1)?;
    let mut host = Host::new(header.identity);
    let mut steps = 0;
    for (index, line) in lines.enumerate() {
        let record: TraceRecord = parse(line, index + 2)?;
        let effects = host.step(record.at, record.event);
        let actual = encode(&effects, index + 2)?;
        let expected = encode(&record.effects, index + 2)?;
        if actual != expected {
            let path = format!("line {}", index + 2);
            return Err(Error::new(ErrorKind::TraceMismatch, path, actual, expected));
        }
        steps += 1;
    }
    Ok(steps)
}

/// Encodes effects for the comparison. An encoding failure is an error, so that two steps that
/// cannot be encoded never compare as equal.
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
