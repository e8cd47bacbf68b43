//! What callers of a host process receive when its instance sends broken responses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonytack_stand_in::{
    BrokenResponse, Caller, ConnectionEnd, ENCODING_LINES, RawInstance, configuration,
    invalid_field_names, invalid_status_lines, send_raw, signed_headers, truncated_responses,
};
use serde_json::json;
use tokio::net::TcpListener;

use crate::host::{FAST, Fixture, KEY};

/// More than the sockets between a host and an instance hold.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;
const UPLOADS: u32 = 10;
const ID: &str = "o-1";

/// A host whose only instance sends broken responses.
struct BrokenFixture {
    fixture: Fixture,
    instance: RawInstance,
    response: Rc<RefCell<BrokenResponse>>,
}

impl BrokenFixture {
    async fn start(name: &str, response: BrokenResponse) -> Self {
        let fixture = Fixture::start(name, &[FAST]).await;
        let mut with_uploads = configuration(2, &[KEY]);
        with_uploads["limits"]["maxBodyBytes"] = json!(2 * UPLOAD_BYTES);
        fixture.store.put_configuration(&with_uploads);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let response = Rc::new(RefCell::new(response));
        let instance = RawInstance::broken_on(listener, Rc::clone(&response));
        let instance = instance.expect("an instance starts");
        let registration = fixture.instances[0].registration_at(instance.address, "stock", "ready");
        fixture.store.put_instance(fixture.instances[0].id(), Some(registration));
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        Self { fixture, instance, response }
    }

    /// Sends requests until the instance answers one, and returns what its caller receives.
    async fn receive(&self, path: &str) -> String {
        let (answered, until) =
            (self.instance.broken_responses(), Instant::now() + Duration::from_secs(10));
        while Instant::now() < until {
            let received = send_raw(self.fixture.host.callers, path, ID, KEY).await;
            let received = received.expect("the host responds");
            if self.instance.broken_responses() > answered {
                return String::from_utf8_lossy(&received).into_owned();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no request reaches the instance");
    }
}

/// Guards against a part of a body that reaches the caller as a complete success, because the instance
/// resets the connection while the upload is being written.
#[actix_rt::test]
async fn early_success_that_is_reset_does_not_reach_the_caller() {
    let response = BrokenResponse::reset_without_length(ID, Duration::ZERO);
    let broken = BrokenFixture::start("reset", response).await;
    let body = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
    for path in ["/order/1", "/lookup/1"] {
        let (mut statuses, mut answered) = (Vec::new(), 0);
        for pause_ms in [0, 5, 50] {
            let pause = Duration::from_millis(pause_ms);
            *broken.response.borrow_mut() = BrokenResponse::reset_without_length(ID, pause);
            let before = broken.instance.broken_responses();
            for _ in 0..UPLOADS {
                let mut caller = Caller::new(broken.fixture.host.callers);
                let sent = caller.send_with_body(path, ID, KEY, 2_000, Some(body.clone())).await;
                statuses.push(sent.expect("a response").status.as_u16());
            }
            answered += broken.instance.broken_responses() - before;
        }
        let successes = statuses.iter().filter(|status| (200..300).contains(*status)).count();
        assert_eq!(successes, 0, "{path}: {statuses:?}");
        assert!(answered >= UPLOADS, "{path}: the instance answered {answered} of {statuses:?}");
    }
}

/// Asserts that the caller gets a failure of the host for each of these responses.
async fn assert_failure(name: &str, responses: Vec<BrokenResponse>) {
    let broken = BrokenFixture::start(name, responses[0].clone()).await;
    let mut passed_on = BTreeMap::new();
    for response in responses {
        let name = response.name.clone();
        *broken.response.borrow_mut() = response;
        let received = broken.receive("/order/1").await;
        let is_failure = received.starts_with("HTTP/1.1 502 ");
        if !is_failure || received.contains("odd") || received.contains("seal") {
            passed_on.insert(name, received);
        }
    }
    assert!(passed_on.is_empty(), "{} passed on: {passed_on:#?}", passed_on.len());
}

/// Guards against a status that is none, passed on to the caller.
#[actix_rt::test]
async fn response_with_an_invalid_status_line_does_not_reach_the_caller() {
    assert_failure("status-line", invalid_status_lines(&signed_headers(ID), "hello")).await;
}

/// Guards against a header or a body that reaches the caller otherwise than the instance sent it.
#[actix_rt::test]
async fn response_with_an_invalid_field_name_does_not_reach_the_caller() {
    assert_failure("field-name", invalid_field_names(&signed_headers(ID), "hello")).await;
}

/// Guards against a part of a response that reaches the caller.
#[actix_rt::test]
async fn part_of_a_response_does_not_reach_the_caller() {
    assert_failure("truncated", truncated_responses(&signed_headers(ID), "hello")).await;
}

/// Guards against an empty body, or a part, in place of one whose encoding is not known.
#[actix_rt::test]
async fn response_with_another_encoding_than_chunks_reaches_the_caller_whole_or_not_at_all() {
    let responses = ENCODING_LINES.map(|line| BrokenResponse {
        name: line.to_owned(),
        bytes: format!("HTTP/1.1 200 OK\r\n{}{line}\r\n\r\nhello", signed_headers(ID)).into_bytes(),
        end: ConnectionEnd::Close,
    });
    let broken = BrokenFixture::start("encoding", responses[0].clone()).await;
    for response in responses {
        let name = response.name.clone();
        *broken.response.borrow_mut() = response;
        let received = broken.receive("/order/1").await;
        let (head, body) = received.split_once("\r\n\r\n").expect("a response");
        let is_whole = head.contains("content-length: 5") && body == "hello";
        assert!(head.starts_with("HTTP/1.1 502 ") || is_whole, "{name}: {received}");
        assert_eq!(head.matches("content-length").count(), 1, "{name}: {received}");
        assert!(!head.contains("transfer-encoding"), "{name}: {received}");
    }
}
