//! Tests of the graceful shutdown of a host process.

use std::time::{Duration, Instant};

use ebonytack_http::ExchangeErrorKind;
use ebonytack_stand_in::{Behaviour, Caller, is_ready};
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::host::{Fixture, KEY};

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
