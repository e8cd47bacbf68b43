//! The validated settings, and the errors of validation.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ebonytack_core::{Declaration, HostId, KeyHash, RawDeclaration};
use log::LevelFilter;

use super::RawSettings;
use super::raw::{RawLimits, RawPlatform};

const SECRET_MIN_BYTES: usize = 16;

/// The validated settings of a host in `run` mode.
#[derive(Debug)]
pub(crate) struct Settings {
    pub(crate) host: HostId,
    pub(crate) data_centre: String,
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) advertised_peers: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) platform: PlatformSettings,
    /// Peers to contact before the host list has been read.
    pub(crate) seeds: Vec<(HostId, SocketAddr)>,
    pub(crate) fleet_secret: String,
    pub(crate) operator_token: KeyHash,
    pub(crate) connections_max: usize,
    pub(crate) header_max_bytes: usize,
    pub(crate) body_max_bytes: usize,
    pub(crate) buffer_bytes: usize,
    pub(crate) header_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) stop_timeout: Duration,
    pub(crate) drain_grace: Duration,
    pub(crate) log_level: LevelFilter,
    pub(crate) log_json: bool,
    pub(crate) trace_file: Option<PathBuf>,
    /// Seeds the random numbers of the reducer; the host id when the settings have none.
    pub(crate) seed: u64,
}

/// The platform, which stores the fleet's configuration changes and claims and the list of hosts.
#[derive(Debug)]
pub(crate) enum PlatformSettings {
    /// The address of a platform's HTTP interface.
    Http(SocketAddr),
    /// A platform inside this process, which starts with this declaration.
    Embedded(Box<RawDeclaration>),
}

/// All faults of a settings file.
#[derive(Debug)]
pub(crate) struct SettingsError {
    pub(crate) file: PathBuf,
    pub(crate) faults: Vec<Fault>,
}

/// One fault: the JSON path, the value found and what is allowed.
#[derive(Debug)]
pub(crate) struct Fault {
    path: String,
    found: String,
    allowed: String,
}

impl Settings {
    /// Reads and validates a settings file.
    pub(crate) fn load(path: &Path) -> Result<Self, SettingsError> {
        let fail = |fault| SettingsError { file: path.to_owned(), faults: vec![fault] };
        let text = std::fs::read_to_string(path)
            .map_err(|error| fail(Fault::new("$", error, "a readable file")))?;
        let raw: RawSettings = serde_json::from_str(&text).map_err(|error| {
            fail(Fault::new("$", error, "JSON as described in docs/OPERATIONS.md"))
        })?;
        let directory = path.parent().unwrap_or(Path::new("."));
        let mut validator = Validator { directory: directory.to_owned(), faults: Vec::new() };
        let settings = validator.validate(raw);
        match settings {
            Some(settings) if validator.faults.is_empty() => Ok(settings),
            _ => Err(SettingsError { file: path.to_owned(), faults: validator.faults }),
        }
    }
}

/// Validates settings and collects all their faults.
struct Validator {
    /// The directory of the settings file, to which the declaration's path is relative.
    directory: PathBuf,
    faults: Vec<Fault>,
}

