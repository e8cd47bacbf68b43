//! The imperative shell around the reducer of the `gateway` mode, [`Gateway`]: feeds it events and
//! carries out its effects.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonytack_adapter::{StoreClient, Table};
use ebonytack_core::{AttemptId, Refusal, RequestId};
use ebonytack_gateway::{CallerLimits, Effect, Event, Gateway, IncomingRequest, ReadPeers, Record};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::attempt::{CallerRequest, Destination, StoredResponse, run_attempt};
use super::connections::{ConnectionTable, TimeLimits};
use super::log_queue::LogQueue;
use super::memory::MemoryAccount;
use super::pool::Pool;
use super::reports::ReportSocket;
use super::settings::SettingsFile;
use super::table_copy::SharedCopy;
use crate::observe;

/// The reducer's decision on a request, from which its handler builds the HTTP response.
pub(super) enum CallerResponse {
    /// Forward the response of the attempt that the reducer chose.
    Deliver(StoredResponse),
    /// Refuse the request with this reason, and a time to retry after if there is one.
    Refuse(Refusal),
}

/// The rows of the store's tables as last read, kept for other hosts to read.
#[derive(Default)]
struct TableCopies {
    operator: SharedCopy,
    instances: SharedCopy,
    members: SharedCopy,
}

/// The reducer together with the connections, tasks and timers that it drives.
pub(super) struct GatewayShell {
    gateway: RefCell<Gateway>,
    started_at: Instant,
    pub(super) settings: RefCell<SettingsFile>,
    /// What all requests and responses hold.
    pub(super) memory: Rc<MemoryAccount>,
    /// The connections of callers.
    pub(super) connections: Rc<ConnectionTable>,
    pub(super) pool: Pool,
    pub(super) store: StoreClient,
    copies: TableCopies,
    /// When the last outage of the store ended that this host has seen.
    store_reachable_since: Cell<Option<Instant>>,
    reports: ReportSocket,
    pub(super) log: LogQueue,
    response_senders: RefCell<HashMap<RequestId, oneshot::Sender<CallerResponse>>>,
    requests: RefCell<HashMap<RequestId, Rc<CallerRequest>>>,
    responses: RefCell<HashMap<AttemptId, StoredResponse>>,
    attempt_tasks: RefCell<HashMap<AttemptId, JoinHandle<()>>>,
    next_request: Cell<RequestId>,
    /// When the next tick is due, as time since the host started.
    wake_at: Cell<Option<Duration>>,
    wake_changed: Notify,
    /// Signalled when a graceful shutdown is complete and the process may exit.
    pub(super) stopped: Notify,
    /// Tells callers' connections, also later ones, to close after the response to the request that
    /// they are reading or waiting for. Cancelled during a graceful shutdown.
    pub(super) closing: CancellationToken,
    /// Whether a graceful shutdown has begun.
    pub(super) draining: Cell<bool>,
}

/// Construction and state.
impl GatewayShell {
    pub(super) fn new(
        gateway: Gateway,
        settings: SettingsFile,
        reports: ReportSocket,
        log: LogQueue,
    ) -> Rc<Self> {
        Rc::new(Self {
            gateway: RefCell::new(gateway),
            started_at: Instant::now(),
            store: StoreClient::new(settings.store),
            copies: TableCopies::default(),
            store_reachable_since: Cell::new(None),
            memory: MemoryAccount::new(settings.memory_mb),
            connections: Rc::default(),
            settings: RefCell::new(settings),
            pool: Pool::default(),
            reports,
            log,
            response_senders: RefCell::default(),
            requests: RefCell::default(),
            responses: RefCell::default(),
            attempt_tasks: RefCell::default(),
            next_request: Cell::new(1),
            wake_at: Cell::new(None),
            wake_changed: Notify::new(),
            stopped: Notify::new(),
            closing: CancellationToken::new(),
            draining: Cell::new(false),
        })
    }

    /// Returns the local copy of a table, from which other hosts may read.
    pub(super) fn copy(&self, table: Table) -> &SharedCopy {
        match table {
            Table::Operator => &self.copies.operator,
            Table::Instances => &self.copies.instances,
            Table::Members => &self.copies.members,
        }
    }

    /// Returns the hosts that may read the store on behalf of this one.
    pub(super) fn read_peers(&self) -> ReadPeers {
        self.gateway.borrow().read_peers(self.started_at.elapsed())
    }

    /// Records how long ago an outage of the store ended that this host has seen; `None` if only this
    /// host could not reach the store.
    pub(super) fn set_store_reachable_for(&self, reachable_for: Option<Duration>) {
        let since = reachable_for.and_then(|time| Instant::now().checked_sub(time));
        self.store_reachable_since.set(since);
    }

    /// Returns the time since the store's last outage ended, or `None` when this host has seen
    /// none.
    pub(super) fn store_reachable_for(&self) -> Option<Duration> {
        self.store_reachable_since.get().map(|at| at.elapsed())
    }

    /// Returns the time since the host started, which is the reducer's clock.
    pub(super) fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns whether the load balancer should send connections to this host.
    pub(super) fn is_ready(&self) -> bool {
        !self.draining.get() && self.gateway.borrow().is_ready()
    }

