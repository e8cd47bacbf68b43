//! The JSON format of the settings.

use std::path::PathBuf;

use serde::Deserialize;

/// The JSON settings before validation. Unknown fields are errors.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSettings {
    pub(crate) host: u32,
    pub(crate) data_centre: String,
    pub(crate) listen: RawListen,
    pub(crate) platform: RawPlatform,
    #[serde(default)]
    pub(crate) seeds: Vec<RawSeed>,
    pub(crate) fleet_secret: String,
    pub(crate) operator_token_sha256: String,
    #[serde(default)]
    pub(crate) limits: RawLimits,
    #[serde(default)]
    pub(crate) log: RawLog,
    #[serde(default)]
    pub(crate) trace_file: Option<PathBuf>,
    /// Seeds the random numbers of the reducer; `host` when absent.
    #[serde(default)]
    pub(crate) seed: Option<u64>,
}

/// The addresses on which the host listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawListen {
    pub(crate) callers: String,
    pub(crate) peers: String,
    pub(crate) admin: String,
    /// The address at which peers reach this host; `peers` when absent.
    #[serde(default)]
    pub(crate) advertised_peers: Option<String>,
}

/// The platform, which stores the fleet's configuration changes and claims and the list of hosts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub(crate) enum RawPlatform {
    Http { address: String },
    Embedded { declaration: PathBuf },
}

/// A peer to contact before the host list has been read.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSeed {
    pub(crate) host: u32,
    pub(crate) address: String,
}

/// Limits on callers' connections and requests, and the timeouts of a graceful shutdown.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawLimits {
    pub(crate) connections: u32,
    pub(crate) header_bytes: u32,
    pub(crate) body_bytes: u32,
    pub(crate) buffer_bytes: u32,
    pub(crate) header_timeout_ms: u32,
    pub(crate) idle_timeout_ms: u32,
    pub(crate) stop_timeout_ms: u32,
    /// How long a stopping host still accepts requests, so that the load balancer can see that it
    /// is not ready and send no more.
    pub(crate) drain_grace_ms: u32,
}

/// The level and format of the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawLog {
    pub(crate) level: String,
    pub(crate) json: bool,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_bytes: 32 * 1024,
            body_bytes: 1024 * 1024,
            buffer_bytes: 64 * 1024,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 30_000,
            stop_timeout_ms: 30_000,
            drain_grace_ms: 1_000,
        }
    }
}

impl Default for RawLog {
    fn default() -> Self {
        Self { level: "info".to_owned(), json: false }
    }
}
