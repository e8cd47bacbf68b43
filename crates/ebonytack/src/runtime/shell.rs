//! The imperative shell around the reducer of the `run` mode, [`Host`]: feeds it events and carries
//! out its effects.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonytack_core::{
    AttemptId, CallId, Effect, Event, Host, OperatorReply, OperatorRequest, Refusal, RequestHead,
    RequestId, StoredResponse, TraceRecord,
};
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use super::platform_link::PlatformLink;
use super::trace_writer::TraceWriter;
use crate::observe;
use crate::peer::PeerLinks;
use crate::settings::Settings;
use crate::upstream::{OutgoingRequest, UpstreamResponse, Upstreams};

/// The reducer's decision on a request, from which its handler builds the HTTP response.
pub(crate) enum CallerResponse {
    /// Forward the response of the attempt that the reducer chose.
    Deliver(UpstreamResponse),
    /// Send the response recorded for an earlier request with the same idempotency key.
    Replay(StoredResponse),
    /// Refuse the request with this reason, and a time to retry after if there is one.
    Refuse(Refusal),
}

/// The reducer together with the connections, tasks and timers that it drives.
pub(crate) struct Shell {
    host: RefCell<Host>,
    started_at: Instant,
    trace: RefCell<Option<TraceWriter>>,
    pub(crate) settings: Settings,
    pub(crate) upstreams: Upstreams,
    pub(crate) peers: PeerLinks,
    platform: PlatformLink,
    response_senders: RefCell<HashMap<RequestId, oneshot::Sender<CallerResponse>>>,
    requests: RefCell<HashMap<RequestId, Rc<OutgoingRequest>>>,
    responses: RefCell<HashMap<AttemptId, UpstreamResponse>>,
    reply_senders: RefCell<HashMap<CallId, oneshot::Sender<OperatorReply>>>,
    next_request: Cell<RequestId>,
    next_call: Cell<CallId>,
    /// When the next tick is due, as time since the host started.
    wake_at: Cell<Option<Duration>>,
    wake_changed: Notify,
    /// Signalled when a graceful shutdown is complete and the process may exit.
    pub(crate) stopped: Notify,
    /// Tells callers' connections to close, during a graceful shutdown.
    pub(crate) closing: CancellationToken,
    /// Whether a graceful shutdown has begun.
    pub(crate) draining: Cell<bool>,
}

/// Construction and state.
impl Shell {
    pub(crate) fn new(
        host: Host,
        settings: Settings,
        platform: PlatformLink,
        trace: Option<TraceWriter>,
    ) -> Rc<Self> {
        let peers = PeerLinks::new(&settings.fleet_secret);
        Rc::new(Self {
            host: RefCell::new(host),
            started_at: Instant::now(),
            trace: RefCell::new(trace),
            upstreams: Upstreams::new(settings.buffer_bytes),
            settings,
            peers,
            platform,
            response_senders: RefCell::default(),
            requests: RefCell::default(),
            responses: RefCell::default(),
            reply_senders: RefCell::default(),
            next_request: Cell::new(1),
            next_call: Cell::new(1),
            wake_at: Cell::new(None),
            wake_changed: Notify::new(),
            stopped: Notify::new(),
            closing: CancellationToken::new(),
            draining: Cell::new(false),
        })
    }

    /// Returns whether the load balancer should send requests to this host.
    pub(crate) fn is_ready(&self) -> bool {
        !self.draining.get() && self.host.borrow().is_ready()
    }

    /// Returns an id for a request that has none, made of the host, its incarnation and the next
    /// request number.
    pub(crate) fn new_request_id(&self) -> String {
        let host = self.host.borrow();
        let identity = host.identity();
        format!("{}-{:x}-{}", identity.host, identity.incarnation, self.next_request.get())
    }

    /// Flushes and closes the trace file, if there is one.
    pub(crate) fn close_trace(&self) {
        if let Some(trace) = self.trace.borrow_mut().take() {
            trace.close();
        }
    }
}

/// Methods that feed events to the reducer.
impl Shell {
    /// Feeds an event to the reducer, records the step and carries out the resulting effects.
    pub(crate) fn feed(self: &Rc<Self>, event: Event) {
        let recorded = self.trace.borrow().is_some().then(|| event.clone());
        let at = self.started_at.elapsed();
        let effects = self.host.borrow_mut().step(at, event);
        if let (Some(event), Some(trace)) = (recorded, self.trace.borrow_mut().as_mut()) {
            trace.append(&TraceRecord { at, event, effects: effects.clone() });
        }
        for effect in effects {
            self.perform(effect);
        }
    }

    /// Feeds a request to the reducer. Returns its id and the channel for its response.
    pub(crate) fn feed_request(
        self: &Rc<Self>,
        head: RequestHead,
        outgoing: OutgoingRequest,
    ) -> (RequestId, oneshot::Receiver<CallerResponse>) {
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        let (sender, receiver) = oneshot::channel();
        self.response_senders.borrow_mut().insert(request, sender);
        self.requests.borrow_mut().insert(request, Rc::new(outgoing));
        self.feed(Event::Request { request, head });
        (request, receiver)
    }

