//! Forwarding, rejection and retry of requests, and the trace of a host.

use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_testbed::{Caller, InstanceFault};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::support::{plan, run};

/// Sends raw bytes on a new connection and returns everything received until it closes.
async fn send_raw(host: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(host).await.expect("the host listens");
    stream.write_all(request.as_bytes()).await.expect("the host reads");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("the host responds");
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn api_key_is_removed_before_forwarding() {
    run(plan(), async |fleet| {
        let request = "GET /catalogue/rods?size=3&api%5Fkey=key-club HTTP/1.1\r\nHost: fleet\r\n\
            X-API-Key: key-club\r\nx-api-key: key-club\r\nAuthorization: Bearer key-club\r\n\
            X-Copy: copy of key-club\r\nConnection: x-named, close\r\nX-Named: dropped\r\n\r\n";
        for host in 1..=3 {
            let response = send_raw(fleet.caller_address(host), request).await;
            assert!(
                response.starts_with("HTTP/1.1 200") && response.ends_with("xxx"),
                "{response}"
            );
        }
        let forwarded = fleet.upstream("catalogue").requests();
        let forwarded: Vec<_> =
            forwarded.iter().filter(|recorded| recorded.path.contains("rods")).collect();
        assert_eq!(forwarded.len(), 3);
        for recorded in forwarded {
            assert!(recorded.path.ends_with("/catalogue/rods?size=3"), "{}", recorded.path);
            let text = format!("{recorded:?}");
            assert!(!text.contains("key-club") && !text.contains("x-named"), "{text}");
        }
    });
}

#[test]
fn invalid_keys_and_paths_are_rejected_as_not_run() {
    run(plan(), async |fleet| {
        let caller = Caller::new();
        let before = fleet.upstream("catalogue").requests().len();
        let host = fleet.caller_address(1);
        for (path, key, status, reason) in [
            ("/catalogue/rods", "", 401, "key-missing"),
            ("/catalogue/rods", "wrong", 403, "key-refused"),
            ("/nowhere", "key-club", 404, "no-route"),
            ("/catalogue/%2e%2e/orders", "key-club", 400, "bad-request"),
            ("/catalogue/key-club", "key-club", 400, "bad-request"),
        ] {
            let response = caller.get(host, path, key).await;
            assert_eq!(
                (response.status, response.reason.as_deref()),
                (status, Some(reason)),
                "{path}"
            );
            assert!(response.is_not_run(), "{path}");
        }
        assert_eq!(fleet.upstream("catalogue").requests().len(), before);
    });
}

#[test]
fn lookups_succeed_despite_truncated_responses_and_refused_connections() {
    run(plan(), async |fleet| {
        let caller = Caller::new();
        let upstream = fleet.upstream("catalogue");
        let truncating = InstanceFault { truncate_percent: 100, ..InstanceFault::default() };
        upstream.set_fault("catalogue-1", truncating);
        let refusing = InstanceFault { refuse: true, ..InstanceFault::default() };
        upstream.set_fault("catalogue-2", refusing);
        for _ in 0..40 {
            let response = caller.get(fleet.caller_address(1), "/catalogue/rods", "key-club").await;
            assert_eq!((response.status, response.body.len()), (200, 64));
        }
    });
}

/// Starts an instance that answers each request but probes with `response`, and closes.
async fn start_closing_instance(address: SocketAddr, response: &'static str) {
    // The stand-in that listened here before needs a moment to see its fault.
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => actix_rt::time::sleep(Duration::from_millis(5)).await,
        }
    };
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let count = stream.read(&mut buffer).await.unwrap_or(0);
            let is_probe = buffer[..count].starts_with(b"GET /health");
            let health = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            // A failed write ends the connection, which closes it as well.
            let _ = stream.write_all(if is_probe { health } else { response }.as_bytes()).await;
        }
    });
}

/// Guards against a response that breaks off and reaches the caller as a complete success.
#[test]
fn response_that_breaks_off_is_no_complete_success() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-instance: raw\r\n\r\n";
    for response in [&HEAD[..9], &HEAD[..16], &HEAD[..30], &HEAD[..HEAD.len() - 3], HEAD] {
        run(plan(), async |fleet| {
            let upstream = fleet.upstream("catalogue");
            upstream.set_fault_for_all(&InstanceFault { refuse: true, ..InstanceFault::default() });
            start_closing_instance(upstream.addresses()["catalogue-1"], response).await;
            let caller = Caller::new();
            for _ in 0..5 {
                let answer =
                    caller.get(fleet.caller_address(1), "/catalogue/rods", "key-club").await;
                assert!(!answer.is_success(), "{response:?}: {answer:?}");
            }
        });
    }
}

