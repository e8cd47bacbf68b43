//! What callers of hosts in `run` mode receive when an instance sends broken responses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use ebonytack_stand_in::{
    BrokenResponse, ConnectionEnd, ENCODING_LINES, RawInstance, invalid_field_names,
    invalid_status_lines, truncated_responses,
};
use ebonytack_testbed::{Caller, CallerResponse, Fleet, InstanceFault};
use tokio::net::TcpListener;

use crate::support::{plan, run};

/// About as much as hosts accept by default.
const UPLOAD_BYTES: usize = 1_000_000;
const UPLOADS: u32 = 10;

/// Puts an instance with broken responses in the place of the service's first; the others refuse all
/// connections.
async fn replace_instance(
    fleet: &Fleet,
    service: &str,
    response: &Rc<RefCell<BrokenResponse>>,
) -> RawInstance {
    let upstream = fleet.upstream(service);
    upstream.set_fault_for_all(&InstanceFault { refuse: true, ..InstanceFault::default() });
    let address = upstream.addresses()[&format!("{service}-1")];
    // The stand-in that listened here before needs a moment to see its fault.
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => actix_rt::time::sleep(Duration::from_millis(5)).await,
        }
    };
    RawInstance::broken_on(listener, Rc::clone(response)).expect("an instance starts")
}

/// Sends requests until the instance answers one, and returns what its caller receives.
async fn receive(
    fleet: &Fleet,
    instance: &RawInstance,
    method: Method,
    path: &str,
) -> CallerResponse {
    let answered = instance.broken_responses();
    for _ in 0..1_000 {
        let (host, key) = (fleet.caller_address(1), [("x-api-key", "key-club")]);
        let received = Caller::new().send(host, method.clone(), path, &key, Bytes::new()).await;
        if instance.broken_responses() > answered {
            return received;
        }
    }
    panic!("no request reaches the instance");
}

/// Asserts that no caller gets one of these responses, neither to a lookup, which the host may retry,
/// nor to an order, which it may not.
fn assert_failure(responses: &[BrokenResponse]) {
    let current = Rc::new(RefCell::new(responses[0].clone()));
    run(plan(), async |fleet| {
        let mut passed_on = BTreeMap::new();
        for (service, method) in [("catalogue", Method::GET), ("orders", Method::POST)] {
            let instance = replace_instance(&fleet, service, &current).await;
            let path = format!("/{service}/new");
            for response in responses {
                *current.borrow_mut() = response.clone();
                let received = receive(&fleet, &instance, method.clone(), &path).await;
                if !matches!(received.status, 502 | 503) {
                    let name = format!("{service}: {}", response.name);
                    passed_on.insert(name, (received.status, received.body));
                }
            }
        }
        assert!(passed_on.is_empty(), "{} passed on: {passed_on:#?}", passed_on.len());
    });
}

/// Guards against a status that is none, passed on to the caller.
#[test]
fn response_with_an_invalid_status_line_is_not_passed_on() {
    assert_failure(&invalid_status_lines("x-instance: raw\r\n", "hello"));
}

/// Guards against a header or a body that reaches the caller otherwise than the instance sent it.
#[test]
fn response_with_an_invalid_field_name_is_not_passed_on() {
    assert_failure(&invalid_field_names("x-instance: raw\r\n", "hello"));
}

/// Guards against a part of a response that reaches the caller as a success.
#[test]
fn part_of_a_response_is_no_success() {
    assert_failure(&truncated_responses("x-instance: raw\r\n", "hello"));
}

/// Guards against a part of a body that reaches the caller as a complete success, because the instance
/// resets the connection while the upload is being written.
#[test]
fn early_success_that_is_reset_is_no_success() {
    let current = Rc::new(RefCell::new(BrokenResponse::reset_without_length("", Duration::ZERO)));
    run(plan(), async |fleet| {
        let instance = replace_instance(&fleet, "catalogue", &current).await;
        let (caller, mut statuses) = (Caller::new(), Vec::new());
        let body = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
        for pause_ms in [0, 5, 50] {
            let pause = Duration::from_millis(pause_ms);
            *current.borrow_mut() = BrokenResponse::reset_without_length("", pause);
            for _ in 0..UPLOADS {
                let host = fleet.caller_address(1);
                let key = [("x-api-key", "key-club")];
                let received =
                    caller.send(host, Method::POST, "/catalogue/rods", &key, body.clone()).await;
                statuses.push(received.status);
            }
        }
        assert!(!statuses.contains(&200), "{statuses:?}");
        assert!(instance.broken_responses() > 0, "no upload reached the instance: {statuses:?}");
    });
}

/// Guards against a valid response that fails because its body looks like broken heads.
#[test]
fn body_that_looks_like_heads_is_passed_on() {
    let body = "HTTP/1.1 600 no\r\nx-odd : 1\r\n\r\n".repeat(20_000);
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let (name, bytes) = ("valid".to_owned(), text.into_bytes());
    let response = BrokenResponse { name, bytes, end: ConnectionEnd::Close };
    run(plan(), async |fleet| {
        let current = Rc::new(RefCell::new(response));
        let instance = replace_instance(&fleet, "catalogue", &current).await;
        for _ in 0..5 {
            let received = receive(&fleet, &instance, Method::GET, "/catalogue/new").await;
            assert_eq!((received.status, received.body.len()), (200, body.len()));
            assert_eq!(received.body, body.as_bytes());
        }
    });
}

/// Guards against an empty body in place of one whose encoding is not known.
#[test]
fn response_with_another_encoding_than_chunks_is_not_passed_on_as_an_empty_one() {
    let responses = ENCODING_LINES.map(|line| BrokenResponse {
        name: line.to_owned(),
        bytes: format!("HTTP/1.1 200 OK\r\n{line}\r\n\r\nhello").into_bytes(),
        end: ConnectionEnd::Close,
    });
    assert_failure(&responses);
}
