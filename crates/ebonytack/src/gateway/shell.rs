//! The thin shell around the reducer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonytack_adapter::{StoreClient, Table};
use ebonytack_core::{AttemptId, Refusal, RequestId};
use ebonytack_gateway::{Effect, Event, Gateway, IncomingRequest, ReadPeers};
use ebonytack_http::IncomingResponse;
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;

use super::attempt::{CallerRequest, Destination, run_attempt};
use super::log_queue::LogQueue;
use super::pool::Pool;
use super::reports::ReportSocket;
use super::settings::GatewayFile;
use super::table_copy::SharedCopy;
use crate::observe;

/// What a caller gets.
pub(super) enum CallerAnswer {
    /// An instance's answer.
    Deliver(IncomingResponse),
    /// A refusal.
    Refuse(Refusal),
}

/// The copies of all tables.
#[derive(Default)]
struct TableCopies {
    operator: SharedCopy,
    instances: SharedCopy,
    members: SharedCopy,
}

/// The runtime's state around one reducer.
pub(super) struct GatewayShell {
    gateway: RefCell<Gateway>,
    started_at: Instant,
    pub(super) settings: RefCell<GatewayFile>,
    pub(super) pool: Pool,
    pub(super) store: StoreClient,
    copies: TableCopies,
    /// When the store itself answered this host again after it had not.
    store_back_at: Cell<Option<Instant>>,
    reports: ReportSocket,
    pub(super) log: LogQueue,
    callers: RefCell<HashMap<RequestId, oneshot::Sender<CallerAnswer>>>,
    requests: RefCell<HashMap<RequestId, Rc<CallerRequest>>>,
    answers: RefCell<HashMap<AttemptId, IncomingResponse>>,
    running: RefCell<HashMap<AttemptId, JoinHandle<()>>>,
    next_request: Cell<RequestId>,
    wake_at: Cell<Option<Duration>>,
    wake_changed: Notify,
    pub(super) stopped: Notify,
    /// Wakes idle callers' connections to close, at a planned stop.
    pub(super) closing: Notify,
    /// Whether a planned stop has begun.
    pub(super) draining: Cell<bool>,
}

/// Building.
impl GatewayShell {
    pub(super) fn new(
        gateway: Gateway,
        settings: GatewayFile,
        reports: ReportSocket,
        log: LogQueue,
    ) -> Rc<Self> {
        Rc::new(Self {
            gateway: RefCell::new(gateway),
            started_at: Instant::now(),
            store: StoreClient::new(settings.store),
            copies: TableCopies::default(),
            store_back_at: Cell::new(None),
            settings: RefCell::new(settings),
            pool: Pool::default(),
            reports,
            log,
            callers: RefCell::default(),
            requests: RefCell::default(),
            answers: RefCell::default(),
            running: RefCell::default(),
            next_request: Cell::new(1),
            wake_at: Cell::new(None),
            wake_changed: Notify::new(),
            stopped: Notify::new(),
            closing: Notify::new(),
            draining: Cell::new(false),
        })
    }

    /// Returns the copy of a table.
    pub(super) fn copy(&self, table: Table) -> &SharedCopy {
        match table {
            Table::Operator => &self.copies.operator,
            Table::Instances => &self.copies.instances,
            Table::Members => &self.copies.members,
        }
    }

    /// Returns the hosts that may read the store in this one's place.
    pub(super) fn readers(&self) -> ReadPeers {
        self.gateway.borrow().read_peers(self.started_at.elapsed())
    }

    /// Notes that the store itself answers this host again.
    pub(super) fn note_store_back(&self) {
        self.store_back_at.set(Some(Instant::now()));
    }

    /// Returns for how long the store has answered this host again, when it once did not.
    pub(super) fn store_back_for(&self) -> Option<Duration> {
        self.store_back_at.get().map(|at| at.elapsed())
    }

    /// Returns the time since the host started.
    pub(super) fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns whether the balancer should send connections here.
    pub(super) fn is_ready(&self) -> bool {
        !self.draining.get() && self.gateway.borrow().is_ready()
    }

    /// Returns the longest body that a caller may send, by the configuration in force, or the
    /// default before there is one.
    pub(super) fn body_max_bytes(&self) -> usize {
        let gateway = self.gateway.borrow();
        gateway.configuration().map(|c| c.limits).unwrap_or_default().body_max_bytes
    }
}

