//! Tests of the graceful shutdown of a host process.

use std::time::{Duration, Instant};

use ebonytack_http::ExchangeErrorKind;
use ebonytack_stand_in::{
    Behaviour, Caller, StandInInstance, StandInStore, configuration, is_ready,
};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::host::{Fixture, HostProcess, KEY};

#[actix_rt::test]
async fn graceful_shutdown_completes_requests_in_flight() {
    let slow = Behaviour::Answer(Duration::from_millis(1_200));
    let mut fixture = Fixture::start("stop", &[slow]).await;
    let (callers, mut early) = (fixture.host.callers, Caller::new(fixture.host.callers));
    let in_flight = actix_rt::spawn(async move { early.send("/order/1", "o-1", KEY, 2_500).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture.host.signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!is_ready(fixture.host.ready).await);
    let late = Caller::new(callers).send("/order/1", "o-2", KEY, 2_500).await;
    let late = late.expect("a stopping host still serves requests during the drain time");
    assert_eq!(late.status.as_u16(), 200);
    let in_flight = in_flight.await.expect("the task ends").expect("a response");
    assert_eq!(in_flight.status.as_u16(), 200);
    let deadline = Instant::now() + Duration::from_secs(6);
    while !fixture.host.has_exited() {
        assert!(Instant::now() < deadline, "the host exits in time");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fixture.host.wait_for_line(&["stop: complete"]).await;
}

/// Guards against orders that a stopping host accepts and then cuts off by exiting.
#[actix_rt::test]
async fn stopping_host_answers_every_order_that_it_sends_to_an_instance() {
    let slow = Behaviour::Answer(Duration::from_millis(300));
    let mut fixture = Fixture::start("cut", &[slow, slow, slow]).await;
    let address = fixture.host.callers;
    // Like a load balancer that has no other host, callers open connections until they are refused.
    let callers = (0..8).map(|caller| async move {
        let mut unanswered = Vec::new();
        let mut sent = 0;
        loop {
            let id = format!("o-{caller}-{sent}");
            sent += 1;
            match Caller::new(address).send("/order/1", &id, KEY, 2_500).await {
                Ok(_) => {}
                Err(error) if error.kind == ExchangeErrorKind::Connect => return unanswered,
                Err(_) => unanswered.push(id),
            }
        }
    });
    let callers = actix_rt::spawn(futures_util::future::join_all(callers));
    tokio::time::sleep(Duration::from_millis(500)).await;
    fixture.host.signal(Signal::SIGTERM);
    let unanswered = callers.await.expect("the callers end").concat();
    let lost: Vec<&String> = unanswered.iter().filter(|id| fixture.run_count(id) > 0).collect();
    assert!(lost.is_empty(), "orders that ran without a response: {lost:?}");
    // The callers end when the host stops listening, which leaves it half of its grace period.
    assert!(fixture.host.wait_for_exit(Duration::from_secs(3)).await, "the host exits in time");
}

/// Guards against orders that a stopping host has taken and passed on, and then cuts off without a
/// response at the end of its grace period: those that came just before and just after it stopped
/// listening, on new and on kept connections, with deadlines around its exit.
#[actix_rt::test]
async fn stopping_host_answers_orders_that_their_instances_have_not_answered() {
    const GRACE: Duration = Duration::from_secs(6);
    let store = StandInStore::start().await.expect("the store starts");
    let mut slow_routes = configuration(1, &[KEY]);
    for route in slow_routes["routes"]["rows"].as_array_mut().expect("routes") {
        route[4] = json!(20);
    }
    store.put_configuration(&slow_routes);
    let never = Behaviour::Answer(Duration::from_secs(20));
    let instance = StandInInstance::start("i-0", never).await.expect("an instance starts");
    let mut registration: Value =
        serde_json::from_slice(&instance.registration("stock", "ready")).expect("JSON");
    registration["info"]["slots"] = json!(1_000);
    store.put_instance(instance.id(), Some(registration.to_string().into_bytes()));
    let mut host = HostProcess::start("late", &store).await;
    let address = host.callers;
    let mut kept = Vec::new();
    for number in 0..10 {
        let mut caller = Caller::new(address);
        // The response leaves the connection open.
        let refused = caller.send("/lookup/1", &format!("first-{number}"), "unknown", 500).await;
        assert_eq!(refused.expect("a response").status.as_u16(), 401);
        kept.push(caller);
    }
    host.signal(Signal::SIGTERM);
    let stopped_at = Instant::now();
    let mut orders = Vec::new();
    for number in 0..50_u32 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let left_ms = u32::try_from(GRACE.saturating_sub(stopped_at.elapsed()).as_millis());
        let left_ms = left_ms.expect("a short time");
        // From a second before the end of the grace period to long after it.
        let timeout_ms = (left_ms + (number % 8) * 200).saturating_sub(1_000).max(100);
        let timeout_ms = if number % 5 == 0 { 15_000 } else { timeout_ms };
        let mut caller = match kept.pop().filter(|_| number % 4 == 0) {
            Some(caller) => caller,
            None => Caller::new(address),
        };
        orders.push(actix_rt::spawn(async move {
            let id = format!("o-{number}");
            let result = caller.send("/order/1", &id, KEY, timeout_ms).await;
            (id, result.map(|response| response.status.as_u16()).map_err(|error| error.kind))
        }));
    }
    let mut unanswered = Vec::new();
    for order in orders {
        let (id, result) = order.await.expect("the task ends");
        if instance.run_count(&id) > 0 && result.is_err() {
            unanswered.push((id, result));
        }
    }
    assert!(unanswered.is_empty(), "passed on, without a response: {unanswered:?}");
    assert!(
        host.wait_for_exit(GRACE.saturating_sub(stopped_at.elapsed())).await,
        "it exits in time"
    );
}

/// Guards against responses that a stopping host cuts off because their callers read slowly.
#[actix_rt::test]
async fn stopping_host_waits_for_a_caller_that_reads_its_response_slowly() {
    const BODY_BYTES: usize = 24 * 1024 * 1024;
    let mut fixture = Fixture::start("slow", &[Behaviour::AnswerLarge(BODY_BYTES)]).await;
    let mut caller = TcpStream::connect(fixture.host.callers).await.expect("a connection");
    let request = format!(
        "POST /order/1 HTTP/1.1\r\nhost: shop.example\r\nx-ebonytack-request-id: o-1\r\n\
         x-ebonytack-credential: {KEY}\r\nx-ebonytack-deadline-ms: 2500\r\n\
         content-length: 2\r\n\r\nok"
    );
    caller.write_all(request.as_bytes()).await.expect("the request is sent");
    tokio::time::sleep(Duration::from_millis(500)).await;
    fixture.host.signal(Signal::SIGTERM);
    // Longer than the time for which a stopping host accepts requests.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let mut response = Vec::new();
    caller.read_to_end(&mut response).await.expect("the response is not cut off");
    assert!(response.len() > BODY_BYTES, "{} bytes were received", response.len());
    fixture.host.wait_for_line(&["stop: complete"]).await;
    assert!(fixture.host.wait_for_exit(Duration::from_secs(1)).await, "the host exits");
}
