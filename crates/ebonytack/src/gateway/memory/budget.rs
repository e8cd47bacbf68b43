//! Divides the memory of the machine.

/// What the process holds without any request: code, tables, log queue and the allocator's reserve.
/// A host with 100 connections and no request was measured at 15.6 MB.
const PROCESS_BYTES: usize = 20_000_000;
/// The share of the machine's memory that is planned with. The rest is for the kernel's buffers and
/// the fragmentation of the heap.
const PLANNED_PERCENT: usize = 85;
/// The part of the account that only holds of at most [`SMALL_BYTES`] may use: one in this many bytes.
const RESERVE_DIVISOR: usize = 8;
/// The part of the account that responses may use together: one in this many bytes.
const RESPONSES_DIVISOR: usize = 2;
/// The most that responses may use together when the machine's memory is unknown. Four of the largest
/// fit; twelve endless ones had a host killed at 260 MB (`review/3`).
const RESPONSES_DEFAULT_BYTES: usize = 128 * 1024 * 1024;
/// The part of the account that is set aside for callers' connections: one in this many bytes.
const CONNECTIONS_DIVISOR: usize = 5;
/// What a connection of a caller holds besides bodies. With half a head, 580 connections added 5 MB
/// (9 KiB each); with a head of 16 KiB that is almost complete, one holds up to 36 KiB.
pub const CONNECTION_BYTES: usize = 28 * 1024;
/// Up to this size a hold may use the reserve.
pub const SMALL_BYTES: usize = 64 * 1024;

/// What a part of the account is held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldKind {
    /// The head of a request.
    Head,
    /// The body of a request.
    Body,
    /// A response, until the caller has received it.
    Response,
}

/// The limits of an account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    /// The most that all holds may use together.
    pub total_bytes: usize,
    /// The most that responses above [`SMALL_BYTES`] may use together.
    pub responses_bytes: usize,
    /// The most that connections of callers may be.
    pub connections_max: usize,
}

/// The bytes held, by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Held {
    /// For heads of requests.
    pub head_bytes: usize,
    /// For bodies of requests.
    pub body_bytes: usize,
    /// For responses.
    pub response_bytes: usize,
}

impl Budget {
    /// Divides a machine's memory. Without one, only responses are limited.
    pub fn new(memory_mb: Option<usize>) -> Self {
        let Some(memory_mb) = memory_mb else {
            return Self {
                total_bytes: usize::MAX,
                responses_bytes: RESPONSES_DEFAULT_BYTES,
                connections_max: usize::MAX,
            };
        };
        let planned = memory_mb.saturating_mul(1_000_000) / 100 * PLANNED_PERCENT;
        let usable = planned.saturating_sub(PROCESS_BYTES);
        let connections_max = (usable / CONNECTIONS_DIVISOR / CONNECTION_BYTES).max(16);
        let total_bytes = usable - usable / CONNECTIONS_DIVISOR;
        Self { total_bytes, responses_bytes: total_bytes / RESPONSES_DIVISOR, connections_max }
    }

    /// Returns whether a hold of `kind` may grow from `from_bytes` to `to_bytes`.
    pub fn admits(&self, held: Held, kind: HoldKind, from_bytes: usize, to_bytes: usize) -> bool {
        if to_bytes <= from_bytes {
            return true;
        }
        let added = to_bytes - from_bytes;
        let fits = self.fits(held, from_bytes, to_bytes);
        match kind {
            HoldKind::Head | HoldKind::Body => fits,
            HoldKind::Response => {
                fits && (to_bytes <= SMALL_BYTES
                    || held.response_bytes.saturating_add(added) <= self.responses_bytes)
            }
        }
    }

    /// Returns whether the limit on all holds together allows a hold to grow from `from_bytes` to
    /// `to_bytes`.
    pub fn fits(&self, held: Held, from_bytes: usize, to_bytes: usize) -> bool {
        let added = to_bytes.saturating_sub(from_bytes);
        let is_small = to_bytes <= SMALL_BYTES;
        let reserve = if is_small { 0 } else { self.total_bytes / RESERVE_DIVISOR };
        held.total().saturating_add(added) <= self.total_bytes - reserve
    }

    /// Returns whether the account is no longer short: a quarter of it is free.
    pub fn is_relaxed(&self, held: Held) -> bool {
        held.total() <= self.total_bytes / 4 * 3
            && held.response_bytes <= self.responses_bytes / 4 * 3
    }
}

impl Held {
    /// Returns the bytes of all kinds.
    pub fn total(&self) -> usize {
        self.head_bytes + self.body_bytes + self.response_bytes
    }
}
