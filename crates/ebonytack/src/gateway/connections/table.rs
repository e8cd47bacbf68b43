//! All connections of callers.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::task::Waker;
use std::time::Instant;

use tokio::sync::Notify;

use super::delivery::Delivery;
use super::limits::{Phase, TimeLimits, WRITE_STALL_MIN, overdue};

/// The queue of waiting connections is cleared of outdated entries when it has this many beyond two
/// for each connection.
const OUTDATED_MAX: usize = 64;

/// The connections of callers.
#[derive(Default)]
pub(in crate::gateway) struct ConnectionTable {
    connections: RefCell<HashMap<u64, Rc<CallerConnection>>>,
    next_id: Cell<u64>,
    /// The connections in the order in which they began to wait for a request, with the number of
    /// their wait. Invariant: each waiting connection has one entry that is not outdated.
    waiting: RefCell<VecDeque<(u64, u64)>>,
}

/// A connection of a caller.
pub(in crate::gateway) struct CallerConnection {
    id: u64,
    table: Rc<ConnectionTable>,
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    /// How often the connection has waited for a request.
    waits: Cell<u64>,
    /// How many bytes of the current head, and perhaps of its body, were received.
    head_bytes: Cell<usize>,
    /// How many bytes were received before the response to the current request.
    pub(super) early_bytes: Cell<usize>,
    /// The task that waits until more bytes may be read.
    pub(super) reader: RefCell<Option<Waker>>,
    pub(super) write_blocked_since: Cell<Option<Instant>>,
    /// When the caller has received what was written.
    pub(in crate::gateway) delivery: Cell<Delivery>,
    /// Whether the caller has closed its side.
    pub(in crate::gateway) is_closed_by_caller: Cell<bool>,
    /// Signalled when the connection has to be closed.
    pub(in crate::gateway) closed: Rc<Notify>,
}

impl ConnectionTable {
    /// Adds a connection that was accepted.
    pub(in crate::gateway) fn open(self: &Rc<Self>) -> Rc<CallerConnection> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Rc::new(CallerConnection {
            id,
            table: Rc::clone(self),
            phase: Cell::new(Phase::Idle),
            phase_since: Cell::new(Instant::now()),
            waits: Cell::new(0),
            head_bytes: Cell::new(0),
            early_bytes: Cell::new(0),
            reader: RefCell::default(),
            write_blocked_since: Cell::new(None),
            delivery: Cell::new(Delivery::new(Instant::now())),
            is_closed_by_caller: Cell::new(false),
            closed: Rc::default(),
        });
        self.connections.borrow_mut().insert(id, Rc::clone(&connection));
        self.enqueue(id, 0);
        connection
    }

    /// Returns how many connections are open.
    pub(in crate::gateway) fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Removes a connection that was closed.
    pub(in crate::gateway) fn remove(&self, connection: &CallerConnection) {
        self.connections.borrow_mut().remove(&connection.id);
    }

    /// Closes a connection for another one: the one that has waited longest without a complete request,
    /// or else the one whose caller has not read its response for longest. Returns whether there was one.
    pub(in crate::gateway) fn make_room(&self) -> bool {
        self.close_longest_waiting() || self.close_longest_unread()
    }

    fn close_longest_waiting(&self) -> bool {
        let connections = self.connections.borrow();
        let mut waiting = self.waiting.borrow_mut();
        while let Some((id, wait)) = waiting.pop_front() {
            if let Some(connection) = connections.get(&id).filter(|c| c.is_in_wait(wait)) {
                connection.close("connections");
                return true;
            }
        }
        false
    }

    fn close_longest_unread(&self) -> bool {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let blocked = connections.values().filter_map(|connection| {
            let since = connection.write_blocked_since.get()?;
            (now.saturating_duration_since(since) > WRITE_STALL_MIN).then_some((since, connection))
        });
        let longest = blocked.min_by_key(|(since, _)| *since);
        if let Some((_, connection)) = longest {
            connection.close("connections");
        }
        longest.is_some()
    }

    /// Closes connections that exceed a time limit, and updates the metrics.
    pub(in crate::gateway) fn sweep(&self, limits: &TimeLimits) {
        let now = Instant::now();
        let mut counts = [0_u32; Phase::ALL.len()];
        for connection in self.connections.borrow().values() {
            let phase = connection.phase.get();
            counts[phase as usize] += 1;
            let in_phase = now.saturating_duration_since(connection.phase_since.get());
            let blocked_since = connection.write_blocked_since.get();
            let blocked = blocked_since.map(|since| now.saturating_duration_since(since));
            if let Some(cause) = overdue(phase, in_phase, blocked, limits) {
                connection.close(cause);
            }
        }
        for phase in Phase::ALL {
            let count = f64::from(counts[phase as usize]);
            metrics::gauge!("ebonytack_caller_connections", "state" => phase.name()).set(count);
        }
    }

    fn enqueue(&self, id: u64, wait: u64) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.push_back((id, wait));
        let connections = self.connections.borrow();
        if waiting.len() > 2 * connections.len() + OUTDATED_MAX {
            waiting.retain(|(id, wait)| connections.get(id).is_some_and(|c| c.is_in_wait(*wait)));
        }
    }
}

