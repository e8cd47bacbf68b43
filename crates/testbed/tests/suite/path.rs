//! The path of a request through real processes.

use std::net::SocketAddr;

use ebonytack_testbed::{Caller, InstanceFault};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{plan, run};

/// Sends bytes and returns everything that comes back.
async fn raw(host: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(host).await.expect("the host listens");
    stream.write_all(request.as_bytes()).await.expect("the host reads");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("the host answers");
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn a_request_with_a_key_reaches_an_instance_without_it() {
    run(plan(), async |fleet| {
        let request = "GET /catalogue/rods?size=3&api%5Fkey=key-club HTTP/1.1\r\nHost: fleet\r\n\
            X-API-Key: key-club\r\nx-api-key: key-club\r\nAuthorization: Bearer key-club\r\n\
            X-Copy: copy of key-club\r\nConnection: x-named, close\r\nX-Named: dropped\r\n\r\n";
        for host in 1..=3 {
            let answer = raw(fleet.caller_address(host), request).await;
            assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("xxx"), "{answer}");
        }
        let seen = fleet.upstream("catalogue").requests();
        let seen: Vec<_> = seen.iter().filter(|entry| entry.path.contains("rods")).collect();
        assert_eq!(seen.len(), 3);
        for entry in seen {
            assert!(entry.path.ends_with("/catalogue/rods?size=3"), "{}", entry.path);
            let text = format!("{entry:?}");
            assert!(!text.contains("key-club") && !text.contains("x-named"), "{text}");
        }
    });
}

#[test]
fn requests_without_a_valid_key_are_refused_as_not_run() {
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
            let reply = caller.get(host, path, key).await;
            assert_eq!((reply.status, reply.reason.as_deref()), (status, Some(reason)), "{path}");
            assert!(reply.is_not_run(), "{path}");
        }
        assert_eq!(fleet.upstream("catalogue").requests().len(), before);
    });
}

#[test]
fn lookups_survive_cut_answers_and_refusing_instances() {
    run(plan(), async |fleet| {
        let caller = Caller::new();
        let upstream = fleet.upstream("catalogue");
        let cut = InstanceFault { truncate_percent: 100, ..InstanceFault::default() };
        upstream.set_fault("catalogue-1", cut);
        let refuse = InstanceFault { refuse: true, ..InstanceFault::default() };
        upstream.set_fault("catalogue-2", refuse);
        for _ in 0..40 {
            let reply = caller.get(fleet.caller_address(1), "/catalogue/rods", "key-club").await;
            assert_eq!((reply.status, reply.body.len()), (200, 64));
        }
    });
}

#[test]
fn malformed_requests_get_a_clear_error_and_leave_the_host_serving() {
    run(plan(), async |fleet| {
        let heads = [
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
        for head in heads {
            for target in targets {
                let request = format!(
                    "POST {target} HTTP/1.1\r\nHost: fleet\r\nx-api-key: key-club\r\n\
                     Connection: close\r\n{head}\r\n\r\nabc"
                );
                let answer = raw(fleet.caller_address(1), &request).await;
                assert!(answer.starts_with("HTTP/1.1 4"), "{request}\n{answer}");
            }
        }
        assert_eq!(fleet.upstream("catalogue").requests().len(), before);
        let caller = Caller::new();
        let reply = caller.get(fleet.caller_address(1), "/catalogue/rods", "key-club").await;
        assert_eq!(reply.status, 200);
    });
}

#[test]
fn a_trace_of_a_live_host_replays_byte_for_byte() {
    let directory = std::env::temp_dir().join(format!("ebonytack-trace-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a folder");
    let mut traced = plan();
    traced.trace_directory = Some(directory.clone());
    run(traced, async |mut fleet| {
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
    let trace = std::fs::read_to_string(directory.join("host-1.trace")).expect("a trace");
    let steps = ebonytack_core::replay(trace.lines()).expect("the trace replays");
    assert!(steps > 100, "{steps}");
    assert!(!trace.contains("key-club"), "a key stands in the trace");
    std::fs::remove_dir_all(directory).expect("the folder is removed");
}
