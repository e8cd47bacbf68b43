//! The HTTP server of one instance.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::header::RETRY_AFTER;
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use super::{InstanceFault, LatencyModel, RecordedRequest, RequestLog};
use crate::TestRandom;

const SLOTS: usize = 4;
/// The maximum number of requests that wait for a slot; further ones are shed.
const QUEUE_MAX: usize = 16;
const PROBE_LATENCY: Duration = Duration::from_millis(25);
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The configuration of an instance and the state that it shares with its stand-in.
#[derive(Clone)]
pub(super) struct InstanceSetup {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    pub(super) fault: Arc<Mutex<InstanceFault>>,
    pub(super) latency: LatencyModel,
    pub(super) response_bytes: usize,
    pub(super) request_log: RequestLog,
    pub(super) seed: u64,
}

struct Instance {
    setup: InstanceSetup,
    slots: Semaphore,
    waiting: RefCell<usize>,
    random: RefCell<TestRandom>,
}

/// Serves requests until the process ends. While the fault sets `refuse`, the listener is closed.
pub(super) async fn serve(setup: InstanceSetup, listener: std::net::TcpListener) {
    let instance = Rc::new(Instance {
        random: RefCell::new(TestRandom::new(setup.seed)),
        slots: Semaphore::new(SLOTS),
        waiting: RefCell::new(0),
        setup,
    });
    let shared = Rc::clone(&instance);
    let handler = move |request| handle(Rc::clone(&shared), request);
    let factory = HttpService::build().h1(fn_service(handler)).into_factory();
    let Ok(service) = factory.new_service(()).await else { return };
    let mut listener = TcpListener::from_std(listener).ok();
    loop {
        let mut connections = Vec::new();
        if let Some(open) = listener.take() {
            loop {
                tokio::select! {
                    accepted = open.accept() => if let Ok((stream, from)) = accepted {
                        let connection = service.call((stream, Some(from)));
                        connections.push(actix_rt::spawn(connection));
                    },
                    () = wait_for_refuse(&instance, true) => break,
                }
            }
        }
        connections.iter().for_each(|connection| connection.abort());
        wait_for_refuse(&instance, false).await;
        listener = TcpListener::bind(instance.setup.address).await.ok();
    }
}

async fn wait_for_refuse(instance: &Instance, refuse: bool) {
    while instance.fault().refuse != refuse {
        actix_rt::time::sleep(FAULT_POLL_INTERVAL).await;
    }
}

async fn handle(instance: Rc<Instance>, request: Request) -> Result<Response<BoxBody>, Infallible> {
    if request.path() == "/health" {
        return Ok(instance.probe().await);
    }
    let fault = instance.fault();
    instance.record(&request);
    let host = sending_host(&request);
    if fault.silent || host.is_some_and(|host| fault.silent_for.contains(&host)) {
        std::future::pending::<()>().await;
    }
    if fault.shed || *instance.waiting.borrow() >= QUEUE_MAX {
        let mut response = Response::build(StatusCode::SERVICE_UNAVAILABLE);
        response.insert_header((RETRY_AFTER, "1"));
        return Ok(response.body("shed").map_into_boxed_body());
    }
    instance.process(&fault).await;
    Ok(instance.respond(&fault))
}

impl Instance {
    fn fault(&self) -> InstanceFault {
        self.setup.fault.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn probe(&self) -> Response<BoxBody> {
        let fault = self.fault();
        if fault.silent || !fault.silent_for.is_empty() {
            std::future::pending::<()>().await;
        }
        let time = PROBE_LATENCY * fault.slow_factor.max(1);
        actix_rt::time::sleep(time).await;
        let failed = self.should_inject(fault.error_percent);
        let status = if failed { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
        Response::build(status).body("health").map_into_boxed_body()
    }

    async fn process(&self, fault: &InstanceFault) {
        let time = self.setup.latency.sample(&mut self.random.borrow_mut());
        *self.waiting.borrow_mut() += 1;
        let waiting = WaitingCount(self);
        let slot = self.slots.acquire().await;
        drop(waiting);
        actix_rt::time::sleep(time * fault.slow_factor.max(1)).await;
        drop(slot);
    }

    fn respond(&self, fault: &InstanceFault) -> Response<BoxBody> {
        if self.should_inject(fault.error_percent) {
            let mut response = Response::build(StatusCode::INTERNAL_SERVER_ERROR);
            return response.body("error").map_into_boxed_body();
        }
        let body = vec![b'x'; self.setup.response_bytes];
        let mut response = Response::build(StatusCode::OK);
        response.insert_header(("x-instance", self.setup.name.as_str()));
        if self.should_inject(fault.truncate_percent) {
            let size = body.len() as u64 + 1;
            return response
                .body(TruncatedBody { size, chunk: Some(body.into()) })
                .map_into_boxed_body();
        }
        response.body(body).map_into_boxed_body()
    }

    fn should_inject(&self, percent: u32) -> bool {
        percent > 0 && self.random.borrow_mut().below(100) < percent as usize
    }

    fn record(&self, request: &Request) {
        let headers = request.head().headers.iter().map(|(name, value)| {
            (name.as_str().to_owned(), String::from_utf8_lossy(value.as_bytes()).into_owned())
        });
        self.setup.request_log.record(RecordedRequest {
            instance: self.setup.name.clone(),
            method: request.method().to_string(),
            path: request.uri().to_string(),
            headers: headers.collect(),
            at: Instant::now(),
        });
    }
}

/// Decrements `waiting` when dropped, also when a closed connection cancels the request.
struct WaitingCount<'a>(&'a Instance);

impl Drop for WaitingCount<'_> {
    fn drop(&mut self) {
        *self.0.waiting.borrow_mut() -= 1;
    }
}

/// Returns the id of the host that sent a request, which is the first part of its request id.
fn sending_host(request: &Request) -> Option<u32> {
    let id = request.head().headers.get("x-request-id")?.to_str().ok()?;
    id.split('-').next()?.parse().ok()
}

/// A body that ends before its declared length.
struct TruncatedBody {
    size: u64,
    chunk: Option<Bytes>,
}

impl MessageBody for TruncatedBody {
    type Error = std::io::Error;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.size)
    }

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Bytes, Self::Error>>> {
        let truncated = || std::io::Error::other("truncated body");
        std::task::Poll::Ready(Some(self.chunk.take().ok_or_else(truncated)))
    }
}