    /// Returns the limits on callers' requests that the configuration in force sets, or the defaults
    /// before there is a configuration.
    pub(super) fn caller_limits(&self) -> CallerLimits {
        let gateway = self.gateway.borrow();
        gateway.configuration().map(|c| c.limits).unwrap_or_default()
    }
}

/// Limits on callers' connections.
impl GatewayShell {
    /// Returns the time limits in force.
    pub(super) fn time_limits(&self) -> TimeLimits {
        TimeLimits {
            head_timeout: self.caller_limits().header_timeout,
            read_rate_min_bytes_per_s: self.settings.borrow().caller_rate_min_bytes_per_s,
        }
    }
}

/// Methods that feed events to the reducer.
impl GatewayShell {
    /// Feeds an event to the reducer and carries out the resulting effects.
    pub(super) fn feed(self: &Rc<Self>, event: Event) {
        let effects = self.gateway.borrow_mut().step(self.started_at.elapsed(), event);
        for effect in effects {
            self.perform(effect);
        }
    }

    /// Feeds a request to the reducer. Returns its id and the channel for its response.
    pub(super) fn feed_request(
        self: &Rc<Self>,
        incoming: IncomingRequest,
        caller_request: CallerRequest,
    ) -> (RequestId, oneshot::Receiver<CallerResponse>) {
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        let (sender, receiver) = oneshot::channel();
        self.response_senders.borrow_mut().insert(request, sender);
        self.requests.borrow_mut().insert(request, Rc::new(caller_request));
        self.feed(Event::Request { request, incoming });
        (request, receiver)
    }

    /// Removes a request. If it has no response yet, its caller has disconnected, which is fed to
    /// the reducer.
    pub(super) fn end_request(self: &Rc<Self>, request: RequestId) {
        let is_pending = self.response_senders.borrow_mut().remove(&request).is_some();
        if is_pending {
            self.feed(Event::CallerDisconnected { request });
        }
        self.requests.borrow_mut().remove(&request);
    }

    /// Feeds a tick at each time that the reducer requests. Never returns.
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

/// Methods that carry out the reducer's effects.
impl GatewayShell {
    fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send { request, attempt, instance, address, customer, timeout, idempotent } => {
                let caller_request = self.requests.borrow().get(&request).cloned();
                let Some(caller_request) = caller_request else { return };
                let destination = Destination { instance, address, customer, timeout, idempotent };
                let task = run_attempt(Rc::clone(self), attempt, caller_request, destination);
                let task = actix_rt::spawn(task);
                self.attempt_tasks.borrow_mut().insert(attempt, task);
            }
            Effect::Deliver { request, attempt } => {
                if let Some(response) = self.responses.borrow_mut().remove(&attempt) {
                    observe::count_request(response.response.status.as_u16());
                    self.respond(request, CallerResponse::Deliver(response));
                }
            }
            Effect::Refuse { request, refusal } => {
                observe::count_refusal(&refusal);
                self.respond(request, CallerResponse::Refuse(refusal));
            }
            Effect::Cancel { attempt } => {
                if let Some(task) = self.attempt_tasks.borrow_mut().remove(&attempt) {
                    task.abort();
                }
                self.responses.borrow_mut().remove(&attempt);
            }
            Effect::Discard { attempt } => {
                self.responses.borrow_mut().remove(&attempt);
            }
            Effect::CloseConnections { address } => self.pool.close(address),
            Effect::Report { to, report } => self.reports.send(&to, &report),
            Effect::RemoveMember { name } => self.remove_member(name),
            Effect::Record(record) => {
                match &record {
                    Record::EvacuationChanged { data_centre, evacuated, .. } => {
                        observe::set_evacuated(data_centre, *evacuated);
                    }
                    Record::ShortageLevel { service, level, .. } => {
                        observe::set_shortage_level(service, *level);
                    }
                    _ => {}
                }
                self.log.write(&record);
            }
            Effect::WakeAt(at) => self.wake_at(at),
            Effect::Stopped => self.stopped.notify_one(),
        }
    }

    /// Stores an attempt's response until the reducer delivers or discards it.
    pub(super) fn store_response(&self, attempt: AttemptId, response: StoredResponse) {
        self.responses.borrow_mut().insert(attempt, response);
    }

    /// Removes the task of an attempt that has completed.
    pub(super) fn remove_attempt(&self, attempt: AttemptId) {
        self.attempt_tasks.borrow_mut().remove(&attempt);
    }

    fn respond(&self, request: RequestId, response: CallerResponse) {
        if let Some(sender) = self.response_senders.borrow_mut().remove(&request) {
            // Sending fails when the caller has disconnected.
            let _ = sender.send(response);
        }
    }

    fn remove_member(self: &Rc<Self>, name: String) {
        let shell = Rc::clone(self);
        actix_rt::spawn(async move {
            match shell.store.remove_member(&name).await {
                Ok(()) => log::info!("fleet: removed {name}, which sent no reports for too long."),
                Err(error) => log::warn!("fleet: cannot remove {name}: {error}."),
            }
        });
    }

    /// Schedules a tick at `at`, unless an earlier one is scheduled.
    fn wake_at(&self, at: Duration) {
        if self.wake_at.get().is_none_or(|current| at < current) {
            self.wake_at.set(Some(at));
            self.wake_changed.notify_one();
        }
    }
}
