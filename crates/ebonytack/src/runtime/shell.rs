//! The thin shell around the reducer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonytack_core::{
    AttemptId, CallId, Effect, Event, Host, OperatorReply, OperatorRequest, Refusal, RequestHead,
    RequestId, StoredResponse, TraceRecord,
};
use tokio::sync::{Notify, oneshot};

use super::platform_link::PlatformLink;
use super::trace_writer::TraceWriter;
use crate::observe;
use crate::peer::PeerLinks;
use crate::settings::Settings;
use crate::upstream::{OutgoingRequest, UpstreamAnswer, Upstreams};

/// What a caller gets.
pub(crate) enum CallerAnswer {
    /// An upstream's answer.
    Deliver(UpstreamAnswer),
    /// A recorded answer.
    Replay(StoredResponse),
    /// A refusal.
    Refuse(Refusal),
}

/// The runtime's state around one reducer.
pub(crate) struct Shell {
    host: RefCell<Host>,
    started_at: Instant,
    trace: RefCell<Option<TraceWriter>>,
    pub(crate) settings: Settings,
    pub(crate) upstreams: Upstreams,
    pub(crate) peers: PeerLinks,
    platform: PlatformLink,
    callers: RefCell<HashMap<RequestId, oneshot::Sender<CallerAnswer>>>,
    bodies: RefCell<HashMap<RequestId, Rc<OutgoingRequest>>>,
    answers: RefCell<HashMap<AttemptId, UpstreamAnswer>>,
    operators: RefCell<HashMap<CallId, oneshot::Sender<OperatorReply>>>,
    next_request: Cell<RequestId>,
    next_operator: Cell<CallId>,
    wake_at: Cell<Option<Duration>>,
    wake_changed: Notify,
    pub(crate) stopped: Notify,
    /// Wakes idle callers' connections to close, at a planned stop.
    pub(crate) closing: Notify,
    /// Whether a planned stop has begun.
    pub(crate) draining: Cell<bool>,
}

/// Building.
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
            callers: RefCell::default(),
            bodies: RefCell::default(),
            answers: RefCell::default(),
            operators: RefCell::default(),
            next_request: Cell::new(1),
            next_operator: Cell::new(1),
            wake_at: Cell::new(None),
            wake_changed: Notify::new(),
            stopped: Notify::new(),
            closing: Notify::new(),
            draining: Cell::new(false),
        })
    }

    /// Returns whether the balancer should send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.draining.get() && self.host.borrow().is_ready()
    }

    /// Returns an id for a request that came without one.
    pub(crate) fn new_request_id(&self) -> String {
        let host = self.host.borrow();
        let identity = host.identity();
        format!("{}-{:x}-{}", identity.host, identity.incarnation, self.next_request.get())
    }

    /// Ends the trace.
    pub(crate) fn close_trace(&self) {
        if let Some(trace) = self.trace.borrow_mut().take() {
            trace.close();
        }
    }
}

/// Events.
impl Shell {
    /// Feeds one event to the reducer and carries out what follows.
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

    /// Feeds a request and returns where its answer will come.
    pub(crate) fn feed_request(
        self: &Rc<Self>,
        head: RequestHead,
        outgoing: OutgoingRequest,
    ) -> (RequestId, oneshot::Receiver<CallerAnswer>) {
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        let (sender, receiver) = oneshot::channel();
        self.callers.borrow_mut().insert(request, sender);
        self.bodies.borrow_mut().insert(request, Rc::new(outgoing));
        self.feed(Event::Request { request, head });
        (request, receiver)
    }

    /// Forgets a request after its answer, or after its caller left.
    pub(crate) fn end_request(self: &Rc<Self>, request: RequestId, gone: bool) {
        self.callers.borrow_mut().remove(&request);
        self.bodies.borrow_mut().remove(&request);
        self.feed(match gone {
            true => Event::CallerGone { request },
            false => Event::Delivered { request },
        });
    }

    /// Asks the reducer on an operator's behalf.
    pub(crate) async fn ask(self: &Rc<Self>, request: OperatorRequest) -> Option<OperatorReply> {
        let call = self.next_operator.get();
        self.next_operator.set(call + 1);
        let (sender, receiver) = oneshot::channel();
        self.operators.borrow_mut().insert(call, sender);
        self.feed(Event::Operator { call, request });
        // The reducer gives no reply when the host stops.
        receiver.await.ok()
    }

    /// Delivers ticks at the times that the reducer asks for.
    pub(crate) async fn tick_loop(self: Rc<Self>) {
        loop {
            let changed = self.wake_changed.notified();
            match self.wake_at.get() {
                None => changed.await,
                Some(at) => {
                    let wait = at.saturating_sub(self.started_at.elapsed());
                    let slept = actix_rt::time::timeout(wait, changed).await.is_err();
                    if slept {
                        self.wake_at.set(None);
                        self.feed(Event::Tick);
                    }
                }
            }
        }
    }
}

/// Effects.
impl Shell {
    fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Forward { request, attempt, address, fresh_connection, timeout, .. } => {
                let outgoing = self.bodies.borrow().get(&request).cloned();
                if let Some(outgoing) = outgoing {
                    let shell = Rc::clone(self);
                    let target = (address, fresh_connection);
                    self.upstreams.start(shell, attempt, outgoing, target, timeout);
                }
            }
            Effect::Deliver { request, attempt } => {
                let answer = self.answers.borrow_mut().remove(&attempt);
                if let Some(answer) = answer {
                    observe::count_request(answer.status.as_u16());
                    self.answer_caller(request, CallerAnswer::Deliver(answer));
                }
            }
            Effect::Replay { request, answer } => {
                self.answer_caller(request, CallerAnswer::Replay(answer));
            }
            Effect::Refuse { request, refusal } => {
                observe::count_refusal(&refusal);
                self.answer_caller(request, CallerAnswer::Refuse(refusal));
            }
            Effect::CancelAttempt { attempt } => {
                self.upstreams.cancel(attempt);
                self.answers.borrow_mut().remove(&attempt);
            }
            Effect::DropConnections { address } => self.upstreams.drop_connections(address),
            Effect::Probe { service, instance, address, path, timeout } => {
                let shell = Rc::clone(self);
                self.upstreams.probe(shell, (service, instance), address, &path, timeout);
            }
            Effect::Send { address, batch } => self.peers.send(address, batch),
            Effect::Table { call, request } => self.platform.ask(Rc::clone(self), call, request),
            Effect::Reply { call, reply } => {
                if let Some(sender) = self.operators.borrow_mut().remove(&call) {
                    // The operator may have left.
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

    /// Keeps an attempt's answer until the reducer decides about it.
    pub(crate) fn keep_answer(&self, attempt: AttemptId, answer: UpstreamAnswer) {
        self.answers.borrow_mut().insert(attempt, answer);
    }

    /// Drops an answer that the reducer did not want.
    pub(crate) fn drop_answer(&self, attempt: AttemptId) {
        self.answers.borrow_mut().remove(&attempt);
    }

    fn answer_caller(&self, request: RequestId, answer: CallerAnswer) {
        self.bodies.borrow_mut().remove(&request);
        if let Some(sender) = self.callers.borrow_mut().remove(&request) {
            // The caller may have left.
            let _ = sender.send(answer);
        }
    }

    fn wake_at(&self, at: Duration) {
        if self.wake_at.get().is_none_or(|current| at < current) {
            self.wake_at.set(Some(at));
            self.wake_changed.notify_one();
        }
    }
}
