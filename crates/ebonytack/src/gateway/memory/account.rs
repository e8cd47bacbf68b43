//! The account of one process, and the holds that draw on it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::Notify;

use super::budget::{Budget, CONNECTION_BYTES, Held, HoldKind};
use super::victim::{Candidate, Progress, choose_victim};

/// Adds up the memory of all requests and responses of the process.
pub(in crate::gateway) struct MemoryAccount {
    budget: Budget,
    started_at: Instant,
    held: Cell<Held>,
    /// Whether a request for memory was refused since a quarter of the account was last free.
    is_short: Cell<bool>,
    next_id: Cell<u64>,
    /// The holds that may give way.
    evictable: RefCell<HashMap<u64, Rc<HoldState>>>,
}

/// A part of the account, which is released when dropped.
pub(in crate::gateway) struct Hold {
    account: Rc<MemoryAccount>,
    id: u64,
    state: Rc<HoldState>,
}

struct HoldState {
    kind: HoldKind,
    bytes: Cell<usize>,
    progress: Cell<Progress>,
    is_delivery: Cell<bool>,
    is_evicted: Cell<bool>,
    /// Signalled when the hold has to give way.
    evicted: RefCell<Rc<Notify>>,
}

impl MemoryAccount {
    pub(in crate::gateway) fn new(memory_mb: Option<usize>) -> Rc<Self> {
        Rc::new(Self {
            budget: Budget::new(memory_mb),
            started_at: Instant::now(),
            held: Cell::default(),
            is_short: Cell::new(false),
            next_id: Cell::new(0),
            evictable: RefCell::default(),
        })
    }

    /// Returns how many connections of callers fit into the memory.
    pub(in crate::gateway) fn connections_max(&self) -> usize {
        self.budget.connections_max
    }

    /// Creates an empty hold.
    pub(in crate::gateway) fn hold(self: &Rc<Self>, kind: HoldKind) -> Hold {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let state = HoldState {
            kind,
            bytes: Cell::new(0),
            progress: Cell::default(),
            is_delivery: Cell::new(false),
            is_evicted: Cell::new(false),
            evicted: RefCell::default(),
        };
        Hold { account: Rc::clone(self), id, state: Rc::new(state) }
    }

    /// Updates the metrics, and logs when the account is no longer short. `connections` are open.
    pub(in crate::gateway) fn observe(&self, connections: usize) {
        let held = self.held.get();
        if self.is_short.get() && self.budget.is_relaxed(held) {
            self.is_short.set(false);
            log::info!("memory: enough again, {} bytes held.", held.total());
        }
        let set = |kind: &'static str, bytes: usize| {
            metrics::gauge!("ebonytack_memory_held_bytes", "kind" => kind).set(bytes as f64);
        };
        set("head", held.head_bytes);
        set("body", held.body_bytes);
        set("response", held.response_bytes);
        set("connection", connections * CONNECTION_BYTES);
        metrics::gauge!("ebonytack_memory_short").set(f64::from(u8::from(self.is_short.get())));
    }

    fn change(&self, kind: HoldKind, from_bytes: usize, to_bytes: usize) {
        let mut held = self.held.get();
        let bytes = match kind {
            HoldKind::Head => &mut held.head_bytes,
            HoldKind::Body => &mut held.body_bytes,
            HoldKind::Response => &mut held.response_bytes,
        };
        *bytes = bytes.saturating_sub(from_bytes) + to_bytes;
        self.held.set(held);
    }

    fn enter_short(&self) {
        if !self.is_short.replace(true) {
            let held = self.held.get();
            log::warn!(
                "memory: short, {} of {} bytes held: {} for heads, {} for bodies, {} for responses.",
                held.total(),
                self.budget.total_bytes,
                held.head_bytes,
                held.body_bytes,
                held.response_bytes
            );
        }
    }

    /// Has another hold of one of `kinds` give way to `requester`. Returns whether one does.
    fn evict_for(&self, requester_id: u64, requester: &Candidate, kinds: &[HoldKind]) -> bool {
        let now = self.started_at.elapsed();
        let evictable = self.evictable.borrow();
        let (states, candidates): (Vec<_>, Vec<_>) = evictable
            .iter()
            .filter(|(id, state)| **id != requester_id && state.bytes.get() > 0)
            .filter(|(_, state)| kinds.contains(&state.kind))
            .map(|(_, state)| (state, state.candidate(now)))
            .unzip();
        let Some(index) = choose_victim(&candidates, requester) else { return false };
        let victim = states[index];
        victim.is_evicted.set(true);
        self.change(victim.kind, victim.bytes.replace(0), 0);
        victim.evicted.borrow().notify_one();
        metrics::counter!("ebonytack_limit_refusals_total", "cause" => "evicted").increment(1);
        true
    }
}

impl HoldState {
    fn candidate(&self, now: std::time::Duration) -> Candidate {
        Candidate {
            kind: self.kind,
            held_bytes: self.bytes.get(),
            bytes_per_s: self.progress.get().bytes_per_s(now),
            is_delivery: self.is_delivery.get(),
        }
    }
}

impl Hold {
    /// Sets the size of the hold. Returns whether it may have it; if not, nothing is held any longer.
    pub(in crate::gateway) fn resize(&self, bytes: usize) -> bool {
        let account = &self.account;
        if self.state.is_evicted.get() {
            return false;
        }
        let from = self.state.bytes.get();
        while !account.budget.admits(account.held.get(), self.state.kind, from, bytes) {
            account.enter_short();
            let mut requester = self.state.candidate(account.started_at.elapsed());
            requester.held_bytes = bytes;
            // Where only responses have reached their limit, bodies would give way for nothing.
            let fits = account.budget.fits(account.held.get(), from, bytes);
            let kinds: &[HoldKind] =
                if fits { &[HoldKind::Response] } else { &[HoldKind::Body, HoldKind::Response] };
            if !account.evict_for(self.id, &requester, kinds) {
                return false;
            }
        }
        account.change(self.state.kind, from, bytes);
        self.state.bytes.set(bytes);
        true
    }

    /// Lets the hold give way to others from now on.
    pub(in crate::gateway) fn make_evictable(&self) {
        let now = self.account.started_at.elapsed();
        self.state.progress.set(Progress::new(now));
        self.account.evictable.borrow_mut().insert(self.id, Rc::clone(&self.state));
    }

    /// Keeps the hold from giving way.
    pub(in crate::gateway) fn make_permanent(&self) {
        self.account.evictable.borrow_mut().remove(&self.id);
    }

    /// Lets the hold of a complete response give way when its caller does not read. `closed` is then
    /// signalled.
    pub(in crate::gateway) fn start_delivery(&self, closed: &Rc<Notify>) {
        self.state.is_delivery.set(true);
        *self.state.evicted.borrow_mut() = Rc::clone(closed);
        self.make_evictable();
    }

    /// Counts bytes that were received or sent.
    pub(in crate::gateway) fn add_progress(&self, bytes: usize) {
        let mut progress = self.state.progress.get();
        progress.add(self.account.started_at.elapsed(), bytes);
        self.state.progress.set(progress);
    }

    /// Waits until the hold has to give way.
    pub(in crate::gateway) async fn evicted(&self) {
        let evicted = Rc::clone(&self.state.evicted.borrow());
        while !self.state.is_evicted.get() {
            evicted.notified().await;
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.account.change(self.state.kind, self.state.bytes.get(), 0);
        self.make_permanent();
    }
}