/// Guards against a body that ends with its connection and reaches the caller as an empty success.
#[test]
fn response_without_a_length_is_not_delivered_as_an_empty_one() {
    const RESPONSE: &str = "HTTP/1.1 200 OK\r\nx-instance: raw\r\n\r\nhello";
    run(plan(), async |fleet| {
        let upstream = fleet.upstream("catalogue");
        upstream.set_fault_for_all(&InstanceFault { refuse: true, ..InstanceFault::default() });
        start_closing_instance(upstream.addresses()["catalogue-1"], RESPONSE).await;
        let caller = Caller::new();
        for _ in 0..5 {
            let answer = caller.get(fleet.caller_address(1), "/catalogue/rods", "key-club").await;
            assert!(!answer.is_success() || answer.body == "hello", "{answer:?}");
        }
    });
}

#[test]
fn malformed_requests_are_rejected_and_the_host_keeps_serving() {
    run(plan(), async |fleet| {
        let headers = [
            "Content-Length: 3\r\nTransfer-Encoding: chunked",
            "Content-Length: 3\r\nContent-Length: 4",
            "Content-Length: +3",
            "Content-Length: x",
            "Transfer-Encoding: chunked, identity",
            "Idempotency-Key: ",
            "Idempotency-Key: a\r\nIdempotency-Key: b",
            "x-request-timeout-ms: soon",
            "x-api-key: other",
            "Host: second",
        ];
        let targets = [
            "/catalogue/../orders",
            "/catalogue/./x",
            "/catalogue//x",
            "/catalogue/%2E%2e/x",
            "/catalogue/%2fx",
            "/catalogue/%5Cx",
            "/catalogue/%00",
            "http://other/catalogue/x",
            "/catalogue/x?a=key-club",
            "/catalogue/x?api_key=other",
        ];
        let before = fleet.upstream("catalogue").requests().len();
        for header in headers {
            for target in targets {
                let request = format!(
                    "POST {target} HTTP/1.1\r\nHost: fleet\r\nx-api-key: key-club\r\n\
                     Connection: close\r\n{header}\r\n\r\nabc"
                );
                let response = send_raw(fleet.caller_address(1), &request).await;
                assert!(response.starts_with("HTTP/1.1 4"), "{request}\n{response}");
            }
        }
        assert_eq!(fleet.upstream("catalogue").requests().len(), before);
        let caller = Caller::new();
        let valid_response =
            caller.get(fleet.caller_address(1), "/catalogue/rods", "key-club").await;
        assert_eq!(valid_response.status, 200);
    });
}

#[test]
fn recorded_trace_of_a_host_replays_identically() {
    let directory = std::env::temp_dir().join(format!("ebonytack-trace-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let mut plan_with_trace = plan();
    plan_with_trace.trace_directory = Some(directory.clone());
    run(plan_with_trace, async |mut fleet| {
        let caller = Caller::new();
        let upstream = fleet.upstream("catalogue");
        let fault = InstanceFault { error_percent: 50, ..InstanceFault::default() };
        upstream.set_fault("catalogue-1", fault);
        for index in 0..100 {
            caller.get(fleet.caller_address(index % 3 + 1), "/catalogue/rods", "key-club").await;
            let (host, order) = (fleet.caller_address(index % 3 + 1), format!("order-{index}"));
            caller.send_order(host, "/orders/new", "key-club", &order, "two rods").await;
        }
        fleet.host(1).terminate();
        let status = fleet.host_mut(1).wait().expect("the host ends");
        assert!(status.success(), "{status}");
    });
    let trace =
        std::fs::read_to_string(directory.join("host-1.trace")).expect("the trace is readable");
    let steps = ebonytack_core::replay(trace.lines()).expect("the trace replays");
    assert!(steps > 100, "{steps}");
    assert!(!trace.contains("key-club"), "the trace contains an API key");
    std::fs::remove_dir_all(directory).expect("the directory is removed");
}