impl Validator {
    fn validate(&mut self, raw: RawSettings) -> Option<Settings> {
        if raw.host == 0 {
            self.fault("$.host", 0, "a number from 1");
        }
        if raw.data_centre.is_empty() {
            self.fault("$.data_centre", "\"\"", "the name of a data centre");
        }
        if raw.fleet_secret.len() < SECRET_MIN_BYTES {
            let found = format!("{} bytes", raw.fleet_secret.len());
            self.fault("$.fleet_secret", found, "at least 16 bytes");
        }
        let callers = self.parse_address("$.listen.callers", &raw.listen.callers);
        let peers = self.parse_address("$.listen.peers", &raw.listen.peers);
        let admin = self.parse_address("$.listen.admin", &raw.listen.admin);
        let advertised = match &raw.listen.advertised_peers {
            Some(text) => self.parse_address("$.listen.advertised_peers", text),
            None => peers,
        };
        let token = KeyHash::try_from(raw.operator_token_sha256.clone());
        if token.is_err() {
            let found = format!("{} characters", raw.operator_token_sha256.len());
            self.fault("$.operator_token_sha256", found, "64 hexadecimal digits");
        }
        let level: Option<LevelFilter> = raw.log.level.parse().ok();
        if level.is_none() {
            let allowed = "off, error, warn, info, debug or trace";
            self.fault("$.log.level", format!("{:?}", raw.log.level), allowed);
        }
        self.check_limits(&raw.limits);
        let seeds = self.seeds(&raw);
        let platform = self.platform(&raw.platform);
        Some(Settings {
            host: raw.host,
            data_centre: raw.data_centre,
            callers: callers?,
            peers: peers?,
            advertised_peers: advertised?,
            admin: admin?,
            platform: platform?,
            seeds,
            fleet_secret: raw.fleet_secret,
            operator_token: token.ok()?,
            connections_max: raw.limits.connections as usize,
            header_max_bytes: raw.limits.header_bytes as usize,
            body_max_bytes: raw.limits.body_bytes as usize,
            buffer_bytes: raw.limits.buffer_bytes as usize,
            header_timeout: millis(raw.limits.header_timeout_ms),
            idle_timeout: millis(raw.limits.idle_timeout_ms),
            stop_timeout: millis(raw.limits.stop_timeout_ms),
            drain_grace: millis(raw.limits.drain_grace_ms),
            log_level: level?,
            log_json: raw.log.json,
            trace_file: raw.trace_file,
            seed: raw.seed.unwrap_or(u64::from(raw.host)),
        })
    }

    fn check_limits(&mut self, limits: &RawLimits) {
        let fields = [
            ("connections", limits.connections, 1, 1_000_000),
            ("header_bytes", limits.header_bytes, 1_024, 1_048_576),
            ("body_bytes", limits.body_bytes, 0, 1_073_741_824),
            ("buffer_bytes", limits.buffer_bytes, 1_024, 16_777_216),
            ("header_timeout_ms", limits.header_timeout_ms, 10, 600_000),
            ("idle_timeout_ms", limits.idle_timeout_ms, 10, 3_600_000),
            ("stop_timeout_ms", limits.stop_timeout_ms, 0, 3_600_000),
            ("drain_grace_ms", limits.drain_grace_ms, 0, 600_000),
        ];
        for (name, found, min, max) in fields {
            if !(min..=max).contains(&found) {
                self.fault(&format!("$.limits.{name}"), found, &format!("{min} to {max}"));
            }
        }
    }

    fn seeds(&mut self, raw: &RawSettings) -> Vec<(HostId, SocketAddr)> {
        let mut seeds = Vec::new();
        for (index, seed) in raw.seeds.iter().enumerate() {
            let path = format!("$.seeds[{index}].address");
            if let Some(address) = self.parse_address(&path, &seed.address) {
                seeds.push((seed.host, address));
            }
        }
        seeds
    }

    fn platform(&mut self, raw: &RawPlatform) -> Option<PlatformSettings> {
        match raw {
            RawPlatform::Http { address } => {
                self.parse_address("$.platform.address", address).map(PlatformSettings::Http)
            }
            RawPlatform::Embedded { declaration } => {
                let path = "$.platform.declaration";
                let file = self.directory.join(declaration);
                let read = std::fs::read_to_string(&file).map_err(|error| error.to_string());
                let raw = read.and_then(|text| {
                    serde_json::from_str::<RawDeclaration>(&text).map_err(|e| e.to_string())
                });
                let validated = raw.and_then(|raw| {
                    Declaration::try_from(raw.clone()).map(|_| raw).map_err(|e| e.to_string())
                });
                match validated {
                    Ok(raw) => Some(PlatformSettings::Embedded(Box::new(raw))),
                    Err(error) => {
                        self.fault(path, error, "a file with a valid declaration");
                        None
                    }
                }
            }
        }
    }

    fn parse_address(&mut self, path: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.fault(
                path,
                format!("{text:?}"),
                "an IP address and a port, such as 10.0.0.1:8080",
            );
        }
        address
    }

    fn fault(&mut self, path: &str, found: impl fmt::Display, allowed: &str) {
        self.faults.push(Fault::new(path, found, allowed));
    }
}

impl Fault {
    pub(crate) fn new(path: &str, found: impl fmt::Display, allowed: &str) -> Self {
        Self { path: path.to_owned(), found: found.to_string(), allowed: allowed.to_owned() }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} faults", self.file.display(), self.faults.len())?;
        for fault in &self.faults {
            let Fault { path, found, allowed } = fault;
            write!(f, "\n  {path}: found {found}; allowed: {allowed}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}
