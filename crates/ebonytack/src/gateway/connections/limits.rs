//! How many connections of callers there may be, and how long each phase of one may take.

use std::time::Duration;

/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// The part of the other descriptors that callers may use, in percent. Each request in progress needs
/// one more for its instance; the rest is for the store, other hosts and readiness checks.
const CALLERS_PERCENT: usize = 40;
/// What the kernel may hold in each direction of a connection if the memory is limited. It doubles the
/// value.
pub const SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// How long a writer makes no progress before its connection may be closed for another.
pub const WRITE_STALL_MIN: Duration = Duration::from_secs(5);
/// How long a connection may stay open after the refusal of a request whose body was not read.
pub const CLOSE_TIME_MAX: Duration = Duration::from_secs(2);
/// Added to the configured time for a head, which the caller measures from its first byte.
const HEAD_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No byte of a request has arrived since the last response.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// The head is complete and the body is not.
    Body,
    /// The request is complete and has no response yet.
    Serving,
    /// The response is being sent.
    Responding,
    /// The response is complete, except for what is being written.
    Responded,
    /// A request was refused before its body was read.
    Closing,
    /// There are no more responses, and the caller has not closed its side yet.
    Ending,
}

impl Phase {
    /// All phases.
    pub const ALL: [Self; 8] = [
        Self::Idle,
        Self::Head,
        Self::Body,
        Self::Serving,
        Self::Responding,
        Self::Responded,
        Self::Closing,
        Self::Ending,
    ];

    /// Returns whether the connection has no complete request, so that it may be closed for another.
    pub fn is_waiting(self) -> bool {
        matches!(self, Self::Idle | Self::Head | Self::Body | Self::Closing)
    }

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Serving => "serving",
            Self::Responding | Self::Responded => "responding",
            Self::Closing | Self::Ending => "closing",
        }
    }
}

/// The time limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// How long a caller may take to send a head, measured by itself from the first byte.
    pub head_timeout: Duration,
    /// The least rate at which a caller reads its responses.
    pub read_rate_min_bytes_per_s: usize,
}

impl TimeLimits {
    /// Returns how long a writer may make no progress. The kernel takes more bytes only when a good part
    /// of its full buffers has become free, also if the caller reads all the time.
    pub fn write_stall_max(&self) -> Duration {
        self.read_time(2 * SOCKET_BUFFER_BYTES)
    }

    /// Returns how long a caller may take to read this many bytes.
    pub fn read_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.read_rate_min_bytes_per_s.max(1) as f64)
    }
}

/// Returns why a connection has to be closed, or `None` if it may stay open.
pub fn overdue(
    phase: Phase,
    in_phase: Duration,
    write_blocked: Option<Duration>,
    limits: &TimeLimits,
) -> Option<&'static str> {
    if write_blocked.is_some_and(|blocked| blocked > limits.write_stall_max()) {
        return Some("response-unread");
    }
    match phase {
        Phase::Head if in_phase > limits.head_timeout + HEAD_GRACE_PERIOD => Some("head-slow"),
        Phase::Closing if in_phase > CLOSE_TIME_MAX => Some("body-unread"),
        _ => None,
    }
}

/// Returns how many connections callers may have, out of the process' limit of descriptors.
pub fn callers_max(configured: usize, descriptors: Option<usize>) -> usize {
    let Some(descriptors) = descriptors else { return configured };
    let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
    configured.min((sockets * CALLERS_PERCENT / 100).max(16))
}