impl CallerConnection {
    /// Returns whether the connection is still in its wait with this number.
    fn is_in_wait(&self, wait: u64) -> bool {
        self.waits.get() == wait && self.phase.get().is_waiting()
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns how many bytes of the current head were received.
    pub(super) fn head_bytes(&self) -> usize {
        self.head_bytes.get()
    }

    pub(in crate::gateway) fn set_phase(&self, phase: Phase) {
        let earlier = self.phase.replace(phase);
        self.phase_since.set(Instant::now());
        match phase {
            Phase::Serving => {
                self.waits.set(self.waits.get() + 1);
                self.early_bytes.set(0);
                self.wake_reader();
            }
            Phase::Idle => {
                self.head_bytes.set(0);
                self.table.enqueue(self.id, self.waits.get());
                self.wake_reader();
            }
            // A request that arrived before the last response was complete.
            Phase::Body => {
                // Reading may have paused while the earlier request was served.
                self.wake_reader();
                if !earlier.is_waiting() {
                    self.table.enqueue(self.id, self.waits.get());
                }
            }
            // Nothing is written any more.
            Phase::Ending => self.write_blocked_since.set(None),
            _ => {}
        }
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }

    pub(super) fn on_read(&self, bytes: usize) {
        match self.phase.get() {
            Phase::Idle => {
                self.head_bytes.set(bytes);
                self.set_phase(Phase::Head);
            }
            Phase::Head => self.head_bytes.set(self.head_bytes.get() + bytes),
            Phase::Serving | Phase::Responding | Phase::Responded => {
                self.early_bytes.set(self.early_bytes.get() + bytes);
            }
            Phase::Body | Phase::Closing | Phase::Ending => {}
        }
    }

    /// Records that all bytes of a response that is complete were written.
    pub(super) fn on_flushed(&self) {
        if self.phase.get() == Phase::Responded {
            self.set_phase(Phase::Idle);
            // A part of the next head may have arrived early.
            if self.early_bytes.get() > 0 {
                self.head_bytes.set(self.early_bytes.get());
                self.set_phase(Phase::Head);
            }
        }
    }

    /// Records that the body of a response was handed over or dropped.
    pub(in crate::gateway) fn on_response_end(&self) {
        if self.phase.get() == Phase::Responding {
            self.set_phase(Phase::Responded);
        }
    }

    /// Closes the connection and counts the cause.
    fn close(&self, cause: &'static str) {
        metrics::counter!("ebonytack_limit_refusals_total", "cause" => cause).increment(1);
        self.closed.notify_one();
    }
}
