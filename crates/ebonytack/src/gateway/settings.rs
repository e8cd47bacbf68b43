//! The settings of a host on a platform.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ebonytack_adapter::Bounds;
use serde::Deserialize;

use crate::settings::{Fault, SettingsError};

const SECRET_MIN_BYTES: usize = 16;
const CONNECTIONS_MIN: usize = 16;

/// The settings as read from JSON, before they are checked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawGatewaySettings {
    name: String,
    data_centre: String,
    listen: RawListen,
    store_address: String,
    fleet_secret: String,
    caller_connections: usize,
    #[serde(default)]
    bounds: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawListen {
    callers: String,
    ready: String,
    peers: String,
    /// Metrics are served beside readiness in any case.
    #[serde(default)]
    metrics: Option<String>,
}

/// Settings that are right as a whole.
#[derive(Clone, Debug)]
pub(crate) struct GatewayFile {
    pub(super) file: PathBuf,
    /// The text that the settings were read from.
    pub(super) text: String,
    pub(super) name: String,
    pub(super) data_centre: String,
    pub(super) callers: SocketAddr,
    pub(super) ready: SocketAddr,
    pub(super) peers: SocketAddr,
    /// Where metrics are served besides.
    pub(super) metrics: Option<SocketAddr>,
    pub(super) store: SocketAddr,
    pub(super) fleet_secret: String,
    pub(super) caller_connections: usize,
    pub(super) bounds: Bounds,
}

impl GatewayFile {
    /// Reads and checks a settings file.
    pub(crate) fn load(file: &Path) -> Result<Self, SettingsError> {
        let fail = |faults| SettingsError { file: file.to_owned(), faults };
        let text = std::fs::read_to_string(file)
            .map_err(|error| fail(vec![Fault::new("$", error, "a readable file")]))?;
        let raw: RawGatewaySettings = serde_json::from_str(&text).map_err(|error| {
            fail(vec![Fault::new("$", error, "the JSON of docs/OPERATIONS.md")])
        })?;
        Self::check(file, text, raw).map_err(fail)
    }

    fn check(file: &Path, text: String, raw: RawGatewaySettings) -> Result<Self, Vec<Fault>> {
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
        let callers = address(&mut faults, "$.listen.callers", &raw.listen.callers);
        let ready = address(&mut faults, "$.listen.ready", &raw.listen.ready);
        let peers = address(&mut faults, "$.listen.peers", &raw.listen.peers);
        let metrics = raw.listen.metrics.as_deref();
        let metrics = metrics.map(|text| address(&mut faults, "$.listen.metrics", text));
        let store = address(&mut faults, "$.store_address", &raw.store_address);
        let bounds = Bounds::decode(&raw.bounds)
            .map_err(|error| faults.push(Fault::new("$.bounds", error, "texts name=number")));
        match (callers, ready, peers, store, bounds) {
            (Some(callers), Some(ready), Some(peers), Some(store), Ok(bounds))
                if faults.is_empty() =>
            {
                Ok(Self {
                    file: file.to_owned(),
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
                    bounds,
                })
            }
            _ => Err(faults),
        }
    }
}

fn address(faults: &mut Vec<Fault>, path: &str, text: &str) -> Option<SocketAddr> {
    // The fault that follows names the text.
    let address = text.parse().ok();
    if address.is_none() {
        let allowed = "an IP number and a port, such as 10.0.0.1:8080";
        faults.push(Fault::new(path, format!("{text:?}"), allowed));
    }
    address
}