/// Events.
impl GatewayShell {
    /// Feeds one event to the reducer and carries out what follows.
    pub(super) fn feed(self: &Rc<Self>, event: Event) {
        let effects = self.gateway.borrow_mut().step(self.started_at.elapsed(), event);
        for effect in effects {
            self.perform(effect);
        }
    }

    /// Feeds a request and returns where its answer will come.
    pub(super) fn feed_request(
        self: &Rc<Self>,
        arrival: IncomingRequest,
        caller_request: CallerRequest,
    ) -> (RequestId, oneshot::Receiver<CallerAnswer>) {
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        let (sender, receiver) = oneshot::channel();
        self.callers.borrow_mut().insert(request, sender);
        self.requests.borrow_mut().insert(request, Rc::new(caller_request));
        self.feed(Event::Request { request, incoming: arrival });
        (request, receiver)
    }

    /// Notes that a caller has its answer, or has left.
    pub(super) fn end_request(self: &Rc<Self>, request: RequestId) {
        let waiting = self.callers.borrow_mut().remove(&request).is_some();
        if waiting {
            self.feed(Event::CallerDisconnected { request });
        }
        self.requests.borrow_mut().remove(&request);
    }

    /// Delivers ticks for ever.
    pub(super) async fn tick_loop(self: Rc<Self>) {
        loop {
            let Some(at) = self.wake_at.get() else {
                self.wake_changed.notified().await;
                continue;
            };
            let wait = at.saturating_sub(self.started_at.elapsed());
            tokio::select! {
                () = tokio::time::sleep(wait) => {
                    self.wake_at.set(None);
                    self.feed(Event::Tick);
                }
                () = self.wake_changed.notified() => {}
            }
        }
    }
}

/// Effects.
impl GatewayShell {
    fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send { request, attempt, instance, address, customer, timeout, idempotent } => {
                let found = self.requests.borrow().get(&request).cloned();
                let Some(caller_request) = found else { return };
                let to = Destination { instance, address, customer, timeout, idempotent };
                let task = run_attempt(Rc::clone(self), attempt, caller_request, to);
                let task = actix_rt::spawn(task);
                self.running.borrow_mut().insert(attempt, task);
            }
            Effect::Deliver { request, attempt } => {
                if let Some(answer) = self.answers.borrow_mut().remove(&attempt) {
                    observe::count_request(answer.status.as_u16());
                    self.answer_caller(request, CallerAnswer::Deliver(answer));
                }
            }
            Effect::Refuse { request, refusal } => {
                observe::count_refusal(&refusal);
                self.answer_caller(request, CallerAnswer::Refuse(refusal));
            }
            Effect::Cancel { attempt } => {
                if let Some(task) = self.running.borrow_mut().remove(&attempt) {
                    task.abort();
                }
                self.answers.borrow_mut().remove(&attempt);
            }
            Effect::Discard { attempt } => {
                self.answers.borrow_mut().remove(&attempt);
            }
            Effect::CloseConnections { address } => self.pool.close(address),
            Effect::Report { to, report } => self.reports.send(&to, &report),
            Effect::RemoveMember { name } => self.remove_member(name),
            Effect::Record(record) => self.log.write(&record),
            Effect::WakeAt(at) => self.wake_at(at),
            Effect::Stopped => self.stopped.notify_one(),
        }
    }

    /// Keeps an attempt's answer until the reducer decides about it.
    pub(super) fn keep_answer(&self, attempt: AttemptId, answer: IncomingResponse) {
        self.answers.borrow_mut().insert(attempt, answer);
    }

    /// Forgets the task of an attempt that ended by itself.
    pub(super) fn end_attempt(&self, attempt: AttemptId) {
        self.running.borrow_mut().remove(&attempt);
    }

    fn answer_caller(&self, request: RequestId, answer: CallerAnswer) {
        if let Some(sender) = self.callers.borrow_mut().remove(&request) {
            // The caller may have left.
            let _ = sender.send(answer);
        }
    }

    fn remove_member(self: &Rc<Self>, name: String) {
        let shell = Rc::clone(self);
        actix_rt::spawn(async move {
            match shell.store.remove_member(&name).await {
                Ok(()) => log::info!("fleet: {name} was silent for long and was removed."),
                Err(error) => log::warn!("fleet: {name} could not be removed: {error}."),
            }
        });
    }

    fn wake_at(&self, at: Duration) {
        if self.wake_at.get().is_none_or(|current| at < current) {
            self.wake_at.set(Some(at));
            self.wake_changed.notify_one();
        }
    }
}
