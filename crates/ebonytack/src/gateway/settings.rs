//! Settings of a host that runs in `gateway` mode.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ebonytack_adapter::Bounds;
use serde::Deserialize;

use crate::settings::{Fault, SettingsError};

const SECRET_MIN_BYTES: usize = 16;
const CONNECTIONS_MIN: usize = 16;
/// A host without any request holds 12 to 20 MB, and needs some for small requests.
const MEMORY_MIN_MB: usize = 48;
/// What a caller on a slow line reads.
const CALLER_RATE_MIN_DEFAULT_BYTES_PER_S: usize = 4_096;
/// A caller that reads at this rate keeps full buffers of 128 KiB for eight minutes.
const CALLER_RATE_MIN_LOWEST_BYTES_PER_S: usize = 256;
/// 200 descriptors are kept for files; sockets share the rest.
const DESCRIPTORS_MIN: usize = 256;

/// The JSON settings before validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawGatewaySettings {
    name: String,
    data_centre: String,
    listen: RawListen,
    store_address: String,
    fleet_secret: String,
    caller_connections: usize,
    /// The memory of the machine, in MB.
    #[serde(default)]
    memory_mb: Option<usize>,
    /// The process' limit of open descriptors.
    #[serde(default)]
    descriptors: Option<usize>,
    /// The least rate at which callers read their responses, in bytes per second.
    #[serde(default)]
    caller_rate_min_bytes_per_s: Option<usize>,
    /// Whether all hosts start together for the first time.
    #[serde(default)]
    first_start: bool,
    /// Limits for retries, customers' rates and shutdown, each as `name=number`.
    #[serde(default)]
    bounds: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawListen {
    callers: String,
    ready: String,
    peers: String,
    /// An additional address for metrics, which the `ready` listener serves in any case.
    #[serde(default)]
    metrics: Option<String>,
}

/// A validated settings file.
#[derive(Clone, Debug)]
pub(crate) struct SettingsFile {
    pub(super) path: PathBuf,
    /// The file's text, compared at reload to detect changes.
    pub(super) text: String,
    pub(super) name: String,
    pub(super) data_centre: String,
    pub(super) callers: SocketAddr,
    pub(super) ready: SocketAddr,
    pub(super) peers: SocketAddr,
    /// An additional address for metrics, which the `ready` listener serves in any case.
    pub(super) metrics: Option<SocketAddr>,
    pub(super) store: SocketAddr,
    pub(super) fleet_secret: String,
    pub(super) caller_connections: usize,
    /// The memory of the machine, in MB; `None` when it is unknown.
    pub(super) memory_mb: Option<usize>,
    /// The process' limit of open descriptors; `None` when it is unknown.
    pub(super) descriptors: Option<usize>,
    /// The least rate at which callers read their responses, in bytes per second.
    pub(super) caller_rate_min_bytes_per_s: usize,
    /// Whether all hosts start together for the first time, before callers send requests.
    pub(super) first_start: bool,
    pub(super) bounds: Bounds,
}

impl SettingsFile {
    /// Reads and validates a settings file.
    pub(crate) fn load(path: &Path) -> Result<Self, SettingsError> {
        let fail = |faults| SettingsError { file: path.to_owned(), faults };
        let text = std::fs::read_to_string(path)
            .map_err(|error| fail(vec![Fault::new("$", error, "a readable file")]))?;
        let raw: RawGatewaySettings = serde_json::from_str(&text).map_err(|error| {
            fail(vec![Fault::new("$", error, "JSON as described in docs/OPERATIONS.md")])
        })?;
        Self::validate(path, text, raw).map_err(fail)
    }

    fn validate(path: &Path, text: String, raw: RawGatewaySettings) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        if raw.name.is_empty() {
            faults.push(Fault::new("$.name", "\"\"", "the name of the host"));
        }
        if raw.data_centre.is_empty() {
            faults.push(Fault::new("$.data_centre", "\"\"", "the name of a data centre"));
        }
        if raw.fleet_secret.len() < SECRET_MIN_BYTES {
            let found = format!("{} bytes", raw.fleet_secret.len());
            faults.push(Fault::new("$.fleet_secret", found, "at least 16 bytes"));
        }
        if raw.caller_connections < CONNECTIONS_MIN {
            let found = raw.caller_connections;
            faults.push(Fault::new("$.caller_connections", found, "at least 16"));
        }
        if let Some(found) = raw.memory_mb.filter(|found| *found < MEMORY_MIN_MB) {
            let allowed = format!("at least {MEMORY_MIN_MB}");
            faults.push(Fault::new("$.memory_mb", found, &allowed));
        }
        if let Some(found) = raw.descriptors.filter(|found| *found < DESCRIPTORS_MIN) {
            let allowed = format!("at least {DESCRIPTORS_MIN}");
            faults.push(Fault::new("$.descriptors", found, &allowed));
        }
        let caller_rate_min_bytes_per_s =
            raw.caller_rate_min_bytes_per_s.unwrap_or(CALLER_RATE_MIN_DEFAULT_BYTES_PER_S);
        if caller_rate_min_bytes_per_s < CALLER_RATE_MIN_LOWEST_BYTES_PER_S {
            let allowed = format!("at least {CALLER_RATE_MIN_LOWEST_BYTES_PER_S}");
            let path = "$.caller_rate_min_bytes_per_s";
            faults.push(Fault::new(path, caller_rate_min_bytes_per_s, &allowed));
        }
        let callers = parse_address(&mut faults, "$.listen.callers", &raw.listen.callers);
        let ready = parse_address(&mut faults, "$.listen.ready", &raw.listen.ready);
        let peers = parse_address(&mut faults, "$.listen.peers", &raw.listen.peers);
        let metrics = raw.listen.metrics.as_deref();
        let metrics = metrics.map(|text| parse_address(&mut faults, "$.listen.metrics", text));
        let store = parse_address(&mut faults, "$.store_address", &raw.store_address);
        let bounds = Bounds::decode(&raw.bounds).map_err(|error| {
            faults.push(Fault::new("$.bounds", error, "strings of the form name=number"))
        });
        match (callers, ready, peers, store, bounds) {
            (Some(callers), Some(ready), Some(peers), Some(store), Ok(bounds))
                if faults.is_empty() =>
            {
                Ok(Self {
                    path: path.to_owned(),
                    text,
                    name: raw.name,
                    data_centre: raw.data_centre,
                    callers,
                    ready,
                    peers,
                    metrics: metrics.flatten(),
                    store,
                    fleet_secret: raw.fleet_secret,
                    caller_connections: raw.caller_connections,
                    memory_mb: raw.memory_mb,
                    descriptors: raw.descriptors,
                    caller_rate_min_bytes_per_s,
                    first_start: raw.first_start,
                    bounds,
                })
            }
            _ => Err(faults),
        }
    }
}

fn parse_address(faults: &mut Vec<Fault>, path: &str, text: &str) -> Option<SocketAddr> {
    // The fault below reports the text, so the parse error is not needed.
    let address = text.parse().ok();
    if address.is_none() {
        let allowed = "an IP address and a port, such as 10.0.0.1:8080";
        faults.push(Fault::new(path, format!("{text:?}"), allowed));
    }
    address
}
