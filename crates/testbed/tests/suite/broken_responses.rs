//! What callers of hosts in `run` mode receive when an instance sends broken responses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use ebonytack_stand_in::{BrokenResponse, RawInstance, invalid_status_lines, truncated_responses};
use ebonytack_testbed::{Caller, Fleet, InstanceFault};
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

/// Asserts that no caller gets one of these responses, neither to a lookup, which the host may retry,
/// nor to an order, which it may not.
fn assert_failure(responses: &[BrokenResponse]) {
    let current = Rc::new(RefCell::new(responses[0].clone()));
    run(plan(), async |fleet| {
        let mut passed_on = BTreeMap::new();
        for (service, method) in [("catalogue", Method::GET), ("orders", Method::POST)] {
            let instance = replace_instance(&fleet, service, &current).await;
            let (path, key) = (format!("/{service}/new"), [("x-api-key", "key-club")]);
            for response in responses {
                *current.borrow_mut() = response.clone();
                let answered = instance.broken_responses();
                while instance.broken_responses() == answered {
                    let (host, method) = (fleet.caller_address(1), method.clone());
                    let received =
                        Caller::new().send(host, method, &path, &key, Bytes::new()).await;
                    if instance.broken_responses() > answered
                        && !matches!(received.status, 502 | 503)
                    {
                        let name = format!("{service}: {}", response.name);
                        passed_on.insert(name, (received.status, received.body));
                    }
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