    /// Removes a request and feeds its end to the reducer: its response was delivered, or its caller
    /// has disconnected.
    pub(crate) fn end_request(self: &Rc<Self>, request: RequestId, caller_gone: bool) {
        self.response_senders.borrow_mut().remove(&request);
        self.requests.borrow_mut().remove(&request);
        self.feed(match caller_gone {
            true => Event::CallerGone { request },
            false => Event::Delivered { request },
        });
    }

    /// Feeds an operator's request to the reducer and waits for the reply. Returns `None` when the
    /// host stops first.
    pub(crate) async fn handle_operator(
        self: &Rc<Self>,
        request: OperatorRequest,
    ) -> Option<OperatorReply> {
        let call = self.next_call.get();
        self.next_call.set(call + 1);
        let (sender, receiver) = oneshot::channel();
        self.reply_senders.borrow_mut().insert(call, sender);
        self.feed(Event::Operator { call, request });
        // The channel is closed without a reply when the host stops.
        receiver.await.ok()
    }

    /// Feeds a tick at each time that the reducer requests. Never returns.
    pub(crate) async fn tick_loop(self: Rc<Self>) {
        loop {
            let changed = self.wake_changed.notified();
            match self.wake_at.get() {
                None => changed.await,
                Some(at) => {
                    let wait = at.saturating_sub(self.started_at.elapsed());
                    let timed_out = actix_rt::time::timeout(wait, changed).await.is_err();
                    if timed_out {
                        self.wake_at.set(None);
                        self.feed(Event::Tick);
                    }
                }
            }
        }
    }
}

/// Methods that carry out the reducer's effects.
impl Shell {
    fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Forward { request, attempt, address, fresh_connection, timeout, .. } => {
                let outgoing = self.requests.borrow().get(&request).cloned();
                if let Some(outgoing) = outgoing {
                    let shell = Rc::clone(self);
                    let target = (address, fresh_connection);
                    self.upstreams.start(shell, attempt, outgoing, target, timeout);
                }
            }
            Effect::Deliver { request, attempt } => {
                let response = self.responses.borrow_mut().remove(&attempt);
                if let Some(response) = response {
                    observe::count_request(response.status.as_u16());
                    self.respond(request, CallerResponse::Deliver(response));
                }
            }
            Effect::Replay { request, answer } => {
                self.respond(request, CallerResponse::Replay(answer));
            }
            Effect::Refuse { request, refusal } => {
                observe::count_refusal(&refusal);
                self.respond(request, CallerResponse::Refuse(refusal));
            }
            Effect::CancelAttempt { attempt } => {
                self.upstreams.cancel(attempt);
                self.responses.borrow_mut().remove(&attempt);
            }
            Effect::DropConnections { address } => self.upstreams.drop_connections(address),
            Effect::Probe { service, instance, address, path, timeout } => {
                let shell = Rc::clone(self);
                self.upstreams.probe(shell, (service, instance), address, &path, timeout);
            }
            Effect::Send { address, batch } => self.peers.send(address, batch),
            Effect::Table { call, request } => {
                self.platform.request_table(Rc::clone(self), call, request)
            }
            Effect::Reply { call, reply } => {
                if let Some(sender) = self.reply_senders.borrow_mut().remove(&call) {
                    // Sending fails when the operator has disconnected.
                    let _ = sender.send(reply);
                }
            }
            Effect::WakeAt(at) => self.wake_at(at),
            Effect::RevisionInForce(revision) => {
                observe::set_revision(revision);
                log::info!("config: revision {revision} is in force.");
            }
            Effect::Notice(text) => log::info!("{text}"),
            Effect::Stopped => self.stopped.notify_one(),
        }
    }

    /// Stores an attempt's response until the reducer delivers it, the attempt is cancelled or
    /// [`drop_response`](Self::drop_response) is called.
    pub(crate) fn store_response(&self, attempt: AttemptId, response: UpstreamResponse) {
        self.responses.borrow_mut().insert(attempt, response);
    }

    /// Drops an attempt's response, if the reducer did not deliver it.
    pub(crate) fn drop_response(&self, attempt: AttemptId) {
        self.responses.borrow_mut().remove(&attempt);
    }

    fn respond(&self, request: RequestId, response: CallerResponse) {
        self.requests.borrow_mut().remove(&request);
        if let Some(sender) = self.response_senders.borrow_mut().remove(&request) {
            // Sending fails when the caller has disconnected.
            let _ = sender.send(response);
        }
    }

    /// Schedules a tick at `at`, unless an earlier one is scheduled.
    fn wake_at(&self, at: Duration) {
        if self.wake_at.get().is_none_or(|current| at < current) {
            self.wake_at.set(Some(at));
            self.wake_changed.notify_one();
        }
    }
}
