//! Reads the bodies of callers' requests within the limits on size, time and memory.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{HttpMessage, Request};
use ebonytack_http::{Body, BodyBuffer};
use futures_util::FutureExt;
use futures_util::stream::StreamExt;

use super::memory::budget::HoldKind;
use super::memory::{Hold, MemoryAccount};

/// How long a caller may take to send the next bytes of a body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a caller may take to send a body if it states no deadline: 64 MiB at 5 Mbit/s.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(120);
/// The shortest time for a body, whatever deadline the caller states.
const TOTAL_TIMEOUT_MIN: Duration = Duration::from_secs(1);
/// How long a body may arrive more slowly than [`RATE_MIN_BYTES_PER_S`].
const RATE_GRACE_PERIOD: Duration = Duration::from_secs(10);
/// The least average rate after the grace period.
const RATE_MIN_BYTES_PER_S: f64 = 1024.0;
/// What the HTTP library holds for each chunk of a body that was received and not yet read.
const CHUNK_OVERHEAD_BYTES: usize = 32;

/// Why a body is refused. The request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyError {
    Malformed,
    TooLarge,
    TooSlow,
    /// The memory is short.
    NoMemory,
}

/// The complete body of a request.
pub(super) struct ReceivedBody {
    pub(super) body: Body,
    /// The memory of the body, released with it.
    _hold: Hold,
}

impl BodyError {
    pub(super) fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::TooSlow => 408,
            Self::TooLarge => 413,
            Self::NoMemory => 503,
        }
    }

    /// Returns the name used in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Malformed => "body-malformed",
            Self::TooSlow => "body-slow",
            Self::TooLarge => "body-too-large",
            Self::NoMemory => "memory",
        }
    }
}

/// Reads the whole body; `None` if the request has none. `stated_deadline` is the caller's own, from
/// the head of the request.
pub(super) async fn read_body(
    account: &Rc<MemoryAccount>,
    request: &mut Request,
    max_bytes: usize,
    stated_deadline: Option<Duration>,
) -> Result<Option<ReceivedBody>, BodyError> {
    let headers = request.headers();
    if !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING) {
        return Ok(None);
    }
    let announced_bytes = announced_bytes(headers).unwrap_or(0);
    if announced_bytes > max_bytes {
        return Err(BodyError::TooLarge);
    }
    let hold = account.hold(HoldKind::Body);
    // An announced body gets its memory at once, so that it can be completed.
    if !hold.resize(announced_bytes) {
        return Err(BodyError::NoMemory);
    }
    let mut granted_bytes = announced_bytes;
    let mut payload = request.take_payload();
    let mut body = BodyBuffer::default();
    let mut time_limit = TimeLimit::new(stated_deadline);
    let mut is_evictable = false;
    // The chunks and bytes since the last wait.
    let (mut new_chunks, mut new_bytes) = (0_usize, 0);
    loop {
        let next = match payload.next().now_or_never() {
            Some(next) => next,
            None => {
                if !is_evictable {
                    hold.make_evictable();
                    is_evictable = true;
                }
                hold.add_progress(new_bytes);
                (new_chunks, new_bytes) = (0, 0);
                let until = time_limit.next(Instant::now(), body.len());
                tokio::select! {
                    biased;
                    next = payload.next() => next,
                    () = hold.evicted() => return Err(BodyError::NoMemory),
                    () = tokio::time::sleep_until(until.into()) => return Err(BodyError::TooSlow),
                }
            }
        };
        let chunk = match next {
            None => break,
            Some(Err(_)) => return Err(BodyError::Malformed),
            Some(Ok(chunk)) => chunk,
        };
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        new_chunks += 1;
        new_bytes += chunk.len();
        body.extend(&chunk);
        let overhead_bytes = new_chunks.next_power_of_two() * CHUNK_OVERHEAD_BYTES;
        let needed_bytes = body.allocated_bytes() + overhead_bytes;
        if needed_bytes > granted_bytes {
            if !hold.resize(needed_bytes) {
                return Err(BodyError::NoMemory);
            }
            granted_bytes = needed_bytes;
        }
    }
    hold.make_permanent();
    if !hold.resize(body.allocated_bytes()) {
        return Err(BodyError::NoMemory);
    }
    Ok(Some(ReceivedBody { body: body.finish(), _hold: hold }))
}

/// Returns the value of `Content-Length`; `None` when it is absent. The HTTP library has rejected
/// values that are not numbers.
pub(super) fn announced_bytes(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// The time in which a body has to arrive.
struct TimeLimit {
    started_at: Instant,
    total: Duration,
}

impl TimeLimit {
    /// A body that takes longer than its caller waits for the response is of no use.
    fn new(stated_deadline: Option<Duration>) -> Self {
        let total = stated_deadline.unwrap_or(TOTAL_TIMEOUT);
        let total = total.clamp(TOTAL_TIMEOUT_MIN, TOTAL_TIMEOUT);
        Self { started_at: Instant::now(), total }
    }

    /// Returns until when the next bytes have to arrive after `received_bytes`.
    fn next(&mut self, now: Instant, received_bytes: usize) -> Instant {
        let paid_for = Duration::from_secs_f64(received_bytes as f64 / RATE_MIN_BYTES_PER_S);
        let total = self.total.min(RATE_GRACE_PERIOD + paid_for);
        (self.started_at + total).min(now + IDLE_TIMEOUT)
    }
}
